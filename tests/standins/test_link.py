"""Tests of the forwarding link; the proofs rely on its faults."""

import curio
import testtools

from almondtide.adapters.listener import Listener, connect
from standins.fleet import free_ports
from standins.link import Link

WAIT_S = 5.0


async def echo(sock, address):
    while data := await sock.recv(4096):
        await sock.sendall(data)


async def exchange(address, payload, size):
    """Send ``payload`` and return ``size`` bytes, or fewer when the link closes.

    A link that closes with unread bytes resets the connection.
    """
    sock = await connect(address, WAIT_S)
    received = b""
    async with sock, curio.timeout_after(WAIT_S):
        await sock.sendall(payload)
        try:
            while len(received) < size and (data := await sock.recv(4096)):
                received += data
        except ConnectionResetError:
            pass
    return received


def run_with_link(scenario, **behaviour):
    """Run ``scenario(link, address)`` against an echo server behind a link."""

    async def run():
        server = Listener(("127.0.0.1", 0), echo)
        await server.start()
        (port,) = free_ports(1)
        link = Link("test", port, f"127.0.0.1:{server.address[1]}")
        await link.start()
        await link.change(behaviour)
        try:
            return await scenario(link, link.listener.address)
        finally:
            await link.listener.close()
            await server.close()

    return curio.run(run)


class LinkTest(testtools.TestCase):
    """Guards against a link without faults, with which proofs would prove nothing."""

    def test_link_without_faults_forwards_bytes(self):
        async def scenario(link, address):
            return await exchange(address, b"abcd", 4)

        self.assertEqual(b"abcd", run_with_link(scenario))

    def test_duplicate_share_repeats_replies(self):
        async def scenario(link, address):
            return await exchange(address, b"abcd", 8)

        self.assertEqual(b"abcdabcd", run_with_link(scenario, duplicate_share=1.0))

    def test_truncate_share_cuts_replies_in_half(self):
        async def scenario(link, address):
            return await exchange(address, b"abcd", 4)

        self.assertEqual(b"ab", run_with_link(scenario, truncate_share=1.0))

    def test_endless_share_sends_a_body_without_end(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nx: 1\r\n\r\nab"

        async def scenario(link, address):
            return await exchange(address, reply, 100_000)

        data = run_with_link(scenario, endless_share=1.0, endless_part_bytes=3)
        head = b"HTTP/1.1 200 OK\r\nx: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertTrue(data.startswith(head + b"3\r\nxxx\r\n3\r\n"), data[:90])
        self.assertTrue(len(data) >= 100_000)

    def test_cross_share_exchanges_replies_of_two_connections(self):
        async def scenario(link, address):
            first = await curio.spawn(exchange, address, b"aaaa", 4)
            second = await curio.spawn(exchange, address, b"bbbb", 4)
            return await first.join(), await second.join()

        self.assertEqual((b"bbbb", b"aaaa"), run_with_link(scenario, cross_share=1.0))

    def test_cut_closes_open_connections_and_refuses_new_ones(self):
        async def scenario(link, address):
            sock = await connect(address, WAIT_S)
            async with sock, curio.timeout_after(WAIT_S):
                await sock.sendall(b"abcd")
                before = await sock.recv(4096)
                await link.change({"cut": True})
                after = await sock.recv(4096)
            return before, after, await exchange(address, b"abcd", 4)

        self.assertEqual((b"abcd", b"", b""), run_with_link(scenario))

    def test_hold_delivers_late(self):
        async def scenario(link, address):
            task = await curio.spawn(exchange, address, b"abcd", 4)
            await curio.sleep(0.2)
            was_held = task.terminated
            await link.change({"hold": False})
            return was_held, await task.join()

        self.assertEqual((False, b"abcd"), run_with_link(scenario, hold=True))
