"""Stand-in for upstream servers: slots, versions, stragglers, crashes, drain."""

import collections
import json
import os
import random

import curio
import orjson
from absl import logging

from almondtide.adapters.http import json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.clock import SystemClock
from almondtide.logs import Log

from .dataset import make_data_set

__all__ = ["UpstreamServer", "UpstreamSpec"]

CRASH_STATUS = 70
COLD_FACTOR = 3.0
HISTORY_LIMIT = 4096
STATES = ("live", "draining")
# Faults of search replies; each is set for a number of replies by a command.
FAULTS = (
    "cut",
    "lost",
    "late",
    "foreign_id",
    "wrong_version",
    "wrong_epoch",
    "wrong_ranges",
    "error",
)
REPORTED_FIELDS = ("state", "slots", "in_use", "index_versions", "epochs")


class UpstreamSpec:
    """What one server is: identity, limits and service time.

    Times are in seconds. ``straggler_share`` of the requests take
    ``straggler_factor`` times longer, and ``shed_share`` are shed although a slot
    is free. For ``cold_s`` after the start, requests take three times longer.
    ``connect_s`` delays the first response on each new connection. ``ranges``
    maps an epoch to the key ranges that the server holds in it; an epoch without
    an entry has the whole index. Status reports are ``status_lag_s`` old.
    """

    DEFAULTS = {
        "cold_s": 0.0,
        "connect_s": 0.0,
        "connections": 65,
        "data_size": 2000,
        "epochs": [1],
        "instance": "upstream",
        "kind": "probes",
        "port": 0,
        "ranges": {},
        "record_path": None,
        "seed": 1,
        "service": "",
        "service_time_s": 0.005,
        "shed_share": 0.0,
        "slots": 3,
        "status_lag_s": 0.0,
        "straggler_factor": 20.0,
        "straggler_share": 0.0,
        "versions": [1],
    }
    # What identifies the server cannot change while it runs.
    FIXED = ("data_size", "instance", "kind", "port", "record_path", "seed", "service")

    __slots__ = tuple(DEFAULTS)

    def __init__(self, **values):
        for name, default in self.DEFAULTS.items():
            setattr(self, name, default)
        for name, value in values.items():
            self.change(name, value)

    def change(self, name, value):
        """Set one field; raises ValueError for an unknown one or a bad value."""
        if name not in self.DEFAULTS:
            known = ", ".join(self.DEFAULTS)
            raise ValueError(f"unknown field {name!r}; known: {known}")
        if name in ("versions", "epochs"):
            _check_numbers(name, value)
        elif name == "ranges":
            value = _parse_ranges(value)
        elif isinstance(self.DEFAULTS[name], (int, float)):
            _check_amount(name, value)
        setattr(self, name, value)

    def holds(self, epoch, ranges):
        """Return whether the server holds all of ``ranges`` in ``epoch``."""
        if epoch not in self.epochs:
            return False
        held = self.ranges.get(epoch)
        return held is None or all(
            any(low <= wanted[0] and wanted[1] <= high for low, high in held)
            for wanted in ranges
        )


def _check_numbers(name, value):
    if not isinstance(value, list) or not all(type(item) is int for item in value):
        raise ValueError(f"{name} must be a list of whole numbers")


def _check_amount(name, value):
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"{name} must be a number that is not negative")


def _parse_ranges(value):
    """Return a dict from epoch to ``[[low, high], ...]``; JSON keys are text."""
    if not isinstance(value, dict):
        raise ValueError("ranges must map an epoch to a list of [low, high]")
    parsed = {}
    for epoch, ranges in value.items():
        for item in ranges:
            if len(item) != 2 or item[0] >= item[1]:
                raise ValueError(f"ranges of epoch {epoch}: {item!r} is no range")
        parsed[int(epoch)] = [list(item) for item in ranges]
    return parsed


