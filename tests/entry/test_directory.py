"""Tests of the entries that the directory names."""

import orjson
import testtools

from almondtide.adapters.http import HTTPRequest
from almondtide.entry.directory import Directory, max_named_age_s
from almondtide.entry.members import (
    LARGE_FAILURE_TIMEOUT_S,
    Member,
    MembershipView,
    MemberState,
)
from almondtide.platform.settings import decode_settings
from tests.entry.support import settings_document
from tests.support import MemoryLog, run

SETTINGS = decode_settings(orjson.dumps(settings_document()))
DOMAINS = ("lautoka", "nadi", "suva")
# More than 24 members, so that a standby counts as live for 15 s.
LARGE_FLEET = 30
# An ended entry may be named for contact_ms and 3 s.
MAX_NAMED_AFTER_END_S = SETTINGS.contact_s + 3.0


class _Fleet:
    """The view of one member of a fleet, whose clock the test sets."""

    def __init__(self, count=LARGE_FLEET):
        self.now = 0.0
        self.count = count
        self.view = MembershipView(self.member(0, is_active=True))
        self.log = MemoryLog()
        self.directory = Directory(SETTINGS, self.view, lambda: self.now, self.log)
        self.ended = set()
        self.send_heartbeats(0.0)

    def member(self, number, is_active=False, heard_at=0.0):
        return Member(
            f"front-{number}",
            1,
            f"10.0.0.{number + 1}",
            DOMAINS[number % 3],
            MemberState.READY,
            # Lower numbers come first in rank.
            2.0 - number / 100,
            is_active,
            heard_at,
        )

    def send_heartbeats(self, now):
        """Take a heartbeat of each member that runs."""
        self.now = now
        for number in range(1, self.count):
            if number not in self.ended:
                is_active = number // 3 < 2
                self.view.update(self.member(number, is_active, now + 1e-6))

    def named(self, domain="nadi"):
        """Return the numbers of the entries that a caller of a domain gets."""
        target = f"/v1/resolve?name=h&region=viti-levu&zone={domain}"
        response = run(self.directory.resolve, HTTPRequest("GET", target, {}, b""))
        addresses = orjson.loads(response.body)["addrs"]
        return [int(item.split(":")[0].split(".")[3]) - 1 for item in addresses]


class EndedEntriesTest(testtools.TestCase):
    """Guards against callers that are sent to entries that ended long ago."""

    def test_an_ended_standby_does_not_take_over_from_ended_active_entries(self):
        # In a large fleet a standby counts as live for 15 s. Numbers 1 and 4 are the
        # active entries of nadi, 7 is next in rank.
        fleet = _Fleet()
        for second in range(1, 20):
            fleet.send_heartbeats(float(second))
        self.assertEqual([1, 4], fleet.named())
        fleet.ended.add(7)
        for second in range(20, 25):
            fleet.send_heartbeats(float(second))
        fleet.ended.update((1, 4))
        for second in range(25, 40):
            fleet.send_heartbeats(float(second))
            for number in fleet.named():
                ended_at = {7: 19.0, 1: 24.0, 4: 24.0}.get(number)
                if ended_at is not None:
                    ended_for_s = second - ended_at
                    self.assertTrue(
                        ended_for_s < MAX_NAMED_AFTER_END_S, (number, ended_for_s)
                    )
        self.assertEqual([10, 13], fleet.named())
        # An entry that started again is named.
        fleet.ended.discard(7)
        fleet.send_heartbeats(40.0)
        self.assertEqual([7, 10], fleet.named())

    def _domain_without_active_entries(self, heard_at):
        """Return a fleet that heard the standbys of nadi at a time, at time 24."""
        fleet = _Fleet()
        fleet.ended.update(number for number in range(LARGE_FLEET) if number % 3 == 1)
        for number in fleet.ended - {1, 4}:
            fleet.view.update(fleet.member(number, heard_at=heard_at))
        for second in range(1, 25):
            fleet.send_heartbeats(float(second))
        return fleet

    def test_entries_of_other_domains_come_before_silent_ones(self):
        limit_s = max_named_age_s(SETTINGS.contact_s)
        fleet = self._domain_without_active_entries(24.0 - limit_s - 0.1)
        self.assertEqual({0, 2, 3, 5}, set(fleet.named()))
        fleet = self._domain_without_active_entries(24.0 - limit_s + 0.1)
        self.assertEqual([7, 10], fleet.named())

    def test_silent_entries_are_named_if_there_are_no_others(self):
        fleet = _Fleet()
        fleet.view.local_member.state = MemberState.LEAVING
        fleet.now = LARGE_FAILURE_TIMEOUT_S - 1.0
        self.assertEqual([7, 10], fleet.named())

    def test_an_entry_that_is_left_out_is_counted_and_logged_once(self):
        fleet = self._domain_without_active_entries(18.0)
        fleet.named()
        fleet.now += 0.2
        fleet.named()
        events = [item for item in fleet.log.events if item[0] == "entry_not_named"]
        expected = [{"member": f"front-{n}", "silent_ms": 6000} for n in (7, 10)]
        self.assertEqual(expected, [fields for _, fields in events])
        self.assertEqual(2, fleet.directory.counts["silent_left_out"])
        # Roles are as before, since shares of rates and of extra sends depend on them.
        active_members = fleet.directory.active_members(fleet.now)["nadi"]
        self.assertEqual(["front-7", "front-10"], [m.name for m in active_members])


class UnevenEntriesTest(testtools.TestCase):
    """The load: the strong entries of a domain stop in a rolling restart.

    Guards against callers that are sent to entries too weak for them, while strong
    entries of other domains have room.
    """

    def _named(self, zones_borne):
        document = settings_document(fault_tolerance={"zones": zones_borne})
        fleet = _Fleet(count=9)
        for number, member in fleet.view.members.items():
            member.cpu_capacity = 2.15 if int(number.split("-")[1]) < 6 else 0.36
        fleet.directory.settings = decode_settings(orjson.dumps(document))
        for number in (1, 4):
            del fleet.view.members[f"front-{number}"]
        fleet.directory.invalidate()
        return sorted(fleet.named("nadi"))

    def test_strong_entries_of_other_domains_are_named(self):
        self.assertEqual([0, 2, 3, 5], self._named(zones_borne=1))

    def test_elsewhere_the_domain_keeps_its_callers(self):
        self.assertEqual([7], self._named(zones_borne=0))
