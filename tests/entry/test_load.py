"""Replays of loads against the dispatcher, in virtual time with modelled servers."""

import testtools

from bench.replay import LoadReplay
from tests.entry.support import make_route

SHARDS = tuple(f"shard-{number}" for number in range(10))
# A machine may get this many requests to a server that turned it away, from half a
# second after the refusal until the end of the pause (rule BUDGET of the platform).
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_NOTICE_S = 0.5


def _replay(seed, services, **server_options):
    """Return the replay of one entry with the services."""
    replay = LoadReplay(seed)
    for service in services:
        replay.add_service(service, **server_options)
    return replay


def _run(replay, route, per_s, seconds, deadline_s):
    return replay.run([(route, per_s, seconds, deadline_s)])


def _most_requests_in_pause(replay):
    """Return the most requests that a server got in a pause it had asked for."""
    return max(
        sum(fault.start + PAUSE_NOTICE_S < at < fault.end for at in server.arrivals)
        for server in replay.servers.values()
        for fault in server.faults
    )


def _share(results, condition):
    return sum(map(condition, results)) / len(results)


class VirtualTimeTest(testtools.TestCase):
    """Guards against replays that depend on the machine they run on."""

    def test_equal_seeds_give_equal_results(self):
        route = make_route(shards=SHARDS, objective_s=0.12, timeout_s=2.0)
        latencies = []
        for seed in (1, 1, 2):
            replay = _replay(seed, SHARDS, pause_s=0.15, pause_every_s=3.6)
            results = _run(replay, route, 30, 5.0, 2.0)
            latencies.append([result.latency_s for result in results])
        self.assertEqual(latencies[0], latencies[1])
        self.assertNotEqual(latencies[0], latencies[2])


class TurnedAwayTest(testtools.TestCase):
    """The load: all servers of a service turn requests away for some seconds.

    They name the time for which they want no request. Guards against requests that
    only find another refusal, and against callers that wait at a closed service.
    """

    def test_servers_get_no_requests_while_they_pause(self):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=8)
        for seed in range(3):
            replay = _replay(seed, ["a"], work_s=0.05)
            replay.add_fault("away", ["a"], 2.0, 2.0)
            results = _run(replay, route, 20, 6.0, 8.0)
            self.assertTrue(_most_requests_in_pause(replay) <= MAX_REQUESTS_IN_PAUSE)
            served = _share(results, lambda result: result.status == 200)
            self.assertTrue(served >= 0.97, served)

    def test_callers_are_refused_at_once(self):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=8)
        replay = _replay(4, ["a"], work_s=0.05)
        replay.add_fault("away", ["a"], 2.0, 2.0)
        refused = [
            result.refused_s
            for result in _run(replay, route, 20, 6.0, 8.0)
            if result.refused_s is not None
        ]
        self.assertTrue(len(refused) > 10, len(refused))
        self.assertTrue(max(refused) <= 0.25 * route.objective_s, max(refused))

    def test_callers_do_not_return_before_the_end_or_all_at_once(self):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=8)
        replay = _replay(5, ["a"], work_s=0.05)
        replay.add_fault("away", ["a"], 1.0, 2.0)
        results = _run(replay, route, 20, 3.0, 8.0)
        again = [result for result in results if result.refused_s is not None]
        self.assertTrue(all(result.attempts == 2 for result in again))
        end = next(iter(replay.servers.values())).faults[0].end
        after = [at - end for s in replay.servers.values() for at in s.arrivals]
        first = [at for at in after if 0 <= at <= 0.05]
        self.assertTrue(len(first) < 0.5 * len(again), (len(first), len(again)))

    def test_a_short_pause_is_waited_for(self):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=8)
        replay = _replay(6, ["a"], work_s=0.05)
        replay.add_fault("away", ["a"], 1.0, 0.2)
        results = _run(replay, route, 20, 3.0, 8.0)
        in_time = _share(results, lambda result: result.is_in_time)
        self.assertTrue(in_time >= 0.99, in_time)

    def test_one_shard_that_pauses_is_left_out(self):
        route = make_route(
            shards=SHARDS, min_coverage=0.89, objective_s=0.12, timeout_s=2.0
        )
        replay = _replay(7, SHARDS)
        replay.add_fault("away", SHARDS[:1], 1.0, 3.0)
        results = _run(replay, route, 30, 6.0, 2.0)
        in_time = _share(results, lambda result: result.is_in_time)
        self.assertTrue(in_time >= 0.97, in_time)
        self.assertTrue(_most_requests_in_pause(replay) <= MAX_REQUESTS_IN_PAUSE)

    def test_a_query_that_cannot_reach_its_coverage_is_refused_until_the_end(self):
        route = make_route(
            shards=SHARDS, min_coverage=0.89, objective_s=0.12, timeout_s=6.0
        )
        replay = _replay(8, SHARDS)
        replay.add_fault("away", SHARDS[:2], 1.0, 1.5)
        results = _run(replay, route, 30, 4.0, 6.0)
        refused = [item.refused_s for item in results if item.refused_s is not None]
        self.assertTrue(refused)
        slow = [refused_s for refused_s in refused if refused_s > 0.25 * 0.12]
        self.assertTrue(len(slow) <= 0.1 * len(refused), slow)
        served = _share(results, lambda result: result.status == 200)
        self.assertTrue(served >= 0.97, served)
        self.assertTrue(_most_requests_in_pause(replay) <= MAX_REQUESTS_IN_PAUSE)


class ManyEntriesTest(testtools.TestCase):
    """The load: every entry of a large fleet gets requests for one service.

    All its servers turn a share of the requests away, without a pause. Guards against
    extra sends of all entries together beyond the budget of the service (rule BUDGET
    of the platform).
    """

    RATIO, SLACK, WINDOW_S = 0.2, 100, 10.0

    def test_the_extra_sends_of_all_entries_stay_within_the_budget(self):
        replay = LoadReplay(1, 4, self.RATIO, self.SLACK, standby_count=60)
        replay.add_service("a", slots=12)
        replay.add_fault("shed", ["a"], 0.0, 60.0, x=0.6)
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=8)
        # Not longer than the window, so that it holds all sends.
        results = _run(replay, route, 50, self.WINDOW_S - 1.0, 0.8)
        requests = sum(result.attempts for result in results)
        arrivals = sum(len(server.arrivals) for server in replay.servers.values())
        allowed = self.RATIO * requests + self.SLACK
        self.assertTrue(arrivals - requests <= allowed, (arrivals, requests, allowed))
