"""Tests of the load that servers report in their replies."""

import pathlib
import random

import testtools

from almondtide.entry.policy import reported_load
from almondtide.entry.policy.reported_load import (
    MAX_OTHERS_PER_SLOT,
    MAX_PACE,
    MAX_REPORT_AGE_S,
    KnownLoad,
)
from almondtide.entry.run_time import TICK_S
from almondtide.entry.upstreams import UpstreamTable
from almondtide.model.http_messages import ReportedLoad
from bench.replay import read_pattern, replay_pattern
from standins.replacement import replace_attribute
from tests.entry.support import make_reply, make_route, make_server
from tests.entry.test_dispatch import _run_calls

ONE_SERVICE = make_route(weighted_services=(("a", 1),), objective_s=0.5)
ROOT = pathlib.Path(__file__).resolve().parents[3]
PATTERN = ROOT / "bench" / "patterns" / "reported-load.toml"
HALF_AGE_S = MAX_REPORT_AGE_S / 2.0


def _table(count=2, slots=4):
    table = UpstreamTable("lautoka")
    for number in range(count):
        table.apply(make_server(f"i-{number}", slots=slots))
    return table


def _chosen(table, now, count=400):
    """Return how often each server is chosen."""
    ids = [table.choose("a", now).server.id for _ in range(count)]
    return {id: ids.count(id) for id in set(ids)}


class KnownLoadTest(testtools.TestCase):
    """Guards against reports that count twice, for too long or without limit."""

    def test_the_load_of_others_is_what_is_not_our_own(self):
        self.assertEqual(3, KnownLoad(ReportedLoad(4, 2, 4), 3, 0.0).others)
        self.assertEqual(0, KnownLoad(ReportedLoad(1, 0, 4), 3, 0.0).others)

    def test_its_weight_falls_with_its_age(self):
        known = KnownLoad(ReportedLoad(4, 0, 4, 2.0), 0, 0.0)
        self.assertEqual((4.0, 2.0), (known.others_at(0.0), known.pace_at(0.0)))
        self.assertAlmostEqual(2.0, known.others_at(HALF_AGE_S))
        self.assertAlmostEqual(1.5, known.pace_at(HALF_AGE_S))
        for age_s in (MAX_REPORT_AGE_S, 1e6):
            self.assertEqual((0.0, 1.0), (known.others_at(age_s), known.pace_at(age_s)))

    def test_huge_values_are_bounded(self):
        known = KnownLoad(ReportedLoad(999_999, 999_999, 4, 1e10), 0, 0.0)
        self.assertEqual(4 * MAX_OTHERS_PER_SLOT, known.others)
        self.assertEqual(MAX_PACE, known.pace)
        self.assertEqual(1.0, KnownLoad(ReportedLoad(0, 0, 4), 0, 0.0).pace)


