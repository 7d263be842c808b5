"""Tests that each defect which the proofs and the soak install has its target."""

import subprocess
import sys

import testtools

from proofs.mutations import mutations
from soak.broken import breaks
from standins.replacement import replace_attribute


class ReplaceAttributeTest(testtools.TestCase):
    """Guards against a defect without effect, which no check can detect."""

    def test_missing_attribute(self):
        with testtools.ExpectedException(AttributeError):
            replace_attribute(ReplaceAttributeTest, "none", 1)

    def test_original_is_returned(self):
        class Owner:
            value = 1

        self.assertEqual(1, replace_attribute(Owner, "value", 2))
        self.assertEqual(2, Owner.value)


class InstallTest(testtools.TestCase):
    """Guards against mutations whose target was renamed or removed."""

    def _install(self, module, registry, name):
        program = f"from {module} import {registry}; {registry}.get({name!r})()"
        result = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
        )
        self.assertEqual(0, result.returncode, (name, result.stderr[-500:]))

    def test_mutations_of_the_proofs(self):
        for name in mutations.names():
            self._install("proofs.mutations", "mutations", name)

    def test_breaks_of_the_soak(self):
        for name in breaks.names():
            self._install("soak.broken", "breaks", name)
