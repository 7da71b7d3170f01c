"""Typed settings of each role. Unknown keys are errors."""

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
    """What all roles have in common.

    :ivar peer_address: where this process listens for its peers
    :ivar store_url: the platform's Object API
    :ivar instance: this instance's id in the platform's list
    :ivar instances_url: the platform's instance list; empty for none
    :ivar statsd_address: empty to send no metrics
    :ivar metrics_address: where counters and histograms are served over
        HTTP; none unless set
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

    :ivar http_address: where callers are served
    :ivar routing: how paths are chosen
    :ivar subset: backend servers of each model that it talks to at most
    :ivar queue: requests that may wait for admission
    :ivar default_deadline: seconds for a request that names none
    :ivar body_bytes: largest body of a request
    """

    http_address: IpPort
    routing: Routing = 'lowest-cost'
    subset: Count = 24
    queue: Count = 512
    default_deadline: Positive = 60.0
    body_bytes: Count = 1024 * 1024


class SideSettings(Settings):
    """Settings of the process beside a backend server.

    :ivar server: the backend server's id, one for each slot
    :ivar engine_url: the model engine; empty beside a plain service
    :ivar engine_checks_fence: the engine refuses orders with numbers below
        one that it has seen
    :ivar service_url: the plain service; empty beside an engine
    :ivar slots: answers that run at once
    :ivar loads_at_once: servers of a model that load layers at the same
        time; set equal in all sides
    :ivar drain: seconds that a planned stop waits for work in flight
    :ivar claims_retention: seconds for which an idempotency key is
        remembered at least; at least twice the longest deadline, 600 s
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
    """Settings of the operators' command line."""

    store_url: HttpUrl
    peers: list[IpPort] = []
