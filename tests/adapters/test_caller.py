"""Tests of the statuses with which ``almondtided`` answers revisions."""

import testtools

from almondtide.adapters.caller import CallerAPI
from almondtide.adapters.http import HTTPRequest, error_response
from almondtide.errors import AlmondtideError, RefusedError, ResultCode
from almondtide.executions import Outcome
from almondtide.metrics import Metrics
from tests.support import MemoryLog, run


class _Clock:
    @staticmethod
    def monotonic():
        return 0.0


class _Executions:
    """Ends each revision with an outcome, or raises it."""

    def __init__(self, end, is_known):
        self.end = end
        self.is_known = is_known

    async def revise(self, req):
        if isinstance(self.end, Exception):
            raise self.end
        return self.end

    def is_known_not_run(self, execution_id):
        return self.is_known


def _revise(end, is_known=False):
    """Return (status, not_run) of the response to a revision."""
    api = CallerAPI(
        "entry-1",
        None,
        _Executions(end, is_known),
        None,
        None,
        lambda name: True,
        _Clock,
        MemoryLog(),
        Metrics(),
    )
    headers = {"almondtide-execution-id": "entry-2~aa~0~one"}
    request = HTTPRequest("POST", "/v1/workloads/w/revise", headers, b"{}")

    async def scenario():
        try:
            return await api.handle(request)
        except AlmondtideError as exc:
            return error_response(exc)

    response = run(scenario)
    return response.status, response.json()["not_run"]


class ReviseStatusTest(testtools.TestCase):
    """Guards against "not run" by the status of a revision that may have run."""

    def test_a_refusal_by_a_home_that_has_just_started(self):
        # An earlier attempt with the same execution id may have run.
        outcome = Outcome(ResultCode.NOT_READY, not_run=False)
        self.assertEqual((502, False), _revise(outcome))
        outcome = Outcome(ResultCode.NOT_READY, not_run=True)
        self.assertEqual((503, True), _revise(outcome))

    def test_a_refusal_by_an_entry_that_is_not_the_home(self):
        self.assertEqual((502, False), _revise(RefusedError("full")))
        self.assertEqual((503, True), _revise(RefusedError("full"), is_known=True))
