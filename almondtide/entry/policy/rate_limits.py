"""Rates of requests that servers take from all entries together.

Each entry uses the part of an announced rate that its demand has in the demand of all
entries for the service; members tell each other theirs in heartbeats. Answers the load
pattern in which several entries send to a server that takes less than usual: a bound
within one entry cannot hold the total, and equal parts are lost where load is uneven.

The rate of a cold server is given by the configuration and must hold from its first
second. Answers the load pattern in which all entries turn to a server that has just
started, while some of them are cut off, frozen or new: every entry counts all entries
that were active lately, so that parts that are computed from different knowledge still
add up to the bound.
"""

import math
import zlib

from ...rendezvous import score

__all__ = [
    "DemandMeter",
    "RateLimit",
    "RateShares",
    "WarmupBounds",
    "service_key",
    "share_of_rate",
]

# Time constant of the measured demand for a service, in s.
DEMAND_WINDOW_S = 2.0
# Demand of an entry that has just begun to measure, and the least one, in requests a
# second.
INITIAL_DEMAND_PER_S = 0.5
MIN_DEMAND_PER_S = 0.01
# A part of a rate below this, in requests a second, is not given to an entry. Fewer
# entries share a low rate, since each may save up a whole request.
MIN_SHARE_PER_S = 0.5
# Entries whose demand is below this fraction of the largest get no part of a rate that
# is too low for all.
MIN_DEMAND_FRACTION = 0.25
# Rate at which a server that announces a lower one gets requests, in requests a second.
# Without replies nobody would learn that the limit is over.
MIN_RATE_PER_S = 0.5
# Unused parts of a rate are saved for this long, in s, and at least for one request.
BURST_S = 0.75
# How long a part of a rate is used until it is computed again, in s.
SHARE_LIFETIME_S = 0.1
# The demand of a member counts for this long after it was reported, in s. A member
# that was lost may only be cut off from this one and still send.
REPORT_LIFETIME_S = 3.0
# An entry without a part of a rate sends one request this long after the newest reply
# that stated it, in s, to see whether the limit is over.
MAX_UNCONFIRMED_S = 15.0
# An entry keeps its part of the rate of a cold server for this long after it was last
# known as active, in s: it may be cut off or frozen, and callers may still use it.
ENTITLED_S = 20.0
# The rate of a cold server is divided by demand only while the demand of every entry
# was reported within this time, in s, and equally otherwise.
FRESH_REPORT_S = 1.0
# Largest part of an entry as a multiple of an equal one, and how much it may grow
# beyond an equal one, in equal parts a second. An entry whose heartbeats are lost in
# one direction goes on dividing by demand while the others divide equally, and an
# entry knows the growth of its own demand before that of the others.
MAX_SHARE_FACTOR = 1.5
SHARE_GROWTH_PER_S = 0.2
# A request to a cold server is written within this time after it was counted, in s, or
# is counted again.
WRITE_WITHIN_S = 0.25


def service_key(service):
    """Return the 32-bit key of a service in reports of demand."""
    return zlib.crc32(service.encode())


def share_of_rate(rate, key, local_name, demands):
    """Return how many requests a second an entry may send, of an announced ``rate``.

    ``demands`` holds the demand of each entry in requests a second, that of
    ``local_name`` included. ``key`` names the server. Entries with equal demands and
    names compute parts that add up to the rate.

    >>> share_of_rate(12.0, "i-1", "a", {"a": 10.0, "b": 20.0})
    4.0
    >>> demands = {"a": 5.0, "b": 5.0, "c": 5.0}
    >>> sum(share_of_rate(1.0, "i-1", name, demands) for name in demands)
    1.0
    """
    rate = max(rate, MIN_RATE_PER_S)
    count = max(1, int(rate / MIN_SHARE_PER_S))
    if len(demands) > count:
        least = MIN_DEMAND_FRACTION * max(demands.values())
        names = [name for name, demand in demands.items() if demand >= least]
        names.sort(key=lambda name: score(key, name), reverse=True)
        demands = {name: demands[name] for name in names[:count]}
    if local_name not in demands:
        return 0.0
    return rate * demands[local_name] / sum(demands.values())


class WarmupBounds:
    """The rates that cold servers tolerate, by the configuration of their services.

    All entries together may send ``overshoot`` times the rate and ``slack`` requests
    more in a second. ``services`` maps the names of services with such a rate to their
    ``ServiceInfo``. What the store says of servers was last confirmed at
    ``confirmed_at``.
    """

    __slots__ = ("confirmed_at", "overshoot", "services", "slack")

    def __init__(self):
        self.overshoot = None
        self.slack = None
        self.services = {}
        self.confirmed_at = -math.inf

    def configure(self, overshoot, slack, services):
        """Set the bounds, None without them, and the services (``ServiceInfo``)."""
        self.overshoot = overshoot
        self.slack = slack
        self.services = {}
        if overshoot is not None and slack is not None:
            self.services = {
                service.name: service for service in services if service.warmup_per_s
            }

    def max_entries(self, rate):
        """Return how many entries may send to a cold server.

        Each may have saved one request, and requests that were counted up to
        ``WRITE_WITHIN_S`` before a second may be written in it.

        >>> bounds = WarmupBounds()
        >>> bounds.configure(1.5, 5, ())
        >>> bounds.max_entries(1.0), bounds.max_entries(4.0), bounds.max_entries(40.0)
        (2, 6, 15)
        """
        free = self.slack + (self.overshoot - 1.0 - WRITE_WITHIN_S) * rate
        return max(1, min(int(free), int(rate / MIN_SHARE_PER_S)))


