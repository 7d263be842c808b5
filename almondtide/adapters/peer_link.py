"""Link to one peer over a websocket: requests, replies, batching and timeouts."""

import itertools

import curio

from ..errors import AlmondtideError, PeerError, PeerSilentError
from ..messages import ErrorReply, Hello, Ping, Pong, decode_frame, encode_frame
from ..supervision import TASK_FAILURES, error_place
from .websocket import open_websocket

__all__ = ["OutboundLink", "Outbox", "PeerCall"]

# Steps for a peer that has open calls and sends nothing. The last two move load,
# ownership and connections, so a short stall must not cause them. On a machine with
# too few cores, stalls of 200 to 500 ms are frequent, and giving up an owner after
# 250 ms raised the median latency from 0.1 s to more than 1 s.
# The peer is pinged.
PING_AFTER_S = 0.1
# Its open calls get a ``PeerSilentError``, so that they can be hedged within a budget.
NOTIFY_CALLS_AFTER_S = 0.2
# It gets no new calls.
SILENT_AFTER_S = 0.5
# It is removed from the view.
SUSPECT_AFTER_S = 1.5
IDLE_TIMEOUT_S = 60.0
# Messages that are sent in one frame; keeps frames far below the size limit.
MAX_BATCH_MESSAGES = 64


class PeerCall:
    """An open request; several calls may share the inbox for their replies."""

    __slots__ = ("_link", "inbox", "instance", "seq")

    def __init__(self, link, instance, seq, inbox):
        self._link = link
        self.instance = instance
        self.seq = seq
        self.inbox = inbox

    def close(self):
        """Close the call; later replies are dropped."""
        if self._link is not None:
            self._link.open_calls.pop(self.seq, None)


