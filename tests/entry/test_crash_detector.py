"""Tests of the detection of requests that crash servers."""

import heapq
import itertools
import random
import time

import testtools

from almondtide.entry.crash_detector import (
    CONFIRM_WINDOW_S,
    CRASH_LIMIT,
    QUARANTINE_S,
    CrashDetector,
)
from almondtide.model.http_messages import Request
from almondtide.quarantine import DURATION_SPREAD
from tests.entry.support import make_call, make_route
from tests.support import MemoryLog

# Longest first quarantine in s.
MAX_FIRST_S = QUARANTINE_S * (1.0 + DURATION_SPREAD)
# Rule BUDGET of the platform: a request that has crashed three servers may reach others
# in so many retries, later than ``contact_ms`` after that.
CONTACT_S = 4.0
MAX_LATE_RETRIES = 3


class _DetectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.log = MemoryLog()
        self.detector = CrashDetector(lambda: self.now, self.log)

    def call(self, target="/p/x", id="id-1", shards=(), body=b""):
        call = make_call(make_route(shards=shards), arrived_at=self.now)
        headers = [(b"host", b"h"), (b"request-id", id.encode())]
        call.request = Request("GET", target, "h", id, 0.8, headers, body)
        return call

    def lose(self, call, server_id, wait_s=0.05):
        """Let a server end ``wait_s`` after its connection for a call broke."""
        self.detector.on_connection_broken(call, server_id)
        self.now += wait_s
        return self.detector.on_server_ended(server_id)


class QuarantineTest(_DetectorTest):
    """Guards against losing servers to a request that is resent."""

    def test_a_resent_request_is_refused(self):
        for number in range(CRASH_LIMIT):
            self.assertEqual(0.0, self.detector.refused_for_s(self.call()))
            self.lose(self.call(id=f"id-{number}"), f"i-{number}")
        refused_s = self.detector.refused_for_s(self.call(id="id-9"))
        self.assertTrue(QUARANTINE_S <= refused_s <= MAX_FIRST_S, refused_s)
        self.assertIn("request_quarantined", self.log.names())

    def test_quarantine_ends(self):
        for number in range(CRASH_LIMIT):
            self.lose(self.call(), f"i-{number}")
        self.now += MAX_FIRST_S
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))

    def test_a_request_on_trial_that_loses_a_server_is_refused_for_longer(self):
        for number in range(CRASH_LIMIT):
            self.lose(self.call(), f"i-{number}")
        self.assertTrue(self.detector.is_on_trial(self.call()))
        least_s = QUARANTINE_S
        for number in range(2):
            self.now += self.detector.refused_for_s(self.call())
            self.assertEqual(0.0, self.detector.refused_for_s(self.call()))
            self.lose(self.call(), f"j-{number}")
            least_s *= 2
            self.assertTrue(self.detector.refused_for_s(self.call()) >= least_s)

    def test_an_answer_on_trial_clears_the_request(self):
        # A request that was taken for the cause of other losses is served again.
        for number in range(CRASH_LIMIT):
            self.lose(self.call(), f"i-{number}")
        self.now += MAX_FIRST_S
        self.detector.on_answer(self.call())
        self.assertFalse(self.detector.is_on_trial(self.call()))
        self.lose(self.call(), "j-1")
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))

    def test_a_request_that_keeps_coming_to_several_entries(self):
        # Otherwise it crashes servers again each time a quarantine ends.
        for interval_s, seed in itertools.product((0.1, 1.0, 7.0), range(8)):
            crashes = self._keep_sending(interval_s, 900.0, random.Random(seed))
            third_at = crashes[CRASH_LIMIT - 1]
            late = [at for at in crashes if at > third_at + CONTACT_S]
            self.assertTrue(len(late) <= MAX_LATE_RETRIES, (interval_s, seed, late))

    def _keep_sending(self, interval_s, length_s, rng):
        """Send a request that crashes servers to three entries in turn.

        Return the times of the crashes. A lost server is noticed after 0.1 s, and the
        report reaches the other entries 0.05 s later.
        """
        detectors = [
            CrashDetector(lambda: self.now, MemoryLog(), rng=rng) for _ in range(3)
        ]
        count = int(length_s / interval_s)
        events = [(index * interval_s, index, "send") for index in range(count)]
        heapq.heapify(events)
        start, crashes = self.now, []
        while events:
            at, index, event = heapq.heappop(events)
            self.now = start + at
            if event == "send":
                detector, call = detectors[index % 3], self.call(id=f"id-{index}")
                if not detector.refused_for_s(call):
                    crashes.append(at)
                    detector.on_connection_broken(call, f"i-{index}")
                    heapq.heappush(events, (at + 0.1, index, "ended"))
            elif event == "ended":
                for loss in detectors[index % 3].on_server_ended(f"i-{index}"):
                    heapq.heappush(events, (at + 0.05, index, loss))
            else:
                for detector in detectors:
                    detector.merge_peer_losses(*event)
        return crashes

    def test_retries_of_one_request_count(self):
        call = self.call()
        for number in range(CRASH_LIMIT):
            self.lose(call, f"i-{number}")
        self.assertGreater(self.detector.refused_for_s(self.call()), 0)

    def test_a_query_that_crashes_a_server_of_each_shard(self):
        call = self.call(shards=("a", "b", "c", "d"))
        for number in range(CRASH_LIMIT):
            self.detector.on_connection_broken(call, f"i-{number}")
        self.now += 0.1
        for number in range(CRASH_LIMIT):
            self.detector.on_server_ended(f"i-{number}")
        self.assertGreater(self.detector.refused_for_s(self.call()), 0)

    def test_other_requests_are_not_refused(self):
        for number in range(CRASH_LIMIT):
            self.lose(self.call(), f"i-{number}")
        for other in (self.call("/p/y"), self.call(body=b"x")):
            self.assertEqual(0.0, self.detector.refused_for_s(other))

    def test_a_suspect_is_known_after_the_first_loss(self):
        self.assertFalse(self.detector.is_suspect(self.call()))
        self.lose(self.call(), "i-1")
        self.assertTrue(self.detector.is_suspect(self.call()))

    def test_losses_of_several_daemons_add_up(self):
        other = CrashDetector(lambda: self.now, MemoryLog())
        for number in range(CRASH_LIMIT - 1):
            for fingerprint, servers in self.lose(self.call(), f"i-{number}"):
                other.merge_peer_losses(fingerprint, servers)
        self.assertEqual(0.0, other.refused_for_s(self.call()))
        call = self.call()
        other.on_connection_broken(call, "i-8")
        for fingerprint, servers in other.on_server_ended("i-8"):
            self.detector.merge_peer_losses(fingerprint, servers)
        for detector in (self.detector, other):
            self.assertGreater(detector.refused_for_s(self.call()), 0)

    def test_no_fingerprint_is_computed_while_nothing_is_refused(self):
        self.lose(self.call(), "i-1")
        call = self.call()
        self.assertEqual(0.0, self.detector.refused_for_s(call))
        self.assertIsNone(call.fingerprint)


