"""Typed messages between daemons and their CBOR encoding."""

import math

import cbor2

from .errors import PeerError, ResultCode
from .registry import Registry

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "CancelQuery",
    "Digest",
    "DocumentReply",
    "DocumentRequest",
    "ErrorReply",
    "Execute",
    "ExecuteResult",
    "ForwardRevise",
    "Hello",
    "Leaving",
    "Message",
    "Ping",
    "Pong",
    "PrefixReply",
    "PrefixRequest",
    "QuarantineNotice",
    "ServiceStatus",
    "ServiceStatusRequest",
    "SubAnswer",
    "SubQueryBatch",
    "decode_frame",
    "encode_frame",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024

# 2100-01-01; a frame beyond it would move the clocks of all daemons for good.
MAX_TIMESTAMP_MS = 4_102_444_800_000
MAX_COUNTER = 1 << 32
MAX_INTEGER = 1 << 63
# Above the 1024 levels that the JSON decoder accepts from upstreams, whose rows
# are part of a frame; a deeper frame would end the link.
MAX_DEPTH = 1100


# Checks of fields: functions from a received value to whether it is allowed.


def _any(value):
    return True


def _bool(value):
    return isinstance(value, bool)


def _int(value):
    return type(value) is int and -MAX_INTEGER <= value < MAX_INTEGER


def _number(value):
    return _int(value) or (type(value) is float and math.isfinite(value))


def _str(value):
    return isinstance(value, str)


def _optional(check):
    return lambda value: value is None or check(value)


def _list_of(check):
    return lambda value: isinstance(value, list) and all(map(check, value))


def _row(*checks):
    """Return the check of a list with one value for each of ``checks``."""

    def check_row(value):
        return (
            isinstance(value, list)
            and len(value) == len(checks)
            and all(check(item) for check, item in zip(checks, value, strict=True))
        )

    return check_row


def _dict(value):
    return isinstance(value, dict) and all(map(_str, value))


_INTS = _list_of(_int)
_STRS = _list_of(_str)
_RANGES = _list_of(_row(_int, _int))


def _code(value):
    return _int(value)


messages = Registry("message type")


class Message:
    """Base of all peer messages.

    A subclass lists its fields in ``FIELDS`` as name to (check, default); a field
    whose default is ``REQUIRED`` must be present. ``seq`` matches replies to
    requests on one connection and is 0 for one-way messages.
    """

    __slots__ = ("seq",)

    REQUIRED = object()
    FIELDS = {}
    TYPE = None

    def __init__(self, seq=0, **values):
        self.seq = seq
        for name, (_, default) in self.FIELDS.items():
            if name in values:
                setattr(self, name, values.pop(name))
            elif default is Message.REQUIRED:
                raise TypeError(f"{type(self).__name__} needs the field {name!r}")
            else:
                setattr(self, name, default() if callable(default) else default)
        if values:
            unknown = ", ".join(sorted(values))
            raise TypeError(f"{type(self).__name__} has no field {unknown}")

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.FIELDS)
        return f"{type(self).__name__}(seq={self.seq}, {fields})"

    def to_dict(self):
        """Return the map that is sent."""
        encoded = {name: getattr(self, name) for name in self.FIELDS}
        encoded["t"] = self.TYPE
        encoded["seq"] = self.seq
        return encoded

    @classmethod
    def from_dict(cls, encoded):
        """Build the message from a received map; unknown fields are ignored."""
        values = {}
        for name, (check, default) in cls.FIELDS.items():
            if name in encoded:
                value = encoded[name]
                if not check(value):
                    raise PeerError(
                        f"{cls.TYPE}.{name}: invalid value", ResultCode.PEER_PROTOCOL
                    )
                values[name] = _known_code(value) if check is _code else value
            elif default is Message.REQUIRED:
                raise PeerError(
                    f"{cls.TYPE}.{name} is missing", ResultCode.PEER_PROTOCOL
                )
        return cls(encoded["seq"], **values)


