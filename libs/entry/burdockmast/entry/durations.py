"""Estimates how long answers take, to refuse those that would be late."""

import dataclasses

from burdockmast.base import ids

# Weight of the newest answer in the moving averages.
NEWEST_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Averages:
    """Moving averages of one model's answers.

    :ivar token_seconds: time from admission to the end, per token
    :ivar used_share: generated tokens divided by the caller's limit
    """

    token_seconds: float
    used_share: float


class AnswerDurations:
    """Average durations of complete answers, by model."""

    def __init__(self):
        """Create a record without answers."""
        self._averages_by_model: dict[ids.ModelId, _Averages] = {}

    def record(
        self, model: ids.ModelId, tokens: int, limit: int, seconds: float
    ) -> None:
        """Add a complete answer to the averages.

        :param limit: largest number of tokens that the caller allowed
        :param seconds: time from its admission to its end
        """
        token_seconds = seconds / max(1, tokens)
        used_share = tokens / limit
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

    def expected_seconds(self, model: ids.ModelId, limit: int) -> float:
        """Return the expected duration of an answer, 0 if it is unknown."""
        averages = self._averages_by_model.get(model)
        if averages is None:
            return 0.0
        return averages.token_seconds * averages.used_share * limit
