"""A configuration raises the limit of headers while callers keep connections open."""

import os
import sys
import tempfile

import curio
import h11

from review.second.fleet import BOUNDS, Record, ReviewFleet, finish
from standins.entry_fleet import PORTS, make_configuration

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONNECTIONS_PER_ENTRY = 8
ENTRIES = 3
HEADER_BYTES = 10_000
LIMITS = {
    "max_body_bytes": 262144,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 30000,
}
SMALL_LIMIT_BYTES = 8192
LARGE_LIMIT_BYTES = 16384
ANSWER_TIMEOUT_S = 3.0
FIRST_PART_BYTES = 9000
PART_DELAY_S = 0.02


def configuration(version, max_header_bytes):
    """Return a configuration with a limit of the headers."""
    limits = {**LIMITS, "max_header_bytes": max_header_bytes}
    return make_configuration(version, limits=limits)


class KeptConnection:
    """A connection of a client that is used for several requests."""

    def __init__(self, sock):
        self._sock = sock
        self._conn = h11.Connection(h11.CLIENT)

    async def request(self, request_id, extra_bytes=0):
        """Send a search and return the status of its answer."""
        headers = [
            ("host", "search.example"),
            ("request-id", request_id),
            ("deadline-ms", "2000"),
        ]
        if extra_bytes:
            headers.append(("session", "s" * extra_bytes))
        conn = self._conn
        head = h11.Request(method="GET", target="/search/x", headers=headers)
        wire = conn.send(head) + conn.send(h11.EndOfMessage())
        async with curio.timeout_after(ANSWER_TIMEOUT_S):
            # A long head arrives in several packets.
            await self._sock.sendall(wire[:FIRST_PART_BYTES])
            await curio.sleep(PART_DELAY_S)
            await self._sock.sendall(wire[FIRST_PART_BYTES:])
            status = None
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await self._sock.recv(65536))
                elif type(event) is h11.Response:
                    status = event.status_code
                elif type(event) is h11.EndOfMessage:
                    break
                elif type(event) is h11.ConnectionClosed:
                    return "closed"
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
        return status

    async def close(self):
        """Close the connection."""
        await self._sock.close()


async def send_all(connections, record, name, extra_bytes=0):
    """Send one request on each connection; return the list of statuses."""
    statuses = []
    for number, connection in enumerate(connections):
        request_id = f"{name}-{number}"
        record.add("sent", request=request_id, header_bytes=extra_bytes)
        try:
            status = await connection.request(request_id, extra_bytes)
        except (OSError, curio.TaskTimeout, h11.RemoteProtocolError) as exc:
            status = type(exc).__name__
        record.add("answered", request=request_id, status=status)
        statuses.append(status)
    return statuses


async def main(folder, record):
    """Run the case; return its exit status."""
    async with ReviewFleet(folder, daemons=ENTRIES, servers=2) as fleet:
        first_bytes = SMALL_LIMIT_BYTES if HAS_TROUBLE else LARGE_LIMIT_BYTES
        await fleet.store.put("op/config", configuration(2, first_bytes))
        await curio.sleep(BOUNDS["config_apply_ms"] / 1000.0 + 1.0)
        connections = []
        for host in fleet.hosts:
            for _ in range(CONNECTIONS_PER_ENTRY):
                sock = await curio.open_connection(host, PORTS["front"])
                connections.append(KeptConnection(sock))
        before = await send_all(connections, record, "before")
        if HAS_TROUBLE:
            await fleet.store.put("op/config", configuration(3, LARGE_LIMIT_BYTES))
            record.add("configuration", version=3, max_header_bytes=LARGE_LIMIT_BYTES)
        # Later than the configuration must be in force, and than the machines settle.
        await curio.sleep(BOUNDS["contact_ms"] / 1000.0 + 2.0)
        after = await send_all(connections, record, "after", HEADER_BYTES)
        for connection in connections:
            await connection.close()
        if before.count(200) < len(before):
            record.add("not_run", statuses=before)
            return 2
        denied = sum(isinstance(s, int) and 400 <= s < 500 for s in after)
        allowed = 5 + (len(before) + len(after)) / 500
        text = (
            f"{denied} of {len(after)} proper requests on kept connections denied"
            f" (at most {allowed:.1f}); {after.count(200)} served"
        )
        return finish(record, denied > allowed, text)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(curio.run(main, folder, Record(sys.argv[1])))
