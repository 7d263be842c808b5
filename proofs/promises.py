"""The eight promises of the design page: fleet, load, faults and check of each."""

import contextlib
import http.client
import itertools
import random
import threading
import time

from almondtide.configuration import parse_configuration
from almondtide.errors import ResultCode
from almondtide.registry import Registry
from standins.dataset import make_data_set
from standins.fleet import Fleet, FleetSpec, shard_map

from . import checks
from .callers import Caller, CallerPool, query_bodies, revision_bodies
from .faults import FaultInjector
from .history import ConfigurationSample, Execution, Interval

__all__ = ["Proof", "Result", "promises"]

promises = Registry("promise")

WORKLOAD = "advisory"
KIND = "probes"
DATA_SIZE = 600
SETTLE_S = 1.0
SAMPLE_INTERVAL_S = 0.2
REVISION_REQUESTS = 5000
MAX_FACTOR = 4
ENTRIES_MAX_AGE_MS = 3000
# Ways in which the platform fails; "cut" leaves one daemon that reads it, and
# "partition" also separates all daemons from each other.
OUTAGES = ("cut", "partition", "down", "stale")
READ_TIME_S = 2.0
# Length of the stale platform at the end of the configuration's proof.
STALE_S = 5.0
# Share of the revision requests that two callers send at the same moment.
TWIN_SHARE = 0.1
# Events of an upstream's record that stand for a request that arrived.
ARRIVALS = ("search", "revise", "refused")


class Result:
    """Number of requests, the violations and figures worth reporting."""

    __slots__ = ("notes", "requests", "violations")

    def __init__(self, requests, violations, **notes):
        self.requests = requests
        self.violations = violations
        self.notes = notes


class Proof:
    """One seeded run of a fleet for one promise.

    ``seconds`` bounds the load. ``requests`` is the number of revision requests
    of ``at-most-once``, ``entries_max_age_ms`` the age of address answers in
    ``planned-stop``. ``mutation`` names a broken daemon of ``mutations``.
    """

    def __init__(
        self,
        directory,
        seed,
        seconds=20.0,
        *,
        requests=REVISION_REQUESTS,
        daemons=5,
        entries_max_age_ms=ENTRIES_MAX_AGE_MS,
        mutation=None,
    ):
        self.directory = directory
        self.seed = seed
        self.seconds = seconds
        self.requests = requests
        self.daemons = daemons
        self.entries_max_age_ms = entries_max_age_ms
        self.mutation = mutation
        self.rng = random.Random(f"{seed}/proof")
        self.fleet = None
        self.calls = []
        self.faults = []

    def start_fleet(self, *, links=(), upstream=None, list_lag_s=0.0, defaults=None):
        """Return a ``Fleet`` of three services with three servers each."""
        spec = FleetSpec(
            daemons=self.daemons,
            workloads={
                WORKLOAD: {"services": 3, "servers": 3, "slots": 3, "kind": KIND}
            },
            upstream={"data_size": DATA_SIZE, **(upstream or {})},
            defaults=defaults,
            list_lag_s=list_lag_s,
            links=links,
        )
        if self.mutation is not None:
            spec.daemon_argv = ["-m", "proofs.mutations", self.mutation]
        self.fleet = Fleet(spec, self.directory)
        return self.fleet

    def services(self):
        """Return the names of the services."""
        return [service for service, _, _ in self.fleet.services()]

    def oracle(self):
        """Return the ``Oracle`` for both epochs that the proofs use."""
        body = {
            "workloads": {
                WORKLOAD: {"shard_maps": [self.shard_map(1), self.shard_map(2)]}
            }
        }
        workload = parse_configuration(body).workloads[WORKLOAD]
        return checks.Oracle(make_data_set(KIND, 1, DATA_SIZE), workload.shard_maps)

    def shard_map(self, epoch):
        """Return the shard map of an epoch; odd and even ones differ."""
        services = self.services()
        return shard_map(epoch, services if epoch % 2 else services[::-1])

    def publish_epochs(self, epochs):
        """Publish the shard maps of ``epochs``."""
        maps = [self.shard_map(epoch) for epoch in epochs]
        self.fleet.configuration["workloads"][WORKLOAD]["shard_maps"] = maps
        return self.fleet.publish("configuration", self.fleet.configuration)

    def change_upstream(self, instance, **fields):
        """Change fields of a server, also for its next start."""
        self.fleet.upstream_specs[instance].update(fields)
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.fleet.control_upstream(instance, fields)

    def pool(self, step, callers=10, pause_s=0.02):
        """Return a ``CallerPool`` whose callers know all addresses."""
        addresses = [info["caller"] for info in self.fleet.daemons.values()]
        names = {info["caller"]: name for name, info in self.fleet.daemons.items()}
        members = [
            Caller(
                number,
                self.seed,
                addresses,
                WORKLOAD,
                lambda address: self.fleet.core_wait_s(names[address]),
            )
            for number in range(callers)
        ]
        return CallerPool(members, step, pause_s)

    def query_step(self, deadlines=(1.0,)):
        """Return a turn that sends one query."""
        make = query_bodies(KIND)

        def step(caller):
            caller.query(make(caller), caller.rng.choice(deadlines))

        return step

    def injector(self, kinds, **options):
        """Return a ``FaultInjector``; its log becomes part of the history."""
        injector = FaultInjector(self.fleet, kinds, self.seed, **options)
        self.faults.append(injector)
        return injector

    def executions(self):
        """Return what the upstreams ran."""
        lines = self.fleet.read_upstream_events()
        return [Execution(**line) for line in lines if line["event"] in ARRIVALS]

    def result(self, pool, violations, **notes):
        """Return the ``Result`` and keep the calls for the history file."""
        self.calls.extend(pool.calls())
        counts = {}
        for call in pool.calls():
            name = call.field("name") or "no_answer"
            counts[name] = counts.get(name, 0) + 1
        faults = sum(len(injector.log) for injector in self.faults)
        return Result(
            len(pool.calls()), violations, faults=faults, codes=counts, **notes
        )


