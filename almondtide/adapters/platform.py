"""Read-only access to platform documents over HTTP."""

import curio

from ..errors import PlatformError, UpstreamError
from ..ports import BasePlatform, Document
from .http import HTTPClient

__all__ = ["HTTPPlatform"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0


class HTTPPlatform(BasePlatform):
    """Reads and watches documents of the configuration service.

    Concurrent calls use separate pooled connections, because a watch occupies its
    connection until the document changes or the wait ends. ``call_count`` is the
    number of calls, ``received_bytes`` the size of their response headers and
    bodies.
    """

    __slots__ = ("_address", "_idle", "call_count", "received_bytes")

    def __init__(self, address):
        self._address = address
        self._idle = []
        self.call_count = 0
        self.received_bytes = 0

    async def read(self, name):
        """Return the current ``Document``."""
        response = await self._get(f"/v1/documents/{name}", READ_TIMEOUT_S)
        return self._parse_document(name, response)

    async def watch(self, name, after, wait_s):
        """Return a ``Document`` newer than revision ``after``.

        Returns None when no such document appears within ``wait_s`` seconds.
        """
        path = f"/v1/documents/{name}?after={after}&wait_ms={int(wait_s * 1000)}"
        response = await self._get(path, wait_s + READ_TIMEOUT_S)
        if response.status == 304:
            return None
        return self._parse_document(name, response)

    def _parse_document(self, name, response):
        if response.status != 200:
            raise PlatformError(f"document {name}: status {response.status}")
        try:
            value = response.json()
            revision = value["revision"]
            body = value["body"]
        except (ValueError, KeyError, TypeError) as exc:
            raise PlatformError(f"document {name}: invalid response") from exc
        if type(revision) is not int or revision < 1:
            raise PlatformError(f"document {name}: invalid revision {revision!r}")
        try:
            return Document(name, revision, body)
        except (TypeError, RecursionError) as exc:
            raise PlatformError(f"document {name}: invalid body: {exc}") from exc

    async def _get(self, path, timeout_s):
        self.call_count += 1
        client = None
        try:
            async with curio.timeout_after(timeout_s):
                client = await self._acquire()
                response = await client.request("GET", path)
        except (OSError, UpstreamError) as exc:
            await self._discard(client)
            raise PlatformError(f"the platform cannot be read: {exc}") from exc
        except curio.TaskTimeout as exc:
            await self._discard(client)
            raise PlatformError(
                f"no answer from the platform in {timeout_s} s"
            ) from exc
        except curio.CancelledError:
            await self._discard(client)
            raise
        await self._release(client)
        header_bytes = sum(len(k) + len(v) for k, v in response.headers.items())
        self.received_bytes += header_bytes + len(response.body)
        return response

    async def _acquire(self):
        while self._idle:
            client = self._idle.pop()
            if not client.is_stale():
                return client
            await client.close()
        return await HTTPClient.open(self._address, CONNECT_TIMEOUT_S)

    async def _release(self, client):
        if client.is_usable:
            self._idle.append(client)
        else:
            await client.close()

    async def _discard(self, client):
        if client is not None:
            await client.close()

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
