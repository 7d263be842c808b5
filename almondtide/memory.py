"""Memory variants of the ports, for tests and measurements without a network."""

import collections
import enum

import curio

from .errors import AlmondtideError, PeerError, PlatformError, ResultCode, UpstreamError
from .messages import ErrorReply, decode_frame, encode_frame
from .ports import (
    BasePeers,
    BasePlatform,
    BaseUpstreamConnection,
    BaseUpstreams,
    Document,
    LocalCall,
    UpstreamReply,
    unreachable,
)

__all__ = [
    "MemoryFault",
    "MemoryNetwork",
    "MemoryPeers",
    "MemoryPlatform",
    "MemoryServer",
    "MemoryUpstreams",
]


class MemoryPlatform(BasePlatform):
    """A platform in memory for tests; ``available`` and ``documents`` are set."""

    __slots__ = ("available", "calls", "documents")

    def __init__(self):
        self.documents = {}
        self.available = True
        self.calls = 0

    def publish(self, name, revision, body):
        """Make ``body`` the current document."""
        self.documents[name] = Document(name, revision, body)

    async def read(self, name):
        """Return the current document or raise ``PlatformError``."""
        self.calls += 1
        if not self.available or name not in self.documents:
            raise PlatformError(f"document {name} is not available")
        return self.documents[name]

    async def watch(self, name, after, wait_s):
        """Return the document when it is newer than ``after``, without waiting."""
        document = await self.read(name)
        return document if document.revision > after else None


class MemoryFault(enum.Enum):
    """A fault that a test scripts for one exchange of a Memory variant.

    Peers know REFUSED, LOST and DRAINING; servers know all but REFUSED.
    """

    NONE = "none"
    # The link or connection cannot be opened.
    REFUSED = "refused"
    # The request is handled, but its reply never arrives.
    LOST = "lost"
    SLOW = "slow"
    SHED = "shed"
    DRAINING = "draining"
    ERROR = "error"
    WRONG_VERSION = "wrong_version"
    WRONG_EPOCH = "wrong_epoch"
    WRONG_RANGES = "wrong_ranges"


class _MemoryCall(LocalCall):
    __slots__ = ()

    async def reply(self, message):
        """Hand a copy of ``message`` to the caller, as a link would."""
        await super().reply(_copy(message))


def _copy(message):
    return decode_frame(encode_frame((0, 0), [message]))[1][0]


class MemoryNetwork:
    """Links between the ``MemoryPeers`` of one process.

    ``faults`` maps an instance to a deque of ``MemoryFault``; each call of the
    instance takes one.
    """

    __slots__ = ("faults", "peers")

    def __init__(self):
        self.peers = {}
        self.faults = collections.defaultdict(collections.deque)


class MemoryPeers(BasePeers):
    """Peers in memory for tests. Messages pass through the CBOR codec."""

    __slots__ = ("_handlers", "_network", "instance")

    def __init__(self, instance, network):
        self.instance = instance
        self._network = network
        self._handlers = {}
        network.peers[instance] = self

    def register(self, message_class, handler):
        """Serve requests: ``await handler(sender, message, reply)``."""
        self._handlers[message_class] = handler

    async def call(self, instance, message, inbox):
        """Send a request; replies go to ``inbox`` as (call, reply)."""
        faults = self._network.faults[instance]
        fault = faults.popleft() if faults else MemoryFault.NONE
        if instance not in self._network.peers or fault is MemoryFault.REFUSED:
            raise unreachable(instance)
        call = _MemoryCall(instance, inbox)
        if fault is MemoryFault.DRAINING:
            refusal = ErrorReply(code=int(ResultCode.DRAINING), not_run=True)
            await call.reply(refusal)
            return call
        target = self._network.peers[instance]
        await curio.spawn(
            target.handle, self.instance, _copy(message), call.reply, daemon=True
        )
        if fault is MemoryFault.LOST:
            call.close()
            await inbox.put((call, PeerError(f"{instance} closed the link")))
        return call

    async def handle(self, sender, message, reply):
        """Run the handler of a received message."""
        try:
            await self._handlers[type(message)](sender, message, reply)
        except AlmondtideError as exc:
            error = ErrorReply(
                code=int(exc.code), message=exc.message, not_run=exc.not_run
            )
            await reply(error)

    async def request(self, instance, message, timeout_s):
        """Send a request and return its single reply; raises ``PeerError``."""
        inbox = curio.Queue()
        call = await self.call(instance, message, inbox)
        try:
            async with curio.timeout_after(timeout_s):
                _, reply = await inbox.get()
        except curio.TaskTimeout as exc:
            raise PeerError(f"no reply of {instance} in {timeout_s} s") from exc
        finally:
            call.close()
        if isinstance(reply, PeerError):
            raise reply
        return reply

    async def send(self, instance, message):
        """Send a one-way message; raises ``PeerError`` when unreachable."""
        call = await self.call(instance, message, curio.Queue())
        call.close()

    async def send_if_open(self, instance, message):
        """Send a one-way message; an unreachable instance is no error."""
        try:
            await self.send(instance, message)
        except PeerError:
            pass

    async def check(self, instance):
        """Do nothing: scripted faults leave no lasting state to probe."""


