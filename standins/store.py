"""Stand-in for the platform's key-value store."""

import base64
import json
import urllib.parse

import curio
import orjson

from almondtide.adapters.http import HTTPResponse, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log

__all__ = ["StoreServer"]

PAGE_ITEMS = 50
MAX_WATCH_EVENTS = 500
# Most bytes of the values in one answer, unless a single value is larger.
MAX_ANSWER_BYTES = 1 << 20
MODES = ("normal", "busy", "silent", "reset")


def _json_response(body):
    """Return a response with a JSON body, whose keys may hold bytes of any kind.

    Lone surrogates stand for bytes that are not UTF-8, as ``surrogateescape`` has it;
    others are written as escapes.
    """
    try:
        raw = orjson.dumps(body)
    except TypeError:
        try:
            text = json.dumps(body, ensure_ascii=False)
            raw = text.encode("utf-8", "surrogateescape")
        except UnicodeEncodeError:
            raw = json.dumps(body).encode()
    return HTTPResponse(200, raw, {"content-type": "application/json"})


class StoreServer:
    """Keeps items by key and counts all changes in one revision.

    Tests write with ``put`` and ``remove``, in place of the operator and the
    servers. ``mode`` is one of ``MODES``: ``busy`` answers 503, ``silent`` does not
    answer, ``reset`` closes each new connection. After ``drop_history``, a watch from
    an earlier revision gets 410. ``restore`` goes back to an earlier ``copy`` and
    raises ``era``, which all answers state.

    ``on_call`` is an async function that is awaited with "before" and "after" around
    the making of each answer, so that a change falls between any two calls of a
    reader; None for none. ``answer_delay_s`` holds each answer after it was made, in
    s, and so stretches the time between two calls. As many watches as
    ``silent_watches`` says get no answer.
    """

    def __init__(
        self,
        address=("127.0.0.1", 0),
        page_items=PAGE_ITEMS,
        max_watch_events=MAX_WATCH_EVENTS,
        max_answer_bytes=MAX_ANSWER_BYTES,
    ):
        self.listener = Listener(address, self._serve)
        self.page_items = page_items
        self.max_watch_events = max_watch_events
        self.max_answer_bytes = max_answer_bytes
        self.on_call = None
        self.answer_delay_s = 0.0
        self.silent_watches = 0
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 0
        self.first_event_revision = 1
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
        """Stop serving and close all connections."""
        await self.listener.close()

    async def put(self, key, value):
        """Write a value: bytes, or an object that is encoded as JSON."""
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
        await self._append_event(item)

    async def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        event = {"key": key, "revision": self.revision, "removed": True}
        await self._append_event(event)

    def value(self, key):
        """Return the value of a key as bytes."""
        return base64.b64decode(self.items[key]["value"])

    def drop_history(self):
        """Drop all past events."""
        self.events = []
        self.first_event_revision = self.revision + 1

    def copy(self):
        """Return a copy of the contents and the history, for ``restore``."""
        return dict(self.items), list(self.events), self.revision

    async def restore(self, copy):
        """Go back to a copy; a watch from a later revision gets 410."""
        items, events, self.revision = copy
        self.items, self.events = dict(items), list(events)
        self.era += 1
        await self._notify_watches()

    async def _notify_watches(self):
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _append_event(self, event):
        self.events.append(event)
        await self._notify_watches()

    async def _serve(self, sock, peer):
        if self.mode == "reset":
            return
        await serve_http(sock, self._handle, log=Log())

    async def _handle(self, request):
        if self.on_call is not None:
            await self.on_call("before")
        response = await self._respond(request)
        response.headers["store-era"] = str(self.era)
        if self.on_call is not None:
            await self.on_call("after")
        if self.answer_delay_s:
            await curio.sleep(self.answer_delay_s)
        return response

    async def _respond(self, request):
        self.calls.append(request.path)
        if self.mode == "silent":
            await curio.sleep(3600)
        if self.mode != "normal":
            return HTTPResponse(503)
        pairs = (pair.partition("=")[::2] for pair in request.query.split("&"))
        query = {
            name: urllib.parse.unquote(value, errors="surrogateescape")
            for name, value in pairs
        }
        if request.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return HTTPResponse(404)
            return _json_response({**item, "as_of": self.revision})
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
        page = self._cut(
            [self.items[key] for key in keys[: self.page_items]], self.max_answer_bytes
        )
        body = {
            "items": page,
            "has_more": len(keys) > len(page),
            "as_of": self.revision,
        }
        return _json_response(body)

    @staticmethod
    def _cut(items, max_bytes):
        """Return the first items whose values fit into an answer, one at least."""
        kept, size = [], 0
        for item in items:
            size += len(item.get("value", ""))
            if kept and size > max_bytes:
                break
            kept.append(item)
        return kept

    async def _watch(self, query):
        if self.silent_watches:
            self.silent_watches -= 1
            await curio.sleep(3600)
        after = int(query["after"])
        found = []
        async with curio.ignore_after(int(query["wait_ms"]) / 1000.0):
            while after <= self.revision and not (
                found := self._events_after(after, query["prefix"])
            ):
                await self._changed.wait()
        if after + 1 < self.first_event_revision or after > self.revision:
            return HTTPResponse(410)
        page = self._cut(found[: self.max_watch_events], self.max_answer_bytes)
        as_of = self.revision if len(page) == len(found) else page[-1]["revision"]
        return _json_response({"events": page, "as_of": as_of})

    def _events_after(self, after, prefix):
        return [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
