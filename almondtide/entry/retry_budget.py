"""Budget of sends beyond the first of each request, per service."""

__all__ = ["RetryBudget"]

BUCKET_COUNT = 20
# Part of the allowance that is used; the rest covers differences between the
# window here and the windows of those who count.
USABLE_FRACTION = 0.85


class RetryBudget:
    """Counts requests and extra sends to one service in a sliding window.

    The fleet as a whole may send ``ratio`` times the requests plus ``slack`` extra
    requests in each window of ``window_s``. Requests of this entry are its own
    part of the first term, of the second it takes ``share``, 0.0 to 1.0.
    """

    __slots__ = (
        "_bucket_s",
        "_current",
        "_extras",
        "_requests",
        "ratio",
        "share",
        "slack",
        "spent_count",
    )

    def __init__(self, ratio, slack, window_s, share=1.0):
        self.ratio = ratio
        self.slack = slack
        self.share = share
        self.spent_count = 0
        self._bucket_s = window_s / BUCKET_COUNT
        self._current = None
        self._requests = [0] * BUCKET_COUNT
        # One bucket more, so that a window that begins within one is covered.
        self._extras = [0] * (BUCKET_COUNT + 1)

    def _advance(self, now):
        bucket = int(now / self._bucket_s)
        if self._current is None:
            self._current = bucket
        for index in range(max(self._current + 1, bucket - BUCKET_COUNT), bucket + 1):
            self._requests[index % BUCKET_COUNT] = 0
            self._extras[index % (BUCKET_COUNT + 1)] = 0
        self._current = max(bucket, self._current)
        return self._current

    def count_request(self, now):
        """Count the first send of a request."""
        self._requests[self._advance(now) % BUCKET_COUNT] += 1

    def _allowed(self, now):
        self._advance(now)
        return USABLE_FRACTION * (
            self.ratio * sum(self._requests) + self.slack * self.share
        )

    def remaining(self, now):
        """Return how many extra sends are allowed now."""
        return self._allowed(now) - sum(self._extras)

    def try_spend(self, now, reserved_fraction=0.0):
        """Count an extra send if it is allowed; returns whether it is.

        ``reserved_fraction`` of the allowance is left to more important sends.
        """
        if self.remaining(now) < 1.0 + reserved_fraction * self._allowed(now):
            return False
        self._extras[self._current % (BUCKET_COUNT + 1)] += 1
        self.spent_count += 1
        return True

    def refund(self):
        """Take back the newest extra send, which was never made."""
        if self._current is None:
            return
        index = self._current % (BUCKET_COUNT + 1)
        if self._extras[index]:
            self._extras[index] -= 1
            self.spent_count -= 1
