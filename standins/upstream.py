"""Stand-in for upstream servers with slots, index versions and faults on command."""

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
COLD_START_FACTOR = 3.0
MAX_STATE_HISTORY = 4096
STATES = ("live", "draining")
# Faults of search replies; a command sets one for the next ``count`` replies.
FAULT_KINDS = (
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
    """Identity, limits and service time of one server.

    Times are in seconds. ``straggler_share`` of the requests take
    ``straggler_factor`` times as long, and ``shed_share`` are shed although a slot
    is free. For ``cold_s`` after the start, requests take three times as long.
    ``connect_s`` delays the first response on each new connection. ``ranges``
    maps an epoch to the key ranges that the server holds in it; in an epoch without
    an entry it holds the whole index. Status reports are ``status_lag_s`` old.
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
    # Fields that identify the server, which cannot change while it runs.
    FIXED_FIELDS = (
        "data_size",
        "instance",
        "kind",
        "port",
        "record_path",
        "seed",
        "service",
    )

    __slots__ = tuple(DEFAULTS)

    def __init__(self, **values):
        for name, default in self.DEFAULTS.items():
            setattr(self, name, default)
        for name, value in values.items():
            self.change(name, value)

    def change(self, name, value):
        """Set one field; raises ValueError for an unknown field or an invalid value."""
        if name not in self.DEFAULTS:
            known = ", ".join(self.DEFAULTS)
            raise ValueError(f"unknown field {name!r}; known: {known}")
        if name in ("versions", "epochs"):
            _check_whole_numbers(name, value)
        elif name == "ranges":
            value = _parse_ranges(value)
        elif isinstance(self.DEFAULTS[name], (int, float)):
            _check_non_negative(name, value)
        setattr(self, name, value)

    def has_ranges(self, epoch, ranges):
        """Return whether the server holds all of ``ranges`` in ``epoch``."""
        if epoch not in self.epochs:
            return False
        held = self.ranges.get(epoch)
        return held is None or all(
            any(low <= wanted[0] and wanted[1] <= high for low, high in held)
            for wanted in ranges
        )


def _check_whole_numbers(name, value):
    if not isinstance(value, list) or not all(type(item) is int for item in value):
        raise ValueError(f"{name} must be a list of whole numbers")


def _check_non_negative(name, value):
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"{name} must be a number that is not negative")


def _parse_ranges(value):
    """Return a dict from epoch to ``[[low, high], ...]``.

    The epochs of ``value`` are strings, as keys of JSON objects are.
    """
    if not isinstance(value, dict):
        raise ValueError("ranges must map an epoch to a list of [low, high]")
    parsed = {}
    for epoch, ranges in value.items():
        for item in ranges:
            if len(item) != 2 or item[0] >= item[1]:
                raise ValueError(f"ranges of epoch {epoch}: {item!r} is not a range")
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
        self.data_set = make_data_set(spec.kind, spec.seed, spec.data_size)
        self.listener = Listener(("127.0.0.1", spec.port), self._serve)
        self.rng = random.Random(f"{spec.instance}/{spec.seed}")
        self.state = "live"
        self.in_use = 0
        self.cancel_events = {}
        self.counts = {
            "ran": 0,
            "shed": 0,
            "cancelled": 0,
            "abandoned": 0,
            "refused_connections": 0,
            "largest_in_use": 0,
        }
        self.log = Log(component="upstream", instance=spec.instance)
        self.record_fd = None
        self.started_at = None
        # Fields that GET /v1/status reports instead of the actual ones.
        self.reported_state = {}
        self._faults = collections.deque()
        self._state_history = collections.deque(maxlen=MAX_STATE_HISTORY)
        self._clock = SystemClock()

    async def start(self):
        """Start serving."""
        if self.spec.record_path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.record_fd = os.open(self.spec.record_path, flags, 0o644)
        for version in self.spec.versions:
            # Makes the rows now. The first search would otherwise make them and be very
            # slow.
            self.data_set.rows(version)
        self.started_at = self._clock.monotonic()
        self._keep_state()
        await self.listener.start()

    def _write_event(self, event, **fields):
        """Append one line to the record file, unbuffered, so that a crash keeps it."""
        if self.record_fd is not None:
            line = json.dumps(
                {
                    "event": event,
                    "server": self.spec.instance,
                    "at": self._clock.monotonic(),
                    **fields,
                }
            )
            os.write(self.record_fd, line.encode() + b"\n")

    async def _serve(self, sock, address):
        if self.listener.connection_count > self.spec.connections:
            self.counts["refused_connections"] += 1
            self._write_event("connection_refused", open=self.listener.connection_count)
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
                response = _error_response(404, "not_found", True)
        except (ValueError, KeyError, TypeError) as exc:
            response = _error_response(400, "bad_request", True, message=str(exc))
        response.headers.update(_state_headers(status or self._current_state()))
        for name in ("x-request-id", "x-execution-id"):
            if name in request.headers:
                response.headers["x-request-id"] = request.headers[name]
        return response

    # State and status

    def _current_state(self):
        return {
            "state": self.state,
            "slots": self.spec.slots,
            "in_use": self.in_use,
            "index_versions": list(self.spec.versions),
            "epochs": list(self.spec.epochs),
        }

    def _keep_state(self):
        """Keep the current state for status reports that lag."""
        if self.spec.status_lag_s or not self._state_history:
            self._state_history.append((self._clock.monotonic(), self._current_state()))

    def _status(self):
        """Return the body of a status report, which may be old or false on command."""
        visible_state = self._current_state()
        if self.spec.status_lag_s:
            visible_until = self._clock.monotonic() - self.spec.status_lag_s
            visible_state = self._state_history[0][1]
            for at, state in self._state_history:
                if at <= visible_until:
                    visible_state = state
        return {**visible_state, **self.reported_state, "counts": self.counts}

    def _control(self, command):
        """Apply a command; an invalid one raises ValueError and changes nothing."""
        if not isinstance(command, dict):
            raise ValueError("a command must be a JSON object")
        before = self._current_state()
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
            elif name in UpstreamSpec.FIXED_FIELDS:
                raise ValueError(f"{name} cannot change while the server runs")
            else:
                changed.change(name, value)
        if changed.status_lag_s and not self.spec.status_lag_s:
            self._state_history.append((self._clock.monotonic(), before))
        self.spec = changed
        self.state = command.get("state", self.state)
        if "reported" in command:
            self.reported_state = command["reported"] or {}
        if fault is not None:
            self._faults.extend([fault] * fault["count"])
        elif "fault" in command:
            self._faults.clear()
        self._keep_state()
        self._write_event("control", command=command)
        return json_response(200, {"counts": self.counts})

    # Requests

    def _refuse_new_work(self, request_id):
        """Return the response that refuses a new request, or None to accept it."""
        code = None
        if self.state == "draining":
            code = "draining"
        elif self.in_use >= self.spec.slots or self.rng.random() < self.spec.shed_share:
            self.counts["shed"] += 1
            code = "shed"
        if code is None:
            return None
        self._write_event("refused", request_id=request_id, code=code)
        return _error_response(503, code, True)

    def _draw_service_time_s(self):
        service_time_s = self.spec.service_time_s * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < self.spec.straggler_share:
            service_time_s *= self.spec.straggler_factor
        if self._clock.monotonic() - self.started_at < self.spec.cold_s:
            service_time_s *= COLD_START_FACTOR
        return service_time_s

    async def _run_in_slot(self, request_id, remaining_s):
        """Occupy a slot for the service time; returns None or the code of a failure."""
        service_time_s = self._draw_service_time_s()
        cancel_event = curio.Event()
        self.cancel_events[request_id] = cancel_event
        self.in_use += 1
        self.counts["ran"] += 1
        self.counts["largest_in_use"] = max(self.counts["largest_in_use"], self.in_use)
        self._keep_state()
        outcome = "abandoned"
        try:
            async with curio.ignore_after(min(service_time_s, max(0.0, remaining_s))):
                await cancel_event.wait()
            if cancel_event.is_set():
                self.counts["cancelled"] += 1
                outcome = "cancelled"
            else:
                outcome = (
                    "deadline_exceeded" if service_time_s > remaining_s else "done"
                )
            return None if outcome == "done" else outcome
        finally:
            # The outcome is still "abandoned" if the caller closed the connection.
            if outcome == "abandoned":
                self.counts["abandoned"] += 1
            self.in_use -= 1
            if self.cancel_events.get(request_id) is cancel_event:
                del self.cancel_events[request_id]
            self._keep_state()
            self._write_event("end", request_id=request_id, outcome=outcome)

    async def _search(self, request, sock):
        body = orjson.loads(request.body)
        request_id = request.headers.get("x-request-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        version, epoch, ranges = body["index_version"], body["epoch"], body["ranges"]
        refusal = self._refuse_new_work(request_id)
        if refusal is not None:
            return refusal
        if version not in self.spec.versions or not self.spec.has_ranges(epoch, ranges):
            self._write_event(
                "refused", request_id=request_id, code="snapshot_unavailable"
            )
            return _error_response(409, "snapshot_unavailable", True)
        self._write_event(
            "search",
            request_id=request_id,
            version=version,
            epoch=epoch,
            ranges=ranges,
            in_use=self.in_use + 1,
            marker=_get_marker(body["query"]),
        )
        self._crash_if_requested(body["query"])
        fault = self._faults.popleft() if self._faults else None
        failure_code = await self._run_in_slot(request_id, remaining_s)
        if failure_code is not None:
            status = 410 if failure_code == "cancelled" else 504
            return _error_response(status, failure_code, False)
        answer = {
            "request_id": request_id,
            "index_version": version,
            "epoch": epoch,
            "ranges": ranges,
            "rows": self.data_set.search(body["query"], version, ranges),
        }
        if fault is not None:
            return await self._make_faulty_response(fault, answer, sock)
        return json_response(200, answer)

    async def _make_faulty_response(self, fault, answer, sock):
        """Return a faulty reply, or raise OSError, which closes the connection."""
        kind = fault["kind"]
        self._write_event("fault", request_id=answer["request_id"], kind=kind)
        if kind == "late":
            await curio.sleep(fault["delay_s"])
        elif kind == "foreign_id":
            answer["request_id"] = f"other-{answer['request_id']}"
        elif kind == "wrong_version":
            answer["index_version"] += 1
        elif kind == "wrong_epoch":
            answer["epoch"] += 1
        elif kind == "wrong_ranges":
            # Leaves out the first key, as a server with an older shard map may do.
            low, high = answer["ranges"][0]
            answer["ranges"] = [[low + 1, high], *answer["ranges"][1:]]
        elif kind == "error":
            return _error_response(500, "internal", False)
        elif kind == "cut":
            content = orjson.dumps(answer)
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(content)
            await sock.sendall(head + content[: len(content) // 2])
            raise ConnectionAbortedError("the reply is cut on command")
        else:
            raise ConnectionAbortedError("the reply is lost on command")
        return json_response(200, answer)

    def _crash_if_requested(self, body):
        """End the process if the field ``crash`` of the request asks for it.

        ``crash`` is true or the name of this service. All servers in the process end.
        """
        crash = body.get("crash") if isinstance(body, dict) else None
        if crash is True or (crash is not None and crash == self.spec.service):
            self._write_event("crash")
            os._exit(CRASH_STATUS)

    async def _revise(self, request):
        body = orjson.loads(request.body)
        execution_id = request.headers.get("x-execution-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        refusal = self._refuse_new_work(execution_id)
        if refusal is not None:
            return refusal
        self._write_event(
            "revise",
            execution_id=execution_id,
            in_use=self.in_use + 1,
            marker=_get_marker(body["revision"]),
        )
        self._crash_if_requested(body["revision"])
        failure_code = await self._run_in_slot(execution_id, remaining_s)
        if failure_code is not None:
            return _error_response(
                410 if failure_code == "cancelled" else 504, failure_code, False
            )
        return json_response(
            200, {"execution_id": execution_id, "server": self.spec.instance}
        )

    async def _cancel(self, request_id):
        event = self.cancel_events.get(request_id)
        if event is not None:
            await event.set()
        return json_response(200, {"found": event is not None})


def _get_marker(body):
    """Return the caller's marker, by which proofs match records with requests."""
    return body.get("marker") if isinstance(body, dict) else None


def _error_response(status, code, not_run, **fields):
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
            _check_whole_numbers(f"reported.{name}", value[name])


def _parse_fault(value):
    if not isinstance(value, dict) or value.get("kind") not in FAULT_KINDS:
        raise ValueError(f"fault.kind must be one of {', '.join(FAULT_KINDS)}")
    unknown = sorted(set(value) - {"kind", "count", "delay_s"})
    if unknown:
        raise ValueError(f"fault: unknown field {unknown[0]!r}")
    fault = {"count": 1, "delay_s": 0.5, **value}
    _check_non_negative("fault.delay_s", fault["delay_s"])
    if type(fault["count"]) is not int or fault["count"] < 0:
        raise ValueError("fault.count must be a whole number that is not negative")
    return fault


async def _run_servers(specs):
    for spec in specs:
        await UpstreamServer(spec).start()
    await curio.Event().wait()


def main(*, specs: str):
    """Run upstream stand-ins on 127.0.0.1, all in this process.

    :param specs: JSON list of objects with the fields of UpstreamSpec
    """
    logging.set_verbosity(logging.WARNING)
    curio.run(_run_servers, [UpstreamSpec(**item) for item in json.loads(specs)])


if __name__ == "__main__":
    import defopt

    defopt.run(main)
