"""Tests of the reads that confirm a replica."""

import testtools

from almondtide.entry.codec import Heartbeat, decode_message, encode_heartbeat
from almondtide.entry.freshness import RETENTION_S, Freshness
from almondtide.entry.members import Member, MemberState


class FreshnessTest(testtools.TestCase):
    """Guards against replicas that seem newer the more often they are confirmed."""

    def setUp(self):
        super().setUp()
        self.freshness = Freshness()

    def test_of_several_statements_on_a_read_the_earliest_counts(self):
        for began_at in (5.0, 9.0, 4.5, 6.0):
            self.freshness.note_read(1, 7, began_at)
        self.assertEqual(4.5, self.freshness.latest_at)

    def test_an_earlier_read_of_the_same_reader_changes_nothing(self):
        self.freshness.note_read(1, 7, 5.0)
        self.freshness.note_read(1, 6, 9.0)
        self.assertEqual(5.0, self.freshness.latest_at)

    def test_the_latest_of_several_readers_counts(self):
        self.freshness.note_read(1, 7, 5.0)
        self.freshness.note_read(2, 1, 6.0)
        self.freshness.note_local_read(5.5)
        self.assertEqual(6.0, self.freshness.latest_at)
        statement = self.freshness.statement(8.0)
        self.assertEqual(
            (2, 1, 2.0), (statement.reader, statement.number, statement.age_s)
        )

    def test_ages_that_go_round_do_not_become_smaller(self):
        # Two daemons that confirm each other; each message takes 20 ms.
        daemons = [Freshness(), Freshness()]
        daemons[0].note_local_read(0.0)
        for step in range(1, 200):
            now = 0.02 * step
            sender, receiver = daemons[step % 2 - 1], daemons[step % 2]
            statement = sender.statement(now - 0.02)
            if statement is not None:
                receiver.note_read(
                    statement.reader, statement.number, now - statement.age_s
                )
        self.assertEqual(0.0, daemons[0].latest_at)
        self.assertTrue(daemons[1].latest_at <= 0.021)

    def test_old_reads_are_forgotten(self):
        for reader in range(50):
            self.freshness.note_read(reader, 1, reader * RETENTION_S / 10)
        self.assertTrue(len(self.freshness._reads) <= 11)

    def test_a_statement_passes_through_a_heartbeat(self):
        self.freshness.note_read(3, 9, 1.0)
        member = Member("a", 7, "10.1.0.9", "b", MemberState.READY, 0.7, True, 2.0)
        heartbeat = Heartbeat(member, 1, 2, 0.5, [], False)
        heartbeat.read = self.freshness.statement(1.2345)
        read = decode_message(encode_heartbeat(heartbeat, 2.0), 2.0).read
        self.assertEqual((3, 9, 0.235), (read.reader, read.number, read.age_s))
