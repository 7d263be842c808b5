"""Distribution of documents: digests among daemons, watches of the platform."""

import curio

from .errors import DocumentError, PeerError, PlatformError
from .membership import ENTRY, Member
from .messages import Digest, DocumentReply, DocumentRequest
from .rendezvous import rank
from .sampling import PeerSample

__all__ = ["Dissemination", "LocalState"]

EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PEERS = 3
# An epidemic with 4 targets reaches 98 % of a fleet at once; the periodic digests
# reach the rest.
PUSH_PEERS = 4
# Peers that a daemon contacts when it becomes ready.
ANNOUNCE_PEERS = 64
EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
WATCHERS_PER_DOMAIN = 2
# A watch notices a platform that vanished without closing only at its end.
WATCH_WAIT_S = 20.0
ROLE_CHECK_S = 0.5
MIN_CALL_INTERVAL_S = 1.0
MAX_CALL_INTERVAL_S = 4.0
LONELY_AFTER_S = 3.0
MAX_QUARANTINED = 64
# A quarantine that ends sooner than this is not relearned from a peer.
MIN_QUARANTINE_S = 1.0
SEED_PREFIX = "seed/"


class LocalState:
    """What this daemon tells its peers about itself.

    ``ready`` becomes True when the startup guard is passed, ``leaving`` when the
    shutdown begins.
    """

    __slots__ = (
        "domain",
        "incarnation",
        "instance",
        "leaving",
        "peer_address",
        "ready",
    )

    def __init__(self, instance, incarnation, domain, peer_address):
        self.instance = instance
        self.incarnation = incarnation
        self.domain = domain
        self.peer_address = peer_address
        self.ready = False
        self.leaving = False


