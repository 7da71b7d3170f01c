"""How long answers take of late, to know which would come too late."""

import dataclasses

from burdockmast.base import ids

# Weight of the newest answer in the smoothed figures.
WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Pace:
    """Smoothed figures of one model's answers.

    :ivar token_seconds: time for each token, from admission on
    :ivar used_share: tokens given over tokens allowed
    """

    token_seconds: float
    used_share: float


class Paces:
    """The pace of whole answers, by model."""

    def __init__(self):
        """Create a record without answers."""
        self._pace_by_model: dict[ids.ModelId, _Pace] = {}

    def note(
        self, model: ids.ModelId, tokens: int, allowed: int, seconds: float
    ) -> None:
        """Take in a whole answer.

        :param allowed: tokens that its caller allowed at most
        :param seconds: from its admission to its end
        """
        token_seconds = seconds / max(1, tokens)
        used_share = tokens / allowed
        pace = self._pace_by_model.get(model)
        if pace is None:
            self._pace_by_model[model] = _Pace(token_seconds, used_share)
            return
        pace.token_seconds += WEIGHT * (token_seconds - pace.token_seconds)
        pace.used_share += WEIGHT * (used_share - pace.used_share)

    def seconds(self, model: ids.ModelId, allowed: int) -> float:
        """Return how long an answer will probably take, 0 if not known."""
        pace = self._pace_by_model.get(model)
        if pace is None:
            return 0.0
        return pace.token_seconds * pace.used_share * allowed
