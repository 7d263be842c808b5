"""When an entry watches the store's key of the configuration itself, and when anew.

Answers the faults in which all entries believe one read, or one reader: that reader is
slow, gone or cut off, its statement was long on its way, or its cursor passed a change.
Each entry has a waiting watch of the key, with a position and a connection of its own.
Nothing that peers state moves that position or ends the watch for good; it only leads
to a new one.
"""

from ..model.position import era_of

__all__ = ["ConfigurationWatch", "is_watcher"]

# Fraction of the time in which a configuration must be in force. If the store has
# proved nothing for longer, neither by own calls nor by reads that peers state, the
# key is read.
PROOF_FRACTION = 0.43
# The same for an entry that has no watch. In a large fleet statements of reads may take
# a second to reach it.
STANDBY_PROOF_FRACTION = 0.55
# Time in s that a watch has to answer with a configuration that came another way.
OVERTAKEN_S = 0.3
# Delay of the first repetition of a call that failed, in s, of the second one, and the
# longest one. Each is up to twice as long, so that entries do not call all at once.
FIRST_RETRY_S = 0.03
RETRY_S = 0.15
MAX_RETRY_S = 1.6
# Time in s between an answer and the next call. Changes in quick succession come with
# one answer, and a store that answers each watch at once is not called all the time.
CALL_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 0.5
# Timeout of a read of the key, in s, in the first calls and after as many failures.
QUICK_ANSWER_S = 0.4
QUICK_CALLS = 2
SLOW_ANSWER_S = 0.8
# Number of entries of each failure domain that watch in a large fleet. The others
# learn from these as they learn of servers.
LARGE_DOMAIN_WATCHERS = 4


def is_watcher(view, now):
    """Return whether the local member of a ``MembershipView`` watches the key.

    In a small fleet all do. In a large one it is those that callers are sent to, and
    the next ones of each failure domain, so that the calls do not grow with the fleet.
    """
    local = view.local_member
    if not view.is_large or local.is_active:
        return True
    members = [m for m in view.ready_members(now) if m.domain == local.domain]
    members.sort(key=lambda member: member.sort_key)
    return local in members[:LARGE_DOMAIN_WATCHERS]


class ConfigurationWatch:
    """The state of one entry's watch; times are in s.

    ``position`` is that of the store after which the watch asks for changes, None if
    the key is to be read first. The store proved at ``proved_at`` that there was
    nothing newer, None before the first answer. ``counts`` has the calls by outcome,
    and the watches that were renewed by reason.
    """

    __slots__ = (
        "_overtaken_at",
        "_renewed_for",
        "counts",
        "failures",
        "position",
        "proved_at",
        "retry_at",
    )

    def __init__(self):
        self.position = None
        self.proved_at = None
        self.failures = 0
        # Time of the next call.
        self.retry_at = 0.0
        self._overtaken_at = None
        # What a watch was overtaken by last: (position, era).
        self._renewed_for = None
        self.counts = dict.fromkeys(
            ("answered", "failed", "missed", "overtaken", "unproved", "paused"), 0
        )

    def note_answer(self, position, proved_at, retry_at=0.0):
        """Record that the store answered; its position was ``position``.

        The answer was made at ``proved_at`` or later. The next call is at ``retry_at``.
        """
        self.counts["answered"] += 1
        self.position = position
        self.proved_at = max(proved_at, self.proved_at or proved_at)
        self.failures = 0
        self.retry_at = retry_at
        self._overtaken_at = None

    def note_failure(self, now, jitter):
        """Record a call without an answer; ``jitter`` is between 0 and 1.

        The next call reads the key, on another connection.
        """
        self.counts["failed"] += 1
        self.failures += 1
        self.position = None
        delay_s = FIRST_RETRY_S
        if self.failures > 1:
            delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** (self.failures - 2))
        self.retry_at = now + delay_s * (1.0 + jitter)

    def renew(self, reason=None, retry_at=0.0):
        """Read the key next, at ``retry_at``.

        ``reason`` is that of ``renewal_reason``, if any.
        """
        if reason is not None:
            self.counts[reason] += 1
        self.position = None
        self.retry_at = retry_at
        self._overtaken_at = None

    def renewal_reason(self, now, known_position, fresh_at, era, within_s):
        """Return why a waiting watch is given up, or None.

        ``known_position`` is that of the configuration that the entry has, ``fresh_at``
        the latest time at which its replica is said to have matched the store, or None,
        and ``era`` the newest one that it knows. A configuration must be in force
        within ``within_s``.
        """
        if self.position is None:
            return None
        is_overtaken = known_position > self.position or era > era_of(self.position)
        # Once only: peers may have what the store has lost.
        if not is_overtaken or self._renewed_for == (known_position, era):
            self._overtaken_at = None
        else:
            if self._overtaken_at is None:
                self._overtaken_at = now
            if now - self._overtaken_at >= OVERTAKEN_S:
                self._renewed_for = (known_position, era)
                return "overtaken"
        if now - self.last_proof_at(fresh_at) > PROOF_FRACTION * within_s:
            return "unproved"
        return None

    def is_read_due(self, now, fresh_at, within_s):
        """Return whether an entry without a watch reads the key itself.

        For the arguments see ``renewal_reason``.
        """
        return now - self.last_proof_at(fresh_at) > STANDBY_PROOF_FRACTION * within_s

    @property
    def answer_timeout_s(self):
        """Time in s that a read of the key may take.

        Short at first, since a single answer may be lost; the store may also be slow.
        """
        return QUICK_ANSWER_S if self.failures < QUICK_CALLS else SLOW_ANSWER_S

    def last_proof_at(self, fresh_at):
        """Return the time of the latest proof of any kind, in s."""
        times = (self.proved_at, fresh_at)
        return max((at for at in times if at is not None), default=0.0)
