"""Speed and failures of one server, and when they keep requests away from it.

Answers the load patterns in which a server turns slow, fails, says that it is full, or
is lost: requests go to others, and come back to it soon after it has recovered.

A server that was slow or lost is on probation. While others of its service are better,
no request depends on it: some requests that go to another server are copied to it, and
the first copy that is answered in time ends its probation. So many servers may be lost
and come back at once without a caller who waits for one that is still lost.
"""

__all__ = ["ServerHealth"]

# Weight of a new sample in the moving averages of slowness and failure rate.
SAMPLE_WEIGHT = 0.2
# Time, in s, after which an estimate without new samples is back to normal, so that a
# server that has recovered is tried again.
ESTIMATE_DECAY_S = 4.0
# Upper bound of a sample of slowness, the ratio of a latency to the expected one. A
# single exchange during a pause must not cost more than another failure domain; two
# long exchanges may.
MAX_LATENCY_RATIO = 3.0
# A failing server is ejected for the first of these times, in s. The time doubles with
# each further failure, up to the second.
MIN_EJECTION_S = 0.25
MAX_EJECTION_S = 0.5
# Latencies in a row of MAX_LATENCY_RATIO and more that put a server on probation. One
# alone is a tail of the work, or a pause that has mostly ended with it.
PROBATION_SAMPLES = 2
# A server on probation gets its first copy of a request after the first of these times,
# in s. The time doubles with each slow reply in a row, up to the second.
MIN_COPY_INTERVAL_S = 0.1
MAX_COPY_INTERVAL_S = 0.8
# Bounds, in s, of the time for which a server that reported to be full gets no
# requests. They are short, because a failing server may report this without being
# full, and there may be no other server.
MIN_FULL_BACKOFF_S = 0.02
MAX_FULL_BACKOFF_S = 0.06


class ServerHealth:
    """Estimates of a server's speed and failures; times are in s on one clock.

    ``ejected_until`` and ``full_until`` are the times until which it gets no requests,
    because it seems to be lost or said that it is full.
    """

    __slots__ = (
        "_consecutive_full",
        "_copy_at",
        "_failure_rate",
        "_sampled_at",
        "_slow_count",
        "_slowness",
        "consecutive_losses",
        "ejected_until",
        "full_until",
    )

    def __init__(self):
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._sampled_at = 0.0
        self._consecutive_full = 0
        # Slow replies in a row, and from when on the server may get a copy.
        self._slow_count = 0
        self._copy_at = 0.0
        self.consecutive_losses = 0
        self.ejected_until = 0.0
        self.full_until = 0.0

    def slowness(self, now):
        """Return the expected latency as a multiple of the normal one."""
        return 1.0 + (self._slowness - 1.0) * self._estimate_weight(now)

    def failure_rate(self, now):
        """Return the expected fraction of requests that fail, 0.0 to 1.0."""
        return self._failure_rate * self._estimate_weight(now)

    def _estimate_weight(self, now):
        """Return how much of an estimate is left, 1.0 when new, 0.0 when outdated."""
        age_s = now - self._sampled_at
        return max(0.0, 1.0 - age_s / ESTIMATE_DECAY_S) if age_s > 0 else 1.0

    def note_reply(self):
        """Record a successful reply, which ends all that keeps requests away."""
        self._consecutive_full = 0
        self.consecutive_losses = 0
        self.ejected_until = 0.0
        self.full_until = 0.0

    def note_latency(self, ratio, pace, now):
        """Record a latency as a multiple of the expected one.

        ``pace`` is the part of it that the server reported, which counts by itself.
        """
        self._add_sample(min(MAX_LATENCY_RATIO, ratio) / pace, 0.0, now)
        if ratio < MAX_LATENCY_RATIO:
            self._slow_count = 0
            return
        wait_s = min(MAX_COPY_INTERVAL_S, MIN_COPY_INTERVAL_S * 2**self._slow_count)
        self._slow_count = min(10, self._slow_count + 1)
        self._copy_at = now + wait_s

    def is_on_probation(self, now):
        """Return whether no request should depend on the server alone.

        Probation ends by itself, since routes whose requests run once make no
        copies.
        """
        if self.consecutive_losses:
            return now < self.ejected_until + ESTIMATE_DECAY_S
        return (
            self._slow_count >= PROBATION_SAMPLES
            and now < self._sampled_at + ESTIMATE_DECAY_S
        )

    def is_copy_due(self, now):
        """Return whether a server on probation may get a copy of a request now."""
        return self.is_on_probation(now) and now >= max(
            self._copy_at, self.ejected_until
        )

    def note_copy(self, now):
        """Record that a copy of a request was sent to a server on probation."""
        self._copy_at = now + MAX_COPY_INTERVAL_S

    def note_full(self, now):
        """Record that the server said that it is full."""
        self._add_sample(None, 1.0, now)
        wait_s = min(MAX_FULL_BACKOFF_S, MIN_FULL_BACKOFF_S * 2**self._consecutive_full)
        self._consecutive_full = min(10, self._consecutive_full + 1)
        self.full_until = now + wait_s

    def note_error(self, now):
        """Record an error that the server answered with."""
        self._add_sample(None, 1.0, now)

    def note_broken(self, is_unreachable, now):
        """Record a broken connection, or one that could not be opened."""
        self._add_sample(None, 1.0, now)
        if is_unreachable or self._failure_rate > 0.5:
            self.eject(now)

    def eject(self, now):
        """Keep requests away for a time that grows with each loss in a row."""
        wait_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self.consecutive_losses)
        self.consecutive_losses = min(10, self.consecutive_losses + 1)
        self.ejected_until = now + wait_s

    def _add_sample(self, ratio, failed, now):
        """Update the moving averages of slowness and failure rate.

        ``ratio`` is the latency as a multiple of the expected one, or None to leave
        the slowness as it is. ``failed`` is 1.0 for a failure, else 0.0.
        """
        estimate_weight = self._estimate_weight(now)
        weight = SAMPLE_WEIGHT
        failure_rate = self._failure_rate * estimate_weight
        self._failure_rate = failure_rate + weight * (failed - failure_rate)
        slowness = 1.0 + (self._slowness - 1.0) * estimate_weight
        if ratio is not None:
            slowness += weight * (ratio - slowness)
        self._slowness = slowness
        self._sampled_at = now
