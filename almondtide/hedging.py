"""Hedge policies: when a running attempt gets a second one on another server."""

from collections import deque

from sortedcontainers import SortedList

from .registry import Registry

__all__ = ["LatencyWindow", "hedge_policies"]

WINDOW_SAMPLES = 512
MIN_SAMPLES = 20
# No attempt is hedged earlier. Otherwise short scheduling delays would cause hedges of
# very fast services.
MIN_HEDGE_DELAY_S = 0.002

hedge_policies = Registry("hedge policy")


class LatencyWindow:
    """Mean and quantiles of the most recent latencies of a service, in seconds."""

    __slots__ = ("_samples", "_sorted_samples")

    def __init__(self, max_samples=WINDOW_SAMPLES):
        self._samples = deque(maxlen=max_samples)
        self._sorted_samples = SortedList()

    def __len__(self):
        return len(self._samples)

    def add(self, latency_s):
        """Add one latency; a full window drops its oldest one."""
        if len(self._samples) == self._samples.maxlen:
            self._sorted_samples.remove(self._samples[0])
        self._samples.append(latency_s)
        self._sorted_samples.add(latency_s)

    def quantile(self, fraction):
        """Return the quantile ``fraction``, or None without samples."""
        if not self._sorted_samples:
            return None
        index = min(
            len(self._sorted_samples) - 1, int(fraction * len(self._sorted_samples))
        )
        return self._sorted_samples[index]

    def mean(self):
        """Return the mean, or None without samples."""
        if not self._sorted_samples:
            return None
        return sum(self._samples) / len(self._samples)


@hedge_policies.register("quantile")
def quantile_delay_s(window, cfg, service):
    """Return the latency quantile after which to hedge, or None with few samples."""
    if len(window) < MIN_SAMPLES:
        return None
    fraction = cfg.service_setting(service, "hedge_quantile")
    return max(MIN_HEDGE_DELAY_S, window.quantile(fraction))


@hedge_policies.register("off")
def no_hedge(window, cfg, service):
    """Return None: attempts are never hedged."""
    return None
