"""Tests of routes that may use some regions only, with two regions."""

import time

import curio
import orjson
import testtools

from almondtide.adapters.http import HTTPRequest
from almondtide.entry.directory import Directory
from almondtide.entry.links import LinkState
from almondtide.entry.members import MemberState
from almondtide.entry.relay import RelayPeers
from almondtide.entry.upstreams import Failure, UpstreamTable
from almondtide.platform.settings import decode_settings
from tests.entry.support import (
    make_call,
    make_reply,
    make_route,
    make_server,
    settings_document,
)
from tests.entry.test_dispatch import _Fleet
from tests.entry.test_relay import PORT, _member, _view
from tests.support import MemoryLog, run

ZONES = {"suva": "fiji", "nadi": "fiji", "apia": "samoa", "lautoka": "samoa"}
SETTINGS = decode_settings(orjson.dumps(settings_document(zones=ZONES)))
FIJI = frozenset(("suva", "nadi"))
RESTRICTED = make_route(allowed_regions=("fiji",), max_servers=4)
FREE = make_route()
# A domain that the settings do not list, and so without a region.
UNKNOWN = "vavau"


class _Regions(_Fleet):
    """A dispatcher in Samoa with a service "a" that has servers in several domains."""

    def __init__(self, behave, domains=("suva", "nadi", "apia", "lautoka", UNKNOWN)):
        super().__init__(behave, services=())
        self.dispatcher.settings = SETTINGS
        for number, domain in enumerate(domains):
            self.table.apply(make_server(f"i-{number}", "a", domain, slots=1))

    def sent_domains(self):
        return [exchange.upstream.server.domain for exchange in self.pool.sent]


def _answered(exchange):
    return (0.001, make_reply(b"body"))


def _run(behave, *routes, calls=1, prepare=None, **options):
    """Run calls of the routes side by side; return (fleet, answers)."""

    async def scenario():
        fleet = _Regions(behave, **options)
        await fleet.timers.start()
        if prepare is not None:
            prepare(fleet)
        tasks = []
        for route in routes * calls:
            call = make_call(route, 0.4, time.monotonic())
            tasks.append(await curio.spawn(fleet.dispatcher.run, call))
        return fleet, [await task.join() for task in tasks]

    return run(scenario)


class ServersTest(testtools.TestCase):
    """Guards against requests that reach a server outside the allowed regions."""

    def test_first_sends_and_queued_ones(self):
        # The last calls are refused, since the two servers cannot serve all in time.
        fleet, answers = _run(_answered, RESTRICTED, calls=40)
        served = [answer for answer in answers if answer.status == 200]
        self.assertTrue(len(served) > 8, len(served))
        self.assertEqual(FIJI, frozenset(fleet.sent_domains()))

    def test_hedges_and_retries(self):
        def behave(exchange):
            is_silent = exchange.kind == "first"
            return None if is_silent else (0.001, Failure.NOT_RUN)

        for kind, behaviour in (
            ("hedge", behave),
            ("retry", lambda exchange: (0.001, Failure.NOT_SENT)),
        ):
            fleet, _ = _run(behaviour, RESTRICTED)
            self.assertIn(kind, {exchange.kind for exchange in fleet.pool.sent})
            self.assertTrue(FIJI.issuperset(fleet.sent_domains()))

    def test_a_server_that_moved_before_the_request_is_written(self):
        def behave(exchange):
            server = exchange.upstream.server
            moved = make_server(server.id, "a", "apia", slots=1)
            self.fleet.table.apply(moved)
            return (0.0, make_reply(b"body"))

        def keep(fleet):
            self.fleet = fleet

        fleet, answers = _run(behave, RESTRICTED, prepare=keep, domains=("suva",))
        self.assertEqual(503, answers[0].status)
        self.assertEqual([False], [exchange.is_written for exchange in fleet.pool.sent])

    def test_no_server_in_the_allowed_regions(self):
        for domains in (("apia", "lautoka"), (UNKNOWN,), ()):
            fleet, answers = _run(_answered, RESTRICTED, domains=domains)
            self.assertEqual(503, answers[0].status)
            self.assertIn(b"retry-after", dict(answers[0].headers))
            self.assertEqual([], fleet.pool.sent)
            self.assertEqual(1, fleet.dispatcher.counts["regional_refused"])

    def test_other_routes_use_all_servers(self):
        fleet, answers = _run(_answered, FREE, calls=16)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual({*ZONES, UNKNOWN}, set(fleet.sent_domains()))
        self.assertEqual(0, fleet.dispatcher.counts["regional"])

    def test_waiting_for_a_region_does_not_hold_up_others(self):
        # The only server in Fiji has no room. The other one serves less urgent calls of
        # another route, of which four wait in the queue.
        restricted = make_route(allowed_regions=("fiji",), objective_s=0.35)
        free = make_route(objective_s=0.35, priority_rank=40)

        def behave(exchange):
            is_silent = exchange.upstream.server.domain == "suva"
            return None if is_silent else (0.01, make_reply(b"body"))

        def hide(fleet):
            fleet.table.get("i-0").health.full_until = time.monotonic() + 0.3

        routes = [restricted] * 3 + [free] * 8
        _, answers = _run(behave, *routes, prepare=hide, domains=("suva", "apia"))
        self.assertEqual([200] * 8, [answer.status for answer in answers[3:]])


