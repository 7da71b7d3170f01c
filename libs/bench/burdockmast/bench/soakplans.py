"""Random faults on a time line, the same for the same seed."""

import dataclasses
import enum
import random

# Seconds of a play, without start and end, and of one fault.
PLAY_SECONDS = 12.0
FAULT_SECONDS = (0.3, 4.0)
# Fewest and most faults of a play.
FAULTS = (3, 7)


class Fault(enum.Enum):
    """What may go wrong, and is put right some time later."""

    KILLED = 'killed'
    STOPPED = 'stopped'
    FROZEN = 'frozen'
    CONNECTIONS_CUT = 'connections cut'
    CONNECTIONS_SILENT = 'connections silent'
    NETWORK_SLOW = 'network slow'
    NETWORK_GONE = 'network gone'
    STORE_OUT = 'store out'
    STORE_SLOW = 'store slow'
    STORE_SILENT = 'store silent'
    STORE_LOSES_ANSWERS = 'store loses answers'
    PRESET_SWITCHED = 'preset switched'


FAULTS_OF_DAEMONS = (Fault.KILLED, Fault.STOPPED, Fault.FROZEN)
FAULTS_OF_ENGINES = (Fault.KILLED, Fault.FROZEN)
FAULTS_OF_NETWORKS = (
    Fault.CONNECTIONS_CUT,
    Fault.CONNECTIONS_SILENT,
    Fault.NETWORK_SLOW,
    Fault.NETWORK_GONE,
)
FAULTS_OF_STORE = (
    Fault.STORE_OUT,
    Fault.STORE_SLOW,
    Fault.STORE_SILENT,
    Fault.STORE_LOSES_ANSWERS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """One fault of one process, with the seconds at which it begins and ends.

    ``target`` is empty for a fault of no process.
    """

    begin: float
    end: float
    fault: Fault
    target: str = ''

    def __str__(self) -> str:
        """Return one line for a report."""
        return (
            f'{self.begin:.2f} to {self.end:.2f} s: '
            f'{self.target or "fleet"} {self.fault.value}'
        )


def plan(
    seed: int, servers: list[str], engines: list[str], entries: list[str]
) -> list[Strike]:
    """Return a play's strikes in order; none overlap on one target."""
    source = random.Random(seed)
    choices = [(Fault.PRESET_SWITCHED, '')] * 2
    choices += [(fault, 'store') for fault in FAULTS_OF_STORE]
    for name in entries:
        choices += [(fault, name) for fault in FAULTS_OF_DAEMONS]
    for name in engines:
        choices += [(fault, f'engine-{name}') for fault in FAULTS_OF_ENGINES]
        choices += [
            (fault, f'relay-side-{name}') for fault in FAULTS_OF_NETWORKS
        ]
    for name in servers:
        choices += [(fault, f'side-{name}') for fault in FAULTS_OF_DAEMONS]
    found: list[Strike] = []
    for _ in range(source.randint(*FAULTS)):
        fault, target = source.choice(choices)
        begin = source.uniform(0.5, PLAY_SECONDS - FAULT_SECONDS[1])
        end = begin + source.uniform(*FAULT_SECONDS)
        if not any(_overlaps(one, begin, end, target) for one in found):
            found.append(Strike(begin, end, fault, target))
    return sorted(found, key=lambda strike: strike.begin)


def _overlaps(one: Strike, begin: float, end: float, target: str) -> bool:
    return one.target == target and begin < one.end and one.begin < end
