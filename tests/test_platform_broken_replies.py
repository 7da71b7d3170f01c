"""Broken replies of servers, beside callers of a real gateway process."""

import broken_replies
import platforms
import pytest

# The gateway's own answer where no server has given one.
BAD_GATEWAY = 502
INVALID_CHUNK_ENDS = {
    'size with a sign': b'+5\r\n',
    'size in words': b'five\r\n',
    'half of the last chunk': b'0\r\n',
    'trailer without a colon': b'0\r\nno field\r\n\r\n',
}


def ask(platform, path, **given):
    method = 'GET' if path.startswith('/lookup') else 'POST'
    return platform.ask(path, method, **given)


def send_from_now_on(servers, reply):
    for server in servers:
        server.raw_reply = reply
        server.requests.clear()


@pytest.mark.parametrize(
    ('path', 'attempts'),
    [
        ('/lookup/x', 2),
        ('/confirm/x', 1),
        ('/draft/plain/x', 2),
        ('/draft/unsafe/x', 1),
    ],
)
def test_no_invalid_reply_reaches_callers(platform, path, attempts):
    servers = platform.engines if 'unsafe' in path else platform.apps
    for case, sent in broken_replies.INVALID.items():
        if 'draft' in path and case.startswith(('chunks', 'short')):
            # A stream that has begun can't become an error.
            continue
        send_from_now_on(servers, sent)
        status, headers, body = ask(platform, path)
        assert status == BAD_GATEWAY, case
        assert 'Burdockmast-Response-Seal' not in headers, case
        assert broken_replies.BODY[:10] not in body, case
        assert 1 <= len(platforms.requests_at(servers)) <= attempts, case


@pytest.mark.parametrize('path', ['/lookup/x', '/confirm/x'])
def test_unusual_replies_reach_callers_whole(platform, path):
    for case, sent in broken_replies.VALID.items():
        send_from_now_on(platform.apps, sent)
        status, _, body = ask(platform, path)
        assert status in (200, 299), case
        assert body == broken_replies.BODY, case


def test_a_broken_head_is_not_believed_that_nothing_ran(platform):
    refusal = broken_replies.reply(
        b'Burdockmast-Not-Executed: 1',
        b'X Name: value',
        b'Content-Length: 0',
        status=b'HTTP/1.1 503 Service Unavailable',
        body=b'',
    )
    send_from_now_on(platform.apps, refusal)
    status, headers, _ = ask(platform, '/confirm/x')
    assert status == BAD_GATEWAY
    assert 'Burdockmast-Not-Executed' not in headers
    assert len(platforms.requests_at(platform.apps)) == 1


def test_nothing_of_a_broken_head_is_believed(platform):
    """Servers neither leave, nor want to rest, nor have limits."""
    broken = broken_replies.reply(
        b'Server-Leaving: 1',
        b'Server-Limit: 0.01',
        b'Retry-After: 60',
        b'no field',
        status=b'HTTP/1.1 503 Service Unavailable',
    )
    send_from_now_on(platform.apps, broken)
    for _ in range(5):
        assert ask(platform, '/lookup/x')[0] == BAD_GATEWAY
    send_from_now_on(platform.apps, None)
    for _ in range(20):
        assert ask(platform, '/lookup/x')[0] == 200


@pytest.mark.parametrize('case', INVALID_CHUNK_ENDS)
def test_a_stream_with_an_invalid_chunk_goes_on_elsewhere(platform, case):
    events = platforms.events(1, 2)
    stream = broken_replies.reply(
        broken_replies.CHUNKED,
        body=b'%x\r\n%s\r\n' % (len(events), events)
        + INVALID_CHUNK_ENDS[case],
    )
    broken, sound = platform.apps
    send_from_now_on([broken], stream)
    while not broken.requests:
        status, _, body = ask(platform, '/draft/plain/x')
        assert status == 200
        assert body == platforms.events(1, 5)
    assert sound.requests[-1].header_by_name.get('last-event-id') == '2'


def test_a_sound_server_answers_in_place_of_a_broken_one(platform):
    broken, _ = platform.apps
    send_from_now_on([broken], broken_replies.INVALID['length: in words'])
    while not broken.requests:
        status, _, body = ask(platform, '/lookup/x')
        assert status == 200
        assert body == b'answer of i-app1'
