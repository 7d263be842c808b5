"""Counters, gauges and histograms of a daemon."""

from bisect import bisect_left

import aioprometheus
from aioprometheus import Registry
from aioprometheus.histogram import Histogram as HistogramBuckets
from aioprometheus.renderer import render

__all__ = ["COUNTERS", "GAUGES", "HISTOGRAMS", "Metrics"]

PREFIX = "almondtide_"
LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0]

# A test compares the help texts below with the reference page.
COUNTERS = {
    "queries": "Queries answered, by workload and result code.",
    "revisions": "Non-idempotent requests, by workload and result code.",
    "unknown_outcomes": "Executions that ended with an unknown outcome.",
    "malformed": "Requests refused as malformed, by result code.",
    "connections_refused": "Caller connections refused at the limit.",
    "sends": "Exchanges started with upstreams, by service.",
    "hedges": "Second attempts, by service.",
    "retries": "Attempts after a failed one, by service.",
    "refused": "Sub-requests refused by admission, by service.",
    "reroutes": "Sub-requests sent to a standby.",
    "platform_reads": "Calls to the configuration service.",
    "pauses": "Times that this process was paused.",
}

GAUGES = {
    "configuration_revision": "Revision of the configuration in force.",
    "connections": "Open connections, by listener.",
    "running": "Requests of callers in progress.",
    "queue_length": "Sub-requests waiting for a slot, by service.",
    "in_flight": "Exchanges in progress, by service.",
    "upstream_connections": "Connections to upstreams, by service.",
    "services_owned": "Services that this daemon owns.",
    "peer_links": "Open links to peers.",
    "members": "Daemons in the view, by state.",
    "quarantined": "Requests in quarantine.",
    "suspects": "Requests under which a server was lost.",
    "executions": "Executions that this home remembers.",
    "events_dropped": "Events that left their ring buffer, by ring.",
    "tasks": "Tasks of this process.",
    "leaving": "Whether this daemon is shutting down.",
    "cpu_seconds": "CPU time of this process.",
    "resident_peak_bytes": "Largest resident memory of this process.",
}

HISTOGRAMS = {
    "query_seconds": "Time from the arrival of a query to its answer, by workload.",
    "queue_seconds": "Time that sub-requests wait for a slot.",
}


class _Counter:
    """Counter that sets the collector of the library only when rendered.

    The collector encodes its labels as JSON on each change, which costs 6 to 8
    microseconds per sub-request of a query.
    """

    __slots__ = ("_collector", "_counts")

    def __init__(self, name, text, registry):
        self._collector = aioprometheus.Counter(
            f"{PREFIX}{name}_total", text, registry=registry
        )
        self._counts = {}

    def inc(self, labels):
        """Add 1."""
        self.add(labels, 1)

    def add(self, labels, value):
        """Add ``value``; callers must always give ``labels`` in the same order."""
        key = tuple(labels.items())
        self._counts[key] = self._counts.get(key, 0) + value

    def get(self, labels):
        """Return the count, 0 when there is none."""
        return self._counts.get(tuple(labels.items()), 0)

    def export(self):
        """Copy the counts to the collector of the library."""
        for key, count in self._counts.items():
            self._collector.set(dict(key), count)


class _Histogram:
    """Histogram that sets the collector of the library only when rendered."""

    __slots__ = ("_collector", "_series")

    def __init__(self, name, text, registry):
        self._collector = aioprometheus.Histogram(
            PREFIX + name, text, buckets=LATENCY_BUCKETS_S, registry=registry
        )
        # labels -> [sum, count of each bucket, count above the last bucket]
        self._series = {}

    def observe(self, labels, value):
        """Add one observation in seconds."""
        key = tuple(labels.items())
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = [0.0] + [0] * (len(LATENCY_BUCKETS_S) + 1)
        series[0] += value
        series[1 + bisect_left(LATENCY_BUCKETS_S, value)] += 1

    def export(self):
        """Copy the observations to the collector of the library."""
        for key, (total, *counts) in self._series.items():
            buckets = HistogramBuckets(*LATENCY_BUCKETS_S)
            cumulative = 0
            for bound, count in zip(buckets.buckets, counts, strict=True):
                cumulative += count
                buckets.buckets[bound] = cumulative
            buckets.sum = total
            buckets.observations = cumulative
            self._collector.set_value(dict(key), buckets)


class Metrics:
    """The metrics of one daemon in a registry of its own.

    ``read_gauges`` is called when the metrics are rendered. It returns a dict from
    the name of a gauge to its value, or to a dict from labels to values. Labels are
    tuples of pairs (name, value).
    """

    __slots__ = (*COUNTERS, *HISTOGRAMS, "_gauges", "registry", "read_gauges")

    def __init__(self):
        self.registry = Registry()
        self.read_gauges = dict
        for name, text in COUNTERS.items():
            setattr(self, name, _Counter(name, text, self.registry))
        for name, text in HISTOGRAMS.items():
            setattr(self, name, _Histogram(name, text, self.registry))
        self._gauges = {
            name: aioprometheus.Gauge(PREFIX + name, text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def render(self, accept="text/plain"):
        """Return (content, headers) in the Prometheus exposition format."""
        for name in (*COUNTERS, *HISTOGRAMS):
            getattr(self, name).export()
        for name, value in self.read_gauges().items():
            self._set_gauge(self._gauges[name], value)
        return render(self.registry, [accept])

    @staticmethod
    def _set_gauge(gauge, value):
        # Removes labels that no longer occur, such as those of a released service.
        gauge.values.clear()
        if not isinstance(value, dict):
            gauge.set({}, value)
            return
        for labels, number in value.items():
            gauge.set(dict(labels), number)
