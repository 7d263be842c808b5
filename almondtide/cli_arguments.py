"""Arguments that several commands of the command line have in common."""

import os
import sys
from typing import Literal

import orjson

from .adapters.http import is_request_id
from .addresses import parse_address

__all__ = [
    "ADMIN_VARIABLE",
    "ENTRIES_VARIABLE",
    "TOKEN_VARIABLE",
    "Output",
    "UsageError",
    "check_id",
    "get_addresses",
    "get_body",
    "get_token",
    "join_repeated",
]

ENTRIES_VARIABLE = "ALMONDTIDE_CLI_ENTRIES"
ADMIN_VARIABLE = "ALMONDTIDE_CLI_ADMIN"
TOKEN_VARIABLE = "ALMONDTIDE_CLI_TOKEN"
REPEATABLE = ("--entry", "--admin")

Output = Literal["text", "json"]


class UsageError(Exception):
    """The command line is incomplete or malformed."""


def get_addresses(flag_value, variable, flag):
    """Return addresses from a flag or, without it, an environment variable.

    Raises ``UsageError`` when neither is given or an address is invalid.
    """
    text = flag_value if flag_value is not None else os.environ.get(variable, "")
    parts = [part.strip() for part in text.split(",") if part.strip()]
    if not parts:
        raise UsageError(f"{flag} host:port or {variable} is required")
    try:
        return [parse_address(part) for part in parts]
    except ValueError as exc:
        raise UsageError(f"{flag}: {exc}") from exc


def get_token(flag_value):
    """Return the bearer token from the flag or the environment variable.

    Raises ``UsageError`` when it is missing or cannot be sent in a header.
    """
    token = flag_value if flag_value is not None else os.environ.get(TOKEN_VARIABLE)
    if not token:
        raise UsageError(f"--token or {TOKEN_VARIABLE} is required")
    if not token.isascii() or not token.isprintable():
        raise UsageError("the token must be printable ASCII text")
    return token


def check_id(value, flag):
    """Raise ``UsageError`` for an id that cannot be sent in a header."""
    if value is not None and not is_request_id(value):
        raise UsageError(f"{flag} must be 1 to 128 printable ASCII characters")


def get_body(text):
    """Return the bytes of ``--body``: JSON text, @file or standard input.

    Raises ``UsageError`` when it cannot be read or is not valid JSON.
    """
    try:
        if text is None or text == "-":
            data = sys.stdin.buffer.read()
        elif text.startswith("@"):
            with open(text[1:], "rb") as file:
                data = file.read()
        else:
            data = text.encode()
        orjson.loads(data)
    except OSError as exc:
        raise UsageError(f"--body: {exc}") from exc
    except ValueError as exc:
        raise UsageError(f"--body is not valid JSON: {exc}") from exc
    return data


def join_repeated(argv, flags=REPEATABLE):
    """Merge ``--entry A --entry B`` into ``--entry=A,B``.

    defopt keeps only the last value of a repeated flag. With a list type, the flag
    would take the positional arguments that follow it.
    """
    result = []
    position = {}
    arguments = iter(argv)
    for argument in arguments:
        flag, separator, value = argument.partition("=")
        if flag not in flags:
            result.append(argument)
            continue
        if not separator:
            value = next(arguments, None)
            if value is None:
                result.append(argument)
                break
        if flag in position:
            result[position[flag]] += f",{value}"
        else:
            position[flag] = len(result)
            result.append(f"{flag}={value}")
    return result
