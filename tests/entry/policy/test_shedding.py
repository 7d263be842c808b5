"""Tests of shedding by cost, without a network and in virtual time."""

import math
import pathlib

import testtools

from almondtide.entry.calls import Branch, BranchState
from almondtide.entry.policy.branch_queue import BranchQueue
from almondtide.entry.policy.route_latency import RouteLatency
from almondtide.entry.policy.shedding import (
    FULL_HOLD_S,
    HONOURED_FRACTION,
    LEAST_SHARE,
    RETURN_ROOM_FRACTION,
    CostQueue,
    ReturnSchedule,
    Shedding,
    WorkEstimate,
)
from bench import replay
from standins.virtual_time import run_in_virtual_time
from tests.entry.support import make_call, make_route

PATTERNS = pathlib.Path(replay.__file__).parent / "patterns"
SHORT = make_route(priority_rank=0, objective_s=0.0578)
LONG = make_route(priority_rank=1, objective_s=0.17)
SHORT.name, LONG.name = "short", "long"
WORKS_S = {"short": 0.0057, "long": 0.0165}


def _queue():
    works = {name: WorkEstimate(work_s) for name, work_s in WORKS_S.items()}
    return CostQueue(lambda route: works[route.name])


def _push(queue, route, arrived_at=100.0):
    branch = Branch(make_call(route, arrived_at=arrived_at), "a")
    queue.push(branch, arrived_at, 0.0)
    return branch


class CostQueueTest(testtools.TestCase):
    """Guards against urgent branches behind others, and branches that starve."""

    def test_an_urgent_short_branch_passes_long_ones(self):
        queue = _queue()
        long = [_push(queue, LONG) for _ in range(5)]
        short = _push(queue, SHORT, 100.01)
        self.assertIs(short, queue.pop(100.01))
        self.assertIs(long[0], queue.pop(100.01))

    def test_a_route_without_room_does_not_hold_up_others(self):
        queue = _queue()
        _push(queue, SHORT)
        long = _push(queue, LONG)
        self.assertIs(long, queue.pop(100.0, lambda route: route is LONG))
        self.assertIsNone(queue.pop(100.0, lambda route: route is LONG))
        self.assertEqual(1, len(queue))

    def test_a_branch_that_misses_its_objective_lets_others_pass(self):
        queue = _queue()
        late = _push(queue, LONG, 100.0)
        in_time = _push(queue, LONG, 100.1)
        self.assertEqual([in_time, late], [queue.pop(100.16) for _ in range(2)])

    def test_a_lower_rank_keeps_its_least_share(self):
        queue = _queue()
        time_s = dict.fromkeys(WORKS_S, 0.0)
        for number in range(400):
            now = 100.0 + number * WORKS_S["short"]
            # Each short branch has no time to spare, so that it costs more than any
            # long one.
            _push(queue, SHORT, now - SHORT.objective_s + WORKS_S["short"] + 0.001)
            _push(queue, LONG, now)
            name = queue.pop(now).call.route.name
            time_s[name] += WORKS_S[name]
        share = time_s["long"] / sum(time_s.values())
        self.assertTrue(0.8 * LEAST_SHARE < share < 1.2 * LEAST_SHARE, share)

    def test_ended_branches_are_not_counted(self):
        queue = _queue()
        branch = _push(queue, LONG)
        branch.state = BranchState.FAILED
        queue.discard(branch)
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(100.0))

    def test_the_wait_counts_only_what_is_ahead(self):
        # A service was full for urgent calls because of long work behind them.
        queue = _queue()
        for _ in range(20):
            _push(queue, LONG)
        self.assertEqual(0.0, queue.work_ahead_s(SHORT, 100.0))
        self.assertTrue(queue.work_ahead_s(LONG, 100.0) >= 20 * 0.0165)
        for _ in range(4):
            _push(queue, SHORT)
        self.assertTrue(queue.work_ahead_s(SHORT, 100.0) < 6 * 0.0057)


class WorkEstimateTest(testtools.TestCase):
    """Guards against waits in a server's queue that are taken for work."""

    def test_waits_do_not_count_as_work(self):
        work = WorkEstimate(0.05)
        for number in range(600):
            work.add(0.006 if number % 3 == 0 else 0.04)
        self.assertTrue(0.004 < work.work_s < 0.012, work.work_s)