class Outbox:
    """Queue of messages for the writer task of a connection."""

    __slots__ = ("_hlc", "_messages", "_ready", "_websocket", "is_closed")

    def __init__(self, websocket, hlc):
        self._websocket = websocket
        self._hlc = hlc
        self._messages = []
        self._ready = curio.Event()
        self.is_closed = False

    async def put(self, message):
        """Add a message; raises ``PeerError`` when the link is closed."""
        if self.is_closed:
            raise PeerError("the peer link is closed", not_run=True)
        self._messages.append(message)
        await self._ready.set()

    async def run(self):
        """Write queued messages in batches, one frame each, until cancelled."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            while self._messages:
                batch = self._messages[:MAX_BATCH_MESSAGES]
                del self._messages[:MAX_BATCH_MESSAGES]
                for frame in self._encode(batch):
                    await self._websocket.send(frame)

    def _encode(self, batch):
        try:
            return [encode_frame(self._hlc.now(), batch)]
        except AlmondtideError:
            return [self._encode_alone(message) for message in batch]

    def _encode_alone(self, message):
        """Encode one message of a batch that does not fit into one frame."""
        try:
            return encode_frame(self._hlc.now(), [message])
        except AlmondtideError as exc:
            # The message alone is too large; the receiver gets an error instead.
            error = ErrorReply(message.seq, code=int(exc.code), message=exc.message)
            return encode_frame(self._hlc.now(), [error])


class OutboundLink:
    """The connection on which this daemon sends requests to one peer."""

    __slots__ = (
        "_network",
        "_outbox",
        "_sequence",
        "_tasks",
        "_websocket",
        "address",
        "instance",
        "is_idle",
        "is_open",
        "is_silent",
        "last_heard",
        "last_used",
        "open_calls",
        "silence_s",
    )

    def __init__(self, network, instance, address):
        self._network = network
        self.instance = instance
        self.address = address
        self._sequence = itertools.count(1)
        self.open_calls = {}
        self._tasks = []
        self._websocket = None
        self._outbox = None
        self.is_open = False
        # Set when the link is closed because it was idle; the peer is then not lost.
        self.is_idle = False
        # Set while the peer has open calls and has sent nothing for
        # ``SILENT_AFTER_S``; it gets no new calls.
        self.is_silent = False
        self.silence_s = 0.0
        # Monotonic times in seconds.
        self.last_heard = 0.0
        self.last_used = 0.0

    async def start(self):
        """Connect, send ``Hello`` and start the reader and writer tasks."""
        network = self._network
        self._websocket = await open_websocket(self.address)
        self._outbox = Outbox(self._websocket, network.hlc)
        self.last_heard = self.last_used = network.clock.monotonic()
        self.is_open = True
        hello = Hello(instance=network.instance, incarnation=network.incarnation)
        await self._outbox.put(hello)
        for loop in (self._write, self._read):
            self._tasks.append(await curio.spawn(loop, daemon=True))

    async def queue_request(self, message, instance, inbox):
        """Queue a request and return its ``PeerCall``."""
        seq = next(self._sequence)
        message.seq = seq
        call = PeerCall(self, instance, seq, inbox)
        self.open_calls[seq] = call
        await self._network.call_made.set()
        await self._queue(message)
        return call

    async def queue_one_way(self, message):
        """Queue a message that has no reply."""
        await self._queue(message)

    async def _queue(self, message):
        self.last_used = self._network.clock.monotonic()
        await self._outbox.put(message)

    async def _write(self):
        try:
            await self._outbox.run()
        except PeerError as exc:
            await self._close_with_error(exc)
        except Exception as exc:
            await self._close_with_error(self._record_error(exc))

    def _record_error(self, exc):
        """Log an unexpected error, which ends this link only; return its reason."""
        TASK_FAILURES["peer_link"] += 1
        self._network.log.error(
            "peer_link_failed",
            peer=self.instance,
            error=repr(exc),
            at=error_place(exc),
        )
        return PeerError(f"the link to {self.instance} failed: {exc!r}")

    async def _read(self):
        reason = PeerError(f"{self.instance} closed the link")
        try:
            while True:
                frame = await self._websocket.receive()
                if frame is None:
                    break
                timestamp, batch = decode_frame(frame)
                self._network.hlc.observe(timestamp)
                await self._record_contact()
                for message in batch:
                    await self._deliver(message)
        except PeerError as exc:
            reason = exc
        except Exception as exc:
            reason = self._record_error(exc)
        await self._close_with_error(reason)

    async def _record_contact(self):
        self.last_heard = self._network.clock.monotonic()
        self.silence_s = 0.0
        if self.is_silent:
            self.is_silent = False
            await self._network.peer_recovered(self.instance)

    async def _deliver(self, message):
        if isinstance(message, Pong):
            await self._network.peer_seen(self.instance, message.incarnation)
            return
        call = self.open_calls.get(message.seq)
        if call is not None:
            await call.inbox.put((call, message))

    async def check_silence(self, elapsed_s, now):
        """Act on a silent peer or an idle link; called at short intervals.

        ``elapsed_s`` is the time since the last call, without times in which this
        process did not run: replies may then wait unread in its own sockets.
        """
        if not self.open_calls and not self.is_silent:
            self.silence_s = 0.0
            if now - self.last_used > IDLE_TIMEOUT_S:
                self.is_idle = True
                await self._close_with_error(PeerError("the link was idle"))
            return
        before = self.silence_s
        self.silence_s += elapsed_s
        if before < PING_AFTER_S <= self.silence_s:
            await self._outbox.put(Ping())
        elif before < NOTIFY_CALLS_AFTER_S <= self.silence_s:
            await self._notify_calls(is_lasting=False)
        elif self.silence_s >= SILENT_AFTER_S and not self.is_silent:
            await self._mark_silent()
        elif before < SUSPECT_AFTER_S <= self.silence_s:
            await self._network.peer_suspected(self.instance)

    async def _mark_silent(self):
        """Refuse new calls until the peer sends again; open calls stay open."""
        self.is_silent = True
        self._network.log.info(
            "peer_silent", peer=self.instance, seconds=round(self.silence_s, 3)
        )
        await self._notify_calls(is_lasting=True)

    async def _notify_calls(self, is_lasting):
        text = f"{self.instance} has sent nothing for {self.silence_s:.3f} s"
        for call in list(self.open_calls.values()):
            await call.inbox.put((call, PeerSilentError(text, is_lasting)))

    async def _fail_calls(self, error):
        calls, self.open_calls = self.open_calls, {}
        for call in calls.values():
            await call.inbox.put((call, error))

    async def _close_with_error(self, error):
        if not self.is_open:
            return
        self.is_open = False
        self._outbox.is_closed = True
        await self._network.link_closed(self, error)
        await self._fail_calls(error)
        await self.close()

    async def close(self):
        """Cancel the tasks of the link and close its connection."""
        self.is_open = False
        current = await curio.current_task()
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            if task is not current:
                await task.cancel(blocking=False)
        if self._websocket is not None:
            await self._websocket.close()
