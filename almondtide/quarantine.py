"""Requests that crash upstreams: suspects, quarantine, fingerprints."""

import hashlib

import orjson

from .errors import RefusedError, ResultCode

__all__ = ["Quarantine", "request_fingerprint"]

MAX_TRACKED = 4096
SUSPECT_MEMORY_S = 60.0
DEFAULT_LIMIT = 2
DEFAULT_DURATION_S = 60.0


def request_fingerprint(workload, kind, body):
    """Return a digest that is equal for a resent request.

    Request ids and deadlines are not part of it, because they differ between
    the tries of a caller.
    """
    canonical = orjson.dumps([workload, kind, body], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(canonical, digest_size=12).hexdigest()


class _Suspect:
    __slots__ = ("expires", "servers")

    def __init__(self):
        self.servers = set()
        self.expires = 0.0


class Quarantine:
    """Counts servers lost under each fingerprint and refuses crashing requests.

    The first loss makes a suspect, whatever else ran on the server. From then on
    the request is sent in isolation: to one server at a time, which runs no other
    suspect. Only losses in isolation add evidence, so a failure domain that goes
    down under many requests convicts none of them.
    """

    __slots__ = ("_clock", "_entries", "_suspects", "duration_s", "limit")

    def __init__(self, clock, limit=DEFAULT_LIMIT, duration_s=DEFAULT_DURATION_S):
        self._clock = clock
        self.limit = limit
        self.duration_s = duration_s
        self._suspects = {}
        self._entries = {}

    def is_suspect(self, mark):
        """Return whether a server was lost under the request with this mark."""
        suspect = self._suspects.get(mark)
        return suspect is not None and suspect.expires > self._clock.monotonic()

    def remaining_s(self, mark):
        """Return for how many seconds the request is refused, or 0.0."""
        expires = self._entries.get(mark)
        if expires is None:
            return 0.0
        return max(0.0, expires - self._clock.monotonic())

    def refuse(self, mark):
        """Raise ``RefusedError`` when the request is in quarantine."""
        left_s = self.remaining_s(mark)
        if left_s > 0:
            raise RefusedError(
                "the request crashed upstreams and is in quarantine",
                ResultCode.QUARANTINED,
                retry_after_ms=int(left_s * 1000),
            )

    def record_loss(self, mark, server, isolated):
        """Record that ``server`` was lost while it ran the request.

        ``isolated`` tells that the request was sent as a suspect. Returns
        whether the request is quarantined by this loss.
        """
        if self.is_suspect(mark) and not isolated:
            return False
        return self.merge_evidence(mark, [server])

    def merge_evidence(self, mark, servers):
        """Add lost servers that this daemon or a peer has seen.

        Returns whether the request is quarantined by them.
        """
        self._expire()
        suspect = self._suspects.setdefault(mark, _Suspect())
        suspect.servers.update(servers)
        suspect.expires = self._clock.monotonic() + SUSPECT_MEMORY_S
        if len(suspect.servers) < self.limit:
            return False
        del self._suspects[mark]
        return self.add(mark, self.duration_s)

    def evidence(self, mark):
        """Return the servers lost under a suspect, sorted."""
        suspect = self._suspects.get(mark)
        return sorted(suspect.servers) if suspect is not None else []

    def clear(self, mark):
        """Forget a suspect that completed in isolation."""
        self._suspects.pop(mark, None)

    def add(self, mark, duration_s):
        """Refuse the request for ``duration_s``; returns whether this is news."""
        self._expire()
        if mark in self._entries:
            return False
        self._entries[mark] = self._clock.monotonic() + duration_s
        return True

    def entries(self):
        """Return a list of (fingerprint, remaining seconds)."""
        self._expire()
        now = self._clock.monotonic()
        return [(mark, expires - now) for mark, expires in self._entries.items()]

    def suspects(self):
        """Return a dict from fingerprint to the servers lost under it."""
        self._expire()
        return {mark: sorted(entry.servers) for mark, entry in self._suspects.items()}

    def _expire(self):
        now = self._clock.monotonic()
        for mark in [m for m, entry in self._suspects.items() if entry.expires <= now]:
            del self._suspects[mark]
        for mark in [m for m, expires in self._entries.items() if expires <= now]:
            del self._entries[mark]
        while len(self._suspects) > MAX_TRACKED:
            del self._suspects[next(iter(self._suspects))]
        while len(self._entries) > MAX_TRACKED:
            del self._entries[next(iter(self._entries))]
