"""Tests of the summaries of recorded requests."""

import os
import tempfile

import testtools

from almondtide.errors import ResultCode
from bench.records import (
    CODE_CONNECTION_LOST,
    LoadReport,
    Record,
    Summary,
    read_report,
    recovery_s,
    write_report,
)

SHARDS = 2


def make_full_record(start_s, latency_s=0.01, sends=SHARDS):
    return Record(start_s, latency_s, covered=SHARDS, sends=sends)


class SummaryTest(testtools.TestCase):
    """Guards against figures that omit failed requests."""

    def test_request_without_answer_counts_as_uncovered(self):
        unanswered = Record(0.0, 0.5, status=0, code=CODE_CONNECTION_LOST)
        partial = Record(
            0.1, 0.2, code=ResultCode.PARTIAL, covered=1, missing=[104], sends=2
        )
        figures = Summary(
            [make_full_record(0.0), make_full_record(0.2), unanswered, partial],
            2.0,
            SHARDS,
        ).to_dict()
        self.assertEqual(5 / 8, figures["coverage"])
        self.assertEqual(1.0, figures["goodput_per_s"])
        self.assertEqual({"DEADLINE_EXCEEDED": 1}, figures["missing_codes"])
        self.assertEqual(
            {"OK": 2, "PARTIAL": 1, "connection lost": 1}, figures["codes"]
        )

    def test_extra_sends_are_those_beyond_one_per_sub_request(self):
        summary = Summary(
            [make_full_record(0.0), make_full_record(0.1, sends=3)], 1.0, SHARDS
        )
        self.assertEqual(0.25, summary.extra_sends)

    def test_refusal_without_retry_after_ms_is_malformed(self):
        good = Record(0.0, 0.01, 0.0, 503, 200, True, retry_after_ms=20)
        bad = Record(0.0, 0.01, 0.0, 503, 200, True)
        self.assertEqual(0.5, Summary([good, bad], 1.0, SHARDS).refusals_well_formed())

    def test_quantiles(self):
        records = [make_full_record(0.0, latency_s=n / 1000.0) for n in range(1, 1001)]
        latency = Summary(records, 1.0, SHARDS).answered_ms()
        self.assertAlmostEqual(990.0, latency["p99"], delta=1.0)
        self.assertEqual(1000.0, latency["max"])

    def test_report_is_read_as_it_was_written(self):
        report = LoadReport([Record(0.5, 0.25, missing=[104])], 0.125, 3)
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "report.json")
            write_report(path, report)
            again = read_report(path)
        self.assertEqual(report.records[0].to_list(), again.records[0].to_list())
        self.assertEqual((0.125, 3), (again.cpu_share, again.unfinished))


class RecoveryTest(testtools.TestCase):
    """Guards against a recovery time that ends before requests succeed again."""

    def records(self, bad_until):
        return [
            make_full_record(
                n / 100.0, latency_s=0.5 if n / 100.0 < bad_until else 0.01
            )
            for n in range(100, 500)
        ]

    def test_recovery_is_the_end_of_the_last_bad_bin(self):
        self.assertEqual(1.5, recovery_s(self.records(2.4), 1.0, 5.0, slow_s=0.1))

    def test_fault_without_bad_bins(self):
        self.assertEqual(0.0, recovery_s(self.records(0.0), 1.0, 5.0, slow_s=0.1))

    def test_no_recovery(self):
        self.assertIsNone(recovery_s(self.records(5.0), 1.0, 5.0, slow_s=0.1))

    def test_bin_without_any_answer_is_bad(self):
        records = [r for r in self.records(0.0) if not 2.0 <= r.start_s < 3.0]
        records += [Record(2.5, 0.01, status=0, code=CODE_CONNECTION_LOST)]
        self.assertEqual(2.0, recovery_s(records, 1.0, 5.0, slow_s=0.1))
