"""Token budgets that limit hedges and retries."""

__all__ = ["RetryBudget", "TokenBudget"]

DEFAULT_BURST = 10.0
ERROR_RATE_DECAY = 0.95


class TokenBudget:
    """Allows extra attempts in a fixed ratio to first attempts.

    Each first attempt earns ``ratio`` tokens, up to ``burst``; each extra attempt
    costs one. The budget starts with ``initial_tokens``, so that a service with
    little traffic can hedge at all.
    """

    __slots__ = ("_tokens", "burst", "ratio", "refused", "spent")

    def __init__(self, ratio, burst=DEFAULT_BURST, initial_tokens=1.0):
        self.ratio = ratio
        self.burst = burst
        self._tokens = min(initial_tokens, burst) if ratio > 0 else 0.0
        self.spent = 0
        self.refused = 0

    def earn(self):
        """Count one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def try_spend(self):
        """Take one token; return whether the extra attempt is allowed."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    @property
    def tokens(self):
        """Number of tokens available now."""
        return self._tokens


class RetryBudget(TokenBudget):
    """A budget that earns less as the error rate of the service grows.

    Retries only add load to a service whose attempts all fail, so the earned tokens
    are multiplied by (1 - error rate).
    """

    __slots__ = ("error_rate",)

    def __init__(self, ratio, burst=DEFAULT_BURST):
        super().__init__(ratio, burst, initial_tokens=burst)
        self.error_rate = 0.0

    def earn(self):
        """Count one first attempt."""
        earned = self.ratio * (1.0 - self.error_rate)
        self._tokens = min(self.burst, self._tokens + earned)

    def record_outcome(self, is_failure):
        """Add the outcome of an attempt to the moving average of the error rate."""
        sample = 1.0 if is_failure else 0.0
        self.error_rate = (
            ERROR_RATE_DECAY * self.error_rate + (1 - ERROR_RATE_DECAY) * sample
        )
