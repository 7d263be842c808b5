"""Tests of a daemon's components without a process."""

import orjson
import testtools

from almondtide.entry.daemon import EntryDaemon
from almondtide.entry.members import Member, MemberState
from almondtide.platform.settings import decode_settings
from standins.store import StoreServer
from tests.entry.support import make_server, settings_document
from tests.support import MemoryLog, run


class RoleTest(testtools.TestCase):
    """Guards against budgets that add up to more than the fleet's."""

    def _daemon(self, number, member_count):
        document = settings_document(node_name=f"front-{number}")
        settings = decode_settings(orjson.dumps(document))
        daemon = EntryDaemon(settings, MemoryLog(), None, None)
        daemon.view.local_member.state = MemberState.READY
        now = daemon.started_at
        for other in range(member_count):
            daemon.view.update(
                Member(
                    f"front-{other}",
                    1,
                    f"10.0.0.{other}",
                    "lautoka",
                    MemberState.READY,
                    daemon.view.local_member.cpu_capacity,
                    False,
                    now,
                )
            )
        daemon._update_role(now)
        return daemon

    def test_the_shares_of_the_slack_make_up_one(self):
        for count in (1, 2, 5, 60):
            daemons = [self._daemon(number, count) for number in range(count)]
            total = sum(daemon.dispatcher.budget_share for daemon in daemons)
            self.assertAlmostEqual(1.0, total, places=5, msg=str(count))


class ReloadTest(testtools.TestCase):
    """Guards against components that keep old settings after a reload."""

    def test_all_components_get_changed_settings(self):
        document = settings_document()
        before = decode_settings(orjson.dumps(document))
        document["bounds"]["drain_ms"] = 9000
        after = decode_settings(orjson.dumps(document))
        daemon = EntryDaemon(before, MemoryLog(), None, lambda: after)
        daemon._reload("signal")
        for part in daemon.settings_users:
            self.assertEqual(9.0, part.settings.drain_s, type(part).__name__)
        names = {type(part).__name__ for part in daemon.settings_users}
        expected = {"Gossip", "StoreReader", "StoreFeed", "Dispatcher", "Directory"}
        expected.update(("MemoryBounds", "ConfigurationWatcher"))
        self.assertEqual(expected, names)


class MovedStoreTest(testtools.TestCase):
    """Guards against calls of an address that the settings no longer name."""

    def test_calls_after_a_reload_go_to_the_new_address(self):
        async def scenario():
            stores = StoreServer(), StoreServer()
            documents = []
            for number, store in enumerate(stores):
                await store.start()
                await store.put("op/config", b"%d" % number)
                host, port = store.address
                platform = {"address": f"{host}:{port}", "form": "read"}
                documents.append(settings_document(platform=platform))
            before, after = (
                decode_settings(orjson.dumps(document)) for document in documents
            )
            daemon = EntryDaemon(before, MemoryLog(), None, lambda: after)
            values = []
            for _ in stores:
                for client in (daemon.store, daemon.watcher._store):
                    values.append((await client.get("op/config")).value)
                daemon._reload("signal")
            for closed in (daemon.store, daemon.watcher, *stores):
                await closed.close()
            return values

        self.assertEqual([b"0", b"0", b"1", b"1"], run(scenario))


class ConfigurationTest(testtools.TestCase):
    """Guards against a version that the replica has and nobody is served by."""

    def test_a_version_whose_application_failed_is_applied_later(self):
        settings = decode_settings(orjson.dumps(settings_document()))
        daemon = EntryDaemon(settings, MemoryLog(), None, None)
        raw = orjson.dumps({"version": 3, "routes": [], "services": []})
        daemon.feed.merge_configuration(raw, 4)
        # Housekeeping calls this.
        daemon._update_role(daemon.started_at)
        self.assertEqual(3, daemon.frontend.version_in_force)

    def test_an_error_of_the_application_ends_no_task(self):
        # The one that fails is housekeeping, whose failures end the process in time.
        settings = decode_settings(orjson.dumps(settings_document()))
        daemon = EntryDaemon(settings, MemoryLog(), None, None)
        raw = orjson.dumps({"version": 3, "routes": [], "services": []})
        daemon.feed.merge_configuration(raw, 4)
        limits, daemon.table.warmup_bounds = daemon.table.warmup_bounds, None
        daemon._update_role(daemon.started_at)
        self.assertIn("configuration_not_applied", daemon.log.names())
        daemon.table.warmup_bounds = limits
        daemon._update_role(daemon.started_at)
        self.assertEqual(3, daemon.frontend.version_in_force)


class EvacuationTest(testtools.TestCase):
    """Guards against callers that are served before the evacuations are known."""

    def _daemon(self, evacuate_ms):
        document = settings_document()
        document["bounds"]["evacuate_ms"] = evacuate_ms
        settings = decode_settings(orjson.dumps(document))
        daemon = EntryDaemon(settings, MemoryLog(), None, lambda: self.reloaded)
        raw = orjson.dumps({"version": 3, "routes": [], "services": []})
        daemon.feed.merge_configuration(raw, 4)
        daemon.replica.freshness.note_copy(daemon.started_at)
        run(daemon._on_changes, [], True, "snapshot")
        return daemon

    def test_not_ready_before_they_are_known(self):
        daemon = self._daemon(5000)
        self.assertIs(MemberState.NOT_READY, daemon.view.local_member.state)
        self.assertIsNone(daemon.frontend.routes)
        daemon.feed.evacuations.note_local_read(daemon.started_at)
        self.assertIs(MemberState.READY, daemon.view.local_member.state)
        self.assertEqual(3, daemon.frontend.routes.configuration.version)

    def test_ready_at_once_in_a_deployment_without_them(self):
        daemon = self._daemon(None)
        self.assertIs(MemberState.READY, daemon.view.local_member.state)
        self.assertIsNotNone(daemon.frontend.routes)

    def test_idle_connections_are_closed_and_the_use_ends(self):
        daemon = self._daemon(5000)
        daemon.table.apply(make_server("i-1", domain="nadi"))
        upstream = daemon.table.get("i-1")
        connection = _IdleConnection(upstream)
        daemon.pool.add_idle(connection)
        daemon.feed.evacuations.merge("nadi", 5, True, 0.0, "store")
        run(daemon._end_evacuated_use, daemon.started_at)
        self.assertEqual([None], connection.assigned)
        self.assertFalse(upstream.is_usable(daemon.started_at))
        names = [name for name in daemon.log.names() if "evacuation" in name]
        self.assertEqual(["evacuation_begun", "evacuation_in_force"], names)
        families = {family.name: family for family in daemon._metric_families()}
        self.assertEqual({(): 1}, families["evacuated_domains"].values)

    def test_a_reload_without_the_setting_ends_them(self):
        daemon = self._daemon(5000)
        daemon.feed.evacuations.merge("nadi", 5, True, 0.0, "store")
        document = settings_document()
        self.reloaded = decode_settings(orjson.dumps(document))
        daemon._reload("signal")
        self.assertEqual([], daemon.feed.evacuations.active())
        self.assertIsNotNone(daemon.table.evacuation_ended_at("nadi"))


class _IdleConnection:
    def __init__(self, upstream):
        self.upstream = upstream
        self.assigned = []

    async def assign(self, exchange):
        self.assigned.append(exchange)
