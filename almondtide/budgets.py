"""Token budgets that bound extra attempts."""

__all__ = ["RetryBudget", "TokenBudget"]

DEFAULT_BURST = 10.0
ERROR_RATE_DECAY = 0.95


class TokenBudget:
    """Allows extra attempts as a share of ordinary ones.

    Each ordinary attempt earns ``ratio`` tokens, up to ``burst``; each extra
    attempt costs one. The budget starts with a small amount, so that a service
    with little traffic can hedge at all.
    """

    __slots__ = ("_tokens", "burst", "ratio", "refused", "spent")

    def __init__(self, ratio, burst=DEFAULT_BURST, initial_tokens=1.0):
        self.ratio = ratio
        self.burst = burst
        self._tokens = min(initial_tokens, burst) if ratio > 0 else 0.0
        self.spent = 0
        self.refused = 0

    def earn(self):
        """Count one ordinary attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def try_spend(self):
        """Take one token; returns whether the extra attempt is allowed."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    @property
    def tokens(self):
        """Tokens that are available now."""
        return self._tokens


class RetryBudget(TokenBudget):
    """A budget that earns less as the error rate of the service grows.

    When every attempt fails, retries only add load to servers in trouble, so
    the earned share is multiplied by (1 - error rate).
    """

    __slots__ = ("error_rate",)

    def __init__(self, ratio, burst=DEFAULT_BURST):
        super().__init__(ratio, burst, initial_tokens=burst)
        self.error_rate = 0.0

    def earn(self):
        """Count one ordinary attempt."""
        earned = self.ratio * (1.0 - self.error_rate)
        self._tokens = min(self.burst, self._tokens + earned)

    def record_outcome(self, is_failure):
        """Count the outcome of an attempt in the moving error rate."""
        sample = 1.0 if is_failure else 0.0
        self.error_rate = (
            ERROR_RATE_DECAY * self.error_rate + (1 - ERROR_RATE_DECAY) * sample
        )
