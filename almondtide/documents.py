"""Platform documents in force: validation, revision guard and change chains."""

import curio

from .changes import ChangeChain, apply_changes, make_change
from .errors import ConfigurationError, DocumentError
from .messages import DocumentReply
from .ports import Document

__all__ = ["DocumentKind", "DocumentStore", "Rejection"]

# Rejected revisions that are remembered for each document. Several operators or
# replicas of the platform can publish invalid ones in turn.
MAX_REJECTIONS = 8
MAX_PROBLEMS = 20
MAX_CONFLICTS = 8
# Larger documents are validated and compared in a thread: 900 KB take 85 to 90 ms,
# during which queries would wait.
THREAD_FROM_BYTES = 50_000


class DocumentKind:
    """A document that the store keeps.

    ``validate(body, revision)`` returns the parsed form or raises; ``apply(document,
    parsed)`` is an async function that puts it into force.
    """

    __slots__ = ("apply", "name", "validate")

    def __init__(self, name, validate, apply):
        self.name = name
        self.validate = validate
        self.apply = apply


class Rejection:
    """A revision that was not put into force, and why."""

    __slots__ = ("digest", "problems", "revision", "source")

    def __init__(self, revision, digest, problems, source):
        self.revision = revision
        self.digest = digest
        self.problems = problems
        self.source = source

    def to_dict(self):
        """Return the JSON form for the admin API."""
        return {name: getattr(self, name) for name in self.__slots__}


class _Entry:
    __slots__ = ("chain", "conflicts", "current", "kind", "lock", "rejections")

    def __init__(self, kind):
        self.kind = kind
        self.current = None
        self.chain = ChangeChain()
        self.rejections = {}
        self.conflicts = {}
        self.lock = curio.Lock()


