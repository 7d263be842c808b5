"""Explains one request of a caller from the log lines of the entries.

Log lines are read as ``LogLine`` objects. ``explain_request`` selects the lines that
led to the request's end and states the cause.
"""

import datetime
import re

__all__ = ["Explanation", "LogLine", "explain_request", "parse_log_line"]

# Lines of an entry are kept for this long before the request, in s.
LOOK_BACK_S = 10.0
# Most lines of the time line, the nearest to the request.
MAX_LINES = 60
# Requests whose id a line repeats in the field ``id``.
REQUEST_EVENTS = ("request", "request_failed")
# Events of an entry that concern every request that it serves.
ENTRY_EVENTS = (
    "started",
    "ready",
    "paused",
    "stopping",
    "stopped",
    "requests_ended",
    "store_lost",
    "store_regained",
    "store_restored",
    "configuration_in_force",
    "role_changed",
)
# Events of a server that explain what an exchange with it met.
SERVER_EVENTS = (
    "server_news",
    "server_left_out",
    "server_back",
    "server_paused",
    "server_announced_end",
    "server_lost_under",
    "entry_missing_held",
    "entry_revived",
)
# Events of one request, whose id they have.
OWN_EVENTS = ("server_lost_under", "request_quarantined", "status_withheld")

_PREFIX = re.compile(r"[IWEF](\d{2})(\d{2}) (\d{2}):(\d{2}):(\d{2})\.(\d{6})")
_FIELD = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_HISTORY_SERVER = re.compile(r"(?:@|^|[ ;])(i-[\w.-]+?)(?=[+: ;]|$)")


class LogLine:
    """One event of one entry; ``at`` is in seconds since the start of a year."""

    __slots__ = ("at", "entry", "event", "fields")

    def __init__(self, at, entry, event, fields):
        self.at = at
        self.entry = entry
        self.event = event
        self.fields = fields

    @property
    def server(self):
        """Id of the server that the event concerns, or None."""
        key = self.fields.get("key", "")
        return self.fields.get("server") or key.rpartition("/")[2] or None


class Explanation:
    """Why one request ended as it did.

    ``attempts`` are the lines of the request itself, ``lines`` those that led to it,
    both by time; ``causes`` are sentences, one or more for each attempt.
    """

    __slots__ = ("attempts", "causes", "lines")

    def __init__(self, attempts, lines, causes):
        self.attempts = attempts
        self.lines = lines
        self.causes = causes


def parse_log_line(text, entry):
    """Return the ``LogLine`` of a line of an entry's log, or None for any other.

    Text before the prefix of the line is ignored, but its last word names the entry if
    there is one; ``entry`` is the name otherwise.

    >>> line = parse_log_line(
    ...     '3.2 front-1 I0616 18:38:36.250000 7 a.py:1] event=paused for_s=2.5', "x"
    ... )
    >>> line.entry, line.event, line.fields
    ('front-1', 'paused', {'for_s': '2.5'})
    """
    found = _PREFIX.search(text)
    _, separator, rest = text.partition("] event=")
    if found is None or not separator:
        return None
    month, day, hour, minute, second, micros = map(int, found.groups())
    try:
        # The lines state no year; one with 29 February accepts every day.
        moment = datetime.datetime(2000, month, day, hour, minute, second, micros)
    except ValueError:
        return None
    words = text[: found.start()].split()
    event, _, tail = rest.strip().partition(" ")
    fields = {name: _unquote(value) for name, value in _FIELD.findall(tail)}
    at = (moment - datetime.datetime(2000, 1, 1)).total_seconds()
    return LogLine(at, words[-1] if words else entry, event, fields)


def _unquote(value):
    if len(value) >= 2 and value[0] == value[-1] == '"':
        return _ESCAPE.sub(r"\1", value[1:-1])
    return value


