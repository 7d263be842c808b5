"""Tests of which package may use which other."""

import ast
import pathlib

import testtools

import almondtide

ROOT = pathlib.Path(almondtide.__file__).parent
# Package -> packages that it must not import.
FORBIDDEN = {
    "platform": ("entry",),
    "model": ("entry", "platform", "adapters"),
    "adapters": ("entry", "platform"),
}
# Modules that the decisions of the entry may import, besides each other.
POLICY_IMPORTS = {
    "collections",
    "enum",
    "heapq",
    "itertools",
    "math",
    "random",
    "zlib",
    "...hedging",
    "...rendezvous",
    "...workqueue",
}


def _imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield f"{'.' * node.level}{node.module or ''}"
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def _is_sibling(module):
    return module.startswith(".") and not module.startswith("..")


class LayersTest(testtools.TestCase):
    """Guards against formats that depend on decisions."""

    def test_imports_go_downwards(self):
        for package, forbidden in FORBIDDEN.items():
            paths = sorted((ROOT / package).glob("*.py"))
            self.assertTrue(paths, package)
            for path in paths:
                for module in _imported_modules(path):
                    for name in forbidden:
                        prefixes = (f"..{name}", f"almondtide.{name}")
                        self.assertFalse(module.startswith(prefixes), (path, module))

    def test_decisions_import_no_io_and_no_state(self):
        # What a replay of a load cannot play would decide by something else.
        paths = sorted((ROOT / "entry" / "policy").glob("*.py"))
        self.assertTrue(paths)
        for path in paths:
            modules = set(_imported_modules(path)) - POLICY_IMPORTS
            self.assertEqual(
                [], [name for name in modules if not _is_sibling(name)], path
            )
