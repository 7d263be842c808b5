"""Headers of requests and responses, and the paths that callers use."""

import orjson

from ..entry.http_messages import Reply, Request

__all__ = [
    "READY_PATH",
    "RESOLVE_PATH",
    "decode_reply",
    "decode_request",
    "encode_entries",
    "forwarded_headers",
    "lasting_headers",
    "merged_headers",
    "passed_on_headers",
    "refusal_headers",
    "resolved_domain",
]

# Query field of a look-up that names the caller's failure domain.
ZONE_FIELD = "zone"
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
EXPECT_INSTANCE = b"expect-instance"
NOT_RUN = b"not-run"
SERVER_STAMP = b"server-stamp"
PART_STAMPS = b"Part-Stamps"
MISSING_PARTS = b"Missing-Parts"
MISDIRECTED_STATUS = 421

# Headers of one connection (RFC 9110, section 7.6.1) and those that are set anew.
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
_SET_HERE = _NOT_FORWARDED | {DEADLINE_MS, EXPECT_INSTANCE}


def _connection_tokens(headers):
    tokens = [value for name, value in headers if name == b"connection"]
    if not tokens:
        return ()
    return {token.strip().lower() for token in b",".join(tokens).split(b",")}


def decode_request(method, target, headers, body):
    """Return the ``Request`` of a caller; header names are lower case."""
    host = request_id = allowed_s = None
    tokens = _connection_tokens(headers)
    kept = []
    for name, value in headers:
        if name == DEADLINE_MS:
            allowed_s = _milliseconds(value)
        elif name not in _SET_HERE and name not in tokens:
            if name == REQUEST_ID:
                request_id = value.decode("latin-1")
            elif name == b"host":
                host = value.decode("latin-1").lower()
            kept.append((name, value))
    return Request(
        method.decode("latin-1"),
        target.decode("latin-1"),
        host.partition(":")[0] if host else "",
        request_id,
        allowed_s,
        kept,
        body,
    )


def _milliseconds(value):
    try:
        seconds = float(value) / 1000.0
    except ValueError:
        return None
    return seconds if 0 <= seconds < 1e6 else None


def forwarded_headers(request, server_id, left_s):
    """Return the headers of a request to a server that may take ``left_s``."""
    headers = [
        *request.headers,
        (DEADLINE_MS, b"%d" % max(1, int(left_s * 1000))),
        (EXPECT_INSTANCE, server_id.encode("latin-1", "replace")),
    ]
    if request.body or request.method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def lasting_headers(request):
    """Return the headers that a caller repeats when it sends a request again."""
    return [pair for pair in request.headers if pair[0] != REQUEST_ID]


def decode_reply(status, headers, body):
    """Return the ``Reply`` of a server; header names are lower case."""
    tokens = _connection_tokens(headers)
    reply = Reply(status, headers, body)
    for name, value in headers:
        if name == SERVER_STAMP:
            reply.server_stamp = value
        elif name == REQUEST_ID:
            reply.request_id = value.decode("latin-1")
        elif name == NOT_RUN:
            reply.is_not_run = True
        elif name == b"content-encoding":
            reply.is_encoded = True
        elif name == b"keep-alive":
            reply.keep_alive_s = _idle_s(value)
    reply.is_misdirected = status == MISDIRECTED_STATUS
    if b"close" in tokens:
        reply.keep_alive_s = 0.0
    return reply


def _idle_s(value):
    for item in value.split(b","):
        name, _, seconds = item.partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None


def passed_on_headers(reply):
    """Return the headers of a server's reply that go to the caller."""
    tokens = _connection_tokens(reply.headers)
    return [
        pair
        for pair in reply.headers
        if pair[0] not in _NOT_FORWARDED and pair[0] not in tokens
    ]


def merged_headers(signatures, missing):
    """Return the headers of an answer that merges parts of several shards."""
    return [
        (PART_STAMPS, b", ".join(signatures)),
        (MISSING_PARTS, b"%d" % missing),
        (b"content-type", b"application/octet-stream"),
    ]


def refusal_headers(retry_after_s):
    """Return the headers of an answer of the tier itself.

    ``retry_after_s`` tells the caller when to come back, or is None.
    """
    headers = [(b"content-type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return headers


def encode_entries(addresses, ttl_s):
    """Return the body that tells callers which entries to use, and how long."""
    entries = [f"{host}:{port}" for host, port in addresses]
    return orjson.dumps({"addrs": entries, "ttl_s": ttl_s})


def resolved_domain(query):
    """Return the caller's failure domain in the query of a look-up, or "".

    >>> resolved_domain("a=1&zone=nadi")
    'nadi'
    """
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == ZONE_FIELD:
            return value
    return ""
