"""Tests of the decisions when the configuration's key is watched anew."""

import types

import testtools

from almondtide.entry.configuration_watch import (
    LARGE_DOMAIN_WATCHERS,
    MAX_RETRY_S,
    OVERTAKEN_S,
    PROOF_FRACTION,
    SLOW_ANSWER_S,
    STANDBY_PROOF_FRACTION,
    ConfigurationWatch,
    is_watcher,
)
from almondtide.model.position import make_position

WITHIN_S = 3.0


class ConfigurationWatchTest(testtools.TestCase):
    """Guards against a dead watch that is believed because peers seem up to date."""

    def setUp(self):
        super().setUp()
        self.watch = ConfigurationWatch()
        self.watch.note_answer(make_position(0, 40), 10.0)

    def _reason(self, now, known=40, fresh_at=None, era=0):
        position = make_position(0, known)
        return self.watch.renewal_reason(now, position, fresh_at, era, WITHIN_S)

    def test_a_version_that_came_another_way_must_come_by_the_watch_soon(self):
        self.assertIsNone(self._reason(10.1, known=41))
        self.assertIsNone(self._reason(10.1 + 0.9 * OVERTAKEN_S, known=41))
        self.assertEqual("overtaken", self._reason(10.2 + OVERTAKEN_S, known=41))

    def test_a_version_that_the_store_has_lost_is_asked_for_once(self):
        now = 10.0
        reasons = []
        for _ in range(30):
            now += 0.1
            reason = self._reason(now, known=41, fresh_at=now)
            if reason is not None:
                reasons.append(reason)
                self.watch.renew(reason)
                self.watch.note_answer(make_position(0, 40), now)
        self.assertEqual(["overtaken"], reasons)

    def test_a_restored_store_is_asked_anew(self):
        self._reason(10.1, era=1)
        self.assertEqual("overtaken", self._reason(10.2 + OVERTAKEN_S, era=1))

    def test_an_entry_that_hears_of_no_read_asks_the_store_in_time(self):
        deadline = 10.0 + PROOF_FRACTION * WITHIN_S
        self.assertIsNone(self._reason(deadline - 0.01))
        self.assertEqual("unproved", self._reason(deadline + 0.01))
        self.assertIsNone(self._reason(deadline + 0.01, fresh_at=deadline))

    def test_statements_of_peers_never_move_the_position(self):
        self._reason(10.1, known=90, fresh_at=10.1)
        self.assertEqual(make_position(0, 40), self.watch.position)

    def test_a_failed_call_is_repeated_at_once_and_then_less_often(self):
        delays = []
        for _ in range(8):
            self.watch.note_failure(20.0, jitter=0.5)
            delays.append(self.watch.retry_at - 20.0)
            self.assertIsNone(self.watch.position)
        self.assertLess(delays[0], 0.1)
        self.assertEqual(sorted(delays), delays)
        self.assertLessEqual(delays[-1], 2 * MAX_RETRY_S)

    def test_an_entry_without_a_watch_reads_before_the_bound_is_spent(self):
        deadline = 10.0 + STANDBY_PROOF_FRACTION * WITHIN_S
        self.assertFalse(self.watch.is_read_due(deadline - 0.01, None, WITHIN_S))
        self.assertTrue(self.watch.is_read_due(deadline + 0.01, None, WITHIN_S))
        self.assertFalse(self.watch.is_read_due(deadline, deadline - 1.0, WITHIN_S))

    def test_lost_answers_of_an_overdue_proof_leave_time_within_the_bound(self):
        now = PROOF_FRACTION * WITHIN_S
        for _ in range(2):
            now += self.watch.answer_timeout_s
            self.watch.note_failure(now, jitter=1.0)
            now = self.watch.retry_at
        self.assertLess(now, WITHIN_S - 0.5)
        self.assertEqual(SLOW_ANSWER_S, self.watch.answer_timeout_s)

    def test_a_key_that_is_being_read_is_not_given_up(self):
        self.watch.renew("unproved")
        self.assertIsNone(self._reason(30.0, known=90))


class WatcherChoiceTest(testtools.TestCase):
    """Guards against calls of the store that grow with the fleet."""

    def _view(self, number, is_large, is_active=False):
        members = [
            types.SimpleNamespace(domain="a", sort_key=key, is_active=False)
            for key in range(40)
        ]
        members[number].is_active = is_active
        return types.SimpleNamespace(
            is_large=is_large,
            local_member=members[number],
            ready_members=lambda now: members[::-1],
        )

    def test_all_entries_of_a_small_fleet_watch(self):
        self.assertTrue(is_watcher(self._view(39, is_large=False), 0.0))

    def test_a_few_of_each_domain_watch_in_a_large_fleet(self):
        watching = [is_watcher(self._view(n, True), 0.0) for n in range(40)]
        self.assertEqual(LARGE_DOMAIN_WATCHERS, sum(watching))
        self.assertTrue(is_watcher(self._view(39, True, is_active=True), 0.0))