class UpstreamServer:
    """One server of a service.

    ``POST /control`` changes fields of the spec and the state while it runs, for
    example ``{"state": "draining"}``, ``{"versions": [2, 3]}``, ``{"slots": 1}``,
    ``{"fault": {"kind": "cut", "count": 2}}``. ``docs/standins.md`` lists all.
    """

    def __init__(self, spec):
        self.spec = spec
        self.data = make_data_set(spec.kind, spec.seed, spec.data_size)
        self.listener = Listener(("127.0.0.1", spec.port), self._serve)
        self.rng = random.Random(f"{spec.instance}/{spec.seed}")
        self.state = "live"
        self.in_use = 0
        self.running = {}
        self.counts = {
            "ran": 0,
            "shed": 0,
            "cancelled": 0,
            "abandoned": 0,
            "refused_connections": 0,
            "largest_in_use": 0,
        }
        self.log = Log(component="upstream", instance=spec.instance)
        self.record = None
        self.started = None
        # Fields that GET /v1/status reports instead of the true ones.
        self.reported = {}
        self._faults = collections.deque()
        self._history = collections.deque(maxlen=HISTORY_LIMIT)
        self._clock = SystemClock()

    async def start(self):
        """Start serving."""
        if self.spec.record_path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.record = os.open(self.spec.record_path, flags, 0o644)
        for version in self.spec.versions:
            # Made here, because a first search that makes the rows is very slow.
            self.data.rows(version)
        self.started = self._clock.monotonic()
        self._remember()
        await self.listener.start()

    def _write(self, event, **fields):
        """Append one line to the record; it survives a crash of the process."""
        if self.record is not None:
            line = json.dumps(
                {
                    "event": event,
                    "server": self.spec.instance,
                    "at": self._clock.monotonic(),
                    **fields,
                }
            )
            os.write(self.record, line.encode() + b"\n")

    async def _serve(self, sock, address):
        if self.listener.connection_count > self.spec.connections:
            self.counts["refused_connections"] += 1
            self._write("connection_refused", open=self.listener.connection_count)
            return
        if self.spec.connect_s:
            await curio.sleep(self.spec.connect_s)

        async def handle(request):
            return await self._handle(request, sock)

        await serve_http(sock, handle, log=self.log, idle_timeout_s=600)

    async def _handle(self, request, sock):
        status = None
        try:
            if request.path == "/v1/search":
                response = await self._search(request, sock)
            elif request.path == "/v1/revise":
                response = await self._revise(request)
            elif request.path.startswith("/v1/requests/"):
                response = await self._cancel(request.path.rpartition("/")[2])
            elif request.path == "/control":
                response = self._control(orjson.loads(request.body))
            elif request.path == "/v1/status":
                status = self._status()
                response = json_response(200, status)
            else:
                response = _refusal(404, "not_found", True)
        except (ValueError, KeyError, TypeError) as exc:
            response = _refusal(400, "bad_request", True, message=str(exc))
        response.headers.update(_state_headers(status or self._truth()))
        for name in ("x-request-id", "x-execution-id"):
            if name in request.headers:
                response.headers["x-request-id"] = request.headers[name]
        return response

    # State and status

    def _truth(self):
        return {
            "state": self.state,
            "slots": self.spec.slots,
            "in_use": self.in_use,
            "index_versions": list(self.spec.versions),
            "epochs": list(self.spec.epochs),
        }

    def _remember(self):
        """Keep the present state for status reports that lag."""
        if self.spec.status_lag_s or not self._history:
            self._history.append((self._clock.monotonic(), self._truth()))

    def _status(self):
        """Return what the status endpoint says, which may lag or mislead."""
        truth = self._truth()
        if self.spec.status_lag_s:
            limit = self._clock.monotonic() - self.spec.status_lag_s
            truth = self._history[0][1]
            for moment, state in self._history:
                if moment <= limit:
                    truth = state
        return {**truth, **self.reported, "counts": self.counts}

    def _control(self, command):
        """Apply a command; nothing of a command with an error is applied."""
        if not isinstance(command, dict):
            raise ValueError("a command must be a JSON object")
        before = self._truth()
        changed = UpstreamSpec(
            **{name: getattr(self.spec, name) for name in UpstreamSpec.DEFAULTS}
        )
        fault = None
        for name, value in command.items():
            if name == "state":
                if value not in STATES:
                    raise ValueError(f"state must be one of {', '.join(STATES)}")
            elif name == "reported":
                _check_reported(value)
            elif name == "fault":
                fault = _parse_fault(value) if value is not None else None
            elif name in UpstreamSpec.FIXED:
                raise ValueError(f"{name} cannot change while the server runs")
            else:
                changed.change(name, value)
        if changed.status_lag_s and not self.spec.status_lag_s:
            self._history.append((self._clock.monotonic(), before))
        self.spec = changed
        self.state = command.get("state", self.state)
        if "reported" in command:
            self.reported = command["reported"] or {}
        if fault is not None:
            self._faults.extend([fault] * fault["count"])
        elif "fault" in command:
            self._faults.clear()
        self._remember()
        self._write("control", command=command)
        return json_response(200, {"counts": self.counts})

    # Requests

    def _refusal_of_work(self, request_id):
        """Return the refusal of new work, or None."""
        code = None
        if self.state == "draining":
            code = "draining"
        elif self.in_use >= self.spec.slots or self.rng.random() < self.spec.shed_share:
            self.counts["shed"] += 1
            code = "shed"
        if code is None:
            return None
        self._write("refused", request_id=request_id, code=code)
        return _refusal(503, code, True)

    def _service_time(self):
        seconds = self.spec.service_time_s * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < self.spec.straggler_share:
            seconds *= self.spec.straggler_factor
        if self._clock.monotonic() - self.started < self.spec.cold_s:
            seconds *= COLD_FACTOR
        return seconds

    async def _work(self, request_id, remaining_s):
        """Occupy a slot; returns None or the code of an early end."""
        seconds = self._service_time()
        cancelled = curio.Event()
        self.running[request_id] = cancelled
        self.in_use += 1
        self.counts["ran"] += 1
        self.counts["largest_in_use"] = max(self.counts["largest_in_use"], self.in_use)
        self._remember()
        outcome = "abandoned"
        try:
            async with curio.ignore_after(min(seconds, max(0.0, remaining_s))):
                await cancelled.wait()
            if cancelled.is_set():
                self.counts["cancelled"] += 1
                outcome = "cancelled"
            else:
                outcome = "deadline_exceeded" if seconds > remaining_s else "done"
            return None if outcome == "done" else outcome
        finally:
            # The caller closed the connection when the outcome is "abandoned".
            if outcome == "abandoned":
                self.counts["abandoned"] += 1
            self.in_use -= 1
            if self.running.get(request_id) is cancelled:
                del self.running[request_id]
            self._remember()
            self._write("end", request_id=request_id, outcome=outcome)

    async def _search(self, request, sock):
        body = orjson.loads(request.body)
        request_id = request.headers.get("x-request-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        version, epoch, ranges = body["index_version"], body["epoch"], body["ranges"]
        refusal = self._refusal_of_work(request_id)
        if refusal is not None:
            return refusal
        if version not in self.spec.versions or not self.spec.holds(epoch, ranges):
            self._write("refused", request_id=request_id, code="snapshot_unavailable")
            return _refusal(409, "snapshot_unavailable", True)
        self._write(
            "search",
            request_id=request_id,
            version=version,
            epoch=epoch,
            ranges=ranges,
            in_use=self.in_use + 1,
            marker=_marker(body["query"]),
        )
        self._crash_if_marked(body["query"])
        fault = self._faults.popleft() if self._faults else None
        ended = await self._work(request_id, remaining_s)
        if ended is not None:
            status = 410 if ended == "cancelled" else 504
            return _refusal(status, ended, False)
        answer = {
            "request_id": request_id,
            "index_version": version,
            "epoch": epoch,
            "ranges": ranges,
            "rows": self.data.search(body["query"], version, ranges),
        }
        if fault is not None:
            return await self._faulty(fault, answer, sock)
        return json_response(200, answer)

    async def _faulty(self, fault, answer, sock):
        """Return a wrong reply, or end the connection by raising OSError."""
        kind = fault["kind"]
        self._write("fault", request_id=answer["request_id"], kind=kind)
        if kind == "late":
            await curio.sleep(fault["delay_s"])
        elif kind == "foreign_id":
            answer["request_id"] = f"other-{answer['request_id']}"
        elif kind == "wrong_version":
            answer["index_version"] += 1
        elif kind == "wrong_epoch":
            answer["epoch"] += 1
        elif kind == "wrong_ranges":
            # The first key is left out, as by a server with an older shard map.
            low, high = answer["ranges"][0]
            answer["ranges"] = [[low + 1, high], *answer["ranges"][1:]]
        elif kind == "error":
            return _refusal(500, "internal", False)
        elif kind == "cut":
            whole = orjson.dumps(answer)
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(whole)
            await sock.sendall(head + whole[: len(whole) // 2])
            raise ConnectionAbortedError("the reply is cut on command")
        else:
            raise ConnectionAbortedError("the reply is lost on command")
        return json_response(200, answer)

    def _crash_if_marked(self, body):
        """End the process for a request that is marked as crashing.

        All servers that run in the same process end with it.
        """
        crash = body.get("crash") if isinstance(body, dict) else None
        if crash is True or (crash is not None and crash == self.spec.service):
            self._write("crash")
            os._exit(CRASH_STATUS)

    async def _revise(self, request):
        body = orjson.loads(request.body)
        execution_id = request.headers.get("x-execution-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        refusal = self._refusal_of_work(execution_id)
        if refusal is not None:
            return refusal
        self._write(
            "revise",
            execution_id=execution_id,
            in_use=self.in_use + 1,
            marker=_marker(body["revision"]),
        )
        self._crash_if_marked(body["revision"])
        ended = await self._work(execution_id, remaining_s)
        if ended is not None:
            return _refusal(410 if ended == "cancelled" else 504, ended, False)
        return json_response(
            200, {"execution_id": execution_id, "server": self.spec.instance}
        )

    async def _cancel(self, request_id):
        event = self.running.get(request_id)
        if event is not None:
            await event.set()
        return json_response(200, {"found": event is not None})


def _marker(body):
    """Return the caller's marker, which ties a record to one request."""
    return body.get("marker") if isinstance(body, dict) else None


def _refusal(status, code, not_run, **fields):
    return json_response(status, {"code": code, "not_run": not_run, **fields})


def _state_headers(state):
    return {
        "x-upstream-state": state["state"],
        "x-index-versions": ",".join(map(str, state["index_versions"])),
        "x-epochs": ",".join(map(str, state["epochs"])),
    }


def _check_reported(value):
    unknown = sorted(set(value or {}) - set(REPORTED_FIELDS))
    if unknown:
        known = ", ".join(REPORTED_FIELDS)
        raise ValueError(f"reported: unknown field {unknown[0]!r}; known: {known}")
    for name in ("index_versions", "epochs"):
        if name in (value or {}):
            _check_numbers(f"reported.{name}", value[name])


def _parse_fault(value):
    if not isinstance(value, dict) or value.get("kind") not in FAULTS:
        raise ValueError(f"fault.kind must be one of {', '.join(FAULTS)}")
    unknown = sorted(set(value) - {"kind", "count", "delay_s"})
    if unknown:
        raise ValueError(f"fault: unknown field {unknown[0]!r}")
    fault = {"count": 1, "delay_s": 0.5, **value}
    _check_amount("fault.delay_s", fault["delay_s"])
    if type(fault["count"]) is not int or fault["count"] < 0:
        raise ValueError("fault.count must be a whole number that is not negative")
    return fault


async def _run(specs):
    for spec in specs:
        await UpstreamServer(spec).start()
    await curio.Event().wait()


def main(*, specs: str):
    """Run upstream stand-ins on 127.0.0.1, all in this process.

    :param specs: JSON list of objects with the fields of UpstreamSpec
    """
    logging.set_verbosity(logging.WARNING)
    curio.run(_run, [UpstreamSpec(**item) for item in json.loads(specs)])


if __name__ == "__main__":
    import defopt

    defopt.run(main)
