"""Websocket connections: the sans-I/O protocol of ``websockets`` over curio."""

import curio
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake, ProtocolError
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from ..errors import BadRequestError, FramingError, PeerError, ResultCode
from ..framing import MIN_REPLY_PART_BYTES
from ..messages import MAX_FRAME_BYTES
from .event_reader import RECEIVE_BYTES, EventReader
from .http import refuse_connection
from .listener import connect, linger_before_close

__all__ = ["TRAFFIC", "Traffic", "WebSocket", "accept_websocket", "open_websocket"]

SWITCHING_PROTOCOLS_STATUS = 101
# A query may wait for a new connection, so the limit is far below usual deadlines.
# The latency between regions is less than 200 ms.
HANDSHAKE_TIMEOUT_S = 0.5


class Traffic:
    """Number of bytes sent and received on the websockets of a process."""

    __slots__ = ("received_bytes", "sent_bytes")

    def __init__(self):
        self.received_bytes = 0
        self.sent_bytes = 0


# Counts all websockets of this process, without their handshakes.
TRAFFIC = Traffic()


class _HandshakeError(PeerError):
    """The websocket handshake of a client was refused.

    ``is_answered`` is True when an HTTP response with the refusal was sent.
    """

    code = ResultCode.PEER_PROTOCOL

    def __init__(self, reason, is_answered):
        super().__init__(f"handshake refused: {reason}")
        self.is_answered = is_answered


class WebSocket:
    """An open websocket that carries binary messages.

    One task may receive while others send.
    """

    __slots__ = (
        "_fragment",
        "_messages",
        "_protocol",
        "_reader",
        "_send_lock",
        "_sock",
        "sent_bytes",
    )

    def __init__(self, sock, protocol):
        self._sock = sock
        self._protocol = protocol
        self._reader = EventReader(sock, MIN_REPLY_PART_BYTES)
        self._messages = []
        self._fragment = bytearray()
        self._send_lock = curio.Lock()
        self.sent_bytes = 0

    async def send(self, payload):
        """Send one binary message; raises ``PeerError`` when not connected."""
        async with self._send_lock:
            if self._protocol.state is not State.OPEN:
                raise PeerError("the websocket is closed")
            self._protocol.send_binary(payload)
            await self._flush()

    async def _flush(self):
        for data in self._protocol.data_to_send():
            try:
                if data:
                    self.sent_bytes += len(data)
                    TRAFFIC.sent_bytes += len(data)
                    await self._sock.sendall(data)
            except OSError as exc:
                raise PeerError(f"connection lost: {exc}") from exc

    async def receive(self):
        """Return the next binary message as bytes, or None after the close.

        Raises ``PeerError`` for a frame that violates the protocol.
        """
        while not self._messages:
            try:
                data = await self._reader.receive()
            except OSError:
                return None
            if not data:
                return None
            TRAFFIC.received_bytes += len(data)
            self._protocol.receive_data(data)
            await self._reader.note_received(len(data))
            await self._note_frames(self._collect_messages())
            await self._flush_replies()
            if self._protocol.parser_exc is not None:
                raise PeerError(
                    f"websocket protocol error: {self._protocol.parser_exc}",
                    ResultCode.PEER_PROTOCOL,
                )
            if self._protocol.state is not State.OPEN and not self._messages:
                return None
        return self._messages.pop(0)

    async def _flush_replies(self):
        """Send the pongs and close frames that the library generates.

        While another task sends, they are sent with the next message, because
        waiting for that task here could block both directions.
        """
        if not self._send_lock.locked():
            async with self._send_lock:
                await self._flush()

    async def _note_frames(self, frames):
        """Count frames that end no message; raises ``PeerError`` for too many."""
        try:
            for size, ends_message in frames:
                if ends_message:
                    self._reader.start_message()
                else:
                    await self._reader.note_part(size)
        except FramingError as exc:
            raise PeerError(exc.message, ResultCode.PEER_PROTOCOL) from exc

    def _collect_messages(self):
        """Take over the frames that have arrived.

        Return a list of (size in bytes, whether it ends a message).
        """
        frames = []
        for event in self._protocol.events_received():
            if not hasattr(event, "opcode"):
                continue
            is_data = event.opcode in (Opcode.BINARY, Opcode.CONT)
            frames.append((len(event.data), is_data and event.fin))
            if event.opcode is Opcode.TEXT:
                raise PeerError("unexpected text message", ResultCode.PEER_PROTOCOL)
            if is_data:
                self._fragment += event.data
                if event.fin:
                    self._messages.append(bytes(self._fragment))
                    self._fragment = bytearray()
        return frames

    async def close(self):
        """Send a close frame if the connection is open, and close the socket."""
        try:
            if self._protocol.state is State.OPEN:
                self._protocol.send_close(1001)
                async with curio.ignore_after(0.2):
                    await self._flush()
        except PeerError:
            pass
        await self._sock.close()


