"""The list of known failures passes over just what it names."""

import known_red
import pytest

ENTRY = (
    'tests/test_a.py::test_b | pytest tests/test_a.py | 7 | hung | issue 4\n'
)
TEST = 'tests/test_a.py::test_b'


@pytest.fixture
def write(tmp_path):
    def written(text):
        path = tmp_path / 'KNOWN-RED.txt'
        path.write_text(text)
        return path

    return written


def test_no_file_passes_over_nothing(tmp_path):
    assert known_red.read(tmp_path / 'KNOWN-RED.txt') == {}


def test_entry_is_read_with_all_its_parts(write):
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
def test_malformed_entry_is_an_error_that_names_its_line(write, text):
    with pytest.raises(known_red.BadEntry, match=r'line [12]'):
        known_red.read(write(text))


def test_entry_that_names_no_test_is_an_error(write):
    entries = known_red.read(write(ENTRY))
    known_red.check(entries, {TEST}, {'tests/test_a.py'})
    known_red.check(entries, set(), set())
    with pytest.raises(known_red.BadEntry, match='test_b'):
        known_red.check(entries, {'other'}, {'tests/test_a.py'})


def test_entry_of_a_missing_file_is_an_error(write, tmp_path):
    entries = known_red.read(write(ENTRY))
    with pytest.raises(known_red.BadEntry, match='test_a'):
        known_red.check(entries, set(), known_red.files_of(entries, set()))
