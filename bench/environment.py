"""Fleets for the scenarios: sizes, phases of load, CPU use."""

import shutil
import tempfile
import time

import psutil

from standins.fleet import Fleet, FleetSpec

from .load import Load, LoadSpec
from .records import Summary

__all__ = [
    "SIDES",
    "BenchFleet",
    "FleetShape",
    "MachineLoad",
    "Options",
    "Phase",
    "is_saturated",
]

SIDES = {"product": "almondtide.daemon", "baseline": "baseline.daemon"}

DAEMONS = 18
SERVICES = 10
SERVERS_PER_SERVICE = 3
SLOTS_PER_SERVER = 3
CONNECTIONS_PER_SERVER = 65
# Small, so that the CPU time of a stand-in stays far below its service time.
DATA_SIZE = 100
SERVICE_TIME_S = 0.06
WARM_UP_S = 3.0
CONFIGURATION_TIMEOUT_S = 10.0
# Shares of the machine's cores that are in use. A phase starts at or below the
# first. Above the second, processes wait for cores and the figures are unreliable.
MAX_QUIET_CORE_SHARE = 0.35
SATURATED_CORE_SHARE = 0.8
WORKLOAD = "advisory"


class FleetShape:
    """The size and settings of a fleet for a scenario.

    ``service_time_s`` is the mean service time without stragglers. At 60 ms, 150
    queries/s use all slots of 10 services and less than half of 12 cores.
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
        service_time_s=SERVICE_TIME_S,
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
        """Queries per second that use all slots; includes the cost of stragglers."""
        mean_time_factor = 1.0 + self.straggler_share * (self.straggler_factor - 1.0)
        return (
            SERVERS_PER_SERVICE
            * SLOTS_PER_SERVER
            / (self.service_time_s * mean_time_factor)
        )

    def fleet_spec(self, side):
        """Return the ``FleetSpec`` of one side: product or baseline."""
        settings = {"deadline_ms": self.deadline_ms, **self.settings}
        soft_ms = min(250, self.deadline_ms)
        settings.setdefault("soft_deadline_ms", soft_ms)
        workload = {
            "services": SERVICES,
            "servers": SERVERS_PER_SERVICE,
            "slots": SLOTS_PER_SERVER,
            "connections": CONNECTIONS_PER_SERVER,
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


class Options:
    """The options of a benchmark run, which apply to all scenarios.

    ``logs`` is the directory in which the log files of all processes are kept, or
    None. ``quiet_wait_s`` is the longest wait for an idle machine before a phase.
    """

    __slots__ = ("logs", "quiet_wait_s", "seconds", "service_time_s", "sides")

    def __init__(
        self,
        seconds=10.0,
        service_time_s=SERVICE_TIME_S,
        sides=(),
        logs=None,
        quiet_wait_s=0.0,
    ):
        self.seconds = seconds
        self.quiet_wait_s = quiet_wait_s
        self.service_time_s = service_time_s
        self.sides = list(sides) or list(SIDES)
        self.logs = logs

    def make_shape(self, deadline_ms=390, **values):
        """Return a ``FleetShape`` with the chosen service time.

        ``deadline_ms`` applies to the default service time; it is scaled in
        proportion to the chosen one.
        """
        scaled_ms = round(deadline_ms * self.service_time_s / SERVICE_TIME_S)
        return FleetShape(scaled_ms, service_time_s=self.service_time_s, **values)

    def to_dict(self):
        """Return the options that affect the figures."""
        return {
            "seconds": self.seconds,
            "service_time_s": self.service_time_s,
            "sides": self.sides,
        }

    def make_fleet(self, shape, side):
        """Return a ``BenchFleet``, not started."""
        return BenchFleet(shape, side, self.logs, self.quiet_wait_s)


class Phase:
    """The records and the CPU use of one load on one fleet.

    ``ran`` and ``shed`` count the sub-queries that the servers ran and shed.
    """

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
        """Share of sub-queries that servers ran beyond one for each sub-request."""
        sub_request_count = len(self.report.records) * SERVICES
        return self.ran / sub_request_count - 1.0 if sub_request_count else None

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

    def __init__(self, shape, side, logs=None, quiet_wait_s=0.0):
        self.shape = shape
        self.side = side
        self._keeps_logs = logs is not None
        self._directory = tempfile.mkdtemp(prefix=f"{side}-", dir=logs)
        self.fleet = Fleet(shape.fleet_spec(side), self._directory)
        self._quiet_wait_s = quiet_wait_s
        self._seed = 0

    def __enter__(self):
        try:
            self.fleet.__enter__()
        except BaseException:
            self._clean_up()
            raise
        return self

    def __exit__(self, *details):
        self.fleet.__exit__(*details)
        self._clean_up()

    def _clean_up(self):
        if not self._keeps_logs:
            shutil.rmtree(self._directory, ignore_errors=True)

    def wait_quiet(self):
        """Wait until most cores of the machine are idle, or the wait limit passes."""
        give_up_at = time.monotonic() + self._quiet_wait_s
        while time.monotonic() < give_up_at:
            machine = MachineLoad()
            time.sleep(1.0)
            if machine.cores_in_use() <= MAX_QUIET_CORE_SHARE * psutil.cpu_count():
                return

    def start_load(self, rate, seconds, workload=WORKLOAD, **options):
        """Start a ``Load`` that knows the addresses of two daemons."""
        self._seed += 1
        entries = [info["caller"] for info in self.fleet.daemons.values()]
        known_addresses = [entries[0], entries[-1]]
        options.setdefault("deadline_ms", self.shape.deadline_ms)
        options.setdefault("seed", self._seed)
        return Load(LoadSpec(known_addresses, workload, rate, seconds, **options))

    def warm_up(self, rate, seconds=WARM_UP_S):
        """Run a load without measuring it."""
        self.start_load(rate, seconds).result()

    def measure(self, rate, seconds, **options):
        """Run one load and return its ``Phase``."""
        self.wait_quiet()
        return self.collect_phase(self.start_load(rate, seconds, **options))

    def collect_phase(self, load):
        """Wait for a load and return its ``Phase``."""
        load.wait_until(0.0)
        before = self.upstream_counts()
        cpu_before = self.cpu_times_s()
        machine = MachineLoad()
        load.wait_until(load.spec.seconds)
        cpu_after = self.cpu_times_s()
        elapsed_s = machine.elapsed_s()
        machine_cores = machine.cores_in_use()
        report = load.result()
        after = self.upstream_counts()
        cores = {
            part: round((cpu_after[part] - cpu_before[part]) / elapsed_s, 2)
            for part in cpu_after
        }
        cores["machine"] = machine_cores
        ran = after["ran"] - before["ran"]
        shed = after["shed"] - before["shed"]
        return Phase(report, load.spec.seconds, ran, shed, cores)

    def publish_defaults(self, defaults):
        """Publish defaults; returns the seconds until all daemons use them.

        Raises TimeoutError if a daemon does not use them within 10 s.
        """
        revision = self.fleet.publish_defaults(defaults)
        started_at = time.monotonic()
        for name in self.fleet.daemons:
            while self._configuration_revision(name) != revision:
                if time.monotonic() - started_at > CONFIGURATION_TIMEOUT_S:
                    raise TimeoutError(f"{name} does not use revision {revision}")
                time.sleep(0.05)
        return time.monotonic() - started_at

    def _configuration_revision(self, name):
        return self.fleet.read_admin_report(name, "status")["configuration_revision"]

    def upstream_counts(self):
        """Return the sums of the counters of all servers that answer."""
        totals = {"ran": 0, "shed": 0, "cancelled": 0}
        for instance in self.fleet.upstreams:
            try:
                counts = self.fleet.control_upstream(instance, {})["counts"]
            except OSError:
                continue
            for name in totals:
                totals[name] += counts[name]
        return totals

    def cpu_times_s(self):
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
        return [
            item["id"]
            for item in self.fleet.listed_instances
            if item["domain"] == domain
        ]


class MachineLoad:
    """Measures the cores in use on the whole machine since it was created."""

    __slots__ = ("_busy_before_s", "_started_at")

    def __init__(self):
        self._started_at = time.monotonic()
        self._busy_before_s = _machine_busy_s()

    def elapsed_s(self):
        """Return the seconds since the object was created."""
        return time.monotonic() - self._started_at

    def cores_in_use(self):
        """Return the mean number of cores in use."""
        return round((_machine_busy_s() - self._busy_before_s) / self.elapsed_s(), 2)


def is_saturated(cores):
    """Return whether figures measured with ``cores`` in use are unreliable."""
    return cores > SATURATED_CORE_SHARE * psutil.cpu_count()


def _machine_busy_s():
    """Return the CPU time of all processes of the machine, in core seconds."""
    times = psutil.cpu_times()
    return sum(times) - times.idle - times.iowait - times.guest - times.guest_nice
