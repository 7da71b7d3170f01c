"""KNOWN-RED.txt excuses only the tests that it names."""

import known_red
import pytest

ENTRY = (
    'tests/test_a.py::test_b | pytest tests/test_a.py | 7 | hung | issue 4\n'
)
TEST = 'tests/test_a.py::test_b'


@pytest.fixture
def write(tmp_path):
    def write_entries(text):
        path = tmp_path / 'KNOWN-RED.txt'
        path.write_text(text)
        return path

    return write_entries


def test_missing_file_has_no_entries(tmp_path):
    assert known_red.read(tmp_path / 'KNOWN-RED.txt') == {}


def test_all_fields_of_an_entry_are_read(write):
    entry = known_red.read(write(f'# comment\n\n{ENTRY}'))[TEST]
    assert entry.command == 'pytest tests/test_a.py'
    assert entry.seed == '7'
    assert 'hung' in str(entry) and 'issue 4' in str(entry)


@pytest.mark.parametrize(
    'text',
    [
        'tests/test_a.py::test_b | hung\n',
        'tests/test_a.py::test_b | command | 7 | | issue 4\n',
        ENTRY + ENTRY,
    ],
)
def test_malformed_entry_is_an_error_with_its_line_number(write, text):
    with pytest.raises(known_red.InvalidEntryError, match=r'line [12]'):
        known_red.read(write(text))


def test_entry_for_an_unknown_test_is_an_error(write):
    entries = known_red.read(write(ENTRY))
    known_red.check(entries, {TEST}, {'tests/test_a.py'})
    known_red.check(entries, set(), set())
    with pytest.raises(known_red.InvalidEntryError, match='test_b'):
        known_red.check(entries, {'other'}, {'tests/test_a.py'})


def test_entry_for_a_missing_file_is_an_error(write, tmp_path):
    entries = known_red.read(write(ENTRY))
    with pytest.raises(known_red.InvalidEntryError, match='test_a'):
        known_red.check(entries, set(), known_red.files_of(entries, set()))
