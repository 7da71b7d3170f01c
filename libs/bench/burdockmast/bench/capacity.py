"""Works out the capacity page from measured slopes and the target."""

from burdockmast.bench import slopes
from burdockmast.bench import storelines
from burdockmast.bench import targets
from burdockmast.claims import entry_ages
from burdockmast.claims import records
from burdockmast.wire import peers

MEGABYTE = targets.MEGABYTE


def index(measured: dict[str, list[slopes.Slope]]) -> targets.Slopes:
    """Return slopes by name."""
    return {
        slope.name: slope for group in measured.values() for slope in group
    }


def _links_of_entry(target: targets.Target) -> float:
    """Return the links of an entry that serves all models of its region.

    It knows ``CHOICES`` sides of each group of equal layer ranges.
    """
    return float(target.models * target.stages * targets.CHOICES)


def _links_of_side(target: targets.Target) -> float:
    """Return the links of a side: entries, and sides of its paths."""
    entries = target.daemons * _links_of_entry(target) / target.replicas
    return entries + 2 * (target.stages - 1)


def _control_cpu(found: targets.Slopes, links: float, role: str) -> float:
    peer = found['side: peer']
    heartbeats = max(0.0, peer.base) / 1e6 + peer.value * links / 1e6
    name = 'entry: change' if role == 'entry' else 'watching side: change'
    change = found[name].value
    if role == 'entry':
        change += found['entry: change by known servers'].value * 1e4
    burst = targets.Target().changes_in_a_minute / 60
    return heartbeats + change * burst / 1e6


def entry_lines(
    found: targets.Slopes, target: targets.Target
) -> list[targets.Line]:
    """Return the lines of an entry."""
    tokens = target.tokens / target.daemons
    requests = target.requests / target.daemons
    data = tokens * found['entry: token'].value
    data += requests * found['entry: request'].value
    open_answers = tokens * target.token_seconds
    links = _links_of_entry(target)
    equal = targets.CHOICES * target.replicas / target.regions / links
    memory = (
        found['entry: open answer memory'].base
        + found['entry: open answer memory'].value * open_answers
        + found['side: peer memory'].value * links
        + found['entry: known server memory'].value * target.replicas
    )
    control = _control_cpu(found, links, 'entry')
    period = (
        links * peers.HEARTBEAT_PAIR_BYTES / peers.HEARTBEAT_BYTES_PER_SECOND
    )
    return [
        targets.Line(
            'entry', 'data path, of one core',
            f'{data / 1e6:.1%} for {tokens:,.0f} tokens and {requests:.0f} '
            'requests a second', '100%', data < 1e6,
            'messages of a connection leave in one send; typed by tag; '
            'no timer for each token',
        ),
        targets.Line(
            'entry', 'control, of one core', f'{control:.1%} with {links:.0f} '
            f'links and {target.changes_in_a_minute} changes in a minute',
            f'{target.control_cpu:.1%}', control <= target.control_cpu,
            'bounded subset of servers; changes are pushed once a link',
        ),
        targets.Line(
            'entry', 'control traffic sent',
            f'{_control_bytes(found, links):,.0f} bytes/s',
            f'{target.control_bytes:,.0f} bytes/s',
            _control_bytes(found, links) <= target.control_bytes,
            f'heartbeats spread with the links, here {period:.1f} s apart',
        ),
        targets.Line(
            'entry', 'memory', f'{memory / MEGABYTE:.0f} MB with '
            f'{open_answers:.0f} open answers',
            f'{target.memory_bytes / MEGABYTE:.0f} MB',
            memory <= target.memory_bytes,
            'prompt and tokens of open answers only; no history',
        ),
        targets.Line(
            'entry', 'choice among equal servers',
            f'{targets.CHOICES} of about {equal:.0f} in its region',
            '2 or more', targets.CHOICES >= 2,
            'heartbeats spread with the links; servers that stand still are '
            'found by probes, and own answers are counted between reports',
        ),
        targets.Line(
            'entry', 'age of load reports', f'up to {period:.0f} s',
            'none stated', None, 'own answers are counted on top; a full '
            'server refuses unrun, and another is tried; no load was run '
            'with reports this old',
        ),
    ]  # fmt: skip


