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

# 2100-01-01. Daemons advance their hybrid logical clocks to the timestamps that they
# receive and never set them back, so one wrong timestamp would affect them all.
MAX_TIMESTAMP_MS = 4_102_444_800_000
MAX_COUNTER = 1 << 32
MAX_INTEGER = 1 << 63
# Nesting levels of a frame; a deeper frame closes the link. The limit is above the
# 1024 levels that the JSON decoder accepts in rows of upstreams, which frames carry.
MAX_DEPTH = 1100


# Field checks: each returns whether a received value is valid.


def _accept_any(value):
    return True


def _is_bool(value):
    return isinstance(value, bool)


def _is_int(value):
    return type(value) is int and -MAX_INTEGER <= value < MAX_INTEGER


def _is_number(value):
    return _is_int(value) or (type(value) is float and math.isfinite(value))


def _is_str(value):
    return isinstance(value, str)


def _optional(check):
    return lambda value: value is None or check(value)


def _list_of(check):
    return lambda value: isinstance(value, list) and all(map(check, value))


def _fixed_list(*checks):
    """Return a check for a list with one item for each of ``checks``."""

    def check_fixed_list(value):
        return (
            isinstance(value, list)
            and len(value) == len(checks)
            and all(check(item) for check, item in zip(checks, value, strict=True))
        )

    return check_fixed_list


def _is_dict(value):
    return isinstance(value, dict) and all(map(_is_str, value))


_INT_LIST = _list_of(_is_int)
_STR_LIST = _list_of(_is_str)
_RANGE_LIST = _list_of(_fixed_list(_is_int, _is_int))


# A function of its own, because ``Message.from_dict`` converts the values of fields
# with this check to ``ResultCode``.
def _is_code(value):
    return _is_int(value)


message_types = Registry("message type")


class Message:
    """Base of all peer messages.

    ``FIELDS`` of a subclass maps the name of a field to (check, default). The default
    is a value, a function that returns it, or ``REQUIRED`` for a field that must be
    present. ``seq`` matches replies to requests on one connection and is 0 for
    one-way messages.
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
        """Return the map that is encoded into a frame."""
        encoded = {name: getattr(self, name) for name in self.FIELDS}
        encoded["t"] = self.TYPE
        encoded["seq"] = self.seq
        return encoded

    @classmethod
    def from_dict(cls, encoded):
        """Return the message of a received map; unknown fields are ignored.

        Raises ``PeerError`` for a missing field and an invalid value.
        """
        values = {}
        for name, (check, default) in cls.FIELDS.items():
            if name in encoded:
                value = encoded[name]
                if not check(value):
                    raise PeerError(
                        f"{cls.TYPE}.{name}: invalid value", ResultCode.PEER_PROTOCOL
                    )
                values[name] = _to_result_code(value) if check is _is_code else value
            elif default is Message.REQUIRED:
                raise PeerError(
                    f"{cls.TYPE}.{name} is missing", ResultCode.PEER_PROTOCOL
                )
        return cls(encoded["seq"], **values)


def _to_result_code(number):
    """Return the ``ResultCode``, INTERNAL for a number unknown to this version."""
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


def _register_message(type_name):
    def decorate(cls):
        cls.TYPE = type_name
        return message_types.register(type_name)(cls)

    return decorate


@_register_message("hello")
class Hello(Message):
    """First message on a connection, sent by the side that opened it."""

    __slots__ = ("incarnation", "instance", "version")
    FIELDS = {
        "instance": (_is_str, Message.REQUIRED),
        "incarnation": (_is_str, Message.REQUIRED),
        "version": (_is_int, PROTOCOL_VERSION),
    }


@_register_message("ping")
class Ping(Message):
    """Liveness probe; answered by ``Pong``."""

    __slots__ = ()


@_register_message("pong")
class Pong(Message):
    """Answer to ``Ping``."""

    __slots__ = ("incarnation",)
    FIELDS = {"incarnation": (_is_str, Message.REQUIRED)}


@_register_message("error")
class ErrorReply(Message):
    """Reply to a request that could not be handled."""

    __slots__ = ("code", "message", "not_run", "retry_after_ms")
    FIELDS = {
        "code": (_is_code, Message.REQUIRED),
        "message": (_is_str, ""),
        "not_run": (_is_bool, False),
        "retry_after_ms": (_optional(_is_number), None),
    }


@_register_message("sub_query_batch")
class SubQueryBatch(Message):
    """Sub-requests of one query for the services that the receiver owns.

    ``items`` is a list of ``[service, [[low, high], ...]]`` with the key ranges of
    each service. ``version`` and ``epoch`` state the snapshot that all items must be
    answered from. ``remaining_ms`` is the time left until the query's deadline. The
    receiver sends one ``SubAnswer`` for each item. ``suspect`` tells that a server was
    lost while it ran the request; the request then goes to a server that runs no other
    suspect request. ``avoid`` lists the servers that were lost.
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
        "query_id": (_is_str, Message.REQUIRED),
        "workload": (_is_str, Message.REQUIRED),
        "version": (_is_int, Message.REQUIRED),
        "epoch": (_is_int, Message.REQUIRED),
        "remaining_ms": (_is_number, Message.REQUIRED),
        "items": (_list_of(_fixed_list(_is_str, _RANGE_LIST)), Message.REQUIRED),
        "body": (_accept_any, None),
        "fingerprint": (_is_str, ""),
        "suspect": (_is_bool, False),
        "avoid": (_STR_LIST, list),
    }


