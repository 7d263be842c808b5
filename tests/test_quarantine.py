"""Tests of suspects and quarantine."""

import testtools

from almondtide.clock import MemoryClock
from almondtide.quarantine import Quarantine, request_fingerprint


class QuarantineTest(testtools.TestCase):
    """Guards against crashing requests that run on and refusals of harmless ones."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryClock()
        self.quarantine = Quarantine(self.clock)

    def test_second_loss_in_isolation_quarantines(self):
        self.assertFalse(self.quarantine.record_loss("m", "s0", is_isolated=False))
        self.assertTrue(self.quarantine.is_suspect("m"))
        self.assertTrue(self.quarantine.record_loss("m", "s1", is_isolated=True))
        self.assertTrue(self.quarantine.remaining_s("m") > 59)

    def test_lost_failure_domain_quarantines_no_request(self):
        for number in range(10):
            for fingerprint in ("a", "b", "c"):
                lost = self.quarantine.record_loss(
                    fingerprint, f"s{number}", is_isolated=False
                )
                self.assertFalse(lost)
        self.assertEqual([], self.quarantine.quarantined())

    def test_same_server_lost_twice_counts_once(self):
        self.quarantine.record_loss("m", "s0", is_isolated=False)
        self.assertFalse(self.quarantine.record_loss("m", "s0", is_isolated=True))

    def test_success_in_isolation_clears_the_suspicion(self):
        self.quarantine.record_loss("m", "s0", is_isolated=False)
        self.quarantine.clear_suspect("m")
        self.assertFalse(self.quarantine.is_suspect("m"))

    def test_losses_seen_by_peers_are_added(self):
        self.quarantine.record_loss("m", "s0", is_isolated=False)
        self.assertTrue(self.quarantine.add_lost_servers("m", ["s1"]))

    def test_quarantine_and_suspicion_end(self):
        self.quarantine.add("m", 60.0)
        self.quarantine.record_loss("n", "s0", is_isolated=False)
        self.clock.advance(61)
        self.assertEqual(0.0, self.quarantine.remaining_s("m"))
        self.assertFalse(self.quarantine.is_suspect("n"))

    def test_tracked_requests_are_bounded(self):
        for number in range(5000):
            self.quarantine.record_loss(f"m{number}", "s0", is_isolated=False)
        self.assertTrue(len(self.quarantine.suspects()) <= 4097)


class FingerprintTest(testtools.TestCase):
    """Guards against a resent request that is not recognised."""

    def test_key_order_does_not_matter(self):
        first = request_fingerprint("w", "query", {"a": 1, "b": 2})
        second = request_fingerprint("w", "query", {"b": 2, "a": 1})
        self.assertEqual(first, second)

    def test_kind_and_workload_matter(self):
        fingerprints = {
            request_fingerprint(workload, kind, {})
            for workload in ("w", "x")
            for kind in ("query", "revise")
        }
        self.assertEqual(4, len(fingerprints))
