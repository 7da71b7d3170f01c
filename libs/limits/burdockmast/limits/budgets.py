"""Retry budgets: retries may only be a small share of requests."""

# Retries that one request pays for.
RATIO = 0.2
# Retries that are always available after a quiet time.
RESERVE = 10.0


class RetryBudget:
    """Allows retries in proportion to first tries."""

    def __init__(self, ratio: float = RATIO, reserve: float = RESERVE):
        """Create a budget that starts with its reserve."""
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Note a first try."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry; false if there is none left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
