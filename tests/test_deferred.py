"""Tests of deferred imports, and of what the entry loads when it starts."""

import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The libraries of this environment; -S leaves out the rest of its site packages.
LIBRARIES = pathlib.Path(testtools.__file__).parent.parent


def run_python(code, *options):
    """Return what the code prints in a new interpreter."""
    result = subprocess.run(
        [sys.executable, *options, "-c", code],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT}:{LIBRARIES}"},
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise AssertionError(result.stderr[-1500:])
    return result.stdout.split()


class DeferTest(testtools.TestCase):
    """Guards against a deferred module that differs from the real one in use."""

    def test_the_module_is_loaded_on_its_first_use(self):
        printed = run_python(
            "import sys\n"
            "from almondtide.deferred import defer_import\n"
            "defer_import('csv')\n"
            "import csv\n"
            "print('_csv' in sys.modules)\n"
            "print(csv.reader(['a,b']).__next__())\n"
            "print('_csv' in sys.modules)\n"
            "import csv as again\n"
            "print(issubclass(again.Error, csv.Error))"
        )
        self.assertEqual(["False", "['a',", "'b']", "True", "True"], printed)

    def test_a_loaded_module_stays(self):
        printed = run_python(
            "import csv\n"
            "from almondtide.deferred import block_import, defer_import\n"
            "defer_import('csv'); block_import('csv')\n"
            "import csv as again\n"
            "print(again is csv)"
        )
        self.assertEqual(["True"], printed)

    def test_a_blocked_module_cannot_be_imported(self):
        printed = run_python(
            "from almondtide.deferred import block_import\n"
            "block_import('ssl')\n"
            "try:\n"
            "    import ssl\n"
            "except ImportError:\n"
            "    print('blocked')"
        )
        self.assertEqual(["blocked"], printed)


class StartTest(testtools.TestCase):
    """Guards against a start that loads modules which an entry never uses.

    The load: a whole fleet starts at once, and callers wait for its first process.
    """

    UNUSED = ("asyncio.base_events", "_ssl", "_csv", "websockets")

    def test_modules_after_the_start(self):
        # The settings are missing, so that the process ends after its imports.
        printed = run_python(
            "import runpy, sys\n"
            "try:\n"
            "    runpy.run_module('almondtide.entry', run_name='__main__')\n"
            "except SystemExit as exc:\n"
            "    print(exc.code)\n"
            f"print([name for name in {self.UNUSED!r} if name in sys.modules])",
            "-S",
        )
        self.assertEqual(["2", "[]"], printed)
