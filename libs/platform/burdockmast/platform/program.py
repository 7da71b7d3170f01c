"""Runs a gateway on the prepared platform."""

import warnings

# eventlet announces its retirement at each import; the house builds on it.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import os  # noqa: E402

# Peers are given by IP number; no resolver is wanted.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import pathlib  # noqa: E402
import sys  # noqa: E402

from burdockmast.gateway import server  # noqa: E402
from burdockmast.platform import configuration  # noqa: E402
from burdockmast.platform import headers  # noqa: E402
from burdockmast.platform import orders  # noqa: E402
from burdockmast.platform import servers  # noqa: E402
from burdockmast.platform import settings  # noqa: E402
from burdockmast.platform import store  # noqa: E402
from burdockmast.settings import loader  # noqa: E402

EXIT_BAD_SETTINGS = 3


def main() -> None:
    """Run a gateway by the settings file that the environment names."""
    try:
        run()
    except loader.SettingsError as error:
        print(f'burdockmast: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def run(path: pathlib.Path | None = None) -> None:
    """Run a gateway until it is told to stop.

    :param path: the platform's settings file; the environment names one if
        this is None
    :raises loader.SettingsError: if the file is missing or wrong
    """
    found = settings.parse(path) if path else settings.read()
    client = store.Store(found.store_address)
    server.Gateway(
        server.Settings(
            instance=found.instance,
            zone=found.zone,
            callers_address=found.callers_address,
            ready_address=found.ready_address,
            metrics_address=found.metrics_address,
            neighbours_address=found.neighbours_address,
            revoke_seconds=found.revoke_seconds,
            grace_seconds=found.grace_seconds,
            retry_ratio=found.retry_ratio,
            retry_slack=found.retry_slack,
            retry_window=found.retry_window,
        ),
        server.Platform(
            deployments=store.Feed(
                client, configuration.KIND, configuration.decode
            ),
            servers=store.Feed(client, servers.KIND, servers.decode),
            seat=store.Seat(client, found.instance),
            roster=store.Roster(client, found.instance),
            engines=orders.PlatformEngines(),
            dialect=headers.PlatformDialect(),
        ),
    ).run()


if __name__ == '__main__':
    main()
