"""Service discovery for callers, and the readiness check of the platform."""

from ..adapters.http import HTTPResponse
from ..platform.headers import (
    READY_PATH,
    RESOLVE_PATH,
    encode_resolve_answer,
    parse_caller_domain,
)
from .members import MemberState, select_active_members

__all__ = ["Directory"]

# How long callers may use an answer, in s. It bounds how long they keep connecting to
# an entry that failed.
ANSWER_TTL_S = 1.0
# A daemon that has just started waits this long, in s, for heartbeats of others before
# it returns itself as the only entry.
DISCOVERY_S = 0.4
# How long the selection of active members is cached, in s.
ACTIVE_CACHE_S = 0.1


class Directory:
    """Answers look-ups of callers from the membership view of this daemon."""

    __slots__ = (
        "_active_members",
        "_computed_at",
        "_now",
        "_started_at",
        "_view",
        "counts",
        "settings",
    )

    def __init__(self, settings, view, now):
        self.settings = settings
        self._view = view
        self._now = now
        self._started_at = now()
        self._computed_at = 0.0
        self._active_members = None
        self.counts = {"answered": 0, "unknown": 0}

    def active_members(self, now):
        """Return a dict from failure domain to active members, from the cache."""
        if self._active_members is None or now - self._computed_at > ACTIVE_CACHE_S:
            self._computed_at = now
            self._active_members = select_active_members(self._view.ready_members(now))
        return self._active_members

    def invalidate(self):
        """Drop the cached selection of active members."""
        self._active_members = None

    def is_discovering(self, now):
        """Return whether heartbeats of other daemons may not have arrived yet."""
        return now < self._started_at + DISCOVERY_S

    def entry_members(self, domain, now):
        """Return the members that callers from a failure domain should use."""
        active_members = self.active_members(now)
        chosen = active_members.get(domain)
        if not chosen:
            chosen = [
                member for members in active_members.values() for member in members
            ]
        # A member that was selected just now may have failed, or not know it yet.
        confirmed = [member for member in chosen if member.is_active]
        return confirmed or chosen

    async def resolve(self, request):
        """Answer a caller's look-up with the entries to use; 503 if none is known."""
        if request.path != RESOLVE_PATH:
            return HTTPResponse(404)
        now = self._now()
        chosen = self.entry_members(parse_caller_domain(request.query), now)
        if not chosen or (
            chosen == [self._view.local_member] and self.is_discovering(now)
        ):
            self.counts["unknown"] += 1
            return HTTPResponse(503)
        self.counts["answered"] += 1
        port = self.settings.caller_address[1]
        body = encode_resolve_answer(
            [(member.host, port) for member in chosen],
            min(ANSWER_TTL_S, self.settings.max_ttl_s),
        )
        return HTTPResponse(200, body, {"content-type": "application/json"})

    async def readiness(self, request):
        """Answer the platform's readiness check: 200 if this daemon is ready."""
        if request.path != READY_PATH:
            return HTTPResponse(404)
        is_ready = self._view.local_member.state is MemberState.READY
        return HTTPResponse(200 if is_ready else 503)
