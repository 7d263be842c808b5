"""When a running attempt gets a second one: policies and latency quantiles."""

from collections import deque

from sortedcontainers import SortedList

from .registry import Registry

__all__ = ["LatencyWindow", "hedge_policies"]

WINDOW_SAMPLES = 512
MIN_SAMPLES = 20
# Floor that keeps a very fast service from hedging on scheduling noise, in s.
MIN_HEDGE_DELAY_S = 0.002

hedge_policies = Registry("hedge policy")


class LatencyWindow:
    """Quantiles of the newest latencies of a service, in seconds."""

    __slots__ = ("_order", "_sorted")

    def __init__(self, samples=WINDOW_SAMPLES):
        self._order = deque(maxlen=samples)
        self._sorted = SortedList()

    def __len__(self):
        return len(self._order)

    def add(self, seconds):
        """Add one latency; the oldest leaves a full window."""
        if len(self._order) == self._order.maxlen:
            self._sorted.remove(self._order[0])
        self._order.append(seconds)
        self._sorted.add(seconds)

    def quantile(self, fraction):
        """Return the quantile, or None before any sample."""
        if not self._sorted:
            return None
        index = min(len(self._sorted) - 1, int(fraction * len(self._sorted)))
        return self._sorted[index]

    def mean(self):
        """Return the mean, or None before any sample."""
        if not self._sorted:
            return None
        return sum(self._order) / len(self._order)


@hedge_policies.register("quantile")
def quantile_delay(window, cfg, service):
    """Return the delay until a hedge in seconds: a quantile of the service."""
    if len(window) < MIN_SAMPLES:
        return None
    fraction = cfg.service_setting(service, "hedge_quantile")
    return max(MIN_HEDGE_DELAY_S, window.quantile(fraction))


@hedge_policies.register("off")
def no_hedge(window, cfg, service):
    """Never hedge."""
    return None
