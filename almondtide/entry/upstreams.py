"""The servers of all services as this entry sees them, and which may get a request."""

import math
import random

from .policy.choice import choose_server
from .policy.rate_limits import (
    MIN_RATE_PER_S,
    WRITE_WITHIN_S,
    RateShares,
    WarmupBounds,
)
from .run_time import RunTime
from .upstream import Failure, Upstream

__all__ = ["Failure", "Upstream", "UpstreamTable"]

# Fraction of a server's connections that the current entries use. The rest is for
# entries that were active before and still hold some connections.
CONNECTION_FRACTION = 0.75
MIN_CONNECTIONS = 2
# Servers whose reply is overdue by this, in s, are a sign of lost links.
OVERDUE_S = 0.15
# How long the announced end and the pause of a server that the store no longer lists
# are kept, in s, in case it is listed again.
REMOVED_RETENTION_S = 60.0
# All entries together have at most so many requests at a server: as many as its slots
# serve within this fraction of the objective, at least its slots and at most
# MAX_DEPTH_PER_SLOT times its slots. More would wait in the server's own queue, which
# is first come, first served and hides the load.
DEPTH_OBJECTIVE_FRACTION = 0.6
MAX_DEPTH_PER_SLOT = 4.0


class UpstreamTable:
    """The servers of all services; ``domain`` is the failure domain of this entry."""

    __slots__ = (
        "_by_id",
        "_by_service",
        "_evacuated",
        "_evacuation_ended_at",
        "_removed",
        "connection_limits",
        "domain",
        "entry_count",
        "limited_services",
        "memory_bounds",
        "rate_shares",
        "run_time",
        "warmup_bounds",
    )

    def __init__(self, domain):
        self.domain = domain
        self.run_time = RunTime()
        # Number of entries that send to these servers, including this one.
        self.entry_count = 1
        self.rate_shares = RateShares()
        # The ``MemoryBounds``, or None.
        self.memory_bounds = None
        self.warmup_bounds = WarmupBounds()
        # Services with a server that limits its rate or is cold and has a bound.
        self.limited_services = set()
        # Service -> most connections that each of its servers accepts in total.
        self.connection_limits = {}
        self._by_id = {}
        self._by_service = {}
        # Failure domain -> when the use of its servers ends, for evacuated domains.
        self._evacuated = {}
        # Failure domain -> when its last evacuation was withdrawn.
        self._evacuation_ended_at = {}
        # Id -> (time of removal, upstream) of servers that were removed lately.
        self._removed = {}

    def __iter__(self):
        return iter(self._by_id.values())

    def apply(self, server, serves_until=0.0, now=math.inf):
        """Add or update a server; return the ``Upstream`` that it replaces, or None.

        A known id with a new incarnation, address or service gets a new ``Upstream``.
        A leaving server is used until ``serves_until`` at the latest. A cold one is
        listed as such since ``now``.
        """
        usable_until = serves_until if server.leaving else math.inf
        known = self._by_id.get(server.id)
        if known is not None:
            old = known.server
            if (
                old.address == server.address
                and old.service == server.service
                and (old.born_ms == server.born_ms)
                and not known.is_removed
            ):
                if server.cold and not old.cold:
                    known.cold_listed_at = now
                elif not server.cold:
                    known.assumed_cold_until = 0.0
                known.server = server
                known.listed_until = usable_until
                known.is_retired = False
                return None
            self.remove(server.id)
        upstream = Upstream(server, self.run_time, self._evacuated, self.warmup_bounds)
        upstream.cold_listed_at = now
        upstream.listed_until = usable_until
        _, earlier = self._removed.pop(server.id, (None, None))
        earlier = known or earlier
        if earlier is not None and earlier.server.is_same_incarnation(server):
            upstream.inherit(earlier)
        self._by_id[server.id] = upstream
        self._by_service.setdefault(server.service, {})[server.id] = upstream
        return known

    def set_evacuated(self, domain, stops_at):
        """Record that a failure domain is evacuated.

        Its servers are a last resort until ``stops_at``, and get no request from then
        on until ``clear_evacuated``.
        """
        self._evacuated[domain] = stops_at

    def clear_evacuated(self, domain, now):
        """Record that the evacuation of a failure domain was withdrawn."""
        if self._evacuated.pop(domain, None) is not None:
            self._evacuation_ended_at[domain] = now
            # They may have turned cold, which the store may not list yet.
            for upstream in self._by_id.values():
                if upstream.server.domain == domain:
                    upstream.assume_cold(now + upstream.warmup_s)

    def evacuation_ended_at(self, domain):
        """Return when the last evacuation of a domain was withdrawn, or None."""
        return self._evacuation_ended_at.get(domain)

    def evacuated_upstreams(self):
        """Return the upstreams whose failure domain is evacuated."""
        if not self._evacuated:
            return []
        return [upstream for upstream in self._by_id.values() if upstream.is_evacuated]

    def is_service_evacuated(self, service, now, domains=None):
        """Return whether evacuations leave a service without a usable server.

        ``domains`` restricts the servers to some failure domains.
        """
        if not self._evacuated:
            return False
        upstreams = [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if domains is None or upstream.server.domain in domains
        ]
        return any(upstream.is_evacuated for upstream in upstreams) and not any(
            upstream.is_usable(now) for upstream in upstreams
        )

    def announce_end(self, server_id, born_ms, until):
        """Record the end that an incarnation of a server announced to a peer."""
        upstream = self._by_id.get(server_id)
        if upstream is not None and upstream.server.born_ms == born_ms:
            upstream.announce_end(until)

    def retire(self, server_id, serves_until, now):
        """Record that the store no longer lists a server.

        It may still serve until ``serves_until``. Return its ``Upstream`` if that time
        is over and it was removed, else None.
        """
        upstream = self._by_id.get(server_id)
        if upstream is None:
            return None
        upstream.listed_until = min(upstream.listed_until, serves_until)
        upstream.is_retired = True
        return None if now < upstream.serves_until else self._forget(server_id, now)

    def remove_expired(self, now):
        """Remove retired servers that may have ended; return their upstreams."""
        expired_ids = [
            upstream.server.id
            for upstream in self._by_id.values()
            if upstream.is_retired and upstream.serves_until <= now
        ]
        for server_id, (removed_at, earlier) in list(self._removed.items()):
            kept_until = max(removed_at + REMOVED_RETENTION_S, earlier.paused_until)
            if now > kept_until:
                del self._removed[server_id]
        return [self._forget(server_id, now) for server_id in expired_ids]

    def _forget(self, server_id, now):
        upstream = self.remove(server_id)
        self._removed[server_id] = now, upstream
        return upstream

    def remove(self, server_id):
        """Remove a server; return its ``Upstream``, or None if it is unknown."""
        upstream = self._by_id.pop(server_id, None)
        if upstream is not None:
            upstream.is_removed = True
            upstreams = self._by_service[upstream.server.service]
            del upstreams[server_id]
            if not upstreams:
                del self._by_service[upstream.server.service]
        return upstream

    def note_rate_limit(self, upstream, rate, now):
        """Record the rate that a reply of an upstream states, or None for no rate.

        Return whether the server has begun or ceased to state one.
        """
        if rate is not None:
            self.limited_services.add(upstream.server.service)
        has_changed = upstream.note_rate_limit(rate, now)
        # The time from which this entry's part is saved up.
        self.rate_room_at(upstream, now)
        return has_changed

    def end_rate_limit(self, server_id, born_ms, at):
        """Forget the rate of a server that a peer saw without one after ``at``.

        Return whether there was one. What this entry heard from the server itself
        since then holds.
        """
        upstream = self._by_id.get(server_id)
        if (
            upstream is None
            or upstream.server.born_ms != born_ms
            or upstream.rate_limit is None
            or upstream.rate_limit.noted_at >= at
        ):
            return False
        return upstream.note_rate_limit(None, at)

    def refresh_limited_services(self, now):
        """Forget the demand for services whose servers no longer limit their rate."""
        self.limited_services = {
            upstream.server.service
            for upstream in self._by_id.values()
            if upstream.limits_rate(now)
        }
        for upstream in self.cold_upstreams():
            self.rate_shares.measure(upstream.server.service, now)
        self.rate_shares.remove_expired(now, self.limited_services)

    def cold_upstreams(self):
        """Return the upstreams that are cold and have a bound for that."""
        return [upstream for upstream in self if upstream.warmup_limit is not None]

    def rate_room_at(self, upstream, now):
        """Return when the rates of an upstream leave room for a request.

        Those are the rate that it announces and the one that holds while it is cold.
        The time is ``now`` without a limit, and infinite if this entry has no part of
        a rate.
        """
        room_at = now
        limit = upstream.rate_limit
        if limit is not None:
            if now >= limit.share_expires_at:
                limit.set_share(
                    self.rate_shares.share(upstream.server, limit.rate, now), now
                )
            room_at = limit.next_send_at(now)
        if upstream.update_warmup(now) is None:
            return room_at
        return max(room_at, self._warmup_room_at(upstream, now))

    def _warmup_room_at(self, upstream, now):
        limit = upstream.warmup_limit
        if now >= limit.share_expires_at:
            max_entries = self.warmup_bounds.max_entries(limit.rate)
            share = self.rate_shares.warmup_share(
                upstream.server, limit, max_entries, now
            )
            limit.set_share(share, now)
        return limit.next_send_at(now)

    def may_write(self, upstream, counted_limit, counted_at, now):
        """Return whether a request may be written to an upstream now.

        It was counted against ``counted_limit``, the ``warmup_limit`` at that time. One
        that was assigned before the server turned cold, or long ago, is counted now.
        """
        limit = upstream.update_warmup(now)
        if limit is None:
            return True
        if counted_limit is limit and now - counted_at <= WRITE_WITHIN_S:
            return True
        if self._warmup_room_at(upstream, now) > now:
            return False
        limit.take(now)
        return True

    def get(self, server_id):
        """Return the ``Upstream`` with this id, or None."""
        return self._by_id.get(server_id)

    def upstreams_of(self, service):
        """Return all upstreams of a service, usable or not."""
        return list(self._by_service.get(service, {}).values())

    def usable_upstreams(self, service, now, domains=None):
        """Return the usable upstreams of a service in ``domains``, None for all."""
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.is_usable(now)
            and (domains is None or upstream.server.domain in domains)
        ]

    def silent_ids(self, now):
        """Return the ids of the servers whose reply is overdue."""
        return {
            upstream.server.id
            for upstream in self._by_id.values()
            if upstream.silent_s(now) > OVERDUE_S
        }

    def probe_candidates(self, count, now, rng):
        """Return up to ``count`` usable servers at random, of different services."""
        services = list(self._by_service)
        rng.shuffle(services)
        candidates = []
        for service in services:
            upstreams = self.usable_upstreams(service, now)
            if upstreams:
                candidates.append(rng.choice(upstreams))
            if len(candidates) == count:
                break
        return candidates

    def is_service_lost(self, service, now, domains=None):
        """Return whether all usable servers of the service seem to be down.

        This is true for a service without usable servers. ``domains`` restricts the
        servers to those in some failure domains.
        """
        return all(
            upstream.is_lost(now)
            for upstream in self.usable_upstreams(service, now, domains)
        )

    def max_in_flight(self, slots, objective_ratio):
        """Return how many requests this entry may have at a server at a time.

        ``objective_ratio`` is the objective as a multiple of the expected latency.
        """
        total = slots * min(
            MAX_DEPTH_PER_SLOT, max(1.0, DEPTH_OBJECTIVE_FRACTION * objective_ratio)
        )
        return max(1, round(total / self.entry_count))

    def may_connect(self, upstream, now):
        """Return whether the upstream has an idle connection or may get a new one."""
        if upstream.idle_connection_count:
            return True
        if now < upstream.connect_after:
            return False
        limit = self.connection_limits.get(upstream.server.service)
        if limit is None:
            return True
        share = max(
            MIN_CONNECTIONS, int(CONNECTION_FRACTION * limit / self.entry_count)
        )
        return upstream.connection_count < share

    def _has_body_room(self, upstream, body_bytes):
        bounds = self.memory_bounds
        return bounds is None or bounds.has_server_room(
            upstream.body_bytes, body_bytes, self.entry_count
        )

    def throughput(self, service, now, expected_s, with_paused=False, domains=None):
        """Return how many requests a second this entry can have served by a service.

        ``expected_s`` is the time that a server takes for one. A server that limits its
        rate or is cold counts with this entry's part of the rate, a server that pauses
        only ``with_paused``. ``domains`` restricts the servers to some failure domains.
        """
        total = 0.0
        for upstream in self.usable_upstreams(service, now, domains):
            if not with_paused and not upstream.accepts_requests(now):
                continue
            per_s = upstream.server.slots / max(0.001, expected_s) / self.entry_count
            per_s /= upstream.pace(now)
            if upstream.limits_rate(now):
                self.rate_room_at(upstream, now)
                for limit in (upstream.rate_limit, upstream.warmup_limit):
                    per_s = per_s if limit is None else min(per_s, limit.share)
            total += per_s
        return total

    def next_room_at(self, service, now, excluded_ids=(), domains=None):
        """Return when a server that is not lost wants requests, or None if none will.

        The time is ``now`` if one does already. A server that leaves, or whose domain
        is evacuated, before its pause ends will not. ``domains`` restricts the servers
        to some failure domains.
        """
        times = [
            max(self.rate_room_at(upstream, now), upstream.paused_until)
            for upstream in self.usable_upstreams(service, now, domains)
            if upstream.server.id not in excluded_ids
            and upstream.paused_until < upstream.usable_until
            and upstream.ejected_until <= now
            and not upstream.is_lost(now)
        ]
        room_at = min(times, default=math.inf)
        return None if room_at == math.inf else room_at

    def has_cold_server(self, service, now, domains=None):
        """Return whether a usable server of a service is cold and has a bound."""
        return any(
            upstream.update_warmup(now) is not None
            for upstream in self.usable_upstreams(service, now, domains)
        )

    def other_room_at(self, service, now, domains=None):
        """Return when another entry may have room at a cold server, or None.

        It is for callers that come back, if this entry has no part of the rate.
        """
        periods_s = [
            1.0 / max(upstream.warmup_limit.rate, MIN_RATE_PER_S)
            for upstream in self.usable_upstreams(service, now, domains)
            if upstream.warmup_limit is not None
        ]
        return now + min(periods_s) if periods_s else None

    def obstacle(
        self,
        upstream,
        now,
        objective_ratio=MAX_DEPTH_PER_SLOT,
        spares_limited=False,
        body_bytes=0,
        is_last_resort=False,
    ):
        """Return why an upstream gets no request now, or an empty text.

        The arguments are those of ``choose``.
        """
        if not upstream.is_usable(now):
            return "evacuated" if upstream.is_evacuated else "ended"
        if upstream.paused_until > now:
            return "asked for a pause"
        may_be_lost = is_last_resort and not upstream.is_refusing
        if upstream.ejected_until > now and not may_be_lost:
            return "ejected after failures"
        if upstream.full_until > now:
            return "said that it is full"
        if (
            not may_be_lost
            and upstream.is_lost(now)
            and (upstream.is_probing or upstream.silent_s(now))
        ):
            return "lost and being probed"
        if upstream.limits_rate(now) and (
            spares_limited or self.rate_room_at(upstream, now) > now
        ):
            return "no room in its rate"
        if upstream.in_flight >= self.max_in_flight(
            upstream.server.slots, objective_ratio
        ):
            return "enough requests in progress"
        if not self.may_connect(upstream, now):
            return "no connection to spare"
        if body_bytes and not self._has_body_room(upstream, body_bytes):
            return "no room for the body"
        return ""

    def choose(
        self,
        service,
        now,
        excluded_ids=(),
        objective_ratio=MAX_DEPTH_PER_SLOT,
        spares_limited=False,
        domains=None,
        body_bytes=0,
        is_last_resort=False,
    ):
        """Return the upstream of a service that gets a request, or None.

        See ``choose_server`` for the choice among those that may get it.

        ``excluded_ids`` are the ids of servers that were tried. Servers that failed are
        ejected for some time. After that they get one request at a time as a probe,
        until one succeeds. With ``spares_limited``, servers that limit their rate are
        left to others. ``domains`` restricts the choice to some failure domains. The
        server must have room for a request body of ``body_bytes``. As a last resort,
        servers that seem to be lost, but refused no connection, are chosen as well.
        """
        candidates = [
            upstream
            for upstream in self.usable_upstreams(service, now, domains)
            if upstream.server.id not in excluded_ids
            and not self.obstacle(
                upstream,
                now,
                objective_ratio,
                spares_limited,
                body_bytes,
                is_last_resort,
            )
        ]
        return choose_server(candidates, now, self.domain)

    def choose_for_copy(
        self, service, now, excluded_ids, objective_ratio, domains=None, body_bytes=0
    ):
        """Return a server on probation that gets a copy of a request, or None.

        The arguments are those of ``choose``; see ``ServerHealth.is_on_probation``.
        Servers that limit their rate get no copies.
        """
        due = [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.health.is_copy_due(now)
            and upstream.server.id not in excluded_ids
            and (domains is None or upstream.server.domain in domains)
            and not self.obstacle(upstream, now, objective_ratio, True, body_bytes)
        ]
        return random.choice(due) if due else None
