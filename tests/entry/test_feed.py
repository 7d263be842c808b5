"""Tests of what reads of the store mean, replaying its disruptions."""

import orjson
import testtools

from almondtide.entry.feed import (
    FAILED_PAUSE_S,
    LAPSE_HEARTBEATS,
    LAPSE_HOLD_S,
    LEAVING_MARGIN_S,
    READ_PART,
    StoreFeed,
    lapse_held_until,
    read_due_at,
)
from almondtide.entry.replica import StoreReplica
from almondtide.platform.documents import CONFIGURATION_KEY
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import StoreItem
from tests.entry.support import settings_document
from tests.platform.test_documents import ENTRY
from tests.support import MemoryLog

HEARTBEAT_S = 1.2
DRAIN_S = 5.0


def _item(number, revision, **changes):
    raw = orjson.dumps({**ENTRY, **changes})
    return StoreItem(f"servers/i-{number}", revision, raw)


def _gone(number, revision):
    return StoreItem(f"servers/i-{number}", revision, None)


class _FeedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.replica = StoreReplica()
        self.log = MemoryLog()
        document = settings_document()
        document["bounds"]["drain_ms"] = DRAIN_S * 1000
        settings = decode_settings(orjson.dumps(document))
        self.feed = StoreFeed(settings, self.replica, self.log)

    def known(self):
        return sorted(record.key for record in self.replica.server_records())


