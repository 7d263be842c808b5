"""Clients of the caller API and of the admin API, for the command line."""

import random
import secrets
from urllib.parse import quote

import curio
import h11

from .adapters.http import HTTPClient
from .addresses import format_address, parse_address
from .clock import SystemClock
from .errors import ClientError, ResultCode, UpstreamError

__all__ = [
    "AdminClient",
    "CallerClient",
    "ClientAnswer",
    "format_address",
    "read_fleet_reports",
]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_TIMEOUT_S = 30.0
# How long a response may arrive after its deadline.
ANSWER_MARGIN_S = 1.0
MAX_TRIES = 4
# Concurrent admin calls of one command.
MAX_CONCURRENT_CALLS = 64
MAX_IDLE_CONNECTIONS = 256
EXECUTION_SUFFIX_BYTES = 8

# Refusals after which another attempt may succeed, if the response says "not run".
_TEMPORARY_CODES = frozenset(
    {ResultCode.OVERLOADED, ResultCode.DRAINING, ResultCode.NOT_READY}
)


class ClientAnswer:
    """The last response to a request, with the address of its entry.

    ``body`` is the decoded JSON body, ``tries`` the number of attempts.
    ``is_uncertain`` is True when an earlier attempt may have run: its connection was
    lost after the request had been sent.
    """

    __slots__ = ("address", "body", "code", "is_uncertain", "status", "tries")

    def __init__(self, status, body, address):
        self.status = status
        self.body = body
        self.address = address
        self.tries = 0
        self.is_uncertain = False
        code = body.get("code") if isinstance(body, dict) else None
        try:
            self.code = ResultCode(code)
        except ValueError:
            self.code = ResultCode.OK if status == 200 else ResultCode.INTERNAL

    @property
    def not_run(self):
        """Whether no upstream has run the request in any attempt."""
        return self.is_stated_not_run and not self.is_uncertain

    @property
    def is_stated_not_run(self):
        """Whether this response says that its own attempt was not run."""
        return isinstance(self.body, dict) and self.body.get("not_run") is True

    @property
    def retry_after_s(self):
        """Delay in seconds before another attempt; 0.0 when not stated."""
        return (self.body.get("retry_after_ms") or 0) / 1000.0

    def mark_uncertain(self):
        """Record that an earlier attempt of the request may have run."""
        self.is_uncertain = True

    @property
    def is_temporary_refusal(self):
        """Whether this attempt was not run and the request may be sent again."""
        return self.is_stated_not_run and self.code in _TEMPORARY_CODES


class _Connections:
    """Pool of idle connections by address; each serves one exchange at a time."""

    __slots__ = ("_idle",)

    def __init__(self):
        self._idle = {}

    async def exchange(self, address, method, path, headers, body, timeout_s):
        """Send a request and return its ``HTTPResponse``; raises ``ClientError``.

        The code of the error is NO_ANSWER when no connection could be opened,
        BAD_REQUEST when the request is not valid HTTP, and CONNECTION_LOST when the
        daemon may have received the request.
        """
        name = format_address(address)
        try:
            client = await self._acquire(address, min(timeout_s, CONNECT_TIMEOUT_S))
        except (OSError, curio.TaskTimeout) as exc:
            reason = str(exc) or "timed out"
            raise ClientError(
                f"cannot connect to {name}: {reason}", not_run=True
            ) from exc
        try:
            async with curio.timeout_after(timeout_s):
                response = await client.request(method, path, headers, body)
        except curio.TaskTimeout as exc:
            await client.close()
            raise ClientError(
                f"no answer from {name} in {timeout_s:.1f} s",
                ResultCode.CONNECTION_LOST,
            ) from exc
        except h11.LocalProtocolError as exc:
            await client.close()
            raise ClientError(
                f"the request cannot be sent: {exc}",
                ResultCode.BAD_REQUEST,
                not_run=True,
            ) from exc
        except UpstreamError as exc:
            await client.close()
            raise ClientError(
                f"{name}: {exc.message}", ResultCode.CONNECTION_LOST
            ) from exc
        except BaseException:
            await client.close()
            raise
        await self._release(address, client)
        return response

    async def _acquire(self, address, timeout_s):
        idle = self._idle.get(address, [])
        while idle:
            client = idle.pop()
            if not client.is_stale():
                return client
            await client.close()
        return await HTTPClient.open(address, timeout_s)

    async def _release(self, address, client):
        if (
            client.is_usable
            and sum(map(len, self._idle.values())) < MAX_IDLE_CONNECTIONS
        ):
            self._idle.setdefault(address, []).append(client)
        else:
            await client.close()

    async def close(self):
        for clients in self._idle.values():
            while clients:
                await clients.pop().close()


