"""Merge of the parts of a query over shards."""

import heapq

__all__ = ["RECORD_BYTES", "merge_records"]

RECORD_BYTES = 16


def merge_records(bodies, count):
    """Return the greatest ``count`` records of all bodies, falling.

    Records are compared byte by byte, equal ones all count, and a remainder that
    is shorter than a record is none.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"x"], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records.extend(
            body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
        )
    return b"".join(heapq.nlargest(count, records))
