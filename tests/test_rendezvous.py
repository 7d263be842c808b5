"""Tests of rendezvous ranking."""

import collections

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.rendezvous import Candidate, RankTable, rank


def members(count, weight=1.0):
    domains = ("lautoka", "nadi", "suva")
    return [Candidate(f"entry-{n:02d}", domains[n % 3], weight) for n in range(count)]


class RankTest(testtools.TestCase):
    """Guards against needless moves of services and standbys in the owner's domain."""

    def test_order_does_not_depend_on_the_input_order(self):
        candidates = members(15)
        forward = [c.instance for c in rank("advisory-1", candidates)]
        backward = [c.instance for c in rank("advisory-1", candidates[::-1])]
        self.assertEqual(forward, backward)

    def test_losing_a_member_moves_only_its_services(self):
        candidates = members(15)
        services = [f"advisory-{n}" for n in range(300)]
        before = {name: rank(name, candidates)[0].instance for name in services}
        lost = candidates[4].instance
        rest = [c for c in candidates if c.instance != lost]
        for name in services:
            after = rank(name, rest)[0].instance
            if before[name] != lost:
                self.assertEqual(before[name], after)

    def test_first_three_are_in_three_domains(self):
        for number in range(100):
            first = rank(f"billing-{number}", members(15))[:3]
            self.assertEqual(3, len({c.domain for c in first}))

    def test_share_follows_the_weight(self):
        candidates = [Candidate("small", "nadi", 1.0), Candidate("large", "suva", 3.0)]
        owners = collections.Counter(
            rank(f"s-{n}", candidates)[0].instance for n in range(2000)
        )
        self.assertTrue(0.70 < owners["large"] / 2000 < 0.80, owners)


class RankTableTest(testtools.TestCase):
    """Guards against ranks that depend on the order of earlier changes."""

    @given(st.lists(st.sets(st.integers(0, 11)), min_size=1, max_size=6))
    def test_small_table_equals_full_ranking(self, steps):
        everyone = members(12)
        table = RankTable()
        for step in steps:
            present = [everyone[n] for n in sorted(step)]
            table.update(present)
            ranked = table.ranked("advisory-1", lambda instance: True)
            self.assertEqual(rank("advisory-1", present), ranked)

    def test_large_table_keeps_the_best_through_changes(self):
        everyone = members(300)
        table = RankTable()
        present = everyone[:200]
        table.update(present)
        for number in range(100):
            present = [*present[1:], everyone[200 + number]]
            table.update(present)
            for key in ("advisory-1", "billing-7"):
                best = rank(key, present)[:3]
                ranked = table.ranked(key, lambda instance: True)
                self.assertEqual(best, ranked[:3])

    def test_members_that_are_not_live_are_left_out(self):
        table = RankTable()
        table.update(members(5))
        owner = table.ranked("advisory-1", lambda instance: True)[0].instance
        ranked = table.ranked("advisory-1", lambda instance: instance != owner)
        self.assertNotIn(owner, [c.instance for c in ranked])
