"""The eight promises of the design page, each with its fleet, load, faults and check.

A promise is a guarantee of the tier towards its callers and operators.
"""

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
from .callers import Caller, CallerPool, make_revision_body, query_body_factory
from .core_waits import CoreWaitSampler
from .faults import FaultInjector
from .history import ConfigurationSample, Execution, Interval

__all__ = ["Proof", "Result", "promises"]

promises = Registry("promise")

WORKLOAD = "advisory"
DATA_SET_KIND = "probes"
DATA_SIZE = 600
SETTLE_S = 1.0
SAMPLE_INTERVAL_S = 0.2
REVISION_REQUESTS = 5000
# The load of at-most-once ends when enough requests are finished, or after this many
# times the length of the run.
MAX_LOAD_TIME_FACTOR = 4
ENTRIES_MAX_AGE_MS = 3000
# Kinds of platform outage. In "cut" one daemon can still read the platform. In
# "partition" no daemon can, and the daemons can't reach each other either.
OUTAGE_KINDS = ("cut", "partition", "down", "stale")
DOCUMENT_READ_WAIT_S = 2.0
# How long the platform serves an old revision at the end of the configuration proof.
FINAL_STALE_DURATION_S = 5.0
# Share of the revision requests that two callers send at the same time.
DUPLICATE_SEND_SHARE = 0.1
# Events of an upstream's record that mean that a request arrived.
ARRIVAL_EVENTS = ("search", "revise", "refused")


class Result:
    """The number of requests, the violations, and notes: figures to print."""

    __slots__ = ("notes", "requests", "violations")

    def __init__(self, requests, violations, **notes):
        self.requests = requests
        self.violations = violations
        self.notes = notes