def _control_bytes(found: targets.Slopes, links: float) -> float:
    sent = found['side: bytes sent to a peer']
    return max(0.0, sent.base) + sent.value * links


def _side_memory(found: targets.Slopes, target: targets.Target) -> float:
    steps = target.tokens * target.stages / target.replicas
    open_answers = steps * target.token_seconds
    return (
        found['side: open answer memory'].base
        + found['side: open answer memory'].value * open_answers
        + found['side: peer memory'].value * _links_of_side(target)
        + found['side: known server memory'].value * target.replicas
    )


def side_lines(
    found: targets.Slopes, target: targets.Target
) -> list[targets.Line]:
    """Return the lines of a side."""
    steps = target.tokens * target.stages / target.replicas
    worst = max(
        found[f'{place} side: token'].value
        for place in ('head', 'middle', 'last')
    )
    starts = target.requests * target.stages / target.replicas
    data = steps * worst + starts * found['head side: request'].value
    links = _links_of_side(target)
    control = _control_cpu(found, links, 'side')
    open_answers = steps * target.token_seconds
    memory = _side_memory(found, target)
    return [
        targets.Line(
            'side', 'data path, of one core',
            f'{data / 1e6:.1%} for {steps:,.0f} steps and {starts:.0f} '
            'starts a second', '100%', data < 1e6,
            'one engine call for all steps that wait',
        ),
        targets.Line(
            'side', 'control, of one core',
            f'{control:.1%} with {links:.0f} links',
            f'{target.control_cpu:.1%}', control <= target.control_cpu,
            'entries are spread evenly over sides by hash',
        ),
        targets.Line(
            'side', 'control traffic sent',
            f'{_control_bytes(found, links):,.0f} bytes/s',
            f'{target.control_bytes:,.0f} bytes/s',
            _control_bytes(found, links) <= target.control_bytes,
            'heartbeats carry version, load and news of crashes together',
        ),
        targets.Line(
            'side', 'memory', f'{memory / MEGABYTE:.0f} MB with '
            f'{open_answers:.0f} open answers',
            f'{target.memory_bytes / MEGABYTE:.0f} MB',
            memory <= target.memory_bytes, 'the whole configuration is the '
            'largest part',
        ),
        _kept_keys_line(found, target),
    ]  # fmt: skip


def _kept_keys_line(
    found: targets.Slopes, target: targets.Target
) -> targets.Line:
    commands = target.requests * target.claimed_share
    seconds = targets.RETENTION_SECONDS * (
        1 + 1 / entry_ages.TRUNCATIONS_PER_RETENTION
    )
    keys = commands * seconds / records.SHARD_COUNT
    slope = found['home: key memory']
    memory = keys * slope.value + _side_memory(found, target)
    return targets.Line(
        'side', 'memory, as the home of one claim journal',
        f'{memory / MEGABYTE:.0f} MB with {keys:,.0f} keys',
        f'{target.memory_bytes / MEGABYTE:.0f} MB',
        memory <= target.memory_bytes,
        'keys are remembered for '
        f'{targets.RETENTION_SECONDS / 60:.0f} minutes at least, by setting',
    )  # fmt: skip


