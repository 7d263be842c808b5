"""Rates of requests that servers announce for all entries together.

Each entry uses the part of an announced rate that its demand has in the demand of all
entries for the service; members tell each other theirs in heartbeats. Answers the load
pattern in which several entries send to a server that takes less than usual: a bound
within one entry cannot hold the total, and equal parts are lost where load is uneven.
"""

import math
import zlib

from ..rendezvous import score

__all__ = ["DemandMeter", "RateLimit", "RateShares", "service_key", "share_of_rate"]

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
    """

    __slots__ = ("_meters", "_reports", "active_names", "local_name")

    def __init__(self, local_name="local"):
        self.local_name = local_name
        self.active_names = ()
        self._meters = {}
        # Name of a member -> dict from service key to (demand, time of the report).
        self._reports = {}

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


class RateLimit:
    """The rate that one incarnation of a server announced.

    ``rate`` is in requests a second for all entries together, and ``noted_at`` the
    time of the newest reply that stated it. Requests of this entry are spaced by its
    part of the rate, ``share``. ``send_counts`` holds by kind the requests that were
    written to the server since ``reset_counts``.
    """

    __slots__ = (
        "_saved",
        "_saved_at",
        "noted_at",
        "rate",
        "send_counts",
        "share",
        "share_expires_at",
    )

    def __init__(self, rate, now):
        self.rate = rate
        self.noted_at = now
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

    def _save(self, now):
        if now > self._saved_at:
            saved = self._saved + (now - self._saved_at) * self.share
            self._saved = min(max(1.0, self.share * BURST_S), saved)
            self._saved_at = now

    def next_send_at(self, now):
        """Return when a request may be sent, infinite if this entry has no part."""
        self._save(now)
        if self._saved >= 1.0:
            return now
        if self.share > 0.0:
            return now + (1.0 - self._saved) / self.share
        unconfirmed_until = self.noted_at + MAX_UNCONFIRMED_S
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
