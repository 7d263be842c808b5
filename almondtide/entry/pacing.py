"""Expected times of routes, and when a slow exchange gets a second one."""

from ..hedging import LatencyWindow

__all__ = ["RoutePace"]

WINDOW_SAMPLES = 400
MIN_SAMPLES = 20
# Share of exchanges that are faster than the time until a hedge.
HEDGE_QUANTILE = 0.9
# The time until a hedge is at most this multiple of the median. Some slow servers
# would otherwise raise the quantile to their own latency.
HEDGE_MEDIANS = 1.8
# Least time until a hedge, in s; below it scheduling noise would cause hedges.
HEDGE_FLOOR_S = 0.008
# While nothing is measured: the hedge delay and the expected time as parts of the
# objective.
FIRST_HEDGE_PART = 0.35
FIRST_EXPECTED_PART = 0.15
# Samples between two computations of the quantiles.
REFRESH_SAMPLES = 16


class RoutePace:
    """Latency of the exchanges of one route and service set, in seconds."""

    __slots__ = ("_since", "_window", "expected_s", "hedge_s", "objective_s")

    def __init__(self, objective_s):
        self.objective_s = objective_s
        self._window = LatencyWindow(WINDOW_SAMPLES)
        self._since = 0
        self.expected_s = objective_s * FIRST_EXPECTED_PART
        self.hedge_s = objective_s * FIRST_HEDGE_PART

    @property
    def patience(self):
        """The objective as a multiple of the expected time."""
        return self.objective_s / max(0.001, self.expected_s)

    def add(self, latency_s):
        """Add the latency of an exchange that was answered."""
        self._window.add(latency_s)
        self._since += 1
        if len(self._window) < MIN_SAMPLES or self._since < REFRESH_SAMPLES:
            return
        self._since = 0
        self.expected_s = self._window.quantile(0.5)
        hedge_s = min(
            self._window.quantile(HEDGE_QUANTILE), HEDGE_MEDIANS * self.expected_s
        )
        self.hedge_s = max(HEDGE_FLOOR_S, hedge_s)