def fleet_lines(
    found: targets.Slopes, target: targets.Target
) -> list[targets.Line]:
    """Return the lines of the fleet as a whole."""
    spread = found['last change in force everywhere'].value
    pools = min(target.replicas, target.models * target.kinds * target.stages)
    preset = (
        pools * found['preset: pool'].value
        + target.organisations * found['preset: organisation'].value
    )
    preset_seconds = preset / target.control_bytes
    relayed = found['tokens relayed by one entry'].value
    return [
        targets.Line(
            'fleet', 'a change in force everywhere',
            f'{spread:.0f} ms over 5 processes; depth about 4 links at the '
            'target', '4 s', None, 'pushed along links at once; versions '
            'compared in each heartbeat',
        ),
        targets.Line(
            'fleet', 'a new preset', f'{preset:,.0f} bytes to each process '
            f'with {pools} pools and {target.organisations} organisations, '
            f'{preset_seconds:.1f} s at the control traffic',
            '4 s (a switch of a known preset is 60 bytes)',
            preset_seconds <= 4,
            'presets place pools of servers; changes travel compressed',
        ),
        targets.Line(
            'fleet', 'tokens through one entry', f'{relayed:,.0f} a second '
            'measured, with engines, sides and callers on the same machine',
            f'{target.tokens / target.daemons:,.0f} a second', None,
            'see the data path of an entry',
        ),
        targets.Line(
            'fleet', 'first token and time between tokens', 'not measured at '
            'this size', '0.32 s and 26 ms for 95 in 100', None,
            'lowest cost path under load; see the load reports',
        ),
        targets.Line(
            'fleet', 'regions apart for an hour', 'not measured', 'an hour',
            None, 'a region goes on with what it has accepted; the store is '
            'the only thing shared',
        ),
        targets.Line(
            'fleet', '160 failures and 4,500 replacements a day',
            f'one in {targets.SECONDS_PER_DAY / target.restarts_a_day:.0f} s',
            'no cut answer', None,
            'answers resume by token index; see the failure tests',
        ),
    ]  # fmt: skip


def lines(measured: dict[str, list[slopes.Slope]]) -> list[targets.Line]:
    """Return all lines of the page."""
    found = index(measured)
    target = targets.Target()
    return [
        *entry_lines(found, target),
        *side_lines(found, target),
        *storelines.store_lines(found, target),
        *fleet_lines(found, target),
    ]


def page(measured: dict[str, list[slopes.Slope]]) -> str:
    """Return the page in Markdown."""
    parts = [PREFACE, '## Lines of the target', '']
    parts += ['| role | what | at the target | limit | verdict | carried by |']
    parts += ['|---|---|---|---|---|---|']
    parts += [
        f'| {line.role} | {line.what} | {line.need} | {line.limit} | '
        f'{line.verdict} | {line.mechanism} |'
        for line in lines(measured)
    ]
    parts += ['', STATE, '', '## Measured slopes', '']
    parts += ['| experiment | what | sizes | slope | at size 0 |']
    parts += ['|---|---|---|---|---|']
    for name, group in measured.items():
        parts += [_slope_row(name, slope) for slope in group]
    return '\n'.join([*parts, ''])


def _slope_row(name: str, slope: slopes.Slope) -> str:
    sizes = ', '.join(f'{size:g}' for size in slope.sizes)
    if not slope.per:
        values = ', '.join(f'{value:.0f}' for value in slope.measured)
        return f'| {name} | {slope.name} | {sizes} | {values} {slope.unit} | |'
    return (
        f'| {name} | {slope.name} | {sizes} | {slope.value:,.2f} +- '
        f'{slope.error:,.2f} {slope.unit} each {slope.per} | '
        f'{slope.base:,.0f} {slope.unit} |'
    )


PREFACE = """# Capacity at the target's size

This page is written by `make capacity`; don't edit it. The slopes at its end
come from `burdockmast-bench slopes` on one machine, one run of each
experiment over four sizes, with the standard error of each slope. The lines
below multiply them out for the target: 1,600 daemons (entry instances) before
10,000 replicas, 37,000 requests and 16 million tokens a second. We take a
replica to be one backend server with a side process beside it, and an answer
to pass three of them; 1 request in 100 is taken to be a claimed command.

A figure worked out beyond the measured sizes is an estimate, not a
measurement. *Short* means that what stands today does not carry the line.
"""

STATE = """## State and messages of each role

| role | state | messages |
|---|---|---|
| entry | configuration; links, loads and memory of prompts; prompt and tokens of open answers | one start and cancel an answer; one message a token; heartbeats; claims and their decisions |
| side | configuration; answers on its engine; executions by key; the shards whose claims it writes | one message a step and stage; heartbeats; changes to neighbours |
| store | journal of changes and a snapshot; eight claim journals; an object of moves for each model | grouped creates; two watches a zone; conditional updates |"""  # noqa: E501
