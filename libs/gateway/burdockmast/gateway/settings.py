"""What a gateway is told about its place and its bounds."""

import dataclasses

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway process.

    :ivar instance: name of the machine
    :ivar callers_address: where callers are served
    :ivar ready_address: where the balancer asks for readiness
    :ivar metrics_address: where metrics are served
    :ivar revoke_seconds: within which a revoked key must stop working
    :ivar grace_seconds: from the request to stop until the process is killed
    :ivar retry_ratio: retries that each request pays for, over all gateways
    :ivar retry_slack: retries in each window beyond those, likewise
    :ivar retry_window: seconds
    """

    instance: str
    zone: ids.ZoneId
    callers_address: ids.Address
    ready_address: ids.Address
    metrics_address: ids.Address
    revoke_seconds: float
    grace_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
