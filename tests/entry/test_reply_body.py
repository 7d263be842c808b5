"""Tests of the bodies of replies, alone and against the real connection pool."""

import random
import time
import tracemalloc

import testtools

from almondtide.entry.connections import ConnectionPool
from almondtide.entry.merge import merge_records
from almondtide.entry.reply_body import SHORTEN_AT_BYTES, ReplyBody
from almondtide.entry.upstreams import Upstream
from tests.entry.support import make_server
from tests.entry.test_connections import _Exchange, _reply
from tests.entry.test_endless_replies import _EndlessServer
from tests.support import MemoryLog, run

PART_BYTES = 1 << 20
PART_COUNT = 6


class ReplyBodyTest(testtools.TestCase):
    """Guards against shortened parts that change the merged answer."""

    def _read(self, data, rng, record_limit):
        body = ReplyBody(record_limit)
        while data:
            size = rng.choice((1, 15, 400, 5000, 70_000))
            body.add(data[:size])
            data = data[size:]
        return bytes(body)

    def test_shortened_parts_merge_as_whole_ones(self):
        for seed in range(30):
            rng = random.Random(seed)
            parts = [rng.randbytes(rng.choice((0, 7, 200, 40_000, 99_999)))] * 2
            parts += [rng.randbytes(rng.randint(0, 60_000)) for _ in range(3)]
            count = rng.choice((0, 1, 10, 50, 2000))
            kept = [self._read(part, rng, count) for part in parts]
            merged = merge_records(parts, count)
            self.assertEqual(merged, merge_records(kept, count), seed)
            longest = 16 * count + max(SHORTEN_AT_BYTES, 16 * count)
            self.assertTrue(max(map(len, kept)) <= longest, seed)

    def test_other_bodies_are_kept_whole(self):
        data = random.Random(1).randbytes(200_001)
        self.assertEqual(data, self._read(data, random.Random(1), None))


class LongPartsTest(testtools.TestCase):
    """Guards against complete parts that fill the memory while others are awaited."""

    def test_parts_that_wait_hold_the_needed_records(self):
        part = random.Random(2).randbytes(PART_BYTES)
        server = _EndlessServer(_reply(part), b"")
        # It sends one reply only.
        server.sent_bytes = 1 << 40

        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            upstream = Upstream(make_server("i-1", port=server.port))
            exchanges = [_Exchange(upstream) for _ in range(PART_COUNT)]
            tracemalloc.start()
            try:
                for exchange in exchanges:
                    exchange.record_limit = 10
                    await pool.send(exchange)
                    await exchange.done.wait()
                merged = merge_records([e.result.body for e in exchanges], 10)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            self.assertEqual(merge_records([part] * PART_COUNT, 10), merged)
            self.assertEqual(0, pool.buffered_bytes)
            return [exchange.result.body for exchange in exchanges], peak

        try:
            bodies, peak = run(scenario, timeout_s=60)
        finally:
            server.close()
        self.assertTrue(max(map(len, bodies)) <= SHORTEN_AT_BYTES + 160)
        self.assertTrue(peak < PART_BYTES, peak)
