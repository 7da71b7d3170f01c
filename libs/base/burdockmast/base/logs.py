"""Structured logs: one JSON object a line, to standard output.

A line is queued for a thread of the operating system, since whoever reads
standard output may stop reading and a write would then stop every request
of the process. Lines for which there is no room are dropped and counted.
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

# The thread that writes must not be one of eventlet's.
_queue = eventlet.patcher.original('queue')
_threading = eventlet.patcher.original('threading')
_os = eventlet.patcher.original('os')

LEVELS = ('debug', 'info', 'warning', 'error')
STANDARD_OUTPUT = 1
# Lines that wait for a slow reader; about 2 MB of memory.
MAX_QUEUED_LINES = 8192
# Lines that are written in one call.
MAX_BATCH_LINES = 128
# Seconds that a process which ends waits for its last lines to be read.
FLUSH_SECONDS = 1.0
FLUSH_POLL_SECONDS = 0.01
# Seconds between reports of lines that were left out.
REPORT_SECONDS = 1.0
PART = 'logs'


def get(part: str) -> logbook.Logger:
    """Return the logger whose lines name ``part``."""
    return logbook.Logger(part)


def log_event(found: timeline.Event) -> None:
    """Write an event of the time line as a line."""
    part = found.what.partition('.')[0]
    fields = {'clock': found.clock, **found.fields}
    if found.request:
        fields['request'] = found.request
    get(part).info(found.what, extra=fields)


class Writer:
    """Writes lines to a file descriptor without ever making callers wait."""

    def __init__(self, descriptor: int, limit: int = MAX_QUEUED_LINES):
        """Create a writer and start its thread.

        :param limit: lines that may wait
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._limit = limit
        # Unlike a bounded queue, putting never takes a lock that blocks.
        self._lines = _queue.SimpleQueue()
        self._is_writing = False
        _threading.Thread(target=self._run, daemon=True).start()

    def put(self, line: bytes) -> None:
        """Queue a line, or count it as dropped."""
        if self._lines.qsize() >= self._limit:
            self.dropped += 1
        else:
            self._lines.put(line)

    def flush(self, seconds: float) -> None:
        """Wait until all lines are written, for a limited time."""
        deadline = time.monotonic() + seconds
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
                # Nobody reads standard output any more; the count tells.
                self.dropped += len(lines)

    def _write(self, data: bytes) -> None:
        while data:
            data = data[_os.write(self._descriptor, data) :]


class Handler(logbook.Handler):
    """Formats records as JSON and bounds how many there are."""

    def __init__(
        self,
        level: str,
        writer: Writer,
        process: dict[str, str],
        now: Callable[[], float] = time.monotonic,
    ):
        """Create a handler.

        :param process: fields that all lines of this process have
        :param now: monotonic seconds
        """
        super().__init__(level=level.upper())
        self.writer = writer
        self._process = process
        self._budgets = log_rate_limiter.LogRateLimiter(now)
        self._reported_dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line unless too many like it were written."""
        if self._budgets.allow(_kind(record)):
            self.writer.put(self._line(record))

    def report_lost_lines(self) -> None:
        """Say how many lines were left out since the last report."""
        for kind, count in self._budgets.take_suppressed_counts().items():
            self._put_report(
                'lines left out',
                of=' '.join(filter(None, kind)),
                count=count,
            )
        dropped = self.writer.dropped - self._reported_dropped
        if dropped:
            self._reported_dropped += dropped
            self._put_report('lines dropped', count=dropped)

    def _put_report(self, message: str, **fields: Any) -> None:
        self.writer.put(
            self._encoded(time.time(), 'WARNING', PART, message, fields)
        )

    def _line(self, record: logbook.LogRecord) -> bytes:
        fields = dict(record.extra)
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return self._encoded(
            time.time(),
            record.level_name,
            record.channel,
            record.message,
            fields,
        )

    def _encoded(
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
    """Return what records have in common that say the same thing.

    A refusal's reason is part of it: a flood of one cause leaves out no
    line of another.
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
    """The log of one process."""

    handler: Handler

    @classmethod
    def from_config(cls, level: str, process: dict[str, str]) -> 'Log':
        """Send records of ``level`` and above to standard output.

        :param process: fields that all lines of this process have
        """
        handler = Handler(level, Writer(STANDARD_OUTPUT), process)
        handler.push_application()
        return cls(handler)

    @property
    def dropped(self) -> int:
        """Lines that found no room."""
        return self.handler.writer.dropped

    def close(self) -> None:
        """Write what waits, for a limited time."""
        self.handler.report_lost_lines()
        self.handler.writer.flush(FLUSH_SECONDS)
