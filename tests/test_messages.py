"""Tests of the encoding of peer messages, with malformed frames."""

import cbor2
import orjson
import testtools
from hypothesis import example, given, settings
from hypothesis import strategies as st

from almondtide.errors import PeerError, ResultCode
from almondtide.messages import (
    MAX_FRAME_BYTES,
    Message,
    Ping,
    SubAnswer,
    decode_frame,
    encode_frame,
    message_types,
)

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3) | st.integers(), inner, max_size=3)
    ),
    max_leaves=6,
)
FIELD_NAMES = sorted(
    {name for kind in message_types.names() for name in message_types.get(kind).FIELDS}
)
MESSAGES = st.dictionaries(
    st.sampled_from(["t", "seq", *FIELD_NAMES]), VALUES, max_size=8
).flatmap(
    lambda fields: st.sampled_from(message_types.names()).map(
        lambda kind: {**fields, "t": kind, "seq": 1}
    )
)


class DecodeFrameTest(testtools.TestCase):
    """Guards against errors other than ``PeerError``, which would end a link's task."""

    def decode(self, data):
        """Return the decoded messages, or None for a refused frame."""
        try:
            timestamp, batch = decode_frame(data)
        except PeerError as exc:
            self.assertIn(
                exc.code, (ResultCode.PEER_PROTOCOL, ResultCode.MESSAGE_TOO_LARGE)
            )
            return None
        self.assertEqual(2, len(timestamp))
        for message in batch:
            self.assertIsInstance(message, Message)
        return batch

    @settings(max_examples=500, deadline=None)
    @given(st.binary(max_size=200))
    @example(b"\xc4\x82\x1b\xff\xff\xff\xff\xff\xff\xff\xff\x01")
    @example(b"\xd8\x1e\x82\x01\x00")
    @example(b"\xd8\x23\x61(")
    @example(b"\x9f" * 2000)
    @example(b"\xa1\x80\x01")
    def test_any_bytes(self, data):
        self.decode(data)

    @settings(max_examples=500, deadline=None)
    @given(VALUES, st.lists(MESSAGES | VALUES, max_size=3))
    def test_any_values(self, timestamp, batch):
        self.decode(cbor2.dumps([timestamp, *batch]))
        self.decode(cbor2.dumps([[1, 2], *batch]))

    def test_timestamp_far_in_the_future(self):
        """One invalid frame must not advance the logical clocks of all daemons."""
        for timestamp in ([2**60, 0], [1, 2**60], [-1, 0], [True, 0]):
            self.assertIsNone(self.decode(cbor2.dumps([timestamp])), timestamp)

    def test_times_that_are_not_finite_numbers(self):
        """NaN or infinity as a time would make timers fail."""
        for value in (float("nan"), float("inf"), -float("inf"), True):
            frame = cbor2.dumps(
                [
                    [1, 2],
                    {
                        "t": "sub_answer",
                        "seq": 1,
                        "service": "s",
                        "code": 0,
                        "wait_ms": value,
                    },
                ]
            )
            (answer,) = self.decode(frame)
            self.assertEqual(ResultCode.PEER_PROTOCOL, answer.code, value)
            self.assertFalse(answer.not_run)

    def test_unknown_result_code(self):
        """A newer daemon may use codes that this one does not know."""
        frame = cbor2.dumps(
            [[1, 2], {"t": "sub_answer", "seq": 1, "service": "s", "code": 899}]
        )
        (answer,) = self.decode(frame)
        self.assertEqual(ResultCode.INTERNAL, answer.code)

    def test_unknown_type_and_field(self):
        batch = self.decode(
            cbor2.dumps(
                [[1, 2], {"t": "new", "seq": 3}, {"t": "ping", "seq": 4, "x": 1}]
            )
        )
        self.assertEqual(ResultCode.PEER_PROTOCOL, batch[0].code)
        self.assertEqual(3, batch[0].seq)
        # The unknown message may be the reply to a request that was run.
        self.assertFalse(batch[0].not_run)
        self.assertIsInstance(batch[1], Ping)

    def test_deep_rows(self):
        """Deeply nested rows of an upstream must not end the link."""
        rows = orjson.loads(b"[" * 1024 + b"]" * 1024)
        frame = encode_frame((1, 2), [SubAnswer(service="s", code=0, payload=rows)])
        (answer,) = self.decode(frame)
        self.assertEqual("s", answer.service)

    def test_size_limit(self):
        self.assertIsNone(self.decode(b"\0" * (MAX_FRAME_BYTES + 1)))
        large = SubAnswer(service="s", code=0, payload="x" * MAX_FRAME_BYTES)
        self.assertRaises(PeerError, encode_frame, (1, 2), [large])

    def test_round_trip(self):
        sent = SubAnswer(
            seq=7, service="s", code=0, ranges=[[0, 5]], payload=[{"a": 1.5}]
        )
        timestamp, (received,) = decode_frame(encode_frame((3, 4), [sent]))
        self.assertEqual((3, 4), timestamp)
        self.assertEqual(sent.to_dict(), received.to_dict())
