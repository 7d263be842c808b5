"""Tests of positions in the history of the store."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.model.position import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    make_position,
    revision_of,
)

ERAS = st.integers(0, MAX_ERA)
REVISIONS = st.integers(0, MAX_REVISION)


class PositionTest(testtools.TestCase):
    """Guards against revisions of two eras that are compared as one history."""

    @given(ERAS, REVISIONS, ERAS, REVISIONS)
    def test_order_is_that_of_the_pairs(self, era, revision, other_era, other):
        pairs = (era, revision), (other_era, other)
        positions = [make_position(*pair) for pair in pairs]
        self.assertEqual(pairs[0] < pairs[1], positions[0] < positions[1])
        self.assertEqual(pairs[0], (era_of(positions[0]), revision_of(positions[0])))

    def test_values_beyond_the_maxima_are_refused(self):
        for era, revision in (
            (0, MAX_REVISION + 1),
            (MAX_ERA + 1, 0),
            (-1, 0),
            (0, -1),
        ):
            self.assertRaises(ValueError, make_position, era, revision)
