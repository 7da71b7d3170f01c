"""How long answers take of late, to know which would come too late."""

import dataclasses

from burdockmast.base import ids

# Weight of the newest answer in the smoothed figures.
NEWEST_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Averages:
    """Smoothed figures of one model's answers.

    :ivar token_seconds: time for each token, from admission on
    :ivar used_share: tokens given over tokens allowed
    """

    token_seconds: float
    used_share: float


class AnswerDurations:
    """The pace of whole answers, by model."""

    def __init__(self):
        """Create a record without answers."""
        self._averages_by_model: dict[ids.ModelId, _Averages] = {}

    def record(
        self, model: ids.ModelId, tokens: int, allowed: int, seconds: float
    ) -> None:
        """Take in a whole answer.

        :param allowed: tokens that its caller allowed at most
        :param seconds: from its admission to its end
        """
        token_seconds = seconds / max(1, tokens)
        used_share = tokens / allowed
        averages = self._averages_by_model.get(model)
        if averages is None:
            self._averages_by_model[model] = _Averages(
                token_seconds, used_share
            )
            return
        averages.token_seconds += NEWEST_WEIGHT * (
            token_seconds - averages.token_seconds
        )
        averages.used_share += NEWEST_WEIGHT * (
            used_share - averages.used_share
        )

    def expected_seconds(self, model: ids.ModelId, allowed: int) -> float:
        """Return how long an answer will probably take, 0 if not known."""
        averages = self._averages_by_model.get(model)
        if averages is None:
            return 0.0
        return averages.token_seconds * averages.used_share * allowed
