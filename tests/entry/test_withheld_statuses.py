"""Tests of servers that fail requests after their run with a status for "not run"."""

import testtools

from almondtide.errors import ResultCode
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import make_reply, make_route
from tests.entry.test_dispatch import _Fleet

UNSAFE = make_route(is_idempotent=False, timeout_s=5.0)
SERVER_LATENCY_S = 0.02
PAUSE_S = 2.0
PROMISES = (408, 421, 429, 503)


def _run_one(status, route=UNSAFE, **fields):
    """Run one call at servers that all fail alike; return (fleet, answer, seconds)."""
    clock = VirtualClock()
    reply = make_reply(b"failed", status=status, **fields)

    async def scenario():
        fleet = _Fleet(lambda exchange: (SERVER_LATENCY_S, reply), ("a",), clock=clock)
        await fleet.timers.start()
        _, answer, seconds = await fleet.run(route, allowed_s=5.0)
        return fleet, answer, seconds

    return run_in_virtual_time(scenario, clock=clock)


class WithheldStatusTest(testtools.TestCase):
    """Guards against a false "not run", and against what a true answer must keep."""

    def test_the_caller_gets_an_answer_of_the_entry_at_once(self):
        # A status that is withheld must not make the caller wait for its timeout.
        for status in PROMISES:
            fleet, answer, seconds = _run_one(status)
            found = (answer.status, answer.code, answer.is_not_run)
            self.assertEqual((502, ResultCode.STATUS_WITHHELD, False), found)
            self.assertTrue(seconds < 2 * SERVER_LATENCY_S, (status, seconds))
            self.assertEqual(1, len(fleet.pool.sent), status)

    def test_the_server_still_pauses_and_counts_as_failing(self):
        fleet, answer, _ = _run_one(503, pause_s=PAUSE_S)
        upstream = fleet.pool.sent[0].upstream
        now = fleet.dispatcher.now()
        self.assertTrue(upstream.paused_until > now + PAUSE_S / 2)
        self.assertTrue(upstream.failure_rate(now) > 0.0)
        self.assertNotIn(b"retry-after", dict(answer.headers))

    def test_the_log_names_server_and_status(self):
        fleet, _, _ = _run_one(429)
        self.assertEqual(1, fleet.dispatcher.counts["statuses_withheld"])
        [fields] = [
            fields
            for event, fields in fleet.dispatcher._log.events
            if event == "status_withheld"
        ]
        server_id = fleet.pool.sent[0].upstream.server.id
        expected = {"id": "id-1", "route": "r", "status": 429, "source": server_id}
        self.assertEqual(expected, fields)

    def test_a_route_that_may_repeat_keeps_the_status(self):
        for status in PROMISES:
            _, answer, _ = _run_one(status, make_route(max_servers=1))
            self.assertEqual((status, b"failed"), (answer.status, answer.body))

    def test_without_proof_no_server_loses_its_address(self):
        # One failure with this status must not take a sound server out of use.
        fleet, _, _ = _run_one(421)
        self.assertFalse(fleet.pool.sent[0].upstream.is_removed)
        fleet, answer, _ = _run_one(421, server_id="i-other")
        self.assertTrue(fleet.pool.sent[0].upstream.is_removed)
        self.assertEqual((503, True), (answer.status, answer.is_not_run))
