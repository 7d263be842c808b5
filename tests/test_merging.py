"""Tests of merges and coverage."""

import testtools

from almondtide.errors import ResultCode
from almondtide.merging import Coverage, merges
from almondtide.shards import KEY_SPACE, KeyRange, Shard, ShardMap
from almondtide.subrequests import SubResult

MIDDLE = KEY_SPACE // 2


def make_map():
    return ShardMap(
        1,
        [
            Shard("low", KeyRange(0, MIDDLE), "a"),
            Shard("high", KeyRange(MIDDLE, KEY_SPACE), "b"),
        ],
    )


def answered(service, *ranges):
    return SubResult(service, ResultCode.OK, ranges=ranges, payload=[])


class CoverageTest(testtools.TestCase):
    """Guards against shards that are reported as covered but are incomplete."""

    def test_complete(self):
        results = {
            "a": answered("a", [0, MIDDLE]),
            "b": answered("b", [MIDDLE, KEY_SPACE]),
        }
        coverage = Coverage(make_map(), results)
        self.assertTrue(coverage.is_complete)
        self.assertEqual(["low", "high"], coverage.covered)

    def test_missing_service(self):
        coverage = Coverage(make_map(), {"a": answered("a", [0, MIDDLE])})
        self.assertFalse(coverage.is_complete)
        self.assertEqual(["low"], coverage.covered)
        self.assertEqual("high", coverage.missing[0][0])

    def test_shard_with_part_of_its_range_is_missing(self):
        results = {
            "a": answered("a", [0, MIDDLE - 1]),
            "b": answered("b", [MIDDLE, KEY_SPACE]),
        }
        coverage = Coverage(make_map(), results)
        self.assertEqual(["high"], coverage.covered)
        self.assertEqual(["b"], coverage.fully_covered_services())

    def test_range_returned_twice_is_not_covered(self):
        results = {
            "a": answered("a", [0, MIDDLE]),
            "b": answered("b", [MIDDLE, KEY_SPACE], [MIDDLE, KEY_SPACE]),
        }
        coverage = Coverage(make_map(), results)
        self.assertFalse(coverage.is_complete)
        self.assertEqual(["low"], coverage.covered)


class MergeTest(testtools.TestCase):
    """Guards against wrong order and wrong aggregates of merged rows."""

    def setUp(self):
        super().setUp()
        self.payloads = [
            [{"key": 1, "id": "x", "value": 4.0}, {"key": 9, "id": "z", "value": 1.0}],
            [{"key": 5, "id": "y", "value": 1.0}],
        ]

    def test_rows_are_in_key_order(self):
        merged = merges.get("rows")(self.payloads)
        self.assertEqual([1, 5, 9], [row["key"] for row in merged["rows"]])

    def test_count(self):
        self.assertEqual({"count": 3}, merges.get("count")(self.payloads))

    def test_statistics(self):
        merged = merges.get("statistics")(self.payloads)
        expected = {"count": 3, "minimum": 1.0, "maximum": 4.0, "mean": 2.0}
        self.assertEqual(expected, merged)
        self.assertIsNone(merges.get("statistics")([])["mean"])
