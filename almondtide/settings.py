"""Process settings from flags and environment variables."""

import os
import re

from .adapters.listener import parse_address
from .errors import SettingsError

__all__ = ["DaemonSettings", "SettingSpec", "load_settings", "setting_specs"]

ENVIRONMENT_PREFIX = "ALMONDTIDE_"
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
MIN_TOKEN_LENGTH = 8


class SettingSpec:
    """One setting: its type, default, bounds and help text.

    ``kind`` is one of ``name``, ``address``, ``addresses``, ``token``, ``int``
    and ``float``. A default of None makes the setting required.
    """

    __slots__ = ("default", "help", "high", "kind", "low", "name")

    def __init__(self, name, kind, default, help, low=None, high=None):
        self.name = name
        self.kind = kind
        self.default = default
        self.help = help
        self.low = low
        self.high = high

    @property
    def environment(self):
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self):
        """Name of the command-line flag."""
        return "--" + self.name.replace("_", "-")

    def parse(self, text):
        """Return the value of ``text``; raises ValueError."""
        return _PARSERS[self.kind](self, text)


def _parse_name(spec, text):
    if not _NAME.fullmatch(text):
        raise ValueError(f"{text!r} must be 1 to 64 letters, digits, '.', '_' or '-'")
    return text


def _parse_addresses(spec, text):
    return [parse_address(part.strip()) for part in text.split(",") if part.strip()]


def _parse_token(spec, text):
    if len(text) < MIN_TOKEN_LENGTH:
        raise ValueError(f"must have at least {MIN_TOKEN_LENGTH} characters")
    return text


def _parse_number(spec, text):
    value = int(text) if spec.kind == "int" else float(text)
    if not spec.low <= value <= spec.high:
        raise ValueError(f"{value} is not within {spec.low} and {spec.high}")
    return value


_PARSERS = {
    "name": _parse_name,
    "address": lambda spec, text: parse_address(text),
    "addresses": _parse_addresses,
    "token": _parse_token,
    "int": _parse_number,
    "float": _parse_number,
}

_SPECS = [
    SettingSpec(
        "instance", "name", None, "Id of this instance in the platform's list."
    ),
    SettingSpec("domain", "name", None, "Failure domain of this instance."),
    SettingSpec("caller_address", "address", None, "host:port for callers."),
    SettingSpec("peer_address", "address", None, "host:port for other daemons."),
    SettingSpec("admin_address", "address", None, "host:port for operators."),
    SettingSpec("admin_token", "token", None, "Bearer token of the admin API."),
    SettingSpec("platform", "address", None, "host:port of the configuration service."),
    SettingSpec(
        "seeds", "addresses", "", "Peer addresses to ask while the platform is down."
    ),
    SettingSpec(
        "max_body_bytes", "int", "262144", "Largest request body.", 1024, 1 << 26
    ),
    SettingSpec(
        "max_header_bytes", "int", "16384", "Largest request head.", 1024, 1 << 20
    ),
    SettingSpec(
        "max_connections", "int", "2000", "Open caller connections.", 1, 100_000
    ),
    SettingSpec(
        "drain_timeout_s", "float", "30", "Longest graceful shutdown.", 0.1, 3600
    ),
    SettingSpec("event_capacity", "int", "4096", "Events kept.", 16, 1_000_000),
    SettingSpec("verbosity", "int", "0", "Log level: 0 info, 1 debug.", -1, 1),
]


def setting_specs():
    """Return all settings of the daemon in the order of the reference."""
    return list(_SPECS)


class DaemonSettings:
    """Validated settings of one daemon; attributes are named like the settings."""

    __slots__ = tuple(spec.name for spec in _SPECS)

    def __init__(self, values):
        for spec in _SPECS:
            setattr(self, spec.name, values[spec.name])


def load_settings(flags, environ=os.environ):
    """Return ``DaemonSettings`` from flags, then environment, then defaults.

    ``flags`` maps names to text or None. Raises ``SettingsError`` whose
    ``problems`` name every missing or invalid setting.
    """
    problems = []
    values = {}
    for spec in _SPECS:
        text = flags.get(spec.name)
        source = spec.flag
        if text is None and spec.environment in environ:
            text = environ[spec.environment]
            source = spec.environment
        if text is None:
            text = spec.default
        if text is None:
            problems.append(f"{spec.flag} or {spec.environment} is required")
            continue
        try:
            values[spec.name] = spec.parse(str(text))
        except ValueError as exc:
            problems.append(f"{source}: {exc}")
    known = {spec.environment for spec in _SPECS}
    for name in sorted(environ):
        ours = name.startswith(ENVIRONMENT_PREFIX)
        for_cli = name.startswith(ENVIRONMENT_PREFIX + "CLI_")
        if ours and not for_cli and name not in known:
            problems.append(f"{name}: unknown setting")
    _check_distinct(values, problems)
    if problems:
        raise SettingsError(problems)
    return DaemonSettings(values)


def _check_distinct(values, problems):
    names = ("caller_address", "peer_address", "admin_address")
    seen = {}
    for name in names:
        address = values.get(name)
        if address is not None and address in seen:
            problems.append(f"{name} and {seen[address]} are the same address")
        seen[address] = name
