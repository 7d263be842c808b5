"""Tests of the callers of the proofs."""

import orjson
import testtools

from proofs.callers import Caller

ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]


class _Connections:
    """Answers each request while each daemon waits 0.1 s more for a core."""

    def __init__(self):
        self.waited_s = dict.fromkeys(ADDRESSES, 5.0)

    def send_request(self, address, method, path, *args):
        if path == "/v1/entries":
            body = {"entries": [{"address": ADDRESSES[0]}], "max_age_ms": 60_000}
        else:
            for name in ADDRESSES:
                self.waited_s[name] += 0.1
            body = {"code": 200, "not_run": True}
        return 200, {}, orjson.dumps(body)

    def close(self):
        pass


class CoreWaitTest(testtools.TestCase):
    """Guards against judging an entry by the time that other daemons had no core."""

    def make_caller(self):
        connections = _Connections()
        caller = Caller(1, 1, ADDRESSES, "w", connections.waited_s.get)
        caller._connections = connections
        caller._entries = [ADDRESSES[0]]
        caller._entries_expire_at = float("inf")
        return caller

    def test_the_wait_of_its_entry_counts_for_a_query(self):
        call = self.make_caller().query({"marker": "m1"}, 1.0)
        self.assertAlmostEqual(0.1, call.core_wait_s)

    def test_the_waits_of_home_and_owner_count_for_an_execution(self):
        call = self.make_caller().revise({"marker": "m1"}, 1.0, "x1")
        self.assertAlmostEqual(0.3, call.core_wait_s)

    def test_a_restarted_daemon_does_not_reduce_the_wait(self):
        caller = self.make_caller()
        answer = caller._connections.send_request

        def restart(*args):
            caller._connections.waited_s[ADDRESSES[2]] = 0.0
            return answer(*args)

        caller._connections.send_request = restart
        call = caller.revise({"marker": "m1"}, 1.0, "x1")
        self.assertAlmostEqual(0.2, call.core_wait_s)
