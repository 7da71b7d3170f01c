"""Reads KNOWN-RED.txt: tests that fail for a fault that is not mended yet.

An entry is one line of five parts between bars: the test's id, the command
that shows it, its seed, what was seen, and the open issue. Lines that begin
with # are comments.
"""

import dataclasses
import pathlib

PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
PARTS = 5


class BadEntry(Exception):
    """An entry is malformed, or names no test."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A test that is passed over, and why."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self):
        """Return the entry as it is printed in the run."""
        return f'{self.test}: {self.seen} (seed {self.seed}, {self.issue})'


def read(path=PATH):
    """Return the entries by test; none if there is no file.

    :raises BadEntry: naming the line
    """
    if not path.exists():
        return {}
    found = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith('#'):
            continue
        parts = [part.strip() for part in line.split('|')]
        if len(parts) != PARTS or not all(parts):
            raise BadEntry(
                f'{path.name}, line {number}: expected {PARTS} parts '
                f'between bars, found {len([p for p in parts if p])}'
            )
        if parts[0] in found:
            raise BadEntry(f'{path.name}, line {number}: named twice')
        found[parts[0]] = Entry(*parts)
    return found


def files_of(entries, collected):
    """Return the files that entries are checked against.

    :param collected: files that were collected as a whole
    """
    named = {test.partition('::')[0] for test in entries}
    root = PATH.parent
    return {f for f in named if f in collected or not (root / f).exists()}


def check(entries, tests, files):
    """Check that each entry names a test.

    :param tests: ids of all tests of ``files``
    :param files: files that were collected as a whole
    :raises BadEntry: naming the entries that do not
    """
    unknown = [
        test
        for test in entries
        if test.partition('::')[0] in files and test not in tests
    ]
    if unknown:
        raise BadEntry(f'KNOWN-RED.txt names no test: {", ".join(unknown)}')
