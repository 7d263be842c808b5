"""Tests of the validator of the published configuration."""

import copy

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.configuration import (
    MAX_DOCUMENT_BYTES,
    SETTINGS,
    check_document_size,
    parse_configuration,
)
from almondtide.errors import ConfigurationError
from almondtide.shards import KEY_SPACE

HALF = KEY_SPACE // 2


def make_document():
    shards = [
        {"name": "s0", "low": 0, "high": HALF, "service": "a-0"},
        {"name": "s1", "low": HALF, "high": KEY_SPACE, "service": "a-1"},
    ]
    return {
        "defaults": {
            "deadline_ms": 400,
            "hedge_budget": 0.1,
            "coverage_policy": "tail_first",
        },
        "exceptions": [
            {
                "workload": "a",
                "setting": "deadline_ms",
                "value": 500,
                "reason": "archive queries read tapes",
            },
            {
                "service": "a-1",
                "setting": "slots",
                "value": 6,
                "reason": "larger machines",
            },
        ],
        "workloads": {"a": {"shard_maps": [{"epoch": 1, "shards": shards}]}},
    }


def list_places(value, path="$"):
    """Return (path, container, key) of every value nested in ``value``."""
    found = []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        here = f"{path}[{key}]" if isinstance(value, list) else f"{path}.{key}"
        found.append((here, value, key))
        if isinstance(inner, dict | list):
            found.extend(list_places(inner, here))
    return found


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=4), inner, max_size=2)
    ),
    max_leaves=4,
)


def is_related(problem, path):
    """Return whether the path of ``problem`` is a parent or child of ``path``."""
    reported = problem.split(": ")[0]
    return reported.startswith(path) or path.startswith(reported)


class ChangedDocumentTest(testtools.TestCase):
    """Guards against problems without the right path and against crashes."""

    def problems(self, document):
        try:
            parse_configuration(document)
        except ConfigurationError as exc:
            self.assertTrue(exc.problems)
            for problem in exc.problems:
                self.assertTrue(problem.startswith("$"), problem)
                self.assertNotIn("\n", problem)
            return exc.problems
        return []

    @settings(max_examples=600, deadline=None)
    @given(st.data())
    def test_one_changed_place(self, data):
        document = make_document()
        path, container, key = data.draw(st.sampled_from(list_places(document)))
        container[key] = data.draw(JSON)
        problems = self.problems(document)
        if problems:
            self.assertTrue(
                any(is_related(problem, path) for problem in problems)
                or self.is_about_a_reference(path, problems),
                (path, problems),
            )

    @staticmethod
    def is_about_a_reference(path, problems):
        """Return whether all problems are of values that refer to the changed one.

        A workload or service that was removed is reported at the exception that names
        it. Two contradictory deadlines are reported at their workload.
        """
        is_removed = path.startswith("$.workloads")
        is_deadline = path.endswith("deadline_ms") or path == "$.exceptions[0].value"
        return all(
            (is_removed and problem.endswith("is not in the configuration"))
            or (is_deadline and problem.startswith("$.workloads.a: soft_deadline_ms"))
            for problem in problems
        )

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_one_removed_place(self, data):
        document = make_document()
        _, container, key = data.draw(st.sampled_from(list_places(document)))
        del container[key]
        self.problems(document)

    @settings(max_examples=300, deadline=None)
    @given(JSON)
    def test_any_document(self, document):
        self.problems(document)

    def test_bad_value_is_reported_at_its_path(self):
        for path, container, key in list_places(make_document()):
            document = make_document()
            for here, container, key in list_places(document):
                if here == path:
                    container[key] = {"unexpected": []}
                    break
            problems = self.problems(document)
            self.assertTrue(
                any(is_related(problem, path) for problem in problems), (path, problems)
            )

    def test_all_problems_are_reported_at_once(self):
        document = make_document()
        document["defaults"]["slots"] = 0
        document["defaults"]["nope"] = 1
        document["exceptions"][0]["reason"] = "short"
        document["exceptions"][1]["service"] = "b"
        document["more"] = 1
        self.assertEqual(5, len(self.problems(document)))

    def test_not_a_number(self):
        for value in (float("nan"), float("inf"), True, 10**400):
            document = make_document()
            document["defaults"]["hedge_budget"] = value
            self.assertEqual(1, len(self.problems(document)), value)


class ResolutionTest(testtools.TestCase):
    """Guards the precedence of exception, published default and built-in default."""

    def test_values(self):
        cfg = parse_configuration(make_document(), 3)
        self.assertEqual(500, cfg.workload_setting("a", "deadline_ms"))
        self.assertEqual(6, cfg.service_setting("a-1", "slots"))
        self.assertEqual(
            SETTINGS.get("slots").default, cfg.service_setting("a-0", "slots")
        )
        self.assertEqual(0.1, cfg.service_setting("a-0", "hedge_budget"))

    def test_defaults_are_valid(self):
        for name in SETTINGS.names():
            setting = SETTINGS.get(name)
            self.assertIsNone(setting.find_problem(setting.default), name)
            self.assertTrue(setting.help.endswith("."), name)


class SizeTest(testtools.TestCase):
    """Guards against documents that are too large for the configuration service."""

    def test_limit(self):
        check_document_size(make_document())
        large = copy.deepcopy(make_document())
        large["more"] = "x" * MAX_DOCUMENT_BYTES
        self.assertRaises(ConfigurationError, check_document_size, large)
