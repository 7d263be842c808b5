"""Tests of reads of the store applied to the replica, also after outages."""

import orjson
import testtools

from almondtide.entry.feed import (
    EXPIRY_HEARTBEATS,
    FIRST_RETRY_DELAY_S,
    LEAVING_MARGIN_S,
    READ_INTERVAL_FRACTION,
    READ_RETRY_DELAY_S,
    REMOVAL_HOLD_S,
    StoreFeed,
    next_read_at,
    removal_held_until,
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


def _removal(number, revision):
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
    """Guards against use of servers that left, and loss of those that did not."""

    def test_full_list_then_changes(self):
        self.feed.apply_full_list([_item(1, 3), _item(2, 4)], 5, 0.0)
        self.feed.apply_changes([_removal(1, 6), _item(3, 7)], 7, 1.0)
        self.assertEqual(["servers/i-2", "servers/i-3"], self.known())
        self.assertEqual(7, self.feed.cursor)

    def test_server_heartbeats_are_no_change(self):
        self.feed.apply_full_list([_item(1, 3)], 5, 0.0)
        self.assertEqual([], self.feed.apply_changes([_item(1, 6, sequence=5)], 6, 1))

    def test_draining_is_a_change(self):
        self.feed.apply_full_list([_item(1, 3)], 5, 0.0)
        (record,) = self.feed.apply_changes([_item(1, 6, state="draining")], 6, 1.0)
        self.assertTrue(record.server.leaving)

    def test_invalid_entry_is_skipped_and_the_others_are_used(self):
        bad = StoreItem("servers/i-9", 4, b"\xff{")
        self.feed.apply_full_list([bad, _item(1, 3)], 5, 0.0)
        self.assertEqual(["servers/i-1"], self.known())
        self.assertEqual(["entry_invalid"], self.log.names())

    def test_other_keys_are_ignored(self):
        self.feed.apply_changes([StoreItem("op/other", 3, b"x")], 3, 0.0)
        self.assertEqual([], self.known())

    def test_removal_without_an_outage_takes_effect_at_once(self):
        self.feed.apply_full_list([_item(1, 3)], 5, 0.0)
        self.feed.apply_changes([_removal(1, 6)], 6, 1.0)
        self.assertEqual([], self.known())

    def test_missing_from_a_full_list_after_lost_history(self):
        # The store dropped its history while a server left, without an outage.
        self.feed.apply_full_list([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.feed.apply_full_list([_item(2, 8)], 9, 1.0)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_cursor_adopted_during_a_read_does_not_outlast_it(self):
        # The peer knew both changes of the server, whose contents are as before; the
        # read shows the first one only.
        self.feed.apply_full_list([_item(1, 3)], 5, 0.0)
        self.feed.adopt_cursor(9, 1.0)
        self.feed.apply_changes([_removal(1, 6)], 6, 1.0)
        self.assertEqual([], self.known())
        self.assertEqual(6, self.feed.cursor)
        self.feed.apply_changes([_item(1, 7)], 9, 2.0)
        self.assertEqual(["servers/i-1"], self.known())

    def test_a_read_that_left_changes_confirms_nothing(self):
        self.feed.apply_full_list([_item(1, 3)], 5, 0.0)
        self.feed.apply_changes([_item(2, 7)], 7, 1.0, is_complete=False)
        self.assertEqual(["servers/i-1", "servers/i-2"], self.known())
        self.assertEqual((7, 0.0), (self.feed.cursor, self.feed.read_at))
        self.assertEqual(0.0, self.replica.fresh_at)


class ExpiryTest(_FeedTest):
    """Guards against loss of servers whose entries expired while the store was away."""

    def setUp(self):
        super().setUp()
        self.feed.apply_full_list([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.back_at = EXPIRY_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.note_failed_read(self.back_at - 0.5)

    def test_expired_entries_stay_until_they_are_registered_again(self):
        self.feed.apply_changes([_removal(1, 6), _removal(2, 7)], 7, self.back_at)
        self.assertEqual(2, len(self.known()))
        self.feed.apply_changes([_item(1, 8)], 8, self.back_at + 1.0)
        changed = self.feed.release_held_removals(self.back_at + REMOVAL_HOLD_S + 0.01)
        self.assertEqual(["servers/i-2"], [record.key for record in changed])
        self.assertEqual(["servers/i-1"], self.known())

    def test_the_same_with_a_full_list(self):
        self.feed.apply_full_list([], 9, self.back_at)
        self.assertEqual(2, len(self.known()))
        self.assertEqual(
            [], self.feed.release_held_removals(self.back_at + REMOVAL_HOLD_S - 0.1)
        )
        self.assertEqual(
            2, len(self.feed.release_held_removals(self.back_at + REMOVAL_HOLD_S))
        )

    def test_a_removal_after_the_outage_takes_effect_at_once(self):
        self.feed.apply_changes([], 6, self.back_at)
        self.feed.apply_changes([_removal(1, 7)], 7, self.back_at + 1.0)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_daemon_that_takes_over_reads_held_removals(self):
        self.feed.apply_changes([_removal(1, 7)], 7, self.back_at)
        self.feed.apply_changes([_item(2, 8, sequence=9)], 8, self.back_at + 1.0)
        self.assertEqual((5, 0.0), self.feed.shared_position)
        self.feed.release_held_removals(self.back_at + REMOVAL_HOLD_S)
        self.assertEqual((8, self.back_at + 1.0), self.feed.shared_position)

    def test_held_removals_do_not_block_later_changes(self):
        # The store limits the number of changes in an answer. When reads began before
        # the held removals each time, a later configuration was never reached.
        self.feed.apply_changes([_removal(1, 7)], 7, self.back_at)
        self.assertEqual(7, self.feed.cursor)

    def test_removals_that_are_read_again_stay_held(self):
        changes = [_item(1, 6, sequence=9), _removal(1, 7)]
        self.feed.apply_changes(changes, 7, self.back_at)
        self.assertEqual([], self.feed.apply_changes(changes, 7, self.back_at + 1.0))
        self.assertEqual(2, len(self.known()))


class MassExpiryTest(_FeedTest):
    """Guards against loss of servers when most entries expire together.

    A daemon that seldom reads the store is the first to see it.
    """

    def setUp(self):
        super().setUp()
        self.feed.apply_full_list([_item(number, 3) for number in range(12)], 5, 0.0)
        # The last failed read is so old that a server may have left and ended since.
        self.feed.note_failed_read(2.5)
        self.back_at = 2.5 + DRAIN_S + 1.0

    def test_removal_of_most_entries_is_held(self):
        removals = [_removal(number, 6 + number) for number in range(8)]
        self.feed.apply_changes(removals, 20, self.back_at)
        self.assertEqual(12, len(self.known()))
        self.feed.apply_changes([_item(1, 21)], 21, self.back_at + 1.0)
        self.feed.release_held_removals(self.back_at + REMOVAL_HOLD_S + 0.01)
        self.assertEqual(5, len(self.known()))

    def test_the_same_with_a_full_list(self):
        self.feed.apply_full_list(
            [_item(number, 8) for number in range(4)], 20, self.back_at
        )
        self.assertEqual(12, len(self.known()))

    def test_a_read_in_progress_while_another_daemon_holds_removals(self):
        # The other daemon reports a fresh replica, but a cursor before the removals.
        self.replica.freshness.note_copy(self.back_at)
        self.feed.adopt_cursor(5, 0.0)
        self.feed.apply_full_list([], 20, self.back_at + 0.05)
        self.assertEqual(12, len(self.known()))

    def test_a_few_missing_servers_are_removed(self):
        removals = [_removal(number, 6 + number) for number in range(5)]
        self.feed.apply_changes(removals, 20, self.back_at)
        self.assertEqual(7, len(self.known()))

    def test_most_of_a_few_servers_are_removed(self):
        replica = StoreReplica()
        feed = StoreFeed(self.feed.settings, replica, self.log)
        feed.apply_full_list([_item(number, 3) for number in range(4)], 5, 0.0)
        feed.apply_full_list([_item(1, 8)], 20, self.back_at)
        self.assertEqual(1, len(replica.server_records()))

    def test_nothing_is_held_while_the_replica_is_fresh(self):
        removals = [_removal(number, 6 + number) for number in range(8)]
        self.feed.apply_changes(removals, 20, 1.0)
        self.assertEqual(4, len(self.known()))


class LeavingTest(_FeedTest):
    """Guards against use of servers whose entry is removed without a drain before."""

    def setUp(self):
        super().setUp()
        self.feed.apply_full_list([_item(1, 3), _item(2, 3)], 5, 0.0)

    def test_a_late_read_without_failures_removes_at_once(self):
        # A daemon takes over from one that ended; the store was always available.
        self.feed.apply_changes([_removal(1, 6)], 6, 2.6)
        self.assertEqual(["servers/i-2"], self.known())

    def test_a_failure_before_the_last_good_read_is_ignored(self):
        self.feed.note_failed_read(0.5)
        self.feed.apply_changes([], 6, 1.0)
        self.feed.apply_changes([_removal(1, 7)], 7, 1.0 + 2.6)
        self.assertEqual(["servers/i-2"], self.known())

    def test_nothing_is_held_after_a_short_outage(self):
        self.feed.note_failed_read(1.6)
        self.feed.apply_changes([_removal(1, 6)], 6, 2.1)
        self.assertEqual(["servers/i-2"], self.known())

    def test_the_hold_ends_before_a_leaving_server_may_end(self):
        for drain_s in (2.0, 3.0, 5.0):
            for failed_at in (3.0, 4.0, 4.9):
                until = removal_held_until(
                    5.0, 0.0, failed_at, HEARTBEAT_S, drain_s, False
                )
                self.assertTrue(until is None or until < failed_at + drain_s)


class ServingTimeTest(_FeedTest):
    """Guards against requests to a leaving server after it may have ended.

    The store may have accepted the server's change right after the last good read.
    """

    def setUp(self):
        super().setUp()
        self.feed.apply_full_list([_item(1, 3), _item(2, 3)], 5, 0.0)
        self.until = DRAIN_S - LEAVING_MARGIN_S

    def test_draining_and_removal_count_from_the_read_before(self):
        changes = [_item(1, 6, state="draining"), _removal(2, 7)]
        for record in self.feed.apply_changes(changes, 7, 1.5):
            self.assertEqual(self.until, record.serves_until)

    def test_a_full_list_counts_from_the_read_before(self):
        (record,) = self.feed.apply_full_list([_item(1, 8)], 9, 1.5)
        self.assertEqual(("servers/i-2", self.until), (record.key, record.serves_until))

    def test_the_removal_of_a_draining_server_gives_no_more_time(self):
        self.feed.apply_changes([_item(1, 6, state="draining")], 6, 1.5)
        self.feed.apply_changes([_item(1, 7, state="draining", sequence=9)], 7, 3.0)
        (record,) = self.feed.apply_changes([_removal(1, 8)], 8, 4.5)
        self.assertEqual(self.until, record.serves_until)

    def test_the_first_list_gives_no_time(self):
        replica = StoreReplica()
        feed = StoreFeed(self.feed.settings, replica, self.log)
        (record,) = feed.apply_full_list([_item(1, 6, state="draining")], 6, 7.0)
        self.assertEqual(0.0, record.serves_until)

    def test_freshness_reported_by_peers_gives_no_more_time(self):
        # Another daemon may have held the removal before this one took over.
        self.replica.freshness.note_copy(4.0)
        (record,) = self.feed.apply_changes([_removal(1, 6)], 6, 4.5)
        self.assertEqual(self.until, record.serves_until)

    def test_a_daemon_that_takes_over_uses_the_time_of_the_adopted_cursor(self):
        # The previous reader read at 3.0 and had all changes before the cursor.
        self.feed.adopt_cursor(5, 3.0)
        (record,) = self.feed.apply_changes([_removal(1, 6)], 6, 4.5)
        self.assertEqual(3.0 + self.until, record.serves_until)

    def test_a_cursor_of_unknown_time_gives_no_time(self):
        self.feed.adopt_cursor(6, None)
        (record,) = self.feed.apply_changes([_removal(1, 7)], 7, 1.0)
        self.assertEqual(0.0, record.serves_until)

    def test_an_older_cursor_is_ignored(self):
        self.feed.adopt_cursor(4, 3.0)
        self.assertEqual((5, 0.0), self.feed.shared_position)

    def test_a_daemon_with_held_removals_shares_the_time_before_them(self):
        back_at = EXPIRY_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.note_failed_read(back_at - 0.5)
        self.feed.apply_changes([_removal(1, 6)], 6, back_at)
        self.feed.apply_changes([_item(2, 7, sequence=9)], 7, back_at + 1.0)
        self.assertEqual((5, 0.0), self.feed.shared_position)

    def test_a_removal_that_was_held_gives_no_time(self):
        back_at = EXPIRY_HEARTBEATS * HEARTBEAT_S + 3.0
        self.feed.note_failed_read(back_at - 0.5)
        self.feed.apply_changes([_removal(1, 6)], 6, back_at)
        (record,) = self.feed.release_held_removals(back_at + REMOVAL_HOLD_S)
        self.assertEqual(0.0, record.serves_until)

    def test_an_invalid_entry_gives_no_time(self):
        bad = StoreItem("servers/i-1", 6, b"\xff{")
        (record,) = self.feed.apply_changes([bad], 6, 1.5)
        self.assertEqual(0.0, record.serves_until)


class ConfigurationTest(_FeedTest):
    """Guards against a lost, unreadable or outdated configuration in force."""

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


class NextReadTest(testtools.TestCase):
    """Guards against too many reads of the store, and against too few."""

    def test_the_first_rank_reads_each_period(self):
        self.assertEqual(0.0, next_read_at(None, None, 0, 3.0))
        self.assertEqual(
            5.0 + READ_INTERVAL_FRACTION * 3.0, next_read_at(5.0, None, 0, 3.0)
        )

    def test_others_wait_in_the_order_of_their_rank(self):
        for within_s in (3.0, 5.0):
            due = [next_read_at(5.0, None, rank, within_s) for rank in range(20)]
            self.assertEqual(sorted(due), due)
            # Even the last rank takes over before changes must be in force.
            self.assertTrue(due[-1] < 5.0 + 0.9 * within_s)

    def test_failed_reads_are_spread(self):
        for failures, delay_s in ((1, FIRST_RETRY_DELAY_S), (2, READ_RETRY_DELAY_S)):
            due = [next_read_at(5.0, 20.0, rank, 3.0, failures) for rank in range(7)]
            self.assertEqual(20.0 + delay_s, due[0])
            self.assertEqual(len(due), len(set(due)))

    def test_one_failure_of_the_last_ranks_keeps_the_bound(self):
        # They may be the only ones that the store answers.
        within_s = 3.0
        failed_at = next_read_at(5.0, None, 6, within_s)
        due = next_read_at(5.0, failed_at, 6, within_s, failures=1)
        self.assertTrue(due < 5.0 + 0.95 * within_s)
