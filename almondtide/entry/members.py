"""The daemons of the fleet, who carries callers, and who reads the store."""

import enum
import hashlib

__all__ = ["Member", "MemberState", "View", "choose_carriers", "reading_rank"]

# Silence after which a daemon counts as dead, in s. Carriers speak more often. Where
# the fleet is large, word of a daemon comes over others and takes longer.
CARRIER_SILENCE_S = 1.1
LARGE_CARRIER_SILENCE_S = 2.0
SILENCE_S = 3.0
LARGE_SILENCE_S = 15.0
# Members above which a fleet counts as large: not all of them speak to each other.
LARGE_FLEET = 24
# Silent members are remembered for this time, in s, and asked again now and then.
FORGET_S = 60.0
# Entries per failure domain that callers are sent to.
CARRIERS_PER_DOMAIN = 2


class MemberState(enum.IntEnum):
    """Life of a daemon."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class Member:
    """One daemon as it was last heard."""

    __slots__ = (
        "carries",
        "domain",
        "heard_at",
        "host",
        "incarnation",
        "name",
        "order",
        "state",
        "strength",
    )

    def __init__(
        self, name, incarnation, host, domain, state, strength, carries, heard_at
    ):
        digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
        # Orders members equally everywhere, strong ones first.
        self.order = (-round(strength, 2), digest)
        self.name = name
        self.incarnation = incarnation
        self.host = host
        self.domain = domain
        self.state = state
        self.strength = strength
        self.carries = carries
        self.heard_at = heard_at


class View:
    """All daemons that this one has heard of; ``me`` is its own ``Member``."""

    __slots__ = ("me", "members")

    def __init__(self, me):
        self.me = me
        self.members = {}

    @property
    def is_large(self):
        """Whether the fleet is too large for all to speak to each other."""
        return len(self.members) > LARGE_FLEET

    def hear(self, member):
        """Take newer evidence of a daemon; returns whether its state is news."""
        if member.name == self.me.name:
            return False
        known = self.members.get(member.name)
        if known is not None and known.heard_at >= member.heard_at:
            return False
        self.members[member.name] = member
        return (
            known is None
            or known.incarnation != member.incarnation
            or known.state != member.state
            or known.carries != member.carries
        )

    def is_alive(self, member, now):
        """Return whether a member was heard lately."""
        if member is self.me:
            return True
        if self.is_large:
            limit_s = LARGE_CARRIER_SILENCE_S if member.carries else LARGE_SILENCE_S
        else:
            limit_s = CARRIER_SILENCE_S if member.carries else SILENCE_S
        return now - member.heard_at <= limit_s

    def alive(self, now):
        """Return the members that were heard lately, this daemon included."""
        return [
            member
            for member in [self.me, *self.members.values()]
            if self.is_alive(member, now)
        ]

    def ready(self, now):
        """Return the living members that serve callers."""
        return [
            member for member in self.alive(now) if member.state is MemberState.READY
        ]

    def forget(self, now):
        """Drop members that were silent for long; returns their names."""
        gone = [
            name
            for name, member in self.members.items()
            if now - member.heard_at > FORGET_S
        ]
        for name in gone:
            del self.members[name]
        return gone


def choose_carriers(members, per_domain=CARRIERS_PER_DOMAIN):
    """Return a dict from failure domain to the members that carry callers.

    All daemons with the same view choose the same, without asking each other.
    """
    carriers = {}
    for member in sorted(members, key=lambda member: member.order):
        chosen = carriers.setdefault(member.domain, [])
        if len(chosen) < per_domain:
            chosen.append(member)
    return carriers


def reading_rank(view, now):
    """Return the place of this daemon among those that may read the store.

    The first reads, the others take over by rank when its news stay out. The
    first ranks lie in different failure domains where there are several.
    """
    # Before any of them serves, those that start share the reading.
    candidates = view.ready(now) or [
        member for member in view.alive(now) if member.state is MemberState.STARTING
    ]
    if view.me not in candidates:
        candidates.append(view.me)
    carriers = choose_carriers(candidates)
    rounds = {}
    for members in carriers.values():
        for place, member in enumerate(members):
            rounds[member.name] = place
    ordered = sorted(
        candidates, key=lambda item: (rounds.get(item.name, 99), item.order)
    )
    return ordered.index(view.me)
