"""Headers of requests and responses, and the paths of look-ups and checks."""

import re

import orjson

from ..model.http_messages import Reply, ReportedLoad, Request

__all__ = [
    "READY_PATH",
    "RESOLVE_PATH",
    "decode_reply",
    "decode_request",
    "encode_resolve_answer",
    "forwarded_reply_headers",
    "forwarded_request_headers",
    "merged_answer_headers",
    "parse_caller_domain",
    "parse_caller_region",
    "parse_resolved_host",
    "refusal_answer_headers",
    "stable_headers",
]

# Query parameters of a look-up: the host that the caller asks for, the caller's region
# and its failure domain.
NAME_PARAMETER = "name"
REGION_PARAMETER = "region"
ZONE_PARAMETER = "zone"
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
EXPECT_INSTANCE = b"expect-instance"
INSTANCE_ID = b"instance-id"
NOT_RUN = b"not-run"
SERVER_STAMP = b"server-stamp"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_LOAD = b"server-load"
RETRY_AFTER = b"retry-after"
PART_STAMPS = b"Part-Stamps"
MISSING_PARTS = b"Missing-Parts"
TURNED_AWAY_STATUS = 503
# A decimal number without sign, exponent or the underscores that ``float`` takes.
_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")

# A count of requests or slots in a report of load; a larger one is taken as unreadable.
_COUNT = re.compile(rb"[0-9]{1,6}")
# Value of the fourth figure of a report of load while work takes as long as usual.
USUAL_PACE = 100.0

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that are generated anew.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_NOT_FORWARDED_IN_REQUESTS = _NOT_FORWARDED | {DEADLINE_MS, EXPECT_INSTANCE}


def _connection_tokens(headers):
    tokens = [value for name, value in headers if name == b"connection"]
    if not tokens:
        return ()
    return {token.strip().lower() for token in b",".join(tokens).split(b",")}


def decode_request(method, target, headers, body):
    """Return the ``Request`` of a caller; header names must be lower case."""
    host = request_id = allowed_s = None
    has_invalid_deadline = False
    tokens = _connection_tokens(headers)
    forwarded = []
    for name, value in headers:
        if name == DEADLINE_MS:
            allowed_ms = _parse_number(value)
            has_invalid_deadline = allowed_ms is None
            allowed_s = None if allowed_ms is None else allowed_ms / 1000.0
        elif name not in _NOT_FORWARDED_IN_REQUESTS and name not in tokens:
            if name == REQUEST_ID:
                request_id = value.decode("latin-1")
            elif name == b"host":
                host = value.decode("latin-1").lower()
            forwarded.append((name, value))
    request = Request(
        method.decode("latin-1"),
        target.decode("latin-1"),
        host.partition(":")[0] if host else "",
        request_id,
        allowed_s,
        forwarded,
        body,
    )
    request.has_invalid_deadline = has_invalid_deadline
    return request


def _parse_number(value):
    """Return a decimal number, or None for any other text.

    >>> _parse_number(b"1.5"), _parse_number(b"1_0"), _parse_number(b"inf")
    (1.5, None, None)
    """
    value = value.strip()
    return float(value) if _NUMBER.fullmatch(value) else None


def forwarded_request_headers(request, server_id, remaining_s):
    """Return the headers of a request to a server, with ``remaining_s`` as deadline."""
    headers = [
        *request.headers,
        (DEADLINE_MS, b"%d" % max(1, int(remaining_s * 1000))),
        (EXPECT_INSTANCE, server_id.encode("latin-1", "replace")),
    ]
    if request.body or request.method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def stable_headers(request):
    """Return the headers that stay equal when a caller sends a request again."""
    return [pair for pair in request.headers if pair[0] != REQUEST_ID]


