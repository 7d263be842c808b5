"""Tests of the HTTP server with malformed, slow and abandoned requests."""

import curio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.adapters.http import (
    HTTPClient,
    json_response,
    refuse_connection,
    serve_http,
)
from almondtide.errors import (
    BadRequestError,
    RefusedError,
    ResultCode,
    UpstreamError,
)
from tests.support import (
    HTTPServer,
    MemoryLog,
    exchange,
    parse_responses,
    read_all,
    run,
    socket_pair,
)

GET = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"


async def echo(request):
    if request.path == "/json":
        request.json()
    if request.path == "/crash":
        raise KeyError("x\ny")
    if request.path == "/timeout":
        raise curio.TaskTimeout(1)
    if request.path == "/refuse":
        raise RefusedError("busy", retry_after_ms=5)
    if request.path == "/slow":
        await curio.sleep(1000)
    return json_response(200, {"path": request.path, "size": len(request.body)})


def post(path, body, *headers):
    head = [f"POST {path} HTTP/1.1", "host: h", f"content-length: {len(body)}"]
    return "\r\n".join([*head, *headers, "", ""]).encode() + body


class ExchangeTest(testtools.TestCase):
    """Checks result code, log event and closed connection for each bad request."""

    def ask(self, data, half_close=True, **options):
        """Return (responses, names of log events) for raw bytes."""

        async def main():
            async with HTTPServer(echo, **options) as server:
                answer = await exchange(server.address, data, half_close)
                self.assertTrue(await server.wait_drained())
                return parse_responses(answer), server.log.events

        return run(main)

    def assert_refused(self, data, status, code, **options):
        found, events = self.ask(data, **options)
        self.assertEqual(1, len(found), found)
        self.assertEqual(status, found[0][0])
        self.assertEqual(code, found[0][2]["code"])
        self.assertEqual(str(int(code)), found[0][1]["almondtide-result-code"])
        self.assertEqual(["http_refused"], [name for name, _ in events])

    def test_malformed_requests(self):
        for data in (
            b"NONSENSE\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: h\r\nbad header\r\n\r\n",
            b"GET / HTTP/9.9\r\nhost: h\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\0" * 64,
        ):
            self.assert_refused(data, 400, ResultCode.BAD_REQUEST)

    def test_unsupported_features(self):
        for data, status, code in (
            (GET.replace(b"GET", b"CONNECT"), 405, ResultCode.METHOD_NOT_ALLOWED),
            (post("/x", b"", "transfer-encoding: gzip"), 400, ResultCode.BAD_REQUEST),
        ):
            self.assert_refused(data, status, code)

    def test_cut_off_request(self):
        self.assert_refused(GET[:-4], 400, ResultCode.BAD_REQUEST)
        self.assert_refused(post("/x", b"abc")[:-1], 400, ResultCode.BAD_REQUEST)

    def test_large_headers(self):
        data = b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 70000 + b"\r\n\r\n"
        self.assert_refused(data, 431, ResultCode.HEADERS_TOO_LARGE)

    def test_large_body_gets_its_answer(self):
        """Body bytes that arrive after the refusal must not reset the connection.

        A reset would discard the response before the client has read it.
        """
        data = post("/x", b"a" * 3_000_000)
        self.assert_refused(data, 413, ResultCode.BODY_TOO_LARGE)

    def test_large_chunked_body(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        data = head + b"1000\r\n" + b"a" * 4096 + b"\r\n"
        data += b"1000\r\n" + b"a" * 4096 + b"\r\n0\r\n\r\n"
        self.assert_refused(data, 413, ResultCode.BODY_TOO_LARGE, max_body_bytes=5000)

    def test_slow_head_and_body(self):
        """An incomplete request must not keep its connection open."""
        for data in (GET[:-4], post("/x", b"abc")[:-1]):
            self.assert_refused(
                data,
                408,
                ResultCode.REQUEST_TIMEOUT,
                half_close=False,
                read_timeout_s=0.1,
            )

    def test_slowly_sent_head(self):
        """Each byte that arrives must not extend the time limit of the request."""

        async def main():
            async with HTTPServer(echo, read_timeout_s=0.3) as server:
                sock = await curio.open_connection(*server.address)
                async with sock, curio.timeout_after(3):
                    await sock.sendall(b"GET / HTTP/1.1\r\nx: ")
                    reader = await curio.spawn(read_all, sock)
                    while not reader.terminated:
                        try:
                            await sock.sendall(b"a")
                        except OSError:
                            break
                        await curio.sleep(0.05)
                    return parse_responses(await reader.join())

        self.assertEqual(408, run(main)[0][0])

    def test_idle_connection_is_closed_silently(self):
        found, events = self.ask(b"", half_close=False, idle_timeout_s=0.1)
        self.assertEqual(([], []), (found, events))

    def test_pipelined_requests_are_answered_in_order(self):
        found, _ = self.ask(post("/a", b"1") + post("/b", b"22") + GET)
        paths = [body["path"] for _, _, body in found]
        self.assertEqual(["/a", "/b", "/x"], paths)

    def test_garbage_after_a_request(self):
        found, events = self.ask(GET + b"NONSENSE\r\n\r\n")
        self.assertEqual([200, 400], [status for status, _, _ in found])
        self.assertEqual(1, len(events))

    def test_half_closed_while_running(self):
        """A caller that closes only its side gets a response with a result code."""
        data = b"GET /slow HTTP/1.1\r\nhost: h\r\nalmondtide-request-id: r\r\n\r\n"
        found, _ = self.ask(data)
        self.assertEqual(ResultCode.CANCELLED, found[0][2]["code"])
        self.assertEqual("r", found[0][2]["request_id"])
        self.assertFalse(found[0][2]["not_run"])

    def test_handler_errors(self):
        found, events = self.ask(b"GET /refuse HTTP/1.1\r\nhost: h\r\n\r\n")
        self.assertEqual((503, True), (found[0][0], found[0][2]["not_run"]))
        self.assertEqual("5", found[0][1]["almondtide-retry-after-ms"])
        self.assertEqual([], events)
        for path in (b"/crash", b"/timeout"):
            found, events = self.ask(b"GET " + path + b" HTTP/1.1\r\nhost: h\r\n\r\n")
            self.assertEqual(ResultCode.INTERNAL, found[0][2]["code"])
            self.assertEqual(["http_handler_failed"], [name for name, _ in events])

    def test_head_request(self):
        """A body in a response to HEAD would be read as the next response."""
        data = GET.replace(b"GET", b"HEAD")
        raw = run(self._raw_response, data)
        self.assertTrue(raw.startswith(b"HTTP/1.1 200"), raw)
        self.assertTrue(raw.endswith(b"\r\n\r\n"), raw)

    @staticmethod
    async def _raw_response(data):
        async with HTTPServer(echo) as server:
            return await exchange(server.address, data)

    def test_request_id_is_repeated_only_when_valid(self):
        """An invalid id is not sent back and must not cause an internal error."""
        for given_id in (b"caf\xe9", b"a" * 200):
            data = b"GET /refuse HTTP/1.1\r\nhost: h\r\nalmondtide-request-id: "
            found, _ = self.ask(data + given_id + b"\r\n\r\n")
            self.assertEqual(503, found[0][0])
            self.assertNotIn("almondtide-request-id", found[0][1])

    def test_json_bodies(self):
        """Deeply nested bodies exceed the nesting limit of frames between daemons."""
        deep = b"[" * 65 + b"]" * 65
        wide = b"[" + b",".join([b"[]"] * 500) + b"]"
        for body, status in ((b"{", 400), (deep, 400), (wide, 200), (b"1", 200)):
            found, _ = self.ask(post("/json", body))
            self.assertEqual(status, found[0][0], body[:20])

    def test_refused_connection(self):
        async def main():
            ours, theirs = socket_pair()
            ours.sendall(GET)
            async with theirs:
                await refuse_connection(theirs, RefusedError("full"))
            data = b""
            while chunk := ours.recv(65536):
                data += chunk
            ours.close()
            return parse_responses(data)

        found = run(main)
        self.assertEqual(503, found[0][0])
        self.assertEqual("close", found[0][1]["connection"])

    def test_bad_requests_are_counted(self):
        codes = []
        self.ask(b"NONSENSE\r\n\r\n", on_refused=codes.append)
        self.assertEqual([ResultCode.BAD_REQUEST], codes)


REQUEST_PARTS = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            GET,
            b"GET / HTTP/1.1\r\n",
            b"POST /json HTTP/1.1\r\nhost: h\r\n",
            b"HEAD / HTTP/1.1\r\nhost: h\r\n\r\n",
            b"CONNECT a:1 HTTP/1.1\r\nhost: h\r\n\r\n",
            b"connection: upgrade\r\nupgrade: websocket\r\n",
            b"content-length: 3\r\n",
            b"content-length: 99999999999999999999\r\n",
            b"transfer-encoding: chunked\r\n",
            b"expect: 100-continue\r\n",
            b"connection: close\r\n",
            b"almondtide-request-id: \xff\r\n",
            b"\r\n",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
            b"{}",
        ]
    ),
)


