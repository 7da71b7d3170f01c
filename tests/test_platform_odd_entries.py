"""One odd entry of another writer does not hide or spoil the sound ones."""

import json
from urllib import parse

import eventlet
import logbook
import msgspec
import pytest
import urllib3

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.platform import configuration
from burdockmast.platform import engine_client
from burdockmast.platform import json_lists
from burdockmast.platform import servers
from burdockmast.platform import shared_records
from burdockmast.platform import store

ENTRY = {
    'service': 'llm',
    'address': '10.1.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'sequence': 4,
    'kind': 'l4',
    'born': 1779457132009,
    'layers': {'from': 20, 'to': 31, 'version': 1},
}
DEPTH = 5000
DEEP = '[' * DEPTH + ']' * DEPTH


def entry(**changes):
    """Return an entry as JSON, where a changed value is JSON text itself."""
    fields = {name: json.dumps(value) for name, value in ENTRY.items()}
    fields.update(changes)
    members = ','.join(f'"{name}":{text}' for name, text in fields.items())
    return f'{{{members}}}'


ODD_SPECS = {
    'deep': DEEP,
    'deep in a field of its own': entry(unread=DEEP),
    'deep objects': '{"a":' * DEPTH + '1' + '}' * DEPTH,
    'too large a number': entry(sequence='1e999'),
    'too large a number in a field of its own': entry(unread='1e999'),
    'number of many digits': entry(born='9' * 5000),
    'not a number': entry(sequence='NaN'),
    'start beyond all clocks': entry(born=str(2**70)),
    'negative start': entry(born='-1'),
    'sequence of 70 bits': entry(sequence=str(2**70)),
    'port 0': entry(address='"10.1.0.9:0"'),
    'port 65536': entry(address='"10.1.0.9:65536"'),
    'port of 40 digits': entry(address=f'"10.1.0.9:{"9" * 40}"'),
    'digits that are not ASCII': entry(
        address='"10.1.0.9:\u0668\u0660"',
    ),
    'host that is no number': entry(address='"host.example:80"'),
    'negative layer': entry(layers='{"from":-5,"to":10}'),
    'layers beyond all models': entry(layers=f'{{"from":0,"to":{2**40}}}'),
    'text that is no UTF-8': entry(zone='"\udcff"'),
    'half a surrogate': entry(zone='"\\ud800"'),
    'no entry': '7',
}


def stored(name, spec):
    metadata = json.dumps({'name': name, 'revision': 3})
    return f'{{"metadata":{metadata},"spec":{spec}}}'


class Connections:
    """Gives prepared bodies as answers of the store."""

    def __init__(self, body):
        self._body = body.encode(errors='surrogateescape')

    def request(self, method, url, **options):
        return urllib3.HTTPResponse(
            body=self._body, headers={}, status=200, preload_content=True
        )


def feed(body, kind=servers.KIND, decode=servers.decode):
    return store.Feed(
        store.Client('store', _pool=Connections(body)), kind, decode
    )


def listing_of(*items):
    return f'{{"items":[{",".join(items)}],"current-rev":9}}'


class Pages:
    """Gives lists of objects, each behind the last name of the one before."""

    def __init__(self, *pages):
        self._pages = pages
        self.asked = []

    def request(self, method, url, **options):
        query = dict(parse.parse_qsl(parse.urlsplit(url).query))
        self.asked.append(query.get('after'))
        number = len(self.asked) - 1
        has_more = 'true' if self._pages[number + 1 :] else 'false'
        body = (
            f'{listing_of(*self._pages[number])[:-1]},"has-more":{has_more}}}'
        )
        return urllib3.HTTPResponse(
            body=body.encode(errors='surrogateescape'),
            headers={},
            status=200,
            preload_content=True,
        )


@pytest.mark.parametrize('order', [1, -1])
@pytest.mark.parametrize('odd', ODD_SPECS)
def test_a_listing_with_an_odd_entry_has_the_sound_ones(odd, order):
    items = [stored('i-odd', ODD_SPECS[odd]), stored('i-1', entry())]
    found = feed(listing_of(*items[::order])).list()
    assert set(found.item_by_name) == {'i-1'}
    assert found.revision == 9


@pytest.mark.parametrize('odd', ODD_SPECS)
def test_a_watch_with_an_odd_entry_has_the_sound_ones(odd):
    """Or asks for a listing, where the odd one's name can't be read."""
    events = ','.join(
        f'{{"object":{stored(name, spec)},"deleted":false}}'
        for name, spec in (('i-odd', ODD_SPECS[odd]), ('i-1', entry()))
    )
    found = feed(f'{{"events":[{events}],"current-rev":9}}').watch(3, 0.1)
    if isinstance(found, failures.Failure):
        assert found.reason is failures.Reason.STORE_CONFLICT
        return
    item_by_name = {change.name: change.item for change in found.changes}
    assert item_by_name.pop('i-odd') is None
    assert set(item_by_name) == {'i-1'}


@pytest.mark.parametrize(
    'metadata', ['7', '{}', '{"name":7}', '{"name":"x","revision":"odd"}']
)
def test_an_object_without_a_readable_name_is_left_out(metadata):
    odd = f'{{"metadata":{metadata},"spec":{{}}}}'
    found = feed(listing_of(odd, stored('i-1', entry()))).list()
    assert set(found.item_by_name) == {'i-1'}


