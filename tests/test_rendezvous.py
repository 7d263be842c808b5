"""Tests of rendezvous ranking."""

import collections

import testtools

from almondtide.rendezvous import Candidate, rank


def members(count, weight=1.0):
    domains = ("lautoka", "nadi", "suva")
    return [Candidate(f"entry-{n:02d}", domains[n % 3], weight) for n in range(count)]


class RankTest(testtools.TestCase):
    """Guards against ownership that moves needlessly or shares one domain."""

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
