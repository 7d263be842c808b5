"""Tests that the reference pages match the code."""

import json
import pathlib
import re

import testtools

from almondtide.configuration import SETTINGS, parse_configuration
from almondtide.errors import ResultCode, exit_status, http_status
from almondtide.messages import message_types
from almondtide.metrics import COUNTERS, GAUGES, HISTOGRAMS
from almondtide.settings import setting_specs

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"


def rows(page, columns):
    """Return the cells of all table rows of a page that have ``columns`` cells."""
    found = []
    for line in (DOCS / page).read_text(encoding="utf-8").splitlines():
        cells = [cell.strip().strip("`") for cell in line.strip("|").split("|")]
        if line.startswith("|") and len(cells) == columns and "---" not in cells[0]:
            found.append(cells)
    return found[1:]


class ReferenceTest(testtools.TestCase):
    """Checks names, values and texts of the reference pages against the code."""

    def test_result_codes(self):
        documented = [tuple(row[:4]) for row in rows("result-codes.md", 7)]
        actual = [
            (str(int(code)), code.name, str(http_status(code)), str(exit_status(code)))
            for code in ResultCode
        ]
        self.assertEqual(actual, documented)

    def test_configuration(self):
        documented = {row[0]: row[1:] for row in rows("configuration.md", 6)}
        self.assertEqual(SETTINGS.names(), sorted(documented))
        for name in SETTINGS.names():
            setting = SETTINGS.get(name)
            if setting.choices:
                values = ", ".join(setting.choices)
            else:
                values = f"{setting.low} to {setting.high}"
            expected = [
                setting.scope,
                setting.kind.__name__,
                values,
                str(setting.default),
                setting.help,
            ]
            self.assertEqual(expected, documented[name], name)

    def test_configuration_example(self):
        text = (DOCS / "configuration.md").read_text(encoding="utf-8")
        (example,) = re.findall(r"```json\n(.*?)```", text, re.DOTALL)
        cfg = parse_configuration(json.loads(example))
        self.assertEqual(6, cfg.service_setting("archive-0", "slots"))

    def test_settings(self):
        documented = {row[0]: row[1:] for row in rows("settings.md", 6)}
        self.assertEqual([spec.flag for spec in setting_specs()], list(documented))
        for spec in setting_specs():
            bounds = "" if spec.low is None else f"{spec.low} to {spec.high}"
            default = "required" if spec.default is None else spec.default or "empty"
            expected = [spec.environment, spec.kind, bounds, default, spec.help]
            self.assertEqual(expected, documented[spec.flag])

    def test_metrics(self):
        documented = {row[0]: row[2] for row in rows("admin-api.md", 3)}
        actual = {f"{name}_total": text for name, text in COUNTERS.items()}
        actual.update(GAUGES)
        actual.update(HISTOGRAMS)
        self.assertEqual(actual, documented)

    def test_message_types(self):
        text = (DOCS / "peer-protocol.md").read_text(encoding="utf-8")
        for name in message_types.names():
            self.assertIn(f"`{name}`", text)

    def test_links(self):
        for page in [ROOT / "README.md", *DOCS.glob("*.md")]:
            text = page.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)\)", text):
                self.assertTrue((page.parent / target).exists(), (page.name, target))
