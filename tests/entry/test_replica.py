"""Tests of the merge of records by revision."""

import itertools

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from almondtide.entry.replica import TOMBSTONE_RETENTION_S, StoreReplica
from almondtide.model.published import Configuration
from tests.entry.support import make_server


def _server(number, **fields):
    return make_server(f"i-{number}", **fields)


class StoreReplicaTest(testtools.TestCase):
    """Guards against replicas that differ permanently between daemons."""

    def test_newer_revision_wins(self):
        replica = StoreReplica()
        self.assertIsNotNone(replica.merge_server("servers/i-1", 5, _server(1), 0.0))
        self.assertIsNone(replica.merge_server("servers/i-1", 4, None, 0.0))
        self.assertIsNone(replica.merge_server("servers/i-1", 5, None, 0.0))
        self.assertIsNotNone(replica.merge_server("servers/i-1", 6, None, 0.0))
        self.assertEqual([], replica.server_records())

    def test_server_heartbeat_is_no_change(self):
        replica = StoreReplica()
        replica.merge_server("servers/i-1", 5, _server(1), 0.0)
        digest = replica.digest
        self.assertIsNone(replica.merge_server("servers/i-1", 9, _server(1), 0.0))
        self.assertEqual(digest, replica.digest)

    def test_older_update_does_not_restore_a_removed_server(self):
        replica = StoreReplica()
        replica.merge_server("servers/i-1", 5, _server(1), 0.0)
        replica.merge_server("servers/i-1", 8, None, 0.0)
        self.assertIsNone(replica.merge_server("servers/i-1", 7, _server(1), 1.0))
        replica.remove_expired_tombstones(TOMBSTONE_RETENTION_S + 1)
        self.assertEqual([], replica.all_records())

    # Without the deadline of 0.2 s for each example: a busy machine exceeds it.
    @settings(deadline=None)
    @given(st.permutations(range(8)), st.permutations(range(8)))
    def test_the_order_of_updates_does_not_matter(self, one, other):
        updates = [
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
            replica = StoreReplica()
            for index in order:
                replica.merge_server(*updates[index], 0.0)
            digests.append(replica.digest)
        self.assertEqual(digests[0], digests[1])

    def test_digest_differs_for_different_servers(self):
        digests = set()
        for fields in ({}, {"leaving": True}, {"cold": True}, {"born_ms": 3}):
            replica = StoreReplica()
            replica.merge_server("servers/i-1", 5, _server(1, **fields), 0.0)
            digests.add(replica.digest)
        self.assertEqual(4, len(digests))

    def test_missing_keys_of_a_full_list(self):
        replica = StoreReplica()
        for number, revision in ((1, 5), (2, 6), (3, 9)):
            replica.merge_server(f"servers/i-{number}", revision, _server(number), 0.0)
        # A key with a revision after that of the list is not expected in the list.
        self.assertEqual(["servers/i-2"], replica.keys_missing_from({"servers/i-1"}, 8))

    def test_configuration_never_goes_back(self):
        replica = StoreReplica()
        for version, _ in itertools.product((3, 7, 5, 7, 2), (0, 1)):
            replica.merge_configuration(Configuration(version), b"", version)
        self.assertEqual(7, replica.configuration_version)

    def test_freshness_never_goes_back(self):
        replica = StoreReplica()
        self.assertIsNone(replica.age_s(10.0))
        replica.freshness.note_copy(9.0)
        replica.freshness.note_copy(8.0)
        self.assertEqual(1.0, replica.age_s(10.0))
