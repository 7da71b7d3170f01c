"""The two deployments' mixes of requests, generated from a seed."""

from collections.abc import Iterator
import dataclasses
import enum
import random


class Kind(enum.Enum):
    """What a caller asks for."""

    ANSWER = 'answer'
    READ = 'read'
    COMMAND = 'command'


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """How often each kind is asked for, and how large answers are.

    :ivar answers: share of model answers among requests
    :ivar commands: share of commands that may not be repeated
    :ivar tokens: fewest and most tokens of an answer
    :ivar prompt: fewest and most tokens of a prompt
    :ivar deadline: seconds that an answer may take
    :ivar beginnings: how many beginnings prompts share; the n-th is used in
        proportion to 1/n
    :ivar beginning_tokens: tokens of a beginning, before the prompt's own
    """

    name: str
    answers: float
    commands: float
    tokens: tuple[int, int]
    prompt: tuple[int, int]
    deadline: float
    beginnings: int = 0
    beginning_tokens: int = 0

    @property
    def mean_prompt(self) -> float:
        """Mean tokens of a prompt that are its own."""
        return sum(self.prompt) / 2

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of an answer."""
        return sum(self.tokens) / 2


SWAP_DESK = Mix('swap-desk', 0.70, 0.05, (20, 80), (20, 120), 30.0)
RIPENING = Mix('ripening', 0.60, 0.10, (20, 60), (20, 80), 30.0)
# Drafts after long instructions, of which each broker uses a few.
INSTRUCTIONS = dataclasses.replace(
    SWAP_DESK, name='instructions', beginnings=24, beginning_tokens=2048
)
MIX_BY_NAME = {mix.name: mix for mix in (SWAP_DESK, RIPENING, INSTRUCTIONS)}
# Tokens of prompts are below this.
VOCABULARY = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a load.

    :ivar due: seconds after the load's begin
    """

    number: int
    due: float
    kind: Kind
    prompt: tuple[int, ...]
    tokens: int


def generate(
    mix: Mix, token_rate: float, seconds: float, seed: int
) -> Iterator[Request]:
    """Return an open load with Poisson arrivals.

    :param token_rate: tokens a second that the answers add up to
    """
    rng = random.Random(seed)
    rate = token_rate / mix.mean_tokens / mix.answers
    beginnings = [
        _tokens(rng, mix.beginning_tokens) for _ in range(mix.beginnings)
    ]
    weights = [1 / n for n in range(1, mix.beginnings + 1)]
    due = 0.0
    number = 0
    while True:
        due += rng.expovariate(rate)
        if due > seconds:
            return
        kind = _kind(mix, rng)
        prompt = _tokens(rng, rng.randint(*mix.prompt))
        if beginnings:
            prompt = rng.choices(beginnings, weights)[0] + prompt
        yield Request(number, due, kind, prompt, rng.randint(*mix.tokens))
        number += 1


def _tokens(rng: random.Random, count: int) -> tuple[int, ...]:
    return tuple(rng.randrange(VOCABULARY) for _ in range(count))


def _kind(mix: Mix, rng: random.Random) -> Kind:
    draw = rng.random()
    if draw < mix.answers:
        return Kind.ANSWER
    if draw < mix.answers + mix.commands:
        return Kind.COMMAND
    return Kind.READ
