"""Applies reads of the store to the replica, and tells when to read again.

An entry in this module is the registration of a server in the store. It expires
unless the server renews it by heartbeats.

The store may be restored from a copy that is some seconds old. Its revisions then go
back and its era rises, see ``model/position.py``. What servers and the operator wrote
after the copy was made is gone until they write it again, so what this daemon knows
from the earlier era is kept for a while.
"""

from ..errors import DocumentError
from ..model.position import era_of, make_position, revision_of
from ..platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    decode_configuration,
    decode_evacuated_domain,
    decode_server,
)
from .evacuations import MAX_MESSAGE_WAIT_S, EvacuationNotice, Evacuations

__all__ = ["StoreFeed", "leaving_serves_until", "next_read_at", "removal_held_until"]

# Fractions of the time in which changes must reach every daemon: the interval between
# two reads of the reader, the extra delay until the daemon of rank 1 takes over
# because updates are late, and the further delay of each rank after it.
READ_INTERVAL_FRACTION = 0.33
TAKEOVER_DELAY_FRACTION = 0.05
RANK_DELAY_FRACTION = 0.03
# Daemons of this rank and higher ones have another delay. In a large fleet statements
# of reads may take a second to reach them, and there are many of them.
MAX_RANK = 6
LAST_RANKS_DELAY_FRACTION = 0.52
# Delay of a daemon after its own failed read, in s, and its growth by rank. A first
# failure may be of one call; after several the store is likely to be unavailable.
FIRST_RETRY_DELAY_S = 0.15
FIRST_RETRY_RANK_DELAY_S = 0.01
READ_RETRY_DELAY_S = 0.5
READ_RETRY_RANK_DELAY_S = 0.5
# An entry expires after three missed heartbeats of its server. Entries of live servers
# expire only if the store was unavailable for at least two of them.
EXPIRY_HEARTBEATS = 2
# How long removals of expired entries are held, in s. Live servers have registered
# again about 2 s after the store is available.
REMOVAL_HOLD_S = 2.8
# Planned removals never take so many servers at once: at least this fraction of all,
# and at least this number. If so many are missing, their entries have expired.
MASS_EXPIRY_FRACTION = 0.5
MASS_EXPIRY_MIN_SERVERS = 8
# How long entries that only the earlier era had are kept after a restoration, in s.
# Servers write at each heartbeat, and have registered again about 2 s after the store
# is available.
RESTORATION_HOLD_S = REMOVAL_HOLD_S
# A held removal takes effect this long, in s, before a server that left may end.
DRAIN_MARGIN_S = 0.2
# Requests to a server that is known to leave stop this long, in s, before it may end.
# A request may open a connection first, and updates take time to reach other daemons.
LEAVING_MARGIN_S = 0.6


def next_read_at(fresh_at, failed_at, rank, within_s, failures=1):
    """Return when a daemon of this rank reads the store next, in s.

    Changes must reach every daemon ``within_s`` seconds after the store acknowledged
    them. ``fresh_at`` is the latest time at which the replica matched the store,
    known from own reads or from peers, or None. ``failed_at`` is the time of the last
    own read if it failed, else None, and ``failures`` the number of own reads that have
    failed in a row.
    """
    rank = min(rank, MAX_RANK)
    due = 0.0
    if fresh_at is not None:
        due = fresh_at + READ_INTERVAL_FRACTION * within_s
        if rank == MAX_RANK:
            due += LAST_RANKS_DELAY_FRACTION * within_s
        elif rank:
            due += (
                TAKEOVER_DELAY_FRACTION + RANK_DELAY_FRACTION * (rank - 1)
            ) * within_s
    if failed_at is not None:
        delay_s = FIRST_RETRY_DELAY_S + FIRST_RETRY_RANK_DELAY_S * rank
        if failures > 1:
            delay_s = READ_RETRY_DELAY_S + READ_RETRY_RANK_DELAY_S * rank
        due = max(due, failed_at + delay_s)
    return due


