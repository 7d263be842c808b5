"""Store of the platform's documents: validation, revisions and their changes."""

import curio

from .changes import ChangeChain, apply_changes, make_change
from .errors import ConfigurationError, DocumentError
from .messages import DocumentReply
from .ports import Document

__all__ = ["DocumentKind", "DocumentStore", "Rejection"]

# Rejected revisions that are kept for each document. Several operators or replicas of
# the platform can publish invalid revisions one after the other.
MAX_REJECTIONS = 8
MAX_PROBLEMS = 20
MAX_CONFLICTS = 8
# Documents from this size on are validated and compared in a thread, so that queries
# don't wait. A document of 900 KB takes 85 to 90 ms.
THREAD_THRESHOLD_BYTES = 50_000


class DocumentKind:
    """Name, validator and consumer of one document that the store keeps.

    ``validate(body, revision)`` returns the parsed form or raises. The async function
    ``apply(document, parsed)`` puts a valid document to use in this daemon.
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


class _DocumentState:
    __slots__ = ("chain", "conflicts", "current", "kind", "lock", "rejections")

    def __init__(self, kind):
        self.kind = kind
        self.current = None
        self.chain = ChangeChain()
        # (revision, digest) -> ``Rejection``
        self.rejections = {}
        # (revision, digest) -> source of a content that is not the one in force
        self.conflicts = {}
        self.lock = curio.Lock()


class DocumentStore:
    """Keeps the highest valid revision of each document.

    The revision in force only increases. An invalid revision is logged and reported,
    and the last valid one stays in force. If another content is seen for the revision
    in force, the content in force stays. The conflict is logged and reported until the
    next revision is in force.
    """

    __slots__ = ("_log", "_states")

    def __init__(self, kinds, log):
        self._states = {kind.name: _DocumentState(kind) for kind in kinds}
        self._log = log

    def names(self):
        """Return the names of the documents that the store keeps."""
        return list(self._states)

    def current(self, name):
        """Return the document in force, or None."""
        return self._states[name].current

    def revision(self, name):
        """Return the number of the revision in force, or 0."""
        current = self._states[name].current
        return current.revision if current is not None else 0

    def is_complete(self):
        """Return whether every document has a revision in force."""
        return all(state.current is not None for state in self._states.values())

    def digest_entries(self):
        """Return {name: [revision, digest]} of the documents in force."""
        return {
            name: [state.current.revision, state.current.digest]
            for name, state in self._states.items()
            if state.current is not None
        }

    def highest_seen_revision(self, name):
        """Return the highest revision seen, in force or rejected.

        A watch from this revision on doesn't return a rejected revision again.
        """
        state = self._states[name]
        rejected = max((number for number, _ in state.rejections), default=0)
        return max(self.revision(name), rejected)

    def wants(self, name, revision, digest, source):
        """Return whether a revision is newer than the one in force and not rejected.

        Records and logs a conflict if the same revision is in force with another
        digest.
        """
        state = self._states.get(name)
        if state is None or (revision, digest) in state.rejections:
            return False
        if revision == self.revision(name) and state.current is not None:
            self._check_conflict(state, revision, digest, source)
        return revision > self.revision(name)

    async def offer(self, document, source, changes=None):
        """Put ``document`` into force when it is newer and valid.

        ``changes`` is the list of ``Change`` from the document in force to it, None
        to compute it. Returns whether the document was put into force.
        """
        state = self._states[document.name]
        async with state.lock:
            if not self.wants(
                document.name, document.revision, document.digest, source
            ):
                return False
            try:
                parsed, changes = await self._prepare(state, document, changes)
            except Exception as exc:
                # An unexpected error of a validator is a rejection too.
                self._reject(state, document, exc, source)
                return False
            if changes:
                state.chain.extend(changes)
            else:
                state.chain.clear()
            state.current = document
            state.conflicts.clear()
            self._log.info(
                "document_in_force",
                document=document.name,
                revision=document.revision,
                source=source,
            )
            await self._apply(state, document, parsed)
        return True

    async def _prepare(self, state, document, changes):
        """Return (parsed form, changes); raises the error of the validator."""
        args = (state.kind.validate, state.current, document, changes)
        if document.size < THREAD_THRESHOLD_BYTES:
            return _validate_and_diff(*args)
        return await curio.run_in_thread(_validate_and_diff, *args)

    async def _apply(self, state, document, parsed):
        try:
            await state.kind.apply(document, parsed)
        except Exception as exc:
            # The document is valid and stays in force. A component that fails to
            # apply it must not end the task that distributes documents.
            self._log.error(
                "document_apply_failed", document=document.name, error=repr(exc)
            )

    def _reject(self, state, document, exc, source):
        problems = exc.problems if isinstance(exc, ConfigurationError) else [str(exc)]
        rejection = Rejection(
            document.revision, document.digest, problems[:MAX_PROBLEMS], source
        )
        state.rejections[(document.revision, document.digest)] = rejection
        while len(state.rejections) > MAX_REJECTIONS:
            del state.rejections[min(state.rejections)]
        self._log.warning(
            "document_rejected",
            document=document.name,
            revision=document.revision,
            in_force=self.revision(document.name),
            source=source,
            problems=len(problems),
            first_problem=problems[0] if problems else "",
        )

    def _check_conflict(self, state, revision, digest, source):
        if digest == state.current.digest or (revision, digest) in state.conflicts:
            return
        if len(state.conflicts) >= MAX_CONFLICTS:
            return
        state.conflicts[(revision, digest)] = source
        self._log.warning(
            "document_conflict",
            document=state.kind.name,
            revision=revision,
            in_force=state.current.digest,
            other=digest,
            source=source,
        )

    def make_reply(self, request):
        """Return the ``DocumentReply`` to a ``DocumentRequest``.

        It holds the changes since the requested revision if they are known and smaller
        than the whole document, otherwise the document. Raises ``DocumentError`` when
        there is no such document.
        """
        state = self._states.get(request.name)
        if state is None or state.current is None:
            raise DocumentError(f"no document {request.name!r}")
        current = state.current
        changes = state.chain.changes_since(request.have, request.digest)
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

    async def apply_reply(self, reply, source):
        """Put the document of a ``DocumentReply`` into force; see ``offer``.

        Raises ``DocumentError`` when the content doesn't have the stated revision and
        digest or the changes don't start from the document in force.
        """
        state = self._states.get(reply.name)
        if state is None or reply.revision <= self.revision(reply.name):
            return False
        changes = None
        if reply.patches:
            if state.current is None:
                raise DocumentError(f"{reply.name}: changes without a base")
            document, changes = apply_changes(state.current, reply.patches)
        else:
            document = _document_from_snapshot(reply)
        if (document.revision, document.digest) != (reply.revision, reply.digest):
            raise DocumentError(f"{reply.name}: the content is not what was stated")
        return await self.offer(document, source, changes)

    def report(self, name):
        """Return the rejected and conflicting revisions for the admin API."""
        state = self._states[name]
        return {
            "rejected": [
                state.rejections[key].to_dict() for key in sorted(state.rejections)
            ],
            "conflicts": [
                {"revision": revision, "digest": digest, "source": source}
                for (revision, digest), source in state.conflicts.items()
            ],
        }


def _validate_and_diff(validate, current, document, changes):
    parsed = validate(document.body, document.revision)
    if changes is None and current is not None:
        change = make_change(current, document)
        changes = [change] if change is not None else []
    return parsed, changes or []


def _document_from_snapshot(reply):
    try:
        return Document(reply.name, reply.revision, reply.snapshot)
    except (TypeError, ValueError, RecursionError) as exc:
        raise DocumentError(f"{reply.name}: invalid snapshot: {exc}") from exc
