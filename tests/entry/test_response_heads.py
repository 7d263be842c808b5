"""Tests of responses that are none by HTTP, against both readers of responses."""

import time

import testtools

from almondtide.adapters.http import HTTPClient
from almondtide.entry.connections import ConnectionPool
from almondtide.entry.upstreams import Failure, Upstream
from almondtide.errors import UpstreamError
from tests.entry.support import make_server
from tests.entry.test_connections import _Exchange, _Server
from tests.support import MemoryLog, run

FIELDS = b"Server-Stamp: s\r\nRequest-Id: id-1\r\nContent-Length: 2\r\n\r\nok"
# Start lines of responses that RFC 9110 (section 15) and RFC 9112 (section 2.3) allow.
VALID = {
    b"HTTP/1.1 200 OK": 200,
    b"HTTP/1.0 200 OK": 200,
    b"HTTP/1.1 299": 299,
    b"HTTP/1.1 404 Not Found": 404,
    b"HTTP/1.1 599 Odd": 599,
}
INVALID = (
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 001 Trouble",
    b"HTTP/1.1 099 Trouble",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 600 Trouble",
    b"HTTP/1.1 999 Trouble",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/9.9 503 Full",
    b"HTTQ/1.1 200 OK",
)


async def _pool_result(start_line, is_at_most_once):
    """Return the status of a reply that the pool passes on, or the ``Failure``."""
    async with _Server([[start_line + b"\r\n" + FIELDS, "close"]]) as server:
        pool = ConnectionPool(time.monotonic, MemoryLog())
        upstream = Upstream(make_server("i-1", port=server.port))
        exchange = _Exchange(upstream, is_at_most_once=is_at_most_once)
        await pool.send(exchange)
        await exchange.done.wait()
    return getattr(exchange.result, "status", exchange.result)


async def _client_result(start_line):
    """Return the status that ``HTTPClient`` returns, or "no response"."""
    async with _Server([[start_line + b"\r\n" + FIELDS, "close"]]) as server:
        client = await HTTPClient.open(("127.0.0.1", server.port))
        try:
            return (await client.request("GET", "/")).status
        except UpstreamError:
            return "no response"
        finally:
            await client.close()


class ResponseHeadTest(testtools.TestCase):
    """Guards against bytes that callers, or the tier itself, take for a response."""

    def test_responses_of_servers(self):
        for start_line, status in VALID.items():
            self.assertEqual(status, run(_pool_result, start_line, False), start_line)
        # The request may have run, so an at-most-once one is not sent again.
        for start_line in INVALID:
            for flag in (False, True):
                found = run(_pool_result, start_line, flag)
                self.assertIs(Failure.BROKEN, found, start_line)

    def test_responses_of_the_store_of_daemons_and_of_upstreams(self):
        for start_line, status in VALID.items():
            self.assertEqual(status, run(_client_result, start_line), start_line)
        for start_line in INVALID:
            found = run(_client_result, start_line)
            self.assertEqual("no response", found, start_line)
