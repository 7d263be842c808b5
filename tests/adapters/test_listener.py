"""Tests of ``connect`` and of the accept loop."""

import socket as stdlib_socket

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


class StopTest(testtools.TestCase):
    """Guards against connections that a stop resets before they were accepted."""

    def test_connections_that_wait_are_served(self):
        served = []

        async def handler(sock, address):
            served.append(await sock.recv(16))
            await sock.sendall(b"answer")

        async def scenario():
            listener = Listener(("127.0.0.1", 0), handler, MemoryLog())
            await listener.start()
            callers = []
            # The accept loop does not run until the next await.
            for _ in range(3):
                caller = stdlib_socket.create_connection(listener.address)
                caller.sendall(b"request")
                caller.settimeout(2)
                callers.append(caller)
            await listener.stop()
            answers = []
            for caller in callers:
                answers.append(await curio.run_in_thread(caller.recv, 16))
                caller.close()
            await listener.close()
            return answers

        self.assertEqual([b"answer"] * 3, run(scenario))
        self.assertEqual([b"request"] * 3, served)

    def test_an_error_while_accepting_does_not_end_the_loop(self):
        async def handler(sock, address):
            await sock.sendall(b"answer")

        async def scenario():
            log = MemoryLog()
            listener = Listener(("127.0.0.1", 0), handler, log)
            await listener.start()
            accept, failures = listener._sock.accept, [OSError("no descriptor left")]

            async def accept_or_fail():
                if failures:
                    raise failures.pop()
                return await accept()

            listener._sock.accept = accept_or_fail
            for _ in range(2):
                caller = stdlib_socket.create_connection(listener.address)
                caller.settimeout(2)
                answer = await curio.run_in_thread(caller.recv, 16)
                caller.close()
            await listener.close()
            return answer, log.names()

        answer, names = run(scenario)
        self.assertEqual(b"answer", answer)
        self.assertIn("accept_failed", names)
