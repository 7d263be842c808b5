"""Typed messages between daemons and their CBOR encoding."""

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

_NUMBER = (int, float)
_OPTIONAL_STR = (str, type(None))
_OPTIONAL_NUMBER = (int, float, type(None))
_ANY = object

messages = Registry("message type")


class Message:
    """Base of all peer messages.

    A subclass lists its fields in ``FIELDS`` as name to (type, default); a field
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
        for name, (kind, default) in cls.FIELDS.items():
            if name in encoded:
                value = encoded[name]
                if not isinstance(value, kind):
                    raise PeerError(
                        f"{cls.TYPE}.{name}: {type(value).__name__} is not allowed",
                        ResultCode.PEER_PROTOCOL,
                    )
                values[name] = value
            elif default is Message.REQUIRED:
                raise PeerError(
                    f"{cls.TYPE}.{name} is missing", ResultCode.PEER_PROTOCOL
                )
        return cls(encoded["seq"], **values)


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
        "instance": (str, Message.REQUIRED),
        "incarnation": (str, Message.REQUIRED),
        "version": (int, PROTOCOL_VERSION),
    }


@_message("ping")
class Ping(Message):
    """Liveness probe; answered by ``Pong``."""

    __slots__ = ()


@_message("pong")
class Pong(Message):
    """Answer to ``Ping``."""

    __slots__ = ("incarnation",)
    FIELDS = {"incarnation": (str, Message.REQUIRED)}


@_message("error")
class ErrorReply(Message):
    """A request could not be handled."""

    __slots__ = ("code", "message", "not_run", "retry_after_ms")
    FIELDS = {
        "code": (int, Message.REQUIRED),
        "message": (str, ""),
        "not_run": (bool, False),
        "retry_after_ms": (_OPTIONAL_NUMBER, None),
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
        "query_id": (str, Message.REQUIRED),
        "workload": (str, Message.REQUIRED),
        "version": (int, Message.REQUIRED),
        "epoch": (int, Message.REQUIRED),
        "remaining_ms": (_NUMBER, Message.REQUIRED),
        "items": (list, Message.REQUIRED),
        "body": (_ANY, None),
        "fingerprint": (str, ""),
        "suspect": (bool, False),
        "avoid": (list, list),
    }


@_message("sub_answer")
class SubAnswer(Message):
    """Result of one item of a ``SubQueryBatch``.

    ``wait_ms`` is the owner's estimate of the queueing time of the service;
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
        "version",
        "versions",
        "wait_ms",
    )
    FIELDS = {
        "service": (str, Message.REQUIRED),
        "code": (int, Message.REQUIRED),
        "not_run": (bool, False),
        "version": (int, 0),
        "epoch": (int, 0),
        "ranges": (list, list),
        "payload": (_ANY, None),
        "server": (str, ""),
        "attempts": (int, 0),
        "wait_ms": (_NUMBER, 0),
        "versions": (list, list),
        "epochs": (list, list),
        "retry_after_ms": (_OPTIONAL_NUMBER, None),
    }


@_message("cancel_query")
class CancelQuery(Message):
    """The coordinator no longer needs answers of a query.

    ``services`` names those whose answers it has; an empty list means all.
    """

    __slots__ = ("query_id", "services")
    FIELDS = {"query_id": (str, Message.REQUIRED), "services": (list, list)}


@_message("service_status_request")
class ServiceStatusRequest(Message):
    """Asks an owner what its services can serve."""

    __slots__ = ("services",)
    FIELDS = {"services": (list, Message.REQUIRED)}


@_message("service_status")
class ServiceStatus(Message):
    """For each service ``[service, versions, epochs, wait_ms]``."""

    __slots__ = ("services",)
    FIELDS = {"services": (list, Message.REQUIRED)}


@_message("prefix_request")
class PrefixRequest(Message):
    """Asks a daemon for an execution id prefix that callers may use."""

    __slots__ = ()


@_message("prefix_reply")
class PrefixReply(Message):
    """The current execution id prefix of the sender."""

    __slots__ = ("prefix",)
    FIELDS = {"prefix": (str, Message.REQUIRED)}


