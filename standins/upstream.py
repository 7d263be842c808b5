"""Stand-in for upstream servers: slots, versions, stragglers, crashes, drain."""

import json
import os
import random
import time

import curio
import orjson
from absl import logging

from almondtide.adapters.http import json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log

from .dataset import make_data_set

__all__ = ["UpstreamServer", "UpstreamSpec"]


class UpstreamSpec:
    """What one server is: identity, limits and service time.

    Times are in seconds. ``straggler_share`` of the requests take
    ``straggler_factor`` times longer. For ``cold_s`` after the start, requests
    take three times longer. ``connect_s`` delays each new connection.
    """

    __slots__ = (
        "cold_s",
        "connect_s",
        "connections",
        "data_size",
        "epochs",
        "instance",
        "kind",
        "port",
        "record_path",
        "seed",
        "service",
        "service_time_s",
        "slots",
        "straggler_factor",
        "straggler_share",
        "versions",
    )

    def __init__(self, **values):
        defaults = {
            "slots": 3,
            "connections": 65,
            "service_time_s": 0.005,
            "straggler_share": 0.0,
            "straggler_factor": 20.0,
            "versions": [1],
            "epochs": [1],
            "kind": "probes",
            "seed": 1,
            "data_size": 2000,
            "connect_s": 0.0,
            "cold_s": 0.0,
            "record_path": None,
            "service": "",
        }
        defaults.update(values)
        for name in self.__slots__:
            setattr(self, name, defaults[name])


class UpstreamServer:
    """One server of a service.

    ``POST /control`` changes attributes of the spec and the state while it runs:
    ``{"state": "draining"}``, ``{"versions": [2, 3]}``, ``{"slots": 1}``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.data = make_data_set(spec.kind, spec.seed, spec.data_size)
        self.listener = Listener(("127.0.0.1", spec.port), self._serve)
        self.rng = random.Random(f"{spec.instance}/{spec.seed}")
        self.state = "live"
        self.in_use = 0
        self.running = {}
        self.counts = {"ran": 0, "shed": 0, "cancelled": 0, "refused_connections": 0}
        self.log = Log(component="upstream", instance=spec.instance)
        self.record = None
        self.started = None
        # The state that GET /v1/status reports when it misleads.
        self.reported = None

    async def start(self):
        """Start serving."""
        if self.spec.record_path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.record = os.open(self.spec.record_path, flags, 0o644)
        self.started = await curio.clock()
        await self.listener.start()

    def _write(self, event, **fields):
        """Append one line to the record; it survives a crash of the process."""
        if self.record is not None:
            fields.update(server=self.spec.instance, at=time.monotonic())
            line = json.dumps({"event": event, **fields})
            os.write(self.record, line.encode() + b"\n")

    async def _serve(self, sock, address):
        if self.listener.connections > self.spec.connections:
            self.counts["refused_connections"] += 1
            return
        if self.spec.connect_s:
            await curio.sleep(self.spec.connect_s)
        await serve_http(sock, self._handle, log=self.log, idle_timeout_s=600)

    async def _handle(self, request):
        if request.path == "/v1/search":
            response = await self._search(request)
        elif request.path == "/v1/revise":
            response = await self._revise(request)
        elif request.path.startswith("/v1/requests/"):
            response = await self._cancel(request.path.rpartition("/")[2])
        elif request.path == "/control":
            response = self._control(orjson.loads(request.body))
        else:
            response = self._status()
        response.headers.update(self._state_headers())
        for name in ("x-request-id", "x-execution-id"):
            if name in request.headers:
                response.headers["x-request-id"] = request.headers[name]
        return response

    def _state_headers(self):
        return {
            "x-upstream-state": self.state,
            "x-index-versions": ",".join(map(str, self.spec.versions)),
            "x-epochs": ",".join(map(str, self.spec.epochs)),
        }

    def _control(self, command):
        for name, value in command.items():
            if name in ("state", "reported"):
                setattr(self, name, value)
            else:
                setattr(self.spec, name, value)
        return json_response(200, {"counts": self.counts})

    def _status(self):
        body = {
            "state": self.state,
            "slots": self.spec.slots,
            "in_use": self.in_use,
            "counts": self.counts,
        }
        body.update(self.reported or {})
        return json_response(200, body)

    def _refusal(self):
        """Return the refusal of new work, or None."""
        if self.state == "draining":
            self._write("refused")
            return json_response(503, {"code": "draining", "not_run": True})
        if self.in_use >= self.spec.slots:
            self.counts["shed"] += 1
            return json_response(503, {"code": "shed", "not_run": True})
        return None

    async def _service_time(self):
        seconds = self.spec.service_time_s * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < self.spec.straggler_share:
            seconds *= self.spec.straggler_factor
        if await curio.clock() - self.started < self.spec.cold_s:
            seconds *= 3
        return seconds

    async def _work(self, request_id, remaining_s):
        """Occupy a slot; returns None or the code of an early end."""
        seconds = await self._service_time()
        cancelled = curio.Event()
        self.running[request_id] = cancelled
        self.in_use += 1
        self.counts["ran"] += 1
        try:
            async with curio.ignore_after(min(seconds, remaining_s)):
                await cancelled.wait()
            if cancelled.is_set():
                self.counts["cancelled"] += 1
                return "cancelled"
            return "deadline_exceeded" if seconds > remaining_s else None
        finally:
            self.in_use -= 1
            self.running.pop(request_id, None)

    async def _search(self, request):
        body = orjson.loads(request.body)
        request_id = request.headers.get("x-request-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        version = body["index_version"]
        if version not in self.spec.versions or body["epoch"] not in self.spec.epochs:
            return json_response(409, {"code": "snapshot_unavailable", "not_run": True})
        marker = _marker(body["query"])
        self._write("search", request_id=request_id, version=version, marker=marker)
        self._crash_if_marked(body["query"])
        ended = await self._work(request_id, remaining_s)
        if ended is not None:
            status = 410 if ended == "cancelled" else 504
            return json_response(status, {"code": ended, "not_run": False})
        rows = self.data.search(body["query"], version, body["ranges"])
        answer = {
            "request_id": request_id,
            "index_version": version,
            "epoch": body["epoch"],
            "ranges": body["ranges"],
            "rows": rows,
        }
        return json_response(200, answer)

    def _crash_if_marked(self, body):
        """End the process for a request that is marked as crashing."""
        crash = body.get("crash") if isinstance(body, dict) else None
        if crash is True or crash == self.spec.service:
            self._write("crash")
            os._exit(70)

    async def _revise(self, request):
        body = orjson.loads(request.body)
        execution_id = request.headers.get("x-execution-id", "")
        remaining_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000.0
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        marker = _marker(body["revision"])
        self._write("revise", execution_id=execution_id, marker=marker)
        self._crash_if_marked(body["revision"])
        ended = await self._work(execution_id, remaining_s)
        if ended is not None:
            return json_response(504, {"code": ended, "not_run": False})
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
