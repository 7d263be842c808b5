"""Stand-in for the configuration service and the list of instances."""

import curio
import orjson
from absl import logging

from almondtide.adapters.http import HTTPResponse, json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.clock import SystemClock
from almondtide.logs import Log

__all__ = ["PlatformServer"]

MAX_WAIT_S = 60.0
MAX_VALUE_BYTES = 1_000_000
MAX_REQUEST_BYTES = 8 << 20
DEFAULT_READS_PER_S = 2000.0
MODES = ("normal", "down", "stale")
INSTANCES_NAME = "instances"


class PlatformServer:
    """Serves documents for reading and watching, and a control path for tests.

    ``POST /control`` takes a JSON object with any of these fields:

    * ``{"publish": {"name": ..., "body": ...}}`` publishes the next revision.
    * ``{"mode": "normal" | "down" | "stale"}``: a service that is down answers 503.
      A stale one serves the documents as they were when the mode began, or at the
      revisions that ``{"as_of": {name: revision}}`` gives.
    * ``{"list_lag_s": seconds}``: the document ``instances`` becomes visible so long
      after it was published.
    * ``{"reads_per_s": rate}``: reads above the rate get status 429.

    Each read counts as one call. A watch is one read, however long it waits.
    """

    def __init__(self, address, list_lag_s=0.0, reads_per_s=DEFAULT_READS_PER_S):
        self.listener = Listener(address, self._serve)
        self.list_lag_s = list_lag_s
        self.reads_per_s = reads_per_s
        self.documents = {}
        self.revisions = {}
        self.history = {}
        self.stale_documents = None
        self.mode = "normal"
        self.calls = 0
        self.calls_by_name = {}
        self.rejected = 0
        self.waiting = 0
        self.wakeups = 0
        self.log = Log(component="platform")
        self._clock = SystemClock()
        self._read_tokens = reads_per_s
        self._refilled_at = self._clock.monotonic()
        self._changed = curio.Event()

    async def start(self):
        """Start serving."""
        await self.listener.start()

    async def _serve(self, sock, address):
        await serve_http(
            sock,
            self._handle,
            log=self.log,
            max_body_bytes=MAX_REQUEST_BYTES,
            idle_timeout_s=300,
        )

    async def publish(self, name, body):
        """Publish the next revision of a document and return the revision."""
        revision = self.revisions.get(name, 0) + 1
        self.revisions[name] = revision
        if name == INSTANCES_NAME and self.list_lag_s > 0:
            await curio.spawn(
                self._make_visible_later,
                name,
                revision,
                body,
                self.list_lag_s,
                daemon=True,
            )
        else:
            await self._make_visible(name, revision, body)
        return revision

    async def _make_visible_later(self, name, revision, body, delay_s):
        await curio.sleep(delay_s)
        await self._make_visible(name, revision, body)

    async def _make_visible(self, name, revision, body):
        # After list_lag_s was reduced, a newer revision can become visible first.
        if revision > self.documents.get(name, (0, None))[0]:
            self.documents[name] = (revision, body)
            self.history[name, revision] = body
            await self._wake_watches()

    async def _wake_watches(self):
        """Let all waiting watches read the documents again."""
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _handle(self, request):
        if request.path == "/control":
            return await self._control(request)
        if request.path == "/control/state":
            return json_response(200, self._state())
        prefix = "/v1/documents/"
        if request.method != "GET" or not request.path.startswith(prefix):
            return _error_response(404, "not_found", "only GET /v1/documents/{name}")
        name = request.path.removeprefix(prefix)
        self.calls += 1
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        if not self._take_read_token():
            self.rejected += 1
            return _error_response(
                429, "rate_limited", f"over {self.reads_per_s} reads/s"
            )
        try:
            after, wait_s = _parse_watch(request.query)
        except ValueError as exc:
            return _error_response(400, "bad_request", str(exc))
        return await self._read(name, after, wait_s)

    def _state(self):
        return {
            "calls": self.calls,
            "calls_by_name": self.calls_by_name,
            "rejected": self.rejected,
            "waiting": self.waiting,
            "wakeups": self.wakeups,
            "mode": self.mode,
            "revisions": self.revisions,
        }

    def _take_read_token(self):
        now = self._clock.monotonic()
        added = (now - self._refilled_at) * self.reads_per_s
        self._refilled_at = now
        # The bucket holds the reads of one second.
        self._read_tokens = min(self.reads_per_s, self._read_tokens + added)
        if self._read_tokens < 1.0:
            return False
        self._read_tokens -= 1.0
        return True

    async def _control(self, request):
        try:
            command = orjson.loads(request.body)
            _check_command(command)
        except ValueError as exc:
            return _error_response(400, "bad_command", str(exc))
        if "mode" in command:
            self.mode = command["mode"]
            self.stale_documents = (
                dict(self.documents) if self.mode == "stale" else None
            )
            for name, revision in command.get("as_of", {}).items():
                self.stale_documents[name] = (revision, self.history[name, revision])
            await self._wake_watches()
        self.list_lag_s = command.get("list_lag_s", self.list_lag_s)
        self.reads_per_s = command.get("reads_per_s", self.reads_per_s)
        if "publish" not in command:
            return json_response(200, {})
        published = command["publish"]
        size = len(orjson.dumps(published["body"]))
        if size > MAX_VALUE_BYTES:
            message = f"the value has {size} bytes, the limit is {MAX_VALUE_BYTES}"
            return _error_response(413, "value_too_large", message)
        revision = await self.publish(published["name"], published["body"])
        return json_response(200, {"revision": revision})

    def _visible_documents(self):
        return (
            self.stale_documents if self.stale_documents is not None else self.documents
        )

    async def _read(self, name, after, wait_s):
        deadline = self._clock.monotonic() + wait_s
        while True:
            if self.mode == "down":
                return _error_response(503, "unavailable", "the service is down")
            revision, body = self._visible_documents().get(name, (0, None))
            if revision and revision > after:
                return json_response(200, {"revision": revision, "body": body})
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return HTTPResponse(304 if revision else 404)
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, remaining_s):
        changed = self._changed
        self.waiting += 1
        try:
            async with curio.ignore_after(remaining_s):
                await changed.wait()
        finally:
            self.waiting -= 1
            self.wakeups += 1


