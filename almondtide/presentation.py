"""Readable text and JSON output of the command line."""

import sys

import orjson

__all__ = ["format_table", "print_error", "print_json", "print_text"]


def print_json(value):
    """Print ``value`` as one line of JSON."""
    print_text(orjson.dumps(value).decode())


def print_text(text):
    """Print ``text`` and flush it, so that a follower sees it at once."""
    print(text, flush=True)


def print_error(text):
    """Print one line to standard error, whatever ``text`` contains."""
    line = " ".join(str(text).split())
    print(f"almondtide: {line}", file=sys.stderr, flush=True)


def format_table(columns, rows):
    """Return aligned lines: a heading and one line for each row.

    ``columns`` are names, ``rows`` are sequences of values; None is shown as
    ``-``.
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
