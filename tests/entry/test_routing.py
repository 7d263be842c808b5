"""Tests of routes, weighted services, merged records and coverage."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.entry.answers import build_answer
from almondtide.entry.calls import BranchState, needed_part_count
from almondtide.entry.merge import RECORD_BYTES, merge_records
from almondtide.entry.routing import RouteTable
from almondtide.errors import ResultCode
from almondtide.model.published import Configuration, Route
from tests.entry.support import make_call, make_reply, make_route


def _route(prefix, host="h", name=None, **fields):
    fields.setdefault("weighted_services", (("a", 1),))
    return Route(name or prefix, host, prefix, is_idempotent=True, **fields)


class FindTest(testtools.TestCase):
    """Guards against requests that are sent to the service of another route."""

    def test_longest_prefix_of_the_host(self):
        routes = [_route("/"), _route("/a/"), _route("/a/b/"), _route("/a/", "other")]
        table = RouteTable(Configuration(1, routes))
        for path, prefix in (("/a/b/c", "/a/b/"), ("/a/x", "/a/"), ("/b", "/")):
            self.assertEqual(prefix, table.find_route("h", path).prefix)
        self.assertEqual("other", table.find_route("other", "/a/x").host)
        self.assertIsNone(table.find_route("other", "/b"))
        self.assertIsNone(table.find_route("none", "/a/"))

    def test_a_prefix_includes_its_final_slash(self):
        table = RouteTable(Configuration(1, [_route("/a/")]))
        self.assertIsNone(table.find_route("h", "/ab"))
        self.assertIsNone(table.find_route("h", "/a"))


class WeightTest(testtools.TestCase):
    """Guards against shares of services that drift from their weights."""

    def test_shares_hold_over_a_few_requests(self):
        route = _route("/a/", weighted_services=(("a", 3), ("b", 1)))
        table = RouteTable(Configuration(1, [route]))
        picks = [table.pick_service(route) for _ in range(8)]
        self.assertEqual(6, picks.count("a"))

    def test_credits_are_kept_over_versions(self):
        route = _route("/a/", weighted_services=(("a", 1), ("b", 1)))
        table = RouteTable(Configuration(1, [route]))
        picks = []
        for version in range(2, 12):
            picks.append(table.pick_service(route))
            table = RouteTable(Configuration(version, [route]), table)
        self.assertEqual(5, picks.count("a"))

    def test_weight_zero_gets_nothing(self):
        route = _route("/a/", weighted_services=(("a", 0), ("b", 2)))
        table = RouteTable(Configuration(1, [route]))
        self.assertEqual({"b"}, {table.pick_service(route) for _ in range(9)})


class MergeTest(testtools.TestCase):
    """Guards against records that are lost, duplicated or out of order."""

    @given(st.lists(st.binary(max_size=70), max_size=6), st.integers(0, 12))
    def test_same_result_as_sorting_all_records(self, bodies, count):
        records = []
        for body in bodies:
            for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
                records.append(body[start : start + RECORD_BYTES])
        expected = b"".join(sorted(records, reverse=True)[:count])
        self.assertEqual(expected, merge_records(bodies, count))

    def test_equal_records_are_all_kept(self):
        record = b"x" * RECORD_BYTES
        self.assertEqual(record * 3, merge_records([record * 2, record], 5))


class CoverageTest(testtools.TestCase):
    """Guards against answers below the coverage that the route requires."""

    @given(st.integers(1, 60), st.floats(0, 1))
    def test_needed_part_count(self, count, share):
        needed = needed_part_count(count, share)
        self.assertTrue(1 <= needed <= count)
        self.assertTrue(needed / count >= share or needed == count)
        if needed > 1:
            self.assertTrue((needed - 1) / count < share + 1e-9)

    def _call(self, done):
        route = make_route(shards=tuple("abcd"), min_coverage=0.75)
        call = make_call(route)
        for branch in call.branches[:done]:
            branch.possible_run_count = 1
            reply = make_reply(b"", server_stamp=branch.service.encode())
            call.close_branch(branch, BranchState.DONE, reply)
        return call

    def test_enough_parts(self):
        answer = build_answer(self._call(3), False, 0.1)
        headers = dict(answer.headers)
        self.assertEqual((200, ResultCode.PARTIAL), (answer.status, answer.code))
        self.assertEqual(b"a, b, c", headers[b"Part-Stamps"])
        self.assertEqual(b"1", headers[b"Missing-Parts"])

    def test_too_few_parts_give_an_error(self):
        self.assertEqual(502, build_answer(self._call(2), False, 0.1).status)
        self.assertEqual(504, build_answer(self._call(2), True, 0.1).status)

    def test_nothing_ran_gives_503_and_a_retry_time(self):
        answer = build_answer(self._call(0), False, 0.1)
        self.assertEqual(503, answer.status)
        self.assertEqual(b"0.100", dict(answer.headers)[b"retry-after"])