class InnocenceTest(_DetectorTest):
    """Guards against quarantine of requests that did not cause the losses."""

    def test_servers_that_end_together_under_equal_requests(self):
        # Several callers send the same request; their servers are killed together.
        calls = [self.call(id=f"id-{number}") for number in range(8)]
        for number, call in enumerate(calls):
            self.detector.on_connection_broken(call, f"i-{number}")
        self.now += 0.1
        for number in range(8):
            self.detector.on_server_ended(f"i-{number}")
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))

    def test_an_answer_of_another_server_clears_the_losses(self):
        for number in range(3 * CRASH_LIMIT):
            call = self.call()
            self.lose(call, f"i-{number}")
            self.detector.on_answer(call)
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))
        self.assertFalse(self.detector.is_suspect(self.call()))

    def test_a_query_that_other_shards_answered(self):
        call = self.call(shards=("a", "b", "c", "d"))
        call.answered_count = 1
        for number in range(CRASH_LIMIT):
            self.lose(call, f"i-{number}")
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))

    def test_connections_that_are_reset_by_running_servers(self):
        for number in range(CRASH_LIMIT):
            self.detector.on_connection_broken(self.call(), f"i-{number}")
        self.assertEqual({"suspects": 0, "refused": 0}, self.detector.counts)

    def test_a_server_that_ends_much_later(self):
        for number in range(CRASH_LIMIT):
            self.lose(self.call(), f"i-{number}", CONFIRM_WINDOW_S + 0.1)
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))

    def test_a_server_that_ends_repeatedly_counts_once(self):
        for _ in range(2 * CRASH_LIMIT):
            self.lose(self.call(), "i-1")
            self.now += 1.0
        self.assertEqual(0.0, self.detector.refused_for_s(self.call()))


class MemoryTest(_DetectorTest):
    """Guards against memory and time that grow with the losses."""

    def test_old_losses_are_removed(self):
        for number in range(50):
            self.detector.on_connection_broken(self.call(), f"i-{number}")
        self.lose(self.call(), "i-0")
        self.now += 120.0
        self.detector.remove_expired()
        self.assertEqual({}, self.detector._unconfirmed_losses)
        self.assertEqual({}, self.detector._counted_losses)

    def test_look_up_time_does_not_grow_with_the_suspects(self):
        for number in range(3000):
            self.lose(self.call(f"/p/{number}"), f"i-{number}", 0.0)
        call = self.call("/p/other")
        started = time.thread_time()
        for _ in range(1000):
            self.detector.refused_for_s(call)
        # A look-up may take a twentieth of the 0.4 ms of processor time that a
        # sub-request may take.
        self.assertLess(time.thread_time() - started, 1000 * 0.05 * 0.0004)

    def test_losses_of_one_server_are_bounded(self):
        for _ in range(1000):
            self.detector.on_connection_broken(self.call(), "i-1")
        self.assertLess(len(self.detector._unconfirmed_losses["i-1"]), 100)
