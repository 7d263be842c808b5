"""Tests of the callers of the proofs."""

import contextlib
import socket
import threading
import time
from unittest import mock

import testtools

from proofs import callers
from proofs.callers import Caller
from proofs.core_waits import CoreWaitSampler
from proofs.history import Call

ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]


class CoreWaitTest(testtools.TestCase):
    """Guards against judging an entry by the time that other daemons had no core."""

    def make_sampler(self, *samples):
        sampler = CoreWaitSampler(dict.fromkeys(ADDRESSES, 0))
        for at, waits_s in samples:
            sampler.add(at, waits_s)
        return sampler

    def wait_s(self, kind, sampler, received=11.0):
        caller = Caller(1, 1, ADDRESSES, "w")
        call = Call("m1", kind, {}, ADDRESSES[0], sent=10.0, received=received)
        caller.calls.append(call)
        caller.note_core_waits(sampler)
        return call.core_wait_s

    def make_growing_sampler(self):
        return self.make_sampler((10.0, [5.0] * 3), (11.0, [5.1] * 3))

    def test_the_wait_of_its_entry_counts_for_a_query(self):
        wait_s = self.wait_s("query", self.make_growing_sampler())
        self.assertAlmostEqual(0.1, wait_s)

    def test_the_waits_of_home_and_owner_count_for_an_execution(self):
        wait_s = self.wait_s("revise", self.make_growing_sampler())
        self.assertAlmostEqual(0.3, wait_s)

    def test_a_restarted_daemon_does_not_reduce_the_wait(self):
        sampler = self.make_sampler((10.0, [5.0] * 3), (11.0, [5.1, 5.1, 0.0]))
        self.assertAlmostEqual(0.2, self.wait_s("revise", sampler))

    def test_waits_before_and_after_the_request_do_not_count(self):
        # A wait of 0.3 s may have been before or after: 0.1 s and 0.2 s are outside.
        sampler = self.make_sampler((9.9, [5.0] * 3), (11.2, [5.3] * 3))
        self.assertAlmostEqual(0.0, self.wait_s("query", sampler))

    def test_waits_of_other_samples_do_not_count(self):
        sampler = self.make_sampler(
            (9.0, [4.0] * 3), (10.0, [5.0] * 3), (11.0, [5.1] * 3), (12.0, [6.0] * 3)
        )
        self.assertAlmostEqual(0.1, self.wait_s("query", sampler))


# Where a caller's thread may be held up before it reads a response.
LATE_READS = [
    (callers.http.client.HTTPConnection, "getresponse"),
    (callers, "_wait_for_data"),
]


class ReceivedTest(testtools.TestCase):
    """Guards against judging an entry by when the caller's thread gets a core."""

    def serve(self, listener):
        conn, _ = listener.accept()
        with conn:
            conn.recv(65536)
            conn.sendall(b"HTTP/1.1 503 x\r\ncontent-length: 2\r\n\r\n{}")

    def test_a_late_thread_does_not_make_a_response_late(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        server = threading.Thread(target=self.serve, args=(listener,))
        server.start()
        self.addCleanup(server.join)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        caller = Caller(1, 1, [address], "w")
        caller._entries = [address]
        caller._entries_expire_at = float("inf")

        def get_late(response_reader):
            def delayed(*args, **options):
                time.sleep(0.5)
                return response_reader(*args, **options)

            return delayed

        with contextlib.ExitStack() as stack:
            for owner, name in LATE_READS:
                reader = getattr(owner, name)
                stack.enter_context(mock.patch.object(owner, name, get_late(reader)))
            call = caller.query({"marker": "m1"}, 1.0)
        self.assertEqual(503, call.status)
        self.assertTrue(call.received - call.sent < 0.25, call.received - call.sent)
