"""What this entry knows about each server, and which one to use."""

import enum
import math

__all__ = ["Failure", "Upstream", "UpstreamTable"]

# Weight of a new sample in the moving averages of slowness and failures.
SAMPLE_WEIGHT = 0.2
# Time constant, in s, at which an estimate without samples returns to normal, so
# that a server that recovered is tried again.
ESTIMATE_DECAY_S = 4.0
# Largest ratio of a latency to the expected one that counts. One exchange in a
# pause must not outweigh the cost of another failure domain; two long ones do.
MAX_LATENCY_RATIO = 3.0
# A server counts as silent when its oldest exchange takes this many times the
# expected time, and at least so many seconds, and nothing else came from it.
SILENT_FACTOR = 2.5
MIN_SILENT_S = 0.02
# A silence longer than this, in s, is no pause but a lost server.
LOST_AFTER_S = 0.45
# First and longest time, in s, for which a failing server is left out.
MIN_EJECTION_S = 0.25
MAX_EJECTION_S = 2.0
# A server that said it is full is left out for this time, in s. It is short, since a
# failing server may say so without being full and another may not be there.
MIN_FULL_BACKOFF_S = 0.02
MAX_FULL_BACKOFF_S = 0.06
# Cost of another failure domain in units of the normal time of a request.
OTHER_DOMAIN_COST = 0.45
COLD_COST = 0.4
SILENT_COST = 20.0
# Cost of a server that leaves: it serves for some time still, and is used where the
# others are lost, silent, full or much slower than it.
LEAVING_COST = 2.0
# Part of a server's connections that the entries use; the rest is left to entries
# that carried callers before and still hold some.
CONNECTION_FRACTION = 0.75
MIN_CONNECTIONS = 2
# Requests that the entries together have at a server: its slots, and behind them as
# many as are served within this part of the objective, at most so many times the
# slots. The server's own queue is first come first served and hides its load.
DEPTH_OBJECTIVE_FRACTION = 0.6
MAX_DEPTH_PER_SLOT = 4.0


class Failure(enum.Enum):
    """How an exchange failed, and so what is known about its effect."""

    # No byte of the request was sent.
    NOT_SENT = "not_sent"
    # Nothing listens at its address; no byte was sent.
    NO_LISTENER = "no_listener"
    # The server states that it did not run the request.
    NOT_RUN = "not_run"
    # Another server has the address; nothing ran.
    MISDIRECTED = "misdirected"
    # The connection broke, or the reply is no reply: it may have run.
    BROKEN = "broken"
    # The server ran it and answered with a failure.
    ERROR = "error"

    @property
    def is_certainly_not_run(self):
        """Whether the request has not run and will not."""
        return self in (
            Failure.NOT_SENT,
            Failure.NO_LISTENER,
            Failure.NOT_RUN,
            Failure.MISDIRECTED,
        )