@_register_message("sub_answer")
class SubAnswer(Message):
    """Result of one item of a ``SubQueryBatch``.

    ``wait_ms`` is the owner's estimate of the queueing time for the workload,
    ``service_ms`` its estimate of the time on a server. ``versions`` and ``epochs``
    list what the service can serve now.
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
        "service": (_is_str, Message.REQUIRED),
        "code": (_is_code, Message.REQUIRED),
        "not_run": (_is_bool, False),
        "version": (_is_int, 0),
        "epoch": (_is_int, 0),
        "ranges": (_RANGE_LIST, list),
        "payload": (_accept_any, None),
        "server": (_is_str, ""),
        "attempts": (_is_int, 0),
        "wait_ms": (_is_number, 0),
        "service_ms": (_is_number, 0),
        "versions": (_INT_LIST, list),
        "epochs": (_INT_LIST, list),
        "retry_after_ms": (_optional(_is_number), None),
    }


@_register_message("cancel_query")
class CancelQuery(Message):
    """The coordinator needs no more answers of a query.

    ``services`` lists the services to cancel; an empty list means all.
    """

    __slots__ = ("query_id", "services")
    FIELDS = {"query_id": (_is_str, Message.REQUIRED), "services": (_STR_LIST, list)}


@_register_message("service_status_request")
class ServiceStatusRequest(Message):
    """Asks an owner which versions and epochs its services can serve."""

    __slots__ = ("services",)
    FIELDS = {"services": (_STR_LIST, Message.REQUIRED)}


@_register_message("service_status")
class ServiceStatus(Message):
    """Reply with ``[service, versions, epochs, wait_ms]`` for each service."""

    __slots__ = ("services",)
    FIELDS = {
        "services": (
            _list_of(_fixed_list(_is_str, _INT_LIST, _INT_LIST, _is_number)),
            Message.REQUIRED,
        )
    }


@_register_message("prefix_request")
class PrefixRequest(Message):
    """Asks a daemon for an execution id prefix that callers may use."""

    __slots__ = ()


@_register_message("prefix_reply")
class PrefixReply(Message):
    """The current execution id prefix of the sender."""

    __slots__ = ("prefix",)
    FIELDS = {"prefix": (_is_str, Message.REQUIRED)}


@_register_message("forward_revise")
class ForwardRevise(Message):
    """A non-idempotent request that is forwarded to the home of its execution id.

    The home is the daemon that issued the prefix of the id. Only it dispatches the
    request to an owner.
    """

    __slots__ = (
        "allowed_ms",
        "body",
        "execution_id",
        "remaining_ms",
        "request_id",
        "workload",
    )
    FIELDS = {
        "workload": (_is_str, Message.REQUIRED),
        "execution_id": (_is_str, Message.REQUIRED),
        "request_id": (_is_str, ""),
        "remaining_ms": (_is_number, Message.REQUIRED),
        "allowed_ms": (_is_number, 0.0),
        "body": (_accept_any, None),
    }


@_register_message("execute")
class Execute(Message):
    """A non-idempotent request that its home sends to the owner of a service.

    ``remaining_ms`` is what is left of ``allowed_ms``, the caller's deadline from the
    arrival of its request, which is 0 if the sender does not state it.
    """

    __slots__ = (
        "allowed_ms",
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
        "workload": (_is_str, Message.REQUIRED),
        "service": (_is_str, Message.REQUIRED),
        "execution_id": (_is_str, Message.REQUIRED),
        "remaining_ms": (_is_number, Message.REQUIRED),
        "allowed_ms": (_is_number, 0.0),
        "fingerprint": (_is_str, ""),
        "suspect": (_is_bool, False),
        "avoid": (_STR_LIST, list),
        "body": (_accept_any, None),
    }


@_register_message("execute_result")
class ExecuteResult(Message):
    """Outcome of a non-idempotent request."""

    __slots__ = ("code", "message", "not_run", "payload", "retry_after_ms", "server")
    FIELDS = {
        "code": (_is_code, Message.REQUIRED),
        "not_run": (_is_bool, False),
        "message": (_is_str, ""),
        "payload": (_accept_any, None),
        "server": (_is_str, ""),
        "retry_after_ms": (_optional(_is_number), None),
    }


@_register_message("digest")
class Digest(Message):
    """The sender's state, the revisions of its documents and its quarantined requests.

    ``documents`` maps the name of a document to ``[revision, digest]``. ``ready``
    tells whether the sender serves callers and has checked that its documents are up
    to date. ``quarantined`` is a list of ``[fingerprint, remaining_ms]``. ``address``
    is the sender's peer address, ``[host, port]``, or None when the platform's list
    names the sender. Suspicions of other daemons are not sent.
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
        "instance": (_is_str, Message.REQUIRED),
        "incarnation": (_is_str, Message.REQUIRED),
        "documents": (_is_dict, dict),
        "ready": (_is_bool, False),
        "leaving": (_is_bool, False),
        "quarantined": (_list_of(_fixed_list(_is_str, _is_number)), list),
        "address": (_optional(_fixed_list(_is_str, _is_int)), None),
    }

    def document_revisions(self):
        """Return (name, revision, digest) of each well-formed item of ``documents``."""
        return [
            (name, stated[0], stated[1])
            for name, stated in self.documents.items()
            if isinstance(stated, list)
            and len(stated) == 2
            and type(stated[0]) is int
            and isinstance(stated[1], str)
        ]


