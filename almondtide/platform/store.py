"""Client that reads the platform's store."""

import base64
import binascii
import json
import urllib.parse

import curio
import orjson

from ..adapters.http import HTTPClient
from ..errors import PlatformError, UpstreamError
from ..model.position import MAX_ERA, MAX_REVISION, era_of, make_position, revision_of

__all__ = [
    "ChangePage",
    "HistoryLostError",
    "StoreClient",
    "StoreItem",
    "StoreRestoredError",
    "StoreTimeoutError",
]

MAX_PAGES = 200
# Number of the store's restorations so far, in all its answers.
ERA_HEADER = "store-era"


class HistoryLostError(PlatformError):
    """The store no longer has all changes since the requested revision."""


class StoreRestoredError(HistoryLostError):
    """The store was restored from a copy since the requested revision."""


class StoreTimeoutError(PlatformError):
    """The store did not answer a call in time."""


def parse_era(text):
    """Return the era in a header's text, or None if it states none.

    >>> parse_era("7"), parse_era("-1"), parse_era("seven")
    (7, None, None)
    """
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


class StoreItem:
    """One item or change; ``value`` is the bytes, or None for a removed key.

    ``position`` is its revision in the era of the answer, see ``model/position.py``.
    """

    __slots__ = ("key", "position", "value")

    def __init__(self, key, position, value):
        self.key = key
        self.position = position
        self.value = value


class ChangePage:
    """A page of changes: ``items``, and the ``position`` up to which it has all.

    ``event_count`` and ``value_bytes`` are those of the answer, in which values are
    encoded, items that were left out included. The store cuts pages by both.
    """

    __slots__ = ("event_count", "items", "position", "value_bytes")

    def __init__(self, items, position, event_count, value_bytes):
        self.items = items
        self.position = position
        self.event_count = event_count
        self.value_bytes = value_bytes


