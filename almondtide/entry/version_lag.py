"""Reports old configurations: requests served by them, and proofs that are overdue."""

from ..model.position import revision_of

__all__ = ["VersionLag"]

# Least time between two log lines of a kind, in s.
REPORT_INTERVAL_S = 1.0
# Fraction of the time in which a configuration must be in force, after which an entry
# without a proof from the store reports it.
OVERDUE_FRACTION = 0.5


class VersionLag:
    """The newest version that an entry knows or heard of, and what it believes.

    ``watch_state()`` returns a dict of further log fields.
    """

    __slots__ = (
        "_feed",
        "_heard_at",
        "_heard_from",
        "_heard_version",
        "_log",
        "_now",
        "_overdue_reported_at",
        "_reported_at",
        "count",
        "watch_state",
    )

    def __init__(self, feed, now, log):
        self._feed = feed
        self._now = now
        self._log = log
        self._heard_version = 0
        self._heard_from = ""
        self._heard_at = None
        self._reported_at = None
        self._overdue_reported_at = None
        self.count = 0
        self.watch_state = dict

    def note_heard(self, version, source):
        """Record that a peer serves by a version; ``source`` names it in the log."""
        if version > self._heard_version:
            self._heard_version = version
            self._heard_from = source
            self._heard_at = self._now()

    def note_request(self, request_id, version):
        """Count a request that is served by ``version``, and log it, if it is older."""
        replica = self._feed.replica
        if version >= max(replica.configuration_version, self._heard_version):
            return
        self.count += 1
        now = self._now()
        if self._reported_at is not None and (
            now - self._reported_at < REPORT_INTERVAL_S
        ):
            return
        self._reported_at = now
        self._log.warning(
            "served_by_older_version",
            id=request_id,
            version=version,
            replica_version=replica.configuration_version,
            heard_version=self._heard_version,
            heard_from=self._heard_from or "none",
            heard_ms=_age_ms(self._heard_at, now),
            **self.beliefs(now),
        )

    def note_proof(self, proved_at, within_s):
        """Log that no read and no watch has proved anything for too long.

        ``proved_at`` is the time of the latest proof of any kind. A configuration must
        be in force ``within_s`` seconds after its acknowledgement.
        """
        now = self._now()
        if now - proved_at <= OVERDUE_FRACTION * within_s:
            return
        if self._overdue_reported_at is not None and (
            now - self._overdue_reported_at < REPORT_INTERVAL_S
        ):
            return
        self._overdue_reported_at = now
        self._log.warning(
            "configuration_unproved",
            version=self._feed.replica.configuration_version,
            proof_ms=int((now - proved_at) * 1000),
            heard_version=self._heard_version,
            heard_from=self._heard_from or "none",
            **self.beliefs(now),
        )

    def beliefs(self, now):
        """Return log fields: what this entry holds its configuration for, and why."""
        feed = self._feed
        read = feed.replica.freshness.statement(now)
        return {
            "configuration_revision": revision_of(feed.configuration_read_position),
            "cursor_revision": revision_of(feed.cursor or 0),
            "known_age_ms": _age_ms(feed.replica.fresh_at, now),
            "read": "none" if read is None else f"{read.reader:x}/{read.number}",
            "own_read_ms": _age_ms(feed.replica.freshness.local_at, now),
            **self.watch_state(),
        }


def _age_ms(at, now):
    return "none" if at is None else int((now - at) * 1000)