@contextlib.contextmanager
def _background(function):
    """Run ``function(stop)`` in a thread; ``stop`` is set at the end."""
    stop = threading.Event()
    failures = []

    def run():
        try:
            function(stop)
        except Exception as exc:
            failures.append(exc)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
    if failures:
        raise failures[0]


@promises.register("one-snapshot")
def prove_one_snapshot(proof):
    """Index versions and epochs change server by server under queries."""

    def change(stop):
        rng = random.Random(f"{proof.seed}/versions")
        servers = sorted(proof.fleet.upstreams)
        for version in itertools.count(2):
            for held in ([version - 1, version], [version]):
                rng.shuffle(servers)
                for server in servers:
                    proof.change_upstream(server, versions=held)
                    if stop.wait(0.1):
                        return
            if version == 3:
                proof.publish_epochs([1, 2])
                for server in servers:
                    proof.change_upstream(server, epochs=[1, 2])
                    if stop.wait(0.1):
                        return
            if version == 5:
                proof.publish_epochs([2])
                for server in servers:
                    proof.change_upstream(server, epochs=[2])
                    if stop.wait(0.1):
                        return

    with proof.start_fleet() as fleet:
        del fleet
        kinds = [
            "pause_daemon",
            "kill_daemon",
            "kill_upstream",
            "pause_upstream",
            "platform_stale",
        ]
        pool = proof.pool(proof.query_step())
        with pool, proof.injector(kinds, gap_s=1.5), _background(change):
            time.sleep(proof.seconds)
        snapshots = {call.snapshot for call in pool.calls() if call.rows is not None}
        violations = checks.check_snapshots(pool.calls(), proof.oracle())
    return proof.result(pool, violations, snapshots=len(snapshots))


