"""Tests of the decoding of upstream responses."""

import orjson
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.adapters.http import HTTPResponse
from almondtide.adapters.upstream import _decode_reply
from almondtide.errors import ResultCode, UpstreamError

LATIN1_TEXT = st.text(st.characters(max_codepoint=255), max_size=12)


class DecodeReplyTest(testtools.TestCase):
    """Checks that any response is decoded or rejected with ``UpstreamError``."""

    @given(
        st.sampled_from([200, 204, 409, 410, 500, 503]),
        st.binary(max_size=20)
        | st.sampled_from([b"[]", b'{"code": []}', b'{"code": "shed", "not_run": 1}']),
        LATIN1_TEXT | st.sampled_from(["1,2", "²", "1,,x"]),
    )
    def test_any_response(self, status, body, numbers):
        headers = {"x-index-versions": numbers, "x-epochs": numbers}
        try:
            reply = _decode_reply(HTTPResponse(status, body, headers))
        except UpstreamError as exc:
            self.assertEqual(ResultCode.BAD_RESPONSE, exc.code)
            return
        self.assertIsInstance(reply.not_run, bool)
        self.assertIsInstance(reply.code, ResultCode)
        self.assertTrue(all(0 <= number < 2**63 for number in reply.versions))

    def test_not_run_must_be_true(self):
        """Only JSON ``true`` allows another attempt of a revision."""
        for value, expected in ((True, True), (1, False), ("true", False)):
            body = orjson.dumps({"code": "shed", "not_run": value})
            self.assertEqual(expected, _decode_reply(HTTPResponse(503, body)).not_run)
