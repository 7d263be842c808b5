"""Small fakes for tests of single modules."""

from almondtide.configuration import parse_configuration
from almondtide.errors import PeerError
from almondtide.membership import ENTRY, Member, Membership
from almondtide.metrics import Metrics
from almondtide.ports import BasePeers
from tests.documents import make_document

__all__ = [
    "Outage",
    "ScriptedPeers",
    "make_configuration",
    "make_membership",
    "make_metrics",
]


class Outage:
    """A scripted failure of a peer; ``sent`` tells whether the message left."""

    def __init__(self, sent):
        self.sent = sent


class ScriptedPeers(BasePeers):
    """Peers whose replies a test scripts.

    ``script`` maps an instance to an async function from message to reply or
    ``Outage``. Every request is noted in ``requests`` as (instance, message).
    """

    def __init__(self, script=None):
        self.script = script or {}
        self.requests = []
        self.notices = []
        self.handlers = {}

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    async def request(self, instance, message, timeout_s):
        self.requests.append((instance, message))
        reply = await self.script[instance](message)
        if isinstance(reply, Outage):
            raise PeerError(f"{instance} is lost", not_run=not reply.sent)
        return reply

    async def send(self, instance, message):
        self.notices.append((instance, message))

    async def send_if_open(self, instance, message):
        self.notices.append((instance, message))


def make_configuration(**options):
    """Return a callable that returns a configuration, as the modules expect."""
    cfg = parse_configuration(make_document(**options), revision=1)
    return lambda: cfg


async def make_membership(clock, count=3, instance="entry-0"):
    """Return a membership whose list holds ``count`` daemons."""
    membership = Membership(instance, clock)
    members = [
        Member(f"entry-{n}", ENTRY, ("127.0.0.1", 1000 + n), f"domain-{n % 3}")
        for n in range(count)
    ]
    await membership.update_list(members)
    return membership


def make_metrics():
    """Return the metrics of a daemon."""
    return Metrics()