class ApplyTest(_FeedTest):
    """Guards against servers that are used though they left, or the reverse."""

    def test_full_list_then_changes(self):
        self.feed.apply_full([_item(1, 3), _item(2, 4)], 5, 0.0)
        self.feed.apply_changes([_gone(1, 6), _item(3, 7)], 7, 1.0)
        self.assertEqual(["servers/i-2", "servers/i-3"], self.known())
        self.assertEqual(7, self.feed.cursor)

    def test_heartbeats_are_no_news(self):
        self.feed.apply_full([_item(1, 3)], 5, 0.0)
        self.assertEqual([], self.feed.apply_changes([_item(1, 6, sequence=5)], 6, 1))

    def test_draining_is_news(self):
        self.feed.apply_full([_item(1, 3)], 5, 0.0)
        (record,) = self.feed.apply_changes([_item(1, 6, state="draining")], 6, 1.0)
        self.assertTrue(record.server.leaving)

    def test_garbage_names_no_server_and_the_others_hold(self):
        bad = StoreItem("servers/i-9", 4, b"\xff{")
        self.feed.apply_full([bad, _item(1, 3)], 5, 0.0)
        self.assertEqual(["servers/i-1"], self.known())
        self.assertEqual(["entry_invalid"], self.log.names())

    def test_other_keys_are_ignored(self):
        self.feed.apply_changes([StoreItem("op/other", 3, b"x")], 3, 0.0)
        self.assertEqual([], self.known())

    def test_calm_removal_counts_at_once(self):
        self.feed.apply_full([_item(1, 3)], 5, 0.0)
        self.feed.apply_changes([_gone(1, 6)], 6, 1.0)
        self.assertEqual([], self.known())

    def test_missing_from_a_full_list_after_lost_history(self):
        # The history was dropped while a server left; there was no gap.
        self.feed.apply_full([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.feed.apply_full([_item(2, 8)], 9, 1.0)
        self.assertEqual(["servers/i-2"], self.known())


class LapseTest(_FeedTest):
    """Replays entries that lapse while the store is away."""

    def setUp(self):
        super().setUp()
        self.feed.apply_full([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.back = LAPSE_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.read_failed(self.back - 0.5)

    def test_lapsed_entries_stay_until_they_are_back(self):
        self.feed.apply_changes([_gone(1, 6), _gone(2, 7)], 7, self.back)
        self.assertEqual(2, len(self.known()))
        self.feed.apply_changes([_item(1, 8)], 8, self.back + 1.0)
        changed = self.feed.release_held(self.back + LAPSE_HOLD_S + 0.01)
        self.assertEqual(["servers/i-2"], [record.key for record in changed])
        self.assertEqual(["servers/i-1"], self.known())

    def test_the_same_with_a_full_list(self):
        self.feed.apply_full([], 9, self.back)
        self.assertEqual(2, len(self.known()))
        self.assertEqual([], self.feed.release_held(self.back + LAPSE_HOLD_S - 0.1))
        self.assertEqual(2, len(self.feed.release_held(self.back + LAPSE_HOLD_S)))

    def test_a_removal_after_the_return_counts_at_once(self):
        self.feed.apply_changes([], 6, self.back)
        self.feed.apply_changes([_gone(1, 7)], 7, self.back + 1.0)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_daemon_that_takes_over_reads_held_removals(self):
        self.feed.apply_changes([_gone(1, 7)], 7, self.back)
        self.feed.apply_changes([_item(2, 8, sequence=9)], 8, self.back + 1.0)
        self.assertEqual((5, 0.0), self.feed.shared_cursor)
        self.feed.release_held(self.back + LAPSE_HOLD_S)
        self.assertEqual((8, self.back + 1.0), self.feed.shared_cursor)

    def test_held_removals_do_not_hold_up_what_follows(self):
        # The store answers with so many changes at a time; read again and again from
        # before the removals, the next configuration never came.
        self.feed.apply_changes([_gone(1, 7)], 7, self.back)
        self.assertEqual(7, self.feed.cursor)

    def test_removals_that_are_read_again_stay_held(self):
        changes = [_item(1, 6, sequence=9), _gone(1, 7)]
        self.feed.apply_changes(changes, 7, self.back)
        self.assertEqual([], self.feed.apply_changes(changes, 7, self.back + 1.0))
        self.assertEqual(2, len(self.known()))


class MassLapseTest(_FeedTest):
    """Replays entries that lapse together, seen first by a daemon that seldom reads."""

    def setUp(self):
        super().setUp()
        self.feed.apply_full([_item(number, 3) for number in range(12)], 5, 0.0)
        # Its last failed read is so old that a server may have left and ended since.
        self.feed.read_failed(2.5)
        self.back = 2.5 + DRAIN_S + 1.0

    def test_most_entries_do_not_leave_at_once(self):
        gone = [_gone(number, 6 + number) for number in range(8)]
        self.feed.apply_changes(gone, 20, self.back)
        self.assertEqual(12, len(self.known()))
        self.feed.apply_changes([_item(1, 21)], 21, self.back + 1.0)
        self.feed.release_held(self.back + LAPSE_HOLD_S + 0.01)
        self.assertEqual(5, len(self.known()))

    def test_the_same_with_a_full_list(self):
        self.feed.apply_full([_item(number, 8) for number in range(4)], 20, self.back)
        self.assertEqual(12, len(self.known()))

    def test_a_read_under_way_while_another_daemon_holds_them(self):
        # That daemon counts as fresh and says so, but shares the cursor before it.
        self.replica.mark_fresh(self.back)
        self.feed.take_cursor(5, 0.0)
        self.feed.apply_full([], 20, self.back + 0.05)
        self.assertEqual(12, len(self.known()))

    def test_a_few_that_are_missing_have_left(self):
        gone = [_gone(number, 6 + number) for number in range(5)]
        self.feed.apply_changes(gone, 20, self.back)
        self.assertEqual(7, len(self.known()))

    def test_most_of_a_few_may_have_left(self):
        replica = StoreReplica()
        feed = StoreFeed(self.feed.settings, replica, self.log)
        feed.apply_full([_item(number, 3) for number in range(4)], 5, 0.0)
        feed.apply_full([_item(1, 8)], 20, self.back)
        self.assertEqual(1, len(replica.server_records()))

    def test_none_lapse_while_the_knowledge_is_fresh(self):
        gone = [_gone(number, 6 + number) for number in range(8)]
        self.feed.apply_changes(gone, 20, 1.0)
        self.assertEqual(4, len(self.known()))


class LeaveTest(_FeedTest):
    """Replays servers that leave by their entry alone, without a word before."""

    def setUp(self):
        super().setUp()
        self.feed.apply_full([_item(1, 3), _item(2, 3)], 5, 0.0)

    def test_a_late_read_without_failures_removes_at_once(self):
        # A daemon takes over from one that is gone; the store was never away.
        self.feed.apply_changes([_gone(1, 6)], 6, 2.6)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_failure_before_the_last_good_read_does_not_count(self):
        self.feed.read_failed(0.5)
        self.feed.apply_changes([], 6, 1.0)
        self.feed.apply_changes([_gone(1, 7)], 7, 1.0 + 2.6)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_short_outage_lets_nothing_lapse(self):
        self.feed.read_failed(1.6)
        self.feed.apply_changes([_gone(1, 6)], 6, 2.1)
        self.assertEqual(["servers/i-2"], self.known())

    def test_the_hold_ends_before_the_server_does(self):
        for drain_s in (2.0, 3.0, 5.0):
            for failed_at in (3.0, 4.0, 4.9):
                until = lapse_held_until(
                    5.0, 0.0, failed_at, HEARTBEAT_S, drain_s, False
                )
                self.assertTrue(until is None or until < failed_at + drain_s)


class ServingTimeTest(_FeedTest):
    """Guards against requests to a server later than it is known to serve.

    The store may have accepted that a server leaves right after the last good read.
    """

    def setUp(self):
        super().setUp()
        self.feed.apply_full([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.until = DRAIN_S - LEAVING_MARGIN_S

    def test_draining_and_removal_count_from_the_read_before(self):
        changes = [_item(1, 6, state="draining"), _gone(2, 7)]
        for record in self.feed.apply_changes(changes, 7, 1.5):
            self.assertEqual(self.until, record.serves_until)

    def test_a_full_list_counts_from_the_read_before(self):
        (record,) = self.feed.apply_full([_item(1, 8)], 9, 1.5)
        self.assertEqual(("servers/i-2", self.until), (record.key, record.serves_until))

    def test_the_removal_of_a_draining_server_gives_no_more_time(self):
        self.feed.apply_changes([_item(1, 6, state="draining")], 6, 1.5)
        self.feed.apply_changes([_item(1, 7, state="draining", sequence=9)], 7, 3.0)
        (record,) = self.feed.apply_changes([_gone(1, 8)], 8, 4.5)
        self.assertEqual(self.until, record.serves_until)

    def test_the_first_list_tells_nothing_of_the_time(self):
        replica = StoreReplica()
        feed = StoreFeed(self.feed.settings, replica, self.log)
        (record,) = feed.apply_full([_item(1, 6, state="draining")], 6, 7.0)
        self.assertEqual(0.0, record.serves_until)

    def test_what_peers_told_meanwhile_does_not_count(self):
        # Another daemon may have held the removal back before this one took over.
        self.replica.mark_fresh(4.0)
        (record,) = self.feed.apply_changes([_gone(1, 6)], 6, 4.5)
        self.assertEqual(self.until, record.serves_until)

    def test_a_daemon_that_takes_over_knows_the_time_of_its_cursor(self):
        # The daemon that read until now did so at 3.0, and no change was left out.
        self.feed.take_cursor(5, 3.0)
        (record,) = self.feed.apply_changes([_gone(1, 6)], 6, 4.5)
        self.assertEqual(3.0 + self.until, record.serves_until)

    def test_a_cursor_of_unknown_time_gives_none(self):
        self.feed.take_cursor(6, None)
        (record,) = self.feed.apply_changes([_gone(1, 7)], 7, 1.0)
        self.assertEqual(0.0, record.serves_until)

    def test_an_older_cursor_tells_nothing(self):
        self.feed.take_cursor(4, 3.0)
        self.assertEqual((5, 0.0), self.feed.shared_cursor)

    def test_a_daemon_that_holds_entries_shares_the_time_before_them(self):
        back = LAPSE_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.read_failed(back - 0.5)
        self.feed.apply_changes([_gone(1, 6)], 6, back)
        self.feed.apply_changes([_item(2, 7, sequence=9)], 7, back + 1.0)
        self.assertEqual((5, 0.0), self.feed.shared_cursor)

    def test_a_removal_that_was_held_gives_no_time(self):
        back = LAPSE_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.read_failed(back - 0.5)
        self.feed.apply_changes([_gone(1, 6)], 6, back)
        (record,) = self.feed.release_held(back + LAPSE_HOLD_S)
        self.assertEqual(0.0, record.serves_until)

    def test_garbage_gives_no_time(self):
        bad = StoreItem("servers/i-1", 6, b"\xff{")
        (record,) = self.feed.apply_changes([bad], 6, 1.5)
        self.assertEqual(0.0, record.serves_until)


class ConfigurationTest(_FeedTest):
    """Guards against a configuration that is lost, unreadable or goes back."""

    def _configuration(self, version, revision):
        raw = orjson.dumps({"version": version, "routes": [], "services": []})
        return StoreItem(CONFIGURATION_KEY, revision, raw)

    def test_newest_version_is_in_force(self):
        for version in (4, 9, 7):
            item = self._configuration(version, version)
            self.feed.apply_changes([item], version, 0.0)
        self.assertEqual(9, self.replica.configuration_version)

    def test_unreadable_configuration_keeps_the_last(self):
        self.feed.apply_changes([self._configuration(4, 2)], 2, 0.0)
        self.assertFalse(self.feed.merge_configuration(b"{", 3))
        self.assertEqual(4, self.replica.configuration_version)
        self.assertIn("configuration_invalid", self.log.names())


class ReadDueTest(testtools.TestCase):
    """Guards against too many reads, and against news that nobody reads."""

    def test_first_reads_each_period(self):
        self.assertEqual(0.0, read_due_at(None, None, 0, 3.0))
        self.assertEqual(5.0 + READ_PART * 3.0, read_due_at(5.0, None, 0, 3.0))

    def test_others_wait_in_the_order_of_their_rank(self):
        for within_s in (3.0, 5.0):
            due = [read_due_at(5.0, None, rank, within_s) for rank in range(20)]
            self.assertEqual(sorted(due), due)
            # Also the last takes over in the time in which changes are in force.
            self.assertTrue(due[-1] < 5.0 + 0.9 * within_s)

    def test_failed_reads_are_spread(self):
        due = [read_due_at(5.0, 20.0, rank, 3.0) for rank in range(7)]
        self.assertEqual(20.0 + FAILED_PAUSE_S, due[0])
        self.assertEqual(len(due), len(set(due)))
