"""Differential tests: answers are compared with an evaluation in one process."""

import itertools
import logging as stdlib_logging
import random
import tempfile
import time

import curio
import testtools
from absl import logging
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from almondtide import servers
from almondtide.clock import SystemClock
from almondtide.configuration import parse_configuration
from almondtide.coordinator import Coordinator
from almondtide.errors import AlmondtideError, ResultCode
from almondtide.logs import Log
from almondtide.membership import ENTRY, UPSTREAM, Member, Membership
from almondtide.memory import (
    MemoryFault,
    MemoryNetwork,
    MemoryPeers,
    MemoryServer,
    MemoryUpstreams,
)
from almondtide.messages import QuarantineNotice
from almondtide.metrics import Metrics
from almondtide.owners import ServiceOwners
from almondtide.quarantine import Quarantine
from almondtide.queries import QueryRequest
from almondtide.shards import KEY_SPACE
from standins.dataset import (
    DISTRICTS,
    NETWORKS,
    evaluate_merged,
    make_data_set,
    make_query,
)
from standins.demo import OK, PARTIAL, AnswerCheck, post_query
from standins.fleet import Fleet, FleetSpec, shard_map

EXAMPLES = 100
DEADLINE_MS = 250
SOFT_DEADLINE_MS = 120
# Tolerance for scheduling delays on a busy machine.
LATENESS_S = 1.0
# Longer than the deadline and the tolerance, so that a slow server without a hedge
# costs coverage, and an answer that waited for one is detected.
SLOW_S = 2.0
SETTLE_S = 0.01
# Interval of status polls in these tests; owners know of a change after two polls.
POLL_S = 0.02
DATA = make_data_set("probes", seed=7, size=300)
KEYS = sorted({row["key"] for row in DATA.rows(1)})
DOMAINS = ("lautoka", "nadi", "suva")
WORKLOAD = "advisory"

WRONG_REPLIES = [
    MemoryFault.WRONG_VERSION,
    MemoryFault.WRONG_EPOCH,
    MemoryFault.WRONG_RANGES,
]
SERVER_FAULTS = [fault for fault in MemoryFault if fault is not MemoryFault.REFUSED]
PEER_FAULTS = [
    MemoryFault.NONE,
    MemoryFault.REFUSED,
    MemoryFault.LOST,
    MemoryFault.DRAINING,
]


class Case:
    """One generated fleet with its shard maps, faults and queries."""

    __slots__ = (
        "concurrent",
        "daemons",
        "dead",
        "delays",
        "maps",
        "merge",
        "peer_faults",
        "policy",
        "queries",
        "servers",
        "switches",
    )

    def __init__(self, **values):
        for name, value in values.items():
            setattr(self, name, value)

    def __repr__(self):
        fields = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"Case({', '.join(fields)})"


@st.composite
def shard_maps(draw, epoch, services):
    """Return a document of uneven shards; each service holds at least one."""
    count = draw(st.integers(len(services), len(services) + 5))
    cut = st.one_of(st.sampled_from(KEYS[1:]), st.integers(1, KEY_SPACE - 1))
    cuts = draw(st.sets(cut, min_size=count - 1, max_size=count - 1))
    bounds = [0, *sorted(cuts), KEY_SPACE]
    extra = st.lists(
        st.sampled_from(services),
        min_size=count - len(services),
        max_size=count - len(services),
    )
    holders = draw(st.permutations([*services, *draw(extra)]))
    shards = [
        {"name": f"e{epoch}-{index}", "low": low, "high": high, "service": holder}
        for index, ((low, high), holder) in enumerate(
            zip(itertools.pairwise(bounds), holders, strict=True)
        )
    ]
    return {"epoch": epoch, "shards": shards}


QUERIES = st.fixed_dictionaries(
    {},
    optional={
        "match": st.fixed_dictionaries(
            {},
            optional={
                "district": st.sampled_from(DISTRICTS),
                "network": st.sampled_from(NETWORKS),
            },
        ),
        "minimum": st.integers(1, 50),
    },
)
# Index versions that the servers hold, before and after each step of a change.
STEPS = [[1], [1, 2], [2], [2, 3], [3]]
# The same for epochs of the shard maps.
EPOCH_STEPS = [[1], [1, 2], [2]]
DELAYS_S = [0.0, 0.002, 0.005]


