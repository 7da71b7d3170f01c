"""Structured logs: short sentences behind a prefix for each part."""

import sys

import logbook

LINE_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '{record.channel}: {record.message}'
)
LEVELS = ('debug', 'info', 'warning', 'error')


def get(part: str) -> logbook.Logger:
    """Return the logger whose lines begin with the prefix of ``part``."""
    return logbook.Logger(part)


def set_up(level: str) -> None:
    """Send records of ``level`` and above to standard error."""
    logbook.set_datetime_format('utc')
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=LINE_FORMAT
    )
    handler.push_application()
