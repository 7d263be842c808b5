"""Which limits bind a caller while one version of the configuration replaces another.

Answers the load pattern in which a version raises or lowers the limits of callers that
keep connections open, wait with a part of a request, or are idle. A limit is looked up
when it is used. While callers may go by either of two versions the more generous one
holds, field by field; later the newer one alone.
"""

import math

__all__ = ["LimitsInForce", "RequestBounds"]

# Part of the time in which a version must be in force everywhere for which the one that
# it replaced holds as well. The rest covers that it came late.
OVERLAP_FRACTION = 0.5
# Most replaced versions that are remembered; each holds for some seconds.
MAX_REPLACED = 32


class LimitsInForce:
    """The ``CallerLimits`` of the newest version, and those that it has replaced.

    ``default`` holds until there is a version; ``has_version`` tells whether there is
    one. Times are in seconds on one steady clock.
    """

    __slots__ = ("_current", "_current_until", "_replaced", "has_version", "newest")

    def __init__(self, default):
        self.newest = default
        self.has_version = False
        # (when its overlap ends, limits), oldest first.
        self._replaced = []
        # What ``at`` has computed, and until when that holds.
        self._current = default
        self._current_until = math.inf

    def apply(self, limits, now, config_apply_s):
        """Take over the limits of a new version.

        ``config_apply_s`` is the time in which a version must be in force everywhere.
        Return whether an idle connection must close earlier than by the version before.
        """
        replaced, self.newest = self.newest, limits
        if self.has_version and limits != replaced:
            until = now + OVERLAP_FRACTION * config_apply_s
            self._replaced = [*self._replaced, (until, replaced)][-MAX_REPLACED:]
        self.has_version = True
        # Computed anew by the next look-up.
        self._current_until = -math.inf
        return limits.idle_timeout_s < replaced.idle_timeout_s

    def at(self, now):
        """Return the ``CallerLimits`` that hold for what begins at ``now``."""
        if now >= self._current_until:
            self._current = self.newest
            self._current_until = math.inf
            for until, replaced in self._replaced:
                if until > now:
                    self._current = self._current.most_generous(replaced)
                    self._current_until = min(self._current_until, until)
        return self._current


class RequestBounds:
    """The limits that bind one request, of which a part has arrived.

    They are the most generous of all that hold from its first bytes to the moment at
    which they are asked for: the caller may have sent it by any of these.
    """

    __slots__ = ("_in_force", "_limits", "_seen")

    def __init__(self, in_force, now):
        self._in_force = in_force
        self._limits = self._seen = in_force.at(now)

    def at(self, now):
        """Return the ``CallerLimits`` for the request at ``now``."""
        current = self._in_force.at(now)
        if current is not self._seen:
            self._seen = current
            self._limits = self._limits.most_generous(current)
        return self._limits
