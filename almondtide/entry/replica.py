"""A daemon's replica of the store: servers and configuration, with positions."""

import hashlib

from .freshness import Freshness

__all__ = ["AnnouncedEnd", "ServerRecord", "StoreReplica"]

# Records of removed keys are kept for this long, in s, so that a late update with an
# older position does not add the server again.
TOMBSTONE_RETENTION_S = 60.0


class AnnouncedEnd:
    """The end that one incarnation of a server announced in its replies.

    The incarnation that was born at ``born_ms`` may have ended at the time ``until``,
    in s on the daemon's clock.
    """

    __slots__ = ("born_ms", "until")

    def __init__(self, born_ms, until):
        self.born_ms = born_ms
        self.until = until

    def is_of(self, server):
        """Return whether it is the end of this incarnation of a server or None."""
        return server is not None and server.born_ms == self.born_ms


class ServerRecord:
    """The newest known value of a key; ``server`` is None if the key was removed.

    ``position`` is that of the change in the store, see ``model/position.py``. A server
    that is leaving or removed may be used until ``serves_until``, which is 0.0 if its
    end is unknown.
    """

    __slots__ = ("digest", "key", "position", "seen_at", "server", "serves_until")

    def __init__(
        self,
        key,
        position,
        server,
        seen_at,
        serves_until=0.0,
        has_announced_end=False,
    ):
        self.key = key
        self.position = position
        self.server = server
        self.seen_at = seen_at
        self.serves_until = serves_until if self.is_leaving else 0.0
        self.digest = _record_digest(key, server, has_announced_end)

    @property
    def is_leaving(self):
        """Whether the server is leaving or was removed."""
        return self.server is None or self.server.leaving


def _record_digest(key, server, has_announced_end=False):
    """Return a hash of the key and the server, 0 for a removed key."""
    if server is None:
        return 0
    # Daemons compare sums of these hashes, so the text of ``repr`` is part of the
    # protocol between them: all must build it from the same class and field names.
    text = f"{key}{server!r}{'ending' if has_announced_end else ''}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _supersedes(known, position, server):
    """Return whether a value replaces the known record.

    Of two values at one position, which differ only if one daemon knows more of the
    time before a restoration, the one that ends the use of the server is kept.
    """
    if position != known.position:
        return position > known.position
    return not known.is_leaving and server is not None and server.leaving


def _is_running(known, server):
    """Return whether ``server`` is registered as ready, and was known as leaving."""
    return (
        known is not None
        and server is not None
        and not server.leaving
        and known.is_same_incarnation(server)
    )


