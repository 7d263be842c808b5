"""Parsing and formatting of addresses of the form host:port."""

import re

__all__ = ["format_address", "parse_address"]

MAX_PORT = 65535
_ADDRESS = re.compile(r"(?P<host>[A-Za-z0-9._-]+):(?P<port>[0-9]{1,5})")


def parse_address(text):
    """Return ``(host, port)`` of ``"host:port"``; raises ``ValueError``."""
    match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None or int(match["port"]) > MAX_PORT:
        raise ValueError(f"{text!r} is not of the form host:port")
    return match["host"], int(match["port"])


def format_address(address):
    """Return ``"host:port"`` of ``(host, port)``."""
    return f"{address[0]}:{address[1]}"