async def open_websocket(address, timeout_s=HANDSHAKE_TIMEOUT_S, path="/peer"):
    """Return a connected ``WebSocket`` to a peer; raises ``PeerError``."""
    try:
        async with curio.timeout_after(timeout_s):
            sock = await connect(address, timeout_s)
            try:
                return await _client_handshake(sock, address, path)
            except BaseException:
                await sock.close()
                raise
    except OSError as exc:
        raise PeerError(f"cannot connect to {address[0]}:{address[1]}: {exc}") from exc
    except curio.TaskTimeout as exc:
        raise PeerError(f"connect to {address[0]}:{address[1]} timed out") from exc


async def _client_handshake(sock, address, path):
    uri = parse_uri(f"ws://{address[0]}:{address[1]}{path}")
    protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    protocol.send_request(protocol.connect())
    for data in protocol.data_to_send():
        await sock.sendall(data)
    websocket = WebSocket(sock, protocol)
    while protocol.state is State.CONNECTING:
        data = await sock.recv(RECEIVE_BYTES)
        if not data:
            raise PeerError("connection closed during the handshake")
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise PeerError(
                f"handshake failed: {protocol.handshake_exc}", ResultCode.PEER_PROTOCOL
            )
        for event in protocol.events_received():
            if isinstance(event, Response) and protocol.state is not State.OPEN:
                raise PeerError("handshake refused", ResultCode.PEER_PROTOCOL)
    websocket._collect_messages()
    return websocket


async def accept_websocket(sock, timeout_s=HANDSHAKE_TIMEOUT_S):
    """Return the ``WebSocket`` of an accepted socket; raises ``PeerError``."""
    protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
    try:
        async with curio.timeout_after(timeout_s):
            return await _server_handshake(sock, protocol)
    except _HandshakeError as exc:
        # Runs outside the time limit: a timeout here would hide the reason.
        await _close_refused(sock, exc)
        raise
    except curio.TaskTimeout as exc:
        raise PeerError("handshake timed out") from exc
    except OSError as exc:
        raise PeerError(f"connection lost: {exc}") from exc
    except (InvalidHandshake, ProtocolError, ValueError) as exc:
        raise PeerError(f"handshake failed: {exc}", ResultCode.PEER_PROTOCOL) from exc


async def _close_refused(sock, exc):
    try:
        if exc.is_answered:
            await linger_before_close(sock)
        else:
            await refuse_connection(sock, BadRequestError(exc.message))
    except OSError:
        pass


async def _answer_handshake(sock, protocol, request):
    """Accept the handshake, or send the refusal of the library and raise."""
    response = protocol.accept(request)
    protocol.send_response(response)
    for out in protocol.data_to_send():
        if out:
            await sock.sendall(out)
    if response.status_code != SWITCHING_PROTOCOLS_STATUS:
        raise _HandshakeError(str(protocol.handshake_exc), is_answered=True)


async def _server_handshake(sock, protocol):
    websocket = WebSocket(sock, protocol)
    while protocol.state is State.CONNECTING:
        data = await sock.recv(RECEIVE_BYTES)
        if not data:
            raise PeerError("connection closed during the handshake")
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise _HandshakeError(str(protocol.handshake_exc), is_answered=False)
        for event in protocol.events_received():
            if isinstance(event, Request):
                await _answer_handshake(sock, protocol, event)
    websocket._collect_messages()
    return websocket
