"""Tests of ``connect`` and of the accept loop."""

import curio
import testtools

from almondtide.adapters.listener import Listener, connect
from tests.support import MemoryLog, exchange, run


class ConnectTest(testtools.TestCase):
    """Checks that ``connect`` raises nothing but OSError and timeouts."""

    def test_invalid_addresses(self):
        for address in (("127.0.0.1", 70000), ("x" * 70, 1), ("a\0b", 1)):
            self.assertRaises(OSError, run, connect, address, 1.0)


class ListenerTest(testtools.TestCase):
    """Checks that a failing handler does not stop the accept loop."""

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
            self.assertEqual(0, listener.connection_count)
            await listener.close()
            return first, second, log.names()

        self.assertEqual((b"", b"ok", ["connection_failed"]), run(main))
