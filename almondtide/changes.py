"""Changes between revisions of a document as JSON merge patches."""

import orjson

from .errors import DocumentError
from .ports import Document

__all__ = [
    "Change",
    "ChangeChain",
    "apply_changes",
    "apply_patch",
    "make_change",
    "make_patch",
]

# 64 changes are about 17 minutes at 5,500 changes a day, far more than the time that
# a daemon lags behind its peers.
MAX_CHANGES = 64
MAX_CHAIN_BYTES = 256 * 1024
# Key in a patch below which the items of a list are patched by identity. RFC 7396
# replaces whole lists, so that one changed instance would resend all instances.
LIST_ITEMS_KEY = "[]"
_IDENTITY_FIELDS = ("id", "name", "epoch")
_SCOPE_FIELDS = ("workload", "service", "setting")


def _canonical_json(value):
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _item_identity(item):
    if not isinstance(item, dict):
        return None
    for field in _IDENTITY_FIELDS:
        if isinstance(item.get(field), (str, int)):
            return str(item[field])
    scope = [str(item[field]) for field in _SCOPE_FIELDS if field in item]
    return "/".join(scope) or None


def _index_by_identity(items):
    """Return the items of a list by identity, or None when one has none."""
    keyed = {_item_identity(item): item for item in items}
    if not keyed or None in keyed or len(keyed) != len(items):
        return None
    return keyed


def make_patch(before, after):
    """Return the JSON merge patch (RFC 7396) that turns ``before`` into ``after``.

    A list whose items all have a unique identity is patched below the key ``"[]"``
    like an object with one member per item; new items are appended. Any other list is
    replaced. A merge patch cannot set an object member to null. The caller must
    therefore check the result of the patch, as ``make_change`` does.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        return _patch_members(before, after)
    if isinstance(before, list) and isinstance(after, list):
        return _patch_items(before, after)
    return after


def _patch_members(before, after):
    patch = {key: None for key in before if key not in after}
    for key, value in after.items():
        if key not in before:
            patch[key] = value
        elif _canonical_json(before[key]) != _canonical_json(value):
            patch[key] = make_patch(before[key], value)
    return patch


def _patch_items(before, after):
    old = _index_by_identity(before)
    new = _index_by_identity(after)
    if old is None or new is None:
        return after
    kept = [key for key in old if key in new]
    added = [key for key in new if key not in old]
    if kept + added != list(new):
        return after
    return {LIST_ITEMS_KEY: _patch_members(old, new)}


def apply_patch(patch, body):
    """Return ``body`` with ``patch`` applied; the arguments are not modified."""
    if not isinstance(patch, dict):
        return patch
    if isinstance(body, list) and set(patch) == {LIST_ITEMS_KEY}:
        items = apply_patch(patch[LIST_ITEMS_KEY], _index_by_identity(body) or {})
        return list(items.values()) if isinstance(items, dict) else items
    result = dict(body) if isinstance(body, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_patch(value, result.get(key))
    return result


class Change:
    """A patch that turns the base revision of a document into a later revision.

    ``size`` is the length of the patch in JSON, in bytes.
    """

    __slots__ = ("base_digest", "base_revision", "digest", "patch", "revision", "size")

    def __init__(self, base_revision, base_digest, revision, digest, patch):
        self.base_revision = base_revision
        self.base_digest = base_digest
        self.revision = revision
        self.digest = digest
        self.patch = patch
        self.size = len(orjson.dumps(patch))


def make_change(before, after):
    """Return the ``Change`` from one ``Document`` to the next.

    Returns None when a merge patch cannot express the change.
    """
    patch = make_patch(before.body, after.body)
    result = Document(after.name, after.revision, apply_patch(patch, before.body))
    if result.digest != after.digest:
        return None
    return Change(before.revision, before.digest, after.revision, after.digest, patch)


def apply_changes(document, patches):
    """Apply ``patches`` in order and return (document, list of ``Change``).

    ``patches`` is a list of ``[revision, patch, digest]`` as in a ``DocumentReply``.
    Raises ``DocumentError`` for a malformed item, a revision that doesn't increase
    and a result without the stated digest.
    """
    changes = []
    for item in patches:
        revision, patch, digest = _parse_step(document, item)
        try:
            body = apply_patch(patch, document.body)
            result = Document(document.name, revision, body)
        except (TypeError, ValueError, RecursionError) as exc:
            raise DocumentError(f"{document.name}: invalid change: {exc}") from exc
        if result.digest != digest:
            raise DocumentError(
                f"{document.name}: the change to revision {revision} gives digest "
                f"{result.digest}, not {digest}"
            )
        changes.append(
            Change(document.revision, document.digest, revision, digest, patch)
        )
        document = result
    return document, changes


def _parse_step(document, item):
    if isinstance(item, list) and len(item) == 3:
        revision, _, digest = item
        increases = type(revision) is int and revision > document.revision
        if increases and isinstance(digest, str):
            return item
    raise DocumentError(f"{document.name}: invalid step of a change chain")


class ChangeChain:
    """The newest changes of one document, each based on the one before it."""

    __slots__ = ("_changes", "_size")

    def __init__(self):
        self._changes = []
        self._size = 0

    def extend(self, changes):
        """Append changes and drop the oldest ones beyond the limits.

        A change that isn't based on the last one drops all changes before it.
        """
        for change in changes:
            if self._changes and self._changes[-1].digest != change.base_digest:
                self.clear()
            self._changes.append(change)
            self._size += change.size
        while len(self._changes) > MAX_CHANGES or self._size > MAX_CHAIN_BYTES:
            self._size -= self._changes.pop(0).size

    def clear(self):
        """Drop all changes."""
        self._changes = []
        self._size = 0

    def changes_since(self, revision, digest):
        """Return the changes since a revision, or None when they are not all known."""
        for index, change in enumerate(self._changes):
            if (change.base_revision, change.base_digest) == (revision, digest):
                return self._changes[index:]
        return None
