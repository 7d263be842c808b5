"""Tests of the lines that explain a request afterwards."""

import time

import testtools

from almondtide.entry.answers import error_answer
from almondtide.entry.front import Front
from almondtide.entry.http_messages import Request
from almondtide.entry.knowledge import Knowledge
from almondtide.errors import ResultCode
from tests.support import MemoryLog


class RequestLineTest(testtools.TestCase):
    """Guards against failures whose lines a busy second leaves out."""

    def test_failures_have_lines_of_their_own(self):
        log = MemoryLog()
        front = Front(None, Knowledge(), None, time.monotonic, log)
        for status, name in ((404, "request"), (503, "request_failed")):
            request = Request("GET", "/a", "h", "r-1", None, [], b"")
            answer = error_answer(status, ResultCode.OVERLOADED, "full", 0.1)
            front._done(request, None, answer, time.monotonic())
            written, fields = log.events[-1]
            self.assertEqual((name, "r-1"), (written, fields["id"]))
