"""Marks of requests that a peer hands on, and of the answers to them.

The answer to such a request is made by the peer itself or by the server that the peer
sent it to, and both may have any status. Only the peer knows whether a server may have
run the request, so it says so in a mark. A mark that a server sends is removed.
"""

__all__ = [
    "RELAY_HEADER",
    "RELAY_HEAD_BYTES",
    "RELAY_NOT_RUN_HEADER",
    "has_relay_mark",
    "mark_not_run",
    "take_not_run_mark",
    "take_relay_mark",
    "without_marks",
]

# Header of a request that a peer hands on: the number of servers that may have run each
# of its parts already, at most.
RELAY_HEADER = b"almondtide-relay"
# Header of the answer: no server has run the request since the hand-over, or will.
RELAY_NOT_RUN_HEADER = b"almondtide-relay-not-run"
MAX_RELAY_MARK = 99
# Most bytes that an entry adds to the head of a request when it hands it on: the mark,
# the time left, the name of the peer and the length of the body.
RELAY_HEAD_BYTES = 1024


def has_relay_mark(head):
    """Return whether the first bytes of a request have the mark of one handed on.

    The mark is sent before the fields of the caller, so that it is known before the
    head is complete.

    >>> has_relay_mark(b"Almondtide-Relay: 0"), has_relay_mark(b"x: almondtide-relay")
    (True, False)
    """
    return RELAY_HEADER + b":" in head.lower()


def take_relay_mark(request):
    """Remove the mark of a request that a peer handed on.

    Return how many servers may have run it before, or None for a request of a caller.
    A mark that cannot be read counts as 0.

    >>> class Marked:
    ...     headers = [(b"host", b"h"), (b"almondtide-relay", b"1")]
    >>> take_relay_mark(Marked), Marked.headers
    (1, [(b'host', b'h')])
    """
    marks = [value for name, value in request.headers if name == RELAY_HEADER]
    if not marks:
        return None
    request.headers = [pair for pair in request.headers if pair[0] != RELAY_HEADER]
    mark = marks[0].strip()
    return min(MAX_RELAY_MARK, int(mark)) if mark.isdigit() and len(mark) < 3 else 0


def mark_not_run(headers):
    """State in the headers of an answer that no server has run the request."""
    headers.append((RELAY_NOT_RUN_HEADER, b"1"))


def take_not_run_mark(reply):
    """Remove the mark of a peer's answer; return whether there was one.

    >>> class Marked:
    ...     headers = [(b"retry-after", b"1"), (b"almondtide-relay-not-run", b"1")]
    >>> take_not_run_mark(Marked), Marked.headers
    (True, [(b'retry-after', b'1')])
    """
    count = len(reply.headers)
    reply.headers = without_marks(reply.headers)
    return len(reply.headers) < count


def without_marks(headers):
    """Return the headers of a server's reply without those that only peers may send."""
    return [pair for pair in headers if pair[0] != RELAY_NOT_RUN_HEADER]