class StoreReplica:
    """Records of one daemon, merged by position from the store and from peers.

    ``digest`` is equal for daemons that know the same servers. ``freshness`` holds the
    reads of the store that confirm the replica.

    Besides the records of the store it holds the ends that servers announced in their
    replies, which the store may not know. They outlast the entry of a server, which
    may lapse and come back.
    """

    __slots__ = (
        "_ends",
        "_records",
        "configuration",
        "configuration_position",
        "configuration_raw",
        "digest",
        "freshness",
        "position",
    )

    def __init__(self):
        self._records = {}
        # Key -> AnnouncedEnd, also of servers that are not known or no longer listed.
        self._ends = {}
        self.configuration = None
        self.configuration_raw = b""
        self.configuration_position = 0
        self.digest = 0
        self.position = 0
        self.freshness = Freshness()

    @property
    def configuration_version(self):
        """Version of the configuration, 0 if there is none yet."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self):
        """Whether both a configuration and a list of servers were received."""
        return self.configuration is not None and self.fresh_at is not None

    def age_s(self, now):
        """Return the age of the replica in seconds, or None before the first read."""
        return None if self.fresh_at is None else max(0.0, now - self.fresh_at)

    @property
    def fresh_at(self):
        """Latest time at which the replica is known to have matched the store, in s.

        None if there is none yet.
        """
        return self.freshness.latest_at

    def merge_configuration(self, configuration, raw, position):
        """Store a configuration if its version is newer; returns whether it is."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.configuration_raw = raw
        self.configuration_position = position
        return True

    def merge_server(self, key, position, server, now, serves_until=0.0):
        """Store a value if its position is newer.

        Returns the ``ServerRecord`` if the server differs from the known one, else
        None. ``serves_until`` applies to a server that is leaving; later updates may
        shorten it but not extend it. A server that is known to be leaving stays so
        until it is started again: a store that was restored may not know it any more.
        """
        known = self._records.get(key)
        if known is not None and not _supersedes(known, position, server):
            return None
        if known is not None and known.is_leaving:
            if _is_running(known.server, server):
                server = server.as_leaving()
                serves_until = known.serves_until
            serves_until = min(serves_until, known.serves_until)
        end = self._ends.get(key)
        has_announced_end = end is not None and end.is_of(server)
        record = ServerRecord(
            key, position, server, now, serves_until, has_announced_end
        )
        self.position = max(self.position, position)
        # Equal digests: a server's heartbeat without changes, or removal of an unknown
        # key.
        return record if self._replace(known, record) else None

    def _replace(self, known, record):
        """Store a record in place of the known one; return whether the digest differs.

        ``known`` is None for a new key.
        """
        before = known.digest if known is not None else 0
        self._records[record.key] = record
        self.digest = (self.digest + record.digest - before) % (1 << 56)
        return record.digest != before

    def announce_end(self, key, born_ms, until):
        """Record the end that a server announced; return whether it was not known.

        The earliest end of an incarnation holds, and that of an incarnation that is
        older than the known one is ignored. Answers the load pattern in which entries
        start or take over while a server leaves, and would send to it.
        """
        known = self._ends.get(key)
        if known is not None and known.born_ms >= born_ms:
            if known.born_ms == born_ms:
                known.until = min(known.until, until)
            return False
        record = self._records.get(key)
        server = record.server if record is not None else None
        if server is not None and server.born_ms > born_ms:
            return False
        self._ends[key] = end = AnnouncedEnd(born_ms, until)
        if record is not None and end.is_of(record.server):
            self._replace(
                record,
                ServerRecord(
                    key,
                    record.position,
                    record.server,
                    record.seen_at,
                    record.serves_until,
                    has_announced_end=True,
                ),
            )
        return True

    def announced_until(self, key):
        """Return until when the server listed at ``key`` says it serves, or None."""
        record = self._records.get(key)
        end = self._ends.get(key)
        if record is None or end is None or not end.is_of(record.server):
            return None
        return end.until

    def announced_ends(self):
        """Return the list of (key, ``AnnouncedEnd``)."""
        return list(self._ends.items())

    def has_server(self, key):
        """Return whether a server is known at ``key``."""
        record = self._records.get(key)
        return record is not None and record.server is not None

    def keys_missing_from(self, keys, position):
        """Return known keys that a full list at ``position`` does not contain."""
        return [
            key
            for key, record in self._records.items()
            if record.server is not None
            and key not in keys
            and record.position <= position
        ]

    def record(self, key):
        """Return the ``ServerRecord`` of a key, or None."""
        return self._records.get(key)

    def server_records(self):
        """Return the records of all registered servers."""
        return [
            record for record in self._records.values() if record.server is not None
        ]

    def all_records(self):
        """Return all records, including those of removed keys."""
        return list(self._records.values())

    def remove_expired_tombstones(self, now):
        """Drop records of keys that were removed long ago, and their announced ends.

        The end of a server that is still listed is kept: no store has to report it.
        """
        for key, end in list(self._ends.items()):
            is_listed = self.announced_until(key) is not None
            if not is_listed and now - end.until > TOMBSTONE_RETENTION_S:
                del self._ends[key]
        for key in [
            key
            for key, record in self._records.items()
            if record.server is None and now - record.seen_at > TOMBSTONE_RETENTION_S
        ]:
            del self._records[key]
