"""Callers that send requests to the entries the tier lists, and record them."""

import http.client
import json
import random
import select
import socket
import struct
import sys
import threading
import time

from standins.dataset import make_query

from .history import Call

__all__ = ["Caller", "CallerPool", "make_revision_body", "query_body_factory"]

ANSWER_GRACE_S = 2.0
ENTRIES_TIMEOUT_S = 2.0
ENTRIES_RETRY_PAUSE_S = 0.05
KEY_SPACE_SIZE = 65536
# Option of Linux that states when the kernel received the data that a call returns;
# the socket module does not name it.
SO_TIMESTAMPNS = 35
TIMESTAMP = struct.Struct("@qq")


class _Connections:
    """Keep-alive connections of one caller, one for each address."""

    def __init__(self):
        self._open = {}

    def send_request(self, address, method, path, body, headers, timeout_s):
        """Return (status, headers, content, received_at).

        ``received_at`` is when the response reached this machine's kernel, on the
        monotonic clock: a caller's thread may read it much later, because all
        callers share one process. Raises OSError or HTTPException.
        """
        conn = self._open.pop(address, None)
        if conn is not None and _is_closed(conn):
            conn.close()
            conn = None
        if conn is None:
            host, _, port = address.rpartition(":")
            conn = http.client.HTTPConnection(host, int(port))
        try:
            conn.timeout = timeout_s
            if conn.sock is None:
                conn.connect()
                if sys.platform == "linux":
                    conn.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            conn.sock.settimeout(timeout_s)
            conn.request(method, path, body, headers)
            received_at = _wait_for_data(conn.sock)
            response = conn.getresponse()
            content = response.read()
        except BaseException:
            conn.close()
            raise
        if response.will_close:
            conn.close()
        else:
            self._open[address] = conn
        return response.status, response.headers, content, received_at

    def close(self):
        for conn in self._open.values():
            conn.close()


def _is_closed(conn):
    """Return whether the daemon has closed the idle connection."""
    return conn.sock is None or bool(select.select([conn.sock], [], [], 0)[0])


def _wait_for_data(sock):
    """Wait for the first data; return when the kernel received it.

    Without a timestamp of the kernel, this is the time of the read.
    """
    space = socket.CMSG_SPACE(TIMESTAMP.size)
    _, ancillary, _, _ = sock.recvmsg(1, space, socket.MSG_PEEK)
    read_at = time.monotonic()
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESTAMP.unpack(data)
            age_s = time.time() - (seconds + nanoseconds / 1e9)
            return min(read_at, time.monotonic() - age_s)
    return read_at


