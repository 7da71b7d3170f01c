"""Structured logs: one JSON object per line, written to standard output.

An operating system thread writes the lines: if the reader of standard
output stops reading, a write blocks, and in an eventlet task it would stall
every request of the process. Lines that don't fit into the queue are dropped
and counted.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import eventlet.patcher
import logbook
import msgspec

from burdockmast.base import log_rate_limiter
from burdockmast.base import timeline

# The writer needs a real thread, which eventlet has not patched.
_queue = eventlet.patcher.original('queue')
_threading = eventlet.patcher.original('threading')
_os = eventlet.patcher.original('os')

LEVELS = ('debug', 'info', 'warning', 'error')
STANDARD_OUTPUT = 1
# Bound on lines that wait for a slow reader; about 2 MB of memory.
MAX_QUEUED_LINES = 8192
# Bound on lines that are written in one call.
MAX_BATCH_LINES = 128
# How long a process that exits waits for its last lines to be written.
FLUSH_SECONDS = 1.0
FLUSH_POLL_SECONDS = 0.01
# Interval between reports of suppressed and dropped lines.
REPORT_SECONDS = 1.0
PART = 'logs'


def get(part: str) -> logbook.Logger:
    """Return the logger whose lines have ``part`` in their part field."""
    return logbook.Logger(part)


def log_event(event: timeline.Event) -> None:
    """Log an event of the timeline."""
    part = event.what.partition('.')[0]
    fields = {'clock': event.clock, **event.fields}
    if event.request:
        fields['request'] = event.request
    get(part).info(event.what, extra=fields)


class Writer:
    """Writes lines to a file descriptor without blocking callers."""

    def __init__(self, descriptor: int, limit: int = MAX_QUEUED_LINES):
        """Create a writer and start its thread.

        :param limit: lines that may be queued
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._limit = limit
        # Unlike with a bounded queue, put takes no lock that could block.
        self._lines = _queue.SimpleQueue()
        self._is_writing = False
        _threading.Thread(target=self._run, daemon=True).start()

    def put(self, line: bytes) -> None:
        """Queue a line, or drop and count it if the queue is full."""
        if self._lines.qsize() >= self._limit:
            self.dropped += 1
        else:
            self._lines.put(line)

    def flush(self, timeout_seconds: float) -> None:
        """Wait until all lines are written or the timeout has passed."""
        deadline = time.monotonic() + timeout_seconds
        while self._is_writing or self._lines.qsize():
            if time.monotonic() > deadline:
                return
            time.sleep(FLUSH_POLL_SECONDS)

    def _run(self) -> None:
        while True:
            self._is_writing = False
            lines = [self._lines.get()]
            self._is_writing = True
            while len(lines) < MAX_BATCH_LINES and self._lines.qsize():
                lines.append(self._lines.get())
            try:
                self._write(b''.join(lines))
            except OSError:
                # Standard output is closed, so this can't be logged either;
                # the lines only count as dropped.
                self.dropped += len(lines)

    def _write(self, data: bytes) -> None:
        while data:
            data = data[_os.write(self._descriptor, data) :]


class Handler(logbook.Handler):
    """Formats log records as JSON and limits their rate by kind."""

    def __init__(
        self,
        level: str,
        writer: Writer,
        process: dict[str, str],
        now: Callable[[], float] = time.monotonic,
    ):
        """Create a handler.

        :param process: fields that are added to all lines
        :param now: returns monotonic seconds
        """
        super().__init__(level=level.upper())
        self.writer = writer
        self._process = process
        self._rate_limiter = log_rate_limiter.LogRateLimiter(now)
        self._reported_dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line unless the rate limit suppresses it."""
        if self._rate_limiter.allow(_kind(record)):
            self.writer.put(self._line(record))

    def report_lost_lines(self) -> None:
        """Log how many lines were suppressed or dropped since last time."""
        for kind, count in self._rate_limiter.take_suppressed_counts().items():
            self._put_report(
                'lines suppressed',
                of=' '.join(filter(None, kind)),
                count=count,
            )
        dropped = self.writer.dropped - self._reported_dropped
        if dropped:
            self._reported_dropped += dropped
            self._put_report('lines dropped', count=dropped)

    def _put_report(self, message: str, **fields: Any) -> None:
        self.writer.put(
            self._encode(time.time(), 'WARNING', PART, message, fields)
        )

    def _line(self, record: logbook.LogRecord) -> bytes:
        fields = dict(record.extra)
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return self._encode(
            time.time(),
            record.level_name,
            record.channel,
            record.message,
            fields,
        )

    def _encode(
        self,
        wall: float,
        level: str,
        part: str,
        message: str,
        fields: dict[str, Any],
    ) -> bytes:
        line = {
            'time': _timestamp(wall),
            'level': level.lower(),
            'part': part,
            'message': message,
            **self._process,
            **fields,
        }
        return msgspec.json.encode(line, enc_hook=str) + b'\n'


def _kind(record: logbook.LogRecord) -> log_rate_limiter.Kind:
    """Return the kind by which the rate of similar records is limited.

    The reason of a refusal is part of it, so that many refusals for one
    reason don't suppress those for another.
    """
    extra = record.extra
    return (
        record.channel,
        str(record.msg),
        str(extra.get('reason') or ''),
        str(extra.get('step') or ''),
    )


def _timestamp(wall: float) -> str:
    seconds = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(wall))
    return f'{seconds}.{int(wall % 1 * 1e6):06d}Z'


@dataclasses.dataclass(slots=True)
class Log:
    """Log output of one process."""

    handler: Handler

    @classmethod
    def from_config(cls, level: str, process: dict[str, str]) -> 'Log':
        """Write records of ``level`` and above to standard output.

        :param process: fields that are added to all lines
        """
        handler = Handler(level, Writer(STANDARD_OUTPUT), process)
        handler.push_application()
        return cls(handler)

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped because the queue was full."""
        return self.handler.writer.dropped

    def close(self) -> None:
        """Write the queued lines, with a timeout."""
        self.handler.report_lost_lines()
        self.handler.writer.flush(FLUSH_SECONDS)
