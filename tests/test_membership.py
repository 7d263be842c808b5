"""Tests of the view of the fleet."""

import curio
import testtools
from testtools.matchers import Contains, Not

from almondtide.clock import MemoryClock
from almondtide.membership import CONTACT_TIMEOUT_S, Membership, parse_instances
from tests.local_fleet import make_entry


class MembershipTest(testtools.TestCase):
    """Guards against routing by an outdated list or by reports of third parties."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryClock()
        self.membership = Membership("d0", self.clock)
        self.list_all()

    def set_list(self, *entries):
        members = parse_instances({"instances": list(entries)})
        curio.run(self.membership.update_list, members)

    def list_all(self, **states):
        names = ("d0", "d1", "d2")
        self.set_list(*(make_entry(name, states.get(name, "live")) for name in names))

    def notify(self, event, *args):
        return curio.run(getattr(self.membership, event), *args)

    def live_instances(self):
        view = self.membership.view()
        return sorted(member.instance for member in view.live_entries())

    def test_list_does_not_bring_back_a_leaving_daemon(self):
        self.notify("peer_seen", "d1", "a")
        self.notify("peer_leaving", "d1", "a")
        self.list_all()
        self.assertThat(self.live_instances(), Not(Contains("d1")))
        # Later messages of the same incarnation don't bring it back either.
        self.notify("peer_seen", "d1", "a")
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_restarted_daemon_is_live_once_it_is_ready(self):
        """A daemon that is still starting refuses callers."""
        self.notify("peer_leaving", "d1", "a")
        self.notify("peer_lost", "d1")
        self.notify("peer_seen", "d1", "b")
        self.notify("peer_seen", "d1", "b", None, False)
        self.assertThat(self.live_instances(), Not(Contains("d1")))
        self.assertEqual(["d1"], self.membership.unconfirmed_instances())
        self.notify("peer_seen", "d1", "b", None, True)
        self.assertThat(self.live_instances(), Contains("d1"))
        # A daemon that checks its documents after a pause isn't ready, but it isn't
        # starting either.
        self.notify("peer_seen", "d1", "b", None, False)
        self.assertThat(self.live_instances(), Contains("d1"))

    def test_restart_overrides_a_list_that_still_says_leaving(self):
        self.notify("peer_seen", "d1", "a")
        self.list_all(d1="leaving")
        self.assertThat(self.live_instances(), Not(Contains("d1")))
        self.notify("peer_seen", "d1", "b", None, True)
        self.assertThat(self.live_instances(), Contains("d1"))
        self.list_all(d1="leaving")
        self.assertThat(self.live_instances(), Contains("d1"))
        # After a list that states it as live, "leaving" counts again.
        self.list_all()
        self.list_all(d1="leaving")
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_first_message_is_not_a_restart(self):
        """A daemon that just started must not take leaving peers as live."""
        self.list_all(d1="leaving")
        self.notify("peer_seen", "d1", "a")
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_messages_of_an_ended_incarnation_are_ignored(self):
        self.notify("peer_seen", "d1", "a")
        self.notify("peer_seen", "d1", "b", None, True)
        self.assertFalse(self.notify("peer_seen", "d1", "a"))
        self.notify("peer_leaving", "d1", "a")
        self.assertThat(self.live_instances(), Contains("d1"))
        self.assertEqual("b", self.membership.incarnation("d1"))

    def test_daemon_in_contact_stays_without_being_listed(self):
        self.notify("peer_seen", "d1", "a")
        self.set_list(make_entry("d0"), make_entry("d2"))
        self.assertThat(self.live_instances(), Contains("d1"))
        self.assertEqual(["d1"], self.membership.unconfirmed_instances())
        self.clock.advance(CONTACT_TIMEOUT_S / 2)
        self.notify("peer_seen", "d1", "a")
        self.clock.advance(CONTACT_TIMEOUT_S - 1)
        self.notify("expire")
        self.assertThat(self.live_instances(), Contains("d1"))
        self.clock.advance(2)
        self.notify("expire")
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_delisted_daemon_without_contact_is_removed(self):
        self.set_list(make_entry("d0"), make_entry("d2"))
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_unlisted_daemon_is_reachable_but_not_ranked(self):
        """Only the list tells which processes belong to the fleet."""
        self.notify("peer_seen", "d7", "a", ("10.0.0.7", 2))
        self.assertThat(self.live_instances(), Not(Contains("d7")))
        self.assertThat(
            self.membership.view().ranked_instances("s"), Not(Contains("d7"))
        )
        self.assertEqual(("10.0.0.7", 2), self.membership.peer_address("d7"))

    def test_suspicion_ends_with_contact_or_time(self):
        self.notify("peer_suspected", "d1")
        self.assertThat(self.live_instances(), Not(Contains("d1")))
        self.notify("peer_seen", "d1", "a")
        self.assertThat(self.live_instances(), Contains("d1"))
        self.notify("peer_lost", "d1")
        self.clock.advance(2.1)
        self.notify("expire")
        self.assertThat(self.live_instances(), Contains("d1"))

    def test_repeated_suspicion_lasts_longer(self):
        """A daemon that is gone but still listed must cost few attempts."""
        self.notify("peer_lost", "d1")
        self.clock.advance(2.1)
        self.notify("expire")
        self.notify("peer_lost", "d1")
        self.clock.advance(2.1)
        self.notify("expire")
        self.assertThat(self.live_instances(), Not(Contains("d1")))

    def test_suspicion_of_unknown_names_is_ignored(self):
        """Seeds are called by their address, which is not a member."""
        self.notify("peer_lost", "seed/10.0.0.9:2")
        self.assertEqual([], self.membership.unconfirmed_instances())


class ParseInstancesTest(testtools.TestCase):
    """Guards against an invalid list that makes the daemon fail."""

    def test_bad_entries_are_named(self):
        bad = [
            [{"id": "a"}],
            [make_entry("d0"), make_entry("d0")],
            [{**make_entry("d0"), "role": "other"}],
            [{**make_entry("d0"), "id": 7}],
            [{**make_entry("d0"), "address": "nowhere"}],
            [{**make_entry("d0"), "peer": None}],
            ["x"],
        ]
        for items in bad:
            error = self.assertRaises(ValueError, parse_instances, {"instances": items})
            self.assertIn("$.instances[", str(error))


class CellTest(testtools.TestCase):
    """Guards against one message for each service of a query."""

    def test_services_of_a_cell_have_the_same_ranks(self):
        membership = Membership("d0", MemoryClock())
        members = parse_instances(
            {"instances": [make_entry(f"d{n}") for n in range(9)]}
        )
        cells = {f"advisory-{n}": f"advisory-{n - n % 4}" for n in range(12)}
        curio.run(membership.update_list, members)
        curio.run(membership.set_cells, cells)
        view = membership.view()
        ranks = [tuple(view.ranked_instances(f"advisory-{n}")) for n in range(12)]
        self.assertEqual(3, len(set(ranks)))
        self.assertEqual(1, len(set(ranks[4:8])))
