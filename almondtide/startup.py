"""Startup guard: a daemon is current before it serves callers."""

import curio

from .errors import PeerError, PlatformError

__all__ = ["StartupGuard"]

# How long a daemon that has the platform's copy waits for a peer that serves. It
# exceeds the connect timeout of 2 s of an unreachable peer plus a second round, and
# keeps a fleet whose list names only dead instances from staying down.
PEER_WAIT_S = 5.0
ROUND_TIMEOUT_S = 1.2
ROUND_INTERVAL_S = 0.25
READ_INTERVAL_S = 1.0
MAX_ASKED = 8


class StartupGuard:
    """Brings the documents of a new daemon up to date.

    A replica of the platform may be stale, so its copy alone must not take the
    configuration back. The daemon asks its seeds and a sample of the listed
    daemons for their revisions:

    * When a peer that serves has answered, the highest revision of all answers is
      taken, and the daemon is ready.
    * When no listed daemon and no seed is known, it is the first daemon, and the
      platform's copy is enough.
    * When all peers that were asked answer that they are starting as well, the
      platform's copy is enough, too.
    * When peers are known but do not answer, the daemon waits ``PEER_WAIT_S``
      after it has the platform's copy and then goes on with it. A later digest
      exchange brings a higher revision.
    """

    __slots__ = (
        "_clock",
        "_dissemination",
        "_instance",
        "_list_name",
        "_log",
        "_membership",
        "_next_read",
        "_rng",
        "_store",
    )

    def __init__(self, instance, list_name, dissemination, membership, clock, log, rng):
        self._instance = instance
        # Name of the document that lists the instances.
        self._list_name = list_name
        self._dissemination = dissemination
        self._store = dissemination.store
        self._membership = membership
        self._clock = clock
        self._log = log
        self._rng = rng
        self._next_read = clock.monotonic()

    async def wait(self):
        """Return the reason for which the daemon may serve, once it may."""
        complete_since = None
        while True:
            listed = self._store.current(self._list_name) is not None
            targets = self._targets()
            answers = await self._ask(targets)
            serving = [answer for answer in answers if answer.ready]
            if serving and self._has_all(answers):
                return "peers"
            read = not serving and await self._read_platform()
            if read and complete_since is None and self._store.is_complete():
                complete_since = self._clock.monotonic()
            if complete_since is not None:
                all_start = listed and targets and len(answers) == len(targets)
                reason = self._platform_suffices(all_start, complete_since)
                if reason is not None:
                    return reason
            await curio.sleep(ROUND_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def _targets(self):
        live = [
            member.instance
            for member in self._membership.view().entries.values()
            if member.instance != self._instance
        ]
        count = min(MAX_ASKED, len(live))
        return [*self._dissemination.seed_names(), *self._rng.sample(live, count)]

    async def _ask(self, targets):
        answers = []

        async def ask(instance):
            try:
                answers.append(await self._dissemination.exchange(instance))
            except PeerError as exc:
                self._log.debug("startup_no_answer", peer=instance, reason=exc.message)

        async with curio.ignore_after(ROUND_TIMEOUT_S), curio.TaskGroup() as group:
            for instance in targets:
                await group.spawn(ask, instance)
        return list(answers)

    def _has_all(self, answers):
        """Return whether every revision that a peer stated was taken or rejected."""
        for answer in answers:
            for name, revision, digest in answer.document_revisions():
                if self._store.wants(name, revision, digest, answer.instance):
                    return False
        return self._store.is_complete()

    async def _read_platform(self):
        """Read the platform at most once a second; returns whether it was read."""
        now = self._clock.monotonic()
        if now < self._next_read:
            return False
        self._next_read = now + READ_INTERVAL_S * self._rng.uniform(1.0, 1.5)
        try:
            await self._dissemination.read_platform()
        except PlatformError as exc:
            self._log.info("startup_platform_unavailable", reason=exc.message)
            return False
        return True

    def _platform_suffices(self, all_start, complete_since):
        if not self._targets():
            return "first daemon"
        if all_start:
            return "fleet starts"
        if self._clock.monotonic() - complete_since < PEER_WAIT_S:
            return None
        self._log.warning("started_without_peers", waited_s=PEER_WAIT_S)
        return "no peer answers"
