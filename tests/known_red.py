"""Reads KNOWN-RED.txt: tests that fail because of a known, unfixed fault.

An entry is a line of five fields separated by bars (|): the test's id, the
command that reproduces the failure, its seed, what was seen, and the open
issue. Lines that begin with # are comments.
"""

import dataclasses
import pathlib

PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
FIELD_COUNT = 5


class InvalidEntryError(Exception):
    """An entry is malformed or names an unknown test."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A test whose failure is expected, and why."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self):
        """Return the entry as the test run prints it."""
        return f'{self.test}: {self.seen} (seed {self.seed}, {self.issue})'


def read(path=PATH):
    """Return the entries by test id; empty if the file is missing.

    :raises InvalidEntryError: if a line is malformed or repeats a test
    """
    if not path.exists():
        return {}
    found = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith('#'):
            continue
        fields = [part.strip() for part in line.split('|')]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise InvalidEntryError(
                f'{path.name}, line {number}: expected {FIELD_COUNT} fields '
                f'separated by |, found {len([p for p in fields if p])}'
            )
        if fields[0] in found:
            raise InvalidEntryError(
                f'{path.name}, line {number}: the test is listed twice'
            )
        found[fields[0]] = Entry(*fields)
    return found


def files_of(entries, collected):
    """Return the test files whose entries can be checked.

    These are the files that were collected in full and those that are
    missing.

    :param collected: files that were collected in full
    """
    named = {test.partition('::')[0] for test in entries}
    root = PATH.parent
    return {f for f in named if f in collected or not (root / f).exists()}


def check(entries, tests, files):
    """Check that each entry names an existing test.

    :param tests: ids of all tests of ``files``
    :param files: files whose entries are checked
    :raises InvalidEntryError: listing the entries that name none
    """
    unknown = [
        test
        for test in entries
        if test.partition('::')[0] in files and test not in tests
    ]
    if unknown:
        raise InvalidEntryError(
            f'KNOWN-RED.txt lists unknown tests: {", ".join(unknown)}'
        )