class Dissemination:
    """Keeps the documents of all daemons at the highest revision.

    ``state`` is the ``LocalState`` of this daemon. ``seeds`` are peer addresses
    that are asked at the start and while no peer is heard.
    """

    __slots__ = (
        "_clock",
        "_fetching",
        "_last_heard",
        "_log",
        "_membership",
        "_metrics",
        "_peers",
        "_platform",
        "_platform_state",
        "_quarantine",
        "_rng",
        "_roles",
        "_sample",
        "_seeds",
        "_state",
        "_tasks",
        "is_serving",
        "store",
    )

    def __init__(
        self,
        state,
        store,
        membership,
        peers,
        platform,
        quarantine,
        seeds,
        clock,
        log,
        metrics,
        rng,
    ):
        self._state = state
        # Whether the documents of this daemon are evidence for others. Daemons
        # that resume at the same time must not confirm each other's documents.
        self.is_serving = lambda: state.ready
        self.store = store
        self._membership = membership
        self._peers = peers
        self._platform = platform
        self._quarantine = quarantine
        self._seeds = {
            f"{SEED_PREFIX}{host}:{port}": (host, port)
            for host, port in seeds
            if (host, port) != tuple(state.peer_address)
        }
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._sample = PeerSample(state.instance, membership, rng)
        self._fetching = {name: curio.Lock() for name in store.names()}
        self._last_heard = clock.monotonic()
        self._tasks = []
        # Name -> (view, leaving, whether this daemon is a watcher in that view).
        self._roles = {}
        # Name -> None before the first watch, then whether the last one worked.
        self._platform_state = dict.fromkeys(store.names())
        peers.register(Digest, self._handle_digest)
        peers.register(DocumentRequest, self._handle_request)

    def current(self, name):
        """Return the document in force, or None."""
        return self.store.current(name)

    async def offer(self, document, source="local"):
        """Put a document into force when it is newer and valid, and push it."""
        if await self.store.offer(document, source):
            await self._push()
            return True
        return False

    def resolve(self, instance):
        """Return the peer address of a daemon or of a seed, or None.

        Seeds have an address only while they are needed, so that nothing goes on
        dialling one that is gone.
        """
        if instance in self._seeds:
            needed = not self._state.ready or self.is_lonely()
            return self._seeds[instance] if needed else None
        return self._membership.peer_address(instance)

    def seeds(self):
        """Return the names under which seeds can be called."""
        return list(self._seeds)

    def sample(self, count):
        """Return up to ``count`` random live peers."""
        return self._sample.pick(count)

    # Life

    async def start_exchange(self):
        """Start the exchange of digests."""
        self._tasks.append(await curio.spawn(self._exchange_loop, daemon=True))

    async def start_watches(self):
        """Start following the platform where this daemon has to."""
        for name in self.store.names():
            self._tasks.append(await curio.spawn(self._follow, name, daemon=True))

    async def stop(self):
        """End all tasks."""
        for task in self._tasks:
            await task.cancel()
        self._tasks = []

    # Platform

    def is_watcher(self, name):
        """Return whether this daemon is to watch a document for its domain."""
        view = self._membership.view()
        leaving = self._state.leaving
        known = self._roles.get(name)
        if known is None or known[0] is not view or known[1] != leaving:
            known = (view, leaving, self._has_watch(name, view))
            self._roles[name] = known
        return known[2]

    def _has_watch(self, name, view):
        state = self._state
        candidates = [
            member
            for member in view.live_entries()
            if member.domain == state.domain and member.instance != state.instance
        ]
        if not state.leaving:
            candidates.append(Member(state.instance, ENTRY, None, state.domain))
        ranked = rank(f"watch/{name}", candidates)[:WATCHERS_PER_DOMAIN]
        return state.instance in [member.instance for member in ranked]

    def platform_state(self):
        """Return {name: whether the last watch worked, None for no watch}."""
        return dict(self._platform_state)

    def is_lonely(self):
        """Return whether no peer was heard for 3 s."""
        return self._clock.monotonic() - self._last_heard > LONELY_AFTER_S

    async def _follow(self, name):
        """Watch one document while this daemon is a watcher or hears no peer.

        A lonely daemon waits in a watch as well, because a watch that waits
        counts as one call and a read each second as twenty.
        """
        interval_s = MIN_CALL_INTERVAL_S
        while True:
            watcher = self.is_watcher(name)
            if not watcher and not self.is_lonely():
                self._platform_state[name] = None
                await curio.sleep(ROLE_CHECK_S)
                continue
            if not watcher:
                await curio.sleep(self._rng.uniform(0, MIN_CALL_INTERVAL_S))
            started = self._clock.monotonic()
            try:
                await self._watch(name)
                self._note_platform(name, True)
                interval_s = MIN_CALL_INTERVAL_S
            except PlatformError as exc:
                self._note_platform(name, False, exc.message)
                interval_s = min(MAX_CALL_INTERVAL_S, 2 * interval_s)
            elapsed_s = self._clock.monotonic() - started
            # Revisions that are published faster than this are skipped.
            pause_s = interval_s * self._rng.uniform(0.75, 1.0) - elapsed_s
            await curio.sleep(max(0.0, pause_s))

    def _note_platform(self, name, works, reason=""):
        """Log when the platform stops or starts to answer for a document."""
        if works is False and self._platform_state[name] is not False:
            self._log.warning("platform_unavailable", document=name, reason=reason)
        elif works and self._platform_state[name] is False:
            self._log.info("platform_available", document=name)
        self._platform_state[name] = works

    async def _watch(self, name):
        self._metrics.platform_reads.inc({})
        after = self.store.highest_seen(name)
        document = await self._platform.watch(name, after, WATCH_WAIT_S)
        if document is not None:
            await self._offer_from_platform(document)

    async def read_platform(self):
        """Read all documents once; raises ``PlatformError``."""
        for name in self.store.names():
            self._metrics.platform_reads.inc({})
            await self._offer_from_platform(await self._platform.read(name))

    async def _offer_from_platform(self, document):
        in_force = self.store.revision(document.name)
        if document.revision < in_force:
            self._log.warning(
                "platform_stale",
                document=document.name,
                revision=document.revision,
                in_force=in_force,
            )
        await self.offer(document, "platform")

    # Digests

    def digest(self):
        """Return the ``Digest`` of this daemon."""
        state = self._state
        listed = self._membership.is_listed(state.instance)
        return Digest(
            instance=state.instance,
            incarnation=state.incarnation,
            documents=self.store.known(),
            ready=self.is_serving(),
            leaving=state.leaving,
            quarantined=[
                [mark, left_s * 1000.0]
                for mark, left_s in self._quarantine.quarantined()[:MAX_QUARANTINED]
            ],
            address=None if listed else list(state.peer_address),
        )

    async def exchange(self, instance):
        """Exchange digests with one peer and return its answer.

        Newer documents of the peer are in force when this returns. Raises
        ``PeerError``.
        """
        try:
            reply = await self._peers.request(
                instance, self.digest(), EXCHANGE_TIMEOUT_S
            )
        except PeerError:
            await self._membership.peer_suspected(instance)
            raise
        if not isinstance(reply, Digest):
            raise PeerError(f"{instance} refused a digest")
        if await self._take(reply):
            await self._fetch_news(reply, instance)
        return reply

    async def _exchange_loop(self):
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            targets = self._sample.pick(EXCHANGE_PEERS)
            doubtful = self._membership.doubtful()
            if doubtful:
                targets.append(self._rng.choice(doubtful))
            if self.is_lonely():
                targets.extend(self._seeds)
            await self._exchange_all(targets)

    async def announce(self):
        """Send the digest to many peers at once, so that they see this daemon."""
        view = self._membership.view()
        others = [name for name in view.entries if name != self._state.instance]
        count = min(ANNOUNCE_PEERS, len(others))
        await self._exchange_all(self._rng.sample(others, count))

    async def _push(self):
        await self._exchange_all(self._sample.pick(PUSH_PEERS))

    async def _exchange_all(self, targets):
        for instance in dict.fromkeys(targets):
            await curio.spawn(self._try_exchange, instance, daemon=True)

    async def _try_exchange(self, instance):
        try:
            await self.exchange(instance)
        except PeerError as exc:
            self._log.debug("exchange_failed", peer=instance, reason=exc.message)

    async def _handle_digest(self, sender, message, reply):
        await reply(self.digest())
        if await self._take(message):
            # Documents are fetched by a task of their own, because the handler
            # holds up the other messages of the peer.
            await curio.spawn(self._fetch_news, message, message.instance, daemon=True)

    async def _take(self, digest):
        """Note what a digest says about its sender; False when it is outdated."""
        if digest.instance == self._state.instance:
            return False
        address = None
        if digest.address is not None:
            address = _parse_address(digest.address)
        known = await self._membership.peer_seen(
            digest.instance, digest.incarnation, address, digest.ready
        )
        if not known:
            return False
        self._last_heard = self._clock.monotonic()
        if digest.leaving:
            await self._membership.peer_leaving(digest.instance, digest.incarnation)
        for item in digest.quarantined:
            self._learn_quarantine(item)
        return True

    def _learn_quarantine(self, item):
        if not isinstance(item, list) or len(item) != 2:
            return
        mark, remaining_ms = item
        if not isinstance(mark, str) or not isinstance(remaining_ms, (int, float)):
            return
        remaining_s = remaining_ms / 1000.0
        if remaining_s > MIN_QUARANTINE_S and self._quarantine.add(mark, remaining_s):
            self._log.info("quarantine_learned", fingerprint=mark)

    # Documents

    async def _fetch_news(self, digest, instance):
        changed = False
        for name, revision, content in digest.stated():
            if self.store.wants(name, revision, content, digest.instance):
                try:
                    changed = await self._fetch(name, revision, instance) or changed
                except (PeerError, DocumentError) as exc:
                    self._log.info(
                        "document_fetch_failed",
                        document=name,
                        revision=revision,
                        peer=instance,
                        reason=exc.message,
                    )
        if changed:
            await self._push()

    async def _fetch(self, name, revision, instance):
        async with self._fetching[name]:
            if self.store.revision(name) >= revision:
                return False
            current = self.store.current(name)
            have = current.revision if current is not None else 0
            digest = current.digest if current is not None else None
            reply = await self._ask_document(name, have, digest, instance)
            try:
                return await self.store.take(reply, instance)
            except DocumentError as exc:
                self._log.warning(
                    "document_change_unusable",
                    document=name,
                    peer=instance,
                    reason=exc.message,
                )
                reply = await self._ask_document(name, 0, None, instance)
                return await self.store.take(reply, instance)

    async def _ask_document(self, name, have, digest, instance):
        request = DocumentRequest(name=name, have=have, digest=digest)
        reply = await self._peers.request(instance, request, FETCH_TIMEOUT_S)
        if not isinstance(reply, DocumentReply) or reply.name != name:
            raise PeerError(f"{instance} has no document {name}")
        return reply

    async def _handle_request(self, sender, message, reply):
        await reply(self.store.reply(message))


def _parse_address(value):
    if len(value) == 2 and isinstance(value[0], str) and type(value[1]) is int:
        return value[0], value[1]
    return None
