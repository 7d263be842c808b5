"""Tests of what proves that a request has not run."""

import itertools

import testtools

from almondtide.promises import RunEvidence, judge_reply, may_state

STATUSES = (0, 200, 400, 404, 408, 421, 429, 500, 502, 503, 504, 599)


class JudgeReplyTest(testtools.TestCase):
    """Guards against a status that is taken for the proof of "not run"."""

    def test_all_replies(self):
        for status, is_not_run, stated_id in itertools.product(
            STATUSES, (False, True), (None, "i-1", "i-2")
        ):
            expected = RunEvidence.NOT_RUN if is_not_run else RunEvidence.NONE
            if status == 421 and (stated_id == "i-2" or (is_not_run and not stated_id)):
                expected = RunEvidence.MISDIRECTED
            evidence = judge_reply(status, is_not_run, stated_id, "i-1")
            self.assertIs(expected, evidence, (status, is_not_run, stated_id))


class MayStateTest(testtools.TestCase):
    """Guards against a false "not run" of a request that may run once only."""

    def test_all_answers(self):
        for status, is_idempotent, is_not_run in itertools.product(
            STATUSES, (False, True), (False, True)
        ):
            is_false = (
                status in (408, 421, 429, 503) and not is_idempotent and not is_not_run
            )
            self.assertEqual(not is_false, may_state(status, is_idempotent, is_not_run))
