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

    __slots__ = ("_samples", "_sorted_samples")

    def __init__(self, max_samples=WINDOW_SAMPLES):
        self._samples = deque(maxlen=max_samples)
        self._sorted_samples = SortedList()

    def __len__(self):
        return len(self._samples)

    def add(self, latency_s):
        """Add one latency; the oldest leaves a full window."""
        if len(self._samples) == self._samples.maxlen:
            self._sorted_samples.remove(self._samples[0])
        self._samples.append(latency_s)
        self._sorted_samples.add(latency_s)

    def quantile(self, fraction):
        """Return the quantile, or None before any sample."""
        if not self._sorted_samples:
            return None
        index = min(
            len(self._sorted_samples) - 1, int(fraction * len(self._sorted_samples))
        )
        return self._sorted_samples[index]

    def mean(self):
        """Return the mean, or None before any sample."""
        if not self._sorted_samples:
            return None
        return sum(self._samples) / len(self._samples)


@hedge_policies.register("quantile")
def quantile_delay_s(window, cfg, service):
    """Return the delay until a hedge in seconds: a quantile of the service."""
    if len(window) < MIN_SAMPLES:
        return None
    fraction = cfg.service_setting(service, "hedge_quantile")
    return max(MIN_HEDGE_DELAY_S, window.quantile(fraction))


@hedge_policies.register("off")
def no_hedge(window, cfg, service):
    """Never hedge."""
    return None
