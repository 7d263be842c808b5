"""Daemons within the test process, for tests of documents and membership."""

import functools
import random

import curio

from almondtide.clock import MemoryClock
from almondtide.dissemination import Dissemination, LocalState
from almondtide.documents import DocumentKind, DocumentStore
from almondtide.errors import AlmondtideError, PeerError
from almondtide.events import EventRing
from almondtide.logs import Log
from almondtide.membership import Membership, parse_instances
from almondtide.memory import MemoryPlatform
from almondtide.messages import ErrorReply, decode_frame, encode_frame
from almondtide.metrics import Metrics
from almondtide.ports import BasePeers
from almondtide.quarantine import Quarantine
from almondtide.startup import StartupGuard

DOMAINS = ("sala-norte", "sala-sur", "sala-barva")


def run_in_curio(test):
    """Decorate an async test method so that it runs in a curio kernel."""

    @functools.wraps(test)
    def run(self):
        curio.run(test, self)

    return run


class LocalPeers(BasePeers):
    """Peers that call each other's handlers directly, except over cut links."""

    def __init__(self, instance, network):
        self.instance = instance
        self.network = network
        self.handlers = {}
        self.resolve = lambda instance: None
        self.replies = []
        network.nodes[instance] = self

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    async def request(self, instance, message, timeout_s):
        address = self.resolve(instance)
        node = self.network.find(address)
        if node is None or frozenset((self.instance, node.instance)) in (
            self.network.cut_links
        ):
            raise PeerError(f"{instance} cannot be reached", not_run=True)
        replies = []

        async def reply(answer):
            replies.append(_encode_and_decode(answer))
            self.replies.append(replies[-1])

        try:
            received = _encode_and_decode(message)
            await node.handlers[type(received)](self.instance, received, reply)
        except AlmondtideError as exc:
            await reply(ErrorReply(code=int(exc.code), message=exc.message))
        return replies[0]


def _encode_and_decode(message):
    return decode_frame(encode_frame((0, 0), [message]))[1][0]


class LocalNetwork:
    """All daemons of a test, and the platform and clock that they share.

    ``cut_links`` holds pairs of instances that cannot reach each other.
    """

    def __init__(self, seed=1):
        self.clock = MemoryClock()
        self.platform = MemoryPlatform()
        self.nodes = {}
        self.cut_links = set()
        self.daemons = {}
        self.rng = random.Random(seed)

    def find(self, address):
        for name, daemon in self.daemons.items():
            if daemon.state.peer_address == address and daemon.is_running:
                return self.nodes[name]
        return None

    def instances_body(self, names):
        """Return the ``instances`` body that names these daemons."""
        return {"instances": [make_entry(name) for name in names]}

    def partition(self, left, right):
        self.cut_links.update(frozenset((a, b)) for a in left for b in right)

    async def run_rounds(self, rounds=3):
        """Let each daemon exchange digests ``rounds`` times and let tasks run."""
        for _ in range(rounds):
            for daemon in list(self.daemons.values()):
                if daemon.is_running:
                    await daemon.exchange_digests()
            for _ in range(30):
                await curio.sleep(0)


def make_entry(name, state="live"):
    """Return the item of the ``instances`` document for the daemon ``d<number>``."""
    number = int(name[1:])
    return {
        "id": name,
        "role": "entry",
        "address": f"10.0.0.{number}:1",
        "peer": f"10.0.0.{number}:2",
        "domain": DOMAINS[number % 3],
        "state": state,
    }


def _validate(body, revision):
    if "bad" in body:
        raise ValueError("$.bad: unknown field")
    return body


class LocalDaemon:
    """The components of a daemon that distribute documents."""

    def __init__(self, network, name, seeds=(), incarnation="i1", platform=None):
        number = int(name[1:])
        self.is_running = True
        self.name = name
        self.applied = []
        self.events = EventRing(network.clock)
        log = Log(self.events)
        self.membership = Membership(name, network.clock)
        self.state = LocalState(
            name, incarnation, DOMAINS[number % 3], (f"10.0.0.{number}", 2)
        )
        kinds = [
            DocumentKind("configuration", _validate, self._apply),
            DocumentKind(
                "instances",
                lambda body, _: parse_instances(body),
                self._apply_instances,
            ),
        ]
        self.store = DocumentStore(kinds, log)
        peers = LocalPeers(name, network)
        self.peers = peers
        self.platform = platform or network.platform
        self.dissemination = Dissemination(
            self.state,
            self.store,
            self.membership,
            peers,
            self.platform,
            Quarantine(network.clock),
            [(f"10.0.0.{seed[1:]}", 2) for seed in seeds],
            network.clock,
            log,
            Metrics(),
            network.rng,
        )
        peers.resolve = self.dissemination.resolve
        self.guard = StartupGuard(
            name,
            "instances",
            self.dissemination,
            self.membership,
            network.clock,
            log,
            network.rng,
        )
        network.daemons[name] = self

    async def _apply(self, document, parsed):
        self.applied.append(document.revision)

    async def _apply_instances(self, document, members):
        await self.membership.update_list(members)

    async def exchange_digests(self):
        """Exchange digests with 3 random peers."""
        for peer in self.dissemination.sample_peers(3):
            try:
                await self.dissemination.exchange(peer)
            except PeerError:
                pass

    def revision(self, name="configuration"):
        return self.store.revision(name)

    def event_names(self):
        return [event.name for event in self.events.since()]


async def make_fleet(network, count):
    """Return ``count`` ready daemons that have read the platform's documents."""
    names = [f"d{number}" for number in range(count)]
    network.platform.publish("instances", 1, network.instances_body(names))
    network.platform.publish("configuration", 1, {"n": 1})
    daemons = [LocalDaemon(network, name) for name in names]
    for daemon in daemons:
        await daemon.dissemination.read_platform()
        daemon.state.is_ready = True
    return daemons
