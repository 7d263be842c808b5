"""Tells servers that have ended from links of this entry that were lost.

Answers the load pattern in which an entry is partitioned while it runs requests: its
connections break and new ones are refused, as if each server had crashed under what it
ran. The requests would be quarantined here and, as losses are reported, at all peers.
"""

import random

from .upstreams import Failure

__all__ = ["ServerEnds"]

# Other servers that are asked for a connection after one has refused it.
CHECKED_SERVERS = 2


class _End:
    """A server that refused a connection, and how many others are being asked."""

    __slots__ = ("open_checks", "server_id")

    def __init__(self, server_id, open_checks):
        self.server_id = server_id
        self.open_checks = open_checks


class _OtherServerCheck:
    """Opens a connection to another server, without a request."""

    __slots__ = ("_end", "_server_ends", "connection", "upstream")

    is_at_most_once = False

    def __init__(self, server_ends, upstream, end):
        self._server_ends = server_ends
        self._end = end
        self.upstream = upstream
        self.connection = None

    def is_wanted(self):
        return False

    def on_connected(self):
        self._server_ends.links.note_connected()

    async def on_skipped(self):
        await self._server_ends.on_checked(self._end, self.upstream, None)

    async def on_failure(self, failure, reason, reply):
        await self._server_ends.on_checked(self._end, self.upstream, failure)


class ServerEnds:
    """Counts the losses under a server's requests once it is known to have ended.

    A refused connection shows that, if another server accepts one after it. ``links``
    is the ``LinkMonitor``. ``report_losses`` is an async function that gets a list of
    (fingerprint of a request, ids of servers), or None.
    """

    __slots__ = (
        "_crash_detector",
        "_log",
        "_now",
        "_pending",
        "_pool",
        "_table",
        "links",
        "report_losses",
    )

    def __init__(self, table, pool, crash_detector, links, now, log):
        self._table = table
        self._pool = pool
        self._crash_detector = crash_detector
        self._now = now
        self._log = log
        # Server id -> its ``_End`` while other servers are asked.
        self._pending = {}
        self.links = links
        self.report_losses = None

    async def note_refused(self, server_id):
        """Record that a server refused a connection."""
        if server_id in self._pending or not self._crash_detector.has_losses(server_id):
            return
        if self.links.is_failing:
            self._discard(server_id)
            return
        others = self._choose_others(server_id)
        if not others:
            await self._count(server_id)
            return
        end = self._pending[server_id] = _End(server_id, len(others))
        for upstream in others:
            await self._pool.connect(_OtherServerCheck(self, upstream, end))

    def _choose_others(self, server_id):
        """Return other servers to ask, preferably such that do not seem to be lost."""
        now = self._now()
        others = [
            upstream
            for upstream in self._table
            if upstream.server.id != server_id
            and upstream.accepts_requests(now)
            and self._table.may_connect(upstream, now)
        ]
        sound = [upstream for upstream in others if not upstream.is_lost(now)]
        candidates = sound or others
        return random.sample(candidates, min(CHECKED_SERVERS, len(candidates)))

    async def on_checked(self, end, upstream, failure):
        """Handle the result of asking another server; no failure means reached."""
        if failure in (Failure.NOT_SENT, Failure.NO_LISTENER):
            self.links.note_failure(upstream.server.id, True, self._now())
        end.open_checks -= 1
        if self._pending.get(end.server_id) is not end:
            return
        if failure is None:
            del self._pending[end.server_id]
            await self._count(end.server_id)
        elif not end.open_checks:
            del self._pending[end.server_id]
            self._discard(end.server_id)

    async def _count(self, server_id):
        losses = self._crash_detector.on_server_ended(server_id)
        if losses and self.report_losses is not None:
            await self.report_losses(losses)

    def _discard(self, server_id):
        count = self._crash_detector.discard_losses(server_id)
        self._log.info("losses_discarded", server=server_id, requests=count)
