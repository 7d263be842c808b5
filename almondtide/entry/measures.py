"""Counters, gauges and latency histograms of an entry, rendered when asked."""

from bisect import bisect_left

__all__ = ["LATENCY_BUCKETS_S", "LatencyHistogram", "Measure", "render"]

PREFIX = "almondtide_entry_"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0)


class LatencyHistogram:
    """Observations in buckets; ``counts`` has one more for those above the last."""

    __slots__ = ("counts", "total_s")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds):
        """Add one observation."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class Measure:
    """One metric: ``values`` maps tuples of (label, value) pairs to numbers.

    ``kind`` is "counter", "gauge" or "histogram"; the values of a histogram are
    ``LatencyHistogram`` objects.
    """

    __slots__ = ("kind", "name", "text", "values")

    def __init__(self, kind, name, text, values):
        self.kind = kind
        self.name = name
        self.text = text
        self.values = values


def render(measures):
    """Return the text of the exposition format."""
    # Imported here: the library takes 11 MB, which only a daemon that is asked for
    # its metrics should hold.
    import aioprometheus
    from aioprometheus.formats import text

    registry = aioprometheus.Registry()
    kinds = {"counter": aioprometheus.Counter, "gauge": aioprometheus.Gauge}
    for measure in measures:
        name = PREFIX + measure.name
        if measure.kind == "histogram":
            collector = aioprometheus.Histogram(
                name,
                measure.text,
                buckets=list(LATENCY_BUCKETS_S),
                registry=registry,
            )
            for labels, histogram in measure.values.items():
                collector.set_value(dict(labels), _library_histogram(histogram))
            continue
        collector = kinds[measure.kind](name, measure.text, registry=registry)
        for labels, value in measure.values.items():
            collector.set(dict(labels), value)
    return text.TextFormatter().marshall(registry)


def _library_histogram(histogram):
    from aioprometheus.histogram import Histogram

    buckets = Histogram(*LATENCY_BUCKETS_S)
    cumulative = 0
    for bound, count in zip(buckets.buckets, histogram.counts, strict=True):
        cumulative += count
        buckets.buckets[bound] = cumulative
    buckets.sum = histogram.total_s
    buckets.observations = cumulative
    return buckets