class DocumentStore:
    """Keeps the highest valid revision of each document.

    A revision only increases. An invalid revision is logged and reported, and
    the last valid one stays in force. When two contents are seen for one revision
    number, the one in force stays, and the conflict is logged and reported; the
    next revision ends it.
    """

    __slots__ = ("_entries", "_log")

    def __init__(self, kinds, log):
        self._entries = {kind.name: _Entry(kind) for kind in kinds}
        self._log = log

    def names(self):
        """Return the names of the documents that the store keeps."""
        return list(self._entries)

    def current(self, name):
        """Return the document in force, or None."""
        return self._entries[name].current

    def revision(self, name):
        """Return the revision in force, or 0."""
        current = self._entries[name].current
        return current.revision if current is not None else 0

    def is_complete(self):
        """Return whether every document has a revision in force."""
        return all(entry.current is not None for entry in self._entries.values())

    def known(self):
        """Return {name: [revision, digest]} for a ``Digest`` message."""
        return {
            name: [entry.current.revision, entry.current.digest]
            for name, entry in self._entries.items()
            if entry.current is not None
        }

    def highest_seen(self, name):
        """Return the highest revision seen, in force or rejected.

        A watch that continues after it does not return a rejected revision again.
        """
        entry = self._entries[name]
        rejected = max((number for number, _ in entry.rejections), default=0)
        return max(self.revision(name), rejected)

    def wants(self, name, revision, digest, source):
        """Return whether a peer's revision is news; notes a conflict."""
        entry = self._entries.get(name)
        if entry is None or (revision, digest) in entry.rejections:
            return False
        if revision == self.revision(name) and entry.current is not None:
            self._check_conflict(entry, revision, digest, source)
        return revision > self.revision(name)

    async def offer(self, document, source, changes=None):
        """Put ``document`` into force when it is newer and valid.

        ``changes`` lead from the document in force to it; they are computed when
        they are not given. Returns whether the document is in force now.
        """
        entry = self._entries[document.name]
        async with entry.lock:
            if not self.wants(
                document.name, document.revision, document.digest, source
            ):
                return False
            try:
                parsed, changes = await self._prepare(entry, document, changes)
            except Exception as exc:
                # A validator that fails on unforeseen content is a rejection too.
                self._reject(entry, document, exc, source)
                return False
            if changes:
                entry.chain.extend(changes)
            else:
                entry.chain.clear()
            entry.current = document
            entry.conflicts.clear()
            self._log.info(
                "document_in_force",
                document=document.name,
                revision=document.revision,
                source=source,
            )
            await self._apply(entry, document, parsed)
        return True

    async def _prepare(self, entry, document, changes):
        """Return (parsed form, changes) of a document that is not in force yet."""
        args = (entry.kind.validate, entry.current, document, changes)
        if document.size < THREAD_FROM_BYTES:
            return _prepare(*args)
        return await curio.run_in_thread(_prepare, *args)

    async def _apply(self, entry, document, parsed):
        try:
            await entry.kind.apply(document, parsed)
        except Exception as exc:
            # The document is valid and in force; a part that cannot follow it
            # must not end the task that distributes documents.
            self._log.error(
                "document_apply_failed", document=document.name, error=repr(exc)
            )

    def _reject(self, entry, document, exc, source):
        problems = exc.problems if isinstance(exc, ConfigurationError) else [str(exc)]
        rejection = Rejection(
            document.revision, document.digest, problems[:MAX_PROBLEMS], source
        )
        entry.rejections[(document.revision, document.digest)] = rejection
        while len(entry.rejections) > MAX_REJECTIONS:
            del entry.rejections[min(entry.rejections)]
        self._log.warning(
            "document_rejected",
            document=document.name,
            revision=document.revision,
            in_force=self.revision(document.name),
            source=source,
            problems=len(problems),
            first_problem=problems[0] if problems else "",
        )

    def _check_conflict(self, entry, revision, digest, source):
        if digest == entry.current.digest or (revision, digest) in entry.conflicts:
            return
        if len(entry.conflicts) >= MAX_CONFLICTS:
            return
        entry.conflicts[(revision, digest)] = source
        self._log.warning(
            "document_conflict",
            document=entry.kind.name,
            revision=revision,
            in_force=entry.current.digest,
            other=digest,
            source=source,
        )

    def reply(self, request):
        """Return the ``DocumentReply`` to a ``DocumentRequest``.

        Changes are sent when they are known from the requested revision on and
        smaller than the whole document.
        """
        entry = self._entries.get(request.name)
        if entry is None or entry.current is None:
            raise DocumentError(f"no document {request.name!r}")
        current = entry.current
        changes = entry.chain.since(request.have, request.digest)
        if changes is not None and sum(c.size for c in changes) < current.size:
            patches = [[c.revision, c.patch, c.digest] for c in changes]
            return DocumentReply(
                name=current.name,
                revision=current.revision,
                digest=current.digest,
                patches=patches,
            )
        return DocumentReply(
            name=current.name,
            revision=current.revision,
            digest=current.digest,
            snapshot=current.body,
        )

    async def take(self, reply, source):
        """Put the document of a ``DocumentReply`` into force.

        Raises ``DocumentError`` when its content does not have the stated digest
        or its changes do not start from the document in force.
        """
        entry = self._entries.get(reply.name)
        if entry is None or reply.revision <= self.revision(reply.name):
            return False
        changes = None
        if reply.patches:
            if entry.current is None:
                raise DocumentError(f"{reply.name}: changes without a base")
            document, changes = apply_changes(entry.current, reply.patches)
        else:
            document = _snapshot(reply)
        if (document.revision, document.digest) != (reply.revision, reply.digest):
            raise DocumentError(f"{reply.name}: the content is not what was stated")
        return await self.offer(document, source, changes)

    def report(self, name):
        """Return what was rejected and what conflicts, for the admin API."""
        entry = self._entries[name]
        return {
            "rejected": [
                entry.rejections[key].to_dict() for key in sorted(entry.rejections)
            ],
            "conflicts": [
                {"revision": revision, "digest": digest, "source": source}
                for (revision, digest), source in entry.conflicts.items()
            ],
        }


def _prepare(validate, current, document, changes):
    parsed = validate(document.body, document.revision)
    if changes is None and current is not None:
        change = make_change(current, document)
        changes = [change] if change is not None else []
    return parsed, changes or []


def _snapshot(reply):
    try:
        return Document(reply.name, reply.revision, reply.snapshot)
    except (TypeError, ValueError, RecursionError) as exc:
        raise DocumentError(f"{reply.name}: invalid snapshot: {exc}") from exc
