"""Tests of the decoder of a process's settings file."""

import orjson
import testtools

from almondtide.errors import SettingsError
from almondtide.platform.settings import decode_settings, read_settings
from tests.entry.support import settings_document


class DecodeSettingsTest(testtools.TestCase):
    """Guards against a start with invalid settings."""

    def test_fields(self):
        settings = decode_settings(orjson.dumps(settings_document()))
        self.assertEqual("front-lautoka-1", settings.instance)
        self.assertEqual(("10.1.0.39", 8226), settings.caller_address)
        self.assertEqual(("10.1.0.39", 7740), settings.gossip_address)
        self.assertEqual(("10.200.1.7", 8229), settings.store_address)
        self.assertEqual(("lautoka", "nadi", "suva"), settings.domains)
        self.assertEqual((3.0, 6), (settings.drain_s, settings.grace_s))
        self.assertEqual(1.2, settings.heartbeat_s)
        self.assertEqual(
            (0.2, 116, 10),
            (settings.extra_ratio, settings.extra_slack, settings.extra_window_s),
        )
        self.assertAlmostEqual(0.731, settings.core_share)

    def test_fields_that_switch_behaviour_on(self):
        document = settings_document(contracts=["base", "pressure"])
        document["bounds"] |= {
            "contact_ms": 4000,
            "evacuate_ms": 5000,
            "warmup_overshoot": 1.5,
            "warmup_slack": 5,
        }
        settings = decode_settings(orjson.dumps(document))
        self.assertEqual((4.0, 5.0), (settings.contact_s, settings.evacuate_s))
        self.assertEqual((1.5, 5), (settings.warmup_overshoot, settings.warmup_slack))
        self.assertTrue(settings.sheds_by_cost)
        self.assertEqual(222_000_000, settings.memory_bytes)
        self.assertEqual("viti-levu", settings.region_of_domain["suva"])

    def test_behaviour_is_off_where_no_field_asks_for_it(self):
        document = settings_document(limits={}, zones=["suva"])
        settings = decode_settings(orjson.dumps(document))
        self.assertIsNone(settings.evacuate_s)
        self.assertIsNone(settings.warmup_overshoot)
        self.assertIsNone(settings.memory_bytes)
        self.assertFalse(settings.sheds_by_cost)
        self.assertEqual({}, settings.region_of_domain)

    def test_first_start(self):
        for value, expected in ((True, True), (False, False)):
            document = settings_document(bootstrap=value)
            settings = decode_settings(orjson.dumps(document))
            self.assertIs(expected, settings.is_first_start)

    def test_unknown_fields_are_ignored(self):
        document = settings_document(flavour="new")
        self.assertEqual(
            decode_settings(orjson.dumps(settings_document())),
            decode_settings(orjson.dumps(document)),
        )

    def test_all_problems_are_named_at_once(self):
        document = settings_document(ip=7, port_range=[1], seeds=["nowhere"])
        del document["node_name"]
        document["listen"] = {"front": "10.1.0.39"}
        exc = self.assertRaises(SettingsError, decode_settings, orjson.dumps(document))
        text = "\n".join(exc.problems)
        for name in (
            "node_name",
            "ip",
            "port_range",
            "seeds",
            "listen.front",
            "listen.readiness",
            "listen.control",
            "listen.directory",
        ):
            self.assertIn(name, text)

    def test_values_of_another_type_are_problems(self):
        for changes, name in (
            ({"bounds": {"drain_ms": "soon"}}, "bounds.drain_ms"),
            ({"bounds": {"drain_ms": True}}, "bounds.drain_ms"),
            ({"zones": 3}, "zones"),
            ({"zones": [1, "nadi"]}, "zones"),
            ({"limits": {"cpu_share": "half"}}, "limits.cpu_share"),
        ):
            document = orjson.dumps(settings_document(**changes))
            exc = self.assertRaises(SettingsError, decode_settings, document)
            self.assertIn(name, "\n".join(exc.problems))

    def test_not_json(self):
        self.assertRaises(SettingsError, decode_settings, b"{")
        self.assertRaises(SettingsError, decode_settings, b"[]")

    def test_missing_file_is_named(self):
        exc = self.assertRaises(SettingsError, read_settings, "/no/such/file")
        self.assertIn("/no/such/file", exc.message)