class TableTest(testtools.TestCase):
    """Guards against estimates that count servers which a route may not use."""

    def test_each_question_can_be_restricted(self):
        table = UpstreamTable("apia")
        for number, domain in enumerate(("suva", "apia", UNKNOWN)):
            table.apply(make_server(f"i-{number}", "a", domain, slots=2))
        self.assertEqual("i-0", table.choose("a", 0.0, domains=FIJI).server.id)
        self.assertEqual("i-1", table.choose("a", 0.0).server.id)
        self.assertEqual(1, len(table.usable_upstreams("a", 0.0, FIJI)))
        all_per_s = table.throughput("a", 0.0, 0.1)
        fiji_per_s = table.throughput("a", 0.0, 0.1, domains=FIJI)
        self.assertAlmostEqual(all_per_s, 3 * fiji_per_s)
        table.get("i-0").pause(5.0)
        self.assertEqual(5.0, table.next_room_at("a", 0.0, domains=FIJI))
        self.assertEqual(0.0, table.next_room_at("a", 0.0))
        table.get("i-0").fail(None, Failure.NO_LISTENER, 0.0)
        self.assertTrue(table.is_service_lost("a", 0.1, FIJI))
        self.assertFalse(table.is_service_lost("a", 0.1))
        self.assertIsNone(table.next_room_at("a", 0.1, domains=frozenset()))


class PeersTest(testtools.TestCase):
    """Guards against requests that are handed to a peer outside the regions."""

    def _relayed_to(self, route, *members):
        async def scenario():
            fleet = _Regions(_answered)
            links = fleet.dispatcher.links
            view = _view(*members)
            fleet.dispatcher.set_links(links, RelayPeers(view, links, PORT))
            await fleet.timers.start()
            links.state = LinkState.LOST
            call = make_call(route, 0.4, time.monotonic())
            return call, await fleet.dispatcher.run(call)

        call, answer = run(scenario)
        self.assertEqual(200, answer.status)
        return call.relay_names

    def test_only_peers_in_the_allowed_regions(self):
        outside = (_member("front-2", "apia"), _member("front-3", UNKNOWN))
        for _ in range(5):
            names = self._relayed_to(RESTRICTED, *outside, _member("front-4", "suva"))
            self.assertEqual(["front-4"], names)
        # Without such a peer the servers are tried.
        self.assertEqual([], self._relayed_to(RESTRICTED, *outside))
        self.assertEqual(1, len(self._relayed_to(FREE, *outside)))


# The regions of the host's routes, then the domains that have an entry, the query, and
# the domains of the entries that are named.
LOOK_UPS = (
    # The caller's domain, also outside the regions.
    ([("fiji",)], "suva apia lautoka", "name=h&region=samoa&zone=apia", "apia"),
    # The caller's region: as stated, or that of its domain.
    (
        [("fiji",)],
        "suva lautoka vavau",
        "name=H:8226&region=samoa&zone=apia",
        "lautoka",
    ),
    ([("fiji",)], "suva lautoka", "name=h&zone=apia", "lautoka"),
    ([("fiji",)], "suva lautoka", "name=h&region=tonga&zone=apia", "lautoka"),
    # The regions that all restricted routes allow.
    (
        [("fiji", "samoa"), (), ("fiji",)],
        "suva nadi apia vavau",
        "name=h&region=tonga&zone=neiafu",
        "suva nadi",
    ),
    # Others, if there are none or no common region.
    ([("fiji",)], "apia vavau", "name=h&region=fiji&zone=nadi", "apia vavau"),
    ([("fiji",), ("samoa",)], "apia suva", "name=h&zone=neiafu", "apia suva"),
    # Hosts without restricted routes.
    ([()], "suva apia vavau", "name=h&region=fiji&zone=nadi", "suva apia vavau"),
    ([("fiji",)], "suva apia", "name=other&region=fiji&zone=nadi", "suva apia"),
    ([("fiji",)], "suva apia", "", "suva apia"),
)


class EntriesTest(testtools.TestCase):
    """Guards against callers of restricted hosts that are sent out of the regions."""

    def _named(self, region_lists, domains, query):
        """Return (domains of the named entries, the directory)."""
        routes = [make_route(allowed_regions=regions) for regions in region_lists]
        view = _view(
            *(_member(f"front-{n}", domain) for n, domain in enumerate(domains, 2))
        )
        view.local_member.state = MemberState.NOT_READY
        directory = Directory(SETTINGS, view, time.monotonic, MemoryLog())
        directory.set_routes(lambda host: routes if host == "h" else ())
        request = HTTPRequest("GET", f"/v1/resolve?{query}", {}, b"")
        body = orjson.loads(run(directory.resolve, request).body)
        numbers = [int(text.split(":")[0].split(".")[3]) for text in body["addrs"]]
        return {domains[number - 2] for number in numbers}, directory

    def test_the_order_of_entries(self):
        for region_lists, domains, query, expected in LOOK_UPS:
            named, _ = self._named(region_lists, domains.split(), query)
            self.assertEqual(set(expected.split()), named, query)

    def test_answers_out_of_the_regions_are_counted(self):
        for domains, count in ((["suva"], 0), (["apia"], 1)):
            _, directory = self._named([("fiji",)], domains, "name=h&zone=nadi")
            self.assertEqual(1, directory.counts["regional"])
            self.assertEqual(count, directory.counts["out_of_region"])