@st.composite
def cases(draw, faults=True, changes=True):
    """Return a ``Case``.

    Without changes all servers hold the same snapshots for the whole time. While
    the index or the shard map changes, all services have a snapshot in common.
    """
    size = draw(st.integers(1, 12))
    services = [f"advisory-{number}" for number in range(size)]
    maps = [draw(shard_maps(1, services))]
    if draw(st.booleans()):
        # The second epoch drops services or brings new ones.
        first = draw(st.integers(0, size - 1))
        size = draw(st.integers(1, 12))
        later = [f"advisory-{number}" for number in range(first, first + size)]
        maps.append(draw(shard_maps(2, later)))
    usual = STEPS[0], EPOCH_STEPS[0] if changes else [m["epoch"] for m in maps]
    names = dict.fromkeys(s["service"] for item in maps for s in item["shards"])
    machines = {}
    for service in names:
        for number in range(draw(st.integers(1, 3)) if faults else 2):
            # A server may lag behind in versions or epochs.
            held = usual
            if faults and draw(st.integers(0, 29)) == 0:
                held = draw(st.sampled_from([([1, 2], [1]), ([2], [1, 2]), ([1], [2])]))
            script = []
            if faults and draw(st.integers(0, 3)) == 0:
                script = draw(st.lists(st.sampled_from(SERVER_FAULTS), max_size=3))
            machines[f"{service}-s{number}"] = (service, *held, script)
    dead = set()
    if faults and draw(st.integers(0, 4)) == 0:
        dead = draw(st.sets(st.sampled_from(sorted(machines)), max_size=2))
    daemons = draw(st.integers(1, 3))
    scripts = st.lists(st.sampled_from(PEER_FAULTS), max_size=3 if faults else 0)
    queries = draw(st.lists(QUERIES, min_size=2, max_size=3))
    late = st.sets(st.sampled_from(list(names)), max_size=12)
    step = st.integers(0, 2 if changes else 0)
    switch = st.tuples(step, step if len(maps) > 1 else st.just(0), late)
    return Case(
        maps=maps,
        servers=machines,
        dead=dead,
        daemons=daemons,
        peer_faults=[draw(scripts) for _ in range(daemons)],
        queries=queries,
        switches=[draw(switch) for _ in queries],
        delays={name: draw(st.sampled_from(DELAYS_S)) for name in names},
        concurrent=draw(st.booleans()),
        merge=draw(
            st.sampled_from(["rows", "count", "statistics", "newest_per_probe"])
        ),
        policy=draw(st.sampled_from(["coverage_first", "tail_first"])),
    )


def make_document(case, deadline_ms):
    return {
        "defaults": {
            "deadline_ms": deadline_ms,
            "soft_deadline_ms": min(deadline_ms, SOFT_DEADLINE_MS),
            "coverage_policy": case.policy,
            "merge": case.merge,
        },
        "workloads": {WORKLOAD: {"shard_maps": case.maps}},
    }


