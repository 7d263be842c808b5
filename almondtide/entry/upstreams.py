"""Load and health of servers as seen by this entry, and the choice of a server.

A server's end is known from the store and from the server's own announcement; the
earlier one holds. A server that turns requests away may ask for a pause, during which
it gets none. Both belong to one incarnation of the server and outlast its entry in
the store, which may lapse and come back.

A cold server whose service has a bound for that takes requests at a known rate only,
see ``rate_limits.py``.
"""

import enum
import math
import random

from .rate_limits import (
    MIN_RATE_PER_S,
    WRITE_WITHIN_S,
    RateLimit,
    RateShares,
    WarmupBounds,
)
from .reported_load import (
    MAX_HEDGE_LOAD,
    MAX_REPORT_AGE_S,
    KnownLoad,
    second_choice_probability,
)
from .run_time import RunTime

__all__ = ["Failure", "Upstream", "UpstreamTable"]

# Weight of a new sample in the moving averages of slowness and failure rate.
SAMPLE_WEIGHT = 0.2
# Time, in s, after which an estimate without new samples is back to normal, so that a
# server that has recovered is tried again.
ESTIMATE_DECAY_S = 4.0
# Upper bound of a sample of slowness, the ratio of a latency to the expected one. A
# single exchange during a pause must not cost more than another failure domain; two
# long exchanges may.
MAX_LATENCY_RATIO = 3.0
# A server counts as silent if no reply has come from it for this many times the
# expected time of its oldest exchange, and for at least MIN_SILENT_S seconds.
SILENT_FACTOR = 2.5
MIN_SILENT_S = 0.02
# A server that is silent for longer than this, in s, counts as lost. Shorter silences
# count as pauses.
LOST_AFTER_S = 0.45
# A failing server is ejected for the first of these times, in s. The time doubles with
# each further failure, up to the second.
MIN_EJECTION_S = 0.25
MAX_EJECTION_S = 2.0
# Bounds, in s, of the time for which a server that reported to be full gets no
# requests. They are short, because a failing server may report this without being
# full, and there may be no other server.
MIN_FULL_BACKOFF_S = 0.02
MAX_FULL_BACKOFF_S = 0.06
# Costs are in units of the normal time of a request. This one is that of a server in
# another failure domain.
OTHER_DOMAIN_COST = 0.45
COLD_COST = 0.4
SILENT_COST = 20.0
# Cost of a leaving server, and of one whose failure domain is evacuated. It still
# serves for some time, and is used when the others are lost, silent, full or much
# slower.
LEAVING_COST = 2.0
# Cost of a server that limits its rate, which is spared while others are as good.
LIMITED_COST = 0.3
# Fraction of a server's connections that the current entries use. The rest is for
# entries that were active before and still hold some connections.
CONNECTION_FRACTION = 0.75
MIN_CONNECTIONS = 2
# A server resets connections beyond its limit, and a limit that it lowers while its
# queue is long. After a reset of a new connection no other one is opened for this
# long, in s.
CONNECT_BACKOFF_S = 0.25
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


