"""Checked access to fields of decoded JSON, with all problems collected."""

__all__ = ["Fields"]

_MISSING = object()


class Fields:
    """Reads typed fields of a table and notes each problem with its path.

    A field that is missing without a default, or of another type, yields the
    default or None and one entry in ``problems``, a list that nested tables share.
    """

    __slots__ = ("_path", "_table", "problems")

    def __init__(self, table, path="", problems=None):
        self.problems = [] if problems is None else problems
        self._path = path
        if not isinstance(table, dict):
            self.problems.append(f"{path or 'document'}: not a table")
            table = {}
        self._table = table

    def _where(self, name):
        return f"{self._path}.{name}" if self._path else name

    def _get(self, name, accepts, kind, default):
        value = self._table.get(name, _MISSING)
        if value is _MISSING or (value is None and default is not _MISSING):
            if default is _MISSING:
                self.problems.append(f"{self._where(name)}: missing")
                return None
            return default
        if not accepts(value):
            self.problems.append(f"{self._where(name)}: not {kind}")
            return None if default is _MISSING else default
        return value

    def has(self, name):
        """Return whether the field is present and not null."""
        return self._table.get(name) is not None

    def text(self, name, default=_MISSING):
        """Return a string of at least one character."""
        return self._get(
            name, lambda value: isinstance(value, str) and value, "a text", default
        )

    def number(self, name, default=_MISSING, least=0):
        """Return a finite number of at least ``least``."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, (int, float))
                and not isinstance(value, bool)
                and least <= value < float("inf")
            ),
            f"a number of at least {least}",
            default,
        )

    def whole(self, name, default=_MISSING, least=0):
        """Return a whole number of at least ``least``."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, int)
                and not isinstance(value, bool)
                and value >= least
            ),
            f"a whole number of at least {least}",
            default,
        )

    def flag(self, name, default=_MISSING):
        """Return true or false."""
        return self._get(
            name, lambda value: isinstance(value, bool), "true or false", default
        )

    def texts(self, name, default=_MISSING):
        """Return a list of strings."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, list)
                and all(isinstance(item, str) and item for item in value)
            ),
            "a list of texts",
            default,
        )

    def tables(self, name, default=_MISSING):
        """Return a list with ``Fields`` for each table of a list."""
        items = self._get(
            name, lambda value: isinstance(value, list), "a list", default
        )
        return [
            Fields(item, f"{self._where(name)}[{index}]", self.problems)
            for index, item in enumerate(items or ())
        ]

    def table(self, name):
        """Return ``Fields`` for a nested table; a missing one is empty."""
        return Fields(self._table.get(name, {}), self._where(name), self.problems)

    def address(self, name, default=_MISSING):
        """Return ``(host, port)`` from a text of the form ``host:port``."""
        text = self.text(name, default)
        if not isinstance(text, str):
            return text
        address = parse_address(text)
        if address is None:
            self.problems.append(f"{self._where(name)}: not an address")
        return address


def parse_address(text):
    """Return ``(host, port)`` of ``host:port``, or None."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(
        part.isascii() and part.isdigit() and int(part) < 256 for part in parts
    ):
        return None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return host, int(port)
