"""What the fleet knows of the store: servers and configuration, with revisions."""

import hashlib

__all__ = ["Fact", "Knowledge"]

# Removed keys are remembered for this time, in s, so that older news about them
# does not bring them back.
TOMBSTONE_S = 60.0


class Fact:
    """A key's newest known value; ``server`` is None for a removed one.

    A server that leaves or is removed may be used until ``serves_until``, 0.0 where
    nothing is known of its end.
    """

    __slots__ = ("key", "mark", "revision", "seen_at", "server", "serves_until")

    def __init__(self, key, revision, server, seen_at, serves_until=0.0):
        self.key = key
        self.revision = revision
        self.server = server
        self.seen_at = seen_at
        self.serves_until = serves_until if self.is_leaving else 0.0
        self.mark = _mark(key, server)

    @property
    def is_leaving(self):
        """Whether the server leaves or has left."""
        return self.server is None or self.server.leaving


def _mark(key, server):
    """Return a number that stands for the key and what its value says."""
    if server is None:
        return 0
    digest = hashlib.blake2b(f"{key}{server!r}".encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")


class Knowledge:
    """Facts of one daemon, merged by revision from the store and from peers.

    ``digest`` is equal for daemons that know the same servers. ``fresh_at`` is
    the time for which the knowledge was last known to be that of the store.
    """

    __slots__ = (
        "_facts",
        "configuration",
        "configuration_raw",
        "configuration_revision",
        "digest",
        "fresh_at",
        "revision",
    )

    def __init__(self):
        self._facts = {}
        self.configuration = None
        self.configuration_raw = b""
        self.configuration_revision = 0
        self.digest = 0
        self.revision = 0
        self.fresh_at = None

    @property
    def version(self):
        """Version of the configuration, 0 before the first."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self):
        """Whether a configuration and a list of servers are known."""
        return self.configuration is not None and self.fresh_at is not None

    def age_s(self, now):
        """Return the age of the knowledge in seconds, or None without any."""
        return None if self.fresh_at is None else max(0.0, now - self.fresh_at)

    def confirm(self, at):
        """Note that the knowledge was that of the store at time ``at``."""
        if self.fresh_at is None or at > self.fresh_at:
            self.fresh_at = at

    def adopt(self, configuration, raw, revision):
        """Take a configuration unless it is older; returns whether it is new."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.configuration_raw = raw
        self.configuration_revision = revision
        return True

    def put(self, key, revision, server, now, serves_until=0.0):
        """Take a value unless it is older; returns the ``Fact`` if it is news.

        ``serves_until`` is that of ``Fact``; the first word that a server leaves
        sets it.
        """
        known = self._facts.get(key)
        if known is not None and known.revision >= revision:
            return None
        if known is not None and known.is_leaving:
            serves_until = min(serves_until, known.serves_until)
        fact = Fact(key, revision, server, now, serves_until)
        before = known.mark if known is not None else 0
        self._facts[key] = fact
        self.revision = max(self.revision, revision)
        if fact.mark == before:
            # A heartbeat without news, or a removal of an unknown key.
            return None
        self.digest = (self.digest + fact.mark - before) % (1 << 56)
        return fact

    def has_server(self, key):
        """Return whether a server is known at ``key``."""
        fact = self._facts.get(key)
        return fact is not None and fact.server is not None

    def missing_from(self, keys, revision):
        """Return known keys that a full list at ``revision`` does not hold."""
        return [
            key
            for key, fact in self._facts.items()
            if fact.server is not None and key not in keys and fact.revision <= revision
        ]

    def servers(self):
        """Return the facts of all servers that exist."""
        return [fact for fact in self._facts.values() if fact.server is not None]

    def facts(self):
        """Return all facts, removed keys included."""
        return list(self._facts.values())

    def forget(self, now):
        """Drop tombstones that are too old to matter."""
        for key in [
            key
            for key, fact in self._facts.items()
            if fact.server is None and now - fact.seen_at > TOMBSTONE_S
        ]:
            del self._facts[key]
