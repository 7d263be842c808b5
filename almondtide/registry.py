"""Registry of implementations by name."""

__all__ = ["Registry"]


class Registry:
    """Maps names to implementations of one kind.

    A module registers its implementation with the decorator::

        policies = Registry("coverage policy")

        @policies.register("tail_first")
        class TailFirst: ...
    """

    __slots__ = ("_entries", "kind")

    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that stores its target under ``name``."""

        def decorate(target):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return what is registered as ``name``.

        Raises ``KeyError`` that lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(map(str, self._entries)))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {known}") from None

    def names(self):
        """Return the registered names in sorted order."""
        return sorted(self._entries)

    def __contains__(self, name):
        return name in self._entries
