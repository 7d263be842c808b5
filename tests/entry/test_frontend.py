"""Tests of the log lines of requests."""

import time

import testtools

from almondtide.entry.answers import error_answer
from almondtide.entry.frontend import Frontend
from almondtide.entry.replica import StoreReplica
from almondtide.errors import ResultCode
from almondtide.model.http_messages import Request
from tests.support import MemoryLog


class RequestLineTest(testtools.TestCase):
    """Guards against failures whose log lines are suppressed by those of successes."""

    def test_failures_have_an_event_of_their_own(self):
        log = MemoryLog()
        frontend = Frontend(None, StoreReplica(), None, 0.0, None, time.monotonic, log)
        for status, name in ((404, "request"), (503, "request_failed")):
            request = Request("GET", "/a", "h", "r-1", None, [], b"")
            answer = error_answer(status, ResultCode.OVERLOADED, "full", 0.1)
            frontend._record_answer(request, None, answer, time.monotonic())
            written, fields = log.events[-1]
            self.assertEqual((name, "r-1"), (written, fields["id"]))
