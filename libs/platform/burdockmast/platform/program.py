"""Runs a gateway on the platform that it is deployed on."""

import warnings

# eventlet warns at each import that it is deprecated; the gateway is
# built on it.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import os  # noqa: E402

# Peers are given by IP address, so no resolver is needed.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import pathlib  # noqa: E402
import sys  # noqa: E402

from burdockmast.gateway import server  # noqa: E402
from burdockmast.platform import configuration  # noqa: E402
from burdockmast.platform import engine_client  # noqa: E402
from burdockmast.platform import headers  # noqa: E402
from burdockmast.platform import retry_slots  # noqa: E402
from burdockmast.platform import servers  # noqa: E402
from burdockmast.platform import settings  # noqa: E402
from burdockmast.platform import shared_records  # noqa: E402
from burdockmast.platform import store  # noqa: E402
from burdockmast.settings import loader  # noqa: E402

EXIT_BAD_SETTINGS = 3


def main() -> None:
    """Run a gateway with the settings file that the environment names."""
    try:
        run()
    except loader.SettingsError as error:
        print(f'burdockmast: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def run(path: pathlib.Path | None = None) -> None:
    """Run a gateway until it gets a stop signal, then end the process.

    :param path: the platform's settings file; the environment names one if
        this is None
    :raises loader.SettingsError: if the file is missing or wrong
    """
    platform_settings = (
        settings.load(path) if path else settings.load_from_environment()
    )
    store_client = store.Client(platform_settings.store_address)
    gateway = server.Gateway(
        platform_settings.gateway,
        server.Platform(
            configurations=store.Feed(
                store_client, configuration.KIND, configuration.decode
            ),
            servers=store.Feed(store_client, servers.KIND, servers.decode),
            planner_lock=shared_records.PlannerLock(
                store_client, platform_settings.gateway.instance
            ),
            gateway_registry=shared_records.GatewayRegistry(
                store_client, platform_settings.gateway.record
            ),
            quarantine_registry=shared_records.QuarantineRegistry(
                store_client
            ),
            retry_slots=retry_slots.RetrySlotRegistry(store_client),
            engines=engine_client.EngineClient(),
            header_codec=headers.HeaderCodec(),
        ),
    )
    store_client.on_call_end.append(gateway.record_store_call)
    gateway.run()
    # Until the interpreter has cleaned up, which may take seconds, callers'
    # connections would stay open, though nobody reads them.
    os._exit(0)


if __name__ == '__main__':
    main()