class Upstream:
    """Load, speed and health of one life of a server, as seen from here."""

    __slots__ = (
        "_consecutive_full",
        "_consecutive_losses",
        "_failure_rate",
        "_pending",
        "_sampled_at",
        "_slowness",
        "connections",
        "ejected_until",
        "full_until",
        "idle_connections",
        "is_probing",
        "is_removed",
        "is_retired",
        "last_reply_at",
        "server",
        "serves_until",
    )

    def __init__(self, server):
        self.server = server
        self._slowness = 1.0
        self._failure_rate = 0.0
        self._sampled_at = 0.0
        self._consecutive_full = 0
        self._consecutive_losses = 0
        # Exchange -> (start, expected end), in the order of their starts.
        self._pending = {}
        self.ejected_until = 0.0
        self.full_until = 0.0
        self.last_reply_at = 0.0
        self.is_probing = False
        self.is_removed = False
        # Whether the store names it no more.
        self.is_retired = False
        # When a server that leaves may have ended.
        self.serves_until = math.inf
        # Open connections, and those of them that wait for an exchange; the pool
        # counts them.
        self.connections = 0
        self.idle_connections = 0

    @property
    def in_flight(self):
        """Number of exchanges under way."""
        return len(self._pending)

    def slowness(self, now):
        """Return the expected time as a multiple of the normal one."""
        return 1.0 + (self._slowness - 1.0) * self._estimate_weight(now)

    def failure_rate(self, now):
        """Return the expected share of requests that fail, 0.0 to 1.0."""
        return self._failure_rate * self._estimate_weight(now)

    def _estimate_weight(self, now):
        age = now - self._sampled_at
        return max(0.0, 1.0 - age / ESTIMATE_DECAY_S) if age > 0 else 1.0

    def silent_s(self, now):
        """Return for how long the server has owed an answer, or 0.0."""
        if not self._pending:
            return 0.0
        started, expected_s = next(iter(self._pending.values()))
        silent_for_s = now - max(started, self.last_reply_at)
        due = max(MIN_SILENT_S, SILENT_FACTOR * expected_s * self.slowness(now))
        return silent_for_s if silent_for_s > due else 0.0

    def start(self, exchange, now, expected_s):
        """Count an exchange that begins; a lost server is probed by it."""
        self._pending[exchange] = (now, expected_s)
        self.is_probing = self._consecutive_losses > 0

    def abandon(self, exchange, now):
        """Forget an exchange that was given up; its silence counts."""
        entry = self._pending.pop(exchange, None)
        if entry is None:
            return
        self.is_probing = False
        if now - max(entry[0], self.last_reply_at) > LOST_AFTER_S:
            self._eject(now)

    def cancel(self, exchange):
        """Forget an exchange that was never sent; it says nothing of the server."""
        self._pending.pop(exchange, None)
        self.is_probing = False

    def succeed(self, exchange, now):
        """Count a good reply; returns its latency in seconds, or None."""
        entry = self._pending.pop(exchange, None)
        self.last_reply_at = now
        self.is_probing = False
        self._consecutive_full = 0
        self._consecutive_losses = 0
        self.ejected_until = 0.0
        self.full_until = 0.0
        if entry is None:
            return None
        latency_s = now - entry[0]
        ratio = min(MAX_LATENCY_RATIO, latency_s / max(0.001, entry[1]))
        self._add_sample(ratio, 0.0, now)
        return latency_s

    def fail(self, exchange, failure, now):
        """Count an exchange that failed with ``failure``."""
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
            if failure is not Failure.BROKEN or self._failure_rate > 0.5:
                self._eject(now)

    def _eject(self, now):
        wait_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._consecutive_losses)
        self._consecutive_losses = min(10, self._consecutive_losses + 1)
        self.ejected_until = now + wait_s

    def _add_sample(self, ratio, failed, now):
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
        """Return whether the server is left out because it seems to be gone."""
        return (
            self.is_removed
            or self.ejected_until > now
            or self._consecutive_losses > 0
            or self.silent_s(now) > LOST_AFTER_S
        )

    def is_usable(self, now):
        """Return whether it may be sent a request, if it is well."""
        return not self.is_removed and now < self.serves_until

    @property
    def is_leaving(self):
        """Whether the server leaves, and is used in need only."""
        return self.serves_until != math.inf

    def cost(self, now, domain):
        """Return the cost of a request in units of the normal time."""
        server = self.server
        load = (len(self._pending) + 1) / server.slots
        cost = self.slowness(now) * max(1.0, load)
        failure_rate = self.failure_rate(now)
        if failure_rate:
            cost /= max(0.05, 1.0 - failure_rate) ** 2
        if server.domain != domain:
            cost += OTHER_DOMAIN_COST
        if server.cold:
            cost += COLD_COST
        if self.is_leaving:
            cost += LEAVING_COST
        silent_for_s = self.silent_s(now)
        if silent_for_s:
            cost += SILENT_COST + silent_for_s
        return cost