@promises.register("true-coverage")
def prove_true_coverage(proof):
    """Services, servers and links fail, so that shards are missing."""
    crash = {"match": {}, "crash": f"{WORKLOAD}-1", "marker": "crash"}
    make = query_bodies(KIND)

    def step(caller):
        if caller.number == 0 and caller.rng.random() < 0.01:
            caller.query(crash, 0.5)
        caller.query(make(caller), caller.rng.choice((0.4, 0.8)))

    with proof.start_fleet(links=("peer",)):
        kinds = [
            "kill_service",
            "pause_upstream",
            "cut_peers",
            "pause_daemon",
            "platform_down",
        ]
        pool = proof.pool(step)
        with pool, proof.injector(kinds, gap_s=0.8, max_pause_s=2.0):
            time.sleep(proof.seconds)
        partial = [call for call in pool.calls() if call.code == ResultCode.PARTIAL]
        violations = checks.check_coverage(pool.calls(), proof.oracle())
    return proof.result(pool, violations, partial=len(partial))


@promises.register("own-whole-answer")
def prove_own_whole_answer(proof):
    """Upstream replies are duplicated, cut and crossed; peers are delayed."""
    make = query_bodies(KIND)

    def step(caller):
        if caller.rng.random() < 0.3:
            caller.revise(revision_bodies(caller), 1.0)
        else:
            caller.query(make(caller), 1.0)

    with proof.start_fleet(links=("peer", "upstream")) as fleet:
        upstream_links = [name for name in fleet.link_addresses if "upstream/" in name]
        kinds = ["delay_peers", "hold_peers"]
        pool = proof.pool(step, pause_s=0.01)
        with pool, proof.injector(kinds, gap_s=1.0, max_pause_s=1.0):
            time.sleep(SETTLE_S)
            fleet.control_links(
                upstream_links,
                duplicate_share=0.04,
                truncate_share=0.02,
                cross_share=0.04,
            )
            time.sleep(proof.seconds)
        moved = fleet.control_links(upstream_links)
        kinds_moved = {
            kind: sum(counts[kind] for counts in moved.values())
            for kind in ("duplicate", "truncate", "cross")
        }
        violations = checks.check_answers(pool.calls(), proof.oracle())
        # A crossed refusal could pass as the refusal of another request.
        violations += checks.check_not_run(pool.calls(), proof.executions())
        violations += checks.check_executions(pool.calls(), proof.executions())
    return proof.result(pool, violations, replies=kinds_moved)


@promises.register("not-run-is-true")
def prove_not_run(proof):
    """Overload without faults, then faults; refusals are compared with records."""
    make = query_bodies(KIND)

    def step(caller):
        deadline_s = caller.rng.choice((1.0, 2.0))
        if caller.rng.random() < 0.2:
            caller.revise(revision_bodies(caller), deadline_s)
        else:
            caller.query(make(caller), deadline_s)

    slow = {"service_time_s": 0.1}
    with proof.start_fleet(links=("peer",), upstream=slow):
        overload = proof.pool(step, callers=160, pause_s=0.005)
        with overload:
            time.sleep(proof.seconds / 2)
        for caller in overload.callers:
            caller.number += len(overload.callers)
        kinds = [
            "kill_daemon",
            "pause_daemon",
            "kill_service",
            "kill_upstream",
            "pause_upstream",
            "cut_peers",
            "hold_peers",
        ]
        faulty = proof.pool(step, callers=60, pause_s=0.01)
        for caller in faulty.callers:
            caller.number += len(overload.callers)
        with faulty, proof.injector(kinds, gap_s=0.5):
            time.sleep(proof.seconds / 2)
        time.sleep(SETTLE_S)
        calls = [*overload.calls(), *faulty.calls()]
        violations = checks.check_not_run(calls, proof.executions())
        violations += checks.check_refusals(overload.calls())
        violations += checks.check_refusals(faulty.calls(), share=None)
    refused = sum(call.not_run for call in calls)
    proof.calls.extend(overload.calls())
    result = proof.result(faulty, violations, refused=refused)
    result.requests = len(calls)
    return result


