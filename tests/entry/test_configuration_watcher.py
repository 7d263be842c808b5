"""Tests of an entry's own watch of the configuration, on a modelled fleet."""

from unittest import mock

import curio
import testtools

from almondtide.entry import configuration_watcher
from standins.gossip_fleet import play

ENTRY_COUNT = 4


def _watch_calls(fleet):
    return [entry.watcher.call_count for entry in fleet.entries]


class WatchCallsTest(testtools.TestCase):
    """Guards against a watch that calls the store all the time."""

    def _most_calls(self, prepare, seconds):
        async def scenario(fleet):
            await curio.sleep(2.0)
            before = _watch_calls(fleet)
            await prepare(fleet)
            await curio.sleep(seconds)
            calls = _watch_calls(fleet)
            return max(b - a for a, b in zip(before, calls, strict=True))

        return play(scenario, count=ENTRY_COUNT)

    def test_a_calm_store_is_called_once_in_a_wait(self):
        async def wait(fleet):
            """Change nothing."""

        self.assertLessEqual(self._most_calls(wait, 20.0), 3)

    def test_changes_in_quick_succession_share_calls(self):
        async def publish(fleet):
            for version in range(2, 52):
                fleet.publish(version)
                await curio.sleep(0.02)

        self.assertLessEqual(self._most_calls(publish, 1.0), 15)

    def test_a_store_that_answers_each_watch_at_once(self):
        async def answer_at_once(fleet):
            fleet.store.max_wait_ms = 0

        # Those that wait end first.
        self.assertLessEqual(self._most_calls(answer_at_once, 20.0), 45)

    def test_a_store_that_keeps_no_history(self):
        async def drop_history(fleet):
            for _ in range(20):
                fleet.store.drop_history()
                fleet.store.watches_cut += 1
                await curio.sleep(0.1)

        self.assertLessEqual(self._most_calls(drop_history, 1.0), 45)


class MissedConfigurationTest(testtools.TestCase):
    """Guards against a version that all cursors have passed unread."""

    def test_the_watch_takes_it_and_all_is_read_again(self):
        async def scenario(fleet):
            await curio.sleep(2.0)
            fleet.publish(2)
            for entry in fleet.entries:
                entry.feed.adopt_cursor(fleet.store.position(), fleet.now)
            await curio.sleep(0.1)
            return [
                (
                    entry.replica.configuration_version,
                    entry.watcher.watch.counts["missed"],
                    entry.feed.is_full_read_required,
                )
                for entry in fleet.entries
            ]

        found = play(scenario, count=ENTRY_COUNT)
        self.assertEqual([(2, 1, True)] * ENTRY_COUNT, found)


class LargeFleetTest(testtools.TestCase):
    """Guards against entries without a watch that wait for the next heartbeat."""

    def test_active_entries_pass_a_version_on_within_their_domain(self):
        async def scenario(fleet):
            await curio.sleep(2.0)
            fleet.publish(2)
            await curio.sleep(0.2)
            return fleet.last_in_force_s(2)

        # As in a fleet of more failure domains than entries that send to all.
        with mock.patch.object(configuration_watcher, "SENDING_RANKS", 1):
            self.assertLess(play(scenario, count=48), 0.1)