class UpstreamTable:
    """The servers of all services; ``domain`` is the own failure domain."""

    __slots__ = ("_by_id", "_by_service", "connection_limits", "domain", "entry_count")

    def __init__(self, domain):
        self.domain = domain
        # Entries that send to the same servers, this one included.
        self.entry_count = 1
        # Service -> connections that one of its servers accepts from all callers.
        self.connection_limits = {}
        self._by_id = {}
        self._by_service = {}

    def __iter__(self):
        return iter(self._by_id.values())

    def apply(self, server, serves_until=0.0):
        """Add or update a server; returns the ``Upstream`` that it replaces.

        A new life, address or service of a known id is another upstream. A server
        that leaves is used until ``serves_until`` at most.
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
                known.server = server
                known.serves_until = usable_until
                known.is_retired = False
                return None
            self.remove(server.id)
        upstream = Upstream(server)
        upstream.serves_until = usable_until
        self._by_id[server.id] = upstream
        self._by_service.setdefault(server.service, {})[server.id] = upstream
        return known

    def retire(self, server_id, serves_until, now):
        """Take the word that a server is gone from the store.

        It may serve until ``serves_until`` still. Returns its ``Upstream`` if it was
        forgotten at once, else None.
        """
        upstream = self._by_id.get(server_id)
        if upstream is None:
            return None
        upstream.serves_until = min(upstream.serves_until, serves_until)
        upstream.is_retired = True
        return None if now < upstream.serves_until else self.remove(server_id)

    def remove_expired(self, now):
        """Forget retired servers whose time is over; returns their upstreams."""
        over = [
            upstream.server.id
            for upstream in self._by_id.values()
            if upstream.is_retired and upstream.serves_until <= now
        ]
        return [self.remove(server_id) for server_id in over]

    def remove(self, server_id):
        """Forget a server; returns its ``Upstream`` or None."""
        upstream = self._by_id.pop(server_id, None)
        if upstream is not None:
            upstream.is_removed = True
            members = self._by_service[upstream.server.service]
            del members[server_id]
            if not members:
                del self._by_service[upstream.server.service]
        return upstream

    def get(self, server_id):
        """Return the ``Upstream`` with this id, or None."""
        return self._by_id.get(server_id)

    def usable_upstreams(self, service, now):
        """Return the usable upstreams of a service."""
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.is_usable(now)
        ]

    def is_service_lost(self, service, now):
        """Return whether no server of the service is expected to answer."""
        return all(
            upstream.is_lost(now) for upstream in self.usable_upstreams(service, now)
        )

    def max_in_flight(self, slots, objective_ratio):
        """Return how many requests this entry may have at a server.

        ``objective_ratio`` is the objective as a multiple of the expected time.
        """
        total = slots * min(
            MAX_DEPTH_PER_SLOT, max(1.0, DEPTH_OBJECTIVE_FRACTION * objective_ratio)
        )
        return max(1, round(total / self.entry_count))

    def may_connect(self, upstream):
        """Return whether an exchange finds a connection or may open one."""
        if upstream.idle_connections:
            return True
        limit = self.connection_limits.get(upstream.server.service)
        if limit is None:
            return True
        share = max(
            MIN_CONNECTIONS, int(CONNECTION_FRACTION * limit / self.entry_count)
        )
        return upstream.connections < share

    def total_slots(self, service, now):
        """Return the slots of the usable servers of a service."""
        return sum(
            upstream.server.slots for upstream in self.usable_upstreams(service, now)
        )

    def choose(self, service, now, excluded_ids=(), objective_ratio=MAX_DEPTH_PER_SLOT):
        """Return the best upstream of a service, or None.

        ``excluded_ids`` are ids that were tried. Servers that failed are left out for
        a while; then one request at a time may probe them.
        """
        best = None
        best_cost = 0.0
        for upstream in self.usable_upstreams(service, now):
            if upstream.server.id in excluded_ids:
                continue
            if upstream.ejected_until > now or upstream.full_until > now:
                continue
            if upstream.is_lost(now) and (
                upstream.is_probing or upstream.silent_s(now)
            ):
                continue
            if upstream.in_flight >= self.max_in_flight(
                upstream.server.slots, objective_ratio
            ):
                continue
            if not self.may_connect(upstream):
                continue
            cost = upstream.cost(now, self.domain)
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        return best

    def may_have_room_soon(self, service, now, excluded_ids=()):
        """Return whether a server is only full now and may take work soon."""
        return any(
            upstream.server.id not in excluded_ids
            and upstream.ejected_until <= now
            and not upstream.is_lost(now)
            for upstream in self.usable_upstreams(service, now)
        )