class PlacementTest(testtools.TestCase):
    """Guards against herds, stale reports and a changed choice without reports."""

    def test_without_reports_the_cheapest_is_chosen(self):
        random.seed(1)
        before = random.getstate()
        self.assertEqual({"i-0": 50}, _chosen(_table(), 0.0, 50))
        self.assertEqual(before, random.getstate())

    def test_equal_servers_get_equal_parts(self):
        random.seed(1)
        table = _table()
        for upstream in table:
            upstream.note_load(ReportedLoad(2, 0, 4, 1.0), 0.0)
        self.assertTrue(all(160 < c < 240 for c in _chosen(table, 0.0).values()))

    def test_a_loaded_server_is_avoided_until_its_report_is_old(self):
        random.seed(1)
        table = _table()
        table.get("i-0").note_load(ReportedLoad(4, 8, 4, 1.0), 0.0)
        self.assertTrue(_chosen(table, 0.0)["i-1"] > 380)
        self.assertEqual({"i-0": 400}, _chosen(table, MAX_REPORT_AGE_S))

    def test_own_requests_since_the_report_count(self):
        table = _table()
        upstream = table.get("i-0")
        for number in range(2):
            upstream.start(number, 0.0, 1.0)
        upstream.note_load(ReportedLoad(3, 0, 4, 1.0), 0.0)
        self.assertEqual(1.0, upstream.load(0.0))
        upstream.start(2, 0.0, 1.0)
        self.assertEqual(1.25, upstream.load(0.0))

    def test_a_refused_request_is_not_in_the_report(self):
        upstream = _table().get("i-0")
        upstream.start(0, 0.0, 1.0)
        upstream.note_load(ReportedLoad(4, 4, 4), 0.0, was_run=False)
        self.assertEqual(8, upstream.known_load.others)

    def test_a_slow_server_is_avoided_for_its_pace(self):
        random.seed(1)
        table = _table()
        table.get("i-0").note_load(ReportedLoad(0, 0, 4, 2.5), 0.0)
        self.assertTrue(_chosen(table, 0.0)["i-1"] > 380)
        self.assertAlmostEqual(4 / 0.1 * 1.4, table.throughput("a", 0.0, 0.1))

    def test_the_pace_is_not_learned_as_slowness(self):
        upstream = _table().get("i-0")
        for number in range(20):
            upstream.start(number, 0.0, 0.01)
            upstream.note_load(ReportedLoad(0, 0, 4, 2.5), 0.025)
            upstream.succeed(number, 0.025)
        self.assertAlmostEqual(1.0, upstream.slowness(0.025))
        self.assertAlmostEqual(2.5, upstream.expected_factor(0.025))

    def test_a_server_that_lies_is_judged_by_its_latency(self):
        random.seed(1)
        table = _table()
        for number in range(30):
            upstream = table.get("i-0")
            upstream.start(number, number * 0.1, 0.02)
            upstream.note_load(ReportedLoad(0, 0, 999_999, 0.01), number * 0.1 + 0.08)
            upstream.succeed(number, number * 0.1 + 0.08)
        # A pace that it only claims raises its learned slowness by as much.
        self.assertTrue(_chosen(table, 3.0).get("i-1", 0) > 380)

    def test_a_restarted_server_has_no_report(self):
        table = _table()
        table.get("i-0").note_load(ReportedLoad(4, 8, 4, 1.0), 0.0)
        table.apply(make_server("i-0", slots=4, born_ms=7))
        self.assertFalse(table.get("i-0").has_report(0.0))

    def test_a_reply_that_waited_in_a_pause_is_old(self):
        table = _table()
        for tick in range(10):
            table.run_time.tick(tick * TICK_S)
        upstream = table.get("i-0")
        upstream.note_load(ReportedLoad(4, 8, 4, 1.0), 5.0)
        self.assertTrue(upstream.known_load.weight(5.0) < 0.3)

    def test_no_hedge_goes_to_a_server_without_a_free_slot(self):
        upstream = _table().get("i-0")
        self.assertTrue(upstream.may_hedge(0.0))
        upstream.note_load(ReportedLoad(3, 0, 4, 1.0), 0.0)
        self.assertTrue(upstream.may_hedge(0.0))
        upstream.note_load(ReportedLoad(4, 1, 4, 1.0), 0.0)
        self.assertFalse(upstream.may_hedge(0.0))
        self.assertTrue(upstream.may_hedge(MAX_REPORT_AGE_S))


class ReplyTest(testtools.TestCase):
    """Guards against reports that are dropped without a trace."""

    def test_reports_are_used_and_counted(self):
        def behave(exchange):
            reply = make_reply(
                reported_load=ReportedLoad(1, 0, 3), has_invalid_load=True
            )
            return 0.001, reply

        fleet, _ = _run_calls(behave, ONE_SERVICE, calls=3, services=("a",))
        counts = fleet.dispatcher.counts
        self.assertEqual((3, 3), (counts["loads"], counts["loads_invalid"]))
        self.assertTrue(any(upstream.known_load for upstream in fleet.table))
        self.assertIn("load_invalid", fleet.dispatcher._log.names())


class ReportedLoadReplayTest(testtools.TestCase):
    """The load: servers of uneven and changing speed under several entries.

    Guards against placement that does not use the reports, or follows them in a herd.
    """

    def _replay(self, seed, max_age_s):
        pattern = read_pattern(PATTERN)
        pattern["seconds"] = 6
        before = replace_attribute(reported_load, "MAX_REPORT_AGE_S", max_age_s)
        try:
            return replay_pattern(pattern, seed)
        finally:
            reported_load.MAX_REPORT_AGE_S = before

    def test_more_is_served_in_time_than_by_own_latency(self):
        with_reports = self._replay(1, MAX_REPORT_AGE_S)
        own_latency = self._replay(1, 0.0)
        gain = with_reports["in objective"] - own_latency["in objective"]
        self.assertTrue(gain > 0.01, (with_reports, own_latency))
        self.assertTrue(with_reports["p99 ms"] < own_latency["p99 ms"])
