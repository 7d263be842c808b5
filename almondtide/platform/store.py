"""Client that reads the platform's store."""

import base64
import binascii

import curio

from ..adapters.http import HTTPClient
from ..errors import PlatformError, UpstreamError

__all__ = ["HistoryLostError", "StoreClient", "StoreItem", "StoreTimeoutError"]

MAX_PAGES = 200


class HistoryLostError(PlatformError):
    """The store no longer has all changes since the requested revision."""


class StoreTimeoutError(PlatformError):
    """The store did not answer a call in time."""


class StoreItem:
    """One item or change; ``value`` is the bytes, or None for a removed key."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key, revision, value):
        self.key = key
        self.revision = revision
        self.value = value


class StoreClient:
    """Calls the store over one connection, one call at a time.

    Every call raises ``PlatformError`` if the store refuses it or does not answer
    within ``timeout_s``. ``call_count`` counts all calls, since the platform charges
    for each.
    """

    __slots__ = ("_address", "_client", "call_count", "timeout_s")

    def __init__(self, address, timeout_s):
        self._address = address
        self._client = None
        self.timeout_s = timeout_s
        self.call_count = 0

    async def get(self, key):
        """Return the ``StoreItem`` at ``key``, or None if there is none."""
        body = await self._call(f"/v1/kv-key?key={key}", is_missing_allowed=True)
        return None if body is None else _decode_item(body)

    async def read(self, prefix):
        """Return (items with ``prefix``, revision of the store at the first page).

        The pages are not a consistent snapshot: later changes may be included.
        """
        items = []
        revision = None
        after = ""
        for _ in range(MAX_PAGES):
            suffix = f"&after={after}" if after else ""
            body = await self._call(f"/v1/kv-range?prefix={prefix}{suffix}")
            if revision is None:
                revision = _get_integer(body, "as_of")
            page = body.get("items")
            if not isinstance(page, list):
                raise PlatformError("the store's answer has no list of items")
            items.extend(_decode_item(item) for item in page)
            if not body.get("has_more") or not page:
                return items, revision
            after = items[-1].key
        raise PlatformError(f"the store listed over {MAX_PAGES} pages of {prefix!r}")

    async def changes(self, prefix, after, wait_ms, timeout_s):
        """Return (changes with ``prefix`` since revision ``after``, last revision).

        The store waits up to ``wait_ms`` for the first change. Raises
        ``HistoryLostError`` if a full read is needed, and ``StoreTimeoutError`` if
        there is no answer within ``timeout_s``; other reads may still be answered.
        """
        path = f"/v1/kv-watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
        body = await self._call(path, timeout_s)
        events = body.get("events")
        if not isinstance(events, list):
            raise PlatformError("the store's answer has no list of events")
        return [_decode_item(event) for event in events], _get_integer(body, "as_of")

    async def _call(self, path, timeout_s=None, is_missing_allowed=False):
        self.call_count += 1
        timeout_s = self.timeout_s if timeout_s is None else timeout_s
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._exchange(path)
        except curio.TaskTimeout as exc:
            await self.close()
            raise StoreTimeoutError(f"no answer within {timeout_s} s") from exc
        except (OSError, UpstreamError) as exc:
            await self.close()
            raise PlatformError(f"no answer: {exc or type(exc).__name__}") from exc
        if response.status == 404 and is_missing_allowed:
            return None
        if response.status == 410:
            raise HistoryLostError("the store no longer has these changes")
        if response.status != 200:
            raise PlatformError(f"the store answered with status {response.status}")
        try:
            body = response.json()
        except ValueError as exc:
            raise PlatformError(f"the store's answer is not JSON: {exc}") from exc
        if not isinstance(body, dict):
            raise PlatformError("the store's answer is not a JSON object")
        return body

    async def _exchange(self, path):
        client = self._client
        if client is None or not client.is_usable or client.is_stale():
            await self.close()
            client = await HTTPClient.open(self._address, self.timeout_s)
            self._client = client
        return await client.request("GET", path)

    async def close(self):
        """Close the connection; the next call opens a new one."""
        client, self._client = self._client, None
        if client is not None:
            await client.close()


def _get_integer(data, name):
    value = data.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise PlatformError(f"the store's answer has no integer {name!r}")
    return value


def _decode_item(data):
    if not isinstance(data, dict) or not isinstance(data.get("key"), str):
        raise PlatformError("the store's answer has an item without a key")
    revision = _get_integer(data, "revision")
    if data.get("removed"):
        return StoreItem(data["key"], revision, None)
    try:
        value = base64.b64decode(data.get("value"), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # The decoder of the value reports the problem together with the key.
        value = b""
    return StoreItem(data["key"], revision, value)
