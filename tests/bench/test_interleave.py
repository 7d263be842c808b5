"""Tests with a change of the store before and after each call of each way to read."""

import curio
import testtools

from bench import interleave, interleave_fleet


class _InterleavingTest(testtools.TestCase):
    def _assert_none_missed(self, outcomes):
        self.assertNotEqual([], outcomes)
        missed = [
            (o.way, o.change, o.call, o.phase, o.differences)
            for o in outcomes
            if o.differences
        ]
        self.assertEqual([], missed)


class ReadingEntryTest(_InterleavingTest):
    """Guards against changes that no read brings, since the cursor has passed them."""

    def _assert_ways(self, *names):
        for uses_evacuations in (False, True):
            self._assert_none_missed(
                curio.run(interleave.play_all, names, uses_evacuations)
            )

    def test_no_change_between_the_calls_of_a_full_read_is_missed(self):
        self._assert_ways(
            "first read",
            "after lost history",
            "after a silent watch",
            "after a restoration",
            "pages of a list cut by their bytes",
        )

    def test_no_change_between_reads_of_changes_is_missed(self):
        self._assert_ways("changes", "full pages of changes")

    def test_changes_after_a_page_cut_by_its_bytes_are_read_at_once(self):
        self._assert_ways(
            "pages of changes cut by their bytes",
            "page of changes cut before a large value",
        )


class FleetTest(_InterleavingTest):
    """Guards against fleets in which every cursor has passed a change."""

    def test_no_entry_misses_a_change_beside_a_full_read(self):
        for name in interleave_fleet.ways.names():
            if name != "changes":
                self._assert_none_missed(interleave_fleet.play_way(name))

    def test_no_entry_misses_a_change_beside_a_read_of_changes(self):
        self._assert_none_missed(interleave_fleet.play_way("changes"))
