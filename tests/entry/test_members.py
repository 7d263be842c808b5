"""Tests of the membership view, and of the selection of active members and readers."""

import testtools

from almondtide.entry.members import (
    ACTIVE_FAILURE_TIMEOUT_S,
    FAILURE_TIMEOUT_S,
    MEMBER_RETENTION_S,
    Member,
    MembershipView,
    MemberState,
    exclude_weak_members,
    select_active_members,
    store_reader_rank,
)

DOMAINS = ("lautoka", "nadi", "suva")


def _member(
    name,
    domain,
    last_heard_at=0.0,
    cpu_capacity=1.0,
    is_active=False,
    state=MemberState.READY,
    incarnation=1,
):
    return Member(
        name,
        incarnation,
        f"10.0.0.{len(name)}",
        domain,
        state,
        cpu_capacity,
        is_active,
        last_heard_at,
    )


def _fleet(per_domain=4):
    return [
        _member(f"{domain}-{number}", domain)
        for domain in DOMAINS
        for number in range(per_domain)
    ]


def _view(members, local_index=0):
    view = MembershipView(members[local_index])
    for member in members:
        view.update(member)
    return view


def _names(active_members):
    return {
        domain: [member.name for member in members]
        for domain, members in active_members.items()
    }


class ActiveMembersTest(testtools.TestCase):
    """Guards against daemons that name different entries to callers."""

    def test_all_daemons_select_the_same_members(self):
        fleet = _fleet()
        expected = _names(select_active_members(fleet))
        self.assertEqual(expected, _names(select_active_members(fleet[::-1])))
        self.assertEqual({2}, {len(names) for names in expected.values()})

    def test_members_with_more_capacity_are_preferred(self):
        fleet = _fleet()
        fleet[2] = _member("lautoka-2", "lautoka", cpu_capacity=2.15)
        self.assertEqual("lautoka-2", select_active_members(fleet)["lautoka"][0].name)

    def test_a_failed_active_member_is_replaced_and_the_others_stay(self):
        fleet = _fleet()
        before = select_active_members(fleet)
        failed = before["nadi"][0]
        after = select_active_members(
            [member for member in fleet if member is not failed]
        )
        self.assertEqual(before["lautoka"], after["lautoka"])
        self.assertIn(before["nadi"][1], after["nadi"])
        self.assertEqual(2, len(after["nadi"]))

    def test_the_last_live_member_is_active(self):
        fleet = _fleet()
        self.assertEqual(
            {"suva": ["suva-3"]}, _names(select_active_members([fleet[-1]]))
        )


class UnevenMembersTest(testtools.TestCase):
    """The load: the strong members of a failure domain stop in a rolling restart.

    Guards against callers that are sent to members which are too weak for a query over
    all shards, while strong members of other domains have room.
    """

    def _uneven_fleet(self):
        return [
            _member(f"{domain}-{n}", domain, cpu_capacity=2.15 if n < 2 else 0.361)
            for domain in DOMAINS
            for n in range(6)
        ]

    def _select(self, members, spans_domains=True):
        return select_active_members(members, spans_domains=spans_domains)

    def _without(self, *names):
        return [m for m in self._uneven_fleet() if m.name not in names]

    def test_a_domain_without_strong_members_has_no_active_ones(self):
        members = self._without("suva-0", "suva-1")
        self.assertEqual({"lautoka", "nadi"}, set(self._select(members)))
        # Elsewhere the weak members of the domain take over.
        weak = self._select(members, spans_domains=False)["suva"]
        self.assertEqual({0.361}, {member.cpu_capacity for member in weak})

    def test_the_last_strong_member_of_a_domain_is_not_paired_with_a_weak_one(self):
        names = _names(self._select(self._without("suva-0")))
        self.assertEqual(["suva-1"], names["suva"])

    def test_weak_members_take_over_when_too_few_strong_ones_are_left(self):
        gone = ("suva-0", "suva-1", "nadi-0", "nadi-1")
        names = _names(self._select(self._without(*gone)))
        self.assertEqual({2}, {len(members) for members in names.values()})
        self.assertEqual(set(DOMAINS), set(names))

    def test_equal_members_are_never_weak(self):
        fleet = _fleet()
        self.assertEqual(fleet, exclude_weak_members(fleet))


