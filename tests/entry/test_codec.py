"""Tests of the messages between daemons."""

import zlib

import cbor2
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.entry.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_SNAPSHOT_BYTES,
    Heartbeat,
    decode_message,
    decode_snapshot,
    encode_heartbeat,
    encode_loss_reports,
    encode_snapshot,
    encode_updates,
)
from almondtide.entry.members import Member, MemberState
from almondtide.entry.replica import StoreReplica
from almondtide.errors import DocumentError
from almondtide.model.published import Configuration
from tests.entry.support import make_server


def _member(name, last_heard_at=10.0):
    return Member(
        name, 7, "10.1.0.9", "lautoka", MemberState.READY, 0.73, True, last_heard_at
    )


def _replica(count):
    replica = StoreReplica()
    for number in range(count):
        server = make_server(f"i-{number}", domain="nadi", leaving=number % 2 == 0)
        replica.merge_server(f"servers/i-{number}", number + 1, server, 0.0)
    return replica


class HeartbeatTest(testtools.TestCase):
    """Guards against heartbeats that change in transit."""

    def test_round_trip(self):
        heartbeat = Heartbeat(
            _member("one"), 99, 7, 0.25, [_member("two", 8.5)], True, 42, 0.5
        )
        found = decode_message(encode_heartbeat(heartbeat, 10.0), 50.0)
        self.assertEqual(
            (99, 7, 0.25, True, 42, 0.5),
            (
                found.digest,
                found.configuration_version,
                found.age_s,
                found.wants_reply,
                found.cursor,
                found.cursor_age_s,
            ),
        )
        self.assertEqual("one", found.sender.name)
        self.assertEqual(0.73, found.sender.cpu_capacity)
        # Ages are sent instead of times, since the clocks of daemons differ.
        self.assertAlmostEqual(50.0, found.sender.last_heard_at)
        self.assertAlmostEqual(48.5, found.members[0].last_heard_at)

    def test_heartbeat_before_the_first_read(self):
        heartbeat = Heartbeat(_member("one"), 0, 0, None, [], False)
        found = decode_message(encode_heartbeat(heartbeat, 10.0), 10.0)
        self.assertIsNone(found.age_s)
        self.assertIsNone(found.cursor_age_s)


class OddRecordTest(testtools.TestCase):
    """Guards against one odd record that costs all others of its message."""

    def test_it_is_left_out_of_an_update_and_a_snapshot(self):
        replica = _replica(2)
        for key in ("servers/", "servers/odd"):
            server = make_server("i-7", domain="nadi")
            server.id = "" if key == "servers/" else "odd"
            server.address = ("10.3.0.1", 99_999_999)
            replica.merge_server(key, 9, server, 0.0)
        [raw] = encode_updates(replica.all_records(), now=0.0)
        records, _ = decode_message(raw, 10.0)
        keys = ["servers/i-0", "servers/i-1"]
        self.assertEqual(keys, [key for key, *_ in records])
        snapshot = decode_snapshot(encode_snapshot(replica, replica.position, 0.1))
        self.assertEqual(keys, [key for key, *_ in snapshot.records])


class AbilitiesTest(testtools.TestCase):
    """Guards against builds that use what a peer's build cannot do."""

    def encode(self, *abilities):
        heartbeat = Heartbeat(_member("one"), 9, 1, 0.1, [], False, abilities=abilities)
        return cbor2.loads(encode_heartbeat(heartbeat, 10.0))

    def decode(self, items):
        return decode_message(cbor2.dumps(items), 10.0).abilities

    def test_round_trip_as_item_14(self):
        items = self.encode("relay", "more")
        self.assertEqual([None, ["more", "relay"]], items[13:])
        self.assertEqual({"more", "relay"}, self.decode(items))

    def test_items_around_it_do_not_change_it(self):
        items = self.encode("relay")
        # Item 13 holds the evacuations.
        items[13] = [100, 7, []]
        self.assertEqual({"relay"}, self.decode([*items, None, None, "later"]))

    def test_builds_that_name_none(self):
        items = self.encode()
        self.assertEqual(13, len(items))
        # Those with items 10 to 12 take relayed requests; earlier ones do not.
        self.assertEqual({"relay"}, self.decode(items))
        self.assertEqual({"relay"}, self.decode([*items, None]))
        self.assertEqual(set(), self.decode(items[:10]))
        self.assertEqual(set(), self.decode([*items, None, []]))

    def test_a_long_list_is_cut_and_another_type_is_invalid(self):
        names = [f"a{number}" for number in range(1000)]
        self.assertEqual(32, len(self.decode([*self.encode(), None, names])))
        found = self.decode([*self.encode(), None, ["relay", "x" * 33]])
        self.assertEqual({"relay"}, found)
        for value in ("relay", 1, [1], {"relay": 1}, [""]):
            with testtools.ExpectedException(DocumentError):
                self.decode([*self.encode(), None, value])


