"""Model of the entries of a fleet that send to one cold server, for worst cases.

Membership, heartbeats and shares are the real ones, in steps of virtual time; there are
no requests, queues or servers around them.
"""

import bisect

from almondtide.entry.members import (
    ACTIVE_PER_DOMAIN,
    Member,
    MembershipView,
    MemberState,
    select_active_members,
)
from almondtide.entry.policy.rate_limits import RateShares, service_key
from almondtide.entry.upstreams import UpstreamTable
from almondtide.model.published import Server, ServiceInfo

__all__ = ["WARMUP_OVERSHOOT", "WARMUP_SLACK", "most_in_a_second", "simulate_entries"]

# Bounds of requests to cold servers, as ``WarmupBounds`` has them.
WARMUP_OVERSHOOT = 1.5
WARMUP_SLACK = 5
DOMAINS = ("lautoka", "nadi", "suva")
STEP_S = 0.02
# Steps between two heartbeats of an entry, and between two updates of its role.
HEARTBEAT_STEPS = 15
ROLE_STEPS = 12
# Steps before the first request, in which the entries learn of each other.
FIRST_STEP = -100


def _member(name, domain, cores, is_active, at):
    return Member(name, 1, "10.0.0.1", domain, MemberState.READY, cores, is_active, at)


def most_in_a_second(times):
    """Return the largest number of times within one second."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_right(times, at + 1.0) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )


class _ModelEntry:
    """The membership and the shares of one entry, which sends whenever it may."""

    def __init__(self, number, rate, started_at):
        self.name = f"front-{number}"
        # The first six have the most capacity, so that they are active.
        cores = 2.0 if number < 6 else 1.0
        self.local = _member(self.name, DOMAINS[number % 3], cores, False, started_at)
        self.view = MembershipView(self.local)
        self.started_at = started_at
        self.table = UpstreamTable(self.local.domain)
        self.table.rate_shares = RateShares(self.name)
        self.table.warmup_bounds.configure(
            WARMUP_OVERSHOOT, WARMUP_SLACK, [ServiceInfo("a", "/", 100, 1e9, rate)]
        )
        self.table.apply(
            Server("i-1", "a", ("127.0.0.1", 1), DOMAINS[0], 3, cold=True), now=0.0
        )
        self.upstream = self.table.get("i-1")

    def update_role(self, now):
        chosen = select_active_members(self.view.ready_members(now))
        members = [member for group in chosen.values() for member in group]
        self.local.is_active = self.name in [member.name for member in members]
        alive = self.view.alive_members(now)
        self.table.rate_shares.note_active(
            members + [member for member in alive if member.is_active],
            now,
            now - self.started_at,
            ACTIVE_PER_DOMAIN * len(DOMAINS),
            True,
        )

    def send_heartbeat(self, now, peers):
        self.local.last_heard_at = now
        demand = self.table.rate_shares.local_demand("a", now)
        for peer in peers:
            local = self.local
            peer.view.update(
                _member(
                    local.name, local.domain, local.cpu_capacity, local.is_active, now
                )
            )
            peer.table.rate_shares.note_report(
                self.name, {service_key("a"): demand}, now
            )

    def send(self, now):
        """Send as many requests as allowed; return their number."""
        count = 0
        while self.table.rate_room_at(self.upstream, now) <= now:
            self.upstream.start(object(), now, 0.01)
            count += 1
        return count


def simulate_entries(
    rate, seconds, count=9, runs=None, hears=None, wants=None, starts=None
):
    """Let entries send to one cold server; return the times of all requests.

    Each function gets the number of an entry and the time: ``runs`` tells whether it
    runs, ``wants`` whether it has requests. ``hears(a, b, now)`` tells whether entry a
    gets the heartbeats of b. ``starts`` maps entries to the time of their start.
    """
    starts = starts or {}
    entries = [
        _ModelEntry(number, rate, starts.get(number, -60.0)) for number in range(count)
    ]
    times = []
    for tick in range(FIRST_STEP, int(seconds / STEP_S)):
        now = tick * STEP_S
        present = [e for e in entries if e.started_at <= now]
        for number, entry in enumerate(entries):
            if entry not in present or (runs and not runs(number, now)):
                continue
            if (tick + number) % HEARTBEAT_STEPS == 0:
                entry.send_heartbeat(
                    now,
                    [
                        peer
                        for peer in present
                        if peer is not entry
                        and (hears is None or hears(entries.index(peer), number, now))
                    ],
                )
            if (tick + number) % ROLE_STEPS == 0:
                entry.update_role(now)
            if now < 0.0 or (wants and not wants(number, now)):
                continue
            entry.table.rate_shares.count("a", now)
            times += [now] * entry.send(now)
    return times
