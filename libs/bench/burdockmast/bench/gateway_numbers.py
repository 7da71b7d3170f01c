"""Numbers of servers, the store and operators in unusual sizes and forms.

The seed decides at which revision and in which era the store begins, behind
which number the servers number their events, and whether the operator's
numbers are whole or decimal.
"""

import dataclasses
import random
from typing import Any

from burdockmast.platform import standin

# Plays of lower seeds have usual numbers, so that the seeds in the regression
# tests keep the faults for which they were kept.
FIRST_SEED = 20000
# The second one passes 10^9 in the play.
REVISIONS = (1, 999_999_900, 1_200_000_000, 2**40, 2**53 - 10**6)
ERAS = (1, 999_999_999, 1_796_679_042)
# None, Unix times in milliseconds and nanoseconds, and more than 64 bits.
EVENT_ID_OFFSETS = (0, 1_796_679_042_000, 1_796_679_042_000_000_000, 10**24)


@dataclasses.dataclass(frozen=True, slots=True)
class Numbers:
    """The numbers of one play."""

    revision: int = 1
    era: int = 1
    ids_begin_after: int = 0
    are_decimal: bool = False

    @classmethod
    def from_seed(cls, seed: int) -> 'Numbers':
        """Return the numbers of a seed."""
        if seed < FIRST_SEED:
            return cls()
        rng = random.Random(f'numbers {seed}')
        return cls(
            rng.choice(REVISIONS),
            rng.choice(ERAS),
            rng.choice(EVENT_ID_OFFSETS),
            rng.random() < 0.5,
        )

    def set_up(
        self,
        metadata: standin.MetadataStore,
        servers: list[standin.BackendServer],
    ) -> None:
        """Begin with these numbers, before any gateway runs."""
        metadata.revision = max(metadata.revision, self.revision)
        metadata.era = self.era
        for server in servers:
            server.ids_begin_after = self.ids_begin_after

    def write(self, value: Any) -> Any:
        """Return what the operator writes, with numbers in the play's form."""
        match value:
            case dict():
                return {key: self.write(item) for key, item in value.items()}
            case list():
                return [self.write(item) for item in value]
            case int() if self.are_decimal and not isinstance(value, bool):
                return float(value)
        return value

    def describe(self) -> str:
        """Return the numbers in one line."""
        return ', '.join(
            f'{name} {value}'
            for name, value in dataclasses.asdict(self).items()
        )