def _known_code(number):
    """Return the result code, INTERNAL for one of a newer version."""
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


def _message(type_name):
    def decorate(cls):
        cls.TYPE = type_name
        return messages.register(type_name)(cls)

    return decorate


@_message("hello")
class Hello(Message):
    """First message of the side that opened the connection."""

    __slots__ = ("incarnation", "instance", "version")
    FIELDS = {
        "instance": (_str, Message.REQUIRED),
        "incarnation": (_str, Message.REQUIRED),
        "version": (_int, PROTOCOL_VERSION),
    }


@_message("ping")
class Ping(Message):
    """Liveness probe; answered by ``Pong``."""

    __slots__ = ()


@_message("pong")
class Pong(Message):
    """Answer to ``Ping``."""

    __slots__ = ("incarnation",)
    FIELDS = {"incarnation": (_str, Message.REQUIRED)}


@_message("error")
class ErrorReply(Message):
    """A request could not be handled."""

    __slots__ = ("code", "message", "not_run", "retry_after_ms")
    FIELDS = {
        "code": (_code, Message.REQUIRED),
        "message": (_str, ""),
        "not_run": (_bool, False),
        "retry_after_ms": (_optional(_number), None),
    }


@_message("sub_query_batch")
class SubQueryBatch(Message):
    """Sub-requests of one query for the services that the receiver owns.

    ``items`` is a list of ``[service, [[low, high], ...]]``. ``version`` and
    ``epoch`` are the pinned snapshot. ``remaining_ms`` is the time left until
    the query's deadline. The receiver sends one ``SubAnswer`` for each item.
    ``suspect`` asks for a server that runs no other suspect request; ``avoid``
    lists servers that were lost under the request.
    """

    __slots__ = (
        "avoid",
        "body",
        "epoch",
        "fingerprint",
        "items",
        "query_id",
        "remaining_ms",
        "suspect",
        "version",
        "workload",
    )
    FIELDS = {
        "query_id": (_str, Message.REQUIRED),
        "workload": (_str, Message.REQUIRED),
        "version": (_int, Message.REQUIRED),
        "epoch": (_int, Message.REQUIRED),
        "remaining_ms": (_number, Message.REQUIRED),
        "items": (_list_of(_row(_str, _RANGES)), Message.REQUIRED),
        "body": (_any, None),
        "fingerprint": (_str, ""),
        "suspect": (_bool, False),
        "avoid": (_STRS, list),
    }


@_message("sub_answer")
class SubAnswer(Message):
    """Result of one item of a ``SubQueryBatch``.

    ``wait_ms`` is the owner's estimate of the queueing time for the workload and
    ``service_ms`` that of the time on a server;
    ``versions`` and ``epochs`` are what the service can serve now.
    """

    __slots__ = (
        "attempts",
        "code",
        "epoch",
        "epochs",
        "not_run",
        "payload",
        "ranges",
        "retry_after_ms",
        "server",
        "service",
        "service_ms",
        "version",
        "versions",
        "wait_ms",
    )
    FIELDS = {
        "service": (_str, Message.REQUIRED),
        "code": (_code, Message.REQUIRED),
        "not_run": (_bool, False),
        "version": (_int, 0),
        "epoch": (_int, 0),
        "ranges": (_RANGES, list),
        "payload": (_any, None),
        "server": (_str, ""),
        "attempts": (_int, 0),
        "wait_ms": (_number, 0),
        "service_ms": (_number, 0),
        "versions": (_INTS, list),
        "epochs": (_INTS, list),
        "retry_after_ms": (_optional(_number), None),
    }


@_message("cancel_query")
class CancelQuery(Message):
    """The coordinator no longer needs answers of a query.

    ``services`` names those whose answers it has; an empty list means all.
    """

    __slots__ = ("query_id", "services")
    FIELDS = {"query_id": (_str, Message.REQUIRED), "services": (_STRS, list)}


