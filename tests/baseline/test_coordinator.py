"""Tests of the queries of the naive version."""

import curio
import testtools

from almondtide.clock import SystemClock
from almondtide.errors import ResultCode
from almondtide.logs import Log
from almondtide.membership import UPSTREAM, Member
from almondtide.queries import QueryRequest
from baseline.coordinator import NaiveCoordinator
from tests.fakes import (
    ScriptedServer,
    ScriptedUpstreams,
    make_configuration,
    make_membership,
    make_metrics,
)

SERVICE = "advisory-0"


class NaiveCoordinatorTest(testtools.TestCase):
    """Guards against wrong answers of the baseline, which make comparisons invalid."""

    def query(self, servers, deadline_ms=300, queries=1, **defaults):
        """Return the answers to queries that start at the same time."""

        async def main():
            clock = SystemClock()
            upstreams = ScriptedUpstreams(servers)
            membership = await make_membership(clock)
            entries = list(membership.view().entries.values())
            listed = [
                Member(
                    f"s{number}",
                    UPSTREAM,
                    ("127.0.0.1", number),
                    "domain",
                    service=SERVICE,
                )
                for number in range(len(servers))
            ]
            await membership.update_list(entries + listed)
            coordinator = NaiveCoordinator(
                "entry-0",
                make_configuration(services=1, defaults=defaults),
                membership,
                upstreams,
                clock,
                Log(),
                make_metrics(),
                seed=1,
            )
            tasks = []
            for number in range(queries):
                req = QueryRequest(f"r{number}", "advisory", {}, deadline_ms)
                tasks.append(await curio.spawn(coordinator.query, req))
            return [await task.join() for task in tasks]

        return curio.run(main)

    def test_refused_sub_request_runs_on_another_server(self):
        shedding_server = ScriptedServer(code=ResultCode.UPSTREAM_SHED)
        shedding_server.not_run = True
        (answer,) = self.query([shedding_server, ScriptedServer(), shedding_server])
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(["e1-0"], answer.covered)

    def test_answer_without_a_server_is_not_run(self):
        """A sub-request that was only refused must not count as possibly run."""
        shedding_server = ScriptedServer(code=ResultCode.UPSTREAM_SHED)
        shedding_server.not_run = True
        (answer,) = self.query([shedding_server], deadline_ms=80)
        self.assertEqual(ResultCode.UPSTREAM_SHED, answer.code)
        self.assertTrue(answer.not_run)
        self.assertEqual([("e1-0", ResultCode.UPSTREAM_SHED)], answer.missing)
        self.assertGreater(answer.sends, 1)

    def test_lost_sub_request_is_never_reported_as_not_run(self):
        """A later refusal must not hide that a server may have run it."""
        server = ScriptedServer()
        server.loses_connection = True
        (answer,) = self.query([server], deadline_ms=60)
        self.assertEqual(ResultCode.UPSTREAM_LOST, answer.code)
        self.assertFalse(answer.not_run)

    def test_slow_sub_request_is_missing_at_the_deadline(self):
        (answer,) = self.query([ScriptedServer(1.0)], deadline_ms=60)
        self.assertEqual([("e1-0", ResultCode.DEADLINE_EXCEEDED)], answer.missing)
        self.assertFalse(answer.not_run)

    def test_answer_of_another_snapshot_is_not_merged(self):
        server = ScriptedServer()
        server.answered_version = 7
        (answer,) = self.query([server])
        self.assertEqual([("e1-0", ResultCode.SNAPSHOT_MISMATCH)], answer.missing)

    def test_connections_stay_within_the_share_of_the_daemon(self):
        """18 daemons without a share would exceed the limit of a server."""
        server = ScriptedServer(0.02)
        answers = self.query([server], queries=8, connections=6)
        self.assertEqual([ResultCode.OK] * 8, [answer.code for answer in answers])
        # A limit of 6 for 3 daemons leaves 2 for this one.
        self.assertEqual(2, server.max_concurrent)
