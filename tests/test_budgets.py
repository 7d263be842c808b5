"""Tests of the hedge and retry budgets."""

import testtools

from almondtide.budgets import RetryBudget, TokenBudget


class TokenBudgetTest(testtools.TestCase):
    """Guards against more extra attempts than the budget allows."""

    def test_extra_attempts_stay_within_the_ratio(self):
        budget = TokenBudget(0.05)
        spent = 0
        for _ in range(10_000):
            budget.earn()
            spent += budget.try_spend()
        self.assertTrue(490 <= spent <= 502, spent)

    def test_saved_tokens_are_limited_to_the_burst(self):
        budget = TokenBudget(0.05, burst=10)
        for _ in range(100_000):
            budget.earn()
        self.assertEqual(10, sum(budget.try_spend() for _ in range(1000)))

    def test_zero_ratio_allows_nothing(self):
        budget = TokenBudget(0.0)
        budget.earn()
        self.assertFalse(budget.try_spend())


class RetryBudgetTest(testtools.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_budget_shrinks_as_errors_grow(self):
        healthy, failing = RetryBudget(0.1), RetryBudget(0.1)
        for budget, is_failure in ((healthy, False), (failing, True)):
            while budget.try_spend():
                pass
            for _ in range(1000):
                budget.record_outcome(is_failure)
                budget.earn()
        self.assertEqual(10.0, healthy.tokens)
        self.assertTrue(failing.tokens < 3.0, failing.tokens)
