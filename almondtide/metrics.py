"""Counters, gauges and histograms of a daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

_LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0]

_COUNTERS = {
    "queries": "Queries answered, by workload and result code.",
    "sends": "Exchanges started with upstreams, by service.",
    "hedges": "Second attempts, by service.",
    "refused": "Sub-requests refused by admission, by service.",
    "reroutes": "Sub-requests sent to a standby.",
    "unknown_outcomes": "Executions that ended with an unknown outcome.",
    "revisions": "Non-idempotent requests, by workload and result code.",
    "platform_reads": "Calls to the configuration service.",
    "pauses": "Times that this process was paused.",
    "malformed": "Requests that were refused as malformed.",
}


class Metrics:
    """The metrics of one daemon in a registry of its own."""

    __slots__ = (
        *_COUNTERS,
        "configuration_revision",
        "query_seconds",
        "queue_seconds",
        "registry",
    )

    def __init__(self):
        self.registry = Registry()
        for name, text in _COUNTERS.items():
            counter = Counter(f"almondtide_{name}_total", text, registry=self.registry)
            setattr(self, name, counter)
        self.configuration_revision = Gauge(
            "almondtide_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        self.query_seconds = Histogram(
            "almondtide_query_seconds",
            "Time from the arrival of a query to its answer, by workload.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.queue_seconds = Histogram(
            "almondtide_queue_seconds",
            "Time that sub-requests wait for a slot.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )

    def render(self, accept="text/plain"):
        """Return (content, headers) in the exposition format."""
        return render(self.registry, [accept])
