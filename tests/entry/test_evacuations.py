"""Tests of evacuations of failure domains: state, feed, gossip and reader."""

import socket

import cbor2
import curio
import orjson
import testtools

from almondtide.entry.codec import (
    decode_snapshot,
    encode_heartbeat,
    encode_snapshot,
)
from almondtide.entry.evacuations import MAX_MESSAGE_WAIT_S, Evacuations
from almondtide.entry.feed import LEAVING_MARGIN_S, RESTORATION_HOLD_S, StoreFeed
from almondtide.entry.gossip import Gossip
from almondtide.entry.members import Member, MembershipView, MemberState
from almondtide.entry.reader import StoreReader
from almondtide.entry.replica import StoreReplica
from almondtide.entry.upstreams import UpstreamTable
from almondtide.model.position import make_position
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import StoreClient, StoreItem
from standins.store import StoreServer
from tests.entry.support import settings_document
from tests.platform.test_documents import ENTRY
from tests.support import MemoryLog, run

EVACUATE_S = 5.0
KEY = "op/evacuate/nadi"
READ_AT = 10.0
CONFIGURATION = {"version": 3, "routes": [], "services": []}


def _settings(evacuate_ms=EVACUATE_S * 1000):
    document = settings_document()
    if evacuate_ms is not None:
        document["bounds"]["evacuate_ms"] = evacuate_ms
    return decode_settings(orjson.dumps(document))


def _put(revision, key=KEY, era=0):
    return StoreItem(key, make_position(era, revision), b"{}")


def _removal(revision, era=0):
    return StoreItem(KEY, make_position(era, revision), None)


class _Socket:
    def __init__(self):
        self.sent = []

    async def sendto(self, raw, address):
        self.sent.append((raw, address[0]))


class _Entry:
    """Feed, gossip and table of one entry, with a clock set by the test."""

    def __init__(self, number=0, evacuate_ms=EVACUATE_S * 1000):
        self.now = READ_AT
        self.log = MemoryLog()
        self.replica = StoreReplica()
        self.settings = _settings(evacuate_ms)
        self.feed = StoreFeed(self.settings, self.replica, self.log)
        self.state = self.feed.evacuations
        self.table = UpstreamTable("lautoka")
        self.state.set_listeners(self._on_change, lambda: None)
        self.view = MembershipView(self.member(number))
        self.gossip = Gossip(
            self.settings,
            self.view,
            self.replica,
            self.feed,
            self._on_changes,
            lambda: self.now,
            self.log,
        )
        self.gossip._sock = self.socket = _Socket()

    @staticmethod
    def member(number):
        host = f"127.0.0.{number + 1}"
        name = f"front-{number}"
        return Member(name, 1, host, "lautoka", MemberState.READY, 1, True, READ_AT)

    async def _on_changes(self, records, is_configuration_new, source):
        pass

    def _on_change(self, evacuation, source):
        if evacuation.is_active:
            self.table.set_evacuated(evacuation.domain, evacuation.stops_at)
        else:
            self.table.clear_evacuated(evacuation.domain, self.now)

    def read_all(self, revision, *items, era=0):
        position = make_position(era, revision)
        return self.feed.apply_full_list([], position, self.now, list(items))

    def read_changes(self, revision, *items, era=0):
        position = make_position(era, revision)
        return self.feed.apply_changes(list(items), position, self.now)

    def active(self):
        return [state.domain for state in self.state.active()]

    def heartbeat(self):
        message = self.gossip._make_heartbeat([], self.now, False)
        return encode_heartbeat(message, self.now)

    def receive(self, raw, arrived_after=None):
        at = self.now if arrived_after is None else arrived_after
        run(self.gossip.receive_datagram, raw, "127.0.0.9", at)


class StateTest(testtools.TestCase):
    """Guards against older messages that bring back what a newer change ended."""

    def test_the_change_with_the_higher_position_holds_in_any_order(self):
        for order in ((5, 7), (7, 5)):
            state = Evacuations()
            for position in order:
                state.merge("nadi", position, position == 5, 1.0, "peer")
            self.assertEqual([], state.active())

    def test_a_withdrawal_outlasts_its_own_notice_by_the_floor(self):
        state = Evacuations()
        state.merge("nadi", 7, False, 0.0, "peer")
        state.raise_floor(9)
        self.assertIsNone(state.get("nadi"))
        self.assertIsNone(state.merge("nadi", 5, True, 1.0, "peer"))

    def test_repeated_messages_do_not_move_the_end_of_use(self):
        # Each message counts from an earlier time, so the end would come ever nearer.
        state = Evacuations()
        state.merge("nadi", 5, True, 20.0, "store")
        for stops_at in (19.7, 19.4, 30.0):
            state.merge("nadi", 5, True, stops_at, "peer")
        self.assertEqual(20.0, state.get("nadi").stops_at)


class FeedTest(testtools.TestCase):
    """Guards against evacuations that take effect too late, or never end."""

    def test_the_time_counts_from_the_read_before_the_change(self):
        entry = _Entry()
        entry.read_all(5)
        entry.now += 1.0
        entry.read_changes(6, _put(6))
        stops_at = READ_AT + EVACUATE_S - LEAVING_MARGIN_S
        self.assertEqual(stops_at, entry.state.get("nadi").stops_at)

    def test_an_evacuation_of_unknown_age_holds_at_once(self):
        entry = _Entry()
        entry.read_all(5, _put(4))
        self.assertEqual(0.0, entry.state.get("nadi").stops_at)

    def test_withdrawn_in_the_changes_and_in_a_full_list(self):
        for read in (
            lambda entry: entry.read_changes(7, _removal(7)),
            lambda entry: entry.read_all(9),
        ):
            entry = _Entry()
            entry.read_all(5, _put(4))
            self.assertEqual(["nadi"], entry.active())
            read(entry)
            self.assertEqual([], entry.active())
            self.assertEqual(entry.now, entry.table.evacuation_ended_at("nadi"))

    def test_unknown_domains_are_counted_and_nothing_else(self):
        entry = _Entry()
        entry.read_all(5, _put(4, "op/evacuate/"), _put(4, "op/evacuate/\x00lima"))
        entry.read_changes(6, _put(6, "op/evacuate/elsewhere"))
        self.assertEqual([], entry.active())
        self.assertEqual(3, entry.state.counts["invalid"])
        self.assertEqual(["evacuation_invalid"] * 3, entry.log.names())

    def test_nothing_happens_without_the_setting(self):
        entry = _Entry(evacuate_ms=None)
        entry.feed.apply_full_list([], 5, entry.now)
        entry.read_changes(6, _put(6))
        self.assertEqual([], entry.active())
        self.assertIsNone(entry.state.known_at)
        self.assertTrue(entry.feed.knows_evacuations)


class RestorationTest(testtools.TestCase):
    """Guards against an evacuation that ends because the store went back in time."""

    def setUp(self):
        super().setUp()
        self.entry = _Entry()
        self.entry.read_all(100)
        self.entry.read_changes(140, _put(130))
        self.entry.now += 1.0

    def test_one_that_the_copy_lacks_is_kept_for_the_hold_time(self):
        entry, restored_at = self.entry, self.entry.now
        entry.read_all(110, era=1)
        self.assertEqual(["nadi"], entry.active())
        # An entry that takes over meanwhile must read the full list.
        self.assertEqual(make_position(1, 0), entry.feed.shared_position[0])
        entry.now = restored_at + RESTORATION_HOLD_S - 0.1
        self.assertFalse(entry.feed.is_release_due(entry.now))
        entry.now = restored_at + RESTORATION_HOLD_S
        self.assertTrue(entry.feed.is_release_due(entry.now))
        entry.feed.release_held_removals(entry.now)
        self.assertEqual([], entry.active())

    def test_one_that_is_written_again_stays(self):
        entry, restored_at = self.entry, self.entry.now
        entry.read_all(110, era=1)
        entry.now += 1.0
        entry.read_changes(112, _put(112, era=1), era=1)
        entry.feed.release_held_removals(restored_at + RESTORATION_HOLD_S)
        self.assertEqual(["nadi"], entry.active())

    def test_one_that_the_copy_still_lists_holds_until_it_is_removed(self):
        entry = self.entry
        entry.read_changes(145, _removal(145))
        entry.read_all(141, _put(130, era=1), era=1)
        self.assertEqual(["nadi"], entry.active())
        entry.now += RESTORATION_HOLD_S + 1.0
        entry.read_changes(150, _removal(150, era=1), era=1)
        self.assertEqual([], entry.active())

    def test_a_peer_that_read_only_the_copy_does_not_end_the_hold(self):
        entry, other = self.entry, _Entry(1)
        other.now = entry.now
        other.read_all(110, era=1)
        entry.receive(other.heartbeat())
        self.assertEqual(["nadi"], entry.active())
        entry.now = other.now = entry.now + RESTORATION_HOLD_S
        entry.receive(other.heartbeat())
        self.assertEqual([], entry.active())


class GossipTest(testtools.TestCase):
    """Guards against entries that a change does not reach, and against older builds."""

    def setUp(self):
        super().setUp()
        self.reader, self.peer = _Entry(0), _Entry(1)
        self.reader.view.update(_Entry.member(1))
        for entry in (self.reader, self.peer):
            entry.read_all(5)

    def _begin(self):
        self.reader.read_changes(6, _put(6))
        changes = self.reader.feed.take_evacuation_changes()
        run(self.reader.gossip.send_evacuations, changes)
        return self.reader.socket.sent.pop()[0]

    def test_an_update_is_in_force_at_the_same_time(self):
        raw = self._begin()
        self.peer.now += 0.2
        self.peer.receive(raw, arrived_after=READ_AT)
        stops_at = READ_AT + EVACUATE_S - LEAVING_MARGIN_S
        self.assertAlmostEqual(stops_at, self.peer.state.get("nadi").stops_at, 2)

    def test_a_heartbeat_makes_up_for_a_lost_update(self):
        self._begin()
        self.peer.receive(self.reader.heartbeat())
        self.assertEqual(["nadi"], self.peer.active())

    def test_a_late_update_does_not_bring_back_what_was_withdrawn(self):
        raw = self._begin()
        self.reader.read_changes(7, _removal(7))
        self.peer.receive(self.reader.heartbeat())
        self.peer.receive(raw)
        self.assertEqual([], self.peer.active())

    def test_a_peer_that_restarted_since_tells_of_the_withdrawal(self):
        # It knows no evacuation, and has only read that there is none.
        self.peer.receive(self._begin())
        restarted = _Entry(2)
        restarted.read_all(9)
        self.peer.receive(restarted.heartbeat())
        self.assertEqual([], self.peer.active())

    def test_a_snapshot_carries_the_state(self):
        self._begin()
        summary = self.reader.state.summary(self.reader.now)
        raw = encode_snapshot(
            self.reader.replica, self.reader.replica.position, 0.1, [], summary
        )
        started = _Entry(2)
        self.assertFalse(started.feed.knows_evacuations)
        snapshot = decode_snapshot(raw)
        run(started.gossip._apply_snapshot, snapshot, "127.0.0.9", started.now)
        self.assertEqual(["nadi"], started.active())
        self.assertTrue(started.feed.knows_evacuations)

    def test_the_next_reader_finds_what_a_lost_one_told_nobody(self):
        before = self.reader.heartbeat()
        self.reader.read_changes(6, _put(6))
        self.peer.receive(before)
        self.assertEqual(5, self.peer.feed.cursor)
        self.peer.read_changes(6, _put(6))
        self.assertEqual(["nadi"], self.peer.active())

    def test_a_large_fleet_hands_a_change_on_once(self):
        for number in range(30):
            self.peer.view.update(_Entry.member(number))
        raw = self._begin()
        self.peer.receive(raw)
        sent = {received for received, _ in self.peer.socket.sent}
        self.assertEqual(1, len(sent))
        self.assertEqual([1, 2, [], None], cbor2.loads(sent.pop())[:4])
        self.peer.socket.sent.clear()
        self.peer.receive(raw)
        self.assertEqual([], self.peer.socket.sent)

    def test_messages_for_older_builds(self):
        raw = self._begin()
        self.assertEqual([1, 2, [], None], cbor2.loads(raw)[:4])
        items = cbor2.loads(self.reader.heartbeat())
        self.assertIsInstance(items[13], list)
        off = _Entry(evacuate_ms=None)
        off.feed.apply_full_list([], 5, off.now)
        self.assertIsNone(cbor2.loads(off.heartbeat())[13])
        off.receive(raw)
        off.receive(self.reader.heartbeat())
        self.assertEqual([], off.active())
        self.assertEqual(0, off.gossip.counts["datagrams_invalid"])

    def test_the_cursor_of_an_older_build_is_not_adopted(self):
        # Its reader may have read the evacuation, and tells nobody.
        old = _Entry(2, evacuate_ms=None)
        old.feed.apply_full_list([], 5, old.now)
        old.now = self.peer.now = READ_AT + 1.0
        old.read_changes(8, _put(7))
        self.peer.receive(old.heartbeat())
        self.assertEqual(old.now, self.peer.replica.fresh_at)
        self.assertEqual((5, READ_AT), (self.peer.feed.cursor, self.peer.feed.read_at))
        self.assertEqual(READ_AT, self.peer.state.known_at)

    def test_an_age_that_waited_does_not_confirm_a_known_read_anew(self):
        # Otherwise no entry would read the store in time, and an evacuation be late.
        raw = self.reader.heartbeat()
        self.peer.receive(raw)
        known_at = self.peer.state.known_at
        self.peer.now += 2.0
        self.peer.receive(raw)
        self.assertEqual(known_at, self.peer.state.known_at)

    def test_a_malformed_state_is_refused(self):
        items = cbor2.loads(self.reader.heartbeat())
        for state in (3, [], [-1, 0, []], [0, 0, [["nadi", 5, True, float("nan")]]]):
            self.peer.receive(cbor2.dumps([*items[:13], state]))
        self.assertEqual(4, self.peer.gossip.counts["datagrams_invalid"])

    def test_a_message_from_before_a_pause_withdraws_nothing(self):
        # The domain may have been evacuated again while the process was paused.
        self.peer.receive(self._begin())
        self.reader.read_changes(7, _removal(7))
        raw = self.reader.heartbeat()
        self.peer.now += MAX_MESSAGE_WAIT_S + 1.0
        self.peer.receive(raw, arrived_after=READ_AT)
        self.assertEqual(["nadi"], self.peer.active())
        self.assertEqual(5, self.peer.feed.cursor)
        self.reader.now = self.peer.now
        self.peer.receive(self.reader.heartbeat())
        self.assertEqual([], self.peer.active())

    def test_an_answer_from_before_a_pause_withdraws_nothing_yet(self):
        self.peer.receive(self._begin())
        answered_at = READ_AT + MAX_MESSAGE_WAIT_S + 1.0
        self.peer.feed.apply_changes([_removal(7)], 7, READ_AT, answered_at)
        self.assertEqual(["nadi"], self.peer.active())
        # The reader reads again before it releases what is held.
        self.assertTrue(self.peer.feed.is_release_due(answered_at))


class ReaderTest(testtools.TestCase):
    """Guards against callers that are served before the evacuations are known."""

    def _run_scenario(self, scenario, evacuate_ms=EVACUATE_S * 1000):
        async def run_scenario():
            store = StoreServer()
            await store.start()
            entry = _Entry(evacuate_ms=evacuate_ms)
            client = StoreClient(store.address, 0.5)
            reader = StoreReader(
                entry.settings,
                client,
                entry.view,
                entry.replica,
                entry.feed,
                entry.gossip,
                entry._on_changes,
                lambda: entry.now,
                entry.log,
            )
            try:
                await store.put("op/config", CONFIGURATION)
                await store.put(KEY, {})
                await scenario(store, entry, reader)
            finally:
                await client.close()
                await store.close()

        run(run_scenario)

    def test_a_full_read_makes_two_calls_and_finds_the_key(self):
        async def scenario(store, entry, reader):
            await reader._read()
            self.assertEqual(["/v1/kv-range"] * 2, store.calls)
            self.assertEqual(["nadi"], entry.active())
            self.assertEqual(3, entry.replica.configuration_version)
            await store.remove(KEY)
            await reader._read()
            self.assertEqual([], entry.active())

        self._run_scenario(scenario)

    def test_as_many_calls_without_the_setting(self):
        async def scenario(store, entry, reader):
            await reader._read()
            self.assertEqual(["/v1/kv-range"] * 2, store.calls)
            self.assertEqual([], entry.active())

        self._run_scenario(scenario, evacuate_ms=None)

    def test_a_change_between_the_two_calls_is_read_next(self):
        async def scenario(store, entry, reader):
            read = reader._store.read

            async def read_and_write(prefix):
                found = await read(prefix)
                if prefix == "op/":
                    await store.put("op/evacuate/suva", {})
                    await store.put("servers/i-1", ENTRY)
                return found

            reader._store = _Wrapper(reader._store, read=read_and_write)
            await reader._read()
            await reader._read()
            self.assertEqual(["nadi", "suva"], sorted(entry.active()))

        self._run_scenario(scenario)

    def test_an_entry_that_knows_no_evacuations_reads_all(self):
        # It has the replica and the cursor of peers of an older build.
        async def scenario(store, entry, reader):
            entry.replica.freshness.note_copy(entry.now)
            entry.feed.cursor = store.revision
            self.assertTrue(reader._next_read_at(entry.now) <= entry.now)
            await reader._read()
            self.assertEqual(["nadi"], entry.active())

        self._run_scenario(scenario)

    def test_it_reads_when_peers_keep_only_the_replica_fresh(self):
        async def scenario(store, entry, reader):
            await reader._read()
            due_at = reader._next_read_at(entry.now)
            entry.replica.freshness.note_copy(entry.now + 5.0)
            self.assertEqual(due_at, reader._next_read_at(entry.now))
            entry.state.note_local_read(entry.now + 5.0)
            self.assertAlmostEqual(due_at + 5.0, reader._next_read_at(entry.now))

        self._run_scenario(scenario)


