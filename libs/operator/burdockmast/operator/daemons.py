"""Runs an entry instance or a side process until SIGTERM or SIGINT."""

from collections.abc import Callable
import os
import pathlib
import signal

import eventlet
import eventlet.event

from burdockmast.base import logs
from burdockmast.entry import server as entry_server
from burdockmast.node import node
from burdockmast.operator import exit_status
from burdockmast.settings import loader
from burdockmast.settings import models
from burdockmast.side import server as side_server

LOG = logs.get('daemon')


def run_entry(path: pathlib.Path) -> exit_status.ExitStatus:
    """Run an entry instance with the settings file at ``path``.

    :raises loader.SettingsError: if the settings are wrong
    """
    settings = loader.load(path, models.EntrySettings)
    entry = entry_server.Entry(settings)
    try:
        sock = entry.start()
    except OSError as error:
        return _fail_to_listen(entry.node, error)
    serving = eventlet.spawn(entry.serve, sock)
    _wait_for_stop()
    entry.stop(sock, serving)
    return _finish(entry.node)


def run_side(path: pathlib.Path) -> exit_status.ExitStatus:
    """Run the side process of a backend server.

    :param path: settings file
    :raises loader.SettingsError: if the settings are wrong
    """
    settings = loader.load(path, models.SideSettings)
    side = side_server.SideProcess(settings)
    try:
        side.start()
    except OSError as error:
        return _fail_to_listen(side.node, error)
    _wait_for_stop()
    side.stop()
    return _finish(side.node)


def _fail_to_listen(
    process: node.Node, error: OSError
) -> exit_status.ExitStatus:
    LOG.error('Cannot listen on a configured address, exiting: {}.', error)
    process.log.close()
    return exit_status.ExitStatus.ADDRESS_IN_USE


def _finish(process: node.Node) -> exit_status.ExitStatus:
    process.events.add('process.stopped')
    process.log.close()
    return exit_status.ExitStatus.SUCCESS


def _wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT; a second one ends the process at once."""
    stopped = eventlet.event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, _signal_handler(stopped))
    stopped.wait()


def _signal_handler(stopped: eventlet.event.Event) -> Callable[..., None]:
    def stop(signal_number: int, frame: object) -> None:
        if stopped.ready():
            os._exit(exit_status.ExitStatus.ERROR)
        stopped.send(signal_number)

    return stop