def _error_response(status, code, message):
    return json_response(status, {"error": code, "message": message})


def _check_command(command):
    """Raise ValueError with the reason when a control command is invalid."""
    if not isinstance(command, dict):
        raise ValueError("a command must be a JSON object")
    known = ("publish", "mode", "as_of", "list_lag_s", "reads_per_s")
    unknown = sorted(set(command) - set(known))
    if unknown:
        raise ValueError(f"unknown command {unknown[0]!r}; known: {', '.join(known)}")
    if command.get("mode", "normal") not in MODES:
        raise ValueError(f"mode must be one of {', '.join(MODES)}")
    if "as_of" in command and command.get("mode") != "stale":
        raise ValueError("as_of needs the mode stale")
    for name in ("list_lag_s", "reads_per_s"):
        value = command.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            raise ValueError(f"{name} must be a number that is not negative")
    if "publish" not in command:
        return
    published = command["publish"]
    if not isinstance(published, dict) or set(published) != {"name", "body"}:
        raise ValueError("publish must have exactly the fields name and body")


def _parse_watch(query):
    values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
    after = int(values.get("after", "-1"))
    wait_s = min(MAX_WAIT_S, int(values.get("wait_ms", "0")) / 1000.0)
    return after, wait_s


async def _run_server(port, list_lag_s):
    server = PlatformServer(("127.0.0.1", port), list_lag_s)
    await server.start()
    await curio.Event().wait()


def main(*, port: int, list_lag_s: float = 0.0):
    """Run the platform stand-in on 127.0.0.1.

    :param port: TCP port
    :param list_lag_s: delay of the list of instances in seconds
    """
    logging.set_verbosity(logging.WARNING)
    curio.run(_run_server, port, list_lag_s)


if __name__ == "__main__":
    import defopt

    defopt.run(main)
