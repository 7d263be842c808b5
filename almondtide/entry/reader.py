"""Reads the store when this daemon's rank requires it, and spreads the changes."""

import random

import curio

from ..errors import PlatformError
from ..model.position import era_of, revision_of
from ..platform.documents import CONFIGURATION_KEY, OPERATOR_PREFIX, SERVER_PREFIX
from ..platform.store import HistoryLostError, StoreRestoredError, StoreTimeoutError
from .configuration_check import ConfigurationCheck
from .feed import next_read_at
from .members import store_reader_rank

__all__ = ["StoreReader"]

# How long a daemon that is no seed waits for a snapshot from peers, in s, before it
# reads the store itself. At the first start of the fleet there are no callers yet.
# Later the whole fleet may have failed while callers wait, so there is only a jitter
# that spreads the reads of a fleet that starts at once.
FIRST_START_READ_DELAY_S = 0.35
RESTART_READ_JITTER_S = 0.05
# Each heartbeat of a server is a change of the store, so a watch is mostly answered at
# once.
WATCH_WAIT_MS = 20
# Timeout of a watch, in s. The store may fail to answer watches while it answers full
# reads, so a full read follows.
WATCH_TIMEOUT_S = 0.3
# Timeout of a check of the configuration, in s, so that it delays no read.
CHECK_TIMEOUT_S = 0.3
# The store returns at most about 500 changes or 1 MB per page; after an outage more may
# be pending. A page of at least this many changes, or bytes of encoded values, may be
# incomplete, so the next one is read, up to a maximum number of pages.
FULL_PAGE_CHANGES = 400
FULL_PAGE_BYTES = 500_000
MAX_PAGES = 40
# Encoding in base64 makes this of a byte. The next configuration may be larger than the
# known one, by this factor at most.
ENCODED_BYTES = 4 / 3
CONFIGURATION_GROWTH = 2.0
# Bounds of the sleep until the next check whether a read is due, in s.
MIN_SLEEP_S = 0.01
MAX_SLEEP_S = 0.5
PEER_POLL_S = 0.02


def may_be_cut(page, configuration_bytes):
    """Return whether the store may have more changes than a ``ChangePage`` holds.

    That is so too if the next one may have been too large for the page: usually no
    value is larger than the configuration, which has ``configuration_bytes``.
    """
    next_bytes = CONFIGURATION_GROWTH * ENCODED_BYTES * configuration_bytes
    return page.event_count > 0 and (
        page.event_count >= FULL_PAGE_CHANGES
        or page.value_bytes + next_bytes >= FULL_PAGE_BYTES
    )