class DemandMeter:
    """Requests a second for one service, as an exponentially weighted average."""

    __slots__ = ("_per_s", "_updated_at")

    def __init__(self, now):
        self._per_s = INITIAL_DEMAND_PER_S
        self._updated_at = now

    def _decayed(self, now):
        age_s = max(0.0, now - self._updated_at)
        return self._per_s * math.exp(-age_s / DEMAND_WINDOW_S)

    def count(self, now):
        """Count a request, whether it is admitted or refused."""
        self._per_s = self._decayed(now) + 1.0 / DEMAND_WINDOW_S
        self._updated_at = now

    def per_s(self, now):
        """Return the demand in requests a second."""
        return max(MIN_DEMAND_PER_S, self._decayed(now))


class RateShares:
    """The demands of all entries for services whose servers announce a rate.

    ``local_name`` is the name of this entry. ``active_names`` are the members that
    callers are sent to: one that has not reported yet counts with this entry's demand.
    The rate of a cold server is divided among at least ``least_entitled`` entries.
    """

    __slots__ = (
        "_entitled",
        "_meters",
        "_reports",
        "active_names",
        "least_entitled",
        "local_name",
    )

    def __init__(self, local_name="local"):
        self.local_name = local_name
        self.active_names = ()
        self._meters = {}
        # Name of a member -> dict from service key to (demand, time of the report).
        self._reports = {}
        self.least_entitled = 1
        # Name of an entry -> (failure domain, time at which it was last active).
        self._entitled = {}

    def note_active(self, members, now, age_s, full_count, has_peers):
        """Record the members that are active now, in their own or this entry's view.

        ``age_s`` is for how long this entry has run, ``full_count`` the number of
        active entries in a full fleet, ``has_peers`` whether there should be others.
        An entry that has just started or hears nobody counts a full fleet.
        """
        for member in members:
            self._entitled[member.name] = member.domain, now
        is_alone = {member.name for member in members} <= {self.local_name}
        is_uncertain = age_s < ENTITLED_S or (is_alone and has_peers)
        self.least_entitled = full_count if is_uncertain else 1
        entitled = set(self.entitled_names(now))
        for name in [name for name in self._entitled if name not in entitled]:
            del self._entitled[name]

    def entitled_names(self, now):
        """Return the names of the entries that may send to a cold server.

        Those are the entries that were active in the last ``ENTITLED_S`` seconds before
        another one of their failure domain was last heard. So an entry or a domain that
        hears nobody of others goes on counting them.
        """
        heard_at = {}
        for name, (domain, at) in self._entitled.items():
            if name != self.local_name:
                heard_at[domain] = max(at, heard_at.get(domain, at))
        heard_at_local = {self.local_name: now}
        return [
            name
            for name, (domain, at) in self._entitled.items()
            if heard_at_local.get(name, heard_at.get(domain, at)) - at <= ENTITLED_S
        ]

    def measure(self, service, now):
        """Measure the demand for a service from now on, if it is not measured yet."""
        if service not in self._meters:
            self._meters[service] = DemandMeter(now)

    def count(self, service, now):
        """Count a request of this entry for a service with a limited server."""
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = DemandMeter(now)
        meter.count(now)

    def local_demand(self, service, now):
        """Return this entry's demand for a service in requests a second."""
        meter = self._meters.get(service)
        return INITIAL_DEMAND_PER_S if meter is None else meter.per_s(now)

    def local_demands(self, now):
        """Return this entry's demands, by service key, that members need to know."""
        return {
            service_key(service): meter.per_s(now)
            for service, meter in self._meters.items()
        }

    def note_report(self, name, demands, now):
        """Record the demands that a member reported, by service key."""
        if name != self.local_name:
            reports = self._reports.setdefault(name, {})
            reports.update((key, (per_s, now)) for key, per_s in demands.items())

    def remove_expired(self, now, limited_services):
        """Drop old reports, and the demands for services without a limited server."""
        for name, reports in list(self._reports.items()):
            kept = {
                key: report
                for key, report in reports.items()
                if now - report[1] <= REPORT_LIFETIME_S
            }
            if kept:
                self._reports[name] = kept
            else:
                del self._reports[name]
        for service in list(self._meters):
            if service not in limited_services:
                del self._meters[service]

    def demands(self, service, now):
        """Return the demand of each entry for a service, by name."""
        key = service_key(service)
        own = self.local_demand(service, now)
        demands = dict.fromkeys(self.active_names, own)
        for name, reports in self._reports.items():
            per_s, reported_at = reports.get(key, (0.0, -math.inf))
            if now - reported_at <= REPORT_LIFETIME_S:
                demands[name] = per_s
        demands[self.local_name] = own
        return demands

    def share(self, server, rate, now):
        """Return how many requests a second this entry may send to a server."""
        demands = self.demands(server.service, now)
        return share_of_rate(rate, server.id, self.local_name, demands)

    def warmup_share(self, server, limit, max_entries, now):
        """Return how many requests a second this entry may send to a cold server.

        At most ``max_entries`` entries share the rate of ``limit``. Parts follow the
        demand if that of all of them is known, and are equal otherwise.
        """
        rate = max(limit.rate, MIN_RATE_PER_S)
        names = self.entitled_names(now)
        names.sort(key=lambda name: score(server.id, name), reverse=True)
        names = names[:max_entries]
        if self.local_name not in names:
            return 0.0
        count = max(len(names), min(max_entries, self.least_entitled))
        equal = rate / count
        demands = self._fresh_demands(server.service, names, now)
        if demands is None or count > len(names):
            return equal
        by_demand = rate * demands[self.local_name] / sum(demands.values())
        grown = limit.share + SHARE_GROWTH_PER_S * equal * limit.share_age_s(now)
        return min(by_demand, MAX_SHARE_FACTOR * equal, max(equal, grown))

    def _fresh_demands(self, service, names, now):
        """Return the demand of each of some entries, or None if one is unknown."""
        key = service_key(service)
        demands = {}
        for name in names:
            if name == self.local_name:
                demands[name] = self.local_demand(service, now)
                continue
            per_s, reported_at = self._reports.get(name, {}).get(key, (0.0, -math.inf))
            if now - reported_at > FRESH_REPORT_S:
                return None
            demands[name] = max(MIN_DEMAND_PER_S, per_s)
        return demands


