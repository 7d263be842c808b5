"""Tests of the choice among the servers of a service, and replays of its gains."""

import pathlib
import statistics

import testtools

from almondtide.entry.policy import choice, health
from almondtide.entry.upstreams import UpstreamTable
from almondtide.model.http_messages import ReportedLoad
from bench import replay
from bench.replay import play_pattern, read_pattern, summarize
from tests.entry.support import make_server

PATTERNS = pathlib.Path(replay.__file__).parent / "patterns"
EXPECTED_S = 0.03
SLOTS = 3


class NearServerTest(testtools.TestCase):
    """Guards against requests that leave their failure domain for nothing."""

    def setUp(self):
        super().setUp()
        self.table = UpstreamTable("lautoka")
        for id, domain in (("i-1", "lautoka"), ("i-2", "nadi")):
            self.table.apply(make_server(id, domain=domain))
        self.near = self.table.get("i-1")

    def chosen(self, now=0.0):
        """Return the ids of the servers that 200 requests at a time get."""
        return {self.table.choose("a", now).server.id for _ in range(200)}

    def report(self, **fields):
        load = {"running": 1, "waiting": 0, "slots": SLOTS, "pace": 1.0, **fields}
        for upstream in self.table:
            own = load if upstream is self.near else {**load, "pace": 1.0, "running": 1}
            upstream.note_load(ReportedLoad(**own), 0.0)

    def test_a_near_server_that_serves_at_once_gets_all(self):
        # Equal reports made one request in ten cross, with idle servers everywhere.
        self.report()
        self.assertEqual({"i-1"}, self.chosen())

    def test_without_reports_the_cheapest_server_is_chosen(self):
        # A deployment whose servers report no load keeps its choice.
        for _ in range(9):
            self.near.health.note_latency(1.7, 1.0, 0.0)
        self.assertEqual({"i-2"}, self.chosen())
        self.report()
        self.assertEqual({"i-1"}, self.chosen())

    def test_a_near_server_without_a_free_slot_shares(self):
        self.report(running=SLOTS, waiting=SLOTS)
        self.assertIn("i-2", self.chosen())

    def test_a_near_server_on_a_slow_machine_is_left(self):
        self.report(pace=2.5)
        self.assertIn("i-2", self.chosen())

    def test_a_server_on_probation_is_left(self):
        for _ in range(health.PROBATION_SAMPLES):
            self.near.health.note_latency(9.0, 9.0, 0.0)
        self.assertEqual({"i-2"}, self.chosen())


class ChoiceReplayTest(testtools.TestCase):
    """Guards the gains for callers under the loads that the choice answers."""

    def play(self, name, seconds, seed=1):
        pattern = read_pattern(PATTERNS / f"{name}.toml")
        pattern["seconds"] = seconds
        played = play_pattern(pattern, seed)
        return played, summarize(played.callers.results)

    def mean_loss(self):
        """Return what callers lose on average that an entry could have had."""
        figures = [self.play("lost-shards", 8.0, seed)[1] for seed in (1, 2, 3)]
        return statistics.mean(f["best value"] - f["value"] for f in figures)

    def test_less_is_lost_where_servers_of_many_shards_are_dark_or_slow(self):
        with_copies = self.mean_loss()
        self.patch(health, "PROBATION_SAMPLES", 1 << 20)
        self.patch(health, "MAX_EJECTION_S", 2.0)
        self.patch(choice, "PROBATION_COST", 0.0)
        without = self.mean_loss()
        self.assertTrue(with_copies <= without - 0.01, (with_copies, without))

    def test_fewer_requests_cross_and_none_waits_longer(self):
        played, near_first = self.play("shared-machines", 6.0)
        self.patch(choice, "is_near", lambda upstream, domain, now: False)
        played_without, by_cost = self.play("shared-machines", 6.0)
        crossing, crossing_without = (
            item.crossing_share() for item in (played, played_without)
        )
        self.assertTrue(
            crossing <= 0.75 * crossing_without, (crossing, crossing_without)
        )
        self.assertTrue(near_first["p50 ms"] <= 1.05 * by_cost["p50 ms"])
        self.assertTrue(near_first["value"] >= by_cost["value"] - 0.001)
