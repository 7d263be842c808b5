"""Tests of the merge of facts by revision."""

import itertools

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.entry.knowledge import TOMBSTONE_S, Knowledge
from almondtide.entry.model import Configuration
from tests.entry.support import make_server


def _server(number, **fields):
    return make_server(f"i-{number}", **fields)


class KnowledgeTest(testtools.TestCase):
    """Guards against daemons that believe different things for ever."""

    def test_newer_revision_wins(self):
        knowledge = Knowledge()
        self.assertIsNotNone(knowledge.put("servers/i-1", 5, _server(1), 0.0))
        self.assertIsNone(knowledge.put("servers/i-1", 4, None, 0.0))
        self.assertIsNone(knowledge.put("servers/i-1", 5, None, 0.0))
        self.assertIsNotNone(knowledge.put("servers/i-1", 6, None, 0.0))
        self.assertEqual([], knowledge.servers())

    def test_heartbeat_is_no_news(self):
        knowledge = Knowledge()
        knowledge.put("servers/i-1", 5, _server(1), 0.0)
        digest = knowledge.digest
        self.assertIsNone(knowledge.put("servers/i-1", 9, _server(1), 0.0))
        self.assertEqual(digest, knowledge.digest)

    def test_old_news_does_not_bring_back_what_is_gone(self):
        knowledge = Knowledge()
        knowledge.put("servers/i-1", 5, _server(1), 0.0)
        knowledge.put("servers/i-1", 8, None, 0.0)
        self.assertIsNone(knowledge.put("servers/i-1", 7, _server(1), 1.0))
        knowledge.forget(TOMBSTONE_S + 1)
        self.assertEqual([], knowledge.facts())

    @given(st.permutations(range(8)), st.permutations(range(8)))
    def test_the_order_of_news_does_not_matter(self, one, other):
        news = [
            ("servers/i-1", 1, _server(1)),
            ("servers/i-1", 4, _server(1, leaving=True)),
            ("servers/i-1", 7, None),
            ("servers/i-2", 2, _server(2)),
            ("servers/i-2", 6, _server(2, cold=True)),
            ("servers/i-3", 3, None),
            ("servers/i-3", 5, _server(3)),
            ("servers/i-4", 8, _server(4)),
        ]
        digests = []
        for order in (one, other):
            knowledge = Knowledge()
            for index in order:
                knowledge.put(*news[index], 0.0)
            digests.append(knowledge.digest)
        self.assertEqual(digests[0], digests[1])

    def test_digest_tells_different_knowledge_apart(self):
        digests = set()
        for fields in ({}, {"leaving": True}, {"cold": True}, {"born_ms": 3}):
            knowledge = Knowledge()
            knowledge.put("servers/i-1", 5, _server(1, **fields), 0.0)
            digests.add(knowledge.digest)
        self.assertEqual(4, len(digests))

    def test_missing_keys_of_a_full_list(self):
        knowledge = Knowledge()
        for number, revision in ((1, 5), (2, 6), (3, 9)):
            knowledge.put(f"servers/i-{number}", revision, _server(number), 0.0)
        # A key that is newer than the list cannot be missing from it.
        self.assertEqual(["servers/i-2"], knowledge.missing_from({"servers/i-1"}, 8))

    def test_configuration_never_goes_back(self):
        knowledge = Knowledge()
        for version, _ in itertools.product((3, 7, 5, 7, 2), (0, 1)):
            knowledge.adopt(Configuration(version), b"", version)
        self.assertEqual(7, knowledge.version)

    def test_freshness_never_goes_back(self):
        knowledge = Knowledge()
        self.assertIsNone(knowledge.age_s(10.0))
        knowledge.confirm(9.0)
        knowledge.confirm(8.0)
        self.assertEqual(1.0, knowledge.age_s(10.0))
