"""Expected times of routes, and when a slow exchange gets a second one."""

from ..hedging import LatencyWindow

__all__ = ["RouteLatency"]

WINDOW_SAMPLES = 400
MIN_SAMPLES = 20
# Share of exchanges that are faster than the time until a hedge.
HEDGE_QUANTILE = 0.9
# The time until a hedge is at most this multiple of the median. Some slow servers
# would otherwise raise the quantile to their own latency.
MAX_HEDGE_DELAY_MEDIANS = 1.8
# Least time until a hedge, in s; below it scheduling noise would cause hedges.
MIN_HEDGE_DELAY_S = 0.008
# While nothing is measured: the hedge delay and the expected time as parts of the
# objective.
INITIAL_HEDGE_DELAY_FRACTION = 0.35
INITIAL_EXPECTED_FRACTION = 0.15
# Samples between two computations of the quantiles.
SAMPLES_PER_REFRESH = 16


class RouteLatency:
    """Latency of the exchanges of one route and service set, in seconds."""

    __slots__ = (
        "_samples_since_refresh",
        "_window",
        "expected_s",
        "hedge_delay_s",
        "objective_s",
    )

    def __init__(self, objective_s):
        self.objective_s = objective_s
        self._window = LatencyWindow(WINDOW_SAMPLES)
        self._samples_since_refresh = 0
        self.expected_s = objective_s * INITIAL_EXPECTED_FRACTION
        self.hedge_delay_s = objective_s * INITIAL_HEDGE_DELAY_FRACTION

    @property
    def objective_ratio(self):
        """The objective as a multiple of the expected time."""
        return self.objective_s / max(0.001, self.expected_s)

    def add(self, latency_s):
        """Add the latency of an exchange that was answered."""
        self._window.add(latency_s)
        self._samples_since_refresh += 1
        if (
            len(self._window) < MIN_SAMPLES
            or self._samples_since_refresh < SAMPLES_PER_REFRESH
        ):
            return
        self._samples_since_refresh = 0
        self.expected_s = self._window.quantile(0.5)
        hedge_delay_s = min(
            self._window.quantile(HEDGE_QUANTILE),
            MAX_HEDGE_DELAY_MEDIANS * self.expected_s,
        )
        self.hedge_delay_s = max(MIN_HEDGE_DELAY_S, hedge_delay_s)