@_message("service_status_request")
class ServiceStatusRequest(Message):
    """Asks an owner what its services can serve."""

    __slots__ = ("services",)
    FIELDS = {"services": (_STRS, Message.REQUIRED)}


@_message("service_status")
class ServiceStatus(Message):
    """For each service ``[service, versions, epochs, wait_ms]``."""

    __slots__ = ("services",)
    FIELDS = {
        "services": (_list_of(_row(_str, _INTS, _INTS, _number)), Message.REQUIRED)
    }


@_message("prefix_request")
class PrefixRequest(Message):
    """Asks a daemon for an execution id prefix that callers may use."""

    __slots__ = ()


@_message("prefix_reply")
class PrefixReply(Message):
    """The current execution id prefix of the sender."""

    __slots__ = ("prefix",)
    FIELDS = {"prefix": (_str, Message.REQUIRED)}


@_message("forward_revise")
class ForwardRevise(Message):
    """A non-idempotent request on its way from the entry to its home."""

    __slots__ = ("body", "execution_id", "remaining_ms", "request_id", "workload")
    FIELDS = {
        "workload": (_str, Message.REQUIRED),
        "execution_id": (_str, Message.REQUIRED),
        "request_id": (_str, ""),
        "remaining_ms": (_number, Message.REQUIRED),
        "body": (_any, None),
    }


@_message("execute")
class Execute(Message):
    """A non-idempotent request on its way from its home to the owner."""

    __slots__ = (
        "avoid",
        "body",
        "execution_id",
        "fingerprint",
        "remaining_ms",
        "service",
        "suspect",
        "workload",
    )
    FIELDS = {
        "workload": (_str, Message.REQUIRED),
        "service": (_str, Message.REQUIRED),
        "execution_id": (_str, Message.REQUIRED),
        "remaining_ms": (_number, Message.REQUIRED),
        "fingerprint": (_str, ""),
        "suspect": (_bool, False),
        "avoid": (_STRS, list),
        "body": (_any, None),
    }


@_message("execute_result")
class ExecuteResult(Message):
    """Outcome of a non-idempotent request."""

    __slots__ = ("code", "message", "not_run", "payload", "retry_after_ms", "server")
    FIELDS = {
        "code": (_code, Message.REQUIRED),
        "not_run": (_bool, False),
        "message": (_str, ""),
        "payload": (_any, None),
        "server": (_str, ""),
        "retry_after_ms": (_optional(_number), None),
    }


@_message("digest")
class Digest(Message):
    """What the sender knows: documents, its own state, quarantined requests.

    ``documents`` maps a document's name to ``[revision, digest]``; ``ready`` tells
    that the sender serves callers and trusts its documents; ``quarantined`` is a
    list of ``[fingerprint, remaining_ms]``. ``address`` is the sender's peer
    address, ``[host, port]``, or None when the platform's list names the sender.
    Suspicion of other daemons is not part of it.
    """

    __slots__ = (
        "address",
        "documents",
        "incarnation",
        "instance",
        "leaving",
        "quarantined",
        "ready",
    )
    FIELDS = {
        "instance": (_str, Message.REQUIRED),
        "incarnation": (_str, Message.REQUIRED),
        "documents": (_dict, dict),
        "ready": (_bool, False),
        "leaving": (_bool, False),
        "quarantined": (_list_of(_row(_str, _number)), list),
        "address": (_optional(_row(_str, _int)), None),
    }

    def stated(self):
        """Return (name, revision, digest) of all well-formed document entries."""
        return [
            (name, stated[0], stated[1])
            for name, stated in self.documents.items()
            if isinstance(stated, list)
            and len(stated) == 2
            and type(stated[0]) is int
            and isinstance(stated[1], str)
        ]


@_message("document_request")
class DocumentRequest(Message):
    """Asks for a document newer than ``have``, as changes where possible."""

    __slots__ = ("digest", "have", "name")
    FIELDS = {
        "name": (_str, Message.REQUIRED),
        "have": (_int, 0),
        "digest": (_optional(_str), None),
    }


