"""Settings of each role; unknown keys are rejected."""

from typing import Annotated

import msgspec

from burdockmast.base import ids

IpPort = Annotated[str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d+$')]
HttpUrl = Annotated[str, msgspec.Meta(pattern=r'^http://[0-9.]+:\d+$')]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
LogLevel = Annotated[str, msgspec.Meta(pattern='^(debug|info|warning|error)$')]

Routing = Annotated[
    str,
    msgspec.Meta(
        pattern='^(lowest-cost(-(own|no)-caches)?'
        '|shortest-path|least-loaded|round-robin)$'
    ),
]


class Settings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings that all roles share.

    :ivar peer_address: address at which the process listens for peers
    :ivar store_url: base URL of the platform's Object API
    :ivar peers: addresses of peers to connect to at the start
    :ivar instance: id of this instance in the platform's instance list
    :ivar instances_url: base URL of the platform's instance list; unset for
        none
    :ivar statsd_address: statsd server; empty to send no metrics
    :ivar metrics_address: address at which metrics are served over HTTP;
        unset for none
    """

    zone: ids.ZoneId
    peer_address: IpPort
    store_url: HttpUrl
    peers: list[IpPort] = []
    instance: ids.PlatformInstance = ids.PlatformInstance('')
    instances_url: HttpUrl | None = None
    statsd_address: str = ''
    metrics_address: IpPort | None = None
    log_level: LogLevel = 'info'


class EntrySettings(Settings):
    """Settings of an entry instance.

    :ivar http_address: address at which callers are served
    :ivar routing: strategy by which paths are chosen
    :ivar subset: largest number of backend servers of each model that it
        connects to
    :ivar queue: largest number of requests that wait for admission
    :ivar default_deadline: seconds until the deadline of a request that
        sets none
    :ivar body_bytes: largest request body
    """

    http_address: IpPort
    routing: Routing = 'lowest-cost'
    subset: Count = 24
    queue: Count = 512
    default_deadline: Positive = 60.0
    body_bytes: Count = 1024 * 1024


class SideSettings(Settings):
    """Settings of the side process of a backend server.

    :ivar server: id of the backend server; a replacement keeps it
    :ivar engine_url: the model engine; unset beside a plain service
    :ivar engine_checks_fence: whether the engine refuses orders with a
        fencing number lower than one that it has seen
    :ivar service_url: the plain service; unset beside an engine
    :ivar slots: largest number of answers that run at once
    :ivar loads_at_once: largest number of a model's servers that load layers
        at once; must be the same in all side processes
    :ivar drain: seconds that a planned shutdown waits for work in flight
    :ivar claims_retention: seconds for which an idempotency key is at least
        remembered; must be at least twice the longest deadline, 600 s
    """

    server: ids.ServerId
    engine_url: HttpUrl | None = None
    engine_checks_fence: bool = False
    service_url: HttpUrl | None = None
    slots: Count = 64
    loads_at_once: Count = 8
    drain: Positive = 30.0
    claims_retention: Positive = 1800.0


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the operators' command line tool."""

    store_url: HttpUrl
    peers: list[IpPort] = []
