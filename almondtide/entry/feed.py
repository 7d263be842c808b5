"""What reads of the store mean: news, removals, and when to read again."""

from ..errors import DocumentError
from ..platform.documents import (
    CONFIGURATION_KEY,
    SERVER_PREFIX,
    decode_configuration,
    decode_server,
)

__all__ = ["StoreFeed", "lapse_held_until", "read_due_at", "served_until"]

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
# An entry lapses after three heartbeats of silence, so that the store must have been
# away for two of them at least.
LAPSE_HEARTBEATS = 2
# How long lapsed entries are held, in s: they are back about 2 s after the store is.
LAPSE_HOLD_S = 2.8
# Part of the servers, and least number of them, that do not leave at once by plan.
MASS_PART = 0.5
MASS_LEAST = 8
# What is left of the time in which a server that has left may be used, in s, when
# its entry is let go.
DRAIN_MARGIN_S = 0.2
# The same, in s, for requests to a server that is known to leave: its connection is
# opened first, and the word takes some time to the other daemons.
LEAVING_MARGIN_S = 0.6


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


def lapse_held_until(now, read_at, failed_at, heartbeat_s, drain_s, is_mass):
    """Return until when entries that a read at ``now`` misses are held, or None.

    ``read_at`` is that of ``StoreFeed``. Entries lapse, though their servers live,
    only while the store is away: the changes may be old, and reads of this daemon
    failed since. An entry may also be gone because its server leaves, which then
    serves for ``drain_s`` only, in the worst case since the last failed read. Where
    ``is_mass`` tells that most entries are missing, they have lapsed. Times are in s.
    """
    if read_at is None or now - read_at < LAPSE_HEARTBEATS * heartbeat_s:
        return None
    if is_mass:
        return now + LAPSE_HOLD_S
    if failed_at is None or failed_at <= read_at:
        return None
    until = min(now + LAPSE_HOLD_S, failed_at + drain_s - DRAIN_MARGIN_S)
    return until if until > now else None


def served_until(read_at, drain_s):
    """Return until when servers whose leaving a read shows may be used, or 0.0.

    ``read_at`` is a time after which the store accepted the news, None if there is
    none that is known. Times are in s.
    """
    return 0.0 if read_at is None else read_at + drain_s - LEAVING_MARGIN_S


class StoreFeed:
    """Applies items and changes of the store to the knowledge of one daemon.

    ``cursor`` is the revision from which changes are read, None before the first
    full read; the store accepted all changes after it later than ``read_at``. Entries
    that are missing once the store is back are held for a while; ``shared_cursor``
    stays before their removal, so that a daemon that takes over reads it too.
    """

    __slots__ = (
        "_failed_at",
        "_held",
        "_held_from",
        "_log",
        "_replica",
        "cursor",
        "read_at",
        "settings",
    )

    def __init__(self, settings, replica, log):
        self.settings = settings
        self._replica = replica
        self._log = log
        self._held = {}
        self._held_from = None
        self._failed_at = None
        self.cursor = None
        self.read_at = None

    def read_failed(self, now):
        """Note that the store did not answer a read of this daemon."""
        self._failed_at = now

    def apply_full(self, items, revision, now):
        """Apply a full list; returns the facts that are news."""
        missing = self._replica.keys_missing_from(
            {item.key for item in items}, revision
        )
        until = self._held_until(now, len(missing))
        changed = []
        for item in items:
            self._put(item, now, changed)
        for key in missing:
            self._remove(key, revision, until, now, changed)
        self._advance(revision, now)
        return changed

    def apply_changes(self, items, revision, now):
        """Apply changes; returns the facts that are news."""
        missing = {item.key for item in items if self._is_removal(item)}
        missing = {key for key in missing if self._replica.has_server(key)}
        until = self._held_until(now, len(missing))
        changed = []
        for item in items:
            if self._is_removal(item):
                self._remove(item.key, item.revision, until, now, changed)
            else:
                self._put(item, now, changed)
        self._advance(max(revision, self.cursor or 0), now)
        return changed

    @staticmethod
    def _is_removal(item):
        return item.value is None and item.key.startswith(SERVER_PREFIX)

    def _held_until(self, now, missing):
        known = len(self._replica.server_records())
        return lapse_held_until(
            now,
            self.read_at,
            self._failed_at,
            self.settings.heartbeat_s,
            self.settings.drain_s,
            missing >= max(MASS_LEAST, MASS_PART * known),
        )

    def _advance(self, revision, now):
        if not self._held:
            self._held_from = None
        elif self._held_from is None:
            self._held_from = self.cursor or 0, self.read_at
        self.cursor = revision
        self.read_at = now
        self._replica.mark_fresh(now)

    @property
    def shared_cursor(self):
        """The ``cursor`` and ``read_at`` with which another daemon takes over."""
        if self._held and self._held_from is not None:
            return self._held_from
        return self.cursor or 0, self.read_at

    def take_cursor(self, cursor, read_at):
        """Take over the cursor of a daemon with the same knowledge, if it is newer.

        While entries are held, the own cursor stays before their return.
        """
        if self._held or cursor < (self.cursor or 0):
            return
        if cursor > (self.cursor or 0) or self.read_at is None:
            self.read_at = read_at
        elif read_at is not None:
            self.read_at = max(self.read_at, read_at)
        self.cursor = cursor

    def _put(self, item, now, changed):
        if item.key == CONFIGURATION_KEY:
            self.merge_configuration(item.value, item.revision)
            return
        if not item.key.startswith(SERVER_PREFIX):
            return
        held = self._held.get(item.key)
        if held is not None and item.revision > held[0]:
            del self._held[item.key]
        try:
            server = decode_server(item.key, item.value)
        except DocumentError as exc:
            self._log.warning("entry_invalid", key=item.key, reason=exc.message)
            server = None
        serves_until = 0.0
        if server is not None:
            serves_until = served_until(self.read_at, self.settings.drain_s)
        record = self._replica.merge_server(
            item.key, item.revision, server, now, serves_until
        )
        if record is not None:
            changed.append(record)

    def merge_configuration(self, raw, revision):
        """Take a configuration's document; returns whether it is new."""
        try:
            configuration = decode_configuration(raw or b"")
        except DocumentError as exc:
            self._log.error(
                "configuration_invalid",
                revision=revision,
                in_force=self._replica.configuration_version,
                reason=exc.message,
            )
            return False
        return self._replica.merge_configuration(configuration, raw, revision)

    def _remove(self, key, revision, until, now, changed):
        if key in self._held:
            return
        if until is not None and self._replica.has_server(key):
            self._held[key] = (revision, until)
            self._log.info(
                "entry_missing_held",
                key=key,
                revision=revision,
                hold_s=round(until - now, 2),
            )
            return
        serves_until = served_until(self.read_at, self.settings.drain_s)
        record = self._replica.merge_server(key, revision, None, now, serves_until)
        if record is not None:
            changed.append(record)

    def is_release_due(self, now):
        """Return whether held entries are to be removed unless they are back."""
        return any(until <= now for _, until in self._held.values())

    def release_held(self, now):
        """Remove held entries that stayed missing; returns them as news."""
        changed = []
        for key, (revision, until) in list(self._held.items()):
            if until <= now:
                del self._held[key]
                record = self._replica.merge_server(key, revision, None, now)
                if record is not None:
                    changed.append(record)
        return changed
