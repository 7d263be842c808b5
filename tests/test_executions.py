"""Tests of non-idempotent requests."""

import curio
import testtools

from almondtide.clock import MemoryClock
from almondtide.errors import AlmondtideError, BadRequestError, ResultCode
from almondtide.executions import ExecutionId, Executions, ReviseRequest
from almondtide.logs import Log
from almondtide.messages import ErrorReply, Execute, ExecuteResult, ForwardRevise
from almondtide.quarantine import Quarantine
from tests.fakes import (
    PeerFailure,
    ScriptedPeers,
    make_configuration,
    make_membership,
    make_metrics,
)


def answer(code=ResultCode.OK, not_run=False, server="s0"):
    async def reply(message):
        return ExecuteResult(code=int(code), not_run=not_run, server=server)

    return reply


def outage(sent):
    async def reply(message):
        return PeerFailure(sent)

    return reply


class ExecutionsTest(testtools.TestCase):
    """Guards against a non-idempotent request that runs twice."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryClock()
        self.quarantine = Quarantine(self.clock)
        self.notified = []

    async def make(self, script, incarnation="aaaa"):
        self.peers = ScriptedPeers(script)
        self.membership = await make_membership(self.clock)
        return Executions(
            "entry-0",
            incarnation,
            make_configuration(),
            self.membership,
            self.peers,
            self.quarantine,
            self.notify_peers,
            self.clock,
            Log(),
            make_metrics(),
        )

    async def notify_peers(self, fingerprint):
        self.notified.append(fingerprint)

    def run_with(self, script, scenario):
        async def main():
            executions = await self.make(script)
            return await scenario(executions)

        return curio.run(main)

    @staticmethod
    def request(executions, suffix="one", body=None, execution_id=None):
        execution_id = execution_id or f"{executions.prefix()}~{suffix}"
        return ReviseRequest("r", "advisory", execution_id, body or {"key": 5}, 500)

    @staticmethod
    def everywhere(reply):
        return {f"entry-{n}": reply for n in range(3)}

    def executes(self):
        return [m for _, m in self.peers.requests if isinstance(m, Execute)]

    def test_resend_gets_the_stored_outcome(self):
        async def scenario(executions):
            first = await executions.revise(self.request(executions))
            second = await executions.revise(self.request(executions))
            return first, second

        first, second = self.run_with(self.everywhere(answer()), scenario)
        self.assertEqual(ResultCode.OK, first.code)
        self.assertEqual(first.code, second.code)
        self.assertEqual(1, len(self.executes()))

    def test_resend_while_running_does_not_dispatch_again(self):
        async def slow(message):
            await curio.sleep(0.05)
            return ExecuteResult(code=0)

        async def scenario(executions):
            async with curio.TaskGroup() as group:
                for _ in range(5):
                    await group.spawn(executions.revise, self.request(executions))
            return [outcome.code for outcome in group.results]

        codes = self.run_with(self.everywhere(slow), scenario)
        self.assertEqual([ResultCode.OK] * 5, codes)
        self.assertEqual(1, len(self.executes()))

    def test_owner_lost_after_the_send_is_unknown_and_not_retried(self):
        async def scenario(executions):
            outcomes = []
            for _ in range(2):
                outcomes.append(await executions.revise(self.request(executions)))
            return outcomes

        outcomes = self.run_with(self.everywhere(outage(sent=True)), scenario)
        for outcome in outcomes:
            self.assertEqual(ResultCode.OUTCOME_UNKNOWN, outcome.code)
            self.assertFalse(outcome.not_run)
        self.assertEqual(1, len(self.executes()))

    def test_owner_that_never_received_the_request_is_skipped(self):
        async def scenario(executions):
            ranked = self.membership.view().ranked_instances("advisory-0")
            self.peers.script = self.everywhere(answer())
            self.peers.script[ranked[0]] = outage(sent=False)
            return await executions.revise(self.request(executions))

        outcome = self.run_with({}, scenario)
        self.assertEqual(ResultCode.OK, outcome.code)
        self.assertEqual(2, len(self.executes()))

    def test_upstream_that_may_have_run_it_is_unknown(self):
        script = self.everywhere(answer(ResultCode.UPSTREAM_LOST))

        async def scenario(executions):
            outcome = await executions.revise(self.request(executions))
            await curio.sleep(0.01)
            return outcome

        outcome = self.run_with(script, scenario)
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, outcome.code)
        self.assertEqual(1, len(self.notified))

    def test_refused_execution_is_not_run_and_may_be_retried(self):
        script = self.everywhere(answer(ResultCode.UPSTREAM_SHED, not_run=True))

        async def scenario(executions):
            first = await executions.revise(self.request(executions))
            self.peers.script = self.everywhere(answer())
            return first, await executions.revise(self.request(executions))

        first, second = self.run_with(script, scenario)
        self.assertTrue(first.not_run)
        self.assertEqual(ResultCode.OK, second.code)

    def test_id_of_an_earlier_incarnation_is_unknown(self):
        async def scenario(executions):
            request = self.request(executions, execution_id="entry-0~bbbb~0~one")
            self.peers.script = {"entry-0": self.forwarded(executions)}
            return await executions.revise(request)

        outcome = self.run_with({}, scenario)
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, outcome.code)
        self.assertEqual([], self.executes())

    def forwarded(self, executions):
        async def serve(message):
            replies = curio.Queue()
            await self.peers.handlers[ForwardRevise]("x", message, replies.put)
            return await replies.get()

        return serve

    def test_unreachable_home_is_unknown_even_when_nothing_was_sent(self):
        # An earlier request of the caller may have reached the home, which is the
        # daemon that issued the prefix of the id.
        async def scenario(executions):
            request = self.request(executions, execution_id="entry-1~cccc~0~one")
            return await executions.revise(request)

        outcome = self.run_with({"entry-1": outage(sent=False)}, scenario)
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, outcome.code)
        self.assertFalse(outcome.not_run)

    def test_refusal_by_a_starting_home_is_not_reported_as_not_run(self):
        # It refuses before it looks for the outcome of an earlier request.
        async def refuse(message):
            return ErrorReply(code=int(ResultCode.NOT_READY), not_run=True)

        async def scenario(executions):
            request = self.request(executions, execution_id="entry-1~cccc~0~one")
            return await executions.revise(request)

        outcome = self.run_with({"entry-1": refuse}, scenario)
        self.assertEqual(ResultCode.NOT_READY, outcome.code)
        self.assertFalse(outcome.not_run)

    def test_only_the_home_knows_that_an_id_never_ran(self):
        async def scenario(executions):
            request = self.request(executions)
            before = executions.is_known_not_run(request.execution_id)
            await executions.revise(request)
            after = executions.is_known_not_run(request.execution_id)
            elsewhere = executions.is_known_not_run("entry-1~cccc~0~one")
            return before, after, elsewhere, executions.is_known_not_run("no id")

        answers = self.run_with(self.everywhere(answer()), scenario)
        self.assertEqual((True, False, False, True), answers)

    def test_same_id_for_another_body_is_refused(self):
        async def scenario(executions):
            await executions.revise(self.request(executions))
            return await executions.revise(self.request(executions, body={"key": 6}))

        exc = self.assertRaises(
            AlmondtideError, self.run_with, self.everywhere(answer()), scenario
        )
        self.assertEqual(ResultCode.EXECUTION_CONFLICT, exc.code)

    def test_id_older_than_the_retention_is_refused(self):
        async def scenario(executions):
            request = self.request(executions)
            await executions.revise(request)
            self.clock.advance(3600)
            # The home drops expired outcomes when it accepts another execution.
            await executions.revise(self.request(executions, suffix="two"))
            self.assertEqual(1, executions.record_count)
            return await executions.revise(request)

        exc = self.assertRaises(
            AlmondtideError, self.run_with, self.everywhere(answer()), scenario
        )
        self.assertEqual(ResultCode.EXECUTION_EXPIRED, exc.code)
        self.assertFalse(exc.not_run)
        self.assertEqual(2, len(self.executes()))

    def test_bad_body_is_refused_before_anything_is_sent(self):
        for body in ({"key": "x"}, {"key": -1}, {"key": True}, {"other": 1}, []):

            async def scenario(executions, body=body):
                execution_id = f"{executions.prefix()}~one"
                request = ReviseRequest("r", "advisory", execution_id, body, 500)
                return await executions.revise(request)

            exc = self.assertRaises(
                BadRequestError, self.run_with, self.everywhere(answer()), scenario
            )
            self.assertTrue(exc.not_run)
            self.assertEqual([], self.peers.requests)

    def test_quarantined_request_is_not_dispatched(self):
        async def scenario(executions):
            self.peers.script = self.everywhere(answer(ResultCode.UPSTREAM_LOST))
            await executions.revise(self.request(executions, "one"))
            self.peers.script = self.everywhere(
                answer(ResultCode.UPSTREAM_LOST, server="s1")
            )
            await executions.revise(self.request(executions, "two"))
            return await executions.revise(self.request(executions, "three"))

        exc = self.assertRaises(AlmondtideError, self.run_with, {}, scenario)
        self.assertEqual(ResultCode.QUARANTINED, exc.code)
        self.assertEqual(2, len(self.executes()))
        self.assertTrue(self.executes()[1].suspect)


class ExecutionIdTest(testtools.TestCase):
    """Guards against ids that do not identify their home."""

    def test_round_trip(self):
        text = "entry-0~8c1f~3~order-17"
        self.assertEqual(text, str(ExecutionId.parse(text)))

    def test_bad_ids_are_refused(self):
        bad = [None, "", "a", "a~b~c~d", "a~b~1", "a~b~1~", "~b~1~x", "a~b~1~x~y"]
        for text in bad:
            self.assertRaises(BadRequestError, ExecutionId.parse, text)