def decode_reply(status, headers, body):
    """Return the ``Reply`` of a server; header names must be lower case."""
    tokens = _connection_tokens(headers)
    reply = Reply(status, headers, body)
    for name, value in headers:
        if name == SERVER_STAMP:
            reply.server_stamp = value
        elif name == REQUEST_ID:
            reply.request_id = value.decode("latin-1")
        elif name == INSTANCE_ID:
            reply.server_id = value.decode("latin-1")
        elif name == NOT_RUN:
            reply.is_not_run = True
        elif name == SERVER_LEAVING:
            reply.is_leaving = value.strip() not in (b"", b"0")
        elif name == SERVER_LIMIT:
            reply.rate_limit = _parse_number(value)
            reply.has_invalid_rate_limit = reply.rate_limit is None
        elif name == SERVER_LOAD:
            reply.reported_load, reply.has_invalid_load = _parse_load(value)
        elif name == RETRY_AFTER and status == TURNED_AWAY_STATUS:
            reply.pause_s = _parse_number(value)
            reply.has_invalid_pause = reply.pause_s is None
        elif name == b"content-encoding":
            reply.is_encoded = True
        elif name == b"keep-alive":
            reply.keep_alive_s = _parse_idle_s(value)
    if b"close" in tokens:
        reply.keep_alive_s = 0.0
    return reply


def _parse_load(value):
    """Return (``ReportedLoad`` or None, whether a part or all cannot be read).

    An unreadable pace leaves the other figures in force.

    >>> load, is_invalid = _parse_load(b"3,1,8,250")
    >>> load.running, load.waiting, load.slots, load.pace, is_invalid
    (3, 1, 8, 2.5, False)
    >>> _parse_load(b"3,-1,8")
    (None, True)
    """
    parts = [part.strip() for part in value.split(b",")]
    if not 3 <= len(parts) <= 4 or not all(map(_COUNT.fullmatch, parts[:3])):
        return None, True
    running, waiting, slots = map(int, parts[:3])
    if not slots:
        return None, True
    pace = None
    if len(parts) == 4:
        number = _parse_number(parts[3])
        pace = number / USUAL_PACE if number else None
    is_invalid = len(parts) == 4 and pace is None
    return ReportedLoad(running, waiting, slots, pace), is_invalid


def _parse_idle_s(value):
    for item in value.split(b","):
        name, _, seconds = item.partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None


def forwarded_reply_headers(reply):
    """Return the headers of a server's reply that are forwarded to the caller."""
    tokens = _connection_tokens(reply.headers)
    return [
        pair
        for pair in reply.headers
        if pair[0] not in _NOT_FORWARDED and pair[0] not in tokens
    ]


def merged_answer_headers(server_stamps, missing_count):
    """Return the headers of an answer that is merged from the replies of shards.

    ``server_stamps`` are those of the replies; ``missing_count`` shards have none.
    """
    return [
        (PART_STAMPS, b", ".join(server_stamps)),
        (MISSING_PARTS, b"%d" % missing_count),
        (b"content-type", b"application/octet-stream"),
    ]


def refusal_answer_headers(retry_after_s):
    """Return the headers of an answer that the tier itself generates.

    ``retry_after_s`` is the time after which the caller may try again, or None.
    """
    headers = [(b"content-type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return headers


def encode_resolve_answer(addresses, ttl_s):
    """Return the body of a look-up's answer: entries to use, and for how long."""
    entries = [f"{host}:{port}" for host, port in addresses]
    return orjson.dumps({"addrs": entries, "ttl_s": ttl_s})


def parse_caller_domain(query):
    """Return the caller's failure domain from the query of a look-up, or "".

    >>> parse_caller_domain("a=1&zone=nadi")
    'nadi'
    """
    return _query_value(query, ZONE_PARAMETER)


def parse_caller_region(query):
    """Return the caller's region from the query of a look-up, or "".

    >>> parse_caller_region("zone=nadi&region=viti-levu")
    'viti-levu'
    """
    return _query_value(query, REGION_PARAMETER)


def parse_resolved_host(query):
    """Return the host that a look-up asks for, in lower case without port, or "".

    >>> parse_resolved_host("name=Search.Example:80&zone=nadi")
    'search.example'
    """
    return _query_value(query, NAME_PARAMETER).lower().partition(":")[0]


def _query_value(query, wanted):
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == wanted:
            return value
    return ""
