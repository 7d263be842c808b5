"""Tests of addresses, connects and the accept loop."""

import curio
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.adapters.listener import Listener, connect, parse_address
from tests.support import MemoryLog, exchange, run


class ParseAddressTest(testtools.TestCase):
    """Guards against addresses that fail later, within a socket call."""

    @given(st.text(max_size=30) | st.from_regex(r"[0-9a-z.:]{0,12}:[0-9]{0,7}"))
    def test_any_text(self, text):
        try:
            host, port = parse_address(text)
        except ValueError:
            return
        self.assertTrue(0 <= port <= 65535)
        self.assertTrue(host.isascii() and host.isprintable(), host)
        self.assertNotIn(" ", host)

    def test_examples(self):
        self.assertEqual(("10.0.0.1", 80), parse_address("10.0.0.1:80"))
        for text in ("", ":80", "h", "h:", "h:x", "h:65536", "h:²", "h:٣", "a b:1"):
            self.assertRaises(ValueError, parse_address, text)


class ConnectTest(testtools.TestCase):
    """Guards callers that expect only OSError and timeouts from a connect."""

    def test_impossible_addresses(self):
        for address in (("127.0.0.1", 70000), ("x" * 70, 1), ("a\0b", 1)):
            self.assertRaises(OSError, run, connect, address, 1.0)


class ListenerTest(testtools.TestCase):
    """Guards the accept loop against failing handlers."""

    def test_failing_handler(self):
        async def handler(sock, address):
            data = await sock.recv(10)
            if data == b"crash":
                raise ValueError("two\nlines")
            await sock.sendall(b"ok")

        async def main():
            log = MemoryLog()
            listener = Listener(("127.0.0.1", 0), handler, log)
            await listener.start()
            first = await exchange(listener.address, b"crash")
            second = await exchange(listener.address, b"fine")
            await curio.sleep(0.05)
            self.assertEqual(0, listener.connections)
            await listener.close()
            return first, second, log.names()

        self.assertEqual((b"", b"ok", ["connection_failed"]), run(main))
