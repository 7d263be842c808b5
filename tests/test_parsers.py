"""Property-based tests of the parsers of execution ids and of the instance list."""

import math

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.errors import BadRequestError, ResultCode
from almondtide.executions import ExecutionId
from almondtide.membership import parse_instances

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(["10.0.0.1:80", "h:99999", ":1", "a b:1", "entry", "live"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=4), inner, max_size=2)
    ),
    max_leaves=4,
)

GOOD = {
    "id": "entry-1",
    "role": "entry",
    "address": "10.0.0.1:80",
    "peer": "10.0.0.1:81",
    "admin": "10.0.0.1:82",
    "domain": "lautoka",
    "state": "live",
    "weight": 1.0,
}


class ExecutionIdTest(testtools.TestCase):
    """Guards against different texts that are parsed as the same execution id."""

    @settings(max_examples=500)
    @given(
        st.none()
        | st.text(max_size=60)
        | st.from_regex(r"[a-z~]{0,4}~[a-f0-9]{0,4}~[0-9٣²]{0,11}~.{0,70}")
    )
    def test_any_text(self, text):
        try:
            parsed = ExecutionId.parse(text)
        except BadRequestError as exc:
            self.assertEqual(ResultCode.EXECUTION_ID_INVALID, exc.code)
            self.assertTrue(exc.not_run)
            return
        self.assertEqual(parsed.suffix, ExecutionId.parse(str(parsed)).suffix)
        # Otherwise an execution with two ids could run twice.
        self.assertEqual(text, str(parsed))

    def test_leading_zeros(self):
        for text in ("a~b~01~c", "a~b~١~c", "a~b~²~c", "a~b~+1~c"):
            self.assertRaises(BadRequestError, ExecutionId.parse, text)


class ParseInstancesTest(testtools.TestCase):
    """Guards against list items that are accepted but make later code fail."""

    def check(self, body):
        try:
            members = parse_instances(body)
        except ValueError:
            return None
        for member in members:
            for address in (member.address, member.peer, member.admin):
                if address is not None:
                    host, port = address
                    self.assertTrue(host.isascii() and host.isprintable() and host)
                    self.assertNotIn(" ", host)
                    self.assertTrue(0 < port <= 65535, port)
            self.assertIsInstance(member.instance, str)
            self.assertIsInstance(member.domain, str)
            self.assertTrue(math.isfinite(member.weight) and member.weight > 0)
            hash((member.instance, member.domain, member.service))
        return members

    @settings(max_examples=500)
    @given(st.sampled_from(sorted(GOOD)), JSON)
    def test_one_changed_field(self, field, value):
        self.check({"instances": [{**GOOD, field: value}]})

    @settings(max_examples=200)
    @given(JSON)
    def test_any_document(self, body):
        self.check(body)
        self.check({"instances": body})
        self.check({"instances": [body]})

    def test_good(self):
        self.assertEqual(1, len(self.check({"instances": [GOOD]})))
