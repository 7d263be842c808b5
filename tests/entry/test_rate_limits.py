"""Tests of the rates that servers announce for all entries together."""

import testtools

from tests.entry.support import make_reply, make_route
from tests.entry.test_dispatch import _run_calls

ONE_SERVICE = make_route(weighted_services=(("a", 1),), objective_s=0.5)


def _run_limited(calls=3, **fields):
    """Run calls to one server whose replies have ``fields``; return the fleet."""
    fleet, _ = _run_calls(
        lambda exchange: (0.001, make_reply(**fields)),
        ONE_SERVICE,
        calls=calls,
        services=("a",),
    )
    return fleet


class LimitLogTest(testtools.TestCase):
    """Guards against requests to a limited server that no log accounts for."""

    def test_requests_to_a_limited_server_are_logged_by_kind(self):
        fleet = _run_limited(rate_limit=500.0)
        fleet.dispatcher.log_limited_sends()
        events = [
            fields
            for name, fields in fleet.dispatcher._log.events
            if name == "limited_sends"
        ]
        self.assertTrue(events)
        self.assertEqual({500.0}, {event["rate"] for event in events})
        self.assertTrue(sum(event["first"] for event in events) > 0)
        self.assertEqual(0, sum(event["retry"] for event in events))

    def test_the_begin_and_the_end_of_a_limit_are_logged_once(self):
        fleet = _run_limited(rate_limit=500.0)
        begun = [
            fields["rate"]
            for name, fields in fleet.dispatcher._log.events
            if name == "server_limited"
        ]
        self.assertEqual(
            len({e.upstream.server.id for e in fleet.pool.sent}), len(begun)
        )
        self.assertEqual(len(begun), fleet.dispatcher.counts["rate_limits"])

    def test_a_rate_that_cannot_be_read_is_counted_and_changes_nothing(self):
        fleet = _run_limited(has_invalid_rate_limit=True)
        self.assertEqual(3, fleet.dispatcher.counts["rate_limits_invalid"])
        self.assertTrue(all(upstream.rate_limit is None for upstream in fleet.table))
