"""What reads of the store mean: news, removals, and when to read again."""

from ..errors import DocumentError
from ..platform.documents import (
    CONFIGURATION_KEY,
    SERVER_PREFIX,
    decode_configuration,
    decode_server,
)

__all__ = ["StoreFeed", "read_due_at"]

# Parts of the time in which changes must reach every daemon: between two reads of
# the daemon that reads, until the next in rank reads too because the news are late,
# and the further delay of each rank after it.
READ_PART = 0.33
TAKEOVER_PART = 0.12
RANK_PART = 0.08
LAST_RANK = 6
# Pause of one daemon after a read that failed, in s, and its growth by rank.
FAILED_PAUSE_S = 0.5
FAILED_RANK_STEP_S = 0.5
# A gap in the knowledge of the store, in s, in which entries may have lapsed
# though their servers live, and how long after it such entries may stay missing.
LAPSE_GAP_S = 1.9
LAPSE_HOLD_S = 2.8


def read_due_at(fresh_at, failed_at, rank, within_s):
    """Return when a daemon with this rank reads the store next, in s.

    Changes must reach every daemon ``within_s`` of the store's acknowledgement.

    ``fresh_at`` is the time for which the store's state is known, from own reads
    or from peers; ``failed_at`` the time of the last own read that failed, or None.
    """
    rank = min(rank, LAST_RANK)
    due = 0.0
    if fresh_at is not None:
        due = fresh_at + READ_PART * within_s
        if rank:
            due += (TAKEOVER_PART + RANK_PART * (rank - 1)) * within_s
    if failed_at is not None:
        due = max(due, failed_at + FAILED_PAUSE_S + FAILED_RANK_STEP_S * rank)
    return due


class StoreFeed:
    """Applies items and changes of the store to the knowledge of one daemon.

    ``cursor`` is the revision from which changes are read, None before the first
    full read. Entries that are missing after a gap are held for a while.
    """

    __slots__ = ("_held", "_knowledge", "_log", "cursor")

    def __init__(self, knowledge, log):
        self._knowledge = knowledge
        self._log = log
        self._held = {}
        self.cursor = None

    def apply_full(self, items, revision, now):
        """Apply a full list; returns the facts that are news."""
        gap = self._is_gap(now)
        keys = set()
        news = []
        for item in items:
            keys.add(item.key)
            self._put(item, now, news)
        for key in self._knowledge.missing_from(keys, revision):
            self._remove(key, revision, gap, now, news)
        self.cursor = revision
        self._knowledge.confirm(now)
        return news

    def apply_changes(self, items, revision, now):
        """Apply changes; returns the facts that are news."""
        gap = self._is_gap(now)
        news = []
        for item in items:
            if item.value is None and item.key.startswith(SERVER_PREFIX):
                self._remove(item.key, item.revision, gap, now, news)
            else:
                self._put(item, now, news)
        self.cursor = max(revision, self.cursor or 0)
        self._knowledge.confirm(now)
        return news

    def _is_gap(self, now):
        age_s = self._knowledge.age_s(now)
        return age_s is not None and age_s > LAPSE_GAP_S

    def _put(self, item, now, news):
        if item.key == CONFIGURATION_KEY:
            self.adopt(item.value, item.revision)
            return
        if not item.key.startswith(SERVER_PREFIX):
            return
        self._held.pop(item.key, None)
        try:
            server = decode_server(item.key, item.value)
        except DocumentError as exc:
            self._log.warning("entry_invalid", key=item.key, reason=exc.message)
            server = None
        fact = self._knowledge.put(item.key, item.revision, server, now)
        if fact is not None:
            news.append(fact)

    def adopt(self, raw, revision):
        """Take a configuration's document; returns whether it is new."""
        try:
            configuration = decode_configuration(raw or b"")
        except DocumentError as exc:
            self._log.error(
                "configuration_invalid",
                revision=revision,
                in_force=self._knowledge.version,
                reason=exc.message,
            )
            return False
        return self._knowledge.adopt(configuration, raw, revision)

    def _remove(self, key, revision, gap, now, news):
        if gap:
            self._held.setdefault(key, (revision, now + LAPSE_HOLD_S))
            self._log.info("entry_missing_held", key=key, hold_s=LAPSE_HOLD_S)
            return
        self._held.pop(key, None)
        fact = self._knowledge.put(key, revision, None, now)
        if fact is not None:
            news.append(fact)

    def release_held(self, now):
        """Remove held entries that stayed missing; returns them as news."""
        news = []
        for key, (revision, until) in list(self._held.items()):
            if until <= now:
                del self._held[key]
                fact = self._knowledge.put(key, revision, None, now)
                if fact is not None:
                    news.append(fact)
        return news
