"""Tests of the budget for retries and hedges."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.entry.policy.retry_budget import (
    USABLE_FRACTION,
    RetryBudget,
    slack_share,
)

RATIO = 0.2
SLACK = 100
WINDOW_S = 10.0


class SlackShareTest(testtools.TestCase):
    """Guards against entries that use the slack of the fleet several times."""

    @given(st.integers(1, 40), st.integers(0, 4000))
    def test_the_shares_of_all_entries_make_up_the_slack(self, active, standbys):
        total = active * slack_share(True, active, standbys)
        total += standbys * slack_share(False, active, standbys)
        self.assertAlmostEqual(1.0, total)

    def test_a_standby_of_a_small_fleet_may_retry(self):
        share = slack_share(False, 6, 9)
        budget = RetryBudget(RATIO, 116, WINDOW_S, share)
        self.assertTrue(budget.try_spend(50.0))


class RetryBudgetTest(testtools.TestCase):
    """Guards against more hedges and retries than the budget allows."""

    def test_slack_alone_is_bounded(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        spent = sum(budget.try_spend(50.0) for _ in range(200))
        self.assertEqual(int(USABLE_FRACTION * SLACK), spent)

    def test_share_of_the_slack(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S, share=0.1)
        self.assertEqual(8, sum(budget.try_spend(50.0) for _ in range(200)))

    def test_requests_increase_the_allowance(self):
        budget = RetryBudget(RATIO, 0, WINDOW_S)
        self.assertFalse(budget.try_spend(50.0))
        for _ in range(100):
            budget.count_request(50.0)
        self.assertEqual(
            int(USABLE_FRACTION * RATIO * 100),
            sum(budget.try_spend(50.1) for _ in range(50)),
        )

    def test_hedges_leave_the_reserved_fraction_to_retries(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        hedges = sum(budget.try_spend(50.0, reserved_fraction=0.35) for _ in range(200))
        retries = sum(budget.try_spend(50.0) for _ in range(200))
        self.assertEqual(int(USABLE_FRACTION * SLACK), hedges + retries)
        self.assertTrue(retries >= int(0.35 * USABLE_FRACTION * SLACK))

    def test_window_slides(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        while budget.try_spend(50.0):
            pass
        self.assertFalse(budget.try_spend(59.9))
        self.assertTrue(budget.try_spend(50.0 + WINDOW_S + WINDOW_S / 10))

    def test_allowance_is_full_after_a_long_pause(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        while budget.try_spend(50.0):
            pass
        self.assertAlmostEqual(USABLE_FRACTION * SLACK, budget.remaining(5000.0))

    @given(st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=150))
    def test_no_window_exceeds_the_allowance(self, steps):
        budget = RetryBudget(RATIO, 10, WINDOW_S)
        now = 100.0
        requests = []
        extras = []
        for gap, is_request in steps:
            now += gap
            if is_request:
                budget.count_request(now)
                requests.append(now)
            elif budget.try_spend(now):
                extras.append(now)
        for end in extras:
            window = [at for at in extras if end - WINDOW_S < at <= end]
            # Requests of the window and of the one before it count.
            counted = [at for at in requests if end - 2 * WINDOW_S < at <= end]
            self.assertTrue(len(window) <= RATIO * len(counted) + 10)


class ChangedSettingsTest(testtools.TestCase):
    """Guards against extra sends by bounds that the settings no longer have."""

    def _spend_all(self, budget, now):
        count = 0
        while budget.try_spend(now):
            count += 1
        return count

    def test_a_lower_slack_holds_at_once(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        self._spend_all(budget, 50.0)
        budget.configure(RATIO, SLACK / 2, WINDOW_S)
        self.assertEqual(0, self._spend_all(budget, 50.1))
        self.assertEqual(
            int(USABLE_FRACTION * SLACK / 2), self._spend_all(budget, 50.0 + 11.0)
        )

    def test_another_window_forgets_no_sends(self):
        for window_s in (WINDOW_S / 2, 2 * WINDOW_S):
            budget = RetryBudget(0.0, SLACK, WINDOW_S)
            self._spend_all(budget, 50.0)
            budget.configure(0.0, SLACK, window_s)
            self.assertEqual(0, self._spend_all(budget, 50.0 + 0.9 * window_s))
            spent = self._spend_all(budget, 50.0 + 1.2 * window_s)
            self.assertEqual(int(USABLE_FRACTION * SLACK), spent)
