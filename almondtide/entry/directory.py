"""Service discovery for callers, and the readiness check of the platform.

Answers the load pattern in which entries end one after the other: a standby that ended
unnoticed must not be named when the active entries of its failure domain end as well.
"""

from ..adapters.http import HTTPResponse
from ..platform.headers import (
    READY_PATH,
    RESOLVE_PATH,
    encode_resolve_answer,
    parse_caller_domain,
    parse_caller_region,
    parse_resolved_host,
)
from .members import MemberState, select_active_members
from .regions import choose_entries, common_regions

__all__ = ["Directory", "max_named_age_s"]

# How long callers may use an answer, in s. It bounds how long they keep connecting to
# an entry that failed.
ANSWER_TTL_S = 1.0
# A daemon that has just started waits this long, in s, for heartbeats of others before
# it returns itself as the only entry.
DISCOVERY_S = 0.4
# How long the selection of active members is cached, in s.
ACTIVE_CACHE_S = 0.1
# An entry that has ended may be named for ``contact_s`` and this time, in s.
NAMED_AFTER_CONTACT_S = 3.0
# Fraction of that time after which an entry without a heartbeat is no longer named. The
# rest covers cached selections and a process that waits for a processor. A standby
# sends a heartbeat every second, so the age must be well above that.
NAMED_AGE_FRACTION = 0.6


def max_named_age_s(contact_s):
    """Return the age of the last heartbeat up to which an entry is named, in s.

    >>> round(max_named_age_s(5.0), 3)
    4.8
    """
    return NAMED_AGE_FRACTION * (contact_s + NAMED_AFTER_CONTACT_S)


class Directory:
    """Answers look-ups of callers from the membership view of this daemon."""

    __slots__ = (
        "_active_members",
        "_computed_at",
        "_log",
        "_named_members",
        "_now",
        "_routes_of_host",
        "_silent_names",
        "_started_at",
        "_view",
        "counts",
        "settings",
    )

    def __init__(self, settings, view, now, log):
        self.settings = settings
        self._view = view
        self._now = now
        self._started_at = now()
        self._computed_at = 0.0
        self._log = log
        self._active_members = None
        # Failure domain -> members to name to callers.
        self._named_members = {}
        # Names of the active members that are not named since they are silent.
        self._silent_names = set()
        self._routes_of_host = _no_routes
        self.counts = {
            "answered": 0,
            "unknown": 0,
            "silent_left_out": 0,
            "regional": 0,
            "out_of_region": 0,
        }

    def set_routes(self, routes_of_host):
        """Set the function that returns the routes of a host."""
        self._routes_of_host = routes_of_host

    def active_members(self, now):
        """Return a dict from failure domain to active members, from the cache."""
        if self._active_members is None or now - self._computed_at > ACTIVE_CACHE_S:
            self._computed_at = now
            ready_members = self._view.ready_members(now)
            self._active_members = self._select(ready_members)
            self._select_named(ready_members, now)
        return self._active_members

    def _select(self, members):
        return select_active_members(members, spans_domains=self.settings.spans_domains)

    def _select_named(self, ready_members, now):
        """Select the members to name: those heard lately, or all if there are none.

        Liveness for heartbeats is a longer time: in a large fleet most standbys are
        heard through others, and a standby that ended would be named for 15 s.
        """
        limit_s = max_named_age_s(self.settings.contact_s)
        heard = [
            member
            for member in ready_members
            if member is self._view.local_member
            or now - member.last_heard_at <= limit_s
        ]
        self._named_members = self._select(heard or ready_members)
        silent = [
            member
            for members in self._active_members.values()
            for member in members
            if heard and member not in heard
        ]
        for member in silent:
            if member.name not in self._silent_names:
                self._log.info(
                    "entry_not_named",
                    member=member.name,
                    silent_ms=int((now - member.last_heard_at) * 1000),
                )
        self._silent_names = {member.name for member in silent}

    def invalidate(self):
        """Drop the cached selection of active members."""
        self._active_members = None

    def is_discovering(self, now):
        """Return whether heartbeats of other daemons may not have arrived yet."""
        return now < self._started_at + DISCOVERY_S

    def entry_members(self, domain, now, region="", regions=None):
        """Return the members that callers from a failure domain should use.

        ``region`` is that of the caller, and ``regions`` are those that all restricted
        routes of the host allow, None without such a route.
        """
        self.active_members(now)
        chosen = choose_entries(
            self._named_members,
            domain,
            region,
            regions,
            self.settings.region_of_domain,
        )
        # A member that was selected just now may have failed, or not know it yet.
        confirmed = [member for member in chosen if member.is_active]
        return confirmed or chosen

    async def resolve(self, request):
        """Answer a caller's look-up with the entries to use; 503 if none is known."""
        if request.path != RESOLVE_PATH:
            return HTTPResponse(404)
        now = self._now()
        domain = parse_caller_domain(request.query)
        region = self._caller_region(request.query, domain)
        host = parse_resolved_host(request.query)
        regions = common_regions(self._routes_of_host(host))
        chosen = self.entry_members(domain, now, region, regions)
        if not chosen or (
            chosen == [self._view.local_member] and self.is_discovering(now)
        ):
            self.counts["unknown"] += 1
            return HTTPResponse(503)
        self.counts["answered"] += 1
        self.counts["silent_left_out"] += bool(self._silent_names)
        if regions is not None:
            self._count_regional(host, chosen, {region, *regions})
        port = self.settings.caller_address[1]
        body = encode_resolve_answer(
            [(member.host, port) for member in chosen],
            min(ANSWER_TTL_S, self.settings.max_ttl_s),
        )
        return HTTPResponse(200, body, {"content-type": "application/json"})

    def _caller_region(self, query, domain):
        """Return the region that a caller states, else that of its failure domain."""
        region_of_domain = self.settings.region_of_domain
        region = parse_caller_region(query)
        if region in region_of_domain.values():
            return region
        return region_of_domain.get(domain, "")

    def _count_regional(self, host, chosen, regions):
        """Count an answer for a restricted host; log one that leaves the regions."""
        self.counts["regional"] += 1
        region_of_domain = self.settings.region_of_domain
        outside = [
            member.name
            for member in chosen
            if region_of_domain.get(member.domain) not in regions
        ]
        if outside:
            self.counts["out_of_region"] += 1
            self._log.info("entries_out_of_region", host=host, members=outside)

    async def readiness(self, request):
        """Answer the platform's readiness check: 200 if this daemon is ready."""
        if request.path != READY_PATH:
            return HTTPResponse(404)
        is_ready = self._view.local_member.state is MemberState.READY
        return HTTPResponse(200 if is_ready else 503)


def _no_routes(host):
    return ()