@promises.register("at-most-once")
def prove_at_most_once(proof):
    """Revision requests under faults; callers send ids again to other entries."""

    def step(caller):
        body = revision_bodies(caller)
        execution_id = caller.execution_id(body)
        if caller.rng.random() < TWIN_SHARE:
            call = _revise_twice(caller, body, execution_id)
        else:
            call = caller.revise(body, 1.0, execution_id)
        for _ in range(2):
            unsure = call.code != ResultCode.OK
            if not unsure and caller.rng.random() > 0.1:
                return
            caller.forget_entries()
            call = caller.revise(body, 1.0, execution_id)

    kinds = [
        "kill_daemon",
        "pause_daemon",
        "kill_upstream",
        "pause_upstream",
        "cut_peers",
        "hold_peers",
        "delay_peers",
        "platform_down",
        "platform_stale",
        # Most likely to make a request run twice, so four of twelve faults.
        *["kill_upstream"] * 3,
    ]
    # Long enough that many requests run when a server is killed.
    slow = {"service_time_s": 0.05}
    with proof.start_fleet(links=("peer",), upstream=slow):
        pool = proof.pool(step, callers=24, pause_s=0.1)
        twins = proof.pool(step, callers=len(pool.callers))
        for caller, twin in zip(pool.callers, twins.callers, strict=True):
            twin.number += len(pool.callers)
            caller.twin = twin
        limit = time.monotonic() + MAX_FACTOR * proof.seconds
        with pool, proof.injector(kinds, gap_s=0.4, max_pause_s=10.0):
            while pool.sent() < proof.requests and time.monotonic() < limit:
                time.sleep(0.1)
        time.sleep(SETTLE_S)
        executions = proof.executions()
        violations = checks.check_executions(pool.calls(), executions)
    last = {call.execution_id: call for call in pool.calls()}
    unknown = sum(c.code == ResultCode.OUTCOME_UNKNOWN for c in last.values())
    refused = sum(call.not_run for call in last.values())
    silent = sum(call.status is None for call in last.values())
    shares = {
        "ids": len(last),
        "unknown_share": round(unknown / max(1, len(last)), 4),
        "refused_share": round(refused / max(1, len(last)), 4),
        "no_answer_share": round(silent / max(1, len(last)), 4),
    }
    return proof.result(pool, violations, **shares)


def _revise_twice(caller, body, execution_id):
    """Send one execution id through two connections at the same moment."""
    args = (body, 1.0, execution_id)
    thread = threading.Thread(target=caller.twin.revise, args=args, daemon=True)
    thread.start()
    try:
        return caller.revise(*args)
    finally:
        thread.join()


@promises.register("leaving-upstream")
def prove_leaving_upstream(proof):
    """Servers leave by the list, by their own statement, or by both."""
    leavings = []
    lag_s = 8.0

    def relist(server, state):
        proof.fleet.set_listed_state(server, state)
        proof.fleet.publish_instances()

    def leave(stop):
        rng = random.Random(f"{proof.seed}/leaving")
        servers = sorted(proof.fleet.upstreams)
        while not stop.wait(0.2):
            server = rng.choice(servers)
            kind = rng.choice(("listed", "stated", "misleading"))
            proof.fleet.control_platform(
                {"list_lag_s": 0.0 if kind == "listed" else lag_s}
            )
            begun = time.monotonic()
            relist(server, "leaving")
            if kind != "listed":
                proof.change_upstream(server, state="draining")
            if kind == "misleading":
                proof.change_upstream(server, reported={"state": "live"})
            stop.wait(rng.uniform(4.5, 6.5))
            leavings.append(Interval(server, begun, time.monotonic()))
            proof.change_upstream(server, state="live", reported=None)
            proof.fleet.control_platform({"list_lag_s": 0.0})
            relist(server, "live")

    with proof.start_fleet():
        pool = proof.pool(proof.query_step())
        kinds = ["kill_daemon", "pause_daemon"]
        injector = proof.injector(kinds, gap_s=1.5, max_pause_s=6.0, threads=1)
        with pool, injector, _background(leave):
            time.sleep(proof.seconds)
        violations = checks.check_leaving(leavings, proof.executions())
    return proof.result(pool, violations, leavings=len(leavings))


