"""Hands requests to a peer, while this entry has lost its links to servers.

Answers the load pattern in which callers still hold the address of an entry that can
reach no server: another entry runs their requests on its behalf. The peer treats them
like requests of its own callers, with its own admission, budgets and limits. A request
is handed on once only, so that it never goes round in a circle.
"""

import random

from ..model.published import Server
from .members import RELAY_ABILITY
from .relay_marks import RELAY_HEADER, take_not_run_mark
from .upstreams import Upstream

__all__ = [
    "PEER_SERVICE",
    "RelayExchange",
    "RelayPeers",
    "may_relay",
]

# Name of the service that stands for the entries of the fleet.
PEER_SERVICE = "entries"
# A peer that failed gets no requests for this long, in s.
PEER_BACKOFF_S = 1.0


def may_relay(call):
    """Return whether a peer may run a call, which may have been sent to servers.

    Not if a peer has handed it on, if it may run once only and may have run, or if the
    most servers of its route may have run it.
    """
    if call.is_relayed or call.is_abandoned:
        return False
    if call.may_have_run and not call.route.is_idempotent:
        return False
    return call.run_count < call.route.max_servers


class RelayPeers:
    """The peers that can run requests for this entry, as seen by it.

    ``view`` is the ``MembershipView``, ``links`` the ``LinkMonitor``, and ``port`` the
    port at which entries serve callers.
    """

    __slots__ = ("_failed_until", "_links", "_port", "_upstreams", "_view")

    def __init__(self, view, links, port):
        self._view = view
        self._links = links
        self._port = port
        # Name of a member -> (incarnation, ``Upstream``).
        self._upstreams = {}
        self._failed_until = {}

    def choose(self, tried_names, now, domains=None):
        """Return the ``Upstream`` of a peer that callers are sent to, or None.

        A peer of a build without the mark would pass it on to servers, so only peers
        that have the ability are asked.
        Peers that servers have replied to since the links failed here come first, since
        others may have lost theirs without knowing it yet. Among equal ones the choice
        is at random over all failure domains: a domain with one entry left would get
        all requests of the others at once. ``domains`` restricts the peers to those in
        some failure domains.
        """
        peers = [
            member
            for member in self._view.ready_members(now)
            if member is not self._view.local_member
            and member.name not in tried_names
            and (domains is None or member.domain in domains)
            and self._failed_until.get(member.name, now) <= now
            and not self._links.is_peer_failing(member.name, now)
            and self._view.has_ability(member, RELAY_ABILITY)
        ]
        active = [member for member in peers if member.is_active]
        served = [m for m in active if self._links.is_peer_served(m.name, now)]
        candidates = served or active or peers
        return self._upstream(random.choice(candidates)) if candidates else None

    def is_alive(self, name, now):
        """Return whether heartbeats of a peer still arrive."""
        member = self._view.members.get(name)
        return member is not None and self._view.is_alive(member, now)

    def note_failure(self, name, now):
        """Record that a peer did not take a request."""
        self._failed_until[name] = now + PEER_BACKOFF_S

    def _upstream(self, member):
        incarnation, upstream = self._upstreams.get(member.name, (None, None))
        if incarnation != member.incarnation:
            address = (member.host, self._port)
            upstream = Upstream(
                Server(member.name, PEER_SERVICE, address, member.domain, 1)
            )
            self._upstreams[member.name] = member.incarnation, upstream
        return upstream


class RelayExchange:
    """A caller's request that is sent to a peer, and the peer's answer.

    It has the interface of an exchange of ``ConnectionPool``. At its end either
    ``reply`` or ``failure`` is set, and ``call.changed`` as well. ``is_not_run`` tells
    that the peer states that no server has run the request for it. Any other reply may
    be a server's, whatever its status.
    """

    __slots__ = (
        "_call",
        "_now",
        "connection",
        "failure",
        "is_not_run",
        "is_written",
        "reason",
        "reply",
        "upstream",
    )

    # The peer has merged its answer.
    record_limit = None

    def __init__(self, call, upstream, now):
        self._call = call
        self._now = now
        self.upstream = upstream
        self.connection = None
        self.is_written = False
        self.is_not_run = False
        self.reply = None
        self.failure = None
        self.reason = ""

    @property
    def request(self):
        """The caller's request."""
        return self._call.request

    @property
    def is_at_most_once(self):
        """Whether the request may run once only."""
        return not self._call.route.is_idempotent

    @property
    def has_ended(self):
        """Whether the peer has answered or failed."""
        return self.reply is not None or self.failure is not None

    def is_wanted(self):
        """Return whether the request should still be sent."""
        return not self._call.is_abandoned and self.remaining_s() > 0.0

    def remaining_s(self):
        """Return the time until the call expires, in seconds."""
        return self._call.expires_at - self._now()

    def extra_headers(self):
        """Return the headers that only this request has."""
        return [(RELAY_HEADER, b"%d" % self._call.run_count)]

    def on_connected(self):
        """Ignore a connection to a peer, which says nothing of links to servers."""

    def on_write(self):
        """Record that the request is written."""
        self.is_written = True

    async def on_reply(self, reply):
        """Take the peer's answer."""
        self.is_not_run = take_not_run_mark(reply)
        self.reply = reply
        await self._call.changed.set()

    async def on_failure(self, failure, reason, reply):
        """Record that the peer did not answer."""
        self.failure = failure
        self.reason = reason
        await self._call.changed.set()

    async def on_skipped(self):
        """Record that the request was not sent, since its call has ended."""
        self.failure = "skipped"
        await self._call.changed.set()