class StoreClient:
    """Calls the store over one connection, one call at a time.

    Every call raises ``PlatformError`` if the store refuses it or does not answer
    within ``timeout_s``. ``call_count`` counts all calls, since the platform charges
    for each. ``era`` is that of the last answer that states one; ``invalid_era`` is the
    text of a newer answer that cannot be read, or None. ``invalid_key`` is the last key
    that is no text, or None; such items are left out.
    """

    __slots__ = (
        "_client",
        "_client_address",
        "address",
        "call_count",
        "era",
        "invalid_era",
        "invalid_key",
        "timeout_s",
    )

    def __init__(self, address, timeout_s):
        # A call after a change of it goes to the new address.
        self.address = address
        self._client = None
        self._client_address = None
        self.timeout_s = timeout_s
        self.call_count = 0
        self.era = 0
        self.invalid_era = None
        self.invalid_key = None

    async def get(self, key, timeout_s=None):
        """Return the ``StoreItem`` at ``key``, or None if there is none."""
        path = f"/v1/kv-key?key={key}"
        body = await self._call(path, timeout_s, is_missing_allowed=True)
        return None if body is None else _decode_item(body, self.era)

    async def read(self, prefix):
        """Return (items with ``prefix``, position of the store at the first page).

        The pages are not a consistent snapshot: later changes may be included. Raises
        ``StoreRestoredError`` if the store is restored between two pages.
        """
        items = []
        position = None
        after = ""
        for _ in range(MAX_PAGES):
            suffix = f"&after={_quote_key(after)}" if after else ""
            body = await self._call(f"/v1/kv-range?prefix={prefix}{suffix}")
            if position is None:
                position = _decode_position(body, "as_of", self.era)
            elif self.era != era_of(position):
                raise StoreRestoredError("the store was restored during the read")
            page = body.get("items")
            if not isinstance(page, list):
                raise PlatformError("the store's answer has no list of items")
            decoded = [_decode_item(item, self.era) for item in page]
            items.extend(self._readable(decoded))
            if not body.get("has_more") or not page:
                return items, position
            after = decoded[-1].key
        raise PlatformError(f"the store listed over {MAX_PAGES} pages of {prefix!r}")

    async def changes(self, prefix, after, wait_ms, timeout_s):
        """Return a ``ChangePage`` of changes with ``prefix`` since ``after``.

        The store waits up to ``wait_ms`` for the first change. Raises
        ``HistoryLostError`` if a full read is needed, also when the store was restored
        since, and ``StoreTimeoutError`` if there is no answer within ``timeout_s``;
        other reads may still be answered.
        """
        revision = revision_of(after)
        path = f"/v1/kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}"
        body = await self._call(path, timeout_s)
        if self.era != era_of(after):
            # The revisions may have passed ``after`` again, so that no 410 tells it.
            raise StoreRestoredError(f"the store was restored: era {self.era}")
        events = body.get("events")
        if not isinstance(events, list):
            raise PlatformError("the store's answer has no list of events")
        changes = [_decode_item(event, self.era) for event in events]
        return ChangePage(
            self._readable(changes),
            _decode_position(body, "as_of", self.era),
            len(events),
            sum(_value_length(event) for event in events),
        )

    def _readable(self, items):
        """Return the items whose keys are text; others may write keys of any bytes."""
        readable = [item for item in items if _is_text(item.key)]
        if len(readable) < len(items):
            self.invalid_key = next(i.key for i in items if not _is_text(i.key))
        return readable

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
        self._note_era(response.headers.get(ERA_HEADER))
        if response.status == 404 and is_missing_allowed:
            return None
        if response.status == 410:
            raise HistoryLostError("the store no longer has these changes")
        if response.status != 200:
            raise PlatformError(f"the store answered with status {response.status}")
        try:
            body = _load_json(response.body)
        except ValueError as exc:
            raise PlatformError(f"the store's answer is not JSON: {exc}") from exc
        if not isinstance(body, dict):
            raise PlatformError("the store's answer is not a JSON object")
        return body

    def _note_era(self, text):
        """Take over the era of an answer; one that states none keeps the last."""
        if text is None:
            return
        era = parse_era(text)
        if era is None:
            self.invalid_era = text
        else:
            self.era = era
            self.invalid_era = None

    async def _exchange(self, path):
        client = self._client
        has_moved = self._client_address != self.address
        if client is None or has_moved or not client.is_usable or client.is_stale():
            await self.close()
            self._client_address = self.address
            client = await HTTPClient.open(self.address, self.timeout_s)
            self._client = client
        return await client.request("GET", path)

    async def close(self):
        """Close the connection; the next call opens a new one."""
        client, self._client = self._client, None
        if client is not None:
            await client.close()


def _load_json(raw):
    """Decode JSON; raises ``ValueError``.

    Bytes that are not UTF-8 and lone surrogates in texts, which orjson refuses, become
    lone surrogates as ``surrogateescape`` has it.
    """
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        try:
            return json.loads(raw.decode("utf-8", "surrogateescape"))
        except RecursionError as exc:
            raise ValueError("nested too deep") from exc


def _is_text(key):
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True


def _quote_key(key):
    try:
        return urllib.parse.quote(key, safe="/", errors="surrogateescape")
    except UnicodeEncodeError:
        return urllib.parse.quote(key, safe="/", errors="surrogatepass")


def _get_integer(data, name):
    value = data.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise PlatformError(f"the store's answer has no integer {name!r}")
    return value


def _decode_position(data, name, era):
    revision = _get_integer(data, name)
    if not 0 <= revision <= MAX_REVISION:
        raise PlatformError(f"the store's answer has no revision {name!r}")
    return make_position(era, revision)


def _value_length(event):
    value = event.get("value")
    return len(value) if isinstance(value, str) else 0


def _decode_item(data, era):
    if not isinstance(data, dict) or not isinstance(data.get("key"), str):
        raise PlatformError("the store's answer has an item without a key")
    position = _decode_position(data, "revision", era)
    if data.get("removed"):
        return StoreItem(data["key"], position, None)
    try:
        value = base64.b64decode(data.get("value"), validate=True)
    except (binascii.Error, TypeError, ValueError):
        # The decoder of the value reports the problem together with the key.
        value = b""
    return StoreItem(data["key"], position, value)
