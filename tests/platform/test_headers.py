"""Tests of the headers of requests, replies and answers."""

import orjson
import testtools

from almondtide.platform.headers import (
    decode_reply,
    decode_request,
    encode_resolve_answer,
    forwarded_reply_headers,
    forwarded_request_headers,
    merged_answer_headers,
    refusal_answer_headers,
)


def _request(*extra, method=b"GET", body=b""):
    headers = [
        (b"host", b"Leno12.example:80"),
        (b"request-id", b"9c41"),
        (b"deadline-ms", b"400"),
        *extra,
    ]
    return decode_request(method, b"/a/b?c=d", headers, body)


class RequestHeadersTest(testtools.TestCase):
    """Guards against changed requests, and against request smuggling."""

    def test_fields(self):
        request = _request()
        self.assertEqual("leno12.example", request.host)
        self.assertEqual(("9c41", 0.4), (request.id, request.allowed_s))
        self.assertEqual(("/a/b?c=d", "/a/b"), (request.target, request.path))

    def test_hop_by_hop_headers_are_not_forwarded(self):
        request = _request(
            (b"connection", b"keep-alive, X-Local"),
            (b"x-local", b"1"),
            (b"te", b"trailers"),
            (b"transfer-encoding", b"chunked"),
            (b"expect-instance", b"i-forged"),
            (b"x-team", b"1"),
            (b"x-team", b"2"),
        )
        headers = forwarded_request_headers(request, "i-1", 0.25)
        self.assertEqual(
            [
                (b"host", b"Leno12.example:80"),
                (b"request-id", b"9c41"),
                (b"x-team", b"1"),
                (b"x-team", b"2"),
                (b"deadline-ms", b"250"),
                (b"expect-instance", b"i-1"),
            ],
            headers,
        )

    def test_content_length_of_a_body(self):
        request = _request(method=b"POST", body=b"abc")
        self.assertIn(
            (b"content-length", b"3"), forwarded_request_headers(request, "i", 1)
        )
        empty = _request(method=b"POST")
        self.assertIn(
            (b"content-length", b"0"), forwarded_request_headers(empty, "i", 1)
        )

    def test_an_invalid_deadline_is_ignored(self):
        for value in (b"soon", b"-1", b"nan", b"inf"):
            request = decode_request(b"GET", b"/", [(b"deadline-ms", value)], b"")
            self.assertIsNone(request.allowed_s)

    def test_the_forwarded_deadline_is_at_least_a_millisecond(self):
        headers = dict(forwarded_request_headers(_request(), "i-1", 0.0001))
        self.assertEqual(b"1", headers[b"deadline-ms"])


class ReplyHeadersTest(testtools.TestCase):
    """Guards against replies that are misread as success or failure."""

    def _reply(self, status, *headers):
        return decode_reply(status, list(headers), b"")

    def test_success_needs_a_server_stamp(self):
        self.assertTrue(self._reply(200, (b"server-stamp", b"s")).is_success)
        self.assertFalse(self._reply(200).is_success)
        self.assertFalse(self._reply(500, (b"server-stamp", b"s")).is_success)

    def test_an_encoded_body_is_no_success(self):
        reply = self._reply(
            200, (b"server-stamp", b"s"), (b"content-encoding", b"gzip")
        )
        self.assertFalse(reply.is_success)

    def test_statements_of_the_server(self):
        self.assertTrue(self._reply(503, (b"not-run", b"1")).is_not_run)
        self.assertFalse(self._reply(503).is_not_run)
        self.assertEqual("i-2", self._reply(421, (b"instance-id", b"i-2")).server_id)
        self.assertIsNone(self._reply(421).server_id)
        self.assertEqual("9c41", self._reply(200, (b"request-id", b"9c41")).request_id)

    def test_idle_time(self):
        self.assertIsNone(self._reply(200).keep_alive_s)
        self.assertEqual(
            5.0, self._reply(200, (b"keep-alive", b"timeout=5, max=9")).keep_alive_s
        )
        self.assertEqual(
            0.0,
            self._reply(
                200, (b"connection", b"close"), (b"keep-alive", b"timeout=5")
            ).keep_alive_s,
        )

    def test_forwarded_reply_headers(self):
        reply = self._reply(
            200,
            (b"server-stamp", b"s"),
            (b"connection", b"x-local"),
            (b"x-local", b"1"),
            (b"content-length", b"0"),
        )
        self.assertEqual([(b"server-stamp", b"s")], forwarded_reply_headers(reply))


