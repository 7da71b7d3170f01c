"""Settings of one gateway process."""

import dataclasses
import math

from burdockmast.base import ids
from burdockmast.gateway import interfaces
from burdockmast.gateway.intake import datagrams
from burdockmast.gateway.intake import limits


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Identity, listen addresses and limits of a gateway.

    :ivar instance: name of the machine
    :ivar callers_address: listens for callers' requests
    :ivar ready_address: listens for the load balancer's readiness checks
    :ivar metrics_address: listens for metrics scrapes
    :ivar neighbours_address: listens for datagrams of other gateways
    :ivar revoke_seconds: within which a revoked key must stop working
    :ivar apply_seconds: within which a configuration must be in force
    :ivar drain_seconds: within which a server that leaves must get no more
        requests
    :ivar grace_seconds: from the stop signal until the process is killed
    :ivar memory_mb: of the instance
    :ivar max_descriptors: of the instance
    :ivar intake: limits on callers
    :ivar datagram_limits: limits on datagrams of other gateways
    :ivar changes_paths: running answers leave lost servers where admission is
        controlled
    :ivar retry_ratio: retries for each request, over all gateways
    :ivar retry_slack: further retries in each window, over all gateways
    :ivar retry_window: length of the sliding window in seconds
    """

    instance: str
    zone: ids.ZoneId
    callers_address: ids.Address
    ready_address: ids.Address
    metrics_address: ids.Address
    neighbours_address: ids.Address
    revoke_seconds: float
    apply_seconds: float
    drain_seconds: float
    grace_seconds: float
    memory_mb: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    max_descriptors: float = math.inf
    intake: limits.Limits = limits.Limits()
    datagram_limits: datagrams.DatagramLimits = datagrams.DatagramLimits()
    changes_paths: bool = False

    @property
    def record(self) -> interfaces.GatewayRecord:
        """This gateway's entry in the registry."""
        return interfaces.GatewayRecord(
            self.instance, self.zone, self.neighbours_address
        )
