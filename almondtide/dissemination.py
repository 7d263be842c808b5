"""Distribution of documents by gossip between daemons and watches of the platform."""

from functools import partial

import curio

from .errors import DocumentError, PeerError, PlatformError
from .membership import ENTRY, Member
from .messages import Digest, DocumentReply, DocumentRequest
from .rendezvous import rank
from .sampling import PeerSample
from .supervision import Supervised

__all__ = ["Dissemination", "LocalState"]

EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PEERS = 3
# Gossip with a fanout of 4 reaches 98 % of a fleet; the periodic exchange reaches the
# rest.
PUSH_PEERS = 4
# How many peers a daemon contacts when it becomes ready.
ANNOUNCE_PEERS = 64
EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
WATCHERS_PER_DOMAIN = 2
# How long a watch waits at the platform for a newer document. If the platform vanishes
# without closing the connection, the daemon also notices that only after this time.
WATCH_WAIT_S = 20.0
WATCHER_CHECK_INTERVAL_S = 0.5
MIN_WATCH_INTERVAL_S = 1.0
MAX_WATCH_INTERVAL_S = 4.0
ISOLATED_AFTER_S = 3.0
MAX_QUARANTINED = 64
# A quarantine with less time left is not taken over from a peer.
MIN_QUARANTINE_S = 1.0
SEED_PREFIX = "seed/"


class LocalState:
    """What this daemon tells its peers about itself.

    ``incarnation`` identifies one run of the daemon, from its start to its end.
    ``is_ready`` becomes True when the startup is complete, ``is_leaving`` when the
    shutdown begins.
    """

    __slots__ = (
        "domain",
        "incarnation",
        "instance",
        "is_leaving",
        "is_ready",
        "peer_address",
    )

    def __init__(self, instance, incarnation, domain, peer_address):
        self.instance = instance
        self.incarnation = incarnation
        self.domain = domain
        self.peer_address = peer_address
        self.is_ready = False
        self.is_leaving = False


