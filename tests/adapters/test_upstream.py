"""Tests of the decoding of upstream responses."""

import orjson
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.adapters.http import HTTPResponse
from almondtide.adapters.upstream import HTTPUpstreamConnection, _decode_reply
from almondtide.errors import ResultCode, UpstreamError
from almondtide.subrequests import SubRequest
from tests.support import run

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


class _Client:
    """Answers each request with the next of ``responses``."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.is_usable = True

    async def request(self, method, path, headers, body, before_write=None):
        return self.responses.pop(0)


class SecondCopyTest(testtools.TestCase):
    """Guards against the answer to another request on a connection in use again."""

    REFUSAL = orjson.dumps({"code": "shed", "not_run": True})

    def _revise(self, *responses):
        """Return the reply to the last of some revisions on one connection."""
        client = _Client(*responses)
        connection = HTTPUpstreamConnection(client)

        async def scenario():
            for number in range(len(responses)):
                sub = SubRequest(
                    "q", "w", "s", 1.0, body={}, execution_id=f"a~b~0~{number}"
                )
                reply = await connection.revise(1.0, sub, lambda: None)
            return reply

        try:
            return run(scenario)
        except UpstreamError as exc:
            self.assertFalse(client.is_usable)
            return exc

    def test_a_refused_revision_needs_another_connection(self):
        # A late copy of the refusal would say "not run" of the next send of it.
        refusals = [self._refusal(**{"x-request-id": f"a~b~0~{n}"}) for n in range(65)]
        client = _Client(*refusals, self._success(65))
        connection = HTTPUpstreamConnection(client)

        async def revise(number):
            execution_id = f"a~b~0~{number}"
            self.assertTrue(connection.may_revise(execution_id))
            sub = SubRequest("q", "w", "s", 1.0, body={}, execution_id=execution_id)
            await connection.revise(1.0, sub, lambda: None)

        for number in range(65):
            self.assertTrue(client.is_usable)
            run(revise, number)
        self.assertFalse(connection.may_revise("a~b~0~0"))
        self.assertFalse(client.is_usable)
        run(revise, 65)
        self.assertTrue(connection.may_revise("a~b~0~65"))

    def _refusal(self, **headers):
        return HTTPResponse(503, self.REFUSAL, headers)

    def _success(self, number):
        return HTTPResponse(200, orjson.dumps({"execution_id": f"a~b~0~{number}"}))

    def test_a_late_refusal_without_an_id_says_nothing_of_the_next_request(self):
        result = self._revise(self._success(0), self._refusal())
        self.assertIsInstance(result, UpstreamError)
        self.assertEqual(ResultCode.BAD_RESPONSE, result.code)
        self.assertFalse(result.not_run)

    def test_a_refusal_with_its_id_is_believed(self):
        refusal = self._refusal(**{"x-request-id": "a~b~0~1"})
        self.assertTrue(self._revise(self._success(0), refusal).not_run)

    def test_a_refusal_on_a_new_connection_is_believed(self):
        self.assertTrue(self._revise(self._refusal()).not_run)

    def test_a_second_copy_of_a_success_is_discarded(self):
        result = self._revise(self._success(0), self._success(0))
        self.assertEqual(ResultCode.BAD_RESPONSE, result.code)
