"""Interfaces of the core to peers, upstreams and the platform, and their data."""

import hashlib

import orjson

from .errors import PeerError, ResultCode

__all__ = [
    "BasePeers",
    "BasePlatform",
    "BaseUpstreamConnection",
    "BaseUpstreams",
    "Document",
    "LocalCall",
    "UpstreamReply",
    "document_digest",
]


def _canonical_json(body):
    return orjson.dumps(body, option=orjson.OPT_SORT_KEYS)


def document_digest(body):
    """Return the hex digest of ``body`` in canonical JSON."""
    return _digest_canonical(_canonical_json(body))


def _digest_canonical(canonical):
    return hashlib.blake2b(canonical, digest_size=16).hexdigest()


class Document:
    """One revision of a document that the platform publishes.

    ``size`` is the length of the body in canonical JSON, in bytes, and ``digest`` the
    hex digest of it. Raises ``TypeError`` when the body is not JSON data.
    """

    __slots__ = ("body", "digest", "name", "revision", "size")

    def __init__(self, name, revision, body):
        self.name = name
        self.revision = revision
        self.body = body
        canonical = _canonical_json(body)
        self.size = len(canonical)
        self.digest = _digest_canonical(canonical)


class BasePlatform:
    """Read-only access to the platform's documents.

    Both calls raise ``PlatformError`` when the service cannot be read.
    """

    __slots__ = ()

    async def read(self, name):
        """Return the current ``Document``."""
        raise NotImplementedError

    async def watch(self, name, after, wait_s):
        """Return a ``Document`` newer than revision ``after``.

        Waits up to ``wait_s`` seconds and returns None when nothing is newer.
        """
        raise NotImplementedError

    async def close(self):
        """Release connections."""


class BasePeers:
    """Sends messages to other daemons and serves theirs."""

    __slots__ = ()

    async def call(self, instance, message, inbox):
        """Send a request; every reply goes to the queue ``inbox``.

        Returns a call object with ``close()``. Items of ``inbox`` are pairs (call,
        reply), where the reply is a ``Message`` or a ``PeerError``. An error with the
        code PEER_SUSPECT means that the peer has sent nothing for some time; the call
        stays open and may still be answered. Any other error ends the call.
        """
        raise NotImplementedError

    async def request(self, instance, message, timeout_s):
        """Send a request and return its single reply; raises ``PeerError``.

        ``not_run`` of the error is True when the request was never sent.
        """
        raise NotImplementedError

    async def send(self, instance, message):
        """Send a one-way message; raises ``PeerError`` when unreachable."""
        raise NotImplementedError

    async def send_if_open(self, instance, message):
        """Send a one-way message if a link to the peer is open."""
        raise NotImplementedError

    async def start_check(self, instance):
        """Start a check of a peer that another daemon could not reach."""
        raise NotImplementedError

    def register(self, message_class, handler):
        """Serve requests: ``await handler(sender, message, reply)``."""
        raise NotImplementedError


class UpstreamReply:
    """Answer of an upstream.

    ``code`` is OK, the reason of a refusal or a failure. ``not_run`` is True when the
    upstream states that it didn't run the request. ``versions`` and ``epochs`` are
    lists of what the server can serve, None when it doesn't state them.
    """

    __slots__ = (
        "body",
        "code",
        "epochs",
        "is_draining",
        "not_run",
        "versions",
    )

    def __init__(
        self,
        code,
        body=None,
        not_run=False,
        is_draining=False,
        versions=None,
        epochs=None,
    ):
        self.code = code
        self.body = body
        self.not_run = not_run
        self.is_draining = is_draining
        self.versions = versions
        self.epochs = epochs


class BaseUpstreamConnection:
    """One connection to an upstream server, used for one exchange at a time.

    Exchanges raise ``UpstreamError`` when the connection is lost or times out.
    ``is_usable`` is False when the connection cannot be used for another exchange.
    """

    __slots__ = ()

    is_usable = True

    def is_stale(self):
        """Return whether the server closed the idle connection."""
        return False

    def may_revise(self, execution_id):
        """Return whether the connection may carry a revision.

        A copy of an earlier reply to it could be taken for the next one.
        """
        return True

    async def search(self, request_id, remaining_s, sub_request):
        """Run the idempotent ``sub_request`` and return an ``UpstreamReply``.

        ``remaining_s`` is the time left until its deadline, in seconds.
        """
        raise NotImplementedError

    async def revise(self, remaining_s, sub_request, before_write):
        """Run the non-idempotent ``sub_request`` and return an ``UpstreamReply``.

        ``before_write`` is called right before the first byte is written and may
        raise to stop the request.
        """
        raise NotImplementedError

    async def cancel(self, request_id):
        """Ask the server to stop a request that runs on another connection."""
        raise NotImplementedError

    async def status(self):
        """Return state, versions and epochs of the server as an ``UpstreamReply``."""
        raise NotImplementedError

    async def close(self):
        """Close the connection."""


class BaseUpstreams:
    """Opens connections to upstream servers."""

    __slots__ = ()

    async def connect(self, address, timeout_s):
        """Return a ``BaseUpstreamConnection``; raises ``UpstreamError``."""
        raise NotImplementedError


class LocalCall:
    """A call to this daemon itself; replies are put into ``inbox`` directly."""

    __slots__ = ("inbox", "instance", "is_closed", "seq")

    def __init__(self, instance, inbox):
        self.instance = instance
        self.inbox = inbox
        self.seq = 0
        self.is_closed = False

    def close(self):
        """End the call; later replies are dropped."""
        self.is_closed = True

    async def reply(self, message):
        """Deliver a reply unless the call was closed."""
        if not self.is_closed:
            await self.inbox.put((self, message))


def unreachable_error(instance):
    """Return the error for a peer that is not in the view."""
    return PeerError(
        f"{instance} is not in the view", ResultCode.PEER_LOST, not_run=True
    )
