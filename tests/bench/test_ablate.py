"""Tests of the tool that switches mechanisms off."""

import importlib
import pathlib
import shutil
import tempfile

import testtools

from bench.ablate import (
    REFERENCE,
    ROOT,
    Play,
    apply_mechanism,
    compare_plays,
    mechanisms,
)


class MechanismTest(testtools.TestCase):
    """Guards against a switch that changes nothing since a name has changed."""

    def test_each_switch_replaces_names_that_exist(self):
        for name in mechanisms.names():
            for module_name, source in mechanisms.get(name)().items():
                module = importlib.import_module(f"almondtide.entry.{module_name}")
                for line in source.strip().splitlines():
                    target = line.partition(" = ")[0]
                    if " " in target or not target[:1].isalpha():
                        continue
                    found = module
                    for part in target.split("."):
                        self.assertTrue(hasattr(found, part), (name, target))
                        found = getattr(found, part)

    def test_a_switched_module_can_be_compiled(self):
        for name in mechanisms.names():
            with tempfile.TemporaryDirectory() as directory:
                folder = pathlib.Path(directory)
                target = folder / "almondtide" / "entry"
                shutil.copytree(ROOT / "almondtide" / "entry", target)
                apply_mechanism(folder, name)
                for module_name in mechanisms.get(name)():
                    path = target / f"{module_name.replace('.', '/')}.py"
                    compile(path.read_text(encoding="utf-8"), path.name, "exec")

    def test_an_unknown_name_is_refused(self):
        self.assertRaises(KeyError, apply_mechanism, pathlib.Path("."), "none")


class CompareTest(testtools.TestCase):
    """Guards against gains of plays that were not equal but for the mechanism."""

    def test_only_equal_seeds_are_compared(self):
        plays = [
            Play(REFERENCE, "trouble-1", 1, 0.8, [], "a"),
            Play(REFERENCE, "trouble-1", 2, 0.7, [], "b"),
            Play("hedging", "trouble-1", 1, 0.6, [], "c"),
            Play("hedging", "trouble-1", 2, 0.6, [], "d"),
            Play("hedging", "trouble-1", 3, 0.1, [], "e"),
        ]
        rows = [["hedging", "trouble-1", 2, 0.75, 0.6, 0.15, 0.1, 0.2]]
        self.assertEqual(rows, compare_plays(plays))