@_register_message("document_request")
class DocumentRequest(Message):
    """Asks for a document newer than revision ``have``, as changes if possible.

    ``digest`` is that of the revision ``have``, None for no revision.
    """

    __slots__ = ("digest", "have", "name")
    FIELDS = {
        "name": (_is_str, Message.REQUIRED),
        "have": (_is_int, 0),
        "digest": (_optional(_is_str), None),
    }


@_register_message("document_reply")
class DocumentReply(Message):
    """A newer document, either as a snapshot or as a chain of changes.

    ``patches`` is a list of ``[revision, merge patch, digest of the result]`` in order
    of revision, the first one based on the revision that the request states. When it
    is empty, ``snapshot`` holds the whole body.
    """

    __slots__ = ("digest", "name", "patches", "revision", "snapshot")
    FIELDS = {
        "name": (_is_str, Message.REQUIRED),
        "revision": (_is_int, Message.REQUIRED),
        "digest": (_is_str, Message.REQUIRED),
        "patches": (_list_of(_fixed_list(_is_int, _accept_any, _is_str)), list),
        "snapshot": (_accept_any, None),
    }


@_register_message("leaving")
class Leaving(Message):
    """The sender is shutting down and will soon accept no new work."""

    __slots__ = ("incarnation", "instance")
    FIELDS = {
        "instance": (_is_str, Message.REQUIRED),
        "incarnation": (_is_str, Message.REQUIRED),
    }


@_register_message("quarantine_notice")
class QuarantineNotice(Message):
    """Servers were lost while they ran a request.

    ``remaining_ms`` is the time for which the request is refused, 0 while it is only
    suspected.
    """

    __slots__ = ("fingerprint", "remaining_ms", "servers")
    FIELDS = {
        "fingerprint": (_is_str, Message.REQUIRED),
        "remaining_ms": (_is_number, Message.REQUIRED),
        "servers": (_STR_LIST, list),
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
    if not isinstance(encoded, dict) or not _is_int(encoded.get("seq")):
        raise PeerError("a message must be a map with seq", ResultCode.PEER_PROTOCOL)
    name = encoded.get("t")
    try:
        if not isinstance(name, str) or name not in message_types:
            # A newer peer may send types that this version doesn't know.
            raise PeerError(f"unknown message type {name!r}", ResultCode.PEER_PROTOCOL)
        return message_types.get(name).from_dict(encoded)
    except PeerError as exc:
        # ``not_run`` stays False: the request of an unreadable reply may have run.
        return ErrorReply(encoded["seq"], code=exc.code, message=exc.message)


def _check_timestamp(timestamp):
    if not _fixed_list(_is_int, _is_int)(timestamp):
        raise PeerError("invalid frame timestamp", ResultCode.PEER_PROTOCOL)
    wall_ms, counter = timestamp
    if not (0 <= wall_ms <= MAX_TIMESTAMP_MS and 0 <= counter <= MAX_COUNTER):
        raise PeerError("frame timestamp out of range", ResultCode.PEER_PROTOCOL)


def decode_frame(frame):
    """Decode a frame into ``(timestamp, messages)``.

    Raises ``PeerError`` for a malformed frame. An invalid message and one of an unknown
    type are returned as an ``ErrorReply`` with their ``seq``, so that they end one call
    and not the link.
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
