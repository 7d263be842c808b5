"""Tests of the settings of a daemon process."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.errors import SettingsError
from almondtide.settings import daemon_command, load_settings, setting_specs

VALID_FLAGS = {
    "instance": "entry-1",
    "domain": "sala-norte",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:8001",
    "admin_address": "127.0.0.1:8002",
    "admin_token": "operator-token",
    "platform": "127.0.0.1:9000",
}


def find_problems(flags, environ=None):
    try:
        load_settings(flags, environ or {})
    except SettingsError as exc:
        return exc.problems
    return []


class LoadSettingsTest(testtools.TestCase):
    """Checks that invalid settings are found when a daemon starts."""

    def test_order_of_sources(self):
        environ = {"ALMONDTIDE_DOMAIN": "x", "ALMONDTIDE_MAX_CONNECTIONS": "7"}
        loaded = load_settings({**VALID_FLAGS, "domain": "y"}, environ)
        self.assertEqual("y", loaded.domain)
        self.assertEqual(7, loaded.max_connections)
        self.assertEqual(16384, loaded.max_header_bytes)

    def test_all_problems_at_once(self):
        found = find_problems(
            {"instance": "a b", "max_body_bytes": "1", "admin_token": "short"},
            {"ALMONDTIDE_NOPE": "1", "ALMONDTIDE_CLI_TOKEN": "1", "OTHER": "1"},
        )
        text = "\n".join(found)
        for name in (
            "--instance",
            "--max-body-bytes",
            "--admin-token",
            "ALMONDTIDE_NOPE",
            "ALMONDTIDE_DOMAIN",
            "ALMONDTIDE_PLATFORM",
        ):
            self.assertIn(name, text)
        self.assertNotIn("CLI_TOKEN", text)

    def test_token_is_not_in_the_problems(self):
        """Error messages must not contain the token, which is a secret."""
        self.assertNotIn(
            "sécrét-token",
            "".join(find_problems({**VALID_FLAGS, "admin_token": "sécrét-token"})),
        )

    def test_conflicting_addresses(self):
        for change in (
            {"admin_address": VALID_FLAGS["peer_address"]},
            {"admin_address": "0.0.0.0:8001"},
            {"platform": VALID_FLAGS["peer_address"]},
        ):
            self.assertEqual(1, len(find_problems({**VALID_FLAGS, **change})), change)
        self.assertEqual(
            [], find_problems({**VALID_FLAGS, "admin_address": "127.0.0.2:8001"})
        )

    @settings(max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([spec.name for spec in setting_specs()]),
            st.text(max_size=20) | st.sampled_from(["nan", "inf", "1e9", "-1", "١"]),
        )
    )
    def test_any_values(self, flags):
        for problem in find_problems({**VALID_FLAGS, **flags}):
            self.assertTrue(
                problem.startswith(("--", "ALMONDTIDE_"))
                or "clash" in problem
                or "platform" in problem,
                problem,
            )

    def test_command_has_every_flag(self):
        command = daemon_command(lambda **flags: flags)
        self.assertEqual({"domain": "x"}, command(domain="x"))
        for spec in setting_specs():
            self.assertIn(f":param {spec.name}:", command.__doc__)
            self.assertIn(spec.environment, command.__doc__)
