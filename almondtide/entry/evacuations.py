"""Which failure domains the operator has evacuated, and since when.

Answers the load pattern in which an operator takes a whole failure domain out of use:
each entry must end its requests to the domain's servers within a bound, whichever entry
reads the change in the store, and go back to them when the change is withdrawn.
"""

from .freshness import Freshness

__all__ = [
    "MAX_MESSAGE_WAIT_S",
    "Evacuation",
    "EvacuationNotice",
    "EvacuationSummary",
    "Evacuations",
]

# A message that may have waited for longer than this, in s, while the process was
# paused neither withdraws an evacuation nor confirms the known ones. An active peer
# sends every 0.3 s, a standby about every second.
MAX_MESSAGE_WAIT_S = 2.0


class Evacuation:
    """The newest known change of one failure domain.

    ``position`` is that of the change in the store. While it ``is_active``, servers of
    the domain are a last resort, and from ``stops_at`` on they must not be used.
    """

    __slots__ = ("domain", "is_active", "position", "stops_at")

    def __init__(self, domain, position, is_active, stops_at):
        self.domain = domain
        self.position = position
        self.is_active = is_active
        self.stops_at = stops_at


class EvacuationNotice:
    """An ``Evacuation`` in a message: times are relative, since clocks differ.

    Servers of the domain may be used for ``stops_s`` more, as a last resort.
    """

    __slots__ = ("domain", "is_active", "position", "stops_s")

    def __init__(self, domain, position, is_active, stops_s):
        self.domain = domain
        self.position = position
        self.is_active = is_active
        self.stops_s = stops_s


class EvacuationSummary:
    """All that an entry knows of evacuations, for a heartbeat or a snapshot.

    It matched the store ``age_s`` ago. Domains without a notice were not evacuated at
    the position ``floor``. ``read`` is the ``ReadStatement`` on the latest read that
    confirms it, None from earlier builds.
    """

    __slots__ = ("age_s", "floor", "notices", "read")

    def __init__(self, age_s, floor, notices, read=None):
        self.age_s = age_s
        self.floor = floor
        self.notices = list(notices)
        self.read = read


class Evacuations:
    """The evacuations known to one entry, merged by position.

    ``freshness`` holds the reads that confirm them. Times are in s on the clock of the
    entry.
    """

    __slots__ = ("_on_change", "_on_known", "_states", "counts", "floor", "freshness")

    def __init__(self):
        # Domain -> Evacuation. A withdrawn one is kept until the floor passes it, so
        # that an older message does not bring it back.
        self._states = {}
        self._on_change = None
        self._on_known = None
        self.floor = 0
        self.freshness = Freshness()
        self.counts = {"begun": 0, "withdrawn": 0, "held": 0, "invalid": 0}

    def set_listeners(self, on_change, on_known):
        """Set the functions called after a change and when the state becomes known.

        They are ``on_change(evacuation, source)`` and ``on_known()``.
        """
        self._on_change = on_change
        self._on_known = on_known

    def __bool__(self):
        """Return whether there are evacuations that hold or were withdrawn lately."""
        return bool(self._states)

    def get(self, domain):
        """Return the ``Evacuation`` of a domain, or None if the floor covers it."""
        return self._states.get(domain)

    def active(self):
        """Return the evacuations that were not withdrawn."""
        return [state for state in self._states.values() if state.is_active]

    def merge(self, domain, position, is_active, stops_at, source):
        """Take over a change that is newer than the known one.

        Return the ``Evacuation`` if it begins or ends by that, else None. Of two
        changes at one position, which come from different histories, the evacuation
        holds. ``stops_at`` is ignored while the domain is evacuated already: each
        source counts it from an earlier time than the one before.
        """
        known = self._states.get(domain)
        if known is None:
            if position <= self.floor:
                return None
        elif position < known.position or (
            position == known.position and not (is_active and not known.is_active)
        ):
            return None
        was_active = known is not None and known.is_active
        if was_active and is_active:
            stops_at = known.stops_at
        state = self._states[domain] = Evacuation(domain, position, is_active, stops_at)
        if was_active == is_active:
            return None
        self.counts["begun" if is_active else "withdrawn"] += 1
        if self._on_change is not None:
            self._on_change(state, source)
        return state

    def raise_floor(self, position):
        """Record that no domain without a state was evacuated at a position."""
        self.floor = max(self.floor, position)
        for domain, state in list(self._states.items()):
            if not state.is_active and state.position <= self.floor:
                del self._states[domain]

    @property
    def known_at(self):
        """Latest time at which the state is known to have matched the store."""
        return self.freshness.latest_at

    def note_local_read(self, began_at):
        """Record that a read of this entry confirms the state."""
        was_known = self.known_at is not None
        self.freshness.note_local_read(began_at)
        self._report_known(was_known)

    def confirm(self, summary, sent_at, counted_from):
        """Record that a peer's ``EvacuationSummary`` of the same state arrived.

        ``sent_at`` is about when it was sent, and ``counted_from`` a time before that,
        from which an age counts that names no read, as of an earlier build.
        """
        was_known = self.known_at is not None
        read = summary.read
        if read is None:
            self.freshness.note_copy(counted_from - summary.age_s)
        else:
            self.freshness.note_read(read.reader, read.number, sent_at - read.age_s)
        self._report_known(was_known)

    def _report_known(self, was_known):
        if not was_known and self.known_at is not None and self._on_known is not None:
            self._on_known()

    def clear(self):
        """Forget everything, for a deployment that stops asking for evacuations."""
        for state in self.active():
            ended = Evacuation(state.domain, state.position, False, 0.0)
            if self._on_change is not None:
                self._on_change(ended, "settings")
        self._states.clear()
        self.floor = 0
        self.freshness = Freshness()

    def notices(self, now, states=None):
        """Return ``EvacuationNotice`` objects for some states, or for all."""
        return [
            EvacuationNotice(
                state.domain,
                state.position,
                state.is_active,
                max(0.0, state.stops_at - now) if state.is_active else 0.0,
            )
            for state in (self._states.values() if states is None else states)
        ]

    def summary(self, now):
        """Return the ``EvacuationSummary``, or None if the state is not known."""
        if self.known_at is None:
            return None
        return EvacuationSummary(
            max(0.0, now - self.known_at),
            self.floor,
            self.notices(now),
            self.freshness.statement(now),
        )
