"""Startup: brings documents up to date before the daemon serves callers."""

import curio

from .errors import PeerError, PlatformError

__all__ = ["StartupGuard"]

# How long a daemon that has the platform's copy waits for a serving peer. It is longer
# than the timeout of an exchange with an unreachable peer plus a second exchange.
# Without the limit, a fleet whose list contains only dead instances could not start.
PEER_WAIT_S = 5.0
EXCHANGE_TIMEOUT_S = 1.2
EXCHANGE_INTERVAL_S = 0.25
PLATFORM_READ_INTERVAL_S = 1.0
MAX_SAMPLED_PEERS = 8


class StartupGuard:
    """Brings the documents of a starting daemon up to date.

    A replica of the platform may be stale, so its copy alone must not replace a newer
    configuration. The daemon asks its seeds and a sample of the listed daemons for
    their revisions:

    * If a serving peer has answered, the daemon takes the highest revision of all
      answers and is ready.
    * If it knows no listed daemon and no seed, it is the first daemon and uses the
      platform's copy.
    * If all peers that it asked answer that they are starting, too, it uses the
      platform's copy.
    * If peers are known but none that serves answers, the daemon waits
      ``PEER_WAIT_S`` after it has the platform's copy and then uses it. A later
      digest exchange brings a higher revision.
    """

    __slots__ = (
        "_clock",
        "_dissemination",
        "_instance",
        "_instances_document",
        "_log",
        "_membership",
        "_next_platform_read",
        "_rng",
        "_store",
    )

    def __init__(
        self, instance, instances_document, dissemination, membership, clock, log, rng
    ):
        self._instance = instance
        # Name of the document that lists the instances.
        self._instances_document = instances_document
        self._dissemination = dissemination
        self._store = dissemination.store
        self._membership = membership
        self._clock = clock
        self._log = log
        self._rng = rng
        self._next_platform_read = clock.monotonic()

    async def wait(self):
        """Wait until the daemon may serve; return the reason as text for the log."""
        complete_since = None
        while True:
            has_instance_list = (
                self._store.current(self._instances_document) is not None
            )
            peers = self._choose_peers()
            answers = await self._exchange_digests(peers)
            serving = [answer for answer in answers if answer.ready]
            if serving and self._has_all_revisions(answers):
                return "peers"
            has_read = not serving and await self._read_platform()
            if has_read and complete_since is None and self._store.is_complete():
                complete_since = self._clock.monotonic()
            if complete_since is not None:
                are_all_starting = (
                    has_instance_list and peers and len(answers) == len(peers)
                )
                reason = self._reason_to_serve(are_all_starting, complete_since)
                if reason is not None:
                    return reason
            await curio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def _choose_peers(self):
        others = [
            member.instance
            for member in self._membership.view().entries.values()
            if member.instance != self._instance
        ]
        count = min(MAX_SAMPLED_PEERS, len(others))
        return [*self._dissemination.seed_names(), *self._rng.sample(others, count)]

    async def _exchange_digests(self, peers):
        answers = []

        async def exchange(instance):
            try:
                answers.append(await self._dissemination.exchange(instance))
            except PeerError as exc:
                self._log.debug("startup_no_answer", peer=instance, reason=exc.message)

        async with curio.ignore_after(EXCHANGE_TIMEOUT_S), curio.TaskGroup() as group:
            for instance in peers:
                await group.spawn(exchange, instance)
        return list(answers)

    def _has_all_revisions(self, answers):
        """Return whether each revision in the answers was taken or rejected."""
        for answer in answers:
            for name, revision, digest in answer.document_revisions():
                if self._store.wants(name, revision, digest, answer.instance):
                    return False
        return self._store.is_complete()

    async def _read_platform(self):
        """Read the platform at most once a second; return whether it was read."""
        now = self._clock.monotonic()
        if now < self._next_platform_read:
            return False
        self._next_platform_read = now + PLATFORM_READ_INTERVAL_S * self._rng.uniform(
            1.0, 1.5
        )
        try:
            await self._dissemination.read_platform()
        except PlatformError as exc:
            self._log.info("startup_platform_unavailable", reason=exc.message)
            return False
        return True

    def _reason_to_serve(self, are_all_starting, complete_since):
        if not self._choose_peers():
            return "first daemon"
        if are_all_starting:
            return "fleet starts"
        if self._clock.monotonic() - complete_since < PEER_WAIT_S:
            return None
        self._log.warning("started_without_peers", waited_s=PEER_WAIT_S)
        return "no peer answers"
