"""Fleets under measurement: sizes, phases of load, costs."""

import tempfile
import time

import psutil

from standins.fleet import Fleet, FleetSpec

from .load import Load, LoadSpec
from .records import Summary

__all__ = ["SIDES", "BenchFleet", "Phase", "Shape"]

SIDES = {"product": "almondtide.daemon", "baseline": "baseline.daemon"}

DAEMONS = 18
SERVICES = 10
SERVERS = 3
SLOTS = 3
CONNECTIONS = 65
# Small data sets keep the stand-ins' own work far below their service time.
DATA_SIZE = 100
WARM_UP_S = 3.0
WORKLOAD = "advisory"


class Shape:
    """What a scenario asks of a fleet.

    ``service_time_s`` is the mean service time without stragglers. At 60 ms the
    slots of 10 services are used up by 150 queries/s, which costs less than half
    of 12 cores.
    """

    __slots__ = (
        "daemons",
        "deadline_ms",
        "defaults",
        "service_time_s",
        "settings",
        "straggler_factor",
        "straggler_share",
        "workloads",
    )

    def __init__(
        self,
        deadline_ms=390,
        straggler_share=0.0,
        straggler_factor=20.0,
        service_time_s=0.06,
        daemons=DAEMONS,
        defaults=None,
        settings=None,
        workloads=None,
    ):
        self.deadline_ms = deadline_ms
        self.straggler_share = straggler_share
        self.straggler_factor = straggler_factor
        self.service_time_s = service_time_s
        self.daemons = daemons
        self.defaults = defaults or {}
        self.settings = settings or {}
        self.workloads = workloads or {}

    @property
    def capacity(self):
        """Queries per second that use all slots, stragglers included."""
        slow = 1.0 + self.straggler_share * (self.straggler_factor - 1.0)
        return SERVERS * SLOTS / (self.service_time_s * slow)

    def fleet_spec(self, side):
        """Return the ``FleetSpec`` of one side: product or baseline."""
        settings = {"deadline_ms": self.deadline_ms, **self.settings}
        soft_ms = min(250, self.deadline_ms)
        settings.setdefault("soft_deadline_ms", soft_ms)
        workload = {
            "services": SERVICES,
            "servers": SERVERS,
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "kind": "probes",
            "settings": settings,
        }
        return FleetSpec(
            daemons=self.daemons,
            workloads={WORKLOAD: workload, **self.workloads},
            defaults=self.defaults,
            upstream={
                "data_size": DATA_SIZE,
                "service_time_s": self.service_time_s,
                "straggler_share": self.straggler_share,
                "straggler_factor": self.straggler_factor,
            },
            daemon_argv=("-m", SIDES[side]),
        )


class Phase:
    """Records and costs of one load on one fleet."""

    __slots__ = ("cores", "ran", "report", "seconds", "shed", "summary")

    def __init__(self, report, seconds, ran, shed, cores):
        self.report = report
        self.seconds = seconds
        self.summary = Summary(report.records, seconds, SERVICES)
        self.ran = ran
        self.shed = shed
        self.cores = cores

    @property
    def extra_load(self):
        """Sub-queries that servers ran beyond one for each sub-request."""
        needed = len(self.report.records) * SERVICES
        return self.ran / needed - 1.0 if needed else None

    def to_dict(self):
        """Return all figures for JSON."""
        return {
            **self.summary.to_dict(),
            "upstream_ran": self.ran,
            "upstream_shed": self.shed,
            "extra_load": round(self.extra_load, 4),
            "cores": self.cores,
            "load_cpu_share": self.report.cpu_share,
            "load_unfinished": self.report.unfinished,
        }


class BenchFleet:
    """A fleet of one side with 18 daemons and 30 servers; a context manager."""

    def __init__(self, shape, side):
        self.shape = shape
        self.side = side
        self._directory = tempfile.TemporaryDirectory()
        self.fleet = Fleet(shape.fleet_spec(side), self._directory.name)
        self._seed = 0

    def __enter__(self):
        try:
            self.fleet.__enter__()
        except BaseException:
            self._directory.cleanup()
            raise
        return self

    def __exit__(self, *details):
        self.fleet.__exit__(*details)
        self._directory.cleanup()

    def start_load(self, rate, seconds, workload=WORKLOAD, **options):
        """Start a ``Load`` that knows two of the daemons at first."""
        self._seed += 1
        entries = [info["caller"] for info in self.fleet.daemons.values()]
        known = [entries[0], entries[-1]]
        options.setdefault("deadline_ms", self.shape.deadline_ms)
        options.setdefault("seed", self._seed)
        return Load(LoadSpec(known, workload, rate, seconds, **options))

    def warm_up(self, rate, seconds=WARM_UP_S):
        """Load the fleet without a measurement."""
        self.start_load(rate, seconds).result()

    def measure(self, rate, seconds, **options):
        """Run one load and return its ``Phase``."""
        return self.finish(self.start_load(rate, seconds, **options))

    def finish(self, load):
        """Wait for a load and return its ``Phase``."""
        load.wait_until(0.0)
        before = self.upstream_counts()
        cpu_before = self.cpu_seconds()
        started = time.monotonic()
        load.wait_until(load.spec.seconds)
        cpu_after = self.cpu_seconds()
        elapsed = time.monotonic() - started
        report = load.result()
        after = self.upstream_counts()
        cores = {
            part: round((cpu_after[part] - cpu_before[part]) / elapsed, 2)
            for part in cpu_after
        }
        ran = after["ran"] - before["ran"]
        shed = after["shed"] - before["shed"]
        return Phase(report, load.spec.seconds, ran, shed, cores)

    def upstream_counts(self):
        """Return the counters of all servers that run, summed."""
        totals = {"ran": 0, "shed": 0, "cancelled": 0}
        for instance in self.fleet.upstreams:
            try:
                counts = self.fleet.control_upstream(instance, {})["counts"]
            except OSError:
                continue
            for name in totals:
                totals[name] += counts[name]
        return totals

    def cpu_seconds(self):
        """Return the CPU time used so far by daemons, upstreams and platform."""
        totals = {"daemons": 0.0, "upstreams": 0.0, "platform": 0.0}
        for name, process in self.fleet.processes.items():
            part = "platform"
            if name in self.fleet.daemons:
                part = "daemons"
            elif name in self.fleet.upstreams:
                part = "upstreams"
            try:
                times = psutil.Process(process.pid).cpu_times()
            except psutil.NoSuchProcess:
                continue
            totals[part] += times.user + times.system
        return totals

    def domain_members(self, domain):
        """Return the daemons and the servers of a failure domain."""
        return [item["id"] for item in self.fleet.listed if item["domain"] == domain]
