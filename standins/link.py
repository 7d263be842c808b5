"""Forwarding link between two processes that injects faults on command."""

import json
import random

import curio
import orjson
from absl import logging
from curio import socket

from almondtide.adapters.http import json_response, serve_http
from almondtide.adapters.listener import Listener, connect
from almondtide.logs import Log

__all__ = ["Link", "LinkSet"]

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
HOLD_POLL_S = 0.01
# A piece of a reply waits this long for one of another connection to be exchanged with.
CROSS_WAIT_S = 0.05

# Faults of a piece of a reply; ``behaviour`` has the share of each.
REPLY_FAULTS = ("duplicate", "truncate", "cross", "endless")
DEFAULT_BEHAVIOUR = {
    "cut": False,
    "hold": False,
    "delay_ms": 0.0,
    "duplicate_share": 0.0,
    "truncate_share": 0.0,
    "cross_share": 0.0,
    "endless_share": 0.0,
    "endless_part_bytes": 1,
}
# Bytes that an endless reply sends at once, and after which it ends by itself.
ENDLESS_BLOCK_BYTES = 16384
MAX_ENDLESS_BYTES = 64 << 20


class _WaitingReply:
    """A piece of a reply that waits to be exchanged with one of another connection."""

    __slots__ = ("data", "exchanged")

    def __init__(self, data):
        self.data = data
        self.exchanged = curio.Event()


class Link:
    """Forwards connections from one local port to ``target``.

    ``behaviour`` holds the present faults. ``cut`` closes all connections and each
    new one. ``hold`` keeps connections open and forwards no data until it is reset;
    the data arrives late then. ``delay_ms`` delays each piece of data, in both
    directions. A piece is what one receive call returns. Each share is that of the
    pieces of replies with a fault: ``duplicate_share`` are sent twice,
    ``truncate_share`` are cut in half and the connection is closed,
    ``cross_share`` are exchanged with a piece of another connection, and
    ``endless_share`` get a body in chunks of ``endless_part_bytes`` that does not end.
    """

    def __init__(self, name, port, target, seed=1):
        host, _, target_port = target.rpartition(":")
        self.name = name
        self.target = (host, int(target_port))
        self.rng = random.Random(f"{name}/{seed}")
        self.behaviour = dict(DEFAULT_BEHAVIOUR)
        self.listener = Listener(("127.0.0.1", port), self._serve)
        self.waiting_reply = None
        self.counts = dict.fromkeys(("connections", *REPLY_FAULTS), 0)
        self._open_sockets = set()

    async def start(self):
        """Start forwarding."""
        await self.listener.start()

    async def change(self, behaviour):
        """Update ``behaviour``; ``cut`` closes the open connections at once."""
        self.behaviour.update(behaviour)
        if self.behaviour["cut"]:
            for sock in list(self._open_sockets):
                _shut_down(sock)

    async def _serve(self, client, address):
        if self.behaviour["cut"]:
            return
        try:
            server = await connect(self.target, CONNECT_TIMEOUT_S)
        except (OSError, curio.TaskTimeout):
            return
        self.counts["connections"] += 1
        self._open_sockets.update((client, server))
        try:
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._forward_requests, client, server)
                await group.spawn(self._forward_replies, server, client)
        finally:
            self._open_sockets.difference_update((client, server))

    async def _receive(self, sock):
        try:
            data = await sock.recv(RECEIVE_BYTES)
        except OSError:
            return b""
        if data and self.behaviour["delay_ms"]:
            await curio.sleep(self.behaviour["delay_ms"] / 1000.0)
        while self.behaviour["hold"] and not self.behaviour["cut"]:
            await curio.sleep(HOLD_POLL_S)
        return data

    async def _forward_requests(self, source, sink):
        while data := await self._receive(source):
            try:
                await sink.sendall(data)
            except OSError:
                return

    async def _forward_replies(self, source, sink):
        while data := await self._receive(source):
            kind = self._draw_fault()
            try:
                if kind == "truncate":
                    await sink.sendall(data[: len(data) // 2])
                    return
                if kind == "endless":
                    await self._send_endless(data, sink)
                    return
                if kind == "cross":
                    data = await self._exchange_reply(data)
                await sink.sendall(data)
                if kind == "duplicate":
                    await sink.sendall(data)
            except OSError:
                return

    def _draw_fault(self):
        """Return the fault that the next piece of a reply gets, or None."""
        draw = self.rng.random()
        for kind in REPLY_FAULTS:
            draw -= self.behaviour[f"{kind}_share"]
            if draw < 0:
                self.counts[kind] += 1
                return kind
        return None

    async def _send_endless(self, data, sink):
        """Send the head of a reply with a body that only the receiver ends."""
        lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        lines = [x for x in lines if not x.lower().startswith(b"content-length:")]
        await sink.sendall(
            b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""])
        )
        size = self.behaviour["endless_part_bytes"]
        chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
        block = chunk * max(1, ENDLESS_BLOCK_BYTES // len(chunk))
        for _ in range(MAX_ENDLESS_BYTES // len(block)):
            await sink.sendall(block)

    async def _exchange_reply(self, data):
        """Exchange ``data`` with the piece that waits, or wait for the next piece.

        Returns ``data`` itself when no piece arrives in time.
        """
        other, self.waiting_reply = self.waiting_reply, None
        if other is not None:
            other.data, data = data, other.data
            await other.exchanged.set()
            return data
        own = self.waiting_reply = _WaitingReply(data)
        async with curio.ignore_after(CROSS_WAIT_S):
            await own.exchanged.wait()
        if self.waiting_reply is own:
            self.waiting_reply = None
        return own.data


def _shut_down(sock):
    try:
        sock._socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class LinkSet:
    """All links of a fleet in one process, with one control address.

    ``POST /control`` takes ``{"links": [name, ...] | null, "set": {...}}``; null
    means all links.
    """

    def __init__(self, control_port, links):
        self.links = {link.name: link for link in links}
        self.listener = Listener(("127.0.0.1", control_port), self._serve)
        self.log = Log(component="link")

    async def start(self):
        """Start all links, then the control address."""
        for link in self.links.values():
            await link.start()
        await self.listener.start()

    async def _serve(self, sock, address):
        await serve_http(sock, self._handle, log=self.log)

    async def _handle(self, request):
        if request.method == "POST":
            command = orjson.loads(request.body)
            for name in command.get("links") or list(self.links):
                await self.links[name].change(command["set"])
        return json_response(200, {n: link.counts for n, link in self.links.items()})


async def _run_links(control_port, links):
    await LinkSet(control_port, [Link(**item) for item in links]).start()
    await curio.Event().wait()


def main(*, control_port: int, links: str):
    """Run forwarding links on 127.0.0.1.

    :param control_port: TCP port of the control address
    :param links: JSON list of objects with name, port, target and seed
    """
    logging.set_verbosity(logging.WARNING)
    curio.run(_run_links, control_port, json.loads(links))


if __name__ == "__main__":
    import defopt

    defopt.run(main)