class Caller:
    """A caller that connects directly to the entries listed by the tier.

    It uses a list of entries until the list reaches its maximum age.
    ``addresses`` are the addresses that it knows before it has a list.
    ``duplicate_sender`` is a caller that sends the same request at the same time,
    or None.
    """

    def __init__(self, number, seed, addresses, workload):
        self.number = number
        self.rng = random.Random(f"{seed}/caller/{number}")
        self.workload = workload
        self.calls = []
        self.duplicate_sender = None
        self._initial_addresses = list(addresses)
        self._entries = []
        self._execution_prefix = None
        self._entries_expire_at = 0.0
        self._connections = _Connections()
        self._marker_count = 0

    def expire_entries(self):
        """Fetch the list of entries again before the next request."""
        self._entries_expire_at = 0.0

    def refresh_entries(self):
        """Fetch the list of entries if the last one is too old."""
        while time.monotonic() >= self._entries_expire_at:
            requested_at = time.monotonic()
            address = self.rng.choice(self._entries or self._initial_addresses)
            try:
                _, _, content, _ = self._connections.send_request(
                    address, "GET", "/v1/entries", None, {}, ENTRIES_TIMEOUT_S
                )
                report = json.loads(content)
                entries = [item["address"] for item in report["entries"]]
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                entries = []
            if not entries:
                self._entries = []
                time.sleep(ENTRIES_RETRY_PAUSE_S)
                continue
            self._entries = entries
            self._execution_prefix = report["execution_prefix"]
            self._entries_expire_at = requested_at + report["max_age_ms"] / 1000.0

    def next_marker(self):
        """Return a marker that no other request has."""
        self._marker_count += 1
        return f"m{self.number}-{self._marker_count}"

    def query(self, body, deadline_s):
        """Send a query and return its ``Call``."""
        return self._send("query", body, deadline_s, None)

    def make_execution_id(self, body):
        """Return a new execution id for a revision request."""
        self.refresh_entries()
        return f"{self._execution_prefix}~{body['marker']}"

    def revise(self, body, deadline_s, execution_id=None):
        """Send a revision request and return its ``Call``."""
        if execution_id is None:
            execution_id = self.make_execution_id(body)
        return self._send("revise", body, deadline_s, execution_id)

    def _send(self, kind, body, deadline_s, execution_id):
        self.refresh_entries()
        call = Call(
            f"{body['marker']}/{self.number}.{len(self.calls)}",
            kind,
            body,
            self.rng.choice(self._entries),
            deadline_s,
            execution_id=execution_id,
        )
        headers = {
            "almondtide-request-id": call.request_id,
            "almondtide-deadline-ms": str(deadline_s * 1000),
        }
        if execution_id is not None:
            headers["almondtide-execution-id"] = execution_id
        content = json.dumps(body)
        call.sent = time.monotonic()
        try:
            status, response_headers, content, call.received = (
                self._connections.send_request(
                    call.entry,
                    "POST",
                    f"/v1/workloads/{self.workload}/{kind}",
                    content,
                    headers,
                    deadline_s + ANSWER_GRACE_S,
                )
            )
            call.answer = json.loads(content)
            call.status = status
            call.header_request_id = response_headers.get("almondtide-request-id")
        except (OSError, http.client.HTTPException, ValueError) as exc:
            call.error = repr(exc)
            call.received = time.monotonic()
        self.calls.append(call)
        if call.status is None:
            self.expire_entries()
        return call

    def note_core_waits(self, sampler):
        """Set the core waits of all calls from a ``CoreWaitSampler`` by address."""
        for call in self.calls:
            call.core_waits_s = {
                address: sampler.wait_s(address, call.sent, call.received)
                for address in sampler.names
            }
            call.core_wait_s = sum(
                call.core_waits_s[address] for address in self._path_addresses(call)
            )

    def _path_addresses(self, call):
        """Return the addresses of the daemons that a refusal may pass through.

        That of an execution comes from its home or from any owner.
        """
        if call.kind == "revise":
            return {call.entry, *self._initial_addresses}
        return {call.entry}

    def close(self):
        """Close all connections."""
        self._connections.close()


def query_body_factory(kind):
    """Return a function that makes distinct query bodies for the data set ``kind``."""

    def make_body(caller):
        body = make_query(kind, caller.rng)
        return {**body, "marker": caller.next_marker()}

    return make_body


def make_revision_body(caller):
    """Return the body of a revision request, with a unique marker."""
    return {"key": caller.rng.randrange(KEY_SPACE_SIZE), "marker": caller.next_marker()}


class CallerPool:
    """Runs each caller in a thread that calls ``step(caller)`` repeatedly.

    ``step`` sends one or more requests. ``pause_s`` is the mean pause between two
    calls of ``step`` in a thread.
    """

    def __init__(self, callers, step, pause_s=0.02):
        self.callers = callers
        self.pause_s = pause_s
        self._step = step
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(caller,), daemon=True)
            for caller in callers
        ]
        self.failures = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for caller in self.callers:
            caller.close()
            if caller.duplicate_sender is not None:
                caller.duplicate_sender.close()
        if self.failures and details[0] is None:
            raise self.failures[0]

    def _run(self, caller):
        try:
            while not self._stop.wait(caller.rng.uniform(0, 2 * self.pause_s)):
                self._step(caller)
        except Exception as exc:
            self.failures.append(exc)

    def _senders(self):
        duplicate_senders = [
            caller.duplicate_sender
            for caller in self.callers
            if caller.duplicate_sender is not None
        ]
        return [*self.callers, *duplicate_senders]

    def finished_count(self):
        """Return how many requests were answered or failed so far."""
        return sum(len(caller.calls) for caller in self._senders())

    def calls(self):
        """Return all calls in the order in which they were sent."""
        merged = [call for caller in self._senders() for call in caller.calls]
        return sorted(merged, key=lambda call: call.sent)
