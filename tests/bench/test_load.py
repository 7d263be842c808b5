"""Tests of the open-loop load."""

import time

import curio
import testtools

from almondtide.adapters.http import json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log
from bench.load import LoadProcess, LoadSpec
from bench.records import CODE_CONNECTION_LOST

STALL_S = 0.4


class _StalledDaemon:
    """A daemon that answers no queries in the first ``STALL_S`` of the load."""

    def __init__(self):
        self.listener = Listener(("127.0.0.1", 0), self._serve)
        self.stalled_until = 0.0
        self.listed_addresses = []

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.address[1]}"

    async def _serve(self, sock, address):
        await serve_http(sock, self._handle, log=Log())

    async def _handle(self, request):
        if request.path == "/v1/entries":
            entries = [{"address": address} for address in self.listed_addresses]
            return json_response(200, {"entries": entries, "max_age_ms": 1000})
        await curio.sleep(max(0.0, self.stalled_until - time.monotonic()))
        coverage = {"covered": ["a", "b"], "missing": []}
        body = {"code": 0, "not_run": False, "retry_after_ms": None, "sends": 2}
        return json_response(200, {**body, "coverage": coverage})


class LoadTest(testtools.TestCase):
    """Guards against latencies that hide a stall or lost connections."""

    def run_load(self, listed_addresses=None, **options):
        async def main():
            daemon = _StalledDaemon()
            await daemon.listener.start()
            daemon.listed_addresses = listed_addresses or [daemon.address]
            daemon.stalled_until = time.monotonic() + 0.2 + STALL_S
            spec = LoadSpec(
                [daemon.address], "advisory", 100, 0.8, processes=1, **options
            )
            process = LoadProcess(spec, 0)
            report = await process.run(time.time() + 0.2)
            await daemon.listener.close()
            return spec, report

        return curio.run(main)

    def test_stall_counts_for_all_requests_that_it_delays(self):
        """A load that waits for each answer would record only one slow request."""
        spec, report = self.run_load()
        self.assertEqual(len(spec.arrival_times_s(0)), len(report.records))
        delayed = [r for r in report.records if r.start_s < STALL_S]
        self.assertGreater(len(delayed), 20)
        for record in delayed:
            self.assertGreater(record.latency_s, STALL_S - record.start_s - 0.1)
        self.assertEqual(0, report.unfinished)
        self.assertEqual((2, 2), (delayed[0].covered, delayed[0].sends))

    def test_lost_connections_are_recorded(self):
        _, report = self.run_load(listed_addresses=["127.0.0.1:1"])
        self.assertEqual({CODE_CONNECTION_LOST}, {r.code for r in report.records})
        self.assertEqual({0}, {r.status for r in report.records})


class ArrivalsTest(testtools.TestCase):
    """Guards against different loads for the product and the baseline."""

    def test_same_seed_gives_the_same_load(self):
        first = LoadSpec([], "advisory", 50, 20, seed=3)
        again = LoadSpec.from_json(first.to_json())
        self.assertEqual(first.arrival_times_s(1), again.arrival_times_s(1))
        queries = [first.make_bodies(1), again.make_bodies(1)]
        for _ in range(20):
            self.assertEqual(*[next(bodies) for bodies in queries])

    def test_rate_is_met_over_all_processes(self):
        spec = LoadSpec([], "advisory", 50, 100, processes=2)
        count = sum(len(spec.arrival_times_s(number)) for number in range(2))
        self.assertAlmostEqual(5000, count, delta=250)
        self.assertNotEqual(spec.arrival_times_s(0)[0], spec.arrival_times_s(1)[0])
