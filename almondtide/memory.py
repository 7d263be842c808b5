"""In-memory implementations of the ports, for tests and benchmarks."""

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
    unreachable_error,
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
    """A platform in memory for tests.

    ``documents`` maps a name to its ``Document``. While ``available`` is False, all
    reads fail. ``calls`` counts the reads.
    """

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
    """A fault of one exchange, scripted by a test.

    ``MemoryPeers`` supports REFUSED, LOST and DRAINING, ``MemoryServer`` all faults but
    REFUSED.
    """

    NONE = "none"
    # The link or connection cannot be opened.
    REFUSED = "refused"
    # The request is run, but its reply is lost with the connection.
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
        """Deliver ``message`` after encoding and decoding it, as a link does."""
        await super().reply(_encode_and_decode(message))


def _encode_and_decode(message):
    return decode_frame(encode_frame((0, 0), [message]))[1][0]


class MemoryNetwork:
    """Connects the ``MemoryPeers`` of one process.

    ``faults`` maps an instance to a deque of ``MemoryFault``; each call to the
    instance takes one.
    """

    __slots__ = ("faults", "peers")

    def __init__(self):
        self.peers = {}
        self.faults = collections.defaultdict(collections.deque)


class MemoryPeers(BasePeers):
    """Peers in memory for tests. Messages are encoded and decoded as CBOR."""

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
            raise unreachable_error(instance)
        call = _MemoryCall(instance, inbox)
        if fault is MemoryFault.DRAINING:
            refusal = ErrorReply(code=int(ResultCode.DRAINING), not_run=True)
            await call.reply(refusal)
            return call
        target = self._network.peers[instance]
        await curio.spawn(
            target.handle,
            self.instance,
            _encode_and_decode(message),
            call.reply,
            daemon=True,
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
            raise PeerError(f"no reply from {instance} in {timeout_s} s") from exc
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
        """Send a one-way message; does nothing when the instance is unreachable."""
        try:
            await self.send(instance, message)
        except PeerError:
            pass

    async def start_check(self, instance):
        """Do nothing: a scripted fault affects one call only."""


class MemoryServer:
    """One upstream server in memory for tests.

    ``search(query, version, ranges)`` returns the rows of the index.
    ``ranges_by_epoch`` maps an epoch to the key ranges that the server holds. Each
    search takes one ``MemoryFault`` from ``faults``. ``search_count`` is the number
    of searches that started. ``repeated_ids`` lists the request ids that were used
    more than once; a cancellation could then stop the wrong search.
    """

    __slots__ = (
        "cancel_events",
        "faults",
        "in_use",
        "is_draining",
        "ranges_by_epoch",
        "repeated_ids",
        "search",
        "search_count",
        "seen_ids",
        "service_s",
        "slots",
        "slow_service_s",
        "versions",
    )

    def __init__(
        self,
        search,
        versions,
        ranges_by_epoch,
        *,
        slots=3,
        service_s=0.0,
        slow_service_s=1.0,
    ):
        self.search = search
        self.versions = list(versions)
        self.ranges_by_epoch = ranges_by_epoch
        self.slots = slots
        self.service_s = service_s
        self.slow_service_s = slow_service_s
        self.is_draining = False
        self.faults = collections.deque()
        self.in_use = 0
        self.search_count = 0
        self.cancel_events = {}
        self.seen_ids = set()
        self.repeated_ids = []

    def reply(self, code, body=None, not_run=False):
        """Return a reply that states the server's versions and epochs."""
        return UpstreamReply(
            code,
            body,
            not_run,
            self.is_draining,
            list(self.versions),
            sorted(self.ranges_by_epoch),
        )

    def can_answer(self, version, epoch, ranges):
        """Return whether the server can answer for the snapshot and ranges."""
        held_ranges = self.ranges_by_epoch.get(epoch, ())
        return version in self.versions and all(
            any(low <= wanted[0] and wanted[1] <= high for low, high in held_ranges)
            for wanted in ranges
        )

    async def run_search(self, request_id, remaining_s, sub_request):
        """Run one search with the next scripted fault.

        Returns an ``UpstreamReply``; raises ``UpstreamError`` for the fault LOST.
        """
        fault = self.faults.popleft() if self.faults else MemoryFault.NONE
        if request_id in self.seen_ids:
            self.repeated_ids.append(request_id)
        self.seen_ids.add(request_id)
        if fault is MemoryFault.DRAINING:
            self.is_draining = True
        if self.is_draining:
            return self.reply(ResultCode.UPSTREAM_DRAINING, not_run=True)
        if fault is MemoryFault.SHED or self.in_use >= self.slots:
            return self.reply(ResultCode.UPSTREAM_SHED, not_run=True)
        if not self.can_answer(
            sub_request.version, sub_request.epoch, sub_request.ranges
        ):
            return self.reply(ResultCode.SNAPSHOT_UNAVAILABLE, not_run=True)
        early_code = await self._use_slot(request_id, remaining_s, fault)
        if fault is MemoryFault.LOST:
            raise UpstreamError("connection lost", ResultCode.UPSTREAM_LOST)
        if fault is MemoryFault.ERROR:
            return self.reply(ResultCode.UPSTREAM_ERROR)
        if early_code is not None:
            return self.reply(early_code)
        return self.reply(ResultCode.OK, self._answer(request_id, sub_request, fault))

    async def _use_slot(self, request_id, remaining_s, fault):
        """Use a slot for the time of a search.

        Returns None, or the result code when the search ended early.
        """
        duration_s = (
            self.slow_service_s if fault is MemoryFault.SLOW else self.service_s
        )
        cancel_event = curio.Event()
        self.cancel_events[request_id] = cancel_event
        self.in_use += 1
        self.search_count += 1
        try:
            async with curio.ignore_after(min(duration_s, max(0.0, remaining_s))):
                await cancel_event.wait()
        finally:
            self.in_use -= 1
            self.cancel_events.pop(request_id, None)
        if cancel_event.is_set():
            return ResultCode.CANCELLED
        return ResultCode.DEADLINE_EXCEEDED if duration_s > remaining_s else None

    def _answer(self, request_id, sub_request, fault):
        """Return the body of the answer.

        With a fault WRONG_*, the rows are those of the wrong snapshot or ranges that
        the body states.
        """
        version, epoch = sub_request.version, sub_request.epoch
        ranges = [list(item) for item in sub_request.ranges]
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
            "rows": self.search(sub_request.body, version, ranges),
        }


class _MemoryUpstreamConnection(BaseUpstreamConnection):
    __slots__ = ("_server", "is_usable")

    def __init__(self, server):
        self._server = server
        self.is_usable = True

    async def search(self, request_id, remaining_s, sub_request):
        self.is_usable = False
        reply = await self._server.run_search(request_id, remaining_s, sub_request)
        self.is_usable = True
        return reply

    async def cancel(self, request_id):
        event = self._server.cancel_events.get(request_id)
        if event is not None:
            await event.set()

    async def status(self):
        return self._server.reply(ResultCode.OK)

    async def close(self):
        self.is_usable = False


class MemoryUpstreams(BaseUpstreams):
    """Upstream servers in memory for tests.

    ``servers`` maps an address to its ``MemoryServer``.
    """

    __slots__ = ("servers",)

    def __init__(self, servers):
        self.servers = servers

    async def connect(self, address, timeout_s):
        """Return a connection; raises ``UpstreamError`` for an unknown address."""
        server = self.servers.get(address)
        if server is None:
            raise UpstreamError(
                "connection refused", ResultCode.UPSTREAM_UNREACHABLE, not_run=True
            )
        return _MemoryUpstreamConnection(server)
