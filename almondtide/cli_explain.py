"""Command ``explain``: from the id of a request to its cause, by the entries' logs."""

import pathlib

from .cli_arguments import Output, UsageError
from .explanation import explain_request, parse_log_line
from .presentation import format_table, print_error, print_json, print_text

__all__ = ["explain"]

NOT_FOUND_STATUS = 1
COLUMNS = ("entry", "s", "event", "fields")
# Fields that the table of lines leaves out.
HIDDEN_FIELDS = ("id", "history")
MAX_FIELDS_CHARS = 120


def explain(request_id: str, *logs: str, output: Output = "text"):
    """Show what led to the end of a request, from its id and the entries' logs.

    The exit status is 1 if no entry has read the request.

    :param request_id: id of the caller's request
    :param logs: files with the standard output of entries, each named after its entry
        unless its lines name it
    :param output: text or json
    """
    lines = []
    for name in logs:
        lines.extend(_read_lines(name))
    explanation = explain_request(lines, request_id)
    if explanation is None:
        print_error(
            f"no entry has read {request_id}: look for event=stopping, paused or "
            f"started in {len(logs)} logs at that time"
        )
        return NOT_FOUND_STATUS
    if output == "json":
        print_json(
            {
                "attempts": [_to_dict(line) for line in explanation.attempts],
                "lines": [_to_dict(line) for line in explanation.lines],
                "causes": explanation.causes,
            }
        )
        return 0
    last_at = explanation.attempts[-1].at
    shown = sorted(explanation.lines + explanation.attempts, key=lambda line: line.at)
    rows = [
        [line.entry, f"{line.at - last_at:+.3f}", line.event, _format_fields(line)]
        for line in shown
    ]
    print_text(format_table(COLUMNS, rows))
    print_text("\n".join(explanation.causes))
    return 0


def _read_lines(name):
    path = pathlib.Path(name)
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            found = (parse_log_line(text, path.stem) for text in file)
            return [line for line in found if line is not None]
    except OSError as exc:
        raise UsageError(f"{name}: {exc.strerror}") from exc


def _to_dict(line):
    return {
        "at": line.at,
        "entry": line.entry,
        "event": line.event,
        "fields": line.fields,
    }


def _format_fields(line):
    text = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    if len(text) > MAX_FIELDS_CHARS:
        text = text[: MAX_FIELDS_CHARS - 3] + "..."
    return text