def explain_request(lines, request_id):
    """Return the ``Explanation`` of a request, or None if no entry has read it."""
    attempts = sorted(
        (
            line
            for line in lines
            if line.event in REQUEST_EVENTS and line.fields.get("id") == request_id
        ),
        key=lambda line: line.at,
    )
    if not attempts:
        return None
    related = []
    causes = []
    for attempt in attempts:
        found = [line for line in lines if _is_related(line, attempt)]
        related.extend(found)
        causes.extend(_find_causes(attempt, found))
    unique = sorted({id(line): line for line in related}.values(), key=lambda x: x.at)
    return Explanation(attempts, unique[-MAX_LINES:], causes)


def _services_and_servers(attempt):
    """Return the names in the reason and the history of a request's line."""
    history = attempt.fields.get("history", "")
    services = {part.split(" ")[0] for part in history.split("; ") if part}
    _, _, named = attempt.fields.get("refused", "").partition("; ")
    services.update(part.split(" ")[0] for part in named.split(", ") if part)
    return services, set(_HISTORY_SERVER.findall(history))


def _is_related(line, attempt):
    if line is attempt or line.entry != attempt.entry:
        return False
    started_at = attempt.at - float(attempt.fields.get("ms", 0)) / 1000.0
    if not started_at - LOOK_BACK_S <= line.at <= attempt.at:
        return False
    if line.event in ENTRY_EVENTS:
        return True
    if line.event in OWN_EVENTS and line.fields.get("id") == (attempt.fields.get("id")):
        return True
    if line.event not in SERVER_EVENTS:
        return False
    services, servers = _services_and_servers(attempt)
    return line.server in servers or line.fields.get("service") in services


def _find_causes(attempt, related):
    """Yield sentences on the end of one attempt."""
    fields = attempt.fields
    where = f"{attempt.entry}: status {fields.get('status')} code {fields.get('code')}"
    status = fields.get("status", "")
    refused = fields.get("refused", "")
    if refused == "quarantined":
        yield f"{where}: refused, since servers ended while they ran this request"
    elif refused:
        yield f"{where}: refused as not run, {refused}"
    elif "error:status" in fields.get("history", "") and fields.get("code") == "306":
        yield f"{where}: a server's own failure: {fields['history']}"
    elif fields.get("code") == "311":
        yield f"{where}: it may have run, status withheld: {fields.get('history')}"
    elif status == "503":
        yield f"{where}: no server took it: {fields.get('history', 'no configuration')}"
    elif status == "504":
        yield f"{where}: no answer in {fields.get('ms')} ms: {fields.get('history')}"
    elif status == "502":
        yield f"{where}: it may have run: {fields.get('history')}"
    elif fields.get("left") == "True":
        yield f"{where}: the caller left after {fields.get('ms')} ms"
    elif "history" in fields:
        parts = fields.get("parts")
        yield f"{where}: {parts} parts in {fields.get('ms')} ms: {fields['history']}"
    else:
        yield f"{where}: served in {fields.get('ms')} ms"
    for line in related:
        sentence = _DESCRIPTIONS.get(line.event)
        if sentence is not None:
            before_s = attempt.at - line.at
            yield f"  {before_s:.2f} s before: {sentence.format_map(_Named(line))}"


class _Named(dict):
    """Fields of a line for a sentence; a missing one is shown as "?"."""

    def __init__(self, line):
        super().__init__(line.fields)
        self["server"] = line.server or "?"

    def __missing__(self, name):
        return "?"


# Events that change what the entry can do for a request, as sentences.
_DESCRIPTIONS = {
    "paused": "the entry did not run for {for_s} s",
    "stopping": "the entry was asked to stop",
    "requests_ended": "the entry ended its {running} last requests",
    "store_lost": "the store did not answer the entry: {reason}",
    "store_restored": "the store came back from a copy, era {era}",
    "status_withheld": "status {status} of {source} would have been a false promise",
    "server_left_out": "server {server} of {service} was left out: {failure}",
    "server_paused": "server {server} of {service} asked for a pause of {asked_ms} ms",
    "server_announced_end": "server {server} of {service} announced its end",
    "server_lost_under": "server {server} ended under this request",
    "request_quarantined": "the request was refused for {refused_ms} ms from then on",
}
