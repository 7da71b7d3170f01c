"""Reads the TOML settings file that the platform writes for each process."""

import dataclasses
import math
import os
import pathlib
import resource
import tomllib
from typing import Annotated

import msgspec

from burdockmast.base import ids
from burdockmast.gateway import settings
from burdockmast.gateway.intake import datagrams
from burdockmast.gateway.intake import limits
from burdockmast.settings import loader

# Environment variable with the path of the settings file.
PATH_VARIABLE = 'BURDOCKMAST_NODE_FILE'

# Values that apply where the file doesn't give them.
DEFAULT_REVOKE_MS = 5000
DEFAULT_APPLY_MS = 2000
DEFAULT_MEMORY_MB = 256


_DEFAULTS = limits.Limits()
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
# Hosts without a limit allow 2^30 and more.
_DescriptorCount = Annotated[int, msgspec.Meta(ge=1)]
_ProgressSeconds = Annotated[float, msgspec.Meta(ge=1, le=600)]
_ProgressBytes = Annotated[int, msgspec.Meta(ge=1, le=65536)]
_ChunkBytes = Annotated[int, msgspec.Meta(ge=0, le=1024)]
_DATAGRAM_DEFAULTS = datagrams.DatagramLimits()
_DatagramCount = Annotated[int, msgspec.Meta(ge=20, le=100_000)]
_DatagramBytes = Annotated[
    int, msgspec.Meta(ge=4096, le=datagrams.MAX_UDP_BYTES)
]


class _Listen(msgspec.Struct, frozen=True):
    front: str | None = None
    ready: str | None = None


class _Bounds(msgspec.Struct, frozen=True, rename='kebab'):
    grace_s: float = 8
    revoke_ms: float = DEFAULT_REVOKE_MS
    config_apply_ms: float = DEFAULT_APPLY_MS
    drain_ms: float = 2000
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_slack: float = 0


class _Limits(msgspec.Struct, frozen=True, rename='kebab'):
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: _DescriptorCount | None = None


class _Intake(msgspec.Struct, frozen=True, rename='kebab'):
    max_connections: _Count = _DEFAULTS.max_connections
    max_connections_per_address: _Count = _DEFAULTS.max_connections_per_address
    max_waiting_bodies: _Count = _DEFAULTS.max_waiting_bodies
    body_progress_s: _ProgressSeconds = _DEFAULTS.body_progress_seconds
    body_progress_bytes: _ProgressBytes = _DEFAULTS.body_progress_bytes
    min_chunk_bytes: _ChunkBytes = _DEFAULTS.min_chunk_bytes
    neighbour_datagrams_per_s: _DatagramCount = (
        _DATAGRAM_DEFAULTS.max_per_second
    )
    max_neighbour_datagram_bytes: _DatagramBytes = _DATAGRAM_DEFAULTS.max_bytes
    # Checked by hand, as messages about invalid values contain the value.
    neighbours_key: object = None


class _Streams(msgspec.Struct, frozen=True, rename='kebab'):
    change_paths: bool = False


class _Platform(msgspec.Struct, frozen=True):
    address: str


class _File(msgspec.Struct, frozen=True, rename='kebab'):
    """The settings file; fields that are not listed here are ignored."""

    node: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    intake: _Intake = _Intake()
    streams: _Streams = _Streams()


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of a gateway and the address of the platform's store."""

    store_address: ids.Address
    gateway: settings.Settings


def load_from_environment() -> PlatformSettings:
    """Load the settings file that the environment names.

    :raises loader.SettingsError: if the variable is not set, or the file is
        missing or wrong
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise loader.SettingsError(f'{PATH_VARIABLE} is not set')
    return load(pathlib.Path(path))


def load(path: pathlib.Path) -> PlatformSettings:
    """Load and check a settings file.

    :raises loader.SettingsError: if the file is missing or wrong
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise loader.SettingsError(f'{path}: {error}') from None
    decoded = loader.convert(document, _File, str(path))
    if not decoded.listen.front or not decoded.listen.ready:
        raise loader.SettingsError(
            f'{path}: at $.listen: a gateway needs "front" and "ready"'
        )
    bounds = decoded.bounds
    intake = decoded.intake
    return PlatformSettings(
        ids.Address(decoded.platform.address),
        settings.Settings(
            instance=decoded.node,
            zone=ids.ZoneId(decoded.zone),
            callers_address=ids.Address(decoded.listen.front),
            ready_address=ids.Address(decoded.listen.ready),
            metrics_address=ids.Address(
                f'{decoded.ip}:{decoded.internal_ports[1]}'
            ),
            neighbours_address=ids.Address(
                f'{decoded.ip}:{decoded.internal_ports[0]}'
            ),
            revoke_seconds=bounds.revoke_ms / 1000,
            apply_seconds=bounds.config_apply_ms / 1000,
            drain_seconds=bounds.drain_ms / 1000,
            grace_seconds=bounds.grace_s,
            memory_mb=decoded.limits.memory_mb,
            retry_ratio=bounds.budget_ratio,
            retry_slack=bounds.retry_slack,
            retry_window=bounds.budget_window_s,
            max_descriptors=decoded.limits.max_fds or _max_descriptors(),
            intake=limits.Limits(
                max_connections=intake.max_connections,
                max_connections_per_address=(
                    intake.max_connections_per_address
                ),
                max_waiting_bodies=intake.max_waiting_bodies,
                body_progress_seconds=intake.body_progress_s,
                body_progress_bytes=intake.body_progress_bytes,
                min_chunk_bytes=intake.min_chunk_bytes,
            ),
            datagram_limits=datagrams.DatagramLimits(
                _checked_key(intake.neighbours_key, path),
                intake.neighbour_datagrams_per_s,
                intake.max_neighbour_datagram_bytes,
            ),
            changes_paths=decoded.streams.change_paths,
        ),
    )


def _checked_key(key: object, path: pathlib.Path) -> bytes:
    """Return the key that gateways share, empty if there is none.

    :raises loader.SettingsError: if it is invalid; it doesn't contain the key
    """
    if key is None:
        return b''
    if not isinstance(key, str) or len(key) < datagrams.MIN_KEY_CHARACTERS:
        raise loader.SettingsError(
            f'{path}: at $.intake.neighbours-key: expected text of at least '
            f'{datagrams.MIN_KEY_CHARACTERS} characters'
        )
    return key.encode()


def _max_descriptors() -> float:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if soft_limit == resource.RLIM_INFINITY else soft_limit
