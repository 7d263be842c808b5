"""Links to the other daemons: message exchange and failure detection."""

import random

import curio

from ..errors import AlmondtideError, PeerError, PeerSilentError, ResultCode
from ..messages import ErrorReply, Hello, Ping, Pong, decode_frame
from ..ports import BasePeers, LocalCall, unreachable_error
from ..supervision import Supervised
from .peer_link import (
    SILENT_AFTER_S,
    SUSPECT_AFTER_S,
    OutboundLink,
    Outbox,
    PeerCall,
)
from .websocket import accept_websocket

__all__ = ["PeerCall", "PeerNetwork"]

MONITOR_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 1.0
# After a failed dial, messages to the peer fail at once for this time.
DIAL_BACKOFF_S = 0.5
# Every daemon that was in contact with a lost peer probes it. A peer that comes back
# also makes contact itself. The longest interval, with its random variation, is shorter
# than the shortest suspicion in the membership (2 s). Otherwise the peer would return
# to the view between two probes.
PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 1.5
PROBE_BACKOFF_FACTOR = 1.5


class _DialLock(curio.Lock):
    """A lock that counts the tasks which hold it or wait for it."""

    __slots__ = ("user_count",)

    def __init__(self):
        super().__init__()
        self.user_count = 0


class PeerNetwork(BasePeers):
    """All outbound links of one daemon; a link is opened on first use.

    A request is sent on the connection that the sender opened, and its replies
    return on the same connection. A message to the daemon itself goes directly to
    the handler. ``resolve(instance)`` returns the peer address of a member, or
    None. The methods of ``observer`` are called when a peer is seen, suspected,
    recovered or lost.
    """

    __slots__ = (
        "_checks_running",
        "_dial_blocked_until",
        "_dial_locks",
        "_handlers",
        "_links",
        "_monitor_task",
        "_probes_running",
        "admit",
        "call_made",
        "clock",
        "hlc",
        "incarnation",
        "instance",
        "log",
        "observer",
        "resolve",
    )

    def __init__(self, instance, incarnation, clock, hlc, log):
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.hlc = hlc
        self.log = log
        self.resolve = lambda instance: None
        self.observer = None
        # Raises ``AlmondtideError`` for a message that cannot be served now.
        self.admit = lambda sender, message: None
        self._handlers = {}
        self._links = {}
        self._dial_locks = {}
        self._dial_blocked_until = {}
        self._monitor_task = None
        # Set when a request is sent on any link; wakes the monitor task.
        self.call_made = curio.Event()
        self._probes_running = set()
        self._checks_running = set()
        self.register(Ping, self._answer_ping)

    def register(self, message_class, handler):
        """Set the handler for the messages of a class.

        It is called as ``await handler(sender, message, reply)``, where ``reply`` is
        an async function that sends a reply.
        """
        self._handlers[message_class] = handler

    @property
    def link_count(self):
        """Number of open outbound links."""
        return len(self._links)

    async def call(self, instance, message, inbox):
        """Send a request; replies are put into ``inbox`` as (call, reply)."""
        if instance == self.instance:
            call = LocalCall(instance, inbox)
            await self._dispatch(instance, message, call.reply)
            return call
        link = await self._open_link(instance)
        if link.is_silent:
            raise PeerError(
                f"{instance} is silent", ResultCode.PEER_SUSPECT, not_run=True
            )
        return await link.queue_request(message, instance, inbox)

    async def request(self, instance, message, timeout_s):
        """Send a request and return its single reply; raises ``PeerError``."""
        inbox = curio.Queue()
        call = None
        try:
            async with curio.timeout_after(timeout_s):
                call = await self.call(instance, message, inbox)
                reply = await _final_reply(inbox)
        except curio.TaskTimeout as exc:
            raise PeerError(f"no reply from {instance} in {timeout_s} s") from exc
        finally:
            if call is not None:
                call.close()
        if isinstance(reply, PeerError):
            raise reply
        return reply

    async def send(self, instance, message):
        """Send a one-way message; raises ``PeerError`` when unreachable."""
        if instance == self.instance:
            await self._dispatch(instance, message, _discard_reply)
            return
        link = await self._open_link(instance)
        await link.queue_one_way(message)

    async def send_if_open(self, instance, message):
        """Send a one-way message on an open link; do nothing without one."""
        if instance == self.instance:
            await self._dispatch(instance, message, _discard_reply)
            return
        link = self._links.get(instance)
        if link is not None and link.is_open:
            try:
                await link.queue_one_way(message)
            except PeerError:
                pass

    async def _open_link(self, instance):
        link = self._links.get(instance)
        if link is not None and link.is_open:
            return link
        address = self.resolve(instance)
        if address is None:
            raise unreachable_error(instance)
        return await self._dial(instance, address)

    async def _dial(self, instance, address):
        """Open a link, only once for concurrent tasks."""
        lock = self._dial_locks.setdefault(instance, _DialLock())
        lock.user_count += 1
        try:
            return await self._dial_locked(instance, address, lock)
        finally:
            lock.user_count -= 1
            if not lock.user_count:
                del self._dial_locks[instance]

    def _block_dials(self, instance):
        """Refuse to dial an instance again for a while; drop blocks that are over."""
        now = self.clock.monotonic()
        self._dial_blocked_until = {
            name: until
            for name, until in self._dial_blocked_until.items()
            if until > now
        }
        self._dial_blocked_until[instance] = now + DIAL_BACKOFF_S

    async def _dial_locked(self, instance, address, lock):
        async with lock:
            link = self._links.get(instance)
            if link is not None and link.is_open:
                return link
            if self._dial_blocked_until.get(instance, 0.0) > self.clock.monotonic():
                raise PeerError(f"{instance} could not be dialled", not_run=True)
            link = OutboundLink(self, instance, address)
            try:
                await link.start()
            except PeerError as exc:
                await link.close()
                self._block_dials(instance)
                await self._report_unreachable("peer_lost", instance)
                exc.not_run = True
                raise
            self._dial_blocked_until.pop(instance, None)
            self._links[instance] = link
            if self._monitor_task is None:
                monitor = Supervised(
                    "peers", self._monitor, self.clock.monotonic, self.log
                )
                self._monitor_task = await curio.spawn(monitor.run, daemon=True)
        self.log.debug("peer_link_opened", peer=instance)
        return link

    async def link_closed(self, link, error):
        """Remove a closed link; report the peer as lost unless the link was idle."""
        if self._links.get(link.instance) is link:
            del self._links[link.instance]
        self.log.debug("peer_link_closed", peer=link.instance, reason=error.message)
        if not link.is_idle:
            await self._report_unreachable("peer_lost", link.instance)

    async def peer_suspected(self, instance):
        """Report to the observer that a peer has sent nothing for too long."""
        self.log.info("peer_suspected", peer=instance)
        await self._report_unreachable("peer_suspected", instance)

    async def _report_unreachable(self, event, instance):
        """Notify the observer, and probe the peer until it answers again.

        Without the probe, the peer would return to the view when the suspicion
        expires, and requests would fail or wait until it is suspected again.
        """
        await self._notify(event, instance)
        if instance not in self._probes_running:
            self._probes_running.add(instance)
            await curio.spawn(self._probe, instance, daemon=True)

    async def start_check(self, instance):
        """Start a check of a peer that another daemon could not reach.

        Returns at once. A peer that sent something within ``SILENT_AFTER_S`` is
        not checked.
        """
        link = self._links.get(instance)
        now = self.clock.monotonic()
        if link is not None and now - link.last_heard < SILENT_AFTER_S:
            return
        if (
            instance not in self._probes_running
            and instance not in self._checks_running
        ):
            self._checks_running.add(instance)
            await curio.spawn(self._check, instance, daemon=True)

    async def _check(self, instance):
        try:
            answers = await self._answers_ping(instance)
        finally:
            self._checks_running.discard(instance)
        if not answers:
            await self._report_unreachable("peer_suspected", instance)

    async def _probe(self, instance):
        interval_s = PROBE_INTERVAL_S
        try:
            while True:
                await curio.sleep(interval_s * random.uniform(0.8, 1.2))
                interval_s = min(
                    MAX_PROBE_INTERVAL_S, interval_s * PROBE_BACKOFF_FACTOR
                )
                if self.resolve(instance) is None:
                    return
                if await self._answers_ping(instance):
                    await self.peer_recovered(instance)
                    return
                await self._notify("peer_suspected", instance)
        finally:
            self._probes_running.discard(instance)

    async def _answers_ping(self, instance):
        """Return whether a peer answers a ping on its open link or on a new one."""
        try:
            link = await self._open_link(instance)
            heard = link.last_heard
            await link.queue_one_way(Ping())
        except PeerError:
            return False
        waited_s = 0.0
        while waited_s < SUSPECT_AFTER_S and link.is_open and link.last_heard == heard:
            await curio.sleep(MONITOR_INTERVAL_S)
            waited_s += MONITOR_INTERVAL_S
        return link.is_open and link.last_heard > heard

    async def _monitor(self):
        """Check links with open calls for peers that send nothing."""
        last = self.clock.monotonic()
        while True:
            if any(link.open_calls or link.is_silent for link in self._links.values()):
                await curio.sleep(MONITOR_INTERVAL_S)
            else:
                # Links without calls are not polled; a new call ends the wait.
                self.call_made.clear()
                async with curio.ignore_after(IDLE_CHECK_INTERVAL_S):
                    await self.call_made.wait()
                last = self.clock.monotonic()
                await curio.sleep(MONITOR_INTERVAL_S)
            now = self.clock.monotonic()
            # A longer time means that this process did not run meanwhile.
            elapsed_s = min(now - last, 2 * MONITOR_INTERVAL_S)
            last = now
            for link in list(self._links.values()):
                await link.check_silence(elapsed_s, now)

    async def peer_recovered(self, instance):
        """Report to the observer that a suspected peer answers again."""
        self.log.info("peer_recovered", peer=instance)
        await self._notify("peer_recovered", instance)

    async def peer_seen(self, instance, incarnation):
        """Report to the observer which incarnation of a peer answers."""
        # The peer is reachable, so it may be dialled again before the backoff ends.
        self._dial_blocked_until.pop(instance, None)
        await self._notify("peer_seen", instance, incarnation)

    async def _notify(self, event, *args):
        if self.observer is not None:
            await getattr(self.observer, event)(*args)

    async def _answer_ping(self, sender, message, reply):
        await reply(Pong(message.seq, incarnation=self.incarnation))

    async def _dispatch(self, sender, message, reply):
        handler = self._handlers.get(type(message))
        if handler is None:
            if isinstance(message, ErrorReply):
                await reply(message)
                return
            error = ErrorReply(
                message.seq,
                code=int(ResultCode.PEER_PROTOCOL),
                message=f"no handler for {message.TYPE}",
                not_run=True,
            )
            await reply(error)
            return
        try:
            self.admit(sender, message)
            await handler(sender, message, reply)
        except AlmondtideError as exc:
            await reply(
                ErrorReply(
                    message.seq,
                    code=int(exc.code),
                    message=exc.message,
                    not_run=exc.not_run,
                    retry_after_ms=exc.retry_after_ms,
                )
            )

    async def serve(self, sock, address):
        """Serve one inbound connection, in the task of that connection."""
        try:
            websocket = await accept_websocket(sock)
        except PeerError as exc:
            self.log.warning("peer_handshake_failed", reason=exc.message)
            return
        await self.serve_websocket(websocket, address)

    async def serve_websocket(self, websocket, address):
        """Serve the messages of an inbound connection until it closes."""
        outbox = Outbox(websocket, self.hlc)
        writer = await curio.spawn(self._write_replies, outbox, daemon=True)
        sender = None
        try:
            while True:
                frame = await websocket.receive()
                if frame is None:
                    return
                timestamp, batch = decode_frame(frame)
                self.hlc.observe(timestamp)
                for message in batch:
                    if isinstance(message, Hello):
                        sender = message.instance
                        await self.peer_seen(sender, message.incarnation)
                        continue
                    await self._serve_message(sender, message, outbox)
        except PeerError as exc:
            self.log.warning(
                "peer_protocol_error", peer=sender or address[0], reason=exc.message
            )
        finally:
            outbox.is_closed = True
            await writer.cancel()
            await websocket.close()

    async def _serve_message(self, sender, message, outbox):
        seq = message.seq

        async def reply(answer):
            answer.seq = seq
            try:
                await outbox.put(answer)
            except PeerError:
                # The sender has disconnected; the reply cannot be delivered.
                pass

        await self._dispatch(sender, message, reply)

    async def _write_replies(self, outbox):
        try:
            await outbox.run()
        except PeerError:
            outbox.is_closed = True

    async def close(self):
        """Close all outbound links."""
        if self._monitor_task is not None:
            await self._monitor_task.cancel()
            self._monitor_task = None
        for link in list(self._links.values()):
            await link.close()
        self._links.clear()


async def _final_reply(inbox):
    """Return the first reply or final error; skip notices of a silent peer."""
    while True:
        _, reply = await inbox.get()
        if not isinstance(reply, PeerSilentError):
            return reply


async def _discard_reply(message):
    """Discard a reply to a one-way message."""
