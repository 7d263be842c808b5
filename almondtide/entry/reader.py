"""Reads the store in turn with the other daemons, and passes the news on."""

import random

import curio

from ..errors import PlatformError
from ..platform.documents import CONFIGURATION_KEY, SERVER_PREFIX
from ..platform.store import HistoryLostError, StoreSilentError
from .feed import read_due_at
from .members import store_reader_rank

__all__ = ["StoreReader"]

# How long a daemon that is no seed waits for knowledge from peers, in s, before it
# reads the store itself. When the fleet starts for the first time nobody calls yet;
# later all may have died together with callers waiting, and the first one up reads.
FIRST_READ_DELAY_S = 0.35
RESTART_READ_DELAY_S = 0.05
RESTART_READ_SPREAD_S = 0.15
# The store answers a watch at once when servers have sent heartbeats.
WATCH_WAIT_MS = 20
# Time for the answer to a watch, in s. The store may leave watches without answer
# while it answers other reads, which are tried next.
WATCH_TIMEOUT_S = 0.3
# The store returns about 500 changes at most; after an outage more of them wait. A
# page of so many may have been cut, and a read takes so many pages at most.
FULL_PAGE = 400
MOST_PAGES = 40
# Bounds of the sleep until the next look whether a read is due, in s.
LOOK_LEAST_S = 0.01
LOOK_MOST_S = 0.5
PEER_LOOK_S = 0.02


class StoreReader:
    """Keeps the knowledge of a daemon fresh from the store when it is its turn.

    ``on_changes(facts, configured, source)`` is an async function that applies news.
    """

    __slots__ = (
        "_failed_at",
        "_feed",
        "_gossip",
        "_log",
        "_lost_at",
        "_now",
        "_on_changes",
        "_replica",
        "_started",
        "_store",
        "_view",
        "reads",
        "settings",
    )

    def __init__(
        self, settings, store, view, replica, feed, gossip, on_changes, now, log
    ):
        self.settings = settings
        self._store = store
        self._view = view
        self._replica = replica
        self._feed = feed
        self._gossip = gossip
        self._on_changes = on_changes
        self._now = now
        self._log = log
        self._started = now()
        self._failed_at = None
        self._lost_at = None
        self.reads = 0

    async def run(self):
        """Read whenever it is the turn of this daemon, for ever."""
        settings = self.settings
        if settings.seeds and settings.control_address not in settings.seeds:
            await self._await_peers()
        while True:
            await curio.sleep(await self._look())

    async def _look(self):
        """Read if it is time; returns the time until the next look, in s."""
        now = self._now()
        if self._feed.is_release_due(now):
            # Another daemon may have seen entries come back, which is no news.
            await self._read()
            await self._spread(self._feed.release_held(self._now()))
            return 0.0
        due = self._due_at(now)
        if now < due:
            return min(LOOK_MOST_S, max(LOOK_LEAST_S, due - now))
        await self._read()
        return 0.0

    def expect_change(self):
        """Forget the pause after a failed read, since time has passed unseen."""
        self._failed_at = None

    def _due_at(self, now):
        within_s = min(self.settings.drain_s, self.settings.config_apply_s)
        rank = store_reader_rank(self._view, now)
        return read_due_at(self._replica.fresh_at, self._failed_at, rank, within_s)

    async def _await_peers(self):
        if self.settings.is_first_start:
            delay_s = FIRST_READ_DELAY_S
        else:
            delay_s = RESTART_READ_DELAY_S + random.random() * RESTART_READ_SPREAD_S
        end = self._started + delay_s
        while not self._replica.is_complete and self._now() < end:
            await curio.sleep(PEER_LOOK_S)

    async def _read(self):
        begun = self._now()
        before = self._replica.configuration_version
        self.reads += 1
        try:
            changed = await self._read_store()
        except PlatformError as exc:
            self._failed(exc, begun)
            return
        self._succeeded()
        await self._spread(changed, self._replica.configuration_version != before)
        await self._gossip.trigger_heartbeat()

    async def _spread(self, changed, is_configuration_new=False):
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, "store")
            await self._gossip.send_updates(changed, is_configuration_new)

    def _failed(self, exc, begun):
        self._failed_at = self._now()
        self._feed.read_failed(self._failed_at)
        if self._lost_at is not None:
            return
        self._lost_at = begun
        age_s = self._replica.age_s(begun)
        self._log.warning(
            "store_lost",
            reason=exc.message,
            age_s="none" if age_s is None else round(age_s, 2),
            version=self._replica.configuration_version,
        )

    def _succeeded(self):
        self._failed_at = None
        if self._lost_at is None:
            return
        self._log.info(
            "store_regained",
            revision=self._feed.cursor,
            after_s=round(self._now() - self._lost_at, 2),
        )
        self._lost_at = None

    async def _read_store(self):
        feed = self._feed
        if feed.cursor is not None:
            try:
                return await self._read_changes(self._now())
            except (HistoryLostError, StoreSilentError) as exc:
                self._log.info("full_read", reason=exc.message, cursor=feed.cursor)
        begun = self._now()
        item = await self._store.get(CONFIGURATION_KEY)
        if item is not None:
            feed.merge_configuration(item.value, item.revision)
        items, revision = await self._store.read(SERVER_PREFIX)
        return feed.apply_full(items, revision, begun)

    async def _read_changes(self, begun):
        """Read until no more changes wait; returns the news."""
        changes = []
        after = self._feed.cursor
        for _ in range(MOST_PAGES):
            page, after = await self._store.changes(
                "", after, WATCH_WAIT_MS, WATCH_TIMEOUT_S
            )
            changes.extend(page)
            if len(page) < FULL_PAGE:
                break
        else:
            self._log.warning("changes_left", pages=MOST_PAGES, cursor=after)
        return self._feed.apply_changes(changes, after, begun)
