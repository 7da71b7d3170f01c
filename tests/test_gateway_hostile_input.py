"""A gateway goes on answering whatever servers, the store or callers send."""

import broken_replies
import eventlet
import pytest

from burdockmast.base import timers

DEADLINE_SECONDS = 2.0
# After its deadline, a request must have its answer by then.
SLACK_SECONDS = 0.5
PLAY_SECONDS = 1.5
PAUSE_SECONDS = 0.05
# For the answers to what hostile callers have sent.
ANSWER_SECONDS = 10.0
BAD_GATEWAY = 502
REPLIES_OF_THE_STORE = 3
CALLERS = 40
# A little less than a head may have.
HEAD_BYTES = 15_000
ZEROS = b'0000001600'
LENGTHS = {
    'an empty element at the end': b', '.join([ZEROS] * 12) + b',',
    'a word at the end': b','.join([ZEROS] * 12) + b',x',
    'unequal zeros': b','.join(b'0' * n + b'1600' for n in range(6, 18))
    + b';',
}
PAGES = {
    'escaped quotes outside of strings': b'\\"' * 40_000,
    'the end within a string': b'{"items":["' + b'\\"' * 40_000,
    'many objects that cannot be decoded': (
        b'{"current-rev":9,"items":[' + b'1,' * 400_000 + b'1]}'
    ),
}
HEADS = {
    'semicolons in a quoted parameter': (
        b'Content-Type: multipart/form-data; a="' + b';' * HEAD_BYTES
    ),
    'many parameters': b'Content-Type: multipart/x' + b';a=b' * 3500,
}


def answered(platform):
    """Ask for an answer; return its status, None if none comes in time."""
    with eventlet.Timeout(DEADLINE_SECONDS + SLACK_SECONDS, False):
        return platform.ask(
            '/draft/x',
            Burdockmast_Deadline_Ms=str(int(DEADLINE_SECONDS * 1000)),
        )[0]
    return None


def statuses_beside(platform, *tasks):
    """Return the statuses of ordinary requests while tasks run."""
    running = [eventlet.spawn(task) for task in tasks]
    statuses = []
    until = timers.now() + PLAY_SECONDS
    while timers.now() < until:
        statuses.append(answered(platform))
        eventlet.sleep(PAUSE_SECONDS)
    with eventlet.Timeout(ANSWER_SECONDS):
        for task in running:
            task.wait()
    return statuses


@pytest.mark.parametrize('case', LENGTHS)
def test_a_length_does_not_keep_the_gateway_from_others(platform, case):
    """Guards against heads whose reading grew exponentially."""
    for server in platform.apps:
        server.raw_reply = broken_replies.reply(
            b'Content-Length: ' + LENGTHS[case]
        )
    found = []
    statuses = statuses_beside(
        platform, lambda: found.append(platform.ask('/lookup/x', 'GET')[0])
    )
    assert set(statuses) == {200}
    assert found == [BAD_GATEWAY]


@pytest.mark.parametrize('case', LENGTHS)
def test_a_head_of_the_store_does_not_keep_the_gateway_from_others(
    platform, case
):
    check_reply_of_the_store(
        platform,
        broken_replies.reply(b'Content-Length: ' + LENGTHS[case]),
    )


@pytest.mark.parametrize('case', PAGES)
def test_a_page_of_the_store_does_not_keep_the_gateway_from_others(
    platform, case
):
    """Guards against pages whose reading grew with the square of them."""
    page = PAGES[case]
    check_reply_of_the_store(
        platform,
        broken_replies.reply(b'Content-Length: %d' % len(page), body=page),
    )


def check_reply_of_the_store(platform, reply):
    platform.store.raw_replies.extend([reply] * REPLIES_OF_THE_STORE)
    statuses = statuses_beside(platform, platform.store.discard_history)
    assert not platform.store.raw_replies
    assert set(statuses) == {200}


@pytest.mark.parametrize('case', HEADS)
def test_heads_of_callers_do_not_keep_the_gateway_from_others(platform, case):
    """Guards against heads whose reading grew with the square of them."""
    statuses = statuses_beside(
        platform, *[lambda: send_head(platform, HEADS[case])] * CALLERS
    )
    assert set(statuses) == {200}


def send_head(platform, line):
    """Send a request with one more line in its head; wait for an answer."""
    host, port = platform.callers.split(':')
    sock = eventlet.connect((host, int(port)))
    lines = (
        b'GET /lookup/x HTTP/1.1',
        *(f'{k}: {v}'.encode() for k, v in platform.headers().items()),
        line,
    )
    sock.sendall(b'\r\n'.join(lines) + b'\r\n\r\n')
    assert sock.recv(1)
    sock.close()
