"""Stand-in for a server of a service, as PROTOCOL.md describes it."""

import asyncio
import hashlib
import os
import socket
import time

from .http import read_message, render

__all__ = ["Server", "ports_of_process", "records_of"]

RECORDS = 4
KEEP_ALIVE_S = 60


def records_of(service, request_id):
    """Return the records with which a service answers a request."""
    return b"".join(
        hashlib.blake2b(
            f"{service}/{request_id}/{number}".encode(), digest_size=16
        ).digest()
        for number in range(RECORDS)
    )


class Server:
    """One server: runs ``slots`` requests at once and queues ``queue`` more.

    ``record(event, **fields)`` writes a line. The case replaces ``answer`` to change
    what a run answers, and ``before_run`` to act as a run begins.
    """

    def __init__(
        self, id, service, zone, store, record, slots=3, queue=12, work_s=0.02
    ):
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.port = 0
        self.born_ms = int(time.time() * 1000) - 60_000
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.headers = {}
        # Statuses by path prefix of runs that end with another one than 200.
        self.statuses = {}
        self.before_run = None
        self.refuse = None
        self.is_beating = True
        self.after_answer = None
        self.before_answer = None
        self.writers = {}
        self._store = store
        self._record = record
        self._sequence = 0
        self._server = None
        self._slot_free = None

    async def start(self):
        """Listen, on a free port at the first time, and register."""
        await self.listen()
        self.register()

    async def listen(self):
        """Accept connections (again), on the port of before."""
        self._slot_free = asyncio.Condition()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=256, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self):
        """Refuse new connections; open ones live on."""
        self._server.close()

    def register(self, state="ready"):
        """Write the entry of a heartbeat to the store."""
        self._sequence += 1
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "capacity": self.slots,
                "state": state,
                "warmup_left_ms": 0,
                "sequence": self._sequence,
                "born": self.born_ms,
            },
        )

    def crash(self):
        """End at once: no listener, and all connections are reset."""
        self._server.close()
        self.reset_connections(lambda port: True)

    def reset_connections(self, is_chosen):
        """Reset the open connections whose caller's port is chosen."""
        for writer, port in list(self.writers.items()):
            if is_chosen(port):
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        b"\x01\x00\x00\x00\x00\x00\x00\x00",
                    )
                writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers[writer] = writer.get_extra_info("peername")[1]
        try:
            while (request := await read_message(reader)) is not None:
                data = await self._respond(request, writer)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
                if self.after_answer is not None:
                    await self.after_answer(request, data, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            del self.writers[writer]
            writer.close()

    def _answer(self, status, reason, request_id, body=b"", **headers):
        pairs = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}", **self.headers}
        if request_id:
            pairs["Request-Id"] = request_id
        pairs.update({name.replace("_", "-"): text for name, text in headers.items()})
        return render(f"HTTP/1.1 {status} {reason}", pairs, body)

    async def _respond(self, request, writer):
        request_id = request.headers.get("request-id")
        if request.target.startswith("/health"):
            return self._answer(200, "OK", None, Instance_Id=self.id)
        if not request_id:
            return self._answer(400, "Bad Request", None, Not_Run="1")
        if self.before_answer is not None:
            await self.before_answer(request, writer)
        if request.headers.get("expect-instance", self.id) != self.id:
            return self._answer(421, "Misdirected Request", request_id, Not_Run="1")
        if self.refuse is not None:
            refusal = self.refuse(request)
            if refusal is not None:
                status, headers = refusal
                return self._answer(status, "No", request_id, Not_Run="1", **headers)
        if self.running >= self.slots and self.waiting >= self.queue:
            self._record("full", server=self.id, id=request_id)
            return self._answer(503, "Full", request_id, Not_Run="1")
        end = time.monotonic() + float(request.headers.get("deadline-ms", 30000)) / 1000
        self.waiting += 1
        try:
            async with self._slot_free:
                await self._slot_free.wait_for(lambda: self.running < self.slots)
        finally:
            self.waiting -= 1
        if time.monotonic() >= end:
            return self._answer(503, "Late", request_id, Not_Run="1")
        return await self._run(request, request_id, writer)

    async def _run(self, request, request_id, writer):
        self.running += 1
        run = {"id": request_id, "at": time.monotonic(), "server": self.id}
        self.runs.append(run)
        self._record(
            "run",
            server=self.id,
            id=request_id,
            method=request.method,
            target=request.target,
        )
        try:
            if self.before_run is not None and await self.before_run(request, writer):
                return None
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            async with self._slot_free:
                self._slot_free.notify()
        for prefix, (status, reason) in self.statuses.items():
            if request.target.startswith(prefix):
                stamp = self.stamp(request_id)
                return self._answer(status, reason, request_id, Server_Stamp=stamp)
        body = request.body or records_of(self.service, request_id)
        stamp = self.stamp(request_id)
        return self._answer(200, "OK", request_id, body, Server_Stamp=stamp)

    def stamp(self, request_id):
        """Return the signature of an answer."""
        text = f"{self.id}/{request_id}"
        return hashlib.blake2b(text.encode(), digest_size=10).hexdigest()


def ports_of_process(pid):
    """Return the local TCP ports of the sockets of a process."""
    inodes = set()
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    ports = set()
    with open("/proc/net/tcp") as file:
        for line in file.readlines()[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports
