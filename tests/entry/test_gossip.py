"""Tests of the gossip's targets and updates, the directory and the store's reader."""

import types
import zlib

import cbor2
import curio
import orjson
import testtools

from almondtide.adapters.http import HTTPRequest, HTTPResponse
from almondtide.entry.codec import (
    EndAnnouncement,
    Heartbeat,
    Snapshot,
    decode_message,
    decode_snapshot,
    encode_end_announcement,
    encode_heartbeat,
    encode_snapshot,
)
from almondtide.entry.directory import DISCOVERY_S, Directory
from almondtide.entry.feed import StoreFeed
from almondtide.entry.freshness import ReadStatement
from almondtide.entry.gossip import (
    OTHER_DOMAIN_DIGEST_GRACE_S,
    OTHER_DOMAIN_FANOUT,
    RELAYED_MEMBERS,
    SAME_DOMAIN_FANOUT,
    STANDBY_FANOUT,
    Gossip,
)
from almondtide.entry.members import Member, MembershipView, MemberState
from almondtide.entry.reader import StoreReader
from almondtide.entry.replica import StoreReplica
from almondtide.entry.run_time import MAX_GAP_S, RunTime
from almondtide.model.published import Configuration
from almondtide.platform.documents import decode_server
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import StoreClient
from standins.store import StoreServer
from tests.entry.support import settings_document
from tests.platform.test_documents import ENTRY
from tests.support import MemoryLog, run

SETTINGS = decode_settings(orjson.dumps(settings_document()))
DOMAINS = ("lautoka", "nadi", "suva")
READER = 77
SERVER = ("servers/i-1", orjson.dumps(ENTRY))


def _member(number, is_active=False, last_heard_at=0.0):
    return Member(
        f"front-{number}",
        1,
        f"10.0.{number // 250}.{number % 250 + 1}",
        DOMAINS[number % 3],
        MemberState.READY,
        0.73,
        is_active,
        last_heard_at,
    )


def _domain_of(host):
    _, _, high, low = map(int, host.split("."))
    return DOMAINS[(high * 250 + low - 1) % 3]


class _Socket:
    def __init__(self):
        self.sent = []

    async def sendto(self, raw, address):
        self.sent.append((raw, address[0]))


class _Daemon:
    """A daemon's gossip with recorded datagrams and a clock set by the test."""

    def __init__(self, count, active_members=(), local_number=0):
        members = [_member(number, number in active_members) for number in range(count)]
        self.now = 0.0
        self.view = MembershipView(members[local_number])
        for member in members:
            self.view.update(member)
        self.replica = StoreReplica()
        self.log = MemoryLog()
        self.feed = StoreFeed(SETTINGS, self.replica, self.log)
        self.changed = []
        self.versions_applied = []
        self.gossip = Gossip(
            SETTINGS,
            self.view,
            self.replica,
            self.feed,
            self._on_changes,
            lambda: self.now,
            self.log,
        )
        self.gossip._sock = self.socket = _Socket()

    async def _on_changes(self, records, is_configuration_new, source):
        self.changed.extend(records)
        if is_configuration_new:
            self.versions_applied.append(self.replica.configuration_version)

    def heartbeat(self):
        """Send one round of heartbeats; returns the hosts and the first message."""
        self.socket.sent.clear()
        run(self.gossip._send_heartbeats)
        hosts = [host for _, host in self.socket.sent]
        return hosts, decode_message(self.socket.sent[0][0], self.now)


class HeartbeatTargetsTest(testtools.TestCase):
    """Guards against traffic that grows with the fleet, and against isolation."""

    def test_active_member_of_a_small_fleet_sends_to_all(self):
        daemon = _Daemon(15, active_members=range(6))
        hosts, heartbeat = daemon.heartbeat()
        self.assertTrue({_member(n).host for n in range(1, 15)} <= set(hosts))
        self.assertEqual(RELAYED_MEMBERS, len(heartbeat.members))

    def test_standby_sends_to_the_active_members_and_a_few_others(self):
        daemon = _Daemon(15, active_members=range(6), local_number=14)
        hosts = set(daemon.heartbeat()[0])
        self.assertTrue({_member(number).host for number in range(6)} <= hosts)
        self.assertTrue(len(hosts) <= 6 + STANDBY_FANOUT + len(SETTINGS.seeds))

    def test_large_fleet(self):
        for count in (30, 118, 1000):
            active_member = _Daemon(count, active_members=range(8))
            hosts = active_member.heartbeat()[0]
            self.assertTrue(
                len(hosts) <= 7 + SAME_DOMAIN_FANOUT + OTHER_DOMAIN_FANOUT + 3
            )
            seeds = {host for host, _ in SETTINGS.seeds}
            # The first 7 hosts are those of the other active members.
            domains = [_domain_of(host) for host in hosts[7:] if host not in seeds]
            self.assertEqual(
                OTHER_DOMAIN_FANOUT, sum(name != "lautoka" for name in domains)
            )
            standby = _Daemon(count, active_members=range(8), local_number=count - 1)
            self.assertTrue(len(standby.heartbeat()[0]) <= 2 * STANDBY_FANOUT + 3)
            self.assertTrue(len(active_member.socket.sent[0][0]) < 1300)

    def test_a_daemon_without_a_replica_asks_the_seeds(self):
        hosts, heartbeat = _Daemon(1).heartbeat()
        self.assertTrue(heartbeat.wants_reply)
        self.assertEqual({host for host, _ in SETTINGS.seeds}, set(hosts))


class UpdateTest(testtools.TestCase):
    """Guards against updates that miss daemons or cross failure domains too often.

    An update spreads in a fleet of 118 daemons with two active members per domain.
    """

    COUNT = 118

    def _spread_update(self, first, failed=()):
        """Return (number of daemons with the update, datagrams between domains)."""
        fleet = {}
        for number in range(self.COUNT):
            daemon = _Daemon(self.COUNT, active_members=range(6), local_number=number)
            fleet[daemon.view.local_member.host] = daemon
        source = fleet[_member(first).host]
        record = source.replica.merge_server(
            "servers/i-1", 7, decode_server(*SERVER), 0.0
        )
        run(source.gossip.send_updates, [record], False)
        cross_domain = 0
        queue = [source]
        while queue:
            daemon = queue.pop(0)
            sent, daemon.socket.sent = daemon.socket.sent, []
            for raw, host in sent:
                sender = daemon.view.local_member
                cross_domain += _domain_of(host) != sender.domain
                if host in {_member(number).host for number in failed}:
                    continue
                records, _ = decode_message(raw, 0.0)
                run(
                    fleet[host].gossip._on_updates,
                    records,
                    None,
                    sender.host,
                    0.0,
                    0.0,
                )
                queue.append(fleet[host])
        return sum(
            bool(one.replica.server_records()) for one in fleet.values()
        ), cross_domain

    def test_update_reaches_all_and_few_datagrams_cross_domains(self):
        reached, cross_domain = self._spread_update(0)
        self.assertTrue(reached >= 0.99 * self.COUNT, reached)
        self.assertTrue(cross_domain <= 4 + 6 * OTHER_DOMAIN_FANOUT, cross_domain)

    def test_update_of_a_standby_reaches_all(self):
        reached, cross_domain = self._spread_update(self.COUNT - 1)
        self.assertTrue(reached >= 0.99 * self.COUNT, reached)
        self.assertTrue(cross_domain <= 6 + 6 * OTHER_DOMAIN_FANOUT, cross_domain)

    def test_update_while_active_members_failed_undetected(self):
        reached, _ = self._spread_update(0, failed=(1, 3, 5))
        self.assertTrue(reached >= 0.99 * (self.COUNT - 3), reached)


class FreshnessTest(testtools.TestCase):
    """Guards against a replica that counts as fresh without confirmation."""

    def _compare_replicas(self, daemon, digest, age_s, version=0, arrived_after=None):
        sender = _member(1, last_heard_at=daemon.now)
        heartbeat = Heartbeat(sender, digest, version, age_s, [], False, 40, age_s)
        heartbeat.read = ReadStatement(READER, 1, age_s)
        arrived_after = daemon.now if arrived_after is None else arrived_after
        run(
            daemon.gossip._on_heartbeat,
            heartbeat,
            sender.host,
            daemon.now,
            arrived_after,
        )

    def test_equal_digest_confirms_freshness(self):
        daemon = _Daemon(3)
        daemon.now = 10.0
        self._compare_replicas(daemon, daemon.replica.digest, 0.4)
        self.assertAlmostEqual(9.6, daemon.replica.fresh_at)
        self.assertEqual((40, 9.6), daemon.feed.shared_position)

    def test_an_age_that_waited_does_not_confirm_a_known_read_anew(self):
        daemon = _Daemon(3)
        for daemon.now in (10.0, 12.5):
            self._compare_replicas(daemon, daemon.replica.digest, 0.4)
        self.assertAlmostEqual(9.6, daemon.replica.fresh_at)

    def test_an_age_that_names_no_read_only_completes_a_replica(self):
        # An entry that got all contents as updates of an earlier build, and did not
        # reach the store, was never ready.
        daemon = _Daemon(3)
        heartbeat = Heartbeat(_member(1), daemon.replica.digest, 0, 0.4, [], False)
        for now in (10.0, 11.0):
            run(daemon.gossip._compare_replicas, heartbeat, "127.0.0.9", now, now - 2)
            self.assertEqual(7.6, daemon.replica.fresh_at)

    def test_time_of_the_cursor_counts_from_the_earliest_arrival(self):
        # The daemon was paused since 6.0; the heartbeat may have arrived right then.
        daemon = _Daemon(3)
        daemon.now = 10.0
        self._compare_replicas(daemon, daemon.replica.digest, 0.4, arrived_after=6.0)
        self.assertEqual((40, 5.6), daemon.feed.shared_position)

    def test_serving_time_counts_from_the_earliest_arrival(self):
        daemon = _Daemon(3)
        daemon.now = 10.0
        records = [("servers/i-1", 7, decode_server(*SERVER), 0.0)]
        run(daemon.gossip._on_updates, records, None, "127.0.0.9", 5.0, 5.0)
        records = [("servers/i-1", 8, None, 2.5)]
        run(daemon.gossip._on_updates, records, None, "127.0.0.9", 10.0, 6.0)
        (record,) = daemon.replica.all_records()
        self.assertEqual(8.5, record.serves_until)

    def test_different_digest_does_not_confirm_freshness(self):
        daemon = _Daemon(3)
        daemon.now = 10.0
        daemon.replica.freshness.note_copy(5.0)
        self._compare_replicas(daemon, daemon.replica.digest + 1, 0.4)
        self.assertEqual(5.0, daemon.replica.fresh_at)
        self.assertIsNone(daemon.feed.cursor)

    def test_a_large_fleet_prefers_snapshots_of_the_local_domain(self):
        for sender, delay_s in ((3, 0.3), (1, OTHER_DOMAIN_DIGEST_GRACE_S + 0.1)):
            daemon = _Daemon(40)
            daemon.replica.freshness.note_copy(1.0)
            daemon.replica.configuration = Configuration(2)
            for now, is_pulled in ((10.0, False), (10.0 + delay_s, True)):
                heartbeat = Heartbeat(_member(sender), 99, 2, 0.1, [], False)
                run(daemon.gossip._compare_replicas, heartbeat, "127.0.0.1", now, now)
                self.assertEqual(is_pulled, daemon.gossip._last_pull_at == now, sender)

    def test_a_newer_configuration_is_pulled_at_once_within_the_domain(self):
        for sender, is_active, is_pulled in (
            (3, False, True),
            (1, False, False),
            (1, True, True),
        ):
            daemon = _Daemon(40)
            daemon.view.local_member.is_active = is_active
            daemon.replica.freshness.note_copy(1.0)
            daemon.replica.configuration = Configuration(2)
            heartbeat = Heartbeat(_member(sender), 99, 3, 0.1, [], False)
            run(daemon.gossip._compare_replicas, heartbeat, "127.0.0.1", 10.0, 10.0)
            self.assertEqual(is_pulled, daemon.gossip._last_pull_at == 10.0, sender)

    def test_a_newer_configuration_is_pulled_from_a_peer_of_an_older_replica(self):
        # The peer got it by an update, and the next read is up to a second away.
        daemon = _Daemon(3)
        daemon.now = 10.0
        daemon.replica.configuration = Configuration(2)
        daemon.replica.freshness.note_copy(9.9)
        self._compare_replicas(daemon, daemon.replica.digest, 0.8, version=3)
        self.assertEqual(10.0, daemon.gossip._last_pull_at)

    def test_an_active_member_announces_a_configuration_that_it_pulled(self):
        for is_active in (False, True):
            daemon = _Daemon(40)
            daemon.view.local_member.is_active = is_active
            raw = orjson.dumps({"version": 4, "routes": [], "services": []})
            snapshot = Snapshot(0.1, 5, 5, raw, [])
            run(daemon.gossip._apply_snapshot, snapshot, "127.0.0.1", 0.0)
            self.assertEqual(is_active, daemon.gossip._heartbeat_requested.is_set())

    def test_an_older_heartbeat_is_ignored(self):
        daemon = _Daemon(3)
        daemon.now = 10.0
        daemon.replica.freshness.note_copy(9.9)
        self._compare_replicas(daemon, daemon.replica.digest, 5.0)
        self.assertEqual(9.9, daemon.replica.fresh_at)


class SnapshotTest(testtools.TestCase):
    """Guards against snapshots that take away what their sender has not heard of."""

    def test_a_server_that_the_sender_missed_stays(self):
        # The sender got the update of a later change, that of this server was lost.
        sender, receiver = _Daemon(2), _Daemon(2, local_number=1)
        for daemon, changes in ((sender, {1: 5, 2: 9}), (receiver, {1: 5, 3: 8})):
            for number, position in changes.items():
                key = f"servers/i-{number}"
                server = decode_server(key, orjson.dumps(ENTRY))
                daemon.replica.merge_server(key, position, server, 0.0)
        raw = orjson.dumps({"version": 1, "routes": [], "services": []})
        sender.replica.merge_configuration(Configuration(1), raw, 1)
        sender.feed.cursor = 6
        sender.replica.freshness.note_copy(0.0)
        request = HTTPRequest("GET", "/snapshot", {}, b"")
        response = run(sender.gossip.handle_request, request)
        snapshot = decode_snapshot(response.body)
        run(receiver.gossip._apply_snapshot, snapshot, "127.0.0.9", 0.0)
        known = sorted(record.key for record in receiver.replica.server_records())
        self.assertEqual(["servers/i-1", "servers/i-2", "servers/i-3"], known)

    def test_a_snapshot_whose_server_is_not_taken_over_confirms_nothing(self):
        # The server was removed at 7 and registered again unchanged at 8, of which the
        # sender has heard nothing; the receiver has read the removal only.
        for has_tombstone in (True, False):
            daemon = _Daemon(2)
            if has_tombstone:
                daemon.replica.merge_server("servers/i-1", 7, None, 0.0)
            daemon.feed.cursor = 7
            server = decode_server("servers/i-1", orjson.dumps(ENTRY))
            records = [("servers/i-1", 5, server)]
            raw = orjson.dumps({"version": 1, "routes": [], "services": []})
            snapshot = Snapshot(0.1, 9, 2, raw, records)
            run(daemon.gossip._apply_snapshot, snapshot, "127.0.0.9", 10.0)
            self.assertEqual([], daemon.replica.server_records())
            self.assertIsNone(daemon.replica.fresh_at)


class PausedRelayTest(testtools.TestCase):
    """Guards against ended members that live on where a paused process relays them."""

    def test_an_old_heartbeat_of_a_member_does_not_make_it_live(self):
        # The member ended at 6.1; this process was paused from 6.0 to 10.0.
        daemon = _Daemon(3)
        run_time = RunTime()
        daemon.gossip.set_run_time(run_time)
        run_time.tick(6.0)
        daemon.now = 10.0
        sender = _member(1, is_active=True, last_heard_at=6.05)
        raw = encode_heartbeat(Heartbeat(sender, 0, 0, None, [], False), 6.05)
        run(daemon.gossip.receive_datagram, raw, sender.host, 6.0)
        member = daemon.view.members[sender.name]
        self.assertFalse(daemon.view.is_alive(member, daemon.now))

    def test_the_age_of_a_read_counts_from_the_arrival(self):
        # The read began at 5.6, and is not known yet.
        daemon = _Daemon(3)
        run_time = RunTime()
        daemon.gossip.set_run_time(run_time)
        run_time.tick(6.0)
        daemon.now = 10.0
        sender = _member(1, is_active=True, last_heard_at=6.0)
        heartbeat = Heartbeat(sender, daemon.replica.digest, 0, 0.4, [], False)
        heartbeat.read = ReadStatement(READER, 1, 0.4)
        run(
            daemon.gossip.receive_datagram,
            encode_heartbeat(heartbeat, 6.0),
            sender.host,
            6.0,
        )
        self.assertTrue(daemon.replica.fresh_at < 5.6 + MAX_GAP_S + 0.01)

    def test_reports_of_replies_and_demand_count_from_the_arrival(self):
        daemon = _Daemon(3)
        run_time = RunTime()
        daemon.gossip.set_run_time(run_time)
        run_time.tick(6.0)
        daemon.now = 10.0
        noted = []
        links = types.SimpleNamespace(note_peer=lambda *args: noted.append(args[1]))
        shares = types.SimpleNamespace(note_report=lambda *args: noted.append(args[2]))
        daemon.gossip.set_links(links)
        daemon.gossip.set_rate_shares(shares)
        sender = _member(1, is_active=True, last_heard_at=6.0)
        heartbeat = Heartbeat(sender, 0, 0, None, [], False, demands={7: 2.0})
        heartbeat.reply_age_s = 0.5
        raw = encode_heartbeat(heartbeat, 6.0)
        run(daemon.gossip.receive_datagram, raw, sender.host, 6.0)
        self.assertEqual(2, len(noted))
        self.assertTrue(noted[0] < 5.5 + MAX_GAP_S + 0.01)
        self.assertTrue(noted[1] < 6.0 + MAX_GAP_S + 0.01)

    def test_a_heartbeat_that_is_handled_at_once_does(self):
        daemon = _Daemon(3)
        run_time = RunTime()
        daemon.gossip.set_run_time(run_time)
        for tick in range(60, 101):
            run_time.tick(tick / 10)
        daemon.now = 10.0
        sender = _member(1, is_active=True, last_heard_at=9.9)
        raw = encode_heartbeat(Heartbeat(sender, 0, 0, None, [], False), 9.9)
        run(daemon.gossip.receive_datagram, raw, sender.host, 6.0)
        self.assertEqual(10.0, daemon.view.members[sender.name].last_heard_at)


class PausedSenderTest(testtools.TestCase):
    """Guards against ages and remaining times from before a pause of the sender."""

    def _daemon(self):
        daemon = _Daemon(5, active_members=range(5))
        send = daemon.socket.sendto

        async def pause_after_the_first(raw, address):
            await send(raw, address)
            daemon.now += 3.0

        daemon.socket.sendto = pause_after_the_first
        return daemon

    def test_the_rest_of_a_round_of_heartbeats_is_not_sent(self):
        daemon = self._daemon()
        run(daemon.gossip._send_heartbeats)
        self.assertEqual(1, len(daemon.socket.sent))
        self.assertTrue(daemon.gossip.counts["datagrams_stale"] >= 3)

    def test_the_rest_of_an_update_is_not_sent(self):
        daemon = self._daemon()
        server = decode_server(*SERVER)
        leaving = daemon.replica.merge_server("servers/i-1", 5, server, 0.0)
        run(daemon.gossip.send_updates, [leaving], False)
        self.assertEqual(1, len(daemon.socket.sent))

    def test_the_rest_of_an_announced_end_is_not_sent(self):
        daemon = self._daemon()
        run(daemon.gossip.send_end_announcement, decode_server(*SERVER), 3.0)
        self.assertEqual(1, len(daemon.socket.sent))


class DirectoryTest(testtools.TestCase):
    """Guards against callers that get no entry or failed ones."""

    def _names(self, daemon, domain):
        directory = Directory(SETTINGS, daemon.view, lambda: daemon.now, daemon.log)
        return [member.name for member in directory.entry_members(domain, daemon.now)]

    def test_entries_of_the_callers_domain(self):
        daemon = _Daemon(15, active_members=range(15))
        names = self._names(daemon, "nadi")
        self.assertEqual(2, len(names))
        self.assertTrue(all(int(name[6:]) % 3 == 1 for name in names))

    def test_unknown_domain_gets_all_active_members(self):
        self.assertEqual(6, len(self._names(_Daemon(15, range(15)), "elsewhere")))

    def test_members_that_know_they_are_active_are_preferred(self):
        daemon = _Daemon(15, active_members=())
        chosen = self._names(daemon, "nadi")
        daemon.view.members[chosen[0]].is_active = True
        self.assertEqual([chosen[0]], self._names(daemon, "nadi"))

    def test_a_daemon_that_has_just_started_does_not_return_only_itself(self):
        daemon = _Daemon(1)
        directory = Directory(SETTINGS, daemon.view, lambda: daemon.now, daemon.log)
        request = HTTPRequest("GET", "/v1/resolve?zone=lautoka", {}, b"")
        self.assertEqual(503, run(directory.resolve, request).status)
        daemon.now = DISCOVERY_S + 0.1
        self.assertEqual(200, run(directory.resolve, request).status)


class StoreReaderTest(testtools.TestCase):
    """Guards against changes of the store that are missed, and against extra reads."""

    def _run_scenario(self, scenario):
        async def run_scenario():
            store = StoreServer()
            await store.start()
            daemon = _Daemon(1)
            client = StoreClient(store.address, 0.2)
            reader = StoreReader(
                SETTINGS,
                client,
                daemon.view,
                daemon.replica,
                daemon.feed,
                daemon.gossip,
                daemon._on_changes,
                lambda: daemon.now,
                daemon.log,
            )
            try:
                await scenario(store, daemon, reader)
            finally:
                await client.close()
                await store.close()

        run(run_scenario)

    def test_full_read_then_changes(self):
        async def scenario(store, daemon, reader):
            await store.put("servers/i-1", ENTRY)
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            await reader._read()
            self.assertEqual(3, daemon.replica.configuration_version)
            self.assertEqual(1, len(daemon.changed))
            await store.put("servers/i-2", ENTRY)
            await store.put("servers/i-1", {**ENTRY, "sequence": 5})
            await reader._read()
            self.assertEqual(2, len(daemon.changed))
            self.assertEqual(["/v1/kv-watch"], store.calls[2:])

        self._run_scenario(scenario)

    def test_a_configuration_after_many_changes_is_read_at_once(self):
        # The store returns at most 500 changes; 900 are pending after an outage.
        async def scenario(store, daemon, reader):
            await reader._read()
            for number in range(900):
                await store.put(f"servers/i-{number % 9}", ENTRY)
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            await reader._read()
            self.assertEqual(3, daemon.replica.configuration_version)
            self.assertEqual(store.revision, daemon.feed.cursor)

        self._run_scenario(scenario)

    def test_changes_of_a_read_that_failed_are_read_again(self):
        async def scenario(store, daemon, reader):
            await reader._read()
            before = daemon.feed.cursor
            for number in range(600):
                await store.put(f"servers/i-{number % 9}", ENTRY)
            answers = store._watch
            calls = []

            async def fail_second(query):
                calls.append(query)
                return HTTPResponse(503) if calls[1:] else await answers(query)

            store._watch = fail_second
            await reader._read()
            self.assertEqual(before, daemon.feed.cursor)
            store._watch = answers
            await reader._read()
            self.assertEqual(9, len(daemon.replica.server_records()))

        self._run_scenario(scenario)

    def test_a_configuration_of_a_read_that_fails_later_is_applied(self):
        # It counted as known from then on, and was never put into force.
        async def scenario(store, daemon, reader):
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            await reader._read()
            await store.put("op/config", {"version": 5, "routes": [], "services": []})
            store.drop_history()
            list_keys = store._range

            def refuse_servers(query):
                if query["prefix"] == "servers/":
                    return HTTPResponse(503)
                return list_keys(query)

            store._range = refuse_servers
            await reader._read()
            self.assertIn("store_lost", daemon.log.names())
            self.assertEqual([3, 5], daemon.versions_applied)

        self._run_scenario(scenario)

    def test_odd_entries_cost_neither_the_list_nor_the_reader(self):
        # The reader failed again and again, and ended its process after 20 failures.
        raw = orjson.dumps(ENTRY)
        odd = [
            b"[" * 100_000,
            raw[:-1] + b',"x":' + b"[" * 1000 + b"]" * 1000 + b"}",
            raw.replace(b'"capacity":3', b'"capacity":' + b"9" * 400),
            raw.replace(b'"capacity":3', b'"capacity":' + b"9" * 5000),
            raw.replace(b'"capacity":3', b'"capacity":18446744073709551616'),
            *(
                orjson.dumps({**ENTRY, "address": address})
                for address in (
                    "10.3.0.1:0",
                    "10.3.0.1:-1",
                    "10.3.0.1:65536",
                    "10.3.0.1:" + "9" * 5000,
                    "9" * 5000 + ".3.0.1:80",
                )
            ),
        ]

        async def scenario(store, daemon, reader):
            for number, value in enumerate(odd):
                await store.put(f"servers/i-{number}", value)
            await store.put("servers/i-99", ENTRY)
            await reader._read()
            for number, value in enumerate(odd):
                await store.put(f"servers/i-{number}", value)
            await store.put("servers/i-98", ENTRY)
            await reader._read()
            known = {record.key for record in daemon.replica.server_records()}
            # The nested value is that of an unknown field, which is ignored.
            self.assertEqual({"servers/i-1", "servers/i-98", "servers/i-99"}, known)

        self._run_scenario(scenario)

    def test_full_read_when_watches_are_not_answered(self):
        # The store answers other reads, but no watch.
        async def scenario(store, daemon, reader):
            await reader._read()

            async def never_answer(query):
                await curio.sleep(5.0)

            store._watch = never_answer
            await store.put("servers/i-3", ENTRY)
            daemon.now += 1.0
            await reader._read()
            self.assertEqual(["servers/i-3"], [record.key for record in daemon.changed])
            self.assertEqual(daemon.now, daemon.feed.read_at)
            self.assertNotIn("store_lost", daemon.log.names())

        self._run_scenario(scenario)

    def test_entries_that_are_registered_again_are_not_removed(self):
        # Two daemons hold the same removals. The other one reads and sees most entries
        # registered again, which it does not spread since they are unchanged to it.
        async def scenario(store, daemon, reader):
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            for number in range(12):
                await store.put(f"servers/i-{number}", ENTRY)
            await reader._read_if_due()
            for number in range(12):
                await store.remove(f"servers/i-{number}")
            daemon.now += 6.0
            await reader._read_if_due()
            self.assertEqual(12, len(daemon.replica.server_records()))
            for number in range(11):
                await store.put(f"servers/i-{number}", ENTRY)
            for _ in range(10):
                daemon.now += 0.5
                daemon.replica.freshness.note_copy(daemon.now)
                daemon.feed.adopt_cursor(store.revision, daemon.now)
                await reader._read_if_due()
            self.assertEqual(11, len(daemon.replica.server_records()))

        self._run_scenario(scenario)

    def test_store_outage_is_logged_once(self):
        async def scenario(store, daemon, reader):
            await reader._read()
            store.mode = "busy"
            for _ in range(3):
                await reader._read()
            store.mode = "normal"
            await reader._read()
            names = [name for name in daemon.log.names() if name.startswith("store_")]
            self.assertEqual(["store_lost", "store_regained"], names)

        self._run_scenario(scenario)

    def test_full_read_after_lost_history(self):
        async def scenario(store, daemon, reader):
            await store.put("servers/i-1", ENTRY)
            await store.put("servers/i-2", ENTRY)
            await reader._read()
            await store.remove("servers/i-1")
            store.drop_history()
            await store.put("servers/i-3", ENTRY)
            await reader._read()
            known = {record.key for record in daemon.replica.server_records()}
            self.assertEqual({"servers/i-2", "servers/i-3"}, known)

        self._run_scenario(scenario)

    def test_changes_that_the_cursor_has_passed_unread_are_found(self):
        # A peer, as one of an earlier build, may state a cursor that is too high.
        async def scenario(store, daemon, reader):
            await store.put("servers/i-1", ENTRY)
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            await reader._read()
            await store.put("op/config", {"version": 5, "routes": [], "services": []})
            await store.remove("servers/i-1")
            daemon.feed.adopt_cursor(store.revision, daemon.now)
            daemon.now += 2.0
            await reader._read()
            self.assertIn("configuration_missed", daemon.log.names())
            self.assertEqual([3, 5], daemon.versions_applied)
            self.assertEqual([], daemon.replica.server_records())
            await reader._read()
            self.assertEqual("/v1/kv-watch", store.calls[-1])

        self._run_scenario(scenario)

    def test_a_check_that_fails_is_no_failed_read(self):
        async def scenario(store, daemon, reader):
            await store.put("op/config", {"version": 3, "routes": [], "services": []})
            await reader._read()

            async def refuse_check(phase):
                store.mode = "busy" if len(store.calls) == 3 else "normal"

            store.on_call = refuse_check
            daemon.now += 2.0
            await reader._read()
            self.assertEqual(4, len(store.calls))
            self.assertEqual(1, reader.configuration_check.counts["failed"])
            self.assertNotIn("store_lost", daemon.log.names())

        self._run_scenario(scenario)

    def test_a_daemon_with_a_fresh_replica_does_not_read(self):
        async def scenario(store, daemon, reader):
            daemon.now = 10.0
            daemon.replica.freshness.note_copy(9.9)
            self.assertTrue(reader._next_read_at(daemon.now) > daemon.now)
            task = await curio.spawn(reader.run, daemon=True)
            await curio.sleep(0.05)
            await task.cancel()
            self.assertEqual([], store.calls)

        self._run_scenario(scenario)


def _server_record(daemon, born_ms=7):
    """Let a daemon know a server; return it."""
    entry = orjson.dumps({**ENTRY, "born": born_ms})
    server = decode_server("servers/i-1", entry)
    daemon.replica.merge_server("servers/i-1", 1, server, 0.0)
    return server


class AnnouncedEndTest(testtools.TestCase):
    """Guards against a leaving server that is in use again after a restart.

    The fault: one process knows from the server itself that it leaves; another one
    starts, takes over, or missed the only datagram that told it.
    """

    def setUp(self):
        super().setUp()
        self.ends = []
        self.told = _Daemon(3)
        self.other = _Daemon(3, local_number=1)
        for daemon in (self.told, self.other):
            daemon.gossip.set_end_handler(lambda *args: self.ends.append(args))
        self.server = _server_record(self.told)

    def announce(self):
        run(self.told.gossip.send_end_announcement, self.server, 2.0)

    def pull(self):
        """Let the other daemon pull the snapshot of the first one."""
        request = HTTPRequest("GET", "/snapshot?ends=1", {}, b"")
        self.told.replica.configuration = Configuration(1)
        self.told.replica.configuration_raw = orjson.dumps(
            {"version": 1, "routes": [], "services": []}
        )
        self.told.replica.freshness.note_copy(0.0)
        response = run(self.told.gossip.handle_request, request)
        snapshot = decode_snapshot(response.body)
        run(self.other.gossip._apply_snapshot, snapshot, "10.0.0.1", 0.0)

    def test_a_standby_is_told_too(self):
        self.announce()
        hosts = {host for _, host in self.told.gossip._sock.sent}
        self.assertEqual({"10.0.0.2", "10.0.0.3"}, hosts)

    def test_a_daemon_that_starts_learns_it_with_the_snapshot(self):
        self.announce()
        self.pull()
        self.assertEqual([("i-1", 7, 2.0)], self.ends)
        self.assertEqual(2.0, self.other.replica.announced_until("servers/i-1"))

    def test_a_daemon_that_starts_learns_it_with_the_reply_to_its_heartbeat(self):
        self.announce()
        self.told.gossip._sock.sent.clear()
        run(self.told.gossip._send_reply, "10.0.0.2", 0.5)
        raws = [raw for raw, _ in self.told.gossip._sock.sent]
        for raw in raws:
            run(self.other.gossip.receive_datagram, raw, "10.0.0.1", 0.5)
        self.assertEqual([("i-1", 7, 2.0)], self.ends)

    def test_digests_differ_until_both_know_it(self):
        _server_record(self.other)
        self.assertEqual(self.told.replica.digest, self.other.replica.digest)
        self.announce()
        self.assertNotEqual(self.told.replica.digest, self.other.replica.digest)
        self.pull()
        self.assertEqual(self.told.replica.digest, self.other.replica.digest)

    def test_the_entry_in_the_store_does_not_take_it_back(self):
        self.announce()
        self.told.replica.merge_server("servers/i-1", 2, None, 3.0)
        self.told.replica.merge_server("servers/i-1", 3, self.server, 4.0)
        self.assertEqual(2.0, self.told.replica.announced_until("servers/i-1"))

    def test_a_new_start_of_the_server_does(self):
        self.announce()
        _server_record(self.told, born_ms=8)
        entry = orjson.dumps({**ENTRY, "born": 8})
        newer = decode_server("servers/i-1", entry)
        self.told.replica.merge_server("servers/i-1", 2, newer, 1.0)
        self.assertIsNone(self.told.replica.announced_until("servers/i-1"))
        # A late announcement of the earlier start changes nothing.
        end = EndAnnouncement("i-1", 7, 0.5)
        raw = encode_end_announcement(end)
        run(self.told.gossip.receive_datagram, raw, "10.0.0.2", 1.0)
        self.assertIsNone(self.told.replica.announced_until("servers/i-1"))

    def test_a_peer_whose_snapshot_lacks_it_is_told(self):
        # The datagram to the store's reader was lost, and no replica is newer than its.
        self.announce()
        self.told.gossip._sock.sent.clear()
        _server_record(self.other)
        raw = orjson.dumps({"version": 1, "routes": [], "services": []})
        self.other.replica.merge_configuration(Configuration(1), raw, 1)
        snapshot = decode_snapshot(
            encode_snapshot(self.other.replica, self.other.replica.position, 0.0, [])
        )
        run(self.told.gossip._apply_snapshot, snapshot, "10.0.0.2", 0.0)
        [(raw, host)] = self.told.gossip._sock.sent
        self.assertEqual("10.0.0.2", host)
        run(self.other.gossip.receive_datagram, raw, "10.0.0.1", 0.0)
        self.assertEqual(self.told.replica.digest, self.other.replica.digest)

    def test_it_is_known_before_the_server(self):
        raw = encode_end_announcement(EndAnnouncement("i-1", 7, 2.0))
        run(self.other.gossip.receive_datagram, raw, "10.0.0.1", 0.0)
        _server_record(self.other)
        self.assertEqual(2.0, self.other.replica.announced_until("servers/i-1"))

    def test_it_is_forgotten_only_when_the_server_is_no_longer_listed(self):
        self.announce()
        self.told.replica.remove_expired_tombstones(500.0)
        self.assertEqual(2.0, self.told.replica.announced_until("servers/i-1"))
        self.told.replica.merge_server("servers/i-1", 2, None, 500.0)
        self.told.replica.remove_expired_tombstones(700.0)
        self.assertEqual([], self.told.replica.announced_ends())

    def test_a_peer_of_an_earlier_build_gets_a_snapshot_that_it_can_read(self):
        self.announce()
        raw = encode_snapshot(self.told.replica, self.told.replica.position, 0.1)
        self.assertEqual([], decode_snapshot(raw).ends)


class MalformedTest(testtools.TestCase):
    """Guards against a daemon that is deaf after one malformed datagram."""

    def setUp(self):
        super().setUp()
        self.daemon = _Daemon(3)

    def receive(self, *raws):
        async def scenario():
            for raw in raws:
                await self.daemon.gossip.receive_datagram(raw, "10.0.0.2", 0.0)

        run(scenario)

    def test_a_position_of_infinity(self):
        packed = zlib.compress(b"{}")
        raw = cbor2.dumps([1, 2, [], [float("inf"), packed]])
        self.receive(raw)
        self.assertEqual(1, self.daemon.gossip.counts["datagrams_invalid"])
        self.assertIn("datagram_invalid", self.daemon.log.names())

    def test_an_age_of_infinity(self):
        heartbeat = Heartbeat(_member(1), 7, 3, 0.2, [], False, 12, 0.1)
        message = cbor2.loads(encode_heartbeat(heartbeat, 1.0))
        for place in (5, 9):
            altered = list(message)
            altered[place] = float("inf")
            self.receive(cbor2.dumps(altered))
        self.assertEqual(2, self.daemon.gossip.counts["datagrams_invalid"])
        self.assertIsNone(self.daemon.replica.fresh_at)

    def test_an_error_while_a_datagram_is_handled(self):
        def fail(*args):
            raise RuntimeError("unexpected")

        self.daemon.gossip.set_end_handler(fail)
        heartbeat = Heartbeat(_member(1), 7, 3, None, [], False)
        self.receive(
            encode_end_announcement(EndAnnouncement("i-1", 7, 1.0)),
            encode_heartbeat(heartbeat, 1.0),
        )
        self.assertEqual(1, self.daemon.gossip.counts["datagrams_failed"])
        self.assertIn("front-1", self.daemon.view.members)