@promises.register("planned-stop")
def prove_planned_stop(proof):
    """Every daemon is restarted in turn; no request may fail."""
    make = query_bodies(KIND)
    exits = []

    def step(caller):
        if caller.rng.random() < 0.3:
            caller.revise(revision_bodies(caller), 5.0)
        else:
            caller.query(make(caller), 5.0)

    defaults = {"entries_max_age_ms": proof.entries_max_age_ms}
    with proof.start_fleet(defaults=defaults) as fleet:
        pool = proof.pool(step)
        with pool:
            time.sleep(SETTLE_S)
            for name in sorted(fleet.daemons):
                exits.append((name, fleet.terminate(name)))
                fleet.start_daemon(name)
                fleet.wait_ready(name)
                time.sleep(SETTLE_S / 2)
            time.sleep(SETTLE_S)
        violations = checks.check_planned_stops(pool.calls(), exits)
    return proof.result(pool, violations, restarts=len(exits))


class _Operators:
    """Two operators who publish at the same time, and the record of it."""

    def __init__(self, proof):
        self.proof = proof
        self.published = []
        self.outages = []
        self.lock = threading.Lock()

    def publish(self, rng):
        """Publish a valid change, or at times an invalid one."""
        document = dict(self.proof.fleet.configuration)
        valid = rng.random() > 0.15
        document["defaults"] = {"queue_limit": rng.randrange(500, 1500)}
        if not valid:
            document["defaults"] = {"queue_limit": -1}
        with self.lock:
            revision = self.proof.fleet.publish("configuration", document)
            if valid:
                self.published.append((revision, time.monotonic()))

    def run(self, stop, number):
        """Publish now and then until the end."""
        rng = random.Random(f"{self.proof.seed}/operator/{number}")
        while not stop.wait(rng.uniform(0.5, 3.0)):
            self.publish(rng)

    def older(self):
        """Return the valid revision before the last one, or the first."""
        revisions = [1, *sorted(revision for revision, _ in self.published)]
        return revisions[-2] if len(revisions) > 1 else revisions[0]

    def accepted(self):
        """Return (revision, time); what was published in an outage counts later.

        Nobody can read a revision that is published while the platform is down
        or stale; it is accepted when the platform shows it.
        """
        accepted = []
        for revision, at in self.published:
            for outage in self.outages:
                if outage.start <= at < outage.end:
                    at = outage.end
            accepted.append((revision, at))
        return accepted


@promises.register("configuration")
def prove_configuration(proof):
    """Operators race; the platform fails, daemons restart, links are cut."""
    samples = []
    excuses = []
    operators = _Operators(proof)

    def sample(stop):
        while not stop.wait(SAMPLE_INTERVAL_S):
            for name in proof.fleet.daemons:
                samples.extend(_sample(proof.fleet, name))

    def platform_faults(stop):
        rng = random.Random(f"{proof.seed}/platform")
        kinds = itertools.cycle(OUTAGES)
        for _ in range(proof.seed % len(OUTAGES)):
            next(kinds)
        while not stop.wait(rng.uniform(1.0, 2.0)):
            kind = next(kinds)
            # A revision published just before an outage must be read by a daemon.
            with operators.lock:
                stop.wait(READ_TIME_S)
                begun = time.monotonic()
                _begin_outage(proof, kind, rng, operators.older())
            stop.wait(rng.uniform(2.0, 8.0))
            _end_outage(proof, kind)
            if kind == "partition":
                excuses.append(Interval(None, begun, time.monotonic()))
            elif kind != "cut":
                operators.outages.append(Interval(None, begun, time.monotonic()))

    with proof.start_fleet(links=("peer", "platform")):
        pool = proof.pool(proof.query_step(), callers=3, pause_s=0.1)
        injector = proof.injector(["kill_daemon", "pause_daemon"], threads=1, gap_s=2)
        with contextlib.ExitStack() as stack:
            stack.enter_context(pool)
            stack.enter_context(_background(sample))
            stack.enter_context(_background(lambda stop: operators.run(stop, 1)))
            stack.enter_context(_background(lambda stop: operators.run(stop, 2)))
            stack.enter_context(_background(platform_faults))
            stack.enter_context(injector)
            time.sleep(proof.seconds)
        _await_highest(proof, operators, samples)
        _go_stale(proof, operators, samples)
        for interval in injector.log:
            name = interval.name.split()[1]
            excuses.append(Interval(name, interval.start, interval.end))
        violations = checks.check_configuration(samples, operators.accepted(), excuses)
        histories = {name: _recorded(proof.fleet, name) for name in proof.fleet.daemons}
        violations.extend(checks.check_recorded_revisions(histories))
    return proof.result(
        pool, violations, revisions=len(operators.published), samples=len(samples)
    )