class DepthTest(testtools.TestCase):
    """Guards against long requests that fill a server's queue before urgent ones."""

    def test_room_is_left_while_a_more_urgent_route_shares_the_servers(self):
        shedding = Shedding()
        for route in (LONG, SHORT):
            work = shedding.work(route, WORKS_S[route.name])
            self.assertAlmostEqual(WORKS_S[route.name], work.work_s)
        self.assertEqual(math.inf, shedding.depth_per_slot(LONG, "a", 100.0))
        shedding.note_call(make_call(SHORT), replay_latency(SHORT), 100.0)
        # The servers have had room so far.
        self.assertEqual(math.inf, shedding.depth_per_slot(LONG, "a", 101.0))
        shedding.note_full("a", 100.0)
        self.assertEqual(1.0, shedding.depth_per_slot(LONG, "a", 101.0))
        self.assertEqual(math.inf, shedding.depth_per_slot(SHORT, "a", 101.0))
        self.assertEqual(
            math.inf, shedding.depth_per_slot(LONG, "a", 100.0 + FULL_HOLD_S)
        )
        shedding.note_full("a", 150.0)
        self.assertEqual(math.inf, shedding.depth_per_slot(LONG, "a", 150.0))

    def test_room_is_left_for_a_less_urgent_route_with_a_shorter_objective(self):
        # Its least share was due, but longer requests filled the servers.
        shedding = Shedding()
        short = make_route(priority_rank=2, objective_s=0.0578)
        short.name = "short-2"
        for route, work_s in ((LONG, WORKS_S["long"]), (short, WORKS_S["short"])):
            shedding.work(route, work_s)
            shedding.note_call(make_call(route), replay_latency(route), 100.0)
        shedding.note_full("a", 100.0)
        self.assertEqual(1.0, shedding.depth_per_slot(LONG, "a", 101.0))
        self.assertTrue(shedding.depth_per_slot(short, "a", 101.0) > 2.0)


def replay_latency(route):
    """Return the latencies of a route that has not run."""
    return RouteLatency(route.objective_s)


class ReturnScheduleTest(testtools.TestCase):
    """Guards against callers that return together, and find no room."""

    def test_returns_fit_the_room_and_differ(self):
        schedule = ReturnSchedule()
        times_s = []
        for number in range(20):
            jitter = (number * 7 % 20) / 20
            time_s, has_room = schedule.book(100.0, 0.02, 1.0, 0.0165, 4, 1, jitter)
            self.assertTrue(has_room)
            times_s.append(time_s)
        self.assertEqual(20, len(set(times_s)))
        self.assertTrue(max(times_s) <= HONOURED_FRACTION)
        least_s = 19 * 0.0165 / (RETURN_ROOM_FRACTION * 4)
        self.assertTrue(max(times_s) - min(times_s) > 0.8 * least_s, times_s)

    def test_an_urgent_caller_returns_before_those_of_lower_ranks(self):
        schedule = ReturnSchedule()
        others = [schedule.book(100.0, 0, 1.0, 0.0165, 4, 1, 0.5)[0] for _ in range(8)]
        urgent, _ = schedule.book(100.0, 0, 0.5, 0.0057, 4, 0, 0.5)
        self.assertTrue(urgent < max(others), (urgent, others))


class GivenUpTest(testtools.TestCase):
    """The load: the servers of one shard break connections while another one works.

    Guards against parts that hold slots for a call that has lost its coverage.
    """

    def _in_flight_after_answer(self, sheds_by_cost):
        played = replay.LoadReplay(1, sheds_by_cost=sheds_by_cost)
        played.add_service("a", work_s=0.2)
        played.add_service("b")
        played.add_fault("reset", ["b"], 0.0, 9.0)
        route = make_route(shards=("a", "b"), min_coverage=1.0, objective_s=0.5)
        entry = played.entries[0]

        async def play():
            await entry.timers.start()
            call = make_call(route, arrived_at=played.clock.monotonic())
            answer = await entry.dispatcher.run(call)
            return answer.status, sum(upstream.in_flight for upstream in entry.table)

        return run_in_virtual_time(play, clock=played.clock)

    def test_its_slots_are_free_at_its_answer(self):
        before_status, before = self._in_flight_after_answer(False)
        status, after = self._in_flight_after_answer(True)
        self.assertEqual((1, 0), (before, after))
        self.assertEqual(before_status, status)


class ReplayTest(testtools.TestCase):
    """The load: a burst of 1.7 times the load, while two kinds share the servers."""

    def _kinds(self, name, sheds_by_cost):
        pattern = replay.read_pattern(PATTERNS / f"{name}.toml")
        pattern["seconds"] = 2.2
        played = replay.play_pattern(pattern, 1, sheds_by_cost)
        rows = replay.summarize_kinds(played.callers.results)
        queues = [
            queue
            for entry in played.entries
            for by_domains in entry.dispatcher._service_queues.values()
            for queue in by_domains.values()
        ]
        return {row["kind"]: row for row in rows}, queues

    def test_the_urgent_kind_is_served_in_time_and_the_other_loses_nothing(self):
        before, queues = self._kinds("pressure-urgent", False)
        self.assertTrue(all(type(queue) is BranchQueue for queue in queues))
        after, queues = self._kinds("pressure-urgent", True)
        self.assertTrue(all(type(queue) is CostQueue for queue in queues))
        self.assertTrue(after["notice"]["value"] >= 0.95, after)
        self.assertTrue(after["notice"]["value"] > before["notice"]["value"] + 0.2)
        gain = after["detail"]["value"] - before["detail"]["value"]
        self.assertTrue(gain >= -0.05, (before, after))
        self.assertTrue(after["notice"]["refused late"] <= 0.01, after)

    def test_a_rank_is_not_served_less_often_than_a_lower_one(self):
        after, _ = self._kinds("pressure-bulk", True)
        records, check = after["records"], after["check"]
        self.assertTrue(records["served"] >= check["served"] - 0.05, after)
        self.assertTrue(records["value"] >= check["value"] - 0.15, after)
        # Without room for its least share its calls were held until their deadline.
        self.assertTrue(check["value"] > 0.5, after)
        self.assertTrue(check["refused late"] <= 0.02, after)