class Proof:
    """One seeded run of a fleet for one promise.

    ``seconds`` is the length of the load. ``requests`` is the number of revision
    requests of ``at-most-once``. ``entries_max_age_ms`` is the maximum age of a list
    of entries in ``planned-stop``. ``mutation`` names a broken daemon of
    ``mutations``.
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
        self.injectors = []

    def start_fleet(self, *, links=(), upstream=None, list_lag_s=0.0, defaults=None):
        """Return a ``Fleet`` of three services with three servers each."""
        spec = FleetSpec(
            daemons=self.daemons,
            workloads={
                WORKLOAD: {
                    "services": 3,
                    "servers": 3,
                    "slots": 3,
                    "kind": DATA_SET_KIND,
                }
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

    def service_names(self):
        """Return the names of the services."""
        return [service for service, _, _ in self.fleet.services()]

    def make_oracle(self):
        """Return an ``Oracle`` for the two epochs that the proofs use."""
        body = {
            "workloads": {
                WORKLOAD: {"shard_maps": [self.shard_map(1), self.shard_map(2)]}
            }
        }
        workload = parse_configuration(body).workloads[WORKLOAD]
        return checks.Oracle(
            make_data_set(DATA_SET_KIND, 1, DATA_SIZE), workload.shard_maps
        )

    def shard_map(self, epoch):
        """Return the shard map of an epoch.

        Even epochs assign the shards to the services in reverse order.
        """
        services = self.service_names()
        return shard_map(epoch, services if epoch % 2 else services[::-1])

    def publish_epochs(self, epochs):
        """Publish the shard maps of ``epochs``."""
        maps = [self.shard_map(epoch) for epoch in epochs]
        self.fleet.configuration["workloads"][WORKLOAD]["shard_maps"] = maps
        return self.fleet.publish("configuration", self.fleet.configuration)

    def change_upstream(self, instance, **fields):
        """Change fields of a server now and for its later starts."""
        self.fleet.upstream_specs[instance].update(fields)
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.fleet.control_upstream(instance, fields)

    def make_pool(self, step, callers=10, pause_s=0.02):
        """Return a ``CallerPool`` whose callers know the addresses of all daemons."""
        addresses = [info["caller"] for info in self.fleet.daemons.values()]
        members = [
            Caller(
                number,
                self.seed,
                addresses,
                WORKLOAD,
            )
            for number in range(callers)
        ]
        return CallerPool(members, step, pause_s)

    def make_core_wait_sampler(self):
        """Return a ``CoreWaitSampler`` of the daemons, by their addresses."""
        processes = self.fleet.processes
        return CoreWaitSampler(
            {
                info["caller"]: processes[name].pid
                for name, info in self.fleet.daemons.items()
            }
        )

    def make_query_step(self, deadlines=(1.0,)):
        """Return a step function for ``CallerPool`` that sends one query."""
        make_body = query_body_factory(DATA_SET_KIND)

        def step(caller):
            caller.query(make_body(caller), caller.rng.choice(deadlines))

        return step

    def make_injector(self, kinds, **options):
        """Return a ``FaultInjector``; its faults are counted in the result."""
        injector = FaultInjector(self.fleet, kinds, self.seed, **options)
        self.injectors.append(injector)
        return injector

    def read_executions(self):
        """Return the requests that the upstreams recorded as run or refused."""
        lines = self.fleet.read_upstream_events()
        return [Execution(**line) for line in lines if line["event"] in ARRIVAL_EVENTS]

    def make_result(self, pool, violations, **notes):
        """Return the ``Result``; keeps the calls for the history file."""
        self.calls.extend(pool.calls())
        counts = {}
        for call in pool.calls():
            name = call.field("name") or "no_answer"
            counts[name] = counts.get(name, 0) + 1
        faults = sum(len(injector.log) for injector in self.injectors)
        return Result(
            len(pool.calls()), violations, faults=faults, codes=counts, **notes
        )


@contextlib.contextmanager
def _run_in_background(function):
    """Run ``function(stop)`` in a thread; sets ``stop`` when the block ends.

    Raises the exception of ``function``, if any, after the block.
    """
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
    """Change index versions and epochs server by server while queries run."""

    def change_versions_and_epochs(stop):
        rng = random.Random(f"{proof.seed}/versions")
        servers = sorted(proof.fleet.upstreams)
        for version in itertools.count(2):
            for versions in ([version - 1, version], [version]):
                rng.shuffle(servers)
                for server in servers:
                    proof.change_upstream(server, versions=versions)
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
        pool = proof.make_pool(proof.make_query_step())
        with (
            pool,
            proof.make_injector(kinds, gap_s=1.5),
            _run_in_background(change_versions_and_epochs),
        ):
            time.sleep(proof.seconds)
        snapshots = {call.snapshot for call in pool.calls() if call.rows is not None}
        violations = checks.check_snapshots(pool.calls(), proof.make_oracle())
    return proof.make_result(pool, violations, snapshots=len(snapshots))


@promises.register("true-coverage")
def prove_true_coverage(proof):
    """Fail services, servers and links, so that shards are missing in answers."""
    crash_body = {"match": {}, "crash": f"{WORKLOAD}-1", "marker": "crash"}
    make_body = query_body_factory(DATA_SET_KIND)

    def step(caller):
        if caller.number == 0 and caller.rng.random() < 0.01:
            caller.query(crash_body, 0.5)
        caller.query(make_body(caller), caller.rng.choice((0.4, 0.8)))

    with proof.start_fleet(links=("peer",)):
        kinds = [
            "kill_service",
            "pause_upstream",
            "cut_peers",
            "pause_daemon",
            "platform_down",
        ]
        pool = proof.make_pool(step)
        with pool, proof.make_injector(kinds, gap_s=0.8, max_pause_s=2.0):
            time.sleep(proof.seconds)
        partial = [call for call in pool.calls() if call.code == ResultCode.PARTIAL]
        violations = checks.check_coverage(pool.calls(), proof.make_oracle())
    return proof.make_result(pool, violations, partial=len(partial))


@promises.register("own-whole-answer")
def prove_own_whole_answer(proof):
    """Duplicate, truncate and swap upstream replies, and delay peer messages."""
    make_body = query_body_factory(DATA_SET_KIND)

    def step(caller):
        if caller.rng.random() < 0.3:
            caller.revise(make_revision_body(caller), 1.0)
        else:
            caller.query(make_body(caller), 1.0)

    with proof.start_fleet(links=("peer", "upstream")) as fleet:
        upstream_links = [name for name in fleet.link_addresses if "upstream/" in name]
        kinds = ["delay_peers", "hold_peers"]
        pool = proof.make_pool(step, pause_s=0.01)
        with pool, proof.make_injector(kinds, gap_s=1.0, max_pause_s=1.0):
            time.sleep(SETTLE_S)
            fleet.control_links(
                upstream_links,
                duplicate_share=0.04,
                truncate_share=0.02,
                cross_share=0.04,
            )
            time.sleep(proof.seconds)
        link_counts = fleet.control_links(upstream_links)
        fault_counts = {
            kind: sum(counts[kind] for counts in link_counts.values())
            for kind in ("duplicate", "truncate", "cross")
        }
        violations = checks.check_answers(pool.calls(), proof.make_oracle())
        # A refusal swapped with another one could be taken for that of the wrong
        # request.
        violations += checks.check_not_run(pool.calls(), proof.read_executions())
        violations += checks.check_executions(pool.calls(), proof.read_executions())
    return proof.make_result(pool, violations, replies=fault_counts)


@promises.register("not-run-is-true")
def prove_not_run(proof):
    """Overload the fleet, then inject faults; compare refusals with the records."""
    make_body = query_body_factory(DATA_SET_KIND)

    def step(caller):
        deadline_s = caller.rng.choice((1.0, 2.0))
        if caller.rng.random() < 0.2:
            caller.revise(make_revision_body(caller), deadline_s)
        else:
            caller.query(make_body(caller), deadline_s)

    slow_upstream = {"service_time_s": 0.1}
    with proof.start_fleet(links=("peer",), upstream=slow_upstream):
        overload_pool = proof.make_pool(step, callers=160, pause_s=0.005)
        with proof.make_core_wait_sampler() as sampler, overload_pool:
            time.sleep(proof.seconds / 2)
        for caller in overload_pool.callers:
            caller.note_core_waits(sampler)
        for caller in overload_pool.callers:
            caller.number += len(overload_pool.callers)
        kinds = [
            "kill_daemon",
            "pause_daemon",
            "kill_service",
            "kill_upstream",
            "pause_upstream",
            "cut_peers",
            "hold_peers",
        ]
        faulty_pool = proof.make_pool(step, callers=60, pause_s=0.01)
        # A marker contains the number of its caller, so the two pools need different
        # numbers.
        for caller in faulty_pool.callers:
            caller.number += len(overload_pool.callers)
        with faulty_pool, proof.make_injector(kinds, gap_s=0.5):
            time.sleep(proof.seconds / 2)
        time.sleep(SETTLE_S)
        calls = [*overload_pool.calls(), *faulty_pool.calls()]
        violations = checks.check_not_run(calls, proof.read_executions())
        violations += checks.check_refusals(overload_pool.calls())
        violations += checks.check_refusals(faulty_pool.calls(), max_share=None)
    refused = sum(call.not_run for call in calls)
    proof.calls.extend(overload_pool.calls())
    result = proof.make_result(faulty_pool, violations, refused=refused)
    result.requests = len(calls)
    return result


@promises.register("at-most-once")
def prove_at_most_once(proof):
    """Send revision requests under faults; callers resend ids to other entries."""

    def step(caller):
        body = make_revision_body(caller)
        execution_id = caller.make_execution_id(body)
        if caller.rng.random() < DUPLICATE_SEND_SHARE:
            call = _revise_twice(caller, body, execution_id)
        else:
            call = caller.revise(body, 1.0, execution_id)
        for _ in range(2):
            is_unconfirmed = call.code != ResultCode.OK
            if not is_unconfirmed and caller.rng.random() > 0.1:
                return
            caller.expire_entries()
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
        # A killed server is the most likely cause of a second run, so it is four of
        # the twelve faults.
        *["kill_upstream"] * 3,
    ]
    # With a long service time many requests are running when a server is killed.
    slow_upstream = {"service_time_s": 0.05}
    with proof.start_fleet(links=("peer",), upstream=slow_upstream):
        pool = proof.make_pool(step, callers=24, pause_s=0.1)
        duplicate_senders = proof.make_pool(step, callers=len(pool.callers))
        # Request ids contain the number of the sender.
        for caller, duplicate_sender in zip(
            pool.callers, duplicate_senders.callers, strict=True
        ):
            duplicate_sender.number += len(pool.callers)
            caller.duplicate_sender = duplicate_sender
        load_end_at = time.monotonic() + MAX_LOAD_TIME_FACTOR * proof.seconds
        with pool, proof.make_injector(kinds, gap_s=0.4, max_pause_s=10.0):
            while (
                pool.finished_count() < proof.requests
                and time.monotonic() < load_end_at
            ):
                time.sleep(0.1)
        time.sleep(SETTLE_S)
        executions = proof.read_executions()
        violations = checks.check_executions(pool.calls(), executions)
    last_calls = {call.execution_id: call for call in pool.calls()}
    unknown = sum(c.code == ResultCode.OUTCOME_UNKNOWN for c in last_calls.values())
    refused = sum(call.not_run for call in last_calls.values())
    unanswered = sum(call.status is None for call in last_calls.values())
    shares = {
        "ids": len(last_calls),
        "unknown_share": round(unknown / max(1, len(last_calls)), 4),
        "refused_share": round(refused / max(1, len(last_calls)), 4),
        "no_answer_share": round(unanswered / max(1, len(last_calls)), 4),
    }
    return proof.make_result(pool, violations, **shares)


def _revise_twice(caller, body, execution_id):
    """Send one execution id over two connections at the same time."""
    args = (body, 1.0, execution_id)
    thread = threading.Thread(
        target=caller.duplicate_sender.revise, args=args, daemon=True
    )
    thread.start()
    try:
        return caller.revise(*args)
    finally:
        thread.join()


@promises.register("leaving-upstream")
def prove_leaving_upstream(proof):
    """Make servers leave in three ways.

    * "listed": the platform lists the server as leaving.
    * "stated": the server also says that it is draining, and the list is late.
    * "misleading": as "stated", but the status of the server still says "live".
    """
    leaving_intervals = []
    list_lag_s = 8.0

    def list_server_as(server, state):
        proof.fleet.set_listed_state(server, state)
        proof.fleet.publish_instances()

    def announce_leaving(stop):
        rng = random.Random(f"{proof.seed}/leaving")
        servers = sorted(proof.fleet.upstreams)
        while not stop.wait(0.2):
            server = rng.choice(servers)
            kind = rng.choice(("listed", "stated", "misleading"))
            proof.fleet.control_platform(
                {"list_lag_s": 0.0 if kind == "listed" else list_lag_s}
            )
            started_at = time.monotonic()
            list_server_as(server, "leaving")
            if kind != "listed":
                proof.change_upstream(server, state="draining")
            if kind == "misleading":
                proof.change_upstream(server, reported={"state": "live"})
            stop.wait(rng.uniform(4.5, 6.5))
            leaving_intervals.append(Interval(server, started_at, time.monotonic()))
            proof.change_upstream(server, state="live", reported=None)
            proof.fleet.control_platform({"list_lag_s": 0.0})
            list_server_as(server, "live")

    with proof.start_fleet():
        pool = proof.make_pool(proof.make_query_step())
        kinds = ["kill_daemon", "pause_daemon"]
        injector = proof.make_injector(kinds, gap_s=1.5, max_pause_s=6.0, threads=1)
        with pool, injector, _run_in_background(announce_leaving):
            time.sleep(proof.seconds)
        violations = checks.check_leaving(leaving_intervals, proof.read_executions())
    return proof.make_result(pool, violations, leavings=len(leaving_intervals))


@promises.register("planned-stop")
def prove_planned_stop(proof):
    """Restart every daemon in turn; no request may fail."""
    make_body = query_body_factory(DATA_SET_KIND)
    exit_statuses = []

    def step(caller):
        if caller.rng.random() < 0.3:
            caller.revise(make_revision_body(caller), 5.0)
        else:
            caller.query(make_body(caller), 5.0)

    defaults = {"entries_max_age_ms": proof.entries_max_age_ms}
    with proof.start_fleet(defaults=defaults) as fleet:
        pool = proof.make_pool(step)
        with pool:
            time.sleep(SETTLE_S)
            for name in sorted(fleet.daemons):
                exit_statuses.append((name, fleet.terminate(name)))
                fleet.start_daemon(name)
                fleet.wait_ready(name)
                time.sleep(SETTLE_S / 2)
            time.sleep(SETTLE_S)
        violations = checks.check_planned_stops(pool.calls(), exit_statuses)
    return proof.make_result(pool, violations, restarts=len(exit_statuses))


class _ConfigurationOperators:
    """Publishes configurations from two threads and records the revisions."""

    def __init__(self, proof):
        self.proof = proof
        self.published = []
        self.outages = []
        self.lock = threading.Lock()

    def publish(self, rng):
        """Publish a valid change, or an invalid one in 15 % of the calls."""
        document = dict(self.proof.fleet.configuration)
        valid = rng.random() > 0.15
        document["defaults"] = {"queue_limit": rng.randrange(500, 1500)}
        if not valid:
            document["defaults"] = {"queue_limit": -1}
        with self.lock:
            revision = self.proof.fleet.publish("configuration", document)
            if valid:
                self.published.append((revision, time.monotonic()))

    def publish_repeatedly(self, stop, number):
        """Publish at random intervals until ``stop`` is set."""
        rng = random.Random(f"{self.proof.seed}/operator/{number}")
        while not stop.wait(rng.uniform(0.5, 3.0)):
            self.publish(rng)

    def previous_revision(self):
        """Return the valid revision before the newest one, or the first."""
        revisions = [1, *sorted(revision for revision, _ in self.published)]
        return revisions[-2] if len(revisions) > 1 else revisions[0]

    def accepted_revisions(self):
        """Return a list of (revision, time) of the valid revisions.

        No daemon can read a revision that is published while the platform is down
        or stale. Its time is therefore the end of the outage.
        """
        accepted = []
        for revision, accepted_at in self.published:
            for outage in self.outages:
                if outage.start <= accepted_at < outage.end:
                    accepted_at = outage.end
            accepted.append((revision, accepted_at))
        return accepted


@promises.register("configuration")
def prove_configuration(proof):
    """Publish concurrently while the platform, daemons and links fail."""
    samples = []
    exempt_intervals = []
    operators = _ConfigurationOperators(proof)

    def sample_configurations(stop):
        while not stop.wait(SAMPLE_INTERVAL_S):
            for name in proof.fleet.daemons:
                samples.extend(_sample_configuration(proof.fleet, name))

    def inject_platform_faults(stop):
        rng = random.Random(f"{proof.seed}/platform")
        kinds = itertools.cycle(OUTAGE_KINDS)
        for _ in range(proof.seed % len(OUTAGE_KINDS)):
            next(kinds)
        while not stop.wait(rng.uniform(1.0, 2.0)):
            kind = next(kinds)
            # At least one daemon must read a revision that was published just before
            # the outage, so publishing stops for a while first.
            with operators.lock:
                stop.wait(DOCUMENT_READ_WAIT_S)
                started_at = time.monotonic()
                _begin_outage(proof, kind, rng, operators.previous_revision())
            stop.wait(rng.uniform(2.0, 8.0))
            _end_outage(proof, kind)
            if kind == "partition":
                exempt_intervals.append(Interval(None, started_at, time.monotonic()))
            elif kind != "cut":
                operators.outages.append(Interval(None, started_at, time.monotonic()))

    with proof.start_fleet(links=("peer", "platform")):
        pool = proof.make_pool(proof.make_query_step(), callers=3, pause_s=0.1)
        injector = proof.make_injector(
            ["kill_daemon", "pause_daemon"], threads=1, gap_s=2
        )
        with contextlib.ExitStack() as stack:
            stack.enter_context(pool)
            stack.enter_context(_run_in_background(sample_configurations))
            stack.enter_context(
                _run_in_background(lambda stop: operators.publish_repeatedly(stop, 1))
            )
            stack.enter_context(
                _run_in_background(lambda stop: operators.publish_repeatedly(stop, 2))
            )
            stack.enter_context(_run_in_background(inject_platform_faults))
            stack.enter_context(injector)
            time.sleep(proof.seconds)
        _wait_for_newest_revision(proof, operators, samples)
        _make_platform_stale(proof, operators, samples)
        for interval in injector.log:
            name = interval.name.split()[1]
            exempt_intervals.append(Interval(name, interval.start, interval.end))
        violations = checks.check_configuration(
            samples, operators.accepted_revisions(), exempt_intervals
        )
        histories = {
            name: _read_recorded_revisions(proof.fleet, name)
            for name in proof.fleet.daemons
        }
        violations.extend(checks.check_recorded_revisions(histories))
    return proof.make_result(
        pool, violations, revisions=len(operators.published), samples=len(samples)
    )


def _wait_for_newest_revision(proof, operators, samples):
    """Sample until all daemons report the newest revision or time is up."""
    newest_revision = max(revision for revision, _ in operators.published)
    deadline = time.monotonic() + checks.CONFIGURATION_LIMIT_S + SETTLE_S
    while time.monotonic() < deadline:
        samples_by_daemon = [
            _sample_configuration(proof.fleet, name) for name in proof.fleet.daemons
        ]
        samples.extend(sample for found in samples_by_daemon for sample in found)
        if all(
            found and found[0].revision == newest_revision
            for found in samples_by_daemon
        ):
            break
        time.sleep(SAMPLE_INTERVAL_S)


def _make_platform_stale(proof, operators, samples):
    """Make the platform serve a lower revision than all daemons have in force.

    A stale platform in the load phase may not test this: it may begin before any
    daemon has read a second revision.
    """
    rng = random.Random(f"{proof.seed}/stale")
    while len(operators.published) < 2:
        operators.publish(rng)
    _wait_for_newest_revision(proof, operators, samples)
    started_at = time.monotonic()
    _begin_outage(proof, "stale", rng, operators.previous_revision())
    while time.monotonic() < started_at + FINAL_STALE_DURATION_S:
        for name in proof.fleet.daemons:
            samples.extend(_sample_configuration(proof.fleet, name))
        time.sleep(SAMPLE_INTERVAL_S)
    _end_outage(proof, "stale")
    operators.outages.append(Interval(None, started_at, time.monotonic()))


def _read_recorded_revisions(fleet, name):
    """Return the revisions that a daemon recorded as in force, in order."""
    report = fleet.read_admin_report(name, "events?kind=daemon")
    return [
        event["fields"]["revision"]
        for event in report["events"]
        if event["event"] == "document_in_force"
        and event["fields"]["document"] == "configuration"
    ]


def _sample_configuration(fleet, name):
    sampled_at = time.monotonic()
    try:
        report = fleet.read_admin_report(name, "configuration")
    except (OSError, http.client.HTTPException, ValueError):
        return []
    revision = report.get("revision") if isinstance(report, dict) else None
    return [ConfigurationSample(name, sampled_at, revision)]


def _link_names(proof, prefix):
    return [name for name in proof.fleet.link_addresses if name.startswith(prefix)]


def _begin_outage(proof, kind, rng, old_revision):
    if kind == "down":
        proof.fleet.control_platform({"mode": kind})
        return
    if kind == "stale":
        as_of = {"configuration": old_revision}
        proof.fleet.control_platform({"mode": kind, "as_of": as_of})
        return
    links = _link_names(proof, "platform/")
    if kind == "cut":
        # One daemon can still read the platform. The others must get the
        # configuration from it.
        links.remove(rng.choice(links))
    proof.fleet.control_links(links, cut=True)
    if kind == "partition":
        proof.fleet.control_links(_link_names(proof, "peer/"), cut=True)


def _end_outage(proof, kind):
    if kind in ("down", "stale"):
        proof.fleet.control_platform({"mode": "normal"})
    else:
        proof.fleet.control_links(None, cut=False)
