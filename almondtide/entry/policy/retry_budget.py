"""Budget for retries and hedges, per service."""

__all__ = ["RetryBudget", "slack_share"]

BUCKET_COUNT = 20
# Fraction of the allowance that is used. The rest covers differences between this
# window and the windows in which others count the sends.
USABLE_FRACTION = 0.85
# Fraction of the slack that all standbys together may use.
STANDBY_SLACK_FRACTION = 0.1


def slack_share(is_active, active_count, standby_count):
    """Return the part of the fleet's slack that one entry may use, 0.0 to 1.0.

    The parts of all entries make up 1.0. Answers the load pattern in which every entry
    of a large fleet gets a few requests for one service whose servers turn them away:
    each standby makes few extra sends, but there are many standbys.

    >>> slack_share(True, 10, 185), round(slack_share(False, 10, 185), 5)
    (0.09, 0.00054)
    >>> slack_share(True, 6, 0)
    0.16666666666666666
    """
    if not is_active:
        return STANDBY_SLACK_FRACTION / max(1, standby_count)
    fraction = 1.0 - STANDBY_SLACK_FRACTION if standby_count else 1.0
    return fraction / max(1, active_count)


class RetryBudget:
    """Limits the extra sends to one service in a sliding window.

    Extra sends are retries and hedges: all sends of a request but the first. In each
    window of ``window_s`` seconds all entries together may make ``slack`` extra sends
    plus ``ratio`` times the number of requests. This entry counts its own requests,
    and may use the part ``share`` of ``slack``, 0.0 to 1.0.
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
        # One bucket more than the window, which may start within a bucket.
        self._extras = [0] * (BUCKET_COUNT + 1)

    def configure(self, ratio, slack, window_s):
        """Use the bounds of changed settings.

        With another window the extra sends so far count for a whole one from the last
        send on, and the requests so far allow no more.
        """
        self.ratio = ratio
        self.slack = slack
        bucket_s = window_s / BUCKET_COUNT
        if bucket_s == self._bucket_s:
            return
        if self._current is not None:
            self._current = int(self._current * self._bucket_s / bucket_s)
        extras = sum(self._extras)
        self._extras = [0] * (BUCKET_COUNT + 1)
        self._requests = [0] * BUCKET_COUNT
        if self._current is not None:
            self._extras[self._current % (BUCKET_COUNT + 1)] = extras
        self._bucket_s = bucket_s

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
        """Count an extra send if it is allowed; return whether it is.

        ``reserved_fraction`` of the allowance is reserved for more important sends.
        """
        if self.remaining(now) < 1.0 + reserved_fraction * self._allowed(now):
            return False
        self._extras[self._current % (BUCKET_COUNT + 1)] += 1
        self.spent_count += 1
        return True

    def refund(self):
        """Undo the newest ``try_spend``, whose send was not made."""
        if self._current is None:
            return
        index = self._current % (BUCKET_COUNT + 1)
        if self._extras[index]:
            self._extras[index] -= 1
            self.spent_count -= 1
