"""One server as this entry sees it: requests in progress, load, health and its end.

A server's end is known from the store and from the server's own announcement; the
earlier one holds. A server that turns requests away may ask for a pause, during which
it gets none. Both belong to one incarnation of the server and outlast its entry in
the store, which may lapse and come back.

A cold server whose service has a bound for that takes requests at a known rate only,
see ``policy/rate_limits.py``.
"""

import enum
import math

from .policy.choice import server_cost
from .policy.health import ServerHealth
from .policy.rate_limits import RateLimit, WarmupBounds
from .policy.reported_load import MAX_HEDGE_LOAD, MAX_REPORT_AGE_S, KnownLoad
from .run_time import RunTime

__all__ = ["Failure", "Upstream"]

# A server counts as silent if no reply has come from it for this many times the
# expected time of its oldest exchange, and for at least MIN_SILENT_S seconds.
SILENT_FACTOR = 2.5
MIN_SILENT_S = 0.02
# A server that is silent for longer than this, in s, counts as lost. Shorter silences
# count as pauses.
LOST_AFTER_S = 0.45
# A server resets connections beyond its limit, and a limit that it lowers while its
# queue is long. After a reset of a new connection no other one is opened for this
# long, in s.
CONNECT_BACKOFF_S = 0.25

# Bounds of the expected time, as a multiple of the normal one, and of the failure rate
# of a server that is used before those of other domains.
MAX_NEAR_FACTOR = 1.8
MAX_NEAR_FAILURE_RATE = 0.1


class Failure(enum.Enum):
    """How an exchange failed, which decides whether the request may have run."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # Nothing listens at the server's address; no byte was sent.
    NO_LISTENER = "no_listener"
    # The server states that it did not run the request.
    NOT_RUN = "not_run"
    # Another server has the address, and says so; the request did not run.
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
        "_evacuated",
        "_pending",
        "_run_time",
        "_warmup_bounds",
        "announced_until",
        "assumed_cold_until",
        "cold_listed_at",
        "connect_after",
        "connection_count",
        "health",
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
        self.health = ServerHealth()
        # Exchange -> (start, expected duration in s), by order of start.
        self._pending = {}
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
        return self.health.slowness(now)

    def failure_rate(self, now):
        """Return the expected fraction of requests that fail, 0.0 to 1.0."""
        return self.health.failure_rate(now)

    @property
    def ejected_until(self):
        """Until when it gets no requests because it seems to be lost."""
        return self.health.ejected_until

    @property
    def full_until(self):
        """Until when it gets no requests because it said that it is full."""
        return self.health.full_until

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
        self.is_probing = self.health.consecutive_losses > 0

    def abandon(self, exchange, now):
        """Record that an exchange was given up; eject the server if it was silent."""
        pending = self._pending.pop(exchange, None)
        if pending is None:
            return
        self.is_probing = False
        since = max(pending[0], self.last_reply_at)
        if self._run_time.ran_s(since, now) > LOST_AFTER_S:
            self.health.eject(now)

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
        self.health.note_reply()
        if pending is None:
            return None
        latency_s = now - pending[0]
        ratio = latency_s / max(0.001, pending[1])
        self.health.note_latency(ratio, self.pace(now), now)
        return latency_s

    def fail(self, exchange, failure, now):
        """Record an exchange that failed with ``failure``."""
        self._pending.pop(exchange, None)
        self.is_probing = False
        if failure is Failure.NOT_RUN:
            self.last_reply_at = now
            self.health.note_full(now)
        elif failure is Failure.MISDIRECTED:
            self.is_removed = True
        elif failure is Failure.ERROR:
            self.last_reply_at = now
            self.health.note_error(now)
        else:
            self.is_refusing = failure is Failure.NO_LISTENER or self.is_refusing
            self.health.note_broken(failure is not Failure.BROKEN, now)

    def is_lost(self, now):
        """Return whether the server seems to be down."""
        return (
            self.is_removed
            or self.ejected_until > now
            or self.health.consecutive_losses > 0
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

    def serves_at_once(self, now):
        """Return whether a request would neither wait nor take long, by a report.

        Without one it is not known what other entries have sent. A server that others
        should spare does not count, be it free.
        """
        is_spared = (
            self.server.cold
            or self.is_leaving
            or self.is_evacuated
            or self.rate_limit is not None
            or self.warmup_limit is not None
        )
        return (
            not is_spared
            and self.has_report(now)
            and self.load(now) <= 1.0
            and self.expected_factor(now) < MAX_NEAR_FACTOR
            and self.failure_rate(now) < MAX_NEAR_FAILURE_RATE
            and not self.health.is_on_probation(now)
            and not self.silent_s(now)
        )

    def may_hedge(self, now):
        """Return whether a hedge would not wait behind others, by a report."""
        return not self.has_report(now) or self.load(now) <= MAX_HEDGE_LOAD

    def cost(self, now, domain):
        """Return the cost of a request, in units of its normal time."""
        return server_cost(
            self.expected_factor(now),
            self.failure_rate(now),
            is_crossing=self.server.domain != domain,
            is_cold=self.server.cold or self.warmup_limit is not None,
            is_ending=self.is_leaving or self.is_evacuated,
            is_limited=self.rate_limit is not None,
            is_on_probation=self.health.is_on_probation(now),
            silent_s=self.silent_s(now),
        )
