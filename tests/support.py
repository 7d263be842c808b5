"""Helpers for tests with sockets, HTTP and curio."""

import socket
import time

import curio
import curio.io
import orjson

from almondtide.adapters.http import serve_http
from almondtide.adapters.listener import Listener


class MemoryLog:
    """Records log events in ``events`` as (name, fields)."""

    def __init__(self):
        self.events = []

    def _record(self, name, **fields):
        self.events.append((name, fields))

    info = warning = refusal = error = debug = trace = _record

    def names(self):
        return [name for name, _ in self.events]


def socket_pair():
    """Return a blocking socket for the test and a curio socket for the server."""
    ours, theirs = socket.socketpair()
    ours.settimeout(10)
    theirs.setblocking(False)
    return ours, curio.io.Socket(theirs)


def run(function, *args, timeout_s=20):
    """Run an async function in a new curio kernel with a timeout."""

    async def bounded():
        async with curio.timeout_after(timeout_s):
            return await function(*args)

    return curio.run(bounded)


class StallMeter:
    """Measures the longest stall of the kernel of a test, ``longest_s``."""

    TICK_S = 0.02

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        """Measure until cancelled."""
        ticked_at = time.monotonic()
        while True:
            await curio.sleep(self.TICK_S)
            now = time.monotonic()
            self.longest_s = max(self.longest_s, now - ticked_at - self.TICK_S)
            ticked_at = now


class HTTPServer:
    """Serves ``handler`` on a loopback port in the kernel of the test."""

    def __init__(self, handler, **options):
        self.log = MemoryLog()
        self.options = options
        self.handler = handler
        self.listener = Listener(("127.0.0.1", 0), self._serve, self.log)

    async def _serve(self, sock, address):
        await serve_http(sock, self.handler, log=self.log, **self.options)

    async def __aenter__(self):
        await self.listener.start()
        return self

    async def __aexit__(self, *details):
        await self.listener.close()

    @property
    def address(self):
        return self.listener.address

    async def wait_drained(self):
        """Wait until no connection is open; returns False after two seconds."""
        for _ in range(200):
            if self.listener.connection_count == 0:
                return True
            await curio.sleep(0.01)
        return False


async def exchange(address, data, half_close=True):
    """Send raw bytes and return all bytes received until the connection closes."""
    sock = await curio.open_connection(*address)
    async with sock:
        await sock.sendall(data)
        if half_close:
            await sock.shutdown(socket.SHUT_WR)
        return await read_all(sock)


async def read_all(sock):
    chunks = []
    while True:
        try:
            data = await sock.recv(65536)
        except ConnectionError:
            break
        if not data:
            break
        chunks.append(data)
    return b"".join(chunks)


def parse_responses(data):
    """Return (status, headers, JSON body) of each response in ``data``."""
    found = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            raise AssertionError(f"cut off response: {data!r}")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            raise AssertionError(f"cut off body: {data!r}")
        body = orjson.loads(rest[:length]) if length else None
        found.append((int(lines[0].split()[1]), headers, body))
        data = rest[length:]
    return found
