"""Tests of key ranges and shard maps."""

import testtools

from almondtide.errors import ConfigurationError
from almondtide.shards import KEY_SPACE, KeyRange, Shard, ShardMap, gaps_and_overlaps


def make_map(*bounds):
    shards = [
        Shard(f"s{index}", KeyRange(low, high), f"service-{index}")
        for index, (low, high) in enumerate(bounds)
    ]
    return ShardMap(1, shards)


class ShardMapTest(testtools.TestCase):
    """Guards against keys that belong to no shard or to more than one."""

    def test_complete_map_is_accepted(self):
        shard_map = make_map((0, 100), (100, KEY_SPACE))
        self.assertEqual(["service-0", "service-1"], shard_map.services())
        self.assertEqual("s1", shard_map.find(100).name)

    def test_overlap_is_refused(self):
        self.assertRaises(ConfigurationError, make_map, (0, 101), (100, KEY_SPACE))

    def test_gap_is_refused(self):
        self.assertRaises(ConfigurationError, make_map, (0, 99), (100, KEY_SPACE))

    def test_short_map_is_refused(self):
        self.assertRaises(ConfigurationError, make_map, (0, KEY_SPACE - 1))


class GapsAndOverlapsTest(testtools.TestCase):
    """Guards against undetected gaps and overlaps in the coverage check."""

    def test_gaps_and_overlaps(self):
        gaps, overlaps = gaps_and_overlaps([KeyRange(4, 8), KeyRange(0, 5)], 0, 10)
        self.assertEqual([KeyRange(8, 10)], gaps)
        self.assertEqual([KeyRange(4, 5)], overlaps)