class System:
    """The core of several daemons and their servers in one process."""

    def __init__(self, case, deadline_ms):
        self.case = case
        self.cfg = parse_configuration(make_document(case, deadline_ms), 1)
        self.servers = {}
        self.step = 0
        self.epoch_step = 0
        self.network = MemoryNetwork()
        self.coordinators = []
        self.owners = []
        self.members = []
        for instance, (service, versions, epochs, script) in case.servers.items():
            server = MemoryServer(
                DATA.search,
                versions,
                self.held(service, epochs),
                service_s=case.delays.get(service, 0.0),
                slow_service_s=SLOW_S,
            )
            server.faults.extend(script)
            self.servers[instance] = server
            domain = DOMAINS[len(self.servers) % 3]
            self.members.append(
                Member(instance, UPSTREAM, (instance, 1), domain, service=service)
            )
        for number in range(case.daemons):
            name = f"entry-{number}"
            self.members.append(Member(name, ENTRY, (name, 1), DOMAINS[number]))

    def held(self, service, epochs):
        """Return a dict from epoch to the ranges of the service, for ``epochs``."""
        return {
            item["epoch"]: [
                [shard["low"], shard["high"]]
                for shard in item["shards"]
                if shard["service"] == service
            ]
            for item in self.case.maps
            if item["epoch"] in epochs
        }

    async def start(self):
        upstreams = MemoryUpstreams(
            {
                (name, 1): server
                for name, server in self.servers.items()
                if name not in self.case.dead
            }
        )
        for number in range(self.case.daemons):
            await self._start_daemon(f"entry-{number}", upstreams)
        for number, script in enumerate(self.case.peer_faults):
            self.network.faults[f"entry-{number}"].extend(script)

    async def _start_daemon(self, name, upstreams):
        clock = SystemClock()
        membership = Membership(name, clock)
        peers = MemoryPeers(name, self.network)
        quarantine = Quarantine(clock)
        log, metrics = Log(instance=name), Metrics()
        shared = (quarantine, clock, log, metrics)
        owners = ServiceOwners(
            name, self.configuration, membership, peers, upstreams, *shared
        )
        coordinator = Coordinator(name, self.configuration, membership, peers, *shared)
        peers.register(QuarantineNotice, self._ignore)
        await membership.update_list(self.members)
        await owners.refresh()
        self.owners.append(owners)
        self.coordinators.append(coordinator)

    async def _ignore(self, sender, message, reply):
        """Quarantine notices are not part of these tests."""

    def configuration(self):
        return self.cfg

    def switch(self, step, epoch_step, late):
        """Advance the index and the shard map; ``late`` services are a step behind.

        Coordinators notice the change only through refusals.
        """
        self.step = min(self.step + step, len(STEPS) - 1)
        self.epoch_step = min(self.epoch_step + epoch_step, len(EPOCH_STEPS) - 1)
        for name, server in self.servers.items():
            service, versions, epochs, _ = self.case.servers[name]
            behind = 1 if service in late else 0
            if versions == STEPS[0]:
                server.versions = list(STEPS[max(0, self.step - behind)])
            if epochs == EPOCH_STEPS[0] and self.epoch_step:
                held = EPOCH_STEPS[max(0, self.epoch_step - behind)]
                server.ranges_by_epoch = self.held(service, held)

    def runs(self):
        return sum(server.search_count for server in self.servers.values())

    async def ask(self, number, body):
        """Return (answer or error, elapsed seconds)."""
        coordinator = self.coordinators[number % len(self.coordinators)]
        started = SystemClock().monotonic()
        try:
            outcome = await coordinator.query(
                QueryRequest(f"q-{number}", WORKLOAD, body)
            )
        except AlmondtideError as exc:
            outcome = exc
        return outcome, SystemClock().monotonic() - started


async def run_case(case, deadline_ms, settle=False):
    """Return a list of (query, outcome, elapsed) and a list of violations.

    With ``settle`` the owners, but not the coordinators, learn of each change of
    the servers before the next query.
    """
    system = System(case, deadline_ms)
    await system.start()
    outcomes = []
    violations = []
    rounds = [[item] for item in enumerate(case.queries)]
    if case.concurrent:
        # The first query runs alone, so that the coordinators plan the others with
        # older snapshots.
        rounds = [rounds[0], [item for step in rounds[1:] for item in step]]
    for index, group in enumerate(rounds):
        system.switch(*case.switches[index])
        if settle:
            await curio.sleep(2 * POLL_S)
        before = system.runs()
        tasks = [await curio.spawn(system.ask, *item) for item in group]
        results = [await task.join() for task in tasks]
        if all(outcome.not_run for outcome, _ in results) and system.runs() > before:
            violations.append(f"not run: {[str(outcome) for outcome, _ in results]}")
        for (_, body), (outcome, elapsed) in zip(group, results, strict=True):
            outcomes.append((body, outcome, elapsed))
        # Cancelled work of this round must end before runs are counted again.
        await curio.sleep(SETTLE_S)
    for name, server in system.servers.items():
        violations += [
            f"{name}: request id {key} used twice" for key in server.repeated_ids
        ]
    return outcomes, violations


class CrashRecorder(stdlib_logging.Handler):
    """Collects crashes of curio tasks, which curio only logs."""

    def __init__(self):
        super().__init__(stdlib_logging.ERROR)
        self.crashes = []

    def emit(self, record):
        self.crashes.append(self.format(record))


