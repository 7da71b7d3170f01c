"""Callers' connections to a gateway process."""

import signal

import eventlet
import platforms

REQUEST = (
    b'POST /confirm/x HTTP/1.1\r\n'
    b'Host: h.example\r\n'
    b'Burdockmast-Request-Id: r1\r\n'
    b'Burdockmast-Key: %s\r\n'
    b'Content-Length: 0\r\n'
    b'\r\n'
) % platforms.KEY.encode()


def count_successes(sock, expected):
    """Read answers until there are as many as expected."""
    data = b''
    with eventlet.Timeout(5, False):
        while data.count(b'answer of ') < expected:
            found = sock.recv(4096)
            if not found:
                break
            data += found
    return data.count(b'HTTP/1.1 200 OK')


def test_a_request_that_comes_with_the_answer_before_it_is_answered(platform):
    for app in platform.apps:
        app.delay_seconds = 0.1
    for _ in range(12):
        for app in platform.apps:
            app.requests.clear()
        sock = eventlet.connect((platform.host, 7000))
        sock.sendall(REQUEST)
        platform.wait_for(lambda: platforms.requests_at(platform.apps))
        # The gateway finds the answer and the next request at once.
        platform.process.send_signal(signal.SIGSTOP)
        sock.sendall(REQUEST[:40])
        eventlet.sleep(0.2)
        platform.process.send_signal(signal.SIGCONT)
        eventlet.sleep(0.05)
        sock.sendall(REQUEST[40:])
        assert count_successes(sock, 2) == 2
        sock.close()