class MemoryServer:
    """One upstream server in memory for tests.

    ``search(query, version, ranges)`` returns the rows of the index. ``held`` maps
    an epoch to the key ranges that the server holds. Each search takes one
    ``MemoryFault`` from ``faults``. ``ran`` counts the searches that started and
    ``repeated`` lists request ids that were used twice: a cancellation would then
    stop the wrong search.
    """

    __slots__ = (
        "draining",
        "faults",
        "held",
        "in_use",
        "ran",
        "repeated",
        "running",
        "search",
        "seen",
        "service_s",
        "slots",
        "slow_s",
        "versions",
    )

    def __init__(self, search, versions, held, *, slots=3, service_s=0.0, slow_s=1.0):
        self.search = search
        self.versions = list(versions)
        self.held = held
        self.slots = slots
        self.service_s = service_s
        self.slow_s = slow_s
        self.draining = False
        self.faults = collections.deque()
        self.in_use = 0
        self.ran = 0
        self.running = {}
        self.seen = set()
        self.repeated = []

    def reply(self, code, body=None, not_run=False):
        """Return a reply that states the server's versions and epochs."""
        return UpstreamReply(
            code, body, not_run, self.draining, list(self.versions), sorted(self.held)
        )

    def holds(self, version, epoch, ranges):
        """Return whether the server can answer for the snapshot and ranges."""
        held = self.held.get(epoch, ())
        return version in self.versions and all(
            any(low <= wanted[0] and wanted[1] <= high for low, high in held)
            for wanted in ranges
        )

    async def run(self, request_id, remaining_s, sub):
        """Run one search, with the next scripted fault."""
        fault = self.faults.popleft() if self.faults else MemoryFault.NONE
        if request_id in self.seen:
            self.repeated.append(request_id)
        self.seen.add(request_id)
        if fault is MemoryFault.DRAINING:
            self.draining = True
        if self.draining:
            return self.reply(ResultCode.UPSTREAM_DRAINING, not_run=True)
        if fault is MemoryFault.SHED or self.in_use >= self.slots:
            return self.reply(ResultCode.UPSTREAM_SHED, not_run=True)
        if not self.holds(sub.version, sub.epoch, sub.ranges):
            return self.reply(ResultCode.SNAPSHOT_UNAVAILABLE, not_run=True)
        ended = await self._occupy(request_id, remaining_s, fault)
        if fault is MemoryFault.LOST:
            raise UpstreamError("connection lost", ResultCode.UPSTREAM_LOST)
        if fault is MemoryFault.ERROR:
            return self.reply(ResultCode.UPSTREAM_ERROR)
        if ended is not None:
            return self.reply(ended)
        return self.reply(ResultCode.OK, self._answer(request_id, sub, fault))

    async def _occupy(self, request_id, remaining_s, fault):
        """Use a slot; returns None or the code of an early end."""
        seconds = self.slow_s if fault is MemoryFault.SLOW else self.service_s
        cancelled = curio.Event()
        self.running[request_id] = cancelled
        self.in_use += 1
        self.ran += 1
        try:
            async with curio.ignore_after(min(seconds, max(0.0, remaining_s))):
                await cancelled.wait()
        finally:
            self.in_use -= 1
            self.running.pop(request_id, None)
        if cancelled.is_set():
            return ResultCode.CANCELLED
        return ResultCode.DEADLINE_EXCEEDED if seconds > remaining_s else None

    def _answer(self, request_id, sub, fault):
        """Return the body; the data of a wrong reply fit what it states."""
        version, epoch = sub.version, sub.epoch
        ranges = [list(item) for item in sub.ranges]
        if fault is MemoryFault.WRONG_VERSION:
            version += 1
        elif fault is MemoryFault.WRONG_EPOCH:
            epoch += 1
        elif fault is MemoryFault.WRONG_RANGES:
            ranges = ranges[1:]
        return {
            "request_id": request_id,
            "index_version": version,
            "epoch": epoch,
            "ranges": ranges,
            "rows": self.search(sub.body, version, ranges),
        }


class _MemoryUpstreamConnection(BaseUpstreamConnection):
    __slots__ = ("_server", "usable")

    def __init__(self, server):
        self._server = server
        self.usable = True

    async def search(self, request_id, remaining_s, sub):
        self.usable = False
        reply = await self._server.run(request_id, remaining_s, sub)
        self.usable = True
        return reply

    async def cancel(self, request_id):
        event = self._server.running.get(request_id)
        if event is not None:
            await event.set()

    async def status(self):
        return self._server.reply(ResultCode.OK)

    async def close(self):
        self.usable = False


class MemoryUpstreams(BaseUpstreams):
    """Upstream servers in memory for tests: a dict from address to server."""

    __slots__ = ("servers",)

    def __init__(self, servers):
        self.servers = servers

    async def connect(self, address, timeout_s):
        """Return a connection, or raise ``UpstreamError`` for no server."""
        server = self.servers.get(address)
        if server is None:
            raise UpstreamError(
                "connection refused", ResultCode.UPSTREAM_UNREACHABLE, not_run=True
            )
        return _MemoryUpstreamConnection(server)
