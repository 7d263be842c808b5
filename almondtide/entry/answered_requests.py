"""Which connections have answered a request, so that they do not carry it again.

Answers the load pattern in which full servers turn requests away that are soon sent to
them again, while some replies come a second time. A copy has the same request id as the
reply to the next send of the request on that connection, and nothing tells them apart.
"""

import heapq

__all__ = ["MAX_REQUESTS", "AnsweredRequests"]

# Most requests that are remembered, about 3.5 MB. Each is forgotten at its deadline.
MAX_REQUESTS = 8192


class AnsweredRequests:
    """The connections that replied to each request that may be sent again.

    Connections are any hashable keys. Times are in seconds on one steady clock.

    >>> answered = AnsweredRequests()
    >>> answered.note("id-1", 7, until=2.0, now=1.0)
    True
    >>> answered.may_carry("id-1", 7), answered.may_carry("id-1", 8)
    (False, True)
    """

    __slots__ = ("_connections", "_ends")

    def __init__(self):
        # Request id -> connections that replied to it.
        self._connections = {}
        # Heap of (time at which the request is over, its id).
        self._ends = []

    def __len__(self):
        return len(self._connections)

    def note(self, request_id, connection, until, now):
        """Remember that a connection replied to a request, which is over at ``until``.

        Return False if there is no room; the connection must not be used again then.
        """
        self._forget_ended(now)
        connections = self._connections.get(request_id)
        if connections is not None:
            connections.add(connection)
            return True
        if len(self._connections) >= MAX_REQUESTS:
            return False
        self._connections[request_id] = {connection}
        heapq.heappush(self._ends, (until, request_id))
        return True

    def may_carry(self, request_id, connection):
        """Return whether a connection has not replied to a request yet."""
        connections = self._connections.get(request_id)
        return connections is None or connection not in connections

    def _forget_ended(self, now):
        while self._ends and self._ends[0][0] <= now:
            _, request_id = heapq.heappop(self._ends)
            del self._connections[request_id]
