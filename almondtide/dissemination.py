"""Platform documents in force: revision guard and distribution."""

import curio

from .errors import PlatformError

__all__ = ["Dissemination"]

WATCH_WAIT_S = 10.0
RETRY_S = 0.5


class Dissemination:
    """Keeps the highest valid revision of each document.

    ``accept(document)`` is an async function that puts a document into force;
    it raises ``AlmondtideError`` or ``ValueError`` for an invalid one, which is
    reported and leaves the last good revision in force.
    """

    __slots__ = ("_accept", "_documents", "_log", "_names", "_platform", "_tasks")

    def __init__(self, platform, names, accept, log):
        self._platform = platform
        self._names = names
        self._accept = accept
        self._log = log
        self._documents = {}
        self._tasks = []

    def current(self, name):
        """Return the document in force, or None."""
        return self._documents.get(name)

    async def start(self):
        """Start following all documents."""
        for name in self._names:
            self._tasks.append(await curio.spawn(self._follow, name, daemon=True))

    async def _follow(self, name):
        while True:
            current = self._documents.get(name)
            after = current.revision if current is not None else 0
            try:
                document = await self._platform.watch(name, after, WATCH_WAIT_S)
            except PlatformError as exc:
                self._log.debug("platform_unavailable", reason=exc.message)
                await curio.sleep(RETRY_S)
                continue
            if document is not None:
                await self.offer(document)

    async def offer(self, document):
        """Put ``document`` into force when it is newer and valid."""
        current = self._documents.get(document.name)
        if current is not None and document.revision <= current.revision:
            return False
        self._documents[document.name] = document
        await self._accept(document)
        self._log.info(
            "document_in_force", document=document.name, revision=document.revision
        )
        return True

    async def stop(self):
        """End all tasks."""
        for task in self._tasks:
            await task.cancel()
