"""Tests of a daemon's components without a process."""

import orjson
import testtools

from almondtide.entry.daemon import EntryDaemon
from almondtide.entry.members import Member, MemberState
from almondtide.platform.settings import decode_settings
from tests.entry.support import settings_document
from tests.support import MemoryLog


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
        expected.add("MemoryBounds")
        self.assertEqual(expected, names)