class UpdateTest(testtools.TestCase):
    """Guards against updates that are lost or do not fit into a packet."""

    def test_many_records_in_datagrams_of_bounded_size(self):
        replica = _replica(200)
        records = replica.all_records()
        datagrams = list(encode_updates(records, now=0.0))
        self.assertTrue(len(datagrams) > 5)
        self.assertTrue(max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES)
        found = []
        for raw in datagrams:
            items, configuration = decode_message(raw, 0.0)
            self.assertIsNone(configuration)
            found.extend(items)
        self.assertEqual(
            [(record.key, record.position, record.server, 0.0) for record in records],
            found,
        )

    def test_removal_and_configuration(self):
        replica = _replica(1)
        record = replica.merge_server("servers/i-0", 9, None, 0.0)
        packed = zlib.compress(b"document")
        raws = list(encode_updates([record], (5, packed), now=0.0))
        self.assertEqual(([], (5, b"document")), decode_message(raws[0], 0.0))
        found = ([("servers/i-0", 9, None, 0.0)], None)
        self.assertEqual(found, decode_message(raws[1], 0.0))

    def test_the_remaining_time_of_a_leaving_server_is_sent(self):
        replica = _replica(2)
        record = replica.merge_server("servers/i-1", 9, None, 10.0, serves_until=12.5)
        (raw,) = encode_updates([record], now=10.5)
        ([found], _) = decode_message(raw, 70.0)
        self.assertEqual(("servers/i-1", 9, None, 2.0), found)
        (raw,) = encode_updates([record], now=13.0)
        ([found], _) = decode_message(raw, 70.0)
        self.assertEqual(("servers/i-1", 9, None, 0.0), found)

    def test_an_invalid_remaining_time_is_refused(self):
        for serving_ms in (float("inf"), float("nan"), -1, "soon"):
            raw = cbor2.dumps([1, 2, [["servers/i-1", 9, None, serving_ms]], None])
            invalid = {}
            found = decode_message(raw, 0.0, invalid.setdefault)
            self.assertEqual(([], None), found)
            self.assertEqual(["servers/i-1"], list(invalid))


class LossReportTest(testtools.TestCase):
    """Guards against loss reports that change in transit, and against invalid ones."""

    def test_round_trip(self):
        (raw,) = encode_loss_reports([("f1", ["i-1", "i-2"])])
        self.assertTrue(len(raw) <= MAX_DATAGRAM_BYTES)
        self.assertEqual([("f1", ["i-1", "i-2"])], decode_message(raw, 0.0).losses)

    def test_many_servers_fit_a_datagram(self):
        servers = [f"i-{number:040}" for number in range(500)]
        (raw,) = encode_loss_reports([("f" * 24, servers)])
        self.assertTrue(len(raw) <= MAX_DATAGRAM_BYTES)

    def test_invalid_reports_are_refused(self):
        for items in (3, [["f1"]], [["f1", 3]], [["f1", [7]]], [[None, ["i-1"]]]):
            raw = cbor2.dumps([1, 3, items])
            self.assertRaises(DocumentError, decode_message, raw, 0.0)


class SnapshotTest(testtools.TestCase):
    """Guards against a daemon that starts with another replica than its peers."""

    def test_round_trip(self):
        replica = _replica(3)
        replica.merge_configuration(Configuration(4), b"raw", 12)
        snapshot = decode_snapshot(encode_snapshot(replica, replica.position, 0.5))
        self.assertEqual((0.5, 3), (snapshot.age_s, snapshot.position))
        self.assertEqual(12, snapshot.configuration_position)
        self.assertEqual(b"raw", snapshot.configuration_raw)
        other = StoreReplica()
        for record in snapshot.records:
            other.merge_server(*record, 0.0)
        self.assertEqual(replica.digest, other.digest)

    def test_a_body_that_expands_beyond_the_limit_is_refused(self):
        bomb = zlib.compress(b"\0" * (MAX_SNAPSHOT_BYTES + 1))
        self.assertRaises(DocumentError, decode_snapshot, bomb)

    def test_a_cut_body_is_refused(self):
        raw = encode_snapshot(_replica(3), 3, 0.5)
        self.assertRaises(DocumentError, decode_snapshot, raw[:-9])


def _decode_packed(raw, now):
    return decode_snapshot(zlib.compress(raw))


class GarbageTest(testtools.TestCase):
    """Guards against a daemon that crashes on a malformed message."""

    @given(st.binary(max_size=80))
    def test_any_bytes(self, raw):
        for decode in (lambda: decode_message(raw, 0.0), lambda: decode_snapshot(raw)):
            try:
                decode()
            except DocumentError:
                pass

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers(-9, 9) | st.text("ab", max_size=2),
            lambda inner: st.lists(inner, max_size=9),
            max_leaves=12,
        )
    )
    def test_any_message(self, value):
        for kind in (1, 2, 3):
            raw = cbor2.dumps([1, kind, *value] if isinstance(value, list) else value)
            for decode in (decode_message, _decode_packed):
                try:
                    decode(raw, 0.0)
                except DocumentError:
                    pass