class RawBytesTest(testtools.TestCase):
    """Checks that any input gets a response and no handler failure."""

    @settings(max_examples=400, deadline=None)
    @given(st.lists(REQUEST_PARTS, min_size=1, max_size=8))
    def test_any_bytes(self, parts):
        data = b"".join(parts)

        async def handler(request):
            if request.path == "/json":
                request.json()
            if request.method == "POST" and request.body == b"abc":
                raise BadRequestError("no")
            return json_response(200, {})

        async def main():
            ours, theirs = socket_pair()
            log = MemoryLog()
            ours.sendall(data)
            ours.shutdown(1)
            async with theirs:
                await serve_http(theirs, handler, log=log)
            answer = b""
            while chunk := ours.recv(65536):
                answer += chunk
            ours.close()
            return answer, log.names()

        answer, names = run(main)
        self.assertNotIn("http_handler_failed", names)
        if data.strip(b"\r\n"):
            self.assertTrue(answer.startswith(b"HTTP/1.1 "), (data, answer))


class BrokenOffTest(testtools.TestCase):
    """Guards against a response that broke off halfway and counts as complete."""

    def _request(self, *parts):
        async def scenario():
            ours, theirs = socket_pair()
            client = HTTPClient(theirs, "h")
            task = await curio.spawn(client.request, "GET", "/")
            await curio.run_in_thread(ours.recv, 65536)
            for part in parts:
                ours.sendall(part)
            ours.close()
            try:
                return await task.join()
            except curio.TaskError as exc:
                return exc.__cause__

        return run(scenario)

    def test_what_ends_early_is_an_error(self):
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        for data in (
            b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nabcd",
            chunked + b"4\r\nabcd\r\n",
            chunked + b"8\r\nabcd",
            b"HTTP/1.1 200 OK\r\ncontent-le",
            b"",
        ):
            result = self._request(data)
            self.assertIsInstance(result, UpstreamError, data)
            self.assertFalse(result.not_run)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        for size in range(len(head)):
            self.assertIsInstance(self._request(head[:size]), UpstreamError, size)

    def test_bytes_after_a_response_belong_to_no_request(self):
        # A copy of a response in the same segment, and of one without a body.
        for response in (
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold",
            b"HTTP/1.1 204 No Content\r\n\r\n",
        ):

            async def scenario(response=response):
                ours, theirs = socket_pair()
                client = HTTPClient(theirs, "h")
                task = await curio.spawn(client.request, "GET", "/")
                await curio.run_in_thread(ours.recv, 65536)
                ours.sendall(response + response)
                await task.join()
                ours.close()
                return client.is_usable

            self.assertFalse(run(scenario), response)

    def test_a_body_without_length_ends_with_the_connection(self):
        result = self._request(b"HTTP/1.1 200 OK\r\n\r\nabcd")
        self.assertEqual(b"abcd", result.body)
