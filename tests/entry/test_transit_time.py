"""Tests of the estimated network time of requests and answers."""

import socket

import testtools

from almondtide.entry.transit_time import estimate_transit_time, round_trip_s
from tests.entry.support import make_call, make_route


class EstimateTest(testtools.TestCase):
    """Guards against answers that are sent in time and arrive too late."""

    def test_look_up_and_connection_are_included(self):
        # With a round-trip time of 6.4 ms, 22 ms pass before the request is sent.
        transit_time = estimate_transit_time(0.812, 0.790, 0.0064)
        self.assertAlmostEqual(0.0252, transit_time.request_s)
        self.assertAlmostEqual(0.0032, transit_time.response_s)

    def test_the_way_of_the_request_is_included(self):
        # Answers that were sent at the objective arrived after it by this time.
        transit_time = estimate_transit_time(0.812, 0.812, 0.0064)
        self.assertAlmostEqual(0.0032, transit_time.request_s)

    def test_other_deadlines_are_ignored(self):
        for allowed_s in (None, 0.4, 2.992, 0.75):
            transit_time = estimate_transit_time(0.812, allowed_s, 0.0064)
            self.assertAlmostEqual(0.0032, transit_time.request_s, msg=allowed_s)

    def test_times_of_a_call_include_the_network_time(self):
        route = make_route(shards=("a", "b"), objective_s=0.186, timeout_s=0.812)
        plain = make_call(route, 0.812)
        self.assertAlmostEqual(100.186, plain.answer_by)
        transit_time = estimate_transit_time(0.812, 0.790, 0.0064)
        far = make_call(route, 0.790, transit_time=transit_time)
        self.assertAlmostEqual(100.1608, far.objective_at)
        self.assertAlmostEqual(100.1576, far.answer_by)
        # The call expires at the caller's deadline.
        self.assertAlmostEqual(100.790, far.expires_at)


class RoundTripTest(testtools.TestCase):
    """Guards against errors on sockets without a round-trip time."""

    def test_loopback(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            with socket.create_connection(server.getsockname()) as ours:
                theirs, _ = server.accept()
                with theirs:
                    self.assertTrue(0.0 < round_trip_s(theirs) < 0.1)
            self.assertEqual(0.0, round_trip_s(ours))

    def test_other_sockets(self):
        ours, theirs = socket.socketpair()
        with ours, theirs:
            self.assertEqual(0.0, round_trip_s(ours))
