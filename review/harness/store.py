"""Stand-in for the platform's store, as PROTOCOL.md describes it: reads and watches."""

import asyncio
import base64
import json
import urllib.parse

from .http import read_message, render

__all__ = ["Store"]

PAGE_ITEMS = 50
MAX_EVENTS = 500
REASONS = {200: "OK", 404: "Not Found", 410: "Gone"}


class Store:
    """Items with one revision counter; the case writes with ``put`` and ``remove``."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.port = 0
        self._server = None
        self._changed = asyncio.Event()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write an object as JSON."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "create_rev": self.items.get(key, {}).get("create_rev", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self._append(item)

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        if self.items.pop(key, None) is not None:
            self._append({"key": key, "revision": self.revision, "removed": True})

    def _append(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._respond(request)
                start = f"HTTP/1.1 {status} {REASONS[status]}"
                headers = {"Content-Type": "application/json", "Store-Era": "0"}
                writer.write(render(start, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, request):
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "as_of": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "as_of": self.revision,
            }
        if path == "/v1/kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        if after > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            found = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = end - loop.time()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        page = found[:MAX_EVENTS]
        as_of = self.revision if len(page) == len(found) else page[-1]["revision"]
        return 200, {"events": page, "as_of": as_of}
