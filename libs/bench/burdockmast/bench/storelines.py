"""The capacity page's lines on the platform's store."""

from burdockmast.bench import targets
from burdockmast.claims import claim_writer
from burdockmast.claims import entry_ages
from burdockmast.claims import records
from burdockmast.fleet import follower
from burdockmast.fleet import layer_moves
from burdockmast.fleet import snapshots
from burdockmast.store import journals

MEGABYTE = targets.MEGABYTE


def store_lines(
    found: targets.Slopes, target: targets.Target
) -> list[targets.Line]:
    """Return the lines of the platform's store."""
    commands = target.requests * target.claimed_share
    slope = found['store: writes for commands']
    free = slope.base + slope.value * commands
    bound = records.SHARD_COUNT / claim_writer.WRITE_INTERVAL_SECONDS
    groups = min(free, bound)
    # Each entry that is written is removed again later.
    writes = 2 * groups + 2 * target.changes_in_a_minute / 60
    seconds = targets.RETENTION_SECONDS * (
        1 + 1 / entry_ages.TRUNCATIONS_PER_RETENTION
    )
    kept = groups / records.SHARD_COUNT * seconds
    watchers = target.zones * follower.WATCHERS_PER_ZONE
    # A look reads the journal and then its mark.
    reads = 2 * watchers / follower.WATCH_SECONDS
    reads += 2 * watchers * target.changes_in_a_minute / 60
    # After each write the mark of the journal is read.
    reads += groups
    outage = 2 * follower.FLEET_POLLS_PER_SECOND * 1.16
    wait = found['caller: median time of a command']
    return [
        targets.Line(
            'store', 'writes', f'{writes:.0f}/s for {commands:.0f} commands '
            f'and {target.changes_in_a_minute / 60:.1f} changes a second',
            f'{target.store_writes:.0f}/s (several hundred)',
            writes <= target.store_writes,
            f'{records.SHARD_COUNT} claim journals, each at most one write in '
            f'{claim_writer.WRITE_INTERVAL_SECONDS * 1000:.0f} ms',
        ),
        targets.Line(
            'store', 'reads, with waiting watches',
            f'{watchers + reads:.0f} in a busy minute',
            f'{target.store_reads:,.0f}/s',
            watchers + reads <= target.store_reads,
            f'{follower.WATCHERS_PER_ZONE} watchers in each zone; the others '
            'get changes from neighbours',
        ),
        targets.Line(
            'store', 'reads after an outage', f'{outage:.0f}/s',
            f'{target.store_reads:,.0f}/s', outage <= target.store_reads,
            'looks of processes with old information are spread over a time '
            'that grows with the fleet',
        ),
        targets.Line(
            'store', 'time of a command',
            f'{wait.base + wait.value * commands:.0f} ms at the median, '
            'worked out beyond the measured rates', 'none stated', None,
            'a quiet shard writes at once; a busy one gathers',
        ),
        _snapshot_line(found, target),
        _moves_line(target),
        targets.Line(
            'store', 'length of a claim journal',
            f'{kept:,.0f} entries, '
            f'{kept / journals.PAGE_ENTRY_COUNT:.0f} reads for a '
            'new home', 'none stated', None,
            'journals are cut behind the time for which keys are remembered; '
            'entries that go are as many writes again as entries that come',
        ),
    ]  # fmt: skip


def _snapshot_line(
    found: targets.Slopes, target: targets.Target
) -> targets.Line:
    size = (
        target.replicas * found['snapshot: server'].value
        + found['snapshot: server'].base
    )
    changes = snapshots.INTERVAL_CHANGES + snapshots.KEPT_CHANGES
    reads = 2 + 2 * -(-changes // journals.PAGE_ENTRY_COUNT)
    return targets.Line(
        'store', 'the configuration, for a new process or an operator',
        f'{size / MEGABYTE:.2f} MB and at most {changes} changes, in {reads} '
        'reads', '1 MB a value', size <= MEGABYTE,
        f'a snapshot each {snapshots.INTERVAL_CHANGES} changes, and a journal '
        'that is cut behind it',
    )  # fmt: skip


def _moves_line(target: targets.Target) -> targets.Line:
    servers = target.replicas // target.models
    looks = target.models * sum(
        1
        / layer_moves.poll_interval_seconds(
            before, targets.LOADS_AT_ONCE, target.replicas
        )
        for before in range(servers)
    )
    # A look reads one object.
    return targets.Line(
        'store', 'a switch that moves every server',
        f'{looks:.0f} reads/s while servers wait for their turns, and '
        f'{2 * target.replicas:,} writes in all',
        f'{target.store_reads:,.0f} reads/s', looks <= target.store_reads,
        'turns in an object for each model; those who go late look rarely',
    )  # fmt: skip
