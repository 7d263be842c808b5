"""Runs the examples in the docstrings of all modules."""

import doctest
import importlib
import pkgutil

import testtools

import almondtide

# Modules that start a program when they are imported.
PROGRAMS = ("almondtide.entry.__main__",)


class ExamplesTest(testtools.TestCase):
    """Guards against examples that no longer hold."""

    def test_all_modules(self):
        attempted = 0
        for info in pkgutil.walk_packages(almondtide.__path__, "almondtide."):
            if info.name in PROGRAMS:
                continue
            result = doctest.testmod(importlib.import_module(info.name))
            self.assertEqual(0, result.failed, info.name)
            attempted += result.attempted
        self.assertTrue(attempted >= 15, attempted)
