"""Group commit of claims: one store write for many records.

Every entry sends the records of a shard to the same side process, found by
hash, which writes all that wait in one journal entry. Nothing depends on
there being only one such process: the journal decides.
"""

import dataclasses

import eventlet
import eventlet.event
import eventlet.semaphore
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.claims import entry_ages
from burdockmast.claims import records
from burdockmast.store import journals
from burdockmast.store import objects
from burdockmast.store import truncation

LOG = logs.get('claims')
JournalRecords = list[records.JournalRecord]

# Shortest time between two writes of one shard, in seconds. It bounds the
# store's writes for any number of requests, and a quiet shard does not wait.
WRITE_INTERVAL_SECONDS = 0.1
# Longest time that outcomes wait for a claim to ride along with, in seconds.
OUTCOME_SECONDS = 1.0
# Records written at once.
GROUP_RECORDS = 2000
# Seconds for which a write is tried before its askers are refused.
WRITE_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _Waiting:
    record: records.Record
    event: eventlet.event.Event


class ShardWriter:
    """Writes the records of one shard."""

    def __init__(
        self,
        store: objects.ObjectClient,
        shard: int,
        measures: metrics.Metrics,
        retention: float,
    ):
        """Create a writer; its task runs while records wait."""
        self._journal = truncation.TruncatableJournal(
            store, f'claims-{shard:02d}'
        )
        self._retention = retention
        # None until the journal has been read to its end.
        self._table: records.KeyTable | None = None
        self._ages = entry_ages.EntryAges(retention)
        self._waiting: list[_Waiting] = []
        self._is_writing = False
        self._written_at = float('-inf')
        self._is_urgent = eventlet.event.Event()
        self._metrics = measures

    def submit(
        self, record: records.Record, seconds: float
    ) -> records.KeyState | failures.Failure | None:
        """Append a record and return its key's state after it.

        None is returned for a key of which nothing is known any more. A
        failure's outcome tells whether the record may be in the journal.
        """
        known = self._table and self._table.state_by_key.get(record.key)
        if known and known.done:
            return known
        waiting = _Waiting(record, eventlet.event.Event())
        self._waiting.append(waiting)
        if not isinstance(record, records.Done):
            self._hurry()
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn(self._write)
        with eventlet.Timeout(seconds, False):
            return waiting.event.wait()
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'claim.submit',
            detail='the store did not answer in time',
            retry_after=WRITE_TIMEOUT_SECONDS,
        )

    def _hurry(self) -> None:
        if not self._is_urgent.ready():
            self._is_urgent.send()

    def _write(self) -> None:
        try:
            while self._waiting:
                with eventlet.Timeout(OUTCOME_SECONDS, False):
                    self._is_urgent.wait()
                due = self._written_at + WRITE_INTERVAL_SECONDS
                eventlet.sleep(max(0.0, due - timers.now()))
                self._is_urgent = eventlet.event.Event()
                self._written_at = timers.now()
                group = self._waiting[:GROUP_RECORDS]
                self._waiting = self._waiting[GROUP_RECORDS:]
                if self._waiting:
                    self._hurry()
                self._commit(group)
        finally:
            self._is_writing = False

    def _commit(self, group: list[_Waiting]) -> None:
        """Write a group at the first free index.

        A write whose answer was lost may still take that index; then the
        next group finds it there and takes it in.
        """
        change = ids.ChangeId(ids.new_id())
        began = timers.now()
        deadline = began + WRITE_TIMEOUT_SECONDS
        while True:
            result = self._catch_up() if self._table is None else None
            if isinstance(result, failures.Failure):
                return _answer(group, result)
            group = self._choose(group)
            if not group:
                return None
            lines = self._lines(group)
            entry = journals.Entry(change, msgspec.to_builtins(lines))
            result = self._journal.append(
                self._table.last_index + 1, entry, deadline - timers.now()
            )
            match result:
                case journals.Appended() if (
                    timers.now() - began > self._retention / 2
                ):
                    # Paused since; the claims may be forgotten by now.
                    result = _too_late()
                case journals.Appended(index=index):
                    self._metrics.count('claims.groups')
                    self._metrics.count('claims.records', len(group))
                    return self._decide(index, group, lines)
                case journals.Occupied():
                    result = self._catch_up()
                case truncation.Truncated(index=index):
                    LOG.warning('Fell behind: index {} is cut.', index)
                    self._table = None
            if isinstance(result, failures.Failure):
                return _answer(group, result)

    def _choose(self, group: list[_Waiting]) -> list[_Waiting]:
        """Return those whose records change something, one for each key.

        Others of a key wait for the next group, when its state is known.
        """
        chosen: dict[str, _Waiting] = {}
        for waiting in group:
            record = waiting.record
            if not self._table.would_change(record):
                waiting.event.send(self._table.state_by_key.get(record.key))
            elif record.key in chosen:
                self._waiting.append(waiting)
                self._hurry()
            else:
                chosen[record.key] = waiting
        return list(chosen.values())

    def _lines(self, group: list[_Waiting]) -> list[records.JournalRecord]:
        lines: list[records.JournalRecord] = [
            waiting.record for waiting in group
        ]
        through = self._ages.expired_through()
        if through:
            lines.append(records.Forgotten(through))
        return lines

    def _catch_up(self) -> failures.Failure | None:
        """Read on to the end, from the mark if nothing is known yet."""
        table = self._table
        if table is None:
            point = self._journal.truncation_point()
            if isinstance(point, failures.Failure):
                return point
            table = records.KeyTable(point.through)
        while True:
            entries = self._journal.read(table.last_index + 1)
            if isinstance(entries, failures.Failure):
                return entries
            for index, entry in entries:
                table.apply(index, msgspec.convert(entry.body, JournalRecords))
                self._ages.record(index)
            if not entries:
                self._table = table
                return None

    def _decide(
        self,
        index: int,
        group: list[_Waiting],
        lines: list[records.JournalRecord],
    ) -> None:
        self._table.apply(index, lines)
        self._ages.record(index)
        for waiting in group:
            state = self._table.state_by_key.get(waiting.record.key)
            waiting.event.send(state)
        for line in lines:
            if isinstance(line, records.Forgotten):
                self._ages.forget(line.through)
                eventlet.spawn(self._cut, line.through)

    def _cut(self, through: int) -> None:
        """Remove what is forgotten, now that the journal says so."""
        failure = self._journal.truncate(through)
        if failure:
            # The next cut takes these entries with it.
            LOG.warning('Journal not cut: {}', failure.detail)
            return
        self._metrics.count('claims.cuts')


def _too_late() -> failures.Failure:
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE,
        'claim.commit',
        detail='the write ended too late to count on',
        outcome=outcomes.Outcome.UNKNOWN,
        retry_after=WRITE_TIMEOUT_SECONDS,
    )


def _answer(group: list[_Waiting], refusal: failures.Failure) -> None:
    for waiting in group:
        if not waiting.event.ready():
            waiting.event.send(refusal)


class ClaimWriters:
    """The shards that one process writes."""

    def __init__(
        self,
        store: objects.ObjectClient,
        measures: metrics.Metrics,
        retention: float,
    ):
        """Create a process's writers; none has work yet.

        :param retention: seconds for which a key is remembered at least
        """
        self._store = store
        self._metrics = measures
        self._retention = retention
        self._writer_by_shard: dict[int, ShardWriter] = {}

    def submit(
        self, shard: int, record: records.Record, seconds: float
    ) -> records.KeyState | failures.Failure | None:
        """Append a record to a shard's journal."""
        writer = self._writer_by_shard.get(shard)
        if writer is None:
            writer = ShardWriter(
                self._store, shard, self._metrics, self._retention
            )
            self._writer_by_shard[shard] = writer
        return writer.submit(record, seconds)
