"""Tests of the comparison of the configuration with the store's own key."""

import testtools

from almondtide.entry.configuration_check import (
    MAX_READ_S,
    UNSCALED_BYTES,
    ConfigurationCheck,
)

WITHIN_S = 3.0


class ConfigurationCheckTest(testtools.TestCase):
    """Guards against checks that come too late, or load a link or a slow store."""

    def setUp(self):
        super().setUp()
        self.check = ConfigurationCheck()

    def test_a_missed_configuration_is_found_in_time(self):
        self.check.note_answer(10.0, WITHIN_S, UNSCALED_BYTES)
        self.assertFalse(self.check.is_due(11.4, 0.01))
        self.assertTrue(self.check.is_due(11.6, 0.01))

    def test_a_failed_check_is_repeated_as_late(self):
        self.check.note_failure(10.0, WITHIN_S)
        self.assertFalse(self.check.is_due(11.4, 0.01))

    def test_a_large_configuration_is_read_less_often(self):
        self.check.note_answer(10.0, WITHIN_S, 10 * UNSCALED_BYTES)
        self.assertFalse(self.check.is_due(24.9, 0.01))

    def test_a_slow_store_is_not_asked_more(self):
        self.assertFalse(self.check.is_due(10.0, 1.1 * MAX_READ_S))

    def test_what_lies_behind_the_cursor_or_was_read_is_not_missed(self):
        for position, cursor, is_missed in (
            (7, 9, True),
            (9, 9, True),
            (10, 9, False),
            (5, 9, False),
            (7, None, False),
        ):
            found = self.check.may_be_missed(position, cursor, read_position=5)
            self.assertEqual(is_missed, found, (position, cursor))
