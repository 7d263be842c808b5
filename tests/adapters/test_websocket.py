"""Tests of websocket connections with invalid handshakes and frames."""

import curio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.frames import Frame, Opcode

from almondtide.adapters.listener import Listener
from almondtide.adapters.websocket import accept_websocket, open_websocket
from almondtide.errors import PeerError, ResultCode
from tests.support import exchange, run

UPGRADE = (
    b"GET /peer HTTP/1.1\r\nhost: h\r\nupgrade: websocket\r\nconnection: upgrade\r\n"
    b"sec-websocket-version: 13\r\nsec-websocket-key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)


class RecordingServer:
    """Accepts websockets and collects the messages and errors of all of them."""

    def __init__(self):
        self.results = []
        self.listener = Listener(("127.0.0.1", 0), self._serve)

    async def _serve(self, sock, address):
        try:
            websocket = await accept_websocket(sock, 0.3)
            while (message := await websocket.receive()) is not None:
                self.results.append(message)
            await websocket.close()
        except PeerError as exc:
            self.results.append(exc)

    async def __aenter__(self):
        await self.listener.start()
        return self

    async def __aexit__(self, *details):
        await self.listener.close()

    async def wait_until_idle(self):
        for _ in range(200):
            if not self.listener.connection_count:
                return True
            await curio.sleep(0.01)
        return False


class HandshakeTest(testtools.TestCase):
    """Checks the peer listener with clients that do not follow its protocol."""

    def ask(self, data, half_close):
        async def main():
            async with RecordingServer() as server:
                answer = await exchange(server.listener.address, data, half_close)
                self.assertTrue(await server.wait_until_idle())
                return answer, server.results

        return run(main)

    def test_invalid_handshakes_are_answered(self):
        """The client gets an HTTP response, and the error is not a timeout."""
        for data, status in (
            (b"GET / HTTP/1.1\r\nhost: h\r\n\r\n", b"426"),
            (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n", b"405"),
            (UPGRADE.replace(b": 13", b": 12"), b"400"),
            (UPGRADE.replace(b"MDEy", b"MD"), b"400"),
            (b"garbage\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nx: " + b"a" * 70000, b"400"),
        ):
            for half_close in (True, False):
                answer, results = self.ask(data, half_close)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
                self.assertEqual(ResultCode.PEER_PROTOCOL, results[0].code)

    def test_slow_handshake(self):
        _, results = self.ask(UPGRADE[:-2], half_close=False)
        self.assertIn("timed out", results[0].message)

    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=60), st.integers(0, len(UPGRADE)))
    def test_any_bytes(self, data, cut):
        """Any bytes within or after the handshake raise no other exception."""
        _, results = self.ask(UPGRADE[:cut] + data, half_close=True)
        for result in results:
            self.assertIsInstance(result, bytes | PeerError)


class FramesTest(testtools.TestCase):
    """Checks control frames, fragments and invalid frames on an open link."""

    def send_frames(self, *frames):
        """Send frames after a handshake; return (received bytes, results)."""

        async def main():
            async with RecordingServer() as server:
                client = await open_websocket(server.listener.address)
                for frame in frames:
                    await client._sock.sendall(frame)
                data = b""
                async with curio.ignore_after(0.3):
                    while part := await client._sock.recv(1000):
                        data += part
                await client.close()
                await server.wait_until_idle()
                return data, server.results

        return run(main)

    def frame(self, opcode, data, **options):
        return Frame(opcode, data, **options).serialize(mask=True)

    def test_ping_is_answered(self):
        data, _ = self.send_frames(self.frame(Opcode.PING, b"x"))
        self.assertEqual(Frame(Opcode.PONG, b"x").serialize(mask=False), data)

    def test_close_is_answered(self):
        data, results = self.send_frames(self.frame(Opcode.CLOSE, b"\x03\xe8"))
        self.assertEqual(Frame(Opcode.CLOSE, b"\x03\xe8").serialize(mask=False), data)
        self.assertEqual([], results)

    def test_fragments_are_joined(self):
        _, results = self.send_frames(
            self.frame(Opcode.BINARY, b"a", fin=False),
            self.frame(Opcode.PING, b""),
            self.frame(Opcode.CONT, b"b"),
        )
        self.assertEqual([b"ab"], results)

    def test_frames_of_one_byte_without_end(self):
        # They would keep the daemon from all other peers.
        for data in (
            b"\x02\x81\0\0\0\0x" + b"\x00\x81\0\0\0\0x" * 4000,
            b"\x89\x80\0\0\0\0" * 4000,
        ):
            _, results = self.send_frames(data)
            self.assertEqual(ResultCode.PEER_PROTOCOL, results[0].code)

    def test_many_small_messages_are_received(self):
        frame = self.frame(Opcode.BINARY, b"x")
        _, results = self.send_frames(frame * 4000)
        self.assertEqual([b"x"] * 4000, results)

    def test_invalid_frames(self):
        for bad in (
            self.frame(Opcode.TEXT, b"hi"),
            Frame(Opcode.BINARY, b"hi").serialize(mask=False),
            b"\x8f\x80\0\0\0\0",
            b"\x82\xff" + b"\xff" * 12,
        ):
            _, results = self.send_frames(bad)
            self.assertEqual(ResultCode.PEER_PROTOCOL, results[0].code, bad)