class AnswerHeadersTest(testtools.TestCase):
    """Guards against wrong counts and times in the headers of answers."""

    def test_merged(self):
        headers = dict(merged_answer_headers([b"one", b"two"], 3))
        self.assertEqual(b"one, two", headers[b"Part-Stamps"])
        self.assertEqual(b"3", headers[b"Missing-Parts"])

    def test_refusal(self):
        self.assertEqual(b"0.050", dict(refusal_answer_headers(0.05))[b"retry-after"])
        self.assertNotIn(b"retry-after", dict(refusal_answer_headers(None)))

    def test_entries(self):
        body = orjson.loads(encode_resolve_answer([("10.1.0.39", 8226)], 2))
        self.assertEqual({"addrs": ["10.1.0.39:8226"], "ttl_s": 2}, body)


class RateLimitHeaderTest(testtools.TestCase):
    """Guards against a rate that is misread, or read from nothing."""

    def _reply(self, *values):
        return decode_reply(200, [(b"server-limit", value) for value in values], b"")

    def test_decimal_numbers(self):
        for value, rate in ((b"15.2", 15.2), (b" 0 ", 0.0), (b"0.25", 0.25)):
            reply = self._reply(value)
            self.assertEqual(rate, reply.rate_limit)
            self.assertFalse(reply.has_invalid_rate_limit)

    def test_no_header_states_no_limit(self):
        reply = self._reply()
        self.assertIsNone(reply.rate_limit)
        self.assertFalse(reply.has_invalid_rate_limit)

    def test_values_that_cannot_be_read(self):
        for value in (b"", b"-1", b"inf", b"nan", b"1e3", b"many", b"1_0", b"9" * 40):
            reply = self._reply(value)
            self.assertIsNone(reply.rate_limit, value)
            self.assertTrue(reply.has_invalid_rate_limit, value)


class ReportedLoadHeaderTest(testtools.TestCase):
    """Guards against reports of load that are misread or that fail a request."""

    def _decode(self, value):
        return decode_reply(200, [(b"server-load", value)], b"")

    def test_figures(self):
        cases = {b"3,0,8": (3, 0, 8, None), b"1, 2, 4, 250": (1, 2, 4, 2.5)}
        for value, expected in cases.items():
            load = self._decode(value).reported_load
            self.assertEqual(
                expected, (load.running, load.waiting, load.slots, load.pace)
            )

    def test_no_header_reports_nothing(self):
        reply = decode_reply(200, [], b"")
        self.assertIsNone(reply.reported_load)
        self.assertFalse(reply.has_invalid_load)

    def test_figures_that_cannot_be_read(self):
        for value in (b"", b"3", b"3,0", b"-1,0,8", b"3,0,0", b"1e3,0,8", b"9" * 30):
            reply = self._decode(value)
            self.assertIsNone(reply.reported_load, value)
            self.assertTrue(reply.has_invalid_load, value)

    def test_an_unreadable_pace_leaves_the_other_figures(self):
        for value in (b"3,0,8,", b"3,0,8,-5", b"3,0,8,0", b"3,0,8,nan"):
            reply = self._decode(value)
            self.assertEqual(8, reply.reported_load.slots, value)
            self.assertIsNone(reply.reported_load.pace, value)
            self.assertTrue(reply.has_invalid_load, value)
