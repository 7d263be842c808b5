"""Tests of peer links over the loopback interface."""

import types
from unittest import mock

import cbor2
import curio
import testtools

from almondtide.adapters.listener import Listener
from almondtide.adapters.peer import PeerNetwork
from almondtide.adapters.peer_link import OutboundLink
from almondtide.adapters.websocket import accept_websocket, open_websocket
from almondtide.clock import HybridLogicalClock, SystemClock
from almondtide.errors import PeerError, RefusedError, ResultCode
from almondtide.logs import Log
from almondtide.messages import (
    CancelQuery,
    ErrorReply,
    ServiceStatus,
    ServiceStatusRequest,
    decode_frame,
)

LOOPBACK = ("127.0.0.1", 0)


class RecordingObserver:
    """Records the events that a network reports to its membership."""

    def __init__(self):
        self.events = []

    async def peer_seen(self, instance, incarnation):
        self.events.append(("seen", instance, incarnation))

    async def peer_suspected(self, instance):
        self.events.append(("suspected", instance))

    async def peer_recovered(self, instance):
        self.events.append(("recovered", instance))

    async def peer_lost(self, instance):
        self.events.append(("lost", instance))

    def names(self):
        return [event[0] for event in self.events]


def make_network(instance):
    clock = SystemClock()
    network = PeerNetwork(
        instance, f"{instance}-life", clock, HybridLogicalClock(clock), Log()
    )
    network.observer = RecordingObserver()
    return network


