"""Counters, gauges and latency histograms of an entry in the Prometheus format."""

from bisect import bisect_left

__all__ = ["LATENCY_BUCKETS_S", "LatencyHistogram", "MetricFamily", "render_metrics"]

METRIC_PREFIX = "almondtide_entry_"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0)


class LatencyHistogram:
    """Observations per bucket of ``LATENCY_BUCKETS_S``, and their sum.

    ``bucket_counts`` has one item more, for observations above the last bound.
    """

    __slots__ = ("bucket_counts", "sum_s")

    def __init__(self):
        self.bucket_counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds):
        """Add one observation."""
        self.bucket_counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


class MetricFamily:
    """A metric with all its label sets.

    ``kind`` is "counter", "gauge" or "histogram". ``values`` maps tuples of (label,
    value) pairs to numbers, or to ``LatencyHistogram`` objects for a histogram.
    """

    __slots__ = ("help_text", "kind", "name", "values")

    def __init__(self, kind, name, help_text, values):
        self.kind = kind
        self.name = name
        self.help_text = help_text
        self.values = values


def render_metrics(families):
    """Return the metric families in the Prometheus text format."""
    # Imported here because the library takes 11 MB of memory, which only daemons whose
    # metrics are read should spend.
    import aioprometheus
    from aioprometheus.formats import text

    registry = aioprometheus.Registry()
    kinds = {"counter": aioprometheus.Counter, "gauge": aioprometheus.Gauge}
    for family in families:
        name = METRIC_PREFIX + family.name
        if family.kind == "histogram":
            collector = aioprometheus.Histogram(
                name,
                family.help_text,
                buckets=list(LATENCY_BUCKETS_S),
                registry=registry,
            )
            for labels, histogram in family.values.items():
                collector.set_value(dict(labels), _library_histogram(histogram))
            continue
        collector = kinds[family.kind](name, family.help_text, registry=registry)
        for labels, value in family.values.items():
            collector.set(dict(labels), value)
    return text.TextFormatter().marshall(registry)


def _library_histogram(histogram):
    from aioprometheus.histogram import Histogram

    buckets = Histogram(*LATENCY_BUCKETS_S)
    cumulative = 0
    for bound, count in zip(buckets.buckets, histogram.bucket_counts, strict=True):
        cumulative += count
        buckets.buckets[bound] = cumulative
    buckets.sum = histogram.sum_s
    buckets.observations = cumulative
    return buckets