class RateLimit:
    """The rate that one incarnation of a server takes from all entries together.

    ``rate`` is in requests a second for all entries together, and ``noted_at`` the
    time of the newest reply that stated it. Requests of this entry are spaced by its
    part of the rate, ``share``. ``send_counts`` holds by kind the requests that were
    written to the server since ``reset_counts``. Unused parts are saved for
    ``burst_s``, and at least for one request. An entry without a part sends a request
    ``unconfirmed_s`` after the newest reply that stated the rate.
    """

    __slots__ = (
        "_burst_s",
        "_saved",
        "_saved_at",
        "_unconfirmed_s",
        "noted_at",
        "rate",
        "send_counts",
        "share",
        "share_expires_at",
    )

    def __init__(self, rate, now, burst_s=BURST_S, unconfirmed_s=MAX_UNCONFIRMED_S):
        self.rate = rate
        self.noted_at = now
        self._burst_s = burst_s
        self._unconfirmed_s = unconfirmed_s
        self.share = 0.0
        self.share_expires_at = now
        self.send_counts = {}
        # Requests that may be sent at once, and the time for which this holds. A limit
        # begins with none: requests that were sent before are still at the server.
        self._saved = 0.0
        self._saved_at = now

    def note(self, rate, now):
        """Record the rate that a further reply states."""
        if rate != self.rate:
            self.rate = rate
            self.share_expires_at = now
        self.noted_at = now

    def set_share(self, per_s, now):
        """Set this entry's part of the rate, in requests a second."""
        self._save(now)
        self.share = per_s
        self.share_expires_at = now + SHARE_LIFETIME_S

    def share_age_s(self, now):
        """Return for how long the part has been set, in seconds."""
        return max(0.0, now - self.share_expires_at + SHARE_LIFETIME_S)

    def _save(self, now):
        if now > self._saved_at:
            saved = self._saved + (now - self._saved_at) * self.share
            self._saved = min(max(1.0, self.share * self._burst_s), saved)
            self._saved_at = now

    def next_send_at(self, now):
        """Return when a request may be sent, infinite if this entry has no part."""
        self._save(now)
        if self._saved >= 1.0:
            return now
        if self.share > 0.0:
            return now + (1.0 - self._saved) / self.share
        unconfirmed_until = self.noted_at + self._unconfirmed_s
        return now if now >= unconfirmed_until else math.inf

    def take(self, now):
        """Count a request against the rate."""
        self._save(now)
        if self.share <= 0.0:
            self.noted_at = now
        self._saved = max(-1.0, self._saved - 1.0)

    def refund(self):
        """Undo ``take`` for a request that was not sent."""
        self._saved += 1.0

    def count_send(self, kind):
        """Count a request that was written to the server."""
        self.send_counts[kind] = self.send_counts.get(kind, 0) + 1

    def reset_counts(self):
        """Return the requests written since the last call, by kind."""
        counts, self.send_counts = self.send_counts, {}
        return counts