def _decode(response, address):
    try:
        body = response.json()
    except ValueError as exc:
        raise ClientError(
            f"{format_address(address)}: the answer is not valid JSON",
            ResultCode.BAD_RESPONSE,
        ) from exc
    return ClientAnswer(response.status, body, address)


class CallerClient:
    """Sends requests to the entries that the tier lists.

    ``seeds`` are addresses ``(host, port)`` that are asked for the list of entries.
    The list is cached for its ``max_age_ms``. An entry that was lost or is draining
    is avoided until the list is requested again.
    """

    __slots__ = (
        "_avoided",
        "_clock",
        "_connections",
        "_entries",
        "_entries_expire_at",
        "_rng",
        "_seeds",
    )

    def __init__(self, seeds, clock=None, rng=None):
        self._seeds = list(seeds)
        self._clock = clock or SystemClock()
        self._rng = rng or random.Random()
        self._connections = _Connections()
        self._entries = None
        self._entries_expire_at = 0.0
        self._avoided = set()

    async def entries(self, timeout_s=DEFAULT_TIMEOUT_S):
        """Return the body of ``GET /v1/entries``, cached for its ``max_age_ms``.

        Raises ``ClientError`` when no known address returns a usable answer.
        """
        if (
            self._entries is not None
            and self._clock.monotonic() < self._entries_expire_at
        ):
            return self._entries
        reasons = []
        deadline = self._clock.monotonic() + timeout_s
        for address in self._known_addresses():
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                break
            asked_at = self._clock.monotonic()
            try:
                answer = await self._get(address, "/v1/entries", remaining_s)
                self._store_entries(answer, asked_at)
            except ClientError as exc:
                reasons.append(exc.message)
                continue
            return self._entries
        raise ClientError(
            "no entry answers: " + ("; ".join(reasons) or "timed out"),
            not_run=True,
        )

    def _known_addresses(self):
        """Return the seeds and the last known entries without duplicates."""
        known = dict.fromkeys(self._shuffled(self._seeds))
        if self._entries is not None:
            known.update(dict.fromkeys(_addresses(self._entries)))
        return list(known)

    def _shuffled(self, items):
        return self._rng.sample(items, len(items))

    async def _get(self, address, path, timeout_s):
        response = await self._connections.exchange(
            address, "GET", path, {}, b"", timeout_s
        )
        return _decode(response, address)

    def _store_entries(self, answer, asked_at):
        """Cache an entries answer; its age counts from monotonic time ``asked_at``."""
        body = answer.body
        try:
            if answer.status != 200 or not _addresses(body):
                raise ValueError(f"status {answer.status} without entries")
            max_age_s = float(body["max_age_ms"]) / 1000.0
        except (KeyError, TypeError, ValueError) as exc:
            raise ClientError(
                f"{format_address(answer.address)}: unusable entries answer: {exc}"
            ) from exc
        self._entries = body
        self._entries_expire_at = asked_at + max_age_s
        self._avoided.clear()

    async def _choose_entry(self, timeout_s):
        """Return the address of a random entry, avoiding lost and draining ones."""
        entries = await self.entries(timeout_s)
        usable = [a for a in _addresses(entries) if a not in self._avoided]
        if not usable:
            self._entries_expire_at = 0.0
            usable = _addresses(await self.entries(timeout_s))
        return self._rng.choice(usable)

    async def query(self, workload, body, deadline_ms=None, request_id=None):
        """Return the ``ClientAnswer`` to an idempotent query.

        ``body`` is JSON text as bytes. Within the deadline, the query is sent at most
        ``MAX_TRIES`` times: it is sent again after a lost connection, and after a
        temporary refusal that says "not run".
        """
        path = f"/v1/workloads/{quote(workload, safe='')}/query"
        headers = {"almondtide-request-id": request_id or new_request_id()}
        return await self._send_with_retries(path, headers, body, deadline_ms)

    async def new_execution_id(self, timeout_s=DEFAULT_TIMEOUT_S):
        """Return a new execution id: the prefix of the tier and a random suffix."""
        entries = await self.entries(timeout_s)
        prefix = entries.get("execution_prefix")
        if not isinstance(prefix, str) or not prefix:
            raise ClientError("the entries answer has no execution_prefix")
        return f"{prefix}~{secrets.token_hex(EXECUTION_SUFFIX_BYTES)}"

    async def revise(
        self, workload, execution_id, body, deadline_ms=None, request_id=None
    ):
        """Return the ``ClientAnswer`` to a non-idempotent request.

        After a lost connection, and after a temporary refusal that says "not run",
        the request is sent again through another entry with the same
        ``execution_id``. This is safe, because the tier runs an execution id at most
        once.
        """
        path = f"/v1/workloads/{quote(workload, safe='')}/revise"
        headers = {
            "almondtide-request-id": request_id or new_request_id(),
            "almondtide-execution-id": execution_id,
        }
        return await self._send_with_retries(path, headers, body, deadline_ms)

    async def _send_with_retries(self, path, headers, body, deadline_ms):
        now = self._clock.monotonic
        if deadline_ms is None:
            deadline = now() + DEFAULT_TIMEOUT_S
        else:
            deadline = now() + deadline_ms / 1000.0
        answer = None
        failure = None
        may_have_run = False
        for number in range(1, MAX_TRIES + 1):
            remaining_s = deadline - now()
            if remaining_s <= 0 and number > 1:
                break
            try:
                address = await self._choose_entry(max(remaining_s, 0.1))
                answer = await self._send_once(
                    address, path, headers, body, deadline, deadline_ms
                )
            except ClientError as exc:
                if exc.code == ResultCode.BAD_REQUEST:
                    raise
                failure = exc
                may_have_run = may_have_run or not exc.not_run
                continue
            answer.tries = number
            if may_have_run:
                answer.mark_uncertain()
            if (
                not answer.is_temporary_refusal
                or now() + answer.retry_after_s >= deadline
            ):
                return answer
            await curio.sleep(answer.retry_after_s)
        if answer is not None and not may_have_run:
            return answer
        raise failure

    async def _send_once(self, address, path, headers, body, deadline, deadline_ms):
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        sent = {"content-type": "application/json", **headers}
        if deadline_ms is not None:
            sent["almondtide-deadline-ms"] = f"{remaining_s * 1000:.0f}"
        try:
            response = await self._connections.exchange(
                address, "POST", path, sent, body, remaining_s + ANSWER_MARGIN_S
            )
        except ClientError:
            self._avoided.add(address)
            raise
        answer = _decode(response, address)
        if answer.is_temporary_refusal and answer.code != ResultCode.OVERLOADED:
            self._avoided.add(address)
        return answer

    async def close(self):
        """Close all connections."""
        await self._connections.close()