class MembershipViewTest(testtools.TestCase):
    """Guards against failed members that count as live, and the reverse."""

    def test_a_silent_active_member_fails_before_a_silent_standby(self):
        members = _fleet(2)
        members[1].is_active = True
        view = _view(members)
        between = (ACTIVE_FAILURE_TIMEOUT_S + FAILURE_TIMEOUT_S) / 2
        alive_members = {member.name for member in view.alive_members(between)}
        self.assertNotIn("lautoka-1", alive_members)
        self.assertIn("nadi-0", alive_members)
        self.assertEqual([members[0]], view.alive_members(FAILURE_TIMEOUT_S + 0.1))

    def test_older_information_does_not_replace_newer(self):
        view = _view(_fleet(1))
        self.assertTrue(view.update(_member("nadi-0", "nadi", 5.0, incarnation=2)))
        self.assertFalse(view.update(_member("nadi-0", "nadi", 4.0, incarnation=1)))
        self.assertEqual(2, view.members["nadi-0"].incarnation)

    def test_information_about_the_local_member_is_ignored(self):
        members = _fleet(1)
        view = _view(members)
        view.update(_member("lautoka-0", "lautoka", 9.0, state=MemberState.LEAVING))
        self.assertIs(members[0], view.local_member)
        self.assertEqual(MemberState.READY, view.local_member.state)

    def test_only_ready_members_serve(self):
        view = _view(_fleet(1))
        view.update(_member("nadi-0", "nadi", 1.0, state=MemberState.LEAVING))
        view.update(_member("suva-0", "suva", 1.0, state=MemberState.NOT_READY))
        self.assertEqual(["lautoka-0"], [m.name for m in view.ready_members(1.0)])

    def test_members_that_failed_long_ago_are_removed(self):
        view = _view(_fleet(1))
        self.assertEqual([], view.remove_expired(MEMBER_RETENTION_S - 1))
        self.assertEqual(
            {"nadi-0", "suva-0"}, set(view.remove_expired(MEMBER_RETENTION_S + 1))
        )


class StoreReaderRankTest(testtools.TestCase):
    """Guards against a store that all daemons read at once, or none."""

    def test_one_of_each_rank(self):
        fleet = _fleet()
        ranks = [
            store_reader_rank(_view(fleet, local_index), 0.0)
            for local_index in range(len(fleet))
        ]
        self.assertEqual(list(range(len(fleet))), sorted(ranks))

    def test_first_ranks_lie_in_different_domains(self):
        fleet = _fleet()
        by_rank = {
            store_reader_rank(_view(fleet, local_index), 0.0): fleet[local_index].domain
            for local_index in range(len(fleet))
        }
        self.assertEqual(3, len({by_rank[0], by_rank[1], by_rank[2]}))

    def test_one_of_each_rank_while_the_whole_fleet_starts(self):
        # The first start, before the store contains a configuration.
        fleet = _fleet()
        for member in fleet:
            member.state = MemberState.NOT_READY
        ranks = [
            store_reader_rank(_view(fleet, local_index), 0.0)
            for local_index in range(len(fleet))
        ]
        self.assertEqual(list(range(len(fleet))), sorted(ranks))

    def test_starting_daemons_do_not_read_while_others_are_ready(self):
        fleet = _fleet()
        fleet[0].state = MemberState.NOT_READY
        fleet[5].state = MemberState.LEAVING
        ranks = [
            store_reader_rank(_view(fleet, local_index), 0.0)
            for local_index in range(len(fleet))
        ]
        self.assertEqual(len(fleet) - 2, len({*ranks[1:5], *ranks[6:]}))

    def test_a_daemon_that_is_alone_reads(self):
        view = MembershipView(_member("nadi-0", "nadi", state=MemberState.NOT_READY))
        self.assertEqual(0, store_reader_rank(view, 0.0))