class Failure(enum.Enum):
    """How an exchange failed, which decides whether the request may have run."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # Nothing listens at the server's address; no byte was sent.
    NO_LISTENER = "no_listener"
    # The server states that it did not run the request.
    NOT_RUN = "not_run"
    # Another server has the address; the request did not run.
    MISDIRECTED = "misdirected"
    # The connection broke or the reply was invalid; the request may have run.
    BROKEN = "broken"
    # The server ran the request and answered with an error.
    ERROR = "error"

    @property
    def is_certainly_not_run(self):
        """Whether the request has certainly not run and will not run."""
        return self in (
            Failure.NOT_SENT,
            Failure.NO_LISTENER,
            Failure.NOT_RUN,
            Failure.MISDIRECTED,
        )


class Upstream:
    """Load, speed and health of one incarnation of a server, as seen by this entry."""

    __slots__ = (
        "_consecutive_full",
        "_consecutive_losses",
        "_evacuated",
        "_failure_rate",
        "_pending",
        "_run_time",
        "_sampled_at",
        "_slowness",
        "_warmup_bounds",
        "announced_until",
        "assumed_cold_until",
        "cold_listed_at",
        "connect_after",
        "connection_count",
        "ejected_until",
        "full_until",
        "idle_connection_count",
        "is_probing",
        "is_refusing",
        "is_removed",
        "is_retired",
        "known_load",
        "last_reply_at",
        "listed_until",
        "paused_until",
        "rate_limit",
        "server",
        "warmup_limit",
    )

    def __init__(self, server, run_time=None, evacuated=None, warmup_bounds=None):
        self.server = server
        # Failure domain -> when the use of its servers ends; the table's own dict.
        self._evacuated = {} if evacuated is None else evacuated
        # The ``RunTime`` of this process, which cannot see replies while it pauses.
        self._run_time = RunTime() if run_time is None else run_time
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._sampled_at = 0.0
        self._consecutive_full = 0
        self._consecutive_losses = 0
        # Exchange -> (start, expected duration in s), by order of start.
        self._pending = {}
        self.ejected_until = 0.0
        self.full_until = 0.0
        self.last_reply_at = 0.0
        self.is_probing = False
        self.is_removed = False
        # Whether the store no longer lists it.
        self.is_retired = False
        # The time from which a leaving server may have ended, by its entry in the store
        # and by its own announcement.
        self.listed_until = math.inf
        self.announced_until = math.inf
        # Until when no connection is opened to it.
        self.connect_after = 0.0
        # Until when the server wants no request from this entry.
        self.paused_until = 0.0
        # The ``RateLimit`` that it announces, or None.
        self.rate_limit = None
        self._warmup_bounds = warmup_bounds or WarmupBounds()
        # The ``RateLimit`` while it is cold and has a bound for that, else None; see
        # ``update_warmup``.
        self.warmup_limit = None
        # When the store began to list it as cold, as far as known, and until when it
        # counts as cold whatever the store lists.
        self.cold_listed_at = math.inf
        self.assumed_cold_until = 0.0
        # The ``KnownLoad`` of the newest reply that reports one, or None.
        self.known_load = None
        # Whether the newest connection to it was refused.
        self.is_refusing = False
        # Open connections, and how many of them are idle; the pool updates both.
        self.connection_count = 0
        self.idle_connection_count = 0

    @property
    def in_flight(self):
        """Number of exchanges in progress."""
        return len(self._pending)

    @property
    def body_bytes(self):
        """Bytes of the request bodies of the exchanges in progress."""
        return sum(len(exchange.request.body) for exchange in self._pending)

    def slowness(self, now):
        """Return the expected latency as a multiple of the normal one."""
        return 1.0 + (self._slowness - 1.0) * self._estimate_weight(now)

    def failure_rate(self, now):
        """Return the expected fraction of requests that fail, 0.0 to 1.0."""
        return self._failure_rate * self._estimate_weight(now)

    def _estimate_weight(self, now):
        """Return how much of an estimate is left, 1.0 when new, 0.0 when outdated."""
        age_s = now - self._sampled_at
        return max(0.0, 1.0 - age_s / ESTIMATE_DECAY_S) if age_s > 0 else 1.0

    def silent_s(self, now):
        """Return for how long an overdue server has not replied in s, or 0.0."""
        if not self._pending:
            return 0.0
        started, expected_s = next(iter(self._pending.values()))
        since = max(started, self.last_reply_at)
        due_s = max(MIN_SILENT_S, SILENT_FACTOR * expected_s * self.slowness(now))
        if now - since <= due_s:
            return 0.0
        silent_for_s = self._run_time.ran_s(since, now)
        return silent_for_s if silent_for_s > due_s else 0.0

    def start(self, exchange, now, expected_s):
        """Record the start of an exchange, which probes the server if it is lost."""
        self._pending[exchange] = (now, expected_s)
        if self.rate_limit is not None:
            self.rate_limit.take(now)
        if self.warmup_limit is not None:
            self.warmup_limit.take(now)
        self.is_probing = self._consecutive_losses > 0

    def abandon(self, exchange, now):
        """Record that an exchange was given up; eject the server if it was silent."""
        pending = self._pending.pop(exchange, None)
        if pending is None:
            return
        self.is_probing = False
        since = max(pending[0], self.last_reply_at)
        if self._run_time.ran_s(since, now) > LOST_AFTER_S:
            self._eject(now)

    def cancel(self, exchange):
        """Remove an exchange that was not sent, which says nothing about the server."""
        known = self._pending.pop(exchange, None)
        if known is not None and self.rate_limit is not None:
            self.rate_limit.refund()
        self.is_probing = False

    def succeed(self, exchange, now):
        """Record a successful reply; return its latency in seconds.

        Return None if the exchange is unknown.
        """
        pending = self._pending.pop(exchange, None)
        self.last_reply_at = now
        self.is_probing = False
        self._consecutive_full = 0
        self._consecutive_losses = 0
        self.ejected_until = 0.0
        self.full_until = 0.0
        if pending is None:
            return None
        latency_s = now - pending[0]
        ratio = min(MAX_LATENCY_RATIO, latency_s / max(0.001, pending[1]))
        # The pace that the server reports is a factor of the cost by itself.
        self._add_sample(ratio / self.pace(now), 0.0, now)
        return latency_s

    def fail(self, exchange, failure, now):
        """Record an exchange that failed with ``failure``."""
        self._pending.pop(exchange, None)
        self.is_probing = False
        if failure is Failure.NOT_RUN:
            self.last_reply_at = now
            self._add_sample(None, 1.0, now)
            wait_s = min(
                MAX_FULL_BACKOFF_S, MIN_FULL_BACKOFF_S * 2**self._consecutive_full
            )
            self._consecutive_full = min(10, self._consecutive_full + 1)
            self.full_until = now + wait_s
        elif failure is Failure.MISDIRECTED:
            self.is_removed = True
        elif failure is Failure.ERROR:
            self.last_reply_at = now
            self._add_sample(None, 1.0, now)
        else:
            self._add_sample(None, 1.0, now)
            self.is_refusing = failure is Failure.NO_LISTENER or self.is_refusing
            if failure is not Failure.BROKEN or self._failure_rate > 0.5:
                self._eject(now)

    def _eject(self, now):
        wait_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._consecutive_losses)
        self._consecutive_losses = min(10, self._consecutive_losses + 1)
        self.ejected_until = now + wait_s

    def _add_sample(self, ratio, failed, now):
        """Update the moving averages of slowness and failure rate.

        ``ratio`` is the latency as a multiple of the expected one, or None to leave
        the slowness as it is. ``failed`` is 1.0 for a failure, else 0.0.
        """
        estimate_weight = self._estimate_weight(now)
        weight = SAMPLE_WEIGHT
        failure_rate = self._failure_rate * estimate_weight
        self._failure_rate = failure_rate + weight * (failed - failure_rate)
        slowness = 1.0 + (self._slowness - 1.0) * estimate_weight
        if ratio is not None:
            slowness += weight * (ratio - slowness)
        self._slowness = slowness
        self._sampled_at = now

    def is_lost(self, now):
        """Return whether the server seems to be down."""
        return (
            self.is_removed
            or self.ejected_until > now
            or self._consecutive_losses > 0
            or self.silent_s(now) > LOST_AFTER_S
        )

    @property
    def serves_until(self):
        """The time from which it may have ended, infinite if it is not leaving."""
        return min(self.listed_until, self.announced_until)

    def announce_end(self, until):
        """Record that the server itself says that it leaves.

        No later announcement or entry in the store extends the time.
        """
        self.announced_until = min(self.announced_until, until)

    def note_connection_reset(self, now):
        """Record that the server reset a new connection before it replied on it."""
        self.connect_after = now + CONNECT_BACKOFF_S

    def note_load(self, report, now, was_run=True):
        """Record the load that a reply reports, before its exchange is ended.

        The report contains the request itself if the server ran it. A reply that waited
        while this process stood still counts as made before that.
        """
        own_count = len(self._pending) - (not was_run)
        ran_s = self._run_time.ran_s(now - MAX_REPORT_AGE_S, now)
        stood_s = max(0.0, MAX_REPORT_AGE_S - ran_s)
        self.known_load = KnownLoad(report, own_count, now - stood_s)

    def has_report(self, now):
        """Return whether a report of its load has an effect."""
        return self.known_load is not None and self.known_load.weight(now) > 0.0

    def pace(self, now):
        """Return how long work takes by its own report, as a multiple of the usual."""
        return 1.0 if self.known_load is None else self.known_load.pace_at(now)

    def pause(self, until):
        """Record that the server wants no request until a time."""
        self.paused_until = max(self.paused_until, until)

    def note_rate_limit(self, rate, now):
        """Record the rate that a reply states, or None if it states none.

        Return whether the server has begun or ceased to state one.
        """
        was_limited = self.rate_limit is not None
        if rate is None:
            self.rate_limit = None
        elif was_limited:
            self.rate_limit.note(rate, now)
        else:
            self.rate_limit = RateLimit(rate, now)
        return was_limited != (rate is not None)

    def note_connected(self, now):
        """Record a new connection.

        A server that is back after it refused connections has started again, which the
        store may not say yet.
        """
        if self.is_refusing:
            self.is_refusing = False
            self.assume_cold(now + self.warmup_s)

    @property
    def warmup_s(self):
        """For how long it is cold after a start in s, 0.0 without a bound for that."""
        info = self._warmup_bounds.services.get(self.server.service)
        return 0.0 if info is None else info.warmup_s

    def assume_cold(self, until):
        """Let it count as cold until a time, or until the store says it is warm."""
        self.assumed_cold_until = max(self.assumed_cold_until, until)

    def update_warmup(self, now):
        """Return the ``RateLimit`` of a cold server, or None; create or end it first.

        If the store is silent, the server is cold for the time that the configuration
        states after the store last said so.
        """
        info = self._warmup_bounds.services.get(self.server.service)
        if info is None:
            self.warmup_limit = None
            return None
        listed_at = max(self.cold_listed_at, self._warmup_bounds.confirmed_at)
        is_listed = self.server.cold and now < listed_at + info.warmup_s
        if not is_listed and now >= self.assumed_cold_until:
            self.warmup_limit = None
        elif self.warmup_limit is None:
            self.warmup_limit = RateLimit(
                info.warmup_per_s, now, burst_s=0.0, unconfirmed_s=math.inf
            )
        else:
            self.warmup_limit.note(info.warmup_per_s, now)
        return self.warmup_limit

    def limits_rate(self, now):
        """Return whether it announces a rate, or has one because it is cold."""
        return self.rate_limit is not None or self.update_warmup(now) is not None

    def inherit(self, earlier):
        """Take over what an earlier ``Upstream`` of the same incarnation was told."""
        self.announce_end(earlier.announced_until)
        self.pause(earlier.paused_until)
        self.rate_limit = earlier.rate_limit
        self.warmup_limit = earlier.warmup_limit
        self.cold_listed_at = earlier.cold_listed_at
        self.assume_cold(earlier.assumed_cold_until)

    @property
    def is_evacuated(self):
        """Whether its failure domain is evacuated, be it still a last resort."""
        return self.server.domain in self._evacuated

    @property
    def usable_until(self):
        """The time from which no request may be sent to it, infinite if not known."""
        stops_at = self._evacuated.get(self.server.domain, math.inf)
        return min(self.serves_until, stops_at)

    def is_usable(self, now):
        """Return whether requests may be sent to it, whatever its health."""
        if self.is_removed or now >= self.serves_until:
            return False
        return not self._evacuated or now < self.usable_until

    def accepts_requests(self, now):
        """Return whether it is usable and wants requests.

        Placement, queued work, hedges, retries, probes and kept connections all ask
        this.
        """
        return self.is_usable(now) and self.paused_until <= now

    @property
    def is_leaving(self):
        """Whether the server leaves, so that it is only used if others are worse."""
        return self.serves_until != math.inf

    def expected_factor(self, now):
        """Return the expected time of a request as a multiple of the normal one."""
        slowness = self.slowness(now) * self.pace(now)
        return slowness * max(1.0, self.load(now))

    def load(self, now):
        """Return the requests at the server, with a further one, for each slot.

        Those are what this entry has in progress, and what others have by a report.
        """
        count = len(self._pending) + 1
        if self.known_load is not None:
            count += self.known_load.others_at(now)
        return count / self.server.slots

    def may_hedge(self, now):
        """Return whether a hedge would not wait behind others, by a report."""
        return not self.has_report(now) or self.load(now) <= MAX_HEDGE_LOAD

    def cost(self, now, domain):
        """Return the cost of a request, in units of its normal time."""
        server = self.server
        cost = self.expected_factor(now)
        failure_rate = self.failure_rate(now)
        if failure_rate:
            cost /= max(0.05, 1.0 - failure_rate) ** 2
        if server.domain != domain:
            cost += OTHER_DOMAIN_COST
        if server.cold or self.warmup_limit is not None:
            cost += COLD_COST
        if self.is_leaving or self.is_evacuated:
            cost += LEAVING_COST
        if self.rate_limit is not None:
            cost += LIMITED_COST
        silent_for_s = self.silent_s(now)
        if silent_for_s:
            cost += SILENT_COST + silent_for_s
        return cost


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
        for server_id, (removed_at, _) in list(self._removed.items()):
            if now - removed_at > REMOVED_RETENTION_S:
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
    ):
        """Return why an upstream gets no request now, or an empty text.

        The arguments are those of ``choose``.
        """
        if not upstream.is_usable(now):
            return "evacuated" if upstream.is_evacuated else "ended"
        if upstream.paused_until > now:
            return "asked for a pause"
        if upstream.ejected_until > now:
            return "ejected after failures"
        if upstream.full_until > now:
            return "said that it is full"
        if upstream.is_lost(now) and (upstream.is_probing or upstream.silent_s(now)):
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
    ):
        """Return the upstream of a service with the least cost, or None.

        If one of the two cheapest has reported its load lately, one of them is chosen
        at random by their costs.

        ``excluded_ids`` are the ids of servers that were tried. Servers that failed are
        ejected for some time. After that they get one request at a time as a probe,
        until one succeeds. With ``spares_limited``, servers that limit their rate are
        left to others. ``domains`` restricts the choice to some failure domains. The
        server must have room for a request body of ``body_bytes``.
        """
        best = second = None
        best_cost = second_cost = 0.0
        for upstream in self.usable_upstreams(service, now, domains):
            if upstream.server.id in excluded_ids:
                continue
            if self.obstacle(
                upstream, now, objective_ratio, spares_limited, body_bytes
            ):
                continue
            cost = upstream.cost(now, self.domain)
            if best is None or cost < best_cost:
                second, second_cost = best, best_cost
                best, best_cost = upstream, cost
            elif second is None or cost < second_cost:
                second, second_cost = upstream, cost
        if second is None or not (best.has_report(now) or second.has_report(now)):
            return best
        is_second = random.random() < second_choice_probability(best_cost, second_cost)
        return second if is_second else best
