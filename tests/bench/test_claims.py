"""Tests of what entries state of their replicas in random storms of faults."""

import testtools

from bench.claims import play_claims


class ClaimsTest(testtools.TestCase):
    """Guards against cursors and ages that claim more than an entry has read."""

    def _assert_true_claims(self, seeds):
        untrue = [
            (seed, claim.entry, claim.claim, claim.key, round(claim.at_s, 2))
            for seed in seeds
            for claim in play_claims(seed)
        ]
        self.assertEqual([], untrue)

    def test_no_claim_is_untrue_on_the_first_seeds(self):
        self._assert_true_claims(range(1, 13))

    def test_no_removed_server_comes_back_from_a_peer(self):
        # An entry that had read the removal took the server from an older snapshot, and
        # its peers adopted the cursor.
        self._assert_true_claims((77, 86, 92, 120))
