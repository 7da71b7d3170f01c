"""Retry budgets, which limit retries to a small share of requests."""

# Retries that each request adds to the budget.
RETRIES_PER_REQUEST = 0.2
# Most retries that a budget holds, available at first and after a quiet time.
RESERVE_COUNT = 10.0


class RetryBudget:
    """Allows retries in proportion to first attempts."""

    def __init__(
        self,
        ratio: float = RETRIES_PER_REQUEST,
        reserve: float = RESERVE_COUNT,
    ):
        """Create a budget that starts with its reserve.

        :param ratio: retries that each first attempt adds
        :param reserve: most retries that the budget holds
        """
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Credit the budget for a first attempt."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry; return False if there is none left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
