"""Membership of the fleet: live and active members, and who reads the store.

Callers are sent to the active members. The others are standbys: they serve requests
too, and take over when an active member fails. Log fields and metrics say that an
active member "carries".
"""

import enum
import hashlib

__all__ = [
    "RELAY_ABILITY",
    "Member",
    "MemberState",
    "MembershipView",
    "exclude_weak_members",
    "select_active_members",
    "store_reader_rank",
]

# Time without a heartbeat after which a member counts as failed, in s. Active members
# send heartbeats more often. In a large fleet most heartbeats are relayed by other
# members, which takes longer.
ACTIVE_FAILURE_TIMEOUT_S = 1.1
LARGE_ACTIVE_FAILURE_TIMEOUT_S = 2.0
FAILURE_TIMEOUT_S = 3.0
LARGE_FAILURE_TIMEOUT_S = 15.0
# A fleet with more members is large: heartbeats no longer go from each to all.
LARGE_FLEET_MEMBERS = 24
# Failed members are kept for this time, in s, and probed from time to time.
MEMBER_RETENTION_S = 60.0
# Ability of a member: it takes requests that another entry hands to it.
RELAY_ABILITY = "relay"
# Active members per failure domain.
ACTIVE_PER_DOMAIN = 2
# Members with less than this fraction of the strongest member's capacity are weak. A
# query over 36 shards takes some 20 ms of a whole core, so that one with a third of a
# core answers few queries within their objective.
WEAK_CAPACITY_FRACTION = 0.5


class MemberState(enum.IntEnum):
    """Lifecycle state of a member.

    One that is not ready has started just now, or has lost its links to servers.
    """

    NOT_READY = 0
    READY = 1
    LEAVING = 2


class Member:
    """The last known state of one daemon of the fleet.

    ``incarnation`` is a random number that differs after a restart, ``cpu_capacity``
    the member's share of a core scaled by its speed, and ``last_heard_at`` the time of
    its last known heartbeat, in seconds on the local clock.
    """

    __slots__ = (
        "cpu_capacity",
        "domain",
        "host",
        "incarnation",
        "is_active",
        "last_heard_at",
        "name",
        "sort_key",
        "state",
    )

    def __init__(
        self,
        name,
        incarnation,
        host,
        domain,
        state,
        cpu_capacity,
        is_active,
        last_heard_at,
    ):
        digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
        # All daemons sort members equally: by falling capacity, then by a hash of the
        # name.
        self.sort_key = (-round(cpu_capacity, 2), digest)
        self.name = name
        self.incarnation = incarnation
        self.host = host
        self.domain = domain
        self.state = state
        self.cpu_capacity = cpu_capacity
        self.is_active = is_active
        self.last_heard_at = last_heard_at


class MembershipView:
    """The members known to one daemon; ``local_member`` is the daemon itself."""

    __slots__ = ("_abilities", "local_member", "members")

    def __init__(self, local_member):
        self.local_member = local_member
        self.members = {}
        # Name of a member -> (incarnation, abilities).
        self._abilities = {}

    def note_abilities(self, member, abilities):
        """Record the abilities that a member's own heartbeat names.

        Return whether they are new. A late heartbeat of an earlier incarnation changes
        nothing.
        """
        known = self.members.get(member.name)
        if known is None or known.incarnation != member.incarnation:
            return False
        found = (member.incarnation, frozenset(abilities))
        is_new = self._abilities.get(member.name) != found
        self._abilities[member.name] = found
        return is_new

    def has_ability(self, member, ability):
        """Return whether a member has named an ability.

        A member that restarted may run another build, so it has to name it again.
        """
        incarnation, abilities = self._abilities.get(member.name, (None, ()))
        return incarnation == member.incarnation and ability in abilities

    @property
    def is_large(self):
        """Whether the fleet is too large for heartbeats from each member to all."""
        return len(self.members) > LARGE_FLEET_MEMBERS

    def update(self, member):
        """Store newer information on a member; returns whether its state changed."""
        if member.name == self.local_member.name:
            return False
        known = self.members.get(member.name)
        if known is not None and known.last_heard_at >= member.last_heard_at:
            return False
        self.members[member.name] = member
        return (
            known is None
            or known.incarnation != member.incarnation
            or known.state != member.state
            or known.is_active != member.is_active
        )

    def is_alive(self, member, now):
        """Return whether the member's last heartbeat is recent."""
        if member is self.local_member:
            return True
        if self.is_large:
            limit_s = (
                LARGE_ACTIVE_FAILURE_TIMEOUT_S
                if member.is_active
                else LARGE_FAILURE_TIMEOUT_S
            )
        else:
            limit_s = (
                ACTIVE_FAILURE_TIMEOUT_S if member.is_active else FAILURE_TIMEOUT_S
            )
        return now - member.last_heard_at <= limit_s

    def alive_members(self, now):
        """Return the members with a recent heartbeat, including this daemon."""
        return [
            member
            for member in [self.local_member, *self.members.values()]
            if self.is_alive(member, now)
        ]

    def ready_members(self, now):
        """Return the live members that serve callers."""
        return [
            member
            for member in self.alive_members(now)
            if member.state is MemberState.READY
        ]

    def remove_expired(self, now):
        """Remove members that failed long ago; returns their names."""
        expired_names = [
            name
            for name, member in self.members.items()
            if now - member.last_heard_at > MEMBER_RETENTION_S
        ]
        for name in expired_names:
            del self.members[name]
            self._abilities.pop(name, None)
        return expired_names


def exclude_weak_members(members):
    """Return the members without the weak ones, if enough strong ones are left.

    There must be as many strong members as failure domains. Answers the load pattern
    in which the strong members of one domain stop while those of others go on: callers
    of that domain are served better by other domains than by its weak members.
    """
    members = list(members)
    strongest = max((member.cpu_capacity for member in members), default=0.0)
    strong = [
        member
        for member in members
        if member.cpu_capacity >= WEAK_CAPACITY_FRACTION * strongest
    ]
    domains = {member.domain for member in members}
    return strong if len(strong) >= len(domains) else members


def select_active_members(members, per_domain=ACTIVE_PER_DOMAIN, spans_domains=False):
    """Return a dict from failure domain to its active members.

    Daemons with equal views select the same members without coordination. With
    ``spans_domains`` a domain may have none, see ``exclude_weak_members``.
    """
    active_members = {}
    if spans_domains:
        members = exclude_weak_members(members)
    for member in sorted(members, key=lambda member: member.sort_key):
        chosen = active_members.setdefault(member.domain, [])
        if len(chosen) < per_domain:
            chosen.append(member)
    return active_members


def store_reader_rank(view, now):
    """Return the rank of this daemon among the readers of the store.

    The daemon of rank 0 reads. The others take over in the order of their ranks when
    its updates are late. The first ranks are in different failure domains, if there
    are several.
    """
    # If no member is ready yet, those that start are the candidates.
    candidates = view.ready_members(now) or [
        member
        for member in view.alive_members(now)
        if member.state is MemberState.NOT_READY
    ]
    if view.local_member not in candidates:
        candidates.append(view.local_member)
    active_members = select_active_members(candidates)
    places = {}
    for members in active_members.values():
        for place, member in enumerate(members):
            places[member.name] = place
    # Members that are not active follow after all active ones.
    ordered = sorted(
        candidates, key=lambda item: (places.get(item.name, 99), item.sort_key)
    )
    return ordered.index(view.local_member)
