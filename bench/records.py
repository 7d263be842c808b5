"""Records of the requests of a load, and summaries of records."""

import orjson
from hdrh.histogram import HdrHistogram

from almondtide.errors import ResultCode

__all__ = [
    "LoadReport",
    "Record",
    "Summary",
    "latency_histogram",
    "read_report",
    "recovery_s",
    "write_report",
]

HISTOGRAM_MAX_US = 120_000_000
HISTOGRAM_DIGITS = 3
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}

# Codes that the load tool records itself; they are not result codes of the tier.
CODE_CONNECTION_LOST = -1
CODE_NO_ANSWER = -2

_REFUSALS = frozenset(
    {ResultCode.OVERLOADED, ResultCode.DRAINING, ResultCode.NOT_READY}
)


class Record:
    """The outcome of one request.

    ``start_s`` is the intended start in seconds after the start of the run.
    ``latency_s`` counts from it, so it includes delays of the load tool and of
    servers that block later requests. ``lateness_s`` is the part caused by the load
    tool: from the intended start until the task of the request runs. ``status`` is
    0 without a response. ``missing`` lists the result code of each missing shard.
    """

    __slots__ = (
        "code",
        "covered",
        "entry",
        "latency_s",
        "lateness_s",
        "missing",
        "not_run",
        "retry_after_ms",
        "sends",
        "start_s",
        "status",
    )

    def __init__(
        self,
        start_s,
        latency_s,
        lateness_s=0.0,
        status=200,
        code=0,
        not_run=False,
        covered=0,
        missing=(),
        sends=0,
        retry_after_ms=None,
        entry="",
    ):
        self.start_s = start_s
        self.latency_s = latency_s
        self.lateness_s = lateness_s
        self.status = status
        self.code = code
        self.not_run = not_run
        self.covered = covered
        self.missing = list(missing)
        self.sends = sends
        self.retry_after_ms = retry_after_ms
        self.entry = entry

    def to_list(self):
        """Return the fields in the order of the constructor."""
        return [getattr(self, name) for name in _STORED_FIELDS]

    @property
    def is_full(self):
        """Whether the answer covers every shard."""
        return self.code == ResultCode.OK

    @property
    def is_answered(self):
        """Whether the answer covers at least one shard."""
        return self.code in (ResultCode.OK, ResultCode.PARTIAL)

    @property
    def is_refused(self):
        """Whether the tier refused it as overloaded, draining or not ready."""
        return self.code in _REFUSALS


_STORED_FIELDS = (
    "start_s",
    "latency_s",
    "lateness_s",
    "status",
    "code",
    "not_run",
    "covered",
    "missing",
    "sends",
    "retry_after_ms",
    "entry",
)


class LoadReport:
    """The records of a run and the CPU use of the load processes.

    ``cpu_share`` is the largest share of a core that one load process used.
    ``unfinished`` is the number of requests without a record at the end of the run.
    """

    __slots__ = ("cpu_share", "records", "unfinished")

    def __init__(self, records, cpu_share=0.0, unfinished=0):
        self.records = records
        self.cpu_share = cpu_share
        self.unfinished = unfinished

    @classmethod
    def combine(cls, reports):
        """Return one report of several load processes."""
        records = [record for report in reports for record in report.records]
        records.sort(key=lambda record: record.start_s)
        return cls(
            records,
            max(report.cpu_share for report in reports),
            sum(report.unfinished for report in reports),
        )

    def records_between(self, begin_s, end_s):
        """Return the records with an intended start in ``[begin_s, end_s)``."""
        return [item for item in self.records if begin_s <= item.start_s < end_s]


def write_report(path, report):
    """Write a report as JSON."""
    value = {
        "cpu_share": report.cpu_share,
        "unfinished": report.unfinished,
        "fields": _STORED_FIELDS,
        "records": [record.to_list() for record in report.records],
    }
    with open(path, "wb") as out:
        out.write(orjson.dumps(value))


def read_report(path):
    """Return the ``LoadReport`` of a file that ``write_report`` wrote."""
    with open(path, "rb") as source:
        value = orjson.loads(source.read())
    records = [Record(*fields) for fields in value["records"]]
    return LoadReport(records, value["cpu_share"], value["unfinished"])


