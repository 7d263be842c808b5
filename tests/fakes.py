"""Fakes of peers and upstreams for tests of single modules."""

import curio

from almondtide.configuration import parse_configuration
from almondtide.errors import PeerError, ResultCode, UpstreamError
from almondtide.membership import ENTRY, UPSTREAM, Member, Membership
from almondtide.metrics import Metrics
from almondtide.ports import (
    BasePeers,
    BaseUpstreamConnection,
    BaseUpstreams,
    UpstreamReply,
)
from tests.documents import make_document

__all__ = [
    "PeerFailure",
    "ScriptedPeers",
    "ScriptedServer",
    "ScriptedUpstreams",
    "make_configuration",
    "make_membership",
    "make_metrics",
]


class PeerFailure:
    """Scripted failure of a peer; ``was_sent`` tells if the request was sent before."""

    def __init__(self, was_sent):
        self.was_sent = was_sent


class ScriptedPeers(BasePeers):
    """Peers whose replies a test scripts.

    ``script`` maps an instance to an async function that takes a message and returns a
    reply or a ``PeerFailure``. ``requests`` records the requests and ``notices`` the
    one-way messages as (instance, message).
    """

    def __init__(self, script=None):
        self.script = script or {}
        self.requests = []
        self.notices = []
        self.handlers = {}

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    async def request(self, instance, message, timeout_s):
        self.requests.append((instance, message))
        reply = await self.script[instance](message)
        if isinstance(reply, PeerFailure):
            raise PeerError(f"{instance} is lost", not_run=not reply.was_sent)
        return reply

    async def send(self, instance, message):
        self.notices.append((instance, message))

    async def send_if_open(self, instance, message):
        self.notices.append((instance, message))


class ScriptedServer:
    """Scripted behaviour of one upstream server and a record of what it ran.

    ``service_s`` is the time of an exchange in seconds, ``code`` its result code.
    ``loses_connection`` makes every exchange end with a lost connection.
    ``cancel_events`` maps a request id to the event that ends its exchange early.
    """

    def __init__(self, service_s=0.0, code=ResultCode.OK):
        self.service_s = service_s
        self.code = code
        self.not_run = False
        self.loses_connection = False
        self.is_reachable = True
        self.is_draining = False
        self.versions = [1]
        self.epochs = [1]
        self.answered_version = None
        self.ran = []
        self.cancel_events = {}
        self.max_concurrent = 0
        self.running_count = 0


class _ScriptedConnection(BaseUpstreamConnection):
    def __init__(self, server):
        self.server = server
        self.is_usable = True

    def _make_reply(self, code, body=None, not_run=False):
        server = self.server
        return UpstreamReply(
            code, body, not_run, server.is_draining, server.versions, server.epochs
        )

    async def _exchange(self, request_id):
        server = self.server
        if server.not_run:
            return self._make_reply(server.code, not_run=True)
        server.ran.append(request_id)
        server.running_count += 1
        server.max_concurrent = max(server.max_concurrent, server.running_count)
        cancel_event = server.cancel_events.setdefault(request_id, curio.Event())
        try:
            async with curio.ignore_after(server.service_s):
                await cancel_event.wait()
        finally:
            server.running_count -= 1
        if server.loses_connection:
            self.is_usable = False
            raise UpstreamError("lost", ResultCode.UPSTREAM_LOST)
        if cancel_event.is_set():
            return self._make_reply(ResultCode.CANCELLED)
        return None

    async def search(self, request_id, remaining_s, sub_request):
        early_reply = await self._exchange(request_id)
        if early_reply is not None:
            return early_reply
        body = {
            "request_id": request_id,
            "index_version": self.server.answered_version or sub_request.version,
            "epoch": sub_request.epoch,
            "ranges": sub_request.ranges,
            "rows": [],
        }
        if self.server.code != ResultCode.OK:
            return self._make_reply(self.server.code)
        return self._make_reply(ResultCode.OK, body)

    async def revise(self, remaining_s, sub_request, before_write):
        before_write()
        early_reply = await self._exchange(sub_request.execution_id)
        return early_reply or self._make_reply(self.server.code, {})

    async def cancel(self, request_id):
        await self.server.cancel_events.setdefault(request_id, curio.Event()).set()

    async def status(self):
        return self._make_reply(ResultCode.OK)


class ScriptedUpstreams(BaseUpstreams):
    """Servers of one service; the port of an address is the index in ``servers``."""

    def __init__(self, servers):
        self.servers = servers

    async def connect(self, address, timeout_s):
        server = self.servers[address[1]]
        if not server.is_reachable:
            raise UpstreamError("refused", ResultCode.UPSTREAM_UNREACHABLE)
        return _ScriptedConnection(server)

    def members(self, service="advisory-0"):
        """Return the servers as members of the platform's list."""
        return [
            Member(f"s{n}", UPSTREAM, ("127.0.0.1", n), f"domain-{n}", service=service)
            for n in range(len(self.servers))
        ]


def make_configuration(**options):
    """Return a function without parameters that returns a ``Configuration``.

    ``options`` are those of ``make_document``.
    """
    cfg = parse_configuration(make_document(**options), revision=1)
    return lambda: cfg


async def make_membership(clock, count=3, instance="entry-0"):
    """Return a membership whose list holds ``count`` daemons."""
    membership = Membership(instance, clock)
    members = [
        Member(f"entry-{n}", ENTRY, ("127.0.0.1", 1000 + n), f"domain-{n % 3}")
        for n in range(count)
    ]
    await membership.update_list(members)
    return membership


def make_metrics():
    """Return the metrics of a daemon."""
    return Metrics()
