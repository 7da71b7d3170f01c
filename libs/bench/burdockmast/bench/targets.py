"""The target that the system has to carry, and what is said of it."""

import dataclasses

from burdockmast.bench import slopes

SECONDS_PER_DAY = 86_400
MEGABYTE = 1e6
# Servers of each group that an entry knows at the target; its setting
# ``subset``.
CHOICES = 2
# Defaults of settings; see the operators' pages.
RETENTION_SECONDS = 1800.0
LOADS_AT_ONCE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The size that the system has to carry in two years."""

    daemons: int = 1600
    replicas: int = 10_000
    requests: float = 37_000.0
    tokens: float = 16e6
    changes_a_day: int = 6600
    changes_in_a_minute: int = 100
    models: int = 39
    kinds: int = 5
    organisations: int = 460
    regions: int = 11
    zones: int = 30
    restarts_a_day: int = 4500
    claimed_share: float = 0.01
    token_seconds: float = 0.026
    stages: int = 3
    control_cpu: float = 0.048
    control_bytes: float = 3000.0
    memory_bytes: float = 256 * MEGABYTE
    store_writes: float = 300.0
    store_reads: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of the page: a need at the target and what carries it.

    :ivar is_held: None where it is not known
    """

    role: str
    what: str
    need: str
    limit: str
    is_held: bool | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Return the line's verdict in words."""
        if self.is_held is None:
            return 'not yet known'
        return 'held' if self.is_held else 'short'


Slopes = dict[str, slopes.Slope]
