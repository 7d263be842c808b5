"""Watches the store's key of the configuration, apart from all other reads."""

import random

import curio

from ..errors import PlatformError
from ..model.position import era_of, revision_of
from ..platform.documents import CONFIGURATION_KEY
from ..platform.store import HistoryLostError
from .configuration_check import ConfigurationCheck
from .configuration_watch import (
    CALL_INTERVAL_S,
    IDLE_INTERVAL_S,
    ConfigurationWatch,
    is_watcher,
)
from .members import store_reader_rank

__all__ = ["ConfigurationWatcher"]

# How long a watch waits, in s, and how much longer its answer may take.
WAIT_S = 10.0
ANSWER_MARGIN_S = 1.0
# Interval between two looks at a waiting watch, in s, and between two decisions
# whether this entry watches.
POLL_S = 0.1
ROLE_INTERVAL_S = 1.0
# Delay of a look, in s, from which on the process counts as paused: the connection may
# be gone.
PAUSE_THRESHOLD_S = 1.0
# Number of the first readers of the store that send a configuration to their peers.
# All others have a watch of their own, or learn of it from a heartbeat.
SENDING_RANKS = 3


class ConfigurationWatcher:
    """Keeps a watch of the configuration open, and puts what it brings into force.

    ``store`` is a ``StoreClient`` that nothing else uses. ``on_changes(records,
    is_configuration_new, source)`` is an async function that applies changes of the
    replica.
    """

    __slots__ = (
        "_feed",
        "_gossip",
        "_is_watcher",
        "_log",
        "_now",
        "_on_changes",
        "_role_decided_at",
        "_store",
        "_view",
        "settings",
        "watch",
    )

    def __init__(self, settings, store, view, feed, gossip, on_changes, now, log):
        self.settings = settings
        self._store = store
        self._view = view
        self._feed = feed
        self._gossip = gossip
        self._on_changes = on_changes
        self._now = now
        self._log = log
        self._is_watcher = False
        self._role_decided_at = None
        self.watch = ConfigurationWatch()

    @property
    def call_count(self):
        """Number of calls of the store, failed ones included."""
        return self._store.call_count

    def state(self):
        """Return log fields on the watch."""
        watch, now = self.watch, self._now()
        position, proved_at = watch.position, watch.proved_at
        return {
            "watch_revision": "none" if position is None else revision_of(position),
            "watch_failures": watch.failures,
            "own_proof_ms": (
                "none" if proved_at is None else int((now - proved_at) * 1000)
            ),
        }

    async def run(self):
        """Watch the key until cancelled."""
        while True:
            now = self._now()
            if not self._decide_role(now):
                # The store may drop the history after it before the next call.
                self.watch.position = None
                await curio.sleep(POLL_S)
                continue
            if now < self.watch.retry_at:
                await curio.sleep(min(POLL_S, self.watch.retry_at - now))
                continue
            task = await curio.spawn(self._call, daemon=True)
            try:
                await self._wait_for(task)
            finally:
                await task.cancel()

    def _decide_role(self, now):
        """Return whether this entry calls the store; it does so once it can serve."""
        replica = self._feed.replica
        if not replica.is_complete:
            return False
        if self._role_decided_at is None or (
            now - self._role_decided_at >= ROLE_INTERVAL_S
        ):
            self._role_decided_at = now
            self._is_watcher = is_watcher(self._view, now)
        return self._is_watcher or self.watch.is_read_due(
            now, replica.fresh_at, self.settings.config_apply_s
        )

    async def _wait_for(self, task):
        """Wait for a call, and give it up if there is a reason."""
        looked_at = self._now()
        while not task.terminated:
            async with curio.ignore_after(POLL_S):
                await task.wait()
            now = self._now()
            is_paused = now - looked_at > POLL_S + PAUSE_THRESHOLD_S
            looked_at = now
            if task.terminated:
                break
            reason = "paused" if is_paused else self._renewal_reason(now)
            if reason is None and self._decide_role(now):
                continue
            await task.cancel()
            await self._store.close()
            self.watch.renew(reason)
            if reason is not None:
                self._log.info("configuration_watch_renewed", reason=reason)
            return
        # Raises what ended the call, if that is no failure of the store.
        await task.join()

    def _renewal_reason(self, now):
        replica = self._feed.replica
        return self.watch.renewal_reason(
            now,
            replica.configuration_position,
            replica.fresh_at,
            self._feed.era,
            self.settings.config_apply_s,
        )

    async def _call(self):
        """Make one call: read the key, or wait for its next change."""
        watch = self.watch
        began_at = self._now()
        is_read = watch.position is None
        try:
            if is_read:
                self._store.timeout_s = watch.answer_timeout_s
                items, position = await self._store.read(CONFIGURATION_KEY)
            else:
                page = await self._store.changes(
                    CONFIGURATION_KEY,
                    watch.position,
                    int(WAIT_S * 1000),
                    WAIT_S + ANSWER_MARGIN_S,
                )
                items, position = page.items, page.position
        except HistoryLostError:
            watch.renew(retry_at=self._now() + CALL_INTERVAL_S)
            return
        except PlatformError as exc:
            self._note_failure(exc.message)
            return
        if era_of(position) < self._feed.era:
            self._note_failure("the answer is from before the store was restored")
            return
        now = self._now()
        proved_at, retry_at = began_at, 0.0
        if items and not is_read:
            retry_at = now + CALL_INTERVAL_S
        elif not is_read and now - began_at >= WAIT_S:
            # An answer without a change is made at the end of the wait.
            proved_at = began_at + WAIT_S
        elif not is_read:
            retry_at = now + IDLE_INTERVAL_S
        watch.note_answer(position, proved_at, retry_at)
        for item in items:
            if item.key == CONFIGURATION_KEY and item.value is not None:
                await self._take(item)

    def _note_failure(self, reason):
        if not self.watch.failures:
            self._log.info("configuration_watch_failed", reason=reason)
        self.watch.note_failure(self._now(), random.random())

    async def _take(self, item):
        """Put a configuration into force if it is newer."""
        feed = self._feed
        cursor, read_position = feed.cursor, feed.configuration_read_position
        if not feed.merge_configuration(item.value, item.position):
            return
        if ConfigurationCheck.may_be_missed(item.position, cursor, read_position):
            # The cursor may have passed other changes too.
            feed.require_full_read()
            self.watch.counts["missed"] += 1
            self._log.error(
                "configuration_missed",
                revision=revision_of(item.position),
                known_revision=revision_of(read_position),
                cursor_revision=revision_of(cursor),
                version=feed.replica.configuration_version,
            )
        await self._on_changes([], True, "watch")
        if store_reader_rank(self._view, self._now()) < SENDING_RANKS:
            await self._gossip.send_updates([], True)
        elif self._view.is_large and self._view.local_member.is_active:
            # An update from another domain brings nothing new here, so that this
            # entry would not pass it on to those of its domain that have no watch.
            await self._gossip.send_updates([], True, is_known_elsewhere=True)

    async def close(self):
        """Close the connection to the store."""
        await self._store.close()
