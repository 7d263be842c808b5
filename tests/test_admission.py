"""Tests of admission and of the reported load."""

import testtools

from almondtide.admission import Estimate, LoadTable, admit
from almondtide.clock import MemoryClock


class AdmitTest(testtools.TestCase):
    """Guards against work that is accepted although it must be late."""

    def test_work_that_fits_is_admitted(self):
        self.assertIsNone(admit(Estimate(0.1, 0.05), 0.39))

    def test_refusal_says_when_to_come_back(self):
        retry_after_ms = admit(Estimate(1.0, 0.05), 0.39)
        self.assertTrue(500 < retry_after_ms < 1000, retry_after_ms)


class LoadTableTest(testtools.TestCase):
    """Guards against a service that stays refused for lack of newer reports."""

    def test_report_decays_with_time(self):
        clock = MemoryClock()
        loads = LoadTable(clock)
        loads.report("advisory-0", 0.5)
        clock.advance(0.2)
        self.assertAlmostEqual(0.3, loads.wait_s("advisory-0"))
        clock.advance(1.0)
        self.assertEqual(0.0, loads.wait_s("advisory-0"))

    def test_unknown_service_is_not_refused(self):
        self.assertEqual(0.0, LoadTable(MemoryClock()).wait_s("advisory-9"))
