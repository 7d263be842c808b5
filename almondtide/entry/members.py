"""The daemons of the fleet, who carries callers, and who reads the store."""

import enum
import hashlib

__all__ = [
    "Member",
    "MemberState",
    "MembershipView",
    "select_active_members",
    "store_reader_rank",
]

# Silence after which a daemon counts as dead, in s. Carriers speak more often. Where
# the fleet is large, word of a daemon comes over others and takes longer.
ACTIVE_FAILURE_TIMEOUT_S = 1.1
LARGE_ACTIVE_FAILURE_TIMEOUT_S = 2.0
FAILURE_TIMEOUT_S = 3.0
LARGE_FAILURE_TIMEOUT_S = 15.0
# Members above which a fleet counts as large: not all of them speak to each other.
LARGE_FLEET_MEMBERS = 24
# Silent members are remembered for this time, in s, and asked again now and then.
MEMBER_RETENTION_S = 60.0
# Entries per failure domain that callers are sent to.
ACTIVE_PER_DOMAIN = 2


class MemberState(enum.IntEnum):
    """Life of a daemon."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class Member:
    """One daemon as it was last heard."""

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
        # Orders members equally everywhere, strong ones first.
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

    __slots__ = ("local_member", "members")

    def __init__(self, local_member):
        self.local_member = local_member
        self.members = {}

    @property
    def is_large(self):
        """Whether the fleet is too large for all to speak to each other."""
        return len(self.members) > LARGE_FLEET_MEMBERS

    def update(self, member):
        """Take newer evidence of a daemon; returns whether its state is news."""
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
        """Return whether a member was heard lately."""
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
        """Return the members that were heard lately, this daemon included."""
        return [
            member
            for member in [self.local_member, *self.members.values()]
            if self.is_alive(member, now)
        ]

    def ready_members(self, now):
        """Return the living members that serve callers."""
        return [
            member
            for member in self.alive_members(now)
            if member.state is MemberState.READY
        ]

    def remove_expired(self, now):
        """Drop members that were silent for long; returns their names."""
        expired_names = [
            name
            for name, member in self.members.items()
            if now - member.last_heard_at > MEMBER_RETENTION_S
        ]
        for name in expired_names:
            del self.members[name]
        return expired_names


def select_active_members(members, per_domain=ACTIVE_PER_DOMAIN):
    """Return a dict from failure domain to the members that carry callers.

    All daemons with the same view choose the same, without asking each other.
    """
    active_members = {}
    for member in sorted(members, key=lambda member: member.sort_key):
        chosen = active_members.setdefault(member.domain, [])
        if len(chosen) < per_domain:
            chosen.append(member)
    return active_members


def store_reader_rank(view, now):
    """Return the place of this daemon among those that may read the store.

    The first reads, the others take over by rank when its news stay out. The
    first ranks lie in different failure domains where there are several.
    """
    # Before any of them serves, those that start share the reading.
    candidates = view.ready_members(now) or [
        member
        for member in view.alive_members(now)
        if member.state is MemberState.STARTING
    ]
    if view.local_member not in candidates:
        candidates.append(view.local_member)
    active_members = select_active_members(candidates)
    places = {}
    for members in active_members.values():
        for place, member in enumerate(members):
            places[member.name] = place
    ordered = sorted(
        candidates, key=lambda item: (places.get(item.name, 99), item.sort_key)
    )
    return ordered.index(view.local_member)
