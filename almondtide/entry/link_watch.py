"""Watches the links to servers: probes while replies are overdue or links are lost."""

import random

import curio

from .connections import CONNECT_TIMEOUT_S
from .links import LinkMonitor

__all__ = ["LinkWatch"]

# Time between two looks at overdue replies, in s.
CHECK_INTERVAL_S = 0.1
# Servers that a round of probes opens a connection to. Several, because some may have
# ended, and of different services.
PROBES_PER_ROUND = 5
# Further time for the results of a round, in s.
PROBE_MARGIN_S = 0.05


class _LinkProbe:
    """Opens a connection without a request."""

    __slots__ = ("_watch", "connection", "upstream")

    is_at_most_once = False

    def __init__(self, watch, upstream):
        self._watch = watch
        self.upstream = upstream
        self.connection = None

    def is_wanted(self):
        return False

    def on_connected(self):
        pass

    async def on_skipped(self):
        await self._watch.on_result(True)

    async def on_failure(self, failure, reason, reply):
        await self._watch.on_result(False)


class LinkWatch:
    """Runs the ``LinkMonitor`` of an entry.

    ``on_change()`` is an async function called when the state of the links changes.
    ``serving_peers(now)`` returns the names of the live peers that callers are sent to,
    ``is_active()`` whether callers are sent to this entry.
    """

    __slots__ = (
        "_has_connected",
        "_is_active",
        "_log",
        "_now",
        "_on_change",
        "_open_probes",
        "_pool",
        "_round_ended",
        "_serving_peers",
        "_table",
        "monitor",
    )

    def __init__(self, table, pool, serving_peers, is_active, on_change, now, log):
        self.monitor = LinkMonitor(now())
        self._table = table
        self._pool = pool
        self._serving_peers = serving_peers
        self._is_active = is_active
        self._on_change = on_change
        self._now = now
        self._log = log
        self._open_probes = 0
        self._has_connected = False
        self._round_ended = curio.Event()

    async def run(self):
        """Check the links until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self):
        """Probe the links if they are suspected or lost."""
        now = self._now()
        silent_ids = ()
        if self.monitor.is_silent(now):
            silent_ids = self._table.silent_ids(now)
        if not self.monitor.should_probe(silent_ids, now):
            return
        upstreams = self._table.probe_candidates(PROBES_PER_ROUND, now, random)
        if not upstreams:
            return
        has_connected = await self._probe(upstreams)
        now = self._now()
        has_changed = self.monitor.on_probed(
            has_connected, self._serving_peers(now), self._is_active(), now
        )
        fields = {
            "accepted": has_connected,
            "probed": len(upstreams),
            "silent": len(silent_ids),
            "reply_age_s": round(now - self.monitor.last_reply_at, 2),
        }
        if has_changed:
            state = self.monitor.state.value
            self._log.warning("links_changed", state=state, **fields)
            await self._on_change()
        else:
            self._log.info("links_probed", **fields)

    async def _probe(self, upstreams):
        """Return whether any of the servers accepts a connection."""
        self._has_connected = False
        self._open_probes = len(upstreams)
        self._round_ended.clear()
        for upstream in upstreams:
            await self._pool.connect(_LinkProbe(self, upstream))
        async with curio.ignore_after(CONNECT_TIMEOUT_S + PROBE_MARGIN_S):
            await self._round_ended.wait()
        return self._has_connected

    async def on_result(self, has_connected):
        """Record the result of one probe."""
        self._has_connected = self._has_connected or has_connected
        self._open_probes -= 1
        if has_connected or self._open_probes <= 0:
            await self._round_ended.set()
