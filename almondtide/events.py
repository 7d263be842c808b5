"""Ring buffers of the events of one daemon, from which timelines are built."""

import heapq
from collections import deque
from itertools import islice

from .clock import HybridLogicalClock

__all__ = ["EVENT_KINDS", "Event", "EventRing"]

EVENT_KINDS = ("all", "daemon", "requests")

DEFAULT_CAPACITY = 4096
# The JSON codec rejects larger integers.
MAX_INTEGER = 1 << 63


class Event:
    """An event with its hybrid logical timestamp and its fields."""

    __slots__ = ("fields", "name", "timestamp")

    def __init__(self, timestamp, name, fields):
        self.timestamp = timestamp
        self.name = name
        self.fields = fields

    def to_dict(self, instance):
        """Return the JSON form; ``instance`` is the daemon that recorded the event."""
        return {
            "time": list(self.timestamp),
            "instance": instance,
            "event": self.name,
            "fields": {
                key: _to_json_value(value) for key, value in self.fields.items()
            },
        }


def _to_json_value(value):
    """Return ``value`` in a form that can be encoded as JSON."""
    if isinstance(value, int) and abs(value) >= MAX_INTEGER:
        return str(value)
    if isinstance(value, bool | int | float) or value is None:
        return value
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value]
    # Surrogates cannot be encoded as UTF-8.
    return str(value).encode("utf-8", "replace").decode("utf-8")


class EventRing:
    """Keeps the newest events; older ones are dropped and counted.

    Events of single requests have a separate buffer of the same capacity, so that many
    requests don't displace the rare events of the daemon itself. ``dropped`` counts
    the dropped events of the daemon, ``dropped_requests`` those of requests.
    """

    __slots__ = ("_events", "_requests", "clock", "dropped", "dropped_requests")

    def __init__(self, clock, capacity=DEFAULT_CAPACITY):
        self.clock = HybridLogicalClock(clock)
        self._events = deque(maxlen=capacity)
        self._requests = deque(maxlen=capacity)
        self.dropped = 0
        self.dropped_requests = 0

    def record(self, name, **fields):
        """Append an event of the daemon itself and return it."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        event = Event(self.clock.now(), name, fields)
        self._events.append(event)
        return event

    def record_request(self, name, fields):
        """Append an event of a single request."""
        if len(self._requests) == self._requests.maxlen:
            self.dropped_requests += 1
        self._requests.append(Event(self.clock.now(), name, fields))

    def since(self, timestamp=(0, 0), limit=1000, kind="all"):
        """Return up to ``limit`` events newer than ``timestamp``, oldest first.

        ``kind`` is one of ``EVENT_KINDS``: events of the daemon itself, of single
        requests, or both.
        """
        rings = {
            "all": (self._events, self._requests),
            "daemon": (self._events,),
            "requests": (self._requests,),
        }
        newer = heapq.merge(
            *(_events_after(ring, timestamp) for ring in rings[kind]),
            key=lambda event: event.timestamp,
        )
        return list(islice(newer, limit))


def _events_after(events, timestamp):
    """Return the events after ``timestamp``, searched from the newest one back."""
    newer = []
    for event in reversed(events):
        if event.timestamp <= timestamp:
            break
        newer.append(event)
    newer.reverse()
    return newer
