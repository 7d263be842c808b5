"""Output of the command line as text and JSON."""

import sys

import orjson

__all__ = ["format_table", "print_error", "print_json", "print_text"]


def print_json(value):
    """Print ``value`` as one line of JSON."""
    print_text(orjson.dumps(value).decode())


def print_text(text):
    """Print ``text`` and flush it, so that a reader of a pipe gets it at once."""
    print(text, flush=True)


def print_error(text):
    """Print ``text`` to standard error as one line."""
    line = " ".join(str(text).split())
    print(f"almondtide: {line}", file=sys.stderr, flush=True)


def format_table(columns, rows):
    """Return a table as text: a heading and one line for each row.

    ``columns`` are the names in the heading, ``rows`` are sequences of values. None
    and empty text are shown as ``-``, booleans as ``yes`` and ``no``.
    """
    cells = [[_cell(value) for value in row] for row in [columns, *rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return " ".join(str(value).split()) or "-"