@_message("document_reply")
class DocumentReply(Message):
    """A newer document, either as a snapshot or as a chain of changes.

    ``patches`` is a list of ``[revision, merge patch, digest of the result]`` in
    order of revision, which starts from the revision that the request states; when
    it is empty, ``snapshot`` holds the whole body.
    """

    __slots__ = ("digest", "name", "patches", "revision", "snapshot")
    FIELDS = {
        "name": (_str, Message.REQUIRED),
        "revision": (_int, Message.REQUIRED),
        "digest": (_str, Message.REQUIRED),
        "patches": (_list_of(_row(_int, _any, _str)), list),
        "snapshot": (_any, None),
    }


@_message("leaving")
class Leaving(Message):
    """The sender is shutting down and takes no new work soon."""

    __slots__ = ("incarnation", "instance")
    FIELDS = {
        "instance": (_str, Message.REQUIRED),
        "incarnation": (_str, Message.REQUIRED),
    }


@_message("quarantine_notice")
class QuarantineNotice(Message):
    """Servers lost under a request.

    ``remaining_ms`` is the time for which the request is refused; 0 means that
    it is only a suspect so far.
    """

    __slots__ = ("fingerprint", "remaining_ms", "servers")
    FIELDS = {
        "fingerprint": (_str, Message.REQUIRED),
        "remaining_ms": (_number, Message.REQUIRED),
        "servers": (_STRS, list),
    }


def encode_frame(timestamp, batch):
    """Encode ``batch``, a list of messages, with the sender's ``timestamp``."""
    frame = cbor2.dumps([list(timestamp), *(message.to_dict() for message in batch)])
    if len(frame) > MAX_FRAME_BYTES:
        raise PeerError(
            f"frame of {len(frame)} bytes is over {MAX_FRAME_BYTES}",
            ResultCode.MESSAGE_TOO_LARGE,
        )
    return frame


def _decode_message(encoded):
    if not isinstance(encoded, dict) or not _int(encoded.get("seq")):
        raise PeerError("a message must be a map with seq", ResultCode.PEER_PROTOCOL)
    name = encoded.get("t")
    try:
        if not isinstance(name, str) or name not in messages:
            # A newer peer may send types that this version does not know.
            raise PeerError(f"unknown message type {name!r}", ResultCode.PEER_PROTOCOL)
        return messages.get(name).from_dict(encoded)
    except PeerError as exc:
        # "Not run" stays False: a reply that cannot be read may report a run.
        return ErrorReply(encoded["seq"], code=exc.code, message=exc.message)


def _check_timestamp(timestamp):
    if not _row(_int, _int)(timestamp):
        raise PeerError("invalid frame timestamp", ResultCode.PEER_PROTOCOL)
    millis, counter = timestamp
    if not (0 <= millis <= MAX_TIMESTAMP_MS and 0 <= counter <= MAX_COUNTER):
        raise PeerError("frame timestamp out of range", ResultCode.PEER_PROTOCOL)


def decode_frame(frame):
    """Decode a frame into ``(timestamp, messages)``.

    Raises ``PeerError`` for anything that is not a well-formed frame. A message
    that is invalid or of an unknown type is returned as an ``ErrorReply`` that
    carries its ``seq``, so that it ends one call and not the link.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise PeerError("frame is too large", ResultCode.MESSAGE_TOO_LARGE)
    try:
        decoded = cbor2.loads(frame, max_depth=MAX_DEPTH, strict_hashable_types=True)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise PeerError(f"invalid CBOR: {exc}", ResultCode.PEER_PROTOCOL) from exc
    if not isinstance(decoded, list) or not decoded:
        raise PeerError("a frame must be a CBOR array", ResultCode.PEER_PROTOCOL)
    _check_timestamp(decoded[0])
    return tuple(decoded[0]), [_decode_message(encoded) for encoded in decoded[1:]]
