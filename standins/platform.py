"""Stand-in for the configuration service and the list of instances."""

import curio
import orjson
from absl import logging

from almondtide.adapters.http import HTTPResponse, json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log

__all__ = ["PlatformServer"]

MAX_WAIT_S = 60.0
WATCH_POLL_S = 0.01


class PlatformServer:
    """Serves documents for reading and watching, and a control path for tests.

    ``POST /control`` takes ``{"publish": {"name": ..., "body": ...}}``, which
    publishes the next revision, or ``{"mode": "normal" | "down" | "stale"}``. A
    stale service serves the documents as they were when the mode began, or at the
    revisions that ``as_of`` gives by name. The document ``instances`` becomes
    visible ``list_lag_s`` seconds after it was published.
    """

    def __init__(self, address, list_lag_s=0.0):
        self.listener = Listener(address, self._serve)
        self.list_lag_s = list_lag_s
        self.documents = {}
        self.history = {}
        self.frozen = None
        self.mode = "normal"
        self.calls = 0
        self.waiting = 0
        self.log = Log(component="platform")

    async def start(self):
        """Start serving."""
        await self.listener.start()

    async def _serve(self, sock, address):
        await serve_http(
            sock, self._handle, log=self.log, max_body=8 << 20, idle_timeout_s=300
        )

    async def publish(self, name, body):
        """Publish the next revision of a document and return it."""
        revision = self.documents.get(name, (0, None))[0] + 1
        if name == "instances" and self.list_lag_s > 0:
            await curio.sleep(self.list_lag_s)
        self.documents[name] = (revision, body)
        self.history[name, revision] = body
        return revision

    async def _handle(self, request):
        if request.path == "/control":
            return await self._control(request)
        if request.path == "/control/state":
            return json_response(
                200,
                {"calls": self.calls, "waiting": self.waiting, "mode": self.mode},
            )
        self.calls += 1
        if self.mode == "down":
            return HTTPResponse(503)
        name = request.path.removeprefix("/v1/documents/")
        after, wait_s = _parse_watch(request.query)
        return await self._read(name, after, wait_s)

    async def _control(self, request):
        command = orjson.loads(request.body)
        answer = {}
        if "mode" in command:
            self.mode = command["mode"]
            self.frozen = dict(self.documents) if self.mode == "stale" else None
            for name, revision in command.get("as_of", {}).items():
                self.frozen[name] = (revision, self.history[name, revision])
        if "list_lag_s" in command:
            self.list_lag_s = command["list_lag_s"]
        if "publish" in command:
            publish = command["publish"]
            if publish["name"] == "instances" and self.list_lag_s > 0:
                await curio.spawn(
                    self.publish, publish["name"], publish["body"], daemon=True
                )
            else:
                answer["revision"] = await self.publish(
                    publish["name"], publish["body"]
                )
        return json_response(200, answer)

    def _visible(self):
        return self.frozen if self.frozen is not None else self.documents

    async def _read(self, name, after, wait_s):
        waited = 0.0
        self.waiting += 1
        try:
            while True:
                if self.mode == "down":
                    return HTTPResponse(503)
                revision, body = self._visible().get(name, (0, None))
                if revision > after:
                    return json_response(200, {"revision": revision, "body": body})
                if waited >= wait_s:
                    return HTTPResponse(304 if revision else 404)
                await curio.sleep(WATCH_POLL_S)
                waited += WATCH_POLL_S
        finally:
            self.waiting -= 1


def _parse_watch(query):
    values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
    after = int(values.get("after", "-1"))
    wait_s = min(MAX_WAIT_S, int(values.get("wait_ms", "0")) / 1000.0)
    return after, wait_s


async def _run(port, list_lag_s):
    server = PlatformServer(("127.0.0.1", port), list_lag_s)
    await server.start()
    await curio.Event().wait()


def main(*, port: int, list_lag_s: float = 0.0):
    """Run the platform stand-in on 127.0.0.1.

    :param port: TCP port
    :param list_lag_s: delay of the list of instances in seconds
    """
    logging.set_verbosity(logging.WARNING)
    curio.run(_run, port, list_lag_s)


if __name__ == "__main__":
    import defopt

    defopt.run(main)
