"""Stand-in for the platform's store and for the operator that writes to it."""

import base64

import curio
import orjson

from almondtide.adapters.http import HTTPResponse, json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log

__all__ = ["StoreServer"]

PAGE_ITEMS = 50
WATCH_EVENTS = 500
MODES = ("normal", "busy", "silent", "reset")


class StoreServer:
    """Keeps items by key with one revision counter; tests write to it directly.

    ``put`` and ``remove`` act as the operator and the servers. ``mode`` is one of
    ``MODES``: a busy store refuses with 503, a silent one does not answer, one
    with resets closes connections. ``forget_history`` makes older watches fail.
    """

    def __init__(self, address=("127.0.0.1", 0)):
        self.listener = Listener(address, self._serve)
        self.items = {}
        self.events = []
        self.revision = 1
        self.first_event = 1
        self.mode = "normal"
        self.calls = []
        self._changed = curio.Event()

    @property
    def address(self):
        """The (host, port) that it listens on."""
        return self.listener.address

    async def start(self):
        """Start serving."""
        await self.listener.start()

    async def close(self):
        """Stop serving and cut all connections."""
        await self.listener.close()

    async def put(self, key, value):
        """Write a value: bytes, or a table that is encoded as JSON."""
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "create_rev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        event = {"key": key, "revision": self.revision, "removed": True}
        await self._publish(event)

    def forget_history(self):
        """Drop all past events."""
        self.events = []
        self.first_event = self.revision + 1

    async def _publish(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _serve(self, sock, peer):
        if self.mode == "reset":
            return
        await serve_http(sock, self._handle, log=Log())

    async def _handle(self, request):
        self.calls.append(request.path)
        if self.mode == "silent":
            await curio.sleep(3600)
        if self.mode != "normal":
            return HTTPResponse(503)
        query = dict(pair.partition("=")[::2] for pair in request.query.split("&"))
        if request.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return HTTPResponse(404)
            return json_response(200, {**item, "as_of": self.revision})
        if request.path == "/v1/kv-range":
            return self._range(query)
        if request.path == "/v1/kv-watch":
            return await self._watch(query)
        return HTTPResponse(404)

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        body = {
            "items": page,
            "has_more": len(keys) > PAGE_ITEMS,
            "as_of": self.revision,
        }
        return json_response(200, body)

    async def _watch(self, query):
        after = int(query["after"])
        async with curio.ignore_after(int(query["wait_ms"]) / 1000.0):
            while not (found := self._since(after, query["prefix"])):
                await self._changed.wait()
        if after + 1 < self.first_event:
            return HTTPResponse(410)
        as_of = self.revision
        if len(found) > WATCH_EVENTS:
            found = found[:WATCH_EVENTS]
            as_of = found[-1]["revision"]
        return json_response(200, {"events": found, "as_of": as_of})

    def _since(self, after, prefix):
        return [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
