"""Checks the documents after a pause of the process, before accepting new work."""

import curio

from .clock import PauseDetector
from .errors import PeerError, PlatformError, RefusedError, ResultCode

__all__ = ["PauseGuard"]

# A daemon that reaches neither peers nor the platform accepts work again after this
# time, with the documents that it has. A daemon that loses its connections without a
# pause keeps accepting work too.
CHECK_TIMEOUT_S = 1.0
# The part of it for asking peers; the rest is for the platform.
PEER_CHECK_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 250
CHECK_PEER_COUNT = 3


class PauseGuard:
    """Refuses new work after a pause until the documents have been checked.

    ``refresh()`` is an async function that applies the current view to the roles of
    this daemon. Call ``tick`` periodically. ``raise_if_checking`` also refuses work
    that arrives between the end of the pause and the next tick.
    """

    __slots__ = (
        "_checking_until",
        "_clock",
        "_detector",
        "_dissemination",
        "_last_tick",
        "_log",
        "_membership",
        "_refresh",
        "interval_s",
    )

    def __init__(self, interval_s, dissemination, membership, refresh, clock, log):
        self.interval_s = interval_s
        self._clock = clock
        self._log = log
        self._detector = PauseDetector(clock, interval_s)
        self._dissemination = dissemination
        self._membership = membership
        self._refresh = refresh
        self._last_tick = clock.monotonic()
        self._checking_until = 0.0

    def is_checking(self):
        """Return whether the documents may be outdated because of a pause."""
        now = self._clock.monotonic()
        late_s = now - self._last_tick - self.interval_s
        return now < self._checking_until or late_s > self._detector.threshold_s

    def raise_if_checking(self):
        """Raise ``RefusedError`` while the documents have not been checked."""
        if self.is_checking():
            raise RefusedError(
                "the process was paused and checks its documents",
                ResultCode.NOT_READY,
                retry_after_ms=RETRY_AFTER_MS,
            )

    def tick(self):
        """Return the length in seconds of a pause that has just ended, or 0.0.

        After a pause, ``revalidate`` must be called.
        """
        pause_s = self._detector.tick()
        self._last_tick = self._clock.monotonic()
        if pause_s > 0:
            self._checking_until = self._last_tick + CHECK_TIMEOUT_S
        return pause_s

    async def revalidate(self):
        """Check the documents with peers or the platform, then update the roles."""
        # Peers seemed silent only because this process did not run.
        await self._membership.forget_suspicions()
        source = None
        async with curio.ignore_after(CHECK_TIMEOUT_S):
            source = await self._check_documents()
        await self._refresh()
        self._checking_until = 0.0
        if source is None:
            self._log.warning("documents_not_checked", limit_s=CHECK_TIMEOUT_S)
        else:
            self._log.info("documents_checked", source=source)

    async def _check_documents(self):
        """Return the first source that confirmed the documents, or None."""
        answers = curio.Queue()
        peers = self._dissemination.sample_peers(CHECK_PEER_COUNT)
        for instance in peers:
            await curio.spawn(self._ask_peer, instance, answers, daemon=True)
        async with curio.ignore_after(PEER_CHECK_TIMEOUT_S):
            for _ in peers:
                instance = await answers.get()
                if instance is not None:
                    return instance
        try:
            await self._dissemination.read_platform()
        except PlatformError:
            return None
        return "platform"

    async def _ask_peer(self, instance, answers):
        try:
            answer = await self._dissemination.exchange(instance)
        except PeerError:
            await answers.put(None)
        else:
            await answers.put(instance if answer.ready else None)
