"""Tests of merge patches and change chains."""

import copy
import itertools

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.changes import (
    Change,
    ChangeChain,
    apply_changes,
    apply_patch,
    make_change,
    make_patch,
)
from almondtide.errors import DocumentError
from almondtide.ports import Document

_KEYS = st.text("abc[]", min_size=1, max_size=2)
_LEAVES = st.booleans() | st.integers(-3, 3) | st.sampled_from([1.0, 0.5])


def _values(with_null):
    leaves = _LEAVES | st.none() if with_null else _LEAVES
    items = st.fixed_dictionaries({"id": _KEYS}, optional={"state": leaves})
    return st.recursive(
        leaves | st.text("xy", max_size=2),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(_KEYS, inner, max_size=4)
            | st.lists(items, max_size=5)
        ),
        max_leaves=12,
    )


_BODIES = st.dictionaries(_KEYS, _values(False), max_size=4)


def _digest(body):
    return Document("d", 1, body).digest


class PatchTest(testtools.TestCase):
    """Guards against a result that differs from the published document."""

    @settings(max_examples=150, deadline=None)
    @given(_BODIES, _BODIES)
    def test_patch_produces_the_later_body(self, before, after):
        """Types matter: 1, 1.0 and true are different values of a setting."""
        change = make_change(Document("d", 1, before), Document("d", 2, after))
        if change is None:
            # Only a member named like the patch key of a list has no patch.
            self.assertIn("'[]'", str((before, after)))
            return
        result = apply_patch(make_patch(before, after), before)
        self.assertEqual(_digest(after), _digest(result))

    @settings(max_examples=150, deadline=None)
    @given(_values(True), _values(True))
    def test_change_is_exact_or_absent(self, before, after):
        """A merge patch cannot set null; the whole document is sent instead."""
        kept = copy.deepcopy(before)
        old, new = Document("d", 1, before), Document("d", 2, after)
        change = make_change(old, new)
        self.assertEqual(kept, before)
        if change is not None:
            step = [2, change.patch, change.digest]
            result, _ = apply_changes(old, [step])
            self.assertEqual(_digest(after), result.digest)

    def test_examples_of_the_rfc(self):
        """Guards against a deviation from RFC 7396."""
        cases = [
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ]
        for body, patch, expected in cases:
            self.assertEqual(expected, apply_patch(patch, body))

    def test_one_changed_instance_is_sent_alone(self):
        """A plain merge patch would resend the whole list of instances."""
        listed = [{"id": f"i{n}", "state": "live"} for n in range(1000)]
        later = copy.deepcopy(listed)
        later[500]["state"] = "leaving"
        del later[3]
        later.append({"id": "new", "state": "live"})
        change = make_change(
            Document("instances", 1, {"instances": listed}),
            Document("instances", 2, {"instances": later}),
        )
        self.assertLess(change.size, 150)

    def test_reordered_list_is_replaced(self):
        """Guards against a result that keeps the old order."""
        before = {"instances": [{"id": "a"}, {"id": "b"}]}
        after = {"instances": [{"id": "b"}, {"id": "a"}]}
        self.assertEqual(after, apply_patch(make_patch(before, after), before))


class ChangeChainTest(testtools.TestCase):
    """Guards against corrupted changes and changes applied to the wrong base."""

    def make_chain(self, bodies):
        documents = [Document("d", n + 1, body) for n, body in enumerate(bodies)]
        chain = ChangeChain()
        for before, after in itertools.pairwise(documents):
            chain.extend([make_change(before, after)])
        return documents, chain

    def steps(self, changes):
        return [[c.revision, copy.deepcopy(c.patch), c.digest] for c in changes]

    def test_chain_from_every_base(self):
        documents, chain = self.make_chain([{"n": n} for n in range(6)])
        for document in documents[:-1]:
            changes = chain.changes_since(document.revision, document.digest)
            result, _ = apply_changes(document, self.steps(changes))
            self.assertEqual(documents[-1].digest, result.digest)

    def test_unknown_base_gets_no_chain(self):
        documents, chain = self.make_chain([{"n": 0}, {"n": 1}])
        self.assertIsNone(chain.changes_since(1, "another content"))
        self.assertIsNone(chain.changes_since(9, documents[0].digest))

    @settings(max_examples=100, deadline=None)
    @given(st.data())
    def test_corrupted_chain_is_rejected(self, data):
        """A changed value, a missing change and a wrong order must be detected."""
        documents, chain = self.make_chain([{"n": n, "m": -n} for n in range(5)])
        steps = self.steps(chain.changes_since(1, documents[0].digest))
        index = data.draw(st.integers(0, len(steps) - 1))
        kind = data.draw(st.sampled_from(["value", "drop", "swap", "digest", "shape"]))
        if kind == "value":
            steps[index][1]["n"] = data.draw(st.integers(100, 200))
        elif kind == "drop":
            # A chain without its last change is shorter but correct, so the one before
            # is dropped. Every change sets both members; the last one is made to set
            # only one, as its result would be right otherwise.
            del steps[2]
            steps[2][1].pop("n")
        elif kind == "swap":
            other = (index + 1) % len(steps)
            steps[other], steps[index] = steps[index], steps[other]
        elif kind == "digest":
            steps[index][2] = "0" * 32
        else:
            steps[index] = data.draw(st.sampled_from([None, [], [7], ["x", {}, "y"]]))
        self.assertRaises(DocumentError, apply_changes, documents[0], steps)

    def test_chain_is_bounded(self):
        """Guards against memory that grows with the number of revisions."""
        documents, chain = self.make_chain([{"n": n} for n in range(200)])
        self.assertIsNone(chain.changes_since(1, documents[0].digest))
        self.assertIsNotNone(chain.changes_since(150, documents[149].digest))
        large = Change(200, documents[-1].digest, 201, "d", {"x": "y" * 300_000})
        chain.extend([large])
        self.assertIsNone(chain.changes_since(200, documents[-1].digest))
