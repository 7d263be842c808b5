"""Typed access to fields of decoded JSON, which collects all problems."""

import re

__all__ = ["Fields"]

_MISSING = object()
# Without a limit of the digits, ``int`` raises ``ValueError`` for too many of them.
_ADDRESS = re.compile(r"(?P<host>[0-9]{1,3}(\.[0-9]{1,3}){3}):(?P<port>[0-9]{1,5})")


class Fields:
    """Reads typed fields of a JSON object and records problems with their paths.

    A field that is missing without a default, or of another type, adds a text to
    ``problems`` and has the default or None as its value. Nested objects share the
    list ``problems``.
    """

    __slots__ = ("_object", "_path", "problems")

    def __init__(self, data, path="", problems=None):
        self.problems = [] if problems is None else problems
        self._path = path
        if not isinstance(data, dict):
            self.problems.append(f"{path or 'document'}: not an object")
            data = {}
        self._object = data

    def _field_path(self, name):
        return f"{self._path}.{name}" if self._path else name

    def _get(self, name, is_valid, expected, default):
        value = self._object.get(name, _MISSING)
        if value is _MISSING or (value is None and default is not _MISSING):
            if default is _MISSING:
                self.problems.append(f"{self._field_path(name)}: missing")
                return None
            return default
        if not is_valid(value):
            self.problems.append(f"{self._field_path(name)}: not {expected}")
            return None if default is _MISSING else default
        return value

    def has(self, name):
        """Return whether the field is present and not null."""
        return self._object.get(name) is not None

    def string(self, name, default=_MISSING):
        """Return a non-empty string."""
        return self._get(
            name,
            lambda value: isinstance(value, str) and value,
            "a non-empty string",
            default,
        )

    def number(self, name, default=_MISSING, minimum=0):
        """Return a finite number of at least ``minimum``."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, (int, float))
                and not isinstance(value, bool)
                and minimum <= value < float("inf")
            ),
            f"a number of at least {minimum}",
            default,
        )

    def integer(self, name, default=_MISSING, minimum=0):
        """Return an integer of at least ``minimum``."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, int)
                and not isinstance(value, bool)
                and value >= minimum
            ),
            f"an integer of at least {minimum}",
            default,
        )

    def boolean(self, name, default=_MISSING):
        """Return true or false."""
        return self._get(
            name, lambda value: isinstance(value, bool), "true or false", default
        )

    def strings(self, name, default=_MISSING):
        """Return a list of non-empty strings."""
        return self._get(
            name,
            lambda value: (
                isinstance(value, list)
                and all(isinstance(item, str) and item for item in value)
            ),
            "a list of non-empty strings",
            default,
        )

    def objects(self, name, default=_MISSING):
        """Return a list with ``Fields`` for each object of a list."""
        items = self._get(
            name, lambda value: isinstance(value, list), "a list", default
        )
        return [
            Fields(item, f"{self._field_path(name)}[{index}]", self.problems)
            for index, item in enumerate(items or ())
        ]

    def object(self, name):
        """Return ``Fields`` for a nested object; a missing one is empty."""
        return Fields(self._object.get(name, {}), self._field_path(name), self.problems)

    def address(self, name, default=_MISSING):
        """Return ``(host, port)`` from a string ``host:port`` with an IPv4 address."""
        text = self.string(name, default)
        if not isinstance(text, str):
            return text
        address = parse_address(text)
        if address is None:
            self.problems.append(f"{self._field_path(name)}: not an address")
        return address


def parse_address(text):
    """Return ``(host, port)`` of ``host:port`` with an IPv4 address, or None."""
    match = _ADDRESS.fullmatch(text)
    if match is None or any(int(part) > 255 for part in match["host"].split(".")):
        return None
    port = int(match["port"])
    return (match["host"], port) if 0 < port < 65536 else None
