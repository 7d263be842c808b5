"""Tests of the time until a configuration is in force on all entries."""

import testtools

from bench.rollout import patterns, play_pattern
from standins.gossip_fleet import BOUNDS

CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000.0


class RolloutTest(testtools.TestCase):
    """Guards against entries that serve by an old configuration for too long."""

    def _assert_in_time(self, name, seed, count=15):
        rollouts = play_pattern(name, seed, count)
        self.assertNotEqual([], rollouts)
        late = {
            rollout.version: round(rollout.total_s, 3)
            for rollout in rollouts
            if rollout.total_s > CONFIG_APPLY_S
        }
        self.assertEqual({}, late, f"{name}, seed {seed}")

    def test_a_configuration_is_in_force_in_time_under_each_fault_pattern(self):
        for name in patterns.names():
            self._assert_in_time(name, seed=1)

    def test_no_read_is_late_while_paused_entries_handle_old_heartbeats(self):
        # An old heartbeat made replicas count as fresh, and the store was not read.
        for name, seed in (
            ("long-pauses", 24),
            ("paused-readers", 9),
            ("short-pauses", 18),
        ):
            self._assert_in_time(name, seed)

    def test_an_entry_that_hears_no_peer_is_in_time_after_lost_answers(self):
        # It waited for the rank after which it reads, and then for each call.
        for seed in (3, 9):
            self._assert_in_time("isolated-standby", seed)
        # In a large fleet it has no watch.
        self._assert_in_time("isolated-standby", 2, count=60)