@_message("forward_revise")
class ForwardRevise(Message):
    """A non-idempotent request on its way from the entry to its home."""

    __slots__ = ("body", "execution_id", "remaining_ms", "request_id", "workload")
    FIELDS = {
        "workload": (str, Message.REQUIRED),
        "execution_id": (str, Message.REQUIRED),
        "request_id": (str, ""),
        "remaining_ms": (_NUMBER, Message.REQUIRED),
        "body": (_ANY, None),
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
        "workload": (str, Message.REQUIRED),
        "service": (str, Message.REQUIRED),
        "execution_id": (str, Message.REQUIRED),
        "remaining_ms": (_NUMBER, Message.REQUIRED),
        "fingerprint": (str, ""),
        "suspect": (bool, False),
        "avoid": (list, list),
        "body": (_ANY, None),
    }


@_message("execute_result")
class ExecuteResult(Message):
    """Outcome of a non-idempotent request."""

    __slots__ = ("code", "message", "not_run", "payload", "retry_after_ms", "server")
    FIELDS = {
        "code": (int, Message.REQUIRED),
        "not_run": (bool, False),
        "message": (str, ""),
        "payload": (_ANY, None),
        "server": (str, ""),
        "retry_after_ms": (_OPTIONAL_NUMBER, None),
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
        "instance": (str, Message.REQUIRED),
        "incarnation": (str, Message.REQUIRED),
        "documents": (dict, dict),
        "ready": (bool, False),
        "leaving": (bool, False),
        "quarantined": (list, list),
        "address": ((list, type(None)), None),
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
        "name": (str, Message.REQUIRED),
        "have": (int, 0),
        "digest": (_OPTIONAL_STR, None),
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
        "name": (str, Message.REQUIRED),
        "revision": (int, Message.REQUIRED),
        "digest": (str, Message.REQUIRED),
        "patches": (list, list),
        "snapshot": (_ANY, None),
    }


@_message("leaving")
class Leaving(Message):
    """The sender is shutting down and takes no new work soon."""

    __slots__ = ("incarnation", "instance")
    FIELDS = {
        "instance": (str, Message.REQUIRED),
        "incarnation": (str, Message.REQUIRED),
    }


@_message("quarantine_notice")
class QuarantineNotice(Message):
    """Servers lost under a request.

    ``remaining_ms`` is the time for which the request is refused; 0 means that
    it is only a suspect so far.
    """

    __slots__ = ("fingerprint", "remaining_ms", "servers")
    FIELDS = {
        "fingerprint": (str, Message.REQUIRED),
        "remaining_ms": (_NUMBER, Message.REQUIRED),
        "servers": (list, list),
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
    if not isinstance(encoded, dict) or not isinstance(encoded.get("seq"), int):
        raise PeerError("a message must be a map with seq", ResultCode.PEER_PROTOCOL)
    name = encoded.get("t")
    if not isinstance(name, str) or name not in messages:
        # A newer peer may send types that this version does not know.
        return ErrorReply(
            encoded["seq"],
            code=ResultCode.PEER_PROTOCOL,
            message=f"unknown message type {name!r}",
            not_run=True,
        )
    return messages.get(name).from_dict(encoded)


def decode_frame(frame):
    """Decode a frame into ``(timestamp, messages)``.

    Raises ``PeerError`` for anything that is not a well-formed frame. A message
    of an unknown type is returned as an ``ErrorReply`` that carries its ``seq``.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise PeerError("frame is too large", ResultCode.MESSAGE_TOO_LARGE)
    try:
        decoded = cbor2.loads(frame)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise PeerError(f"invalid CBOR: {exc}", ResultCode.PEER_PROTOCOL) from exc
    if not isinstance(decoded, list) or not decoded:
        raise PeerError("a frame must be a CBOR array", ResultCode.PEER_PROTOCOL)
    timestamp = decoded[0]
    if (
        not isinstance(timestamp, list)
        or len(timestamp) != 2
        or not all(isinstance(part, int) for part in timestamp)
    ):
        raise PeerError("invalid frame timestamp", ResultCode.PEER_PROTOCOL)
    return tuple(timestamp), [_decode_message(encoded) for encoded in decoded[1:]]
