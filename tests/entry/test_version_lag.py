"""Tests of the report on requests that are served by an older configuration."""

import testtools

from almondtide.entry.feed import StoreFeed
from almondtide.entry.replica import StoreReplica
from almondtide.entry.version_lag import VersionLag
from tests.support import MemoryLog


class VersionLagTest(testtools.TestCase):
    """Guards against old versions in use that no log line states."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.log = MemoryLog()
        feed = StoreFeed(None, StoreReplica(), self.log)
        self.lag = VersionLag(feed, lambda: self.now, self.log)

    def test_a_version_that_a_peer_has_is_reported_with_its_source(self):
        self.lag.note_request("r-1", 6)
        self.assertEqual([], self.log.events)
        self.lag.note_heard(10, "front-nadi-4")
        self.now += 0.5
        self.lag.note_request("r-2", 6)
        name, fields = self.log.events[-1]
        self.assertEqual("served_by_older_version", name)
        self.assertEqual(
            ("r-2", 6, 10, "front-nadi-4", 500),
            tuple(
                fields[key]
                for key in ("id", "version", "heard_version", "heard_from", "heard_ms")
            ),
        )

    def test_lines_are_bounded_and_all_requests_counted(self):
        self.lag.note_heard(10, "front-nadi-4")
        for _ in range(30):
            self.lag.note_request("r-1", 6)
            self.now += 0.1
        self.assertEqual(30, self.lag.count)
        self.assertEqual(3, len(self.log.events))

    def test_a_proof_that_is_overdue_is_reported_once_a_second(self):
        self.lag.note_proof(8.6, 3.0)
        self.assertEqual([], self.log.events)
        for _ in range(30):
            self.lag.note_proof(8.4, 3.0)
            self.now += 0.1
        self.assertEqual(
            ["configuration_unproved"] * 3, [name for name, _ in self.log.events]
        )
        self.assertAlmostEqual(1600, self.log.events[0][1]["proof_ms"], delta=1)