class PeerNetworkTest(testtools.TestCase):
    """Guards against replies that are lost, mixed up or waited for without end."""

    def run_pair(self, scenario):
        async def main():
            self.client = make_network("a")
            self.server = make_network("b")
            self.listener = Listener(LOOPBACK, self.server.serve)
            await self.listener.start()
            self.address = self.listener.address
            self.client.resolve = {"b": self.address}.get
            try:
                return await scenario()
            finally:
                await self.client.close()
                await self.listener.close()

        return curio.run(main)

    def test_replies_reach_their_own_request(self):
        async def answer_in_reverse(sender, message, reply):
            async def later():
                # The earlier a request, the later its reply.
                await curio.sleep(0.05 - 0.005 * int(message.services[0]))
                row = [message.services[0], [1], [1], 0]
                await reply(ServiceStatus(services=[row]))

            await curio.spawn(later, daemon=True)

        async def scenario():
            self.server.register(ServiceStatusRequest, answer_in_reverse)
            async with curio.TaskGroup() as group:
                for number in range(10):
                    request = ServiceStatusRequest(services=[str(number)])
                    await group.spawn(self.client.request, "b", request, 2.0)
            return [reply.services[0][0] for reply in group.results]

        replies = self.run_pair(scenario)
        self.assertEqual([str(number) for number in range(10)], sorted(replies))
        self.assertEqual(10, len(set(replies)))

    def test_handler_error_becomes_an_error_reply(self):
        async def refuse(sender, message, reply):
            raise RefusedError("busy", retry_after_ms=40)

        async def scenario():
            self.server.register(ServiceStatusRequest, refuse)
            request = ServiceStatusRequest(services=[])
            return await self.client.request("b", request, 2.0)

        reply = self.run_pair(scenario)
        self.assertEqual(int(ResultCode.OVERLOADED), reply.code)
        self.assertTrue(reply.not_run)
        self.assertEqual(40, reply.retry_after_ms)

    def test_connection_loss_fails_open_calls_immediately(self):
        async def never_reply(sender, message, reply):
            pass

        async def scenario():
            self.server.register(ServiceStatusRequest, never_reply)
            inbox = curio.Queue()
            message = ServiceStatusRequest(services=[])
            call = await self.client.call("b", message, inbox)
            await self.listener.close()
            async with curio.timeout_after(1.0):
                failed, error = await inbox.get()
            return call is failed, error

        same, error = self.run_pair(scenario)
        self.assertTrue(same)
        self.assertFalse(error.not_run)

    def test_request_to_a_peer_outside_the_view_is_not_run(self):
        async def scenario():
            message = ServiceStatusRequest(services=[])
            return await self.client.request("x", message, 1.0)

        exc = self.assertRaises(PeerError, self.run_pair, scenario)
        self.assertTrue(exc.not_run)

    def test_nothing_is_kept_of_instances_that_cannot_be_dialled(self):
        now = [100.0]

        async def scenario():
            await self.listener.close()
            network = self.client
            network.resolve = lambda instance: self.address
            network.clock = types.SimpleNamespace(monotonic=lambda: now[0])
            for number in range(50):
                now[0] += 1.0
                with testtools.ExpectedException(PeerError):
                    await network._open_link(f"gone-{number}")
            return len(network._dial_locks), len(network._dial_blocked_until)

        self.assertEqual((0, 1), self.run_pair(scenario))

    def test_failed_dial_is_not_run_and_not_repeated_at_once(self):
        async def scenario():
            await self.listener.close()
            errors = []
            for _ in range(3):
                try:
                    await self.client.send("b", CancelQuery(query_id="q"))
                except PeerError as exc:
                    errors.append(exc)
            return errors

        errors = self.run_pair(scenario)
        self.assertTrue(all(exc.not_run for exc in errors))
        self.assertIn("could not be dialled", errors[2].message)

    def test_silent_peer_is_suspected_and_recovers(self):
        """A paused process keeps its connections open but does not answer."""

        async def scenario():
            resumed = curio.Event()

            async def serve(sock, address):
                websocket = await accept_websocket(sock)
                await resumed.wait()
                await self.server.serve_websocket(websocket, address)

            await self.listener.close()
            listener = Listener(LOOPBACK, serve)
            await listener.start()
            self.client.resolve = {"b": listener.address}.get
            inbox = curio.Queue()
            request = ServiceStatusRequest(services=[])
            await self.client.call("b", request, inbox)
            async with curio.timeout_after(1.5):
                _, error = await inbox.get()
            self.assertNotIn("suspected", self.client.observer.names())
            async with curio.timeout_after(1.5):
                _, lasting = await inbox.get()
            self.assertEqual([False, True], [error.is_lasting, lasting.is_lasting])
            await self.wait_for_event("suspected")
            await resumed.set()
            await self.wait_for_event("recovered")
            # The call stayed open and gets its reply after the pause.
            async with curio.timeout_after(1.5):
                _, reply = await inbox.get()
            await listener.close()
            return error, reply

        error, reply = self.run_pair(scenario)
        self.assertEqual(ResultCode.PEER_SUSPECT, error.code)
        self.assertIsInstance(reply, ErrorReply)

    def test_work_at_a_silent_peer_is_neither_given_up_nor_sent_again(self):
        """The fault: a machine that is only silent for a while loses its work."""

        async def scenario():
            resumed = curio.Event()
            links = []

            async def serve(sock, address):
                links.append(address)
                websocket = await accept_websocket(sock)
                await resumed.wait()
                await self.server.serve_websocket(websocket, address)

            await self.listener.close()
            listener = Listener(LOOPBACK, serve)
            await listener.start()
            self.client.resolve = {"b": listener.address}.get
            request = ServiceStatusRequest(services=[])
            task = await curio.spawn(self.client.request, "b", request, 5.0)
            await self.wait_for_event("suspected")
            self.assertFalse(task.terminated)
            await resumed.set()
            reply = await task.join()
            await listener.close()
            return reply, len(links)

        reply, link_count = self.run_pair(scenario)
        self.assertIsInstance(reply, ErrorReply)
        self.assertEqual(1, link_count)

    def test_an_error_while_a_frame_is_handled_ends_its_link_only(self):
        async def scenario():
            request = ServiceStatusRequest(services=[])
            await self.client.request("b", request, 2.0)

            async def fail(link, message):
                raise ValueError("unexpected")

            with mock.patch.object(OutboundLink, "_deliver", fail):
                try:
                    await self.client.request("b", request, 2.0)
                except PeerError as exc:
                    error = exc
            reply = await self.client.request("b", request, 2.0)
            return error, reply

        error, reply = self.run_pair(scenario)
        self.assertIn("unexpected", error.message)
        self.assertFalse(error.not_run)
        self.assertIsInstance(reply, ErrorReply)

    async def wait_for_event(self, name):
        async with curio.timeout_after(5.0):
            while name not in self.client.observer.names():
                await curio.sleep(0.02)

    def test_message_to_own_instance_uses_no_connection(self):
        async def answer(sender, message, reply):
            await reply(ServiceStatus(services=[[sender]]))

        async def scenario():
            self.client.register(ServiceStatusRequest, answer)
            request = ServiceStatusRequest(services=[])
            reply = await self.client.request("a", request, 1.0)
            return reply.services, self.client.link_count

        self.assertEqual(([["a"]], 0), self.run_pair(scenario))

    def test_invalid_frame_closes_only_its_connection(self):
        async def answer(sender, message, reply):
            await reply(ServiceStatus(services=[]))

        async def scenario():
            self.server.register(ServiceStatusRequest, answer)
            for payload in (b"\xff", cbor2.dumps({"a": 1}), cbor2.dumps([[1, 2], 5])):
                websocket = await open_websocket(self.address)
                await websocket.send(payload)
                async with curio.timeout_after(1.0):
                    self.assertIsNone(await websocket.receive())
                await websocket.close()
            request = ServiceStatusRequest(services=[])
            return await self.client.request("b", request, 1.0)

        self.assertIsInstance(self.run_pair(scenario), ServiceStatus)

    def test_unknown_message_type_gets_an_error_reply(self):
        async def scenario():
            websocket = await open_websocket(self.address)
            await websocket.send(cbor2.dumps([[1, 0], {"t": "future", "seq": 7}]))
            async with curio.timeout_after(1.0):
                _, batch = decode_frame(await websocket.receive())
            await websocket.close()
            return batch

        (reply,) = self.run_pair(scenario)
        self.assertEqual(7, reply.seq)
        self.assertEqual(int(ResultCode.PEER_PROTOCOL), reply.code)
