"""Bounded ring of events of one daemon, for the time line over all processes."""

from collections import deque

from .clock import HybridLogicalClock

__all__ = ["Event", "EventRing"]

DEFAULT_CAPACITY = 4096


class Event:
    """One thing that happened, stamped by the hybrid logical clock."""

    __slots__ = ("fields", "name", "timestamp")

    def __init__(self, timestamp, name, fields):
        self.timestamp = timestamp
        self.name = name
        self.fields = fields

    def to_dict(self, instance):
        """Return the JSON form with the ``instance`` that recorded the event."""
        return {
            "time": list(self.timestamp),
            "instance": instance,
            "event": self.name,
            "fields": self.fields,
        }


class EventRing:
    """Keeps the newest events; older ones are dropped and counted."""

    __slots__ = ("_events", "clock", "dropped")

    def __init__(self, clock, capacity=DEFAULT_CAPACITY):
        self.clock = HybridLogicalClock(clock)
        self._events = deque(maxlen=capacity)
        self.dropped = 0

    def record(self, name, **fields):
        """Append an event and return it."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        event = Event(self.clock.now(), name, fields)
        self._events.append(event)
        return event

    def since(self, timestamp=(0, 0), limit=1000):
        """Return up to ``limit`` events newer than ``timestamp``, oldest first."""
        newer = [event for event in self._events if event.timestamp > timestamp]
        return newer[:limit]