def removal_held_until(now, read_at, failed_at, heartbeat_s, drain_s, is_mass_expiry):
    """Return until when entries that are missing at ``now`` are kept, or None.

    Entries of live servers expire only while the store is unavailable: the last good
    read, at ``read_at``, is old, and reads of this daemon failed since. An entry may
    also be missing because its server leaves. Such a server serves for ``drain_s``,
    in the worst case counted from the failed read at ``failed_at``. With
    ``is_mass_expiry`` so many entries are missing that they must have expired. Times
    are in s.
    """
    if read_at is None or now - read_at < EXPIRY_HEARTBEATS * heartbeat_s:
        return None
    if is_mass_expiry:
        return now + REMOVAL_HOLD_S
    if failed_at is None or failed_at <= read_at:
        return None
    until = min(now + REMOVAL_HOLD_S, failed_at + drain_s - DRAIN_MARGIN_S)
    return until if until > now else None


def leaving_serves_until(read_at, drain_s):
    """Return until when a server that a read shows as leaving may be used, or 0.0.

    ``read_at`` is a time before the store accepted the change, or None if no such
    time is known. Times are in s.
    """
    return 0.0 if read_at is None else read_at + drain_s - LEAVING_MARGIN_S


class StoreFeed:
    """Applies items and changes read from the store to the replica of one daemon.

    ``cursor`` is the position after which changes are read, None before the first
    full read. The store accepted all later changes after the time ``read_at``.
    ``era`` is the highest era that is known from the store or from peers.
    ``configuration_read_position`` is the highest one at which a configuration was
    read, from the store or from peers, invalid ones included. While
    ``is_full_read_required``, the cursor is known to have passed changes unread.

    Removals of entries that probably expired while the store was unavailable are held
    for a while. Meanwhile ``shared_position`` stays before them, so that a daemon that
    takes over reads these removals too.

    After a restoration, entries that the restored store doesn't have are held in the
    same way, and entries that it still has although they were removed before are not
    used until their servers write them again. Evacuations of failure domains that the
    restored store lacks are held as well.

    ``evacuations`` stays empty and unknown where the settings have no ``evacuate_s``.
    """

    __slots__ = (
        "_evacuation_changes",
        "_held_removals",
        "_held_withdrawals",
        "_log",
        "_position_before_held",
        "_read_at_before_era",
        "_read_failed_at",
        "_replica",
        "_restored_at",
        "_revived_positions",
        "configuration_read_position",
        "cursor",
        "era",
        "evacuations",
        "full_read_count",
        "is_full_read_required",
        "read_at",
        "settings",
    )

    def __init__(self, settings, replica, log):
        self.settings = settings
        self._replica = replica
        self._log = log
        # Key -> (position of the removal, time until which it is held).
        self._held_removals = {}
        # The same for evacuations that a restored store lacks, by failure domain.
        self._held_withdrawals = {}
        # Evacuations that began or ended by own reads and were not sent to peers yet.
        self._evacuation_changes = []
        self.evacuations = Evacuations()
        # The cursor and ``read_at`` before the removals that are held, or None.
        self._position_before_held = None
        self._read_failed_at = None
        # Key -> position at which a restored store lists an entry that was removed.
        self._revived_positions = {}
        # When this daemon learned of the last restoration, and its ``read_at`` then.
        self._restored_at = None
        self._read_at_before_era = None
        self.configuration_read_position = 0
        self.cursor = None
        self.era = 0
        self.full_read_count = 0
        self.is_full_read_required = False
        self.read_at = None

    def note_era(self, era, now):
        """Record the era of an answer of the store or of a peer's message."""
        if era <= self.era:
            return
        self.era = era
        if not self._replica.all_records() and not self.evacuations:
            # Nothing is known of an earlier era.
            return
        self._restored_at = now
        self._read_at_before_era = self.read_at
        self._log.warning(
            "store_restored",
            era=era,
            known_era=era_of(self._replica.position),
            known_revision=revision_of(self._replica.position),
        )

    def unconfirmed_until(self, key, now):
        """Return until when an entry of an earlier era is kept, or None.

        None stands for an entry of this era, and for any after the hold time.
        """
        record = self._replica.record(key)
        if self._restored_at is None or record is None:
            return None
        until = self._restored_at + RESTORATION_HOLD_S
        if now >= until or era_of(record.position) >= self.era:
            return None
        return until

    def note_failed_read(self, now):
        """Record that the store did not answer a read of this daemon."""
        self._read_failed_at = now

    def require_full_read(self):
        """Read all next, whatever the cursor is."""
        self.is_full_read_required = True

    @property
    def uses_evacuations(self):
        """Whether the deployment evacuates failure domains."""
        return self.settings.evacuate_s is not None

    @property
    def knows_evacuations(self):
        """Whether the evacuated domains are known, or the deployment has none."""
        return not self.uses_evacuations or self.evacuations.known_at is not None

    def apply_full_list(self, items, position, now, operator_items=None):
        """Apply a full list of items; returns the changed records.

        ``operator_items`` are all keys of the operator where evacuations are used.
        """
        self.full_read_count += 1
        self.is_full_read_required = False
        self.note_era(era_of(position), now)
        if operator_items is not None:
            self._apply_evacuation_list(operator_items, position, now)
        missing = self._replica.keys_missing_from(
            {item.key for item in items}, position
        )
        until = self._removal_held_until(now, len(missing))
        changed = []
        for item in items:
            if not self._is_revived(item):
                self._merge_item(item, now, changed)
        for key in missing:
            held_until = self.unconfirmed_until(key, now) or until
            self._merge_removal(key, position, held_until, now, changed)
        self._set_position(position, now)
        return changed

    def _is_revived(self, item):
        """Return whether only a restored store lists the entry, which was removed.

        Its server would write it again within a heartbeat, at a later position.
        """
        revived_position = self._revived_positions.get(item.key)
        if revived_position is None:
            record = self._replica.record(item.key)
            if (
                record is None
                or record.server is not None
                or era_of(record.position) >= era_of(item.position)
            ):
                return False
            self._revived_positions[item.key] = revived_position = item.position
            self._log.info(
                "entry_revived", key=item.key, revision=revision_of(item.position)
            )
        if item.position > revived_position:
            del self._revived_positions[item.key]
            return False
        return True

    def apply_changes(self, items, position, now, answered_at=None, is_complete=True):
        """Apply a list of changes; returns the changed records.

        The read began at ``now`` and was answered at ``answered_at``. Unless it
        ``is_complete``, changes before ``now`` are left, so that it confirms nothing.
        """
        missing = {item.key for item in items if self._is_removal(item)}
        missing = {key for key in missing if self._replica.has_server(key)}
        until = self._removal_held_until(now, len(missing))
        changed = []
        for item in items:
            if self._is_removal(item):
                self._merge_removal(item.key, item.position, until, now, changed)
            elif self.uses_evacuations and item.key.startswith(EVACUATION_PREFIX):
                self._merge_evacuation_change(item, now, answered_at or now)
            else:
                self._merge_item(item, now, changed)
        is_known = self.uses_evacuations and self.evacuations.known_at is not None
        if is_known and is_complete:
            self.evacuations.note_local_read(now)
        self._set_position(position, now, is_complete)
        return changed

    @staticmethod
    def _is_removal(item):
        return item.value is None and item.key.startswith(SERVER_PREFIX)

    def _removal_held_until(self, now, missing_count):
        known_count = len(self._replica.server_records())
        return removal_held_until(
            now,
            self.read_at,
            self._read_failed_at,
            self.settings.heartbeat_s,
            self.settings.drain_s,
            missing_count
            >= max(MASS_EXPIRY_MIN_SERVERS, MASS_EXPIRY_FRACTION * known_count),
        )

    @property
    def _is_holding(self):
        """Whether something that the store no longer lists is kept for a while."""
        return bool(self._held_removals or self._held_withdrawals)

    @property
    def replica(self):
        """The ``StoreReplica`` that reads are applied to."""
        return self._replica

    def is_held(self, key):
        """Return whether a server is kept that the store no longer lists."""
        return key in self._held_removals

    def _set_position(self, position, now, is_complete=True):
        if not self._is_holding:
            self._position_before_held = None
        elif self._position_before_held is None:
            # No history leads from another era to this one.
            before = max(self.cursor or 0, make_position(self.era, 0))
            self._position_before_held = before, self.read_at
        self.cursor = position
        if is_complete:
            self.read_at = now
            self._replica.freshness.note_local_read(now)

    @property
    def shared_position(self):
        """The ``cursor`` and ``read_at`` from which another daemon may continue."""
        if self._is_holding and self._position_before_held is not None:
            return self._position_before_held
        return self.cursor or 0, self.read_at

    def adopt_cursor(self, cursor, read_at, source=""):
        """Adopt the position of a daemon with an equal replica unless it is older.

        While removals are held, the cursor stays, so that the next read shows which
        entries are registered again. ``source`` names the daemon in the log.
        """
        if self._is_holding or cursor < (self.cursor or 0):
            return
        if cursor > (self.cursor or 0) or self.read_at is None:
            self.read_at = read_at
            self._log.debug(
                "cursor_adopted",
                revision=revision_of(cursor),
                known_revision=revision_of(self.cursor or 0),
                source=source,
            )
        elif read_at is not None:
            self.read_at = max(self.read_at, read_at)
        self.cursor = cursor

    def merge_peer_record(self, key, position, server, now, serves_until=0.0):
        """Store what a peer knows of a server; see ``StoreReplica.merge_server``.

        A key that the replica lacks, with a position before the cursor, was removed:
        the peer, or its message, is older than what this daemon has read.
        """
        if (
            server is not None
            and self._replica.record(key) is None
            and self.cursor is not None
            and position <= self.cursor
            and era_of(position) == era_of(self.cursor)
        ):
            return None
        return self._replica.merge_server(key, position, server, now, serves_until)

    def _merge_item(self, item, now, changed):
        if item.key == CONFIGURATION_KEY:
            self.merge_configuration(item.value, item.position)
            return
        if not item.key.startswith(SERVER_PREFIX):
            return
        held = self._held_removals.get(item.key)
        if held is not None and item.position > held[0]:
            del self._held_removals[item.key]
        self._revived_positions.pop(item.key, None)
        try:
            server = decode_server(item.key, item.value)
        except DocumentError as exc:
            self._log.warning("entry_invalid", key=item.key, reason=exc.message)
            server = None
        serves_until = 0.0
        if server is not None:
            serves_until = self._leaving_serves_until(now)
        record = self._replica.merge_server(
            item.key, item.position, server, now, serves_until
        )
        if record is not None:
            changed.append(record)

    def _leaving_serves_until(self, now):
        """Return until when a server that the current read shows as leaving serves."""
        return leaving_serves_until(self._changed_after(now), self.settings.drain_s)

    def _changed_after(self, now):
        """Return a time after which the changes of the current read were made."""
        if (
            self._restored_at is not None
            and now < self._restored_at + RESTORATION_HOLD_S
        ):
            # They may have been made before in the time that the store lost, which
            # began after the last read of the earlier era.
            return self._read_at_before_era
        return self.read_at

    # Evacuations

    def _domains(self):
        return {*self.settings.domains, self.settings.domain}

    def _decode_domain(self, key):
        """Return the failure domain of a key, or None for an unknown one."""
        try:
            return decode_evacuated_domain(key, self._domains())
        except DocumentError as exc:
            self._note_invalid_evacuation(exc.message)
            return None

    def _note_invalid_evacuation(self, reason):
        self.evacuations.counts["invalid"] += 1
        self._log.debug("evacuation_invalid", reason=reason)

    def _evacuation_stops_at(self, now):
        """Return when the use of a domain ends that a read shows as evacuated."""
        changed_after = self._changed_after(now)
        if changed_after is None or self.evacuations.known_at is None:
            # It may have been evacuated for long.
            return 0.0
        return changed_after + self.settings.evacuate_s - LEAVING_MARGIN_S

    def _merge_evacuation(self, domain, position, is_active, now):
        held = self._held_withdrawals.get(domain)
        if held is not None and position > held[0]:
            del self._held_withdrawals[domain]
        stops_at = self._evacuation_stops_at(now) if is_active else 0.0
        changed = self.evacuations.merge(domain, position, is_active, stops_at, "store")
        if changed is not None:
            self._evacuation_changes.append(changed)

    def _merge_evacuation_change(self, item, now, answered_at):
        domain = self._decode_domain(item.key)
        if domain is None:
            return
        if item.value is None and answered_at - now > MAX_MESSAGE_WAIT_S:
            # The process was paused meanwhile; the next read shows what holds now.
            self._hold_withdrawal(domain, item.position, answered_at)
            return
        self._merge_evacuation(domain, item.position, item.value is not None, now)

    def _apply_evacuation_list(self, items, position, now):
        """Apply all keys of the operator at a position of the store."""
        listed = set()
        for item in items:
            if item.key.startswith(EVACUATION_PREFIX):
                domain = self._decode_domain(item.key)
                if domain is not None:
                    listed.add(domain)
                    self._merge_evacuation(domain, item.position, True, now)
        for state in self.evacuations.active():
            if state.domain in listed or state.position > position:
                continue
            until = self._withdrawal_held_until(state.domain, now)
            if until is None:
                self._merge_evacuation(state.domain, position, False, now)
            else:
                self._hold_withdrawal(state.domain, position, until)
        self.evacuations.raise_floor(position)
        self.evacuations.note_local_read(now)

    def _withdrawal_held_until(self, domain, now):
        """Return until when an evacuation of an earlier era is kept, or None."""
        state = self.evacuations.get(domain)
        if self._restored_at is None or state is None or not state.is_active:
            return None
        until = self._restored_at + RESTORATION_HOLD_S
        if now >= until or era_of(state.position) >= self.era:
            return None
        return until

    def _hold_withdrawal(self, domain, position, until):
        if domain in self._held_withdrawals:
            return
        self._held_withdrawals[domain] = (position, until)
        self.evacuations.counts["held"] += 1
        self._log.info(
            "evacuation_held",
            domain=domain,
            era=era_of(position),
            revision=revision_of(position),
        )

    def take_evacuation_changes(self):
        """Return the evacuations that own reads changed since the last call."""
        changes, self._evacuation_changes = self._evacuation_changes, []
        return changes

    def learn_evacuations(self, notices, counted_from, now, source):
        """Take over what a peer says; return (changed evacuations, is complete).

        ``counted_from`` is a time before the message can have arrived. The second
        value is false if a withdrawal was left out: after a restoration of the store,
        or from a message that may have waited in a paused process. Heartbeats repeat
        it.
        """
        is_recent = now - counted_from <= MAX_MESSAGE_WAIT_S
        is_complete = is_recent
        domains = self._domains()
        changes = []
        for notice in notices:
            if notice.domain not in domains:
                self._note_invalid_evacuation(f"{notice.domain[:40]!r} of {source}")
                continue
            known = self.evacuations.get(notice.domain)
            if (
                not notice.is_active
                and known is not None
                and known.is_active
                and notice.position > known.position
                and (
                    not is_recent
                    or self._withdrawal_held_until(notice.domain, now) is not None
                )
            ):
                is_complete = False
                continue
            stops_at = counted_from + notice.stops_s
            changed = self.evacuations.merge(
                notice.domain, notice.position, notice.is_active, stops_at, source
            )
            if changed is not None:
                changes.append(changed)
        return changes, is_complete

    def learn_all_evacuations(self, summary, counted_from, now, source):
        """Take over the whole state of a peer; return whether it is complete.

        See ``learn_evacuations``.
        """
        stated = {notice.domain for notice in summary.notices}
        unstated = [
            EvacuationNotice(state.domain, summary.floor, False, 0.0)
            for state in self.evacuations.active()
            if state.domain not in stated and state.position < summary.floor
        ]
        _, is_complete = self.learn_evacuations(
            [*summary.notices, *unstated], counted_from, now, source
        )
        if is_complete:
            self.evacuations.raise_floor(summary.floor)
        return is_complete

    def merge_configuration(self, raw, position):
        """Decode a configuration and store it if it is newer; returns whether it is."""
        self.configuration_read_position = max(
            self.configuration_read_position, position
        )
        try:
            configuration = decode_configuration(raw or b"")
        except DocumentError as exc:
            self._log.error(
                "configuration_invalid",
                revision=revision_of(position),
                in_force=self._replica.configuration_version,
                reason=exc.message,
            )
            return False
        return self._replica.merge_configuration(configuration, raw, position)

    def _merge_removal(self, key, position, until, now, changed):
        self._revived_positions.pop(key, None)
        if key in self._held_removals:
            return
        if until is not None and self._replica.has_server(key):
            self._held_removals[key] = (position, until)
            self._log.info(
                "entry_missing_held",
                key=key,
                revision=revision_of(position),
                hold_s=round(until - now, 2),
            )
            return
        serves_until = self._leaving_serves_until(now)
        record = self._replica.merge_server(key, position, None, now, serves_until)
        if record is not None:
            changed.append(record)

    def is_release_due(self, now):
        """Return whether the hold time of some removals is over."""
        held = (*self._held_removals.values(), *self._held_withdrawals.values())
        return any(until <= now for _, until in held)

    def release_held_removals(self, now):
        """Remove held entries that stayed missing; returns the changed records."""
        changed = []
        for key, (position, until) in list(self._held_removals.items()):
            if until <= now:
                del self._held_removals[key]
                record = self._replica.merge_server(key, position, None, now)
                if record is not None:
                    changed.append(record)
        for domain, (position, until) in list(self._held_withdrawals.items()):
            if until <= now:
                del self._held_withdrawals[domain]
                self._merge_evacuation(domain, position, False, now)
        return changed
