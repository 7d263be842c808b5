"""Expected latency of the exchanges of a route, and its hedge delay."""

from ...hedging import LatencyWindow

__all__ = ["RouteLatency"]

WINDOW_SAMPLES = 400
MIN_SAMPLES = 20
# The hedge delay is this quantile of the latencies.
HEDGE_QUANTILE = 0.9
# Quantile of the latencies that counts as the time of a slow exchange.
SLOW_QUANTILE = 0.99
# Largest hedge delay as a multiple of the median. A few slow servers would otherwise
# raise the quantile to their own latency.
MAX_HEDGE_DELAY_MEDIANS = 1.8
# Least hedge delay, in s; with a shorter one scheduling noise would cause hedges.
MIN_HEDGE_DELAY_S = 0.008
# Hedge delay and expected time before there are enough samples, as fractions of the
# objective.
INITIAL_HEDGE_DELAY_FRACTION = 0.35
INITIAL_EXPECTED_FRACTION = 0.15
# Samples between two updates of the quantiles.
SAMPLES_PER_REFRESH = 16


class RouteLatency:
    """Latencies of the exchanges of one route and set of services, in seconds.

    ``expected_s`` is their median. ``hedge_delay_s`` is the time after which an
    exchange counts as slow, so that a second one is sent to another server.
    """

    __slots__ = (
        "_has_estimates",
        "_samples_since_refresh",
        "_window",
        "expected_s",
        "hedge_delay_s",
        "objective_s",
    )

    def __init__(self, objective_s):
        self._window = LatencyWindow(WINDOW_SAMPLES)
        self._samples_since_refresh = 0
        self._has_estimates = False
        self.objective_s = None
        self.set_objective(objective_s)

    def set_objective(self, objective_s):
        """Use the objective of the version that a call goes by, in seconds."""
        if objective_s == self.objective_s:
            return
        self.objective_s = objective_s
        if not self._has_estimates:
            self.expected_s = objective_s * INITIAL_EXPECTED_FRACTION
            self.hedge_delay_s = objective_s * INITIAL_HEDGE_DELAY_FRACTION

    @property
    def objective_ratio(self):
        """The objective as a multiple of the expected latency."""
        return self.objective_s / max(0.001, self.expected_s)

    @property
    def slow_s(self):
        """Time of a slow exchange; the objective while there was none yet."""
        slow_s = self._window.quantile(SLOW_QUANTILE)
        return self.objective_s if slow_s is None else max(slow_s, self.expected_s)

    def add(self, latency_s):
        """Add the latency of an exchange that succeeded."""
        self._window.add(latency_s)
        self._samples_since_refresh += 1
        if (
            len(self._window) < MIN_SAMPLES
            or self._samples_since_refresh < SAMPLES_PER_REFRESH
        ):
            return
        self._samples_since_refresh = 0
        self._has_estimates = True
        self.expected_s = self._window.quantile(0.5)
        hedge_delay_s = min(
            self._window.quantile(HEDGE_QUANTILE),
            MAX_HEDGE_DELAY_MEDIANS * self.expected_s,
        )
        self.hedge_delay_s = max(MIN_HEDGE_DELAY_S, hedge_delay_s)
