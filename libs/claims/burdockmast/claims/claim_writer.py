"""Group commit of claims: one store write for many records.

All entry processes choose the same side process for a shard, by rendezvous
hashing. It writes all pending records in one journal entry. At-most-once
execution doesn't depend on there being a single writer: of several writers,
only one can create the entry at a given index of the journal.
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

# Shortest time between two writes of one shard. It bounds the store's write
# rate at any request rate, and adds no delay on a shard with little traffic.
WRITE_INTERVAL_SECONDS = 0.1
# Longest time that outcomes wait to be written in one group with a claim.
MAX_OUTCOME_DELAY_SECONDS = 1.0
# Largest number of records in one journal entry.
MAX_GROUP_RECORD_COUNT = 2000
# Time for which a write is retried before its submitters get a failure.
WRITE_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _PendingRecord:
    record: records.Record
    event: eventlet.event.Event


class ShardWriter:
    """Writes the records of one shard to its journal."""

    def __init__(
        self,
        store: objects.ObjectClient,
        shard: int,
        measures: metrics.Metrics,
        retention: float,
    ):
        """Create a writer; its task runs only while records are pending."""
        self._journal = truncation.TruncatableJournal(
            store, f'claims-{shard:02d}'
        )
        self._retention = retention
        # None until the journal has been read to its end.
        self._table: records.KeyTable | None = None
        self._ages = entry_ages.EntryAges(retention)
        self._pending: list[_PendingRecord] = []
        self._is_writing = False
        self._last_write_at = float('-inf')
        self._write_trigger = eventlet.event.Event()
        self._metrics = measures

    def submit(
        self, record: records.Record, seconds: float
    ) -> records.KeyState | failures.Failure | None:
        """Append a record and return its key's state after it.

        Returns None if the journal holds no state for the key, for example
        because it has been forgotten. A failure's outcome tells whether the
        record may be in the journal.
        """
        known = self._table and self._table.state_by_key.get(record.key)
        if known and known.done:
            return known
        pending = _PendingRecord(record, eventlet.event.Event())
        self._pending.append(pending)
        if not isinstance(record, records.Done):
            self._trigger_write()
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn(self._write_groups)
        with eventlet.Timeout(seconds, False):
            return pending.event.wait()
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'claim.submit',
            detail='the store did not answer in time',
            retry_after=WRITE_TIMEOUT_SECONDS,
        )

    def _trigger_write(self) -> None:
        if not self._write_trigger.ready():
            self._write_trigger.send()

    def _write_groups(self) -> None:
        try:
            while self._pending:
                with eventlet.Timeout(MAX_OUTCOME_DELAY_SECONDS, False):
                    self._write_trigger.wait()
                due = self._last_write_at + WRITE_INTERVAL_SECONDS
                eventlet.sleep(max(0.0, due - timers.now()))
                self._write_trigger = eventlet.event.Event()
                self._last_write_at = timers.now()
                group = self._pending[:MAX_GROUP_RECORD_COUNT]
                self._pending = self._pending[MAX_GROUP_RECORD_COUNT:]
                if self._pending:
                    self._trigger_write()
                self._commit(group)
        finally:
            self._is_writing = False

    def _commit(self, group: list[_PendingRecord]) -> None:
        """Write a group at the first free index of the journal.

        If a write fails, its entry may still be created at that index. The
        next write then finds the index occupied and applies that entry.
        """
        change = ids.ChangeId(ids.new_id())
        began = timers.now()
        deadline = began + WRITE_TIMEOUT_SECONDS
        while True:
            result = self._catch_up() if self._table is None else None
            if isinstance(result, failures.Failure):
                return _fail_group(group, result)
            group = self._select(group)
            if not group:
                return None
            journal_records = self._journal_records(group)
            entry = journals.Entry(
                change, msgspec.to_builtins(journal_records)
            )
            result = self._journal.append(
                self._table.last_index + 1, entry, deadline - timers.now()
            )
            match result:
                case journals.Appended() if (
                    timers.now() - began > self._retention / 2
                ):
                    # The process was paused during the write; its claims may
                    # have been forgotten since.
                    result = _write_too_late()
                case journals.Appended(index=index):
                    self._metrics.count('claims.groups')
                    self._metrics.count('claims.records', len(group))
                    return self._apply_group(index, group, journal_records)
                case journals.Occupied():
                    result = self._catch_up()
                case truncation.Truncated(index=index):
                    LOG.warning(
                        'Claims journal truncated past index {}; reloading.',
                        index,
                    )
                    self._table = None
            if isinstance(result, failures.Failure):
                return _fail_group(group, result)

    def _select(self, group: list[_PendingRecord]) -> list[_PendingRecord]:
        """Return one pending record for each key, if it changes the key.

        Submitters of records that change nothing get the current state.
        Further records of a key are deferred to the next group, by which
        time the key's new state is known.
        """
        selected: dict[str, _PendingRecord] = {}
        for pending in group:
            record = pending.record
            if not self._table.would_change(record):
                pending.event.send(self._table.state_by_key.get(record.key))
            elif record.key in selected:
                self._pending.append(pending)
                self._trigger_write()
            else:
                selected[record.key] = pending
        return list(selected.values())

    def _journal_records(
        self, group: list[_PendingRecord]
    ) -> list[records.JournalRecord]:
        journal_records: list[records.JournalRecord] = [
            pending.record for pending in group
        ]
        through = self._ages.expired_through()
        if through:
            journal_records.append(records.Forgotten(through))
        return journal_records

    def _catch_up(self) -> failures.Failure | None:
        """Apply new journal entries, up to the end of the journal.

        Without a table, reading starts at the truncation point.
        """
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

    def _apply_group(
        self,
        index: int,
        group: list[_PendingRecord],
        journal_records: list[records.JournalRecord],
    ) -> None:
        self._table.apply(index, journal_records)
        self._ages.record(index)
        for pending in group:
            state = self._table.state_by_key.get(pending.record.key)
            pending.event.send(state)
        for record in journal_records:
            if isinstance(record, records.Forgotten):
                self._ages.forget(record.through)
                eventlet.spawn(self._truncate, record.through)

    def _truncate(self, through: int) -> None:
        """Remove the entries through ``through``.

        Called once the journal holds the record that they are forgotten.
        """
        failure = self._journal.truncate(through)
        if failure:
            # The next truncation removes these entries too.
            LOG.warning(
                'Claims journal not truncated, left to the next truncation: '
                '{}',
                failure.detail,
            )
            return
        self._metrics.count('claims.cuts')


def _write_too_late() -> failures.Failure:
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE,
        'claim.commit',
        detail='the write took so long that its claims may be forgotten',
        outcome=outcomes.Outcome.UNKNOWN,
        retry_after=WRITE_TIMEOUT_SECONDS,
    )


def _fail_group(
    group: list[_PendingRecord], failure: failures.Failure
) -> None:
    for pending in group:
        if not pending.event.ready():
            pending.event.send(failure)


class ClaimWriters:
    """The claim writers of one side process, by shard."""

    def __init__(
        self,
        store: objects.ObjectClient,
        measures: metrics.Metrics,
        retention: float,
    ):
        """Create an empty set; a shard's writer is created at first use.

        :param retention: least number of seconds for which a key is remembered
        """
        self._store = store
        self._metrics = measures
        self._retention = retention
        self._writer_by_shard: dict[int, ShardWriter] = {}

    def submit(
        self, shard: int, record: records.Record, seconds: float
    ) -> records.KeyState | failures.Failure | None:
        """Append a record to a shard's journal, as ShardWriter.submit does."""
        writer = self._writer_by_shard.get(shard)
        if writer is None:
            writer = ShardWriter(
                self._store, shard, self._metrics, self._retention
            )
            self._writer_by_shard[shard] = writer
        return writer.submit(record, seconds)
