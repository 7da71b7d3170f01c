"""Telling servers that crashed from answers that were broken off."""

import eventlet

from burdockmast.gateway import backends
from burdockmast.gateway import crash_checks


def server_at(address):
    return backends.BackendServer(
        'i-1', 'app', address, 'a', True, backends.NO_LAYERS, '', 1, 1
    )


def test_only_a_server_that_refuses_connections_has_crashed():
    sock = eventlet.listen(('127.0.0.1', 0))
    server = server_at('{}:{}'.format(*sock.getsockname()))
    checks = crash_checks.CrashChecks()
    assert not checks.has_crashed(server)
    sock.close()
    assert checks.has_crashed(server)


def test_requests_that_broke_together_share_one_check(monkeypatch):
    asked = []

    def refuse(server):
        asked.append(server)
        eventlet.sleep(0.01)
        return True

    monkeypatch.setattr(crash_checks, '_refuses_connections', refuse)
    checks = crash_checks.CrashChecks()
    tasks = [
        eventlet.spawn(checks.has_crashed, server_at('h:1')) for _ in range(5)
    ]
    assert all(task.wait() for task in tasks)
    assert len(asked) == 1


def test_a_check_goes_on_though_the_request_that_asked_has_ended(monkeypatch):
    def refuse(server):
        eventlet.sleep(0.01)
        return True

    monkeypatch.setattr(crash_checks, '_refuses_connections', refuse)
    checks = crash_checks.CrashChecks()
    first, second = (
        eventlet.spawn(checks.has_crashed, server_at('h:1')) for _ in range(2)
    )
    eventlet.sleep(0)
    first.kill()
    assert second.wait()