def _await_highest(proof, operators, samples):
    """Sample until all daemons show the newest revision, or the limit is over."""
    highest = max(revision for revision, _ in operators.published)
    deadline = time.monotonic() + checks.CONFIGURATION_LIMIT_S + SETTLE_S
    while time.monotonic() < deadline:
        now = [_sample(proof.fleet, name) for name in proof.fleet.daemons]
        samples.extend(sample for found in now for sample in found)
        if all(found and found[0].revision == highest for found in now):
            break
        time.sleep(SAMPLE_INTERVAL_S)


def _go_stale(proof, operators, samples):
    """Let the platform go back by a revision that all daemons have in force.

    An outage of the load phase may begin before a daemon has read a second
    revision, and then a stale platform can take nobody back.
    """
    rng = random.Random(f"{proof.seed}/stale")
    while len(operators.published) < 2:
        operators.publish(rng)
    _await_highest(proof, operators, samples)
    begun = time.monotonic()
    _begin_outage(proof, "stale", rng, operators.older())
    while time.monotonic() < begun + STALE_S:
        for name in proof.fleet.daemons:
            samples.extend(_sample(proof.fleet, name))
        time.sleep(SAMPLE_INTERVAL_S)
    _end_outage(proof, "stale")
    operators.outages.append(Interval(None, begun, time.monotonic()))


def _recorded(fleet, name):
    """Return the revisions that a daemon recorded as in force, in order."""
    report = fleet.read_admin_report(name, "events?kind=daemon")
    return [
        event["fields"]["revision"]
        for event in report["events"]
        if event["event"] == "document_in_force"
        and event["fields"]["document"] == "configuration"
    ]


def _sample(fleet, name):
    at = time.monotonic()
    try:
        report = fleet.read_admin_report(name, "configuration")
    except (OSError, http.client.HTTPException, ValueError):
        return []
    revision = report.get("revision") if isinstance(report, dict) else None
    return [ConfigurationSample(name, at, revision)]


def _links(proof, prefix):
    return [name for name in proof.fleet.link_addresses if name.startswith(prefix)]


def _begin_outage(proof, kind, rng, older):
    if kind == "down":
        proof.fleet.control_platform({"mode": kind})
        return
    if kind == "stale":
        as_of = {"configuration": older}
        proof.fleet.control_platform({"mode": kind, "as_of": as_of})
        return
    links = _links(proof, "platform/")
    if kind == "cut":
        # One daemon still reads the platform; the others must learn from it.
        links.remove(rng.choice(links))
    proof.fleet.control_links(links, cut=True)
    if kind == "partition":
        proof.fleet.control_links(_links(proof, "peer/"), cut=True)


def _end_outage(proof, kind):
    if kind in ("down", "stale"):
        proof.fleet.control_platform({"mode": "normal"})
    else:
        proof.fleet.control_links(None, cut=False)
