"""Tests of the memory of the connections that replied to a request."""

import testtools

from almondtide.entry import answered_requests
from almondtide.entry.answered_requests import AnsweredRequests


class AnsweredRequestsTest(testtools.TestCase):
    """Guards against a late copy that is taken for the reply to another send."""

    def test_each_connection_is_remembered_until_the_request_is_over(self):
        answered = AnsweredRequests()
        for connection in (1, 2):
            self.assertTrue(answered.note("id-1", connection, 5.0, 1.0))
        self.assertTrue(answered.note("id-2", 3, 6.0, 4.9))
        found = [answered.may_carry("id-1", connection) for connection in (1, 2, 3)]
        self.assertEqual([False, False, True], found)
        answered.note("id-3", 4, 7.0, 5.0)
        self.assertEqual(2, len(answered))
        self.assertFalse(answered.may_carry("id-2", 3))

    def test_a_full_memory_keeps_no_connection_in_use(self):
        # Otherwise the connection could carry a forgotten request again.
        self.addCleanup(
            setattr, answered_requests, "MAX_REQUESTS", answered_requests.MAX_REQUESTS
        )
        answered_requests.MAX_REQUESTS = 2
        answered = AnsweredRequests()
        for number in range(2):
            self.assertTrue(answered.note(f"id-{number}", 1, 5.0, 1.0))
        self.assertTrue(answered.note("id-1", 2, 5.0, 1.0))
        self.assertFalse(answered.note("id-2", 1, 5.0, 1.0))
        self.assertTrue(answered.note("id-2", 1, 9.0, 5.0))
