"""Connections to upstream servers over HTTP/1.1."""

import re

import curio
import orjson

from ..errors import ResultCode, UpstreamError
from ..ports import BaseUpstreamConnection, BaseUpstreams, UpstreamReply
from .http import HTTPClient

__all__ = ["HTTPUpstreams"]

STATUS_TIMEOUT_S = 1.0
# Most refused revisions that a connection remembers. One that has refused more is not
# used again.
MAX_REVISED_IDS = 64
# Numbers of up to 18 digits fit into the 64-bit integers of peer messages.
_NUMBER = re.compile(r"[0-9]{1,18}")

_REFUSAL_CODES = {
    "shed": ResultCode.UPSTREAM_SHED,
    "draining": ResultCode.UPSTREAM_DRAINING,
    "snapshot_unavailable": ResultCode.SNAPSHOT_UNAVAILABLE,
    "deadline_exceeded": ResultCode.DEADLINE_EXCEEDED,
    "cancelled": ResultCode.CANCELLED,
    "bad_request": ResultCode.BAD_REQUEST,
}


def _parse_numbers(text):
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    return [int(part) for part in parts if _NUMBER.fullmatch(part)]


def _decode_reply(response):
    """Decode an HTTP response into an ``UpstreamReply``; raises ``UpstreamError``."""
    try:
        body = response.json() if response.body else None
    except ValueError as exc:
        raise UpstreamError(
            "the response is not valid JSON", ResultCode.BAD_RESPONSE
        ) from exc
    headers = response.headers
    code = ResultCode.OK
    not_run = False
    if response.status != 200:
        refusal = body if isinstance(body, dict) else {}
        name = refusal.get("code")
        code = ResultCode.UPSTREAM_ERROR
        if isinstance(name, str):
            code = _REFUSAL_CODES.get(name, code)
        not_run = refusal.get("not_run") is True
    return UpstreamReply(
        code,
        body,
        not_run,
        headers.get("x-upstream-state") == "draining",
        _parse_numbers(headers.get("x-index-versions")),
        _parse_numbers(headers.get("x-epochs")),
    )


class HTTPUpstreamConnection(BaseUpstreamConnection):
    """One HTTP connection to a server."""

    __slots__ = ("_client", "_exchange_count", "_revised_ids")

    def __init__(self, client):
        self._client = client
        # Exchanges begun on this connection.
        self._exchange_count = 0
        # Ids of the last revisions that were refused on it.
        self._revised_ids = set()

    @property
    def is_usable(self):
        """Whether the connection can be used for another exchange."""
        return self._client.is_usable

    def is_stale(self):
        """Return whether the server has closed the idle connection."""
        return self._client.is_stale()

    async def search(self, request_id, remaining_s, sub):
        """Send the idempotent sub-request ``sub`` and return its ``UpstreamReply``.

        Raises ``UpstreamError`` when the response does not carry ``request_id``.
        """
        body = orjson.dumps(
            {
                "workload": sub.workload,
                "query": sub.body,
                "index_version": sub.version,
                "epoch": sub.epoch,
                "ranges": sub.ranges,
            }
        )
        headers = {
            "content-type": "application/json",
            "x-request-id": request_id,
            "x-deadline-ms": str(max(0, int(remaining_s * 1000))),
        }
        self._exchange_count += 1
        response = await self._client.request("POST", "/v1/search", headers, body)
        reply = _decode_reply(response)
        self._check_identity(response, reply, "request_id", request_id)
        return reply

    def _check_identity(self, response, reply, field, expected_id):
        """Raise ``UpstreamError`` when the response belongs to another request.

        A successful response has the id in ``field`` of its body, a refusal in the
        header X-Request-Id. A refusal without the header is only accepted on a new
        connection: on one that was used before it may be a late copy of the refusal
        of an earlier request, and say "not run" of this one.
        """
        actual_id = response.headers.get("x-request-id")
        if actual_id is None and self._exchange_count == 1:
            actual_id = expected_id
        if reply.code == ResultCode.OK:
            actual_id = reply.body.get(field) if isinstance(reply.body, dict) else None
        if actual_id != expected_id:
            self._client.is_usable = False
            raise UpstreamError(
                "the response belongs to another request", ResultCode.BAD_RESPONSE
            )

    async def revise(self, remaining_s, sub, before_write):
        """Send the non-idempotent ``sub`` once and return its ``UpstreamReply``.

        ``before_write`` is called right before the first byte is written and may
        raise to stop the request.
        """
        headers = {
            "content-type": "application/json",
            "x-execution-id": sub.execution_id,
            "x-deadline-ms": str(max(0, int(remaining_s * 1000))),
        }
        body = orjson.dumps({"workload": sub.workload, "revision": sub.body})
        self._exchange_count += 1
        response = await self._client.request(
            "POST", "/v1/revise", headers, body, before_write
        )
        reply = _decode_reply(response)
        self._check_identity(response, reply, "execution_id", sub.execution_id)
        if reply.code != ResultCode.OK:
            self._note_refused(sub.execution_id)
        return reply

    def may_revise(self, execution_id):
        """Return whether no revision with ``execution_id`` was refused on it."""
        return execution_id not in self._revised_ids

    def _note_refused(self, execution_id):
        """Remember a refused revision, which may be sent to the server again."""
        if len(self._revised_ids) >= MAX_REVISED_IDS:
            self._client.is_usable = False
        self._revised_ids.add(execution_id)

    async def cancel(self, request_id):
        """Ask the server to cancel the exchange with ``request_id``."""
        await self._client.request("DELETE", f"/v1/requests/{request_id}")

    async def status(self):
        """Return the state, versions and epochs that the server reports."""
        async with curio.timeout_after(STATUS_TIMEOUT_S):
            return _decode_reply(await self._client.request("GET", "/v1/status"))

    async def close(self):
        """Close the connection."""
        await self._client.close()


class HTTPUpstreams(BaseUpstreams):
    """Opens HTTP connections to servers."""

    __slots__ = ()

    async def connect(self, address, timeout_s):
        """Connect to ``(host, port)``; raises ``UpstreamError``."""
        try:
            client = await HTTPClient.open(address, timeout_s)
        except (OSError, curio.TaskTimeout) as exc:
            raise UpstreamError(
                f"cannot connect to {address[0]}:{address[1]}",
                ResultCode.UPSTREAM_UNREACHABLE,
                not_run=True,
            ) from exc
        return HTTPUpstreamConnection(client)