def run_recorded(function, *args):
    """Run ``function``; return its result and the crashes of its tasks."""
    recorder = CrashRecorder()
    logger = stdlib_logging.getLogger("curio.kernel")
    logger.addHandler(recorder)
    try:
        return curio.run(function, *args), recorder.crashes
    finally:
        logger.removeHandler(recorder)


class DifferentialTest(testtools.TestCase):
    """Guards against lost, repeated or mixed rows and wrong coverage in answers."""

    def setUp(self):
        super().setUp()
        before = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, before)
        self.patch(servers, "STATUS_INTERVAL_S", POLL_S)

    def check(self, case, body, outcome):
        """Compare one outcome with the evaluation of the shards that it covers."""
        if isinstance(outcome, AlmondtideError):
            self.assertNotEqual(ResultCode.INTERNAL, outcome.code)
            self.assertTrue(outcome.not_run)
            return
        answer = outcome.to_dict()
        by_epoch = {item["epoch"]: item["shards"] for item in case.maps}
        shards = {
            shard["name"]: [shard["low"], shard["high"]]
            for shard in by_epoch[outcome.epoch]
        }
        covered = answer["coverage"]["covered"]
        missing = [item["shard"] for item in answer["coverage"]["missing"]]
        self.assertEqual(sorted(shards), sorted(covered + missing))
        self.assertEqual(outcome.code == ResultCode.OK, not missing)
        for _, code in outcome.missing:
            self.assertNotEqual(ResultCode.OK, code)
        if not covered:
            self.assertIsNone(answer["result"])
            return
        expected = evaluate_merged(
            DATA,
            body,
            outcome.version,
            case.merge,
            [shards[name] for name in covered],
        )
        self.assertEqual(expected, answer["result"])

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(cases())
    def test_answers_are_exact_under_faults(self, case):
        (outcomes, violations), crashes = run_recorded(run_case, case, DEADLINE_MS)
        for body, outcome, elapsed in outcomes:
            self.check(case, body, outcome)
            self.assertLess(elapsed, DEADLINE_MS / 1000.0 + LATENESS_S)
        self.assertEqual([], violations + crashes)

    @settings(
        max_examples=20,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(cases(faults=False, changes=False))
    def test_answers_are_complete_without_faults(self, case):
        for outcome in self.check_complete(case):
            self.assertEqual(len(case.maps), outcome.epoch)

    @settings(
        max_examples=40,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(cases(faults=False))
    def test_changes_of_the_index_cost_no_coverage(self, case):
        self.check_complete(case)

    def check_complete(self, case):
        """Run a case without faults and return its outcomes."""
        case.policy = "coverage_first"
        (outcomes, violations), crashes = run_recorded(run_case, case, 10_000, True)
        self.assertEqual([], violations + crashes)
        for body, outcome, _ in outcomes:
            self.check(case, body, outcome)
            self.assertEqual(ResultCode.OK, outcome.code)
        return [outcome for _, outcome, _ in outcomes]


def make_case(maps, servers, queries):
    return Case(
        maps=maps,
        servers=servers,
        dead=set(),
        daemons=1,
        peer_faults=[[]],
        queries=queries,
        switches=[(0, 0, set()) for _ in queries],
        delays={},
        concurrent=False,
        merge="rows",
        policy="coverage_first",
    )


def make_maps(*epochs):
    """Return shard maps that split the key space evenly over the services."""
    return [
        shard_map(number, services) for number, services in enumerate(epochs, start=1)
    ]


class ReplanTest(testtools.TestCase):
    """Guards against wrong answers to queries whose snapshot changes meanwhile."""

    def test_query_that_ran_on_an_earlier_snapshot_is_not_reported_as_not_run(self):
        """``not_run`` is False after a sub-request ran before the replan."""
        servers = {
            "a-s0": ("a", [1, 2], [1], []),
            "b-s0": ("b", [1], [1], []),
        }
        case = make_case(make_maps(["a", "b"]), servers, [{}, {}])

        async def run():
            system = System(case, DEADLINE_MS)
            await system.start()
            await system.ask(0, {})
            before = system.runs()
            system.servers["b-s0"].versions = [2]
            system.servers["b-s0"].service_s = 0.05
            # Shed requests are retried until the deadline.
            sheds = [MemoryFault.NONE] + [MemoryFault.SHED] * 10_000
            system.servers["a-s0"].faults.extend(sheds)
            system.servers["b-s0"].faults.extend(sheds)
            answer, _ = await system.ask(1, {})
            return answer, system.runs() - before

        (answer, runs), crashes = run_recorded(run)
        self.assertEqual([], crashes)
        self.assertEqual([], answer.covered)
        self.assertGreater(runs, 0)
        self.assertFalse(answer.not_run)

    def test_services_that_change_the_index_at_different_times(self):
        """A refused query is replanned after the last answer reports new versions."""
        servers = {
            "a-s0": ("a", [1], [1], []),
            "b-s0": ("b", [1], [1], []),
        }
        case = make_case(make_maps(["a", "b"]), servers, [{}, {}])

        async def run():
            system = System(case, 2000)
            await system.start()
            await system.ask(0, {})
            system.servers["a-s0"].versions = [1, 2]
            system.servers["a-s0"].service_s = 0.05
            system.servers["b-s0"].versions = [2]
            return await system.ask(1, {})

        (answer, _), crashes = run_recorded(run)
        self.assertEqual([], crashes)
        self.assertEqual((ResultCode.OK, 2), (answer.code, answer.version))
        self.assertEqual(evaluate_merged(DATA, {}, 2), answer.result)

    def test_service_that_only_the_new_epoch_uses(self):
        """Owners of services that get no queries are asked for new reports.

        Otherwise the coordinator would refuse all queries once the old epoch ends,
        because it sends nothing that would update the report of such a service.
        """
        self.patch(servers, "STATUS_INTERVAL_S", POLL_S)
        shards = {"a-s0": ("a", [1], [1], []), "b-s0": ("b", [1], [1], [])}
        case = make_case(make_maps(["a"], ["a", "b"]), shards, [{}, {}])

        async def run():
            system = System(case, 2000)
            await system.start()
            await system.ask(0, {})
            system.switch(0, 2, set())
            await curio.sleep(2 * POLL_S)
            return await system.ask(1, {}), await system.ask(2, {})

        answers, crashes = run_recorded(run)
        self.assertEqual([], crashes)
        for answer, _ in answers:
            self.assertEqual(ResultCode.OK, answer.code)
            self.assertEqual(2, answer.epoch)

    def test_sub_request_with_a_wrong_reply_is_retried_on_another_server(self):
        """One server that answers with another snapshot costs no coverage."""
        for fault in WRONG_REPLIES:
            servers = {
                "a-s0": ("a", [1], [1], [fault]),
                "a-s1": ("a", [1], [1], []),
            }
            # The second query starts at the other server.
            case = make_case(make_maps(["a"]), servers, [{}, {}])
            (outcomes, violations), crashes = run_recorded(run_case, case, 2000)
            self.assertEqual([], violations + crashes)
            for _, answer, _ in outcomes:
                self.assertEqual(evaluate_merged(DATA, {}, 1), answer.result)

    def test_lost_server_of_a_service_that_the_new_epoch_drops(self):
        """A lost sub-request is not sent again to a service without shards."""
        servers = {
            "a-s0": ("a", [1], [1], []),
            "a-s1": ("a", [1], [1], []),
            "b-s0": ("b", [1], [1], []),
        }
        case = make_case(make_maps(["a", "b"], ["a"]), servers, [{}, {}])

        async def run():
            system = System(case, 2000)
            await system.start()
            await system.ask(0, {})
            first, second = system.servers["a-s0"], system.servers["a-s1"]
            # Whichever server of "a" is asked first fails late; the other one has
            # moved to the second epoch.
            for server in (first, second):
                server.service_s = 0.05
                server.faults.append(MemoryFault.ERROR)
            second.ranges_by_epoch = system.held("a", [2])
            system.servers["b-s0"].faults.append(MemoryFault.LOST)
            return await system.ask(1, {})

        (answer, _), crashes = run_recorded(run)
        self.assertEqual([], crashes)
        self.assertEqual(2, answer.epoch)
        self.assertEqual(ResultCode.OK, answer.code)
        expected = evaluate_merged(DATA, {}, 1)
        self.assertEqual(expected, answer.result)


class SoftDeadlineTest(testtools.TestCase):
    """Guards against queries that fail at the soft deadline.

    A query without any result fails, which is worse than a slow answer.
    """

    def ask(self, delays):
        machines = {f"{name}-s0": (name, [1], [1], []) for name in delays}
        case = make_case(make_maps(list(delays)), machines, [{}])
        case.policy = "tail_first"
        case.delays = delays

        async def run():
            system = System(case, 2000)
            await system.start()
            return await system.ask(0, {})

        (answer, elapsed), crashes = run_recorded(run)
        self.assertEqual([], crashes)
        return answer, elapsed

    def test_query_without_results_waits_for_the_first_one(self):
        answer, elapsed = self.ask({"a": 2 * SOFT_DEADLINE_MS / 1000.0, "b": 1.5})
        self.assertEqual(ResultCode.PARTIAL, answer.code)
        self.assertEqual(["e1-0"], answer.covered)
        self.assertLess(elapsed, 1.0)

    def test_query_with_results_is_answered_at_the_soft_deadline(self):
        answer, elapsed = self.ask({"a": 0.0, "b": 1.5})
        self.assertEqual(ResultCode.PARTIAL, answer.code)
        self.assertLess(elapsed, 1.0)


class BaselineTest(testtools.TestCase):
    """Guards against answers that differ between almondtide and the baseline.

    Both use the same servers. Some of them return wrong replies, and they change
    the index version in steps.
    """

    NAIVE = "naive-00"
    FAULTS = ("wrong_ranges", "foreign_id", "error", "cut", "wrong_version")
    SHAPE = {"services": 3, "servers": 2, "settings": {"deadline_ms": 3000}}
    WORKLOADS = {
        "advisory": {**SHAPE, "kind": "probes"},
        "emergency-desk": {**SHAPE, "kind": "sheets"},
    }
    QUERIES_PER_STEP = 6

    def test_both_give_the_same_answers(self):
        spec = FleetSpec(daemons=3, workloads=self.WORKLOADS, pack_servers=True)
        with (
            tempfile.TemporaryDirectory() as directory,
            Fleet(spec, directory) as fleet,
        ):
            fleet.assign_addresses(self.NAIVE)
            fleet.start_daemon(self.NAIVE, ["-m", "baseline.daemon"])
            fleet.wait_ready(self.NAIVE)
            self.compare(fleet)

    def compare(self, fleet):
        kinds = {name: shape["kind"] for name, shape in self.WORKLOADS.items()}
        data = {name: make_data_set(kind) for name, kind in kinds.items()}
        check = AnswerCheck(data, fleet.configuration, {})
        rng = random.Random(11)
        for versions in STEPS:
            for instance in fleet.upstreams:
                fleet.control_upstream(instance, {"versions": versions, "fault": None})
            # Status polls inform the daemons of the change.
            time.sleep(1.2)
            for number in range(self.QUERIES_PER_STEP):
                workload = rng.choice(sorted(kinds))
                body = make_query(kinds[workload], rng)
                # Wrong replies cost the baseline coverage, so the first half of the
                # queries of a step has none.
                faulty = number >= self.QUERIES_PER_STEP // 2
                answers = []
                for name in (rng.choice(["entry-00", "entry-01"]), self.NAIVE):
                    if faulty:
                        server = rng.choice(sorted(fleet.upstreams))
                        fault = {"kind": rng.choice(self.FAULTS)}
                        fleet.control_upstream(server, {"fault": fault})
                    entry = fleet.daemons[name]["caller"]
                    answer = post_query(entry, workload, body)
                    if not faulty or answer["code"] in (OK, PARTIAL):
                        self.assertIsNone(check.find_problem(workload, body, answer))
                    answers.append(answer)
                complete = [answer["code"] == ResultCode.OK for answer in answers]
                self.assertTrue(faulty or all(complete))
                if all(complete) and answers[0]["snapshot"] == answers[1]["snapshot"]:
                    self.assertEqual(answers[0]["result"], answers[1]["result"])