class _Wrapper:
    """An object with some attributes replaced."""

    def __init__(self, wrapped, **changes):
        self._wrapped = wrapped
        self.__dict__.update(changes)

    def __getattr__(self, name):
        return getattr(self._wrapped, name)


class _RecordingGossip(Gossip):
    arrivals = ()

    async def receive_datagram(self, raw, host, arrived_after):
        self.arrivals = (*self.arrivals, (raw, arrived_after))


class ArrivalTest(testtools.TestCase):
    """Guards against datagrams from before a pause that seem to come after it."""

    def test_all_that_waited_during_a_pause_count_from_before_it(self):
        # Before, only the first one did: the others seemed to arrive at its end.
        async def scenario():
            sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            entry = _Entry()
            gossip = _RecordingGossip(
                entry.settings,
                entry.view,
                entry.replica,
                entry.feed,
                entry._on_changes,
                lambda: entry.now,
                entry.log,
            )
            gossip._sock = sock
            entry.now = 0.0
            task = await curio.spawn(gossip._receive)
            await curio.sleep(0.02)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for raw in (b"1", b"2"):
                    sender.sendto(raw, sock.getsockname())
                entry.now = 10.0
                await curio.sleep(0.05)
                sender.sendto(b"3", sock.getsockname())
                await curio.sleep(0.05)
            await task.cancel()
            await sock.close()
            self.assertEqual(((b"1", 0.0), (b"2", 0.0), (b"3", 10.0)), gossip.arrivals)

        run(scenario)
