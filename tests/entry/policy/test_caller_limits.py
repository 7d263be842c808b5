"""Tests of which limits hold while one version replaces another."""

import testtools

from almondtide.entry.policy.caller_limits import (
    OVERLAP_FRACTION,
    LimitsInForce,
    RequestBounds,
)
from almondtide.model.published import CallerLimits

APPLY_S = 3.0
OVERLAP_S = OVERLAP_FRACTION * APPLY_S
NAMES = CallerLimits.__slots__
LOW = CallerLimits(100, 10, 1.0, 2.0)
HIGH = CallerLimits(200, 20, 3.0, 4.0)


def _in_force(*versions):
    """Return limits after versions at times, as (limits, time) pairs."""
    in_force = LimitsInForce(CallerLimits())
    for limits, at in versions:
        in_force.apply(limits, at, APPLY_S)
    return in_force


class LimitsInForceTest(testtools.TestCase):
    """Guards against a proper request that is refused by one of two versions."""

    def test_a_raised_limit_holds_at_once(self):
        in_force = _in_force((LOW, 0.0), (HIGH, 10.0))
        for now in (10.0, 10.0 + OVERLAP_S, 20.0):
            self.assertEqual(HIGH, in_force.at(now), now)

    def test_a_lowered_limit_holds_alone_after_the_overlap(self):
        in_force = _in_force((HIGH, 0.0), (LOW, 10.0))
        self.assertEqual(HIGH, in_force.at(10.0 + OVERLAP_S - 0.01))
        self.assertEqual(LOW, in_force.at(10.0 + OVERLAP_S))

    def test_fields_that_change_in_different_directions(self):
        for name in NAMES:
            fields = {n: getattr(LOW if n == name else HIGH, n) for n in NAMES}
            mixed = CallerLimits(**fields)
            in_force = _in_force((LOW, 0.0), (mixed, 10.0))
            self.assertEqual(mixed, in_force.at(10.0), name)
            in_force = _in_force((mixed, 0.0), (LOW, 10.0))
            self.assertEqual(mixed, in_force.at(10.0), name)
            self.assertEqual(LOW, in_force.at(10.0 + OVERLAP_S), name)

    def test_versions_in_quick_succession(self):
        # The first of them is not forgotten while its own overlap lasts.
        versions = [(HIGH, 0.0)] + [(LOW, 10.0 + 0.1 * n) for n in range(5)]
        in_force = _in_force(*versions)
        self.assertEqual(HIGH, in_force.at(10.0 + OVERLAP_S - 0.01))
        self.assertEqual(LOW, in_force.at(10.0 + OVERLAP_S))

    def test_the_limits_before_the_first_version_are_no_version(self):
        in_force = LimitsInForce(HIGH)
        self.assertFalse(in_force.has_version)
        in_force.apply(LOW, 10.0, APPLY_S)
        self.assertEqual((True, LOW), (in_force.has_version, in_force.at(10.0)))


class RequestBoundsTest(testtools.TestCase):
    """Guards against limits that change under a request which has begun."""

    def test_what_held_when_it_began_holds_to_its_end(self):
        in_force = _in_force((HIGH, 0.0))
        bounds = RequestBounds(in_force, 9.0)
        in_force.apply(LOW, 10.0, APPLY_S)
        self.assertEqual(HIGH, bounds.at(60.0))

    def test_what_holds_later_holds_as_well(self):
        in_force = _in_force((LOW, 0.0))
        bounds = RequestBounds(in_force, 9.0)
        in_force.apply(HIGH, 10.0, APPLY_S)
        in_force.apply(LOW, 11.0, APPLY_S)
        self.assertEqual(HIGH, bounds.at(12.0))
        self.assertEqual(HIGH, bounds.at(60.0))
