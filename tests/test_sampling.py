"""Tests of the selection of peers."""

import random

import curio
import testtools

from almondtide.clock import MemoryClock
from almondtide.membership import Membership, parse_instances
from almondtide.sampling import SAMPLE_SIZE, PeerSample
from tests.local_fleet import make_entry


class PeerSampleTest(testtools.TestCase):
    """Guards against groups of daemons that never exchange digests."""

    def make_sample(self, entries):
        membership = Membership("d0", MemoryClock())
        members = parse_instances({"instances": entries})
        curio.run(membership.update_list, members)
        return PeerSample("d0", membership, random.Random(3))

    def test_links_are_reused_but_all_peers_are_picked(self):
        sample = self.make_sample([make_entry(f"d{n}") for n in range(100)])
        picks = [sample.pick(3) for _ in range(5000)]
        self.assertEqual({3}, {len(set(pick)) for pick in picks})
        self.assertEqual(99, len({name for pick in picks for name in pick}))
        # Links close after a minute without use; there is one pick each second. Every
        # 5th pick replaces a member of the sample, and every 4th may add a peer of
        # another failure domain.
        minute = {name for pick in picks[:60] for name in pick}
        self.assertLessEqual(len(minute), SAMPLE_SIZE + 60 // 5 + 60 // 4)

    def test_other_domains_are_picked_when_the_sample_has_none(self):
        """A partition between domains must heal whatever the sample holds."""
        entries = [{**make_entry(f"d{n}"), "domain": "sala-norte"} for n in range(40)]
        entries.append({**make_entry("d41"), "domain": "sala-sur"})
        sample = self.make_sample(entries)
        picks = [sample.pick(3) for _ in range(8)]
        self.assertIn("d41", {name for pick in picks for name in pick})

    def test_small_and_empty_fleets(self):
        self.assertEqual([], self.make_sample([]).pick(3))
        self.assertEqual(
            ["d1"], self.make_sample([make_entry("d0"), make_entry("d1")]).pick(3)
        )