class StoreReader:
    """Reads the store into the replica of a daemon when a read is due.

    ``on_changes(records, is_configuration_new, source)`` is an async function that
    applies changes of the replica; ``source`` is a text for the log.
    """

    __slots__ = (
        "_feed",
        "_gossip",
        "_log",
        "_now",
        "_on_changes",
        "_read_failed_at",
        "_read_failures",
        "_replica",
        "_started_at",
        "_store",
        "_unavailable_since",
        "_view",
        "configuration_check",
        "read_count",
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
        self._started_at = now()
        self._read_failed_at = None
        self._read_failures = 0
        self._unavailable_since = None
        self.configuration_check = ConfigurationCheck()
        self.read_count = 0

    async def run(self):
        """Read the store whenever a read is due, until cancelled."""
        settings = self.settings
        if settings.seeds and settings.control_address not in settings.seeds:
            await self._wait_for_peers()
        while True:
            await curio.sleep(await self._read_if_due())

    async def _read_if_due(self):
        """Read if a read is due; returns the time until the next check, in s."""
        now = self._now()
        if self._feed.is_release_due(now):
            # Read first: entries may be registered again. Another daemon that read
            # this did not spread it if the entries were unchanged.
            await self._read()
            await self._send_updates(self._feed.release_held_removals(self._now()))
            return 0.0
        due_at = self._next_read_at(now)
        if now < due_at:
            return min(MAX_SLEEP_S, max(MIN_SLEEP_S, due_at - now))
        await self._read()
        return 0.0

    def clear_retry_delay(self):
        """Allow the next read at once, for use after the process was paused."""
        self._read_failed_at = None

    def _next_read_at(self, now):
        within_s = min(self.settings.drain_s, self.settings.config_apply_s)
        fresh_at = self._replica.fresh_at
        if self.settings.evacuate_s is not None:
            # Peers of an earlier build keep only the replica fresh.
            within_s = min(within_s, self.settings.evacuate_s)
            known_at = self._feed.evacuations.known_at
            is_known = fresh_at is not None and known_at is not None
            fresh_at = min(fresh_at, known_at) if is_known else None
        rank = store_reader_rank(self._view, now)
        return next_read_at(
            fresh_at, self._read_failed_at, rank, within_s, self._read_failures
        )

    async def _wait_for_peers(self):
        if self.settings.is_first_start:
            delay_s = FIRST_START_READ_DELAY_S
        else:
            delay_s = random.random() * RESTART_READ_JITTER_S
        end = self._started_at + delay_s
        while not self._is_supplied and self._now() < end:
            await curio.sleep(PEER_POLL_S)

    @property
    def _is_supplied(self):
        """Whether peers have sent all that callers are served by."""
        return self._replica.is_complete and self._feed.knows_evacuations

    async def _read(self):
        started_at = self._now()
        before = self._replica.configuration_version
        age_s = self._replica.age_s(started_at)
        calls_before = self._store.call_count
        cursor_before = self._feed.cursor or 0
        full_reads_before = self._feed.full_read_count
        self.read_count += 1
        try:
            changed = await self._read_store()
        except PlatformError as exc:
            self._note_failure(exc, started_at)
            # The configuration may have been read before the list of servers failed.
            await self._send_updates([], self._replica.configuration_version != before)
            return
        self._note_success()
        is_full = self._feed.full_read_count > full_reads_before
        if is_full:
            self.configuration_check.note_full_read(
                self._now(), self.settings.config_apply_s
            )
        self._log.info(
            "replica_read",
            kind="full" if is_full else "changes",
            ms=int((self._now() - started_at) * 1000),
            calls=self._store.call_count - calls_before,
            known_age_ms="none" if age_s is None else int(age_s * 1000),
            changed=len(changed),
            version=self._replica.configuration_version,
            configuration_revision=revision_of(self._replica.configuration_position),
            after_revision=revision_of(cursor_before),
            revision=revision_of(self._feed.cursor),
        )
        if self._store.invalid_era is not None:
            self._log.warning("store_era_invalid", text=self._store.invalid_era[:40])
        if self._store.invalid_key is not None:
            self._log.warning("store_key_invalid", key=repr(self._store.invalid_key))
            self._store.invalid_key = None
        await self._send_updates(changed, self._replica.configuration_version != before)
        await self._gossip.trigger_heartbeat()
        if self.configuration_check.is_due(self._now(), self._now() - started_at):
            await self._check_configuration()

    async def _check_configuration(self):
        """Compare the configuration with the store's, whatever the cursor is."""
        check, within_s = self.configuration_check, self.settings.config_apply_s
        try:
            item = await self._store.get(CONFIGURATION_KEY, CHECK_TIMEOUT_S)
        except PlatformError as exc:
            check.note_failure(self._now(), within_s)
            self._log.debug("configuration_not_checked", reason=exc.message)
            return
        check.note_answer(self._now(), within_s, len(item.value) if item else 0)
        if item is not None:
            await self._take_missed(item)

    async def _take_missed(self, item):
        """Take over a configuration that the cursor has passed unread, if it is that.

        The cursor may have passed other changes too, so a full read follows.
        """
        feed = self._feed
        cursor, read_position = feed.cursor, feed.configuration_read_position
        if not ConfigurationCheck.may_be_missed(item.position, cursor, read_position):
            return
        if not feed.merge_configuration(item.value, item.position):
            return
        self.configuration_check.counts["missed"] += 1
        self._log.error(
            "configuration_missed",
            revision=revision_of(item.position),
            known_revision=revision_of(read_position),
            cursor_revision=revision_of(cursor),
            version=self._replica.configuration_version,
        )
        await self._send_updates([], True)
        feed.require_full_read()
        await self._read()

    async def _send_updates(self, changed, is_configuration_new=False):
        evacuations = self._feed.take_evacuation_changes()
        if evacuations:
            await self._gossip.send_evacuations(evacuations)
        if changed or is_configuration_new:
            await self._on_changes(changed, is_configuration_new, "store")
            await self._gossip.send_updates(changed, is_configuration_new)

    def _note_failure(self, exc, started_at):
        self._read_failed_at = self._now()
        self._read_failures += 1
        self._feed.note_failed_read(self._read_failed_at)
        if self._unavailable_since is not None:
            return
        self._unavailable_since = started_at
        age_s = self._replica.age_s(started_at)
        self._log.warning(
            "store_lost",
            reason=exc.message,
            age_s="none" if age_s is None else round(age_s, 2),
            version=self._replica.configuration_version,
        )

    def _note_success(self):
        self._read_failed_at = None
        self._read_failures = 0
        if self._unavailable_since is None:
            return
        self._log.info(
            "store_regained",
            era=era_of(self._feed.cursor),
            revision=revision_of(self._feed.cursor),
            after_s=round(self._now() - self._unavailable_since, 2),
        )
        self._unavailable_since = None

    async def _read_store(self):
        feed = self._feed
        # A cursor at revision 0 says that there is no history to continue from.
        has_history = feed.cursor is not None and revision_of(feed.cursor)
        is_full_read_due = feed.is_full_read_required or not feed.knows_evacuations
        if has_history and not is_full_read_due:
            try:
                return await self._read_changes(self._now())
            except (HistoryLostError, StoreTimeoutError) as exc:
                self._log.info(
                    "full_read",
                    reason=exc.message,
                    era=era_of(feed.cursor),
                    revision=revision_of(feed.cursor),
                )
        try:
            return await self._read_all(self._now())
        except StoreRestoredError as exc:
            self._log.info("full_read", reason=exc.message, era=self._feed.era)
            return await self._read_all(self._now())

    async def _read_all(self, started_at):
        """Read the operator's keys and all servers; returns the changed records."""
        feed = self._feed
        # A list states a position also when it has no items, unlike a single key.
        prefix = OPERATOR_PREFIX if feed.uses_evacuations else CONFIGURATION_KEY
        operator_items, operator_position = await self._store.read(prefix)
        self._check_era(operator_position)
        for item in operator_items:
            if item.key == CONFIGURATION_KEY:
                feed.merge_configuration(item.value, item.position)
        items, list_position = await self._store.read(SERVER_PREFIX)
        self._check_era(list_position)
        if era_of(list_position) != era_of(operator_position):
            raise StoreRestoredError("the store was restored during the read")
        # Changes between the answers may be in neither, so they are read next.
        position = min(operator_position, list_position)
        if not feed.uses_evacuations:
            operator_items = None
        return feed.apply_full_list(items, position, started_at, operator_items)

    def _check_era(self, position):
        """Reject an answer that the store sent before it was restored.

        A peer may have read from the restored store while the answer was on its way.
        """
        if era_of(position) < self._feed.era:
            raise PlatformError("the answer is from before the store was restored")

    async def _read_changes(self, started_at):
        """Read all pending changes; returns the changed records."""
        changes = []
        after = self._feed.cursor
        is_complete = False
        for _ in range(MAX_PAGES):
            page = await self._store.changes("", after, WATCH_WAIT_MS, WATCH_TIMEOUT_S)
            after = page.position
            self._check_era(after)
            changes.extend(page.items)
            if not may_be_cut(page, len(self._replica.configuration_raw)):
                is_complete = True
                break
        else:
            self._log.warning(
                "changes_left", pages=MAX_PAGES, revision=revision_of(after)
            )
        return self._feed.apply_changes(
            changes, after, started_at, self._now(), is_complete
        )