class Dissemination:
    """Brings the documents of all daemons to the highest revision.

    Each daemon exchanges digests of its documents with random peers and fetches the
    newer documents. Some daemons of each domain also watch the platform.

    ``state`` is the ``LocalState`` of this daemon. ``seeds`` is a list of peer
    addresses that are contacted at startup and while no peer is heard.
    """

    __slots__ = (
        "_clock",
        "_fetch_locks",
        "_last_heard_s",
        "_log",
        "_membership",
        "_metrics",
        "_peers",
        "_platform",
        "_quarantine",
        "_rng",
        "_sample",
        "_seeds",
        "_state",
        "_tasks",
        "_watch_results",
        "_watcher_cache",
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
        # Returns the field ``ready`` of this daemon's digests: whether other daemons
        # may rely on its documents. Daemons that resume from a pause at the same time
        # must not confirm each other's outdated documents.
        self.is_serving = lambda: state.is_ready
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
        self._fetch_locks = {name: curio.Lock() for name in store.names()}
        self._last_heard_s = clock.monotonic()
        self._tasks = []
        # Document name -> (view, is_leaving, is_watcher), the last result of
        # ``is_watcher`` and what it was computed from.
        self._watcher_cache = {}
        # Document name -> whether the last watch succeeded, None without a watch.
        self._watch_results = dict.fromkeys(store.names())
        peers.register(Digest, self._handle_digest)
        peers.register(DocumentRequest, self._handle_document_request)

    def current(self, name):
        """Return the document in force, or None."""
        return self.store.current(name)

    async def offer(self, document, source="local"):
        """Put a newer valid document into force and push a digest to peers.

        Returns whether the document was put into force.
        """
        if await self.store.offer(document, source):
            await self._push_digest()
            return True
        return False

    def resolve(self, instance):
        """Return the peer address of a daemon or of a seed, or None.

        A seed has an address only until this daemon is ready and while it is isolated.
        A seed that has stopped is thus not dialled for ever.
        """
        if instance in self._seeds:
            is_needed = not self._state.is_ready or self.is_isolated()
            return self._seeds[instance] if is_needed else None
        return self._membership.peer_address(instance)

    def seed_names(self):
        """Return the names under which ``resolve`` knows the seeds."""
        return list(self._seeds)

    def sample_peers(self, count):
        """Return up to ``count`` random live peers."""
        return self._sample.pick(count)

    # Start and stop

    async def start_exchange(self):
        """Start the periodic exchange of digests."""
        await self._start_task("exchange", self._exchange_loop)

    async def start_watches(self):
        """Start a task for each document that watches the platform when needed."""
        for name in self.store.names():
            await self._start_task(f"watch {name}", partial(self._watch_loop, name))

    async def _start_task(self, name, function):
        task = Supervised(name, function, self._clock.monotonic, self._log)
        self._tasks.append(await curio.spawn(task.run, daemon=True))

    async def stop(self):
        """Cancel all tasks."""
        for task in self._tasks:
            await task.cancel()
        self._tasks = []

    # Platform

    def is_watcher(self, name):
        """Return whether this daemon watches a document on behalf of its domain."""
        view = self._membership.view()
        is_leaving = self._state.is_leaving
        cached = self._watcher_cache.get(name)
        if cached is None or cached[0] is not view or cached[1] != is_leaving:
            cached = (view, is_leaving, self._is_ranked_watcher(name, view))
            self._watcher_cache[name] = cached
        return cached[2]

    def _is_ranked_watcher(self, name, view):
        state = self._state
        candidates = [
            member
            for member in view.live_entries()
            if member.domain == state.domain and member.instance != state.instance
        ]
        if not state.is_leaving:
            candidates.append(Member(state.instance, ENTRY, None, state.domain))
        ranked = rank(f"watch/{name}", candidates)[:WATCHERS_PER_DOMAIN]
        return state.instance in [member.instance for member in ranked]

    def watch_results(self):
        """Return {document name: whether the last watch succeeded or None}."""
        return dict(self._watch_results)

    def is_isolated(self):
        """Return whether no peer was heard for ``ISOLATED_AFTER_S``."""
        return self._clock.monotonic() - self._last_heard_s > ISOLATED_AFTER_S

    async def _watch_loop(self, name):
        """Watch one document while this daemon is a watcher or isolated.

        An isolated daemon also uses a watch. The watch waits for 20 s at the platform
        and is one call; a read each second would be 20 calls in that time.
        """
        interval_s = MIN_WATCH_INTERVAL_S
        while True:
            is_watcher = self.is_watcher(name)
            if not is_watcher and not self.is_isolated():
                self._watch_results[name] = None
                await curio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            if not is_watcher:
                await curio.sleep(self._rng.uniform(0, MIN_WATCH_INTERVAL_S))
            started_s = self._clock.monotonic()
            try:
                await self._watch_once(name)
                self._record_watch_result(name, True)
                interval_s = MIN_WATCH_INTERVAL_S
            except PlatformError as exc:
                self._record_watch_result(name, False, exc.message)
                interval_s = min(MAX_WATCH_INTERVAL_S, 2 * interval_s)
            elapsed_s = self._clock.monotonic() - started_s
            # Revisions that are replaced during this pause are not read.
            pause_s = interval_s * self._rng.uniform(0.75, 1.0) - elapsed_s
            await curio.sleep(max(0.0, pause_s))

    def _record_watch_result(self, name, succeeded, reason=""):
        """Store the result of a watch; log when the platform fails or recovers."""
        if succeeded is False and self._watch_results[name] is not False:
            self._log.warning("platform_unavailable", document=name, reason=reason)
        elif succeeded and self._watch_results[name] is False:
            self._log.info("platform_available", document=name)
        self._watch_results[name] = succeeded

    async def _watch_once(self, name):
        self._metrics.platform_reads.inc({})
        after = self.store.highest_seen_revision(name)
        document = await self._platform.watch(name, after, WATCH_WAIT_S)
        if document is not None:
            await self._offer_from_platform(document)

    async def read_platform(self):
        """Read all documents of the platform once; raises ``PlatformError``."""
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
        is_listed = self._membership.is_listed(state.instance)
        return Digest(
            instance=state.instance,
            incarnation=state.incarnation,
            documents=self.store.digest_entries(),
            ready=self.is_serving(),
            leaving=state.is_leaving,
            quarantined=[
                [fingerprint, remaining_s * 1000.0]
                for fingerprint, remaining_s in self._quarantine.quarantined()[
                    :MAX_QUARANTINED
                ]
            ],
            address=None if is_listed else list(state.peer_address),
        )

    async def exchange(self, instance):
        """Exchange digests with one peer and return the peer's ``Digest``.

        Also fetches newer documents of the peer before it returns. Raises
        ``PeerError`` when the peer doesn't answer or refuses.
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
        if await self._apply_digest(reply):
            await self._fetch_newer_documents(reply, instance)
        return reply

    async def _exchange_loop(self):
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            targets = self._sample.pick(EXCHANGE_PEERS)
            unconfirmed = self._membership.unconfirmed_instances()
            if unconfirmed:
                targets.append(self._rng.choice(unconfirmed))
            if self.is_isolated():
                targets.extend(self._seeds)
            await self._exchange_all(targets)

    async def announce(self):
        """Exchange digests with up to ``ANNOUNCE_PEERS`` peers at once.

        A daemon that becomes ready is thus known to the fleet soon.
        """
        view = self._membership.view()
        others = [name for name in view.entries if name != self._state.instance]
        count = min(ANNOUNCE_PEERS, len(others))
        await self._exchange_all(self._rng.sample(others, count))

    async def _push_digest(self):
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
        if await self._apply_digest(message):
            # Further messages of the peer wait until this handler returns, so the
            # documents are fetched by another task.
            await curio.spawn(
                self._fetch_newer_documents, message, message.instance, daemon=True
            )

    async def _apply_digest(self, digest):
        """Record what a digest states about its sender.

        Returns False when the digest is of this daemon or an ended incarnation.
        """
        if digest.instance == self._state.instance:
            return False
        address = None
        if digest.address is not None:
            address = _parse_address(digest.address)
        is_current = await self._membership.peer_seen(
            digest.instance, digest.incarnation, address, digest.ready
        )
        if not is_current:
            return False
        self._last_heard_s = self._clock.monotonic()
        if digest.leaving:
            await self._membership.peer_leaving(digest.instance, digest.incarnation)
        for item in digest.quarantined:
            self._learn_quarantine(item)
        return True

    def _learn_quarantine(self, item):
        if not isinstance(item, list) or len(item) != 2:
            return
        fingerprint, remaining_ms = item
        if not isinstance(fingerprint, str) or not isinstance(
            remaining_ms, (int, float)
        ):
            return
        remaining_s = remaining_ms / 1000.0
        if remaining_s > MIN_QUARANTINE_S and self._quarantine.add(
            fingerprint, remaining_s
        ):
            self._log.info("quarantine_learned", fingerprint=fingerprint)

    # Documents

    async def _fetch_newer_documents(self, digest, instance):
        has_changed = False
        for name, revision, content_digest in digest.document_revisions():
            if self.store.wants(name, revision, content_digest, digest.instance):
                try:
                    has_changed = (
                        await self._fetch(name, revision, instance) or has_changed
                    )
                except (PeerError, DocumentError) as exc:
                    self._log.info(
                        "document_fetch_failed",
                        document=name,
                        revision=revision,
                        peer=instance,
                        reason=exc.message,
                    )
        if has_changed:
            await self._push_digest()

    async def _fetch(self, name, revision, instance):
        async with self._fetch_locks[name]:
            if self.store.revision(name) >= revision:
                return False
            current = self.store.current(name)
            have = current.revision if current is not None else 0
            digest = current.digest if current is not None else None
            reply = await self._request_document(name, have, digest, instance)
            try:
                return await self.store.apply_reply(reply, instance)
            except DocumentError as exc:
                self._log.warning(
                    "document_change_unusable",
                    document=name,
                    peer=instance,
                    reason=exc.message,
                )
                reply = await self._request_document(name, 0, None, instance)
                return await self.store.apply_reply(reply, instance)

    async def _request_document(self, name, have, digest, instance):
        request = DocumentRequest(name=name, have=have, digest=digest)
        reply = await self._peers.request(instance, request, FETCH_TIMEOUT_S)
        if not isinstance(reply, DocumentReply) or reply.name != name:
            raise PeerError(f"{instance} has no document {name}")
        return reply

    async def _handle_document_request(self, sender, message, reply):
        await reply(self.store.make_reply(message))


def _parse_address(value):
    """Return the ``(host, port)`` of a received list, or None if it is malformed."""
    if len(value) == 2 and isinstance(value[0], str) and type(value[1]) is int:
        return value[0], value[1]
    return None