def latency_histogram(seconds):
    """Return an ``HdrHistogram`` in microseconds of latencies in seconds."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(HISTOGRAM_MAX_US, int(value * 1e6))))
    return histogram


def _quantiles_ms(seconds):
    if not seconds:
        return dict.fromkeys((*QUANTILES, "max"))
    histogram = latency_histogram(seconds)
    values = {
        name: round(histogram.get_value_at_percentile(percent) / 1000.0, 2)
        for name, percent in QUANTILES.items()
    }
    values["max"] = round(max(seconds) * 1000.0, 2)
    return values


class Summary:
    """Figures computed from the records of one phase; ``to_dict`` returns them all.

    Latencies are in ms, separately for answers with any coverage and for refusals.
    All shards of a request without an answer count as missing. ``extra_sends`` is
    the share of sends beyond one per sub-request, over requests with a full answer.
    """

    __slots__ = ("records", "seconds", "shards")

    def __init__(self, records, seconds, shards):
        self.records = records
        self.seconds = seconds
        self.shards = shards

    @property
    def full_count(self):
        """Number of answers with full coverage."""
        return sum(record.is_full for record in self.records)

    @property
    def goodput(self):
        """Answers with full coverage per second."""
        return self.full_count / self.seconds

    def answered_ms(self):
        """Return latency quantiles of answers with any coverage, in ms."""
        return _quantiles_ms([r.latency_s for r in self.records if r.is_answered])

    def refused_ms(self):
        """Return latency quantiles of refusals, in ms."""
        return _quantiles_ms([r.latency_s for r in self.records if r.is_refused])

    @property
    def coverage(self):
        """Share of the shards of all requests that were covered."""
        if not self.records:
            return None
        return sum(r.covered for r in self.records) / (len(self.records) * self.shards)

    @property
    def extra_sends(self):
        """Share of sends beyond one for each sub-request; None without full answers."""
        full = [record for record in self.records if record.is_full]
        if not full:
            return None
        return sum(r.sends for r in full) / (len(full) * self.shards) - 1.0

    def codes(self):
        """Return a dict from result code name to the number of requests."""
        counts = {}
        for record in self.records:
            name = _code_name(record.code)
            counts[name] = counts.get(name, 0) + 1
        return dict(sorted(counts.items()))

    def missing_codes(self):
        """Return a dict from result code name to the number of missing shards."""
        counts = {}
        for record in self.records:
            for code in record.missing:
                name = _code_name(code)
                counts[name] = counts.get(name, 0) + 1
        return dict(sorted(counts.items()))

    def refusals_well_formed(self):
        """Return the share of refusals with ``not_run`` and ``retry_after_ms``."""
        refusals = [record for record in self.records if record.is_refused]
        if not refusals:
            return None
        well_formed = [
            r for r in refusals if r.not_run and r.retry_after_ms is not None
        ]
        return len(well_formed) / len(refusals)

    def to_dict(self):
        """Return all figures."""
        lateness = _quantiles_ms([record.lateness_s for record in self.records])
        return {
            "requests": len(self.records),
            "offered_per_s": round(len(self.records) / self.seconds, 1),
            "full": self.full_count,
            "goodput_per_s": round(self.goodput, 1),
            "latency_ms": self.answered_ms(),
            "refusal_ms": self.refused_ms(),
            "refusals_well_formed": self.refusals_well_formed(),
            "coverage": _rounded(self.coverage, 5),
            "extra_sends": _rounded(self.extra_sends, 4),
            "codes": self.codes(),
            "missing_codes": self.missing_codes(),
            "load_lateness_p99_ms": lateness["p99"],
        }


def _rounded(value, digits):
    return None if value is None else round(value, digits)


def _code_name(code):
    if code == CODE_CONNECTION_LOST:
        return "connection lost"
    if code == CODE_NO_ANSWER:
        return "no answer"
    return ResultCode(code).name


def recovery_s(records, fault_s, end_s, slow_s, bin_s=0.5, max_bad_share=0.05):
    """Return the seconds from a fault until requests were served normally again.

    Requests are sorted into bins of ``bin_s`` by their intended start. A bin is bad
    if more than ``max_bad_share`` of its requests were not answered in full within
    ``slow_s``. The result is the end of the last bad bin, 0.0 if there is none, or
    None if the last bin before ``end_s`` is bad.
    """
    bin_count = max(1, int((end_s - fault_s) / bin_s))
    totals = [0] * bin_count
    bad_counts = [0] * bin_count
    for record in records:
        bin_index = int((record.start_s - fault_s) / bin_s)
        if record.start_s < fault_s or bin_index >= bin_count:
            continue
        totals[bin_index] += 1
        bad_counts[bin_index] += not (record.is_full and record.latency_s <= slow_s)
    for bin_index in reversed(range(bin_count)):
        if bad_counts[bin_index] > max_bad_share * totals[bin_index]:
            return None if bin_index == bin_count - 1 else (bin_index + 1) * bin_s
    return 0.0
