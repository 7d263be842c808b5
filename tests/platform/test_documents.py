"""Tests of the decoders of documents in the store."""

import orjson
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.errors import DocumentError
from almondtide.model.published import Configuration, Server
from almondtide.platform.documents import decode_configuration, decode_server

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "lautoka",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTES = [
    {
        "name": "r-1",
        "host": "Leno12.example",
        "prefix": "/nono601/",
        "route_type": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 68,
        "priority": 2,
        "gather": ["a", "b"],
        "max_attempts": 2,
        "top_k": 5,
        "min_coverage": 0.75,
    },
    {
        "name": "r-2",
        "host": "hufi27.example",
        "prefix": "/goka902/",
        "route_type": "unsafe",
        "timeout_ms": 8002,
        "service": "c",
        "max_attempts": 1,
    },
    {
        "name": "r-3",
        "host": "hufi27.example",
        "prefix": "/goka903/",
        "route_type": "safe",
        "timeout_ms": 500,
        "traffic_split": [
            {"service": "c", "weight": 3},
            {"service": "d", "weight": 1},
        ],
    },
]
LIMITS = {"max_header_bytes": 8000, "max_body_bytes": 9, "idle_timeout_ms": 2500}


def _configuration(**changes):
    document = {
        "version": 7,
        "routes": ROUTES,
        "services": [{"name": "a", "health_path": "/health", "max_connections": 66}],
        "limits": LIMITS,
        **changes,
    }
    return orjson.dumps(document)


class DecodeServerTest(testtools.TestCase):
    """Guards against use of invalid entries written by other programs."""

    def _decode(self, **changes):
        return decode_server("servers/i-1", orjson.dumps({**ENTRY, **changes}))

    def test_entry(self):
        server = self._decode()
        self.assertEqual(("10.128.0.9", 8080), server.address)
        self.assertEqual(
            ("i-1", "huvo11a", "lautoka", 3),
            (server.id, server.service, server.domain, server.slots),
        )
        self.assertEqual((False, False), (server.leaving, server.cold))

    def test_draining_entry_is_leaving(self):
        self.assertTrue(self._decode(state="draining").leaving)

    def test_warming_entry_is_cold(self):
        self.assertTrue(self._decode(warmup_left_ms=1200).cold)

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(self._decode(), self._decode(flavour="new"))

    def test_an_entry_without_an_id_names_no_server(self):
        # Peers refused every update and snapshot that held it.
        self.assertRaises(DocumentError, decode_server, "servers/", b"{}")
        raw = orjson.dumps(ENTRY)
        exc = self.assertRaises(DocumentError, decode_server, "servers/", raw)
        self.assertIn("no id", exc.message)

    def test_entry_without_birth_is_accepted(self):
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        server = decode_server("servers/i-1", orjson.dumps(entry))
        self.assertEqual(0, server.born_ms)

    def test_each_wrong_field_is_refused_with_its_name(self):
        for name, value in (
            ("service", 7),
            ("service", ""),
            ("address", "10.1.0.9"),
            ("address", "10.1.0.9:99999"),
            ("address", "host:80"),
            ("zone", None),
            ("capacity", 0),
            ("capacity", True),
            ("capacity", "3"),
            ("state", "gone"),
            ("sequence", -1),
            ("warmup_left_ms", "0"),
        ):
            exc = self.assertRaises(DocumentError, self._decode, **{name: value})
            self.assertIn(name, exc.message)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_server_or_an_error(self, raw):
        try:
            self.assertIsInstance(decode_server("servers/i-1", raw), Server)
        except DocumentError:
            pass

    @given(
        st.dictionaries(
            st.sampled_from(sorted(ENTRY)),
            st.none()
            | st.booleans()
            | st.integers(-(2**40), 2**40)
            | st.text("ab:1", max_size=5)
            | st.lists(st.integers(-(2**40), 2**40), max_size=2),
        )
    )
    def test_any_field_values_are_a_server_or_an_error(self, changes):
        try:
            self.assertIsInstance(self._decode(**changes), Server)
        except DocumentError as exc:
            self.assertIn("servers/i-1", exc.message)


class DecodeConfigurationTest(testtools.TestCase):
    """Guards against misread routes, whose requests would go to the wrong service."""

    def test_routes(self):
        merged, unsafe, split = decode_configuration(_configuration()).routes
        self.assertEqual(("a", "b"), merged.shards)
        self.assertTrue(merged.is_idempotent)
        self.assertEqual((1.0, 0.068), (merged.timeout_s, merged.objective_s))
        self.assertEqual(
            (2, 2, 5, 0.75),
            (
                merged.priority_rank,
                merged.max_servers,
                merged.top_records,
                merged.min_coverage,
            ),
        )
        self.assertFalse(unsafe.is_idempotent)
        self.assertEqual((("c", 1),), unsafe.weighted_services)
        # Without a target latency the objective is the route's timeout.
        self.assertEqual(8.002, unsafe.objective_s)
        self.assertEqual((("c", 3), ("d", 1)), split.weighted_services)

    def test_limits_and_services(self):
        configuration = decode_configuration(_configuration())
        self.assertEqual(7, configuration.version)
        self.assertEqual(66, configuration.services["a"].max_connections)
        limits = configuration.limits
        self.assertEqual(
            (8000, 9, 2.5),
            (limits.max_header_bytes, limits.max_body_bytes, limits.idle_timeout_s),
        )

    def test_warm_up_and_regions(self):
        service = {"name": "a", "warmup_s": 3.0, "warmup_per_s": 12}
        route = {**ROUTES[1], "allowed_regions": ["lk-west"]}
        configuration = decode_configuration(
            _configuration(services=[service, {"name": "b"}], routes=[route])
        )
        service = configuration.services["a"]
        self.assertEqual((3.0, 12), (service.warmup_s, service.warmup_per_s))
        self.assertEqual(("lk-west",), configuration.routes[0].allowed_regions)

    def test_a_rate_of_zero_states_no_bound(self):
        services = [{"name": "a", "warmup_s": 3.0, "warmup_per_s": 0.0}, {"name": "b"}]
        configuration = decode_configuration(_configuration(services=services))
        for service in configuration.services.values():
            self.assertIsNone(service.warmup_per_s)

    def test_requests_of_an_unknown_route_type_may_run_once(self):
        routes = [{**ROUTES[1], "route_type": "sometimes"}]
        (route,) = decode_configuration(_configuration(routes=routes)).routes
        self.assertFalse(route.is_idempotent)

    def test_all_problems_are_named(self):
        routes = [{"host": 3, "prefix": "/", "service": "c", "route_type": "safe"}]
        exc = self.assertRaises(
            DocumentError, decode_configuration, _configuration(routes=routes)
        )
        self.assertIn("routes[0].name: missing", exc.message)
        self.assertIn("routes[0].host: not a non-empty string", exc.message)

    def test_a_version_is_required(self):
        self.assertRaises(
            DocumentError, decode_configuration, _configuration(version="7")
        )

    @given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.integers(-(2**40), 2**40) | st.text("ab:1", max_size=3),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["version", "routes", "services", "limits", "name"]
                    ),
                    inner,
                )
            ),
        ).map(orjson.dumps)
    )
    def test_any_document_is_a_configuration_or_an_error(self, raw):
        try:
            self.assertIsInstance(decode_configuration(raw), Configuration)
        except DocumentError:
            pass
