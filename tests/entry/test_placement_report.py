"""Tests of the explanation of where a request would go."""

import curio
import orjson
import testtools

from almondtide.adapters.http import HTTPRequest, serve_http
from almondtide.adapters.listener import Listener
from almondtide.cli import run as run_cli
from almondtide.entry.placement_report import explain_placement, serve_placement
from almondtide.entry.routing import RouteTable
from almondtide.entry.upstreams import Failure
from almondtide.model.published import Configuration
from tests.entry.support import make_reply, make_route
from tests.entry.test_dispatch import _Fleet
from tests.support import MemoryLog

ROUTE = make_route(weighted_services=(("a", 3), ("b", 1)))


class PlacementTest(testtools.TestCase):
    """Guards against explanations that differ from what the entry does."""

    def setUp(self):
        super().setUp()
        self.fleet = _Fleet(lambda exchange: (0.0, make_reply()), ("a", "b"))
        self.table = self.fleet.table
        self.routes = RouteTable(Configuration(1, [ROUTE]))
        self.now = self.fleet.dispatcher.now()

    def explain(self, path="/p/x", body_bytes=0):
        return explain_placement(
            self.fleet.dispatcher, self.table, self.routes, "h", path, body_bytes
        )

    def servers(self, service=0):
        (item,) = self.explain()["alternatives"][service]["services"]
        return item["chosen"], {
            server["id"]: server["obstacle"] for server in item["servers"]
        }

    def test_the_choice_is_that_of_the_entry(self):
        chosen, obstacles = self.servers()
        self.assertEqual(self.table.choose("a", self.now).server.id, chosen)
        self.assertEqual({""}, set(obstacles.values()))

    def test_each_obstacle_is_named(self):
        first, second, third = [item.server.id for item in self.table.upstreams_of("a")]
        self.table.get(first).pause(self.now + 5.0)
        self.table.get(second).fail("x", Failure.NO_LISTENER, self.now)
        self.table.set_evacuated(self.table.get(third).server.domain, 0.0)
        chosen, obstacles = self.servers()
        self.assertIsNone(chosen)
        self.assertEqual("asked for a pause", obstacles[first])
        self.assertEqual("ejected after failures", obstacles[second])
        self.assertEqual("evacuated", obstacles[third])

    def test_a_refusal_has_its_reason_and_a_time(self):
        for upstream in self.table.upstreams_of("a"):
            upstream.pause(self.now + 5.0)
        refused, admitted = self.explain()["alternatives"]
        self.assertFalse(refused["is_admitted"])
        self.assertIn("full", refused["reason"])
        self.assertTrue(refused["retry_after_ms"] >= 4000, refused["retry_after_ms"])
        self.assertTrue(admitted["is_admitted"])

    def test_nothing_is_counted_or_sent(self):
        before = dict(self.fleet.dispatcher.counts)
        self.explain()
        self.assertEqual(before, self.fleet.dispatcher.counts)
        self.assertEqual([], self.fleet.pool.sent)
        self.assertEqual(0, sum(upstream.in_flight for upstream in self.table))

    def test_no_route_and_no_configuration(self):
        self.assertEqual("no route", self.explain("/other")["reason"])
        self.routes = None
        self.assertEqual("no configuration yet", self.explain()["reason"])

    def test_a_malformed_question_is_refused(self):
        for query in ("", "path=/p/x", "host=h&body_bytes=-1", "host=h&body_bytes=x"):
            request = HTTPRequest("GET", f"/placement?{query}", {}, b"")
            response = serve_placement(
                self.fleet.dispatcher, self.table, self.routes, request
            )
            self.assertEqual(400, response.status, query)

    def test_the_command_asks_an_entry(self):
        async def handle(request):
            return serve_placement(
                self.fleet.dispatcher, self.table, self.routes, request
            )

        async def scenario(path):
            async def serve(sock, peer):
                await serve_http(sock, handle, log=MemoryLog())

            listener = Listener(("127.0.0.1", 0), serve)
            await listener.start()
            host, port = listener.address
            argv = ["placement", "h", path, "--control", f"{host}:{port}"]
            try:
                return await curio.run_in_thread(run_cli, argv)
            finally:
                await listener.close()

        self.assertEqual(0, curio.run(scenario, "/p/x"))
        self.assertEqual(1, curio.run(scenario, "/other"))

    def test_the_answer_is_json(self):
        request = HTTPRequest("GET", "/placement?host=H&path=%2Fp%2Fx", {}, b"")
        response = serve_placement(
            self.fleet.dispatcher, self.table, self.routes, request
        )
        self.assertEqual(ROUTE.name, orjson.loads(response.body)["route"])