def new_request_id():
    """Return a random request id."""
    return f"cli-{secrets.token_hex(6)}"


def _addresses(entries):
    return [parse_address(item["address"]) for item in entries["entries"]]


class AdminClient:
    """Calls the admin API of daemons, with a limit on concurrent calls."""

    __slots__ = ("_call_slots", "_connections", "_timeout_s", "_token")

    def __init__(self, token, timeout_s=3.0):
        self._token = token
        self._timeout_s = timeout_s
        self._call_slots = curio.Semaphore(MAX_CONCURRENT_CALLS)
        self._connections = _Connections()

    async def call(self, address, name, method="GET"):
        """Return the decoded report ``name`` of one daemon.

        Raises ``ClientError`` when the daemon does not answer or refuses.
        """
        headers = {"authorization": f"Bearer {self._token}"}
        async with self._call_slots:
            response = await self._connections.exchange(
                address, method, f"/admin/v1/{name}", headers, b"", self._timeout_s
            )
        answer = _decode(response, address)
        if answer.status >= 300:
            reason = f"status {answer.status}"
            if isinstance(answer.body, dict):
                reason = answer.body.get("message", reason)
            raise ClientError(f"{format_address(address)}: {reason}", answer.code)
        return answer.body

    async def call_all(self, addresses, name):
        """Return a dict from address to report or ``ClientError``."""
        return await gather(addresses, self.call, name)

    async def discover(self, addresses):
        """Return ``addresses`` and the admin addresses of all members they know.

        Raises ``ClientError`` when none of ``addresses`` answers.
        """
        found = dict.fromkeys(addresses)
        reports = await self.call_all(addresses, "members")
        members = [item for item in reports.values() if isinstance(item, list)]
        if not members:
            raise next(iter(reports.values()))
        for report in members:
            for member in report:
                if member.get("admin"):
                    found[parse_address(member["admin"])] = None
        return list(found)

    async def close(self):
        """Close all connections."""
        await self._connections.close()


async def gather(addresses, function, *args):
    """Return a dict from address to the result of ``function(address, *args)``.

    The calls run concurrently. A ``ClientError`` becomes the result of its address.
    """

    async def call_or_error(address):
        try:
            return await function(address, *args)
        except ClientError as exc:
            return exc

    tasks = {
        address: await curio.spawn(call_or_error, address) for address in addresses
    }
    return {address: await task.join() for address, task in tasks.items()}


async def read_fleet_reports(addresses, token, listed_only, name):
    """Return a dict from admin address to the report ``name`` or the error.

    Asks ``addresses`` and, unless ``listed_only``, all members that they know.
    Raises ``ClientError`` when no daemon answers.
    """
    client = AdminClient(token)
    try:
        if not listed_only:
            addresses = await client.discover(addresses)
        reports = await client.call_all(addresses, name)
    finally:
        await client.close()
    if all(isinstance(report, ClientError) for report in reports.values()):
        raise next(iter(reports.values()))
    return reports