@pytest.mark.parametrize('name', ['i-odd', 'a&b=c', '\u00e9 "x"'])
@pytest.mark.parametrize('odd', ODD_SPECS)
def test_a_listing_goes_on_behind_a_page_of_odd_entries(odd, name):
    """Such a page used to end the listing, so that sound servers were lost."""
    pages = Pages(
        [stored('i-1', entry())],
        [stored(name, ODD_SPECS[odd])],
        [stored('i-2', entry())],
    )
    client = store.Client('store', _pool=pages)
    found = store.Feed(client, servers.KIND, servers.decode).list()
    assert set(found.item_by_name) == {'i-1', 'i-2'}
    assert pages.asked == [None, 'i-1', name]


def test_odd_entries_of_a_page_share_a_log_line():
    """Guards against log lines that take longer than reading the page."""
    sound = stored('i-sound', entry())
    with logbook.TestHandler() as handler:
        found = feed(listing_of(*['7'] * 5000, sound)).list()
    assert list(found.item_by_name) == ['i-sound']
    (line,) = handler.records
    assert line.extra['count'] == 5000


@pytest.mark.parametrize('body', [listing_of(*['7'] * 20_000), '{' * 200_000])
def test_others_run_while_an_odd_page_is_read(body):
    """Guards against pages that keep a process from all others."""
    turns = []

    def count_turns():
        while True:
            turns.append(None)
            eventlet.sleep(0)

    task = eventlet.spawn(count_turns)
    eventlet.sleep(0)
    before = len(turns)
    feed(body).list()
    task.kill()
    assert len(turns) >= before + 10


@pytest.mark.parametrize('page', [[], ['7'], ['{"metadata":{}}']])
def test_a_listing_fails_if_it_can_not_go_on(page):
    pages = Pages([stored('i-1', entry())], page, [stored('i-2', entry())])
    client = store.Client('store', _pool=pages)
    found = store.Feed(client, servers.KIND, servers.decode).list()
    assert found.reason is failures.Reason.STORE_UNAVAILABLE


def test_gateways_behind_a_page_of_odd_entries_are_counted():
    """Fewer would give each gateway a larger part of the retry budget."""
    spec = json.dumps({'zone': 'a', 'address': '10.1.0.9:7010'})
    pages = Pages(
        [stored('gateway-1', spec)],
        [stored('odd', DEEP)],
        [stored('gateway-2', spec)],
    )
    client = store.Client('store', _pool=pages)
    own = interfaces.GatewayRecord('gateway-1', 'a', '10.1.0.9:7010')
    found = shared_records.GatewayRegistry(client, own).list()
    assert [record.name for record in found] == ['gateway-1', 'gateway-2']


@pytest.mark.parametrize(
    'document',
    [
        '{"items":[]}',
        '{"items":[ 1 , "a,]\\"[" , {"items":[2,{"x":[]}]} ],"n":[3]}',
        '{"n":{"items":[9]},"items":[[1],[2]],"m":"items"}',
    ],
)
def test_a_list_is_split_into_the_elements_that_a_decoder_finds(document):
    rest, elements = json_lists.split(document.encode(), 'items')
    whole = json.loads(document)
    assert [json.loads(element) for element in elements] == whole['items']
    assert json.loads(rest) == {**whole, 'items': []}


@pytest.mark.parametrize('document', ['', '[1]', '{"items":7}', '{"items":[1'])
def test_a_document_without_the_list_is_not_split(document):
    with pytest.raises(msgspec.DecodeError):
        json_lists.split(document.encode(), 'items')


def test_only_the_operators_object_is_a_configuration():
    """Another object of its kind does not take its place."""
    found = feed(
        listing_of(
            stored('main', '{"version":7}'), stored('odd', '{"version":99}')
        ),
        configuration.KIND,
        configuration.decode,
    ).list()
    assert [item.version for item in found.item_by_name.values()] == [7]


@pytest.mark.parametrize('address', ['', '10.1.0.9', '10.1.0.9:70000', 'x:1'])
def test_a_registered_gateway_without_an_address_is_left_out(address):
    specs = [
        json.dumps({'zone': 'a', 'address': given})
        for given in (address, '10.1.0.9:7010')
    ]
    body = listing_of(
        stored('odd', specs[0]), stored('sound', specs[1]), stored('n', '7')
    )
    client = store.Client('store', _pool=Connections(body))
    found = shared_records.GatewayRegistry(client, None).list()
    assert [gateway.name for gateway in found] == ['sound']


class Server:
    """Answers with a prepared report."""

    def __init__(self, text):
        self._data = text.encode()

    def __call__(self, *given):
        return engine_client._Response(200, self._data)


@pytest.mark.parametrize(
    'text',
    [
        DEEP,
        f'{{"unread":{DEEP}}}',
        '{"pace":1e999}',
        '{"pace":-3}',
        '{"pace":0}',
        '{"sequence":-1}',
        f'{{"sequence":{"9" * 5000}}}',
        '{"kv-used":-5,"kv-total":10}',
        '{"stalled":[{"id":"r","address":"10.1.0.9:99999"}]}',
        '7',
    ],
)
def test_an_odd_report_is_a_failure(text, monkeypatch):
    client = engine_client.EngineClient()
    monkeypatch.setattr(client, '_call', Server(text))
    server = backends.BackendServer(
        'i-1',
        'llm',
        ids.Address('10.1.0.9:80'),
        'a',
        True,
        backends.NO_LAYERS,
        'l4',
        1,
        1,
    )
    found = client.fetch_report(server)
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.PROTOCOL
