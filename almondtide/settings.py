"""Settings of a daemon process from flags and environment variables."""

import inspect
import os
import re

from .addresses import parse_address
from .errors import SettingsError

__all__ = [
    "DaemonSettings",
    "SettingSpec",
    "daemon_command",
    "load_settings",
    "setting_specs",
]

ENVIRONMENT_PREFIX = "ALMONDTIDE_"
_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
MIN_TOKEN_LENGTH = 8
LISTENER_SETTINGS = ("caller_address", "peer_address", "admin_address")
ALL_INTERFACES = "0.0.0.0"


class SettingSpec:
    """One setting: its type, default, bounds and help text.

    ``kind`` is one of ``name``, ``address``, ``addresses``, ``token``, ``int`` and
    ``float``. The default is text; a setting with the default None is required.
    ``low`` and ``high`` are inclusive bounds of numbers.
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
        """Return the parsed value of ``text``; raises ValueError."""
        return _PARSERS[self.kind](self, text)


def _parse_name(spec, text):
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} must be 1 to 64 letters, digits, '.', '_' or '-'")
    return text


def _parse_addresses(spec, text):
    return [parse_address(part.strip()) for part in text.split(",") if part.strip()]


def _parse_token(spec, text):
    # The messages must not contain the value, because it is a secret.
    if len(text) < MIN_TOKEN_LENGTH:
        raise ValueError(f"must have at least {MIN_TOKEN_LENGTH} characters")
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("must be printable ASCII text without spaces")
    return text


def _parse_number(spec, text):
    kind = int if spec.kind == "int" else float
    try:
        value = kind(text)
    except ValueError:
        raise ValueError(f"{text!r} is not of type {kind.__name__}") from None
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

# A test compares the help texts below with the reference page.
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
        "max_body_bytes", "int", "262144", "Largest request body.", 1024, 1 << 21
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
    SettingSpec(
        "event_capacity",
        "int",
        "4096",
        "Events kept in each of the two rings.",
        16,
        1_000_000,
    ),
    SettingSpec("verbosity", "int", "0", "Log level: 0 info, 1 debug.", -1, 1),
]


def setting_specs():
    """Return all settings of the daemon in the order of the reference page."""
    return list(_SPECS)


class DaemonSettings:
    """Validated settings of one daemon, one attribute for each setting."""

    __slots__ = tuple(spec.name for spec in _SPECS)

    def __init__(self, values):
        for spec in _SPECS:
            setattr(self, spec.name, values[spec.name])


def load_settings(flags, environ=os.environ):
    """Return ``DaemonSettings``; flags override the environment, then defaults.

    ``flags`` maps names of settings to text or None. Raises ``SettingsError`` whose
    ``problems`` list every missing or invalid setting.
    """
    problems = []
    values = {}
    for spec in _SPECS:
        text = flags.get(spec.name)
        source = spec.flag
        if text is None and environ.get(spec.environment):
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
        has_prefix = name.startswith(ENVIRONMENT_PREFIX)
        is_cli_setting = name.startswith(ENVIRONMENT_PREFIX + "CLI_")
        if has_prefix and not is_cli_setting and name not in known:
            problems.append(f"{name}: unknown setting")
    _check_distinct(values, problems)
    if problems:
        raise SettingsError(problems)
    return DaemonSettings(values)


def _check_distinct(values, problems):
    """Add a problem for each conflict between addresses.

    An address of all interfaces conflicts with each address that has its port.
    """
    seen = {}
    for name in LISTENER_SETTINGS:
        if name not in values:
            continue
        host, port = values[name]
        if port == 0:
            # The operating system chooses the port.
            continue
        for other, (other_host, other_port) in seen.items():
            if port == other_port and (
                host == other_host or ALL_INTERFACES in (host, other_host)
            ):
                problems.append(f"{name} and {other} clash: {host}:{port}")
        seen[name] = (host, port)
    if values.get("platform") in seen.values():
        problems.append("platform is an address of this daemon")


def daemon_command(run):
    """Return a command for defopt with a flag for each setting.

    The command calls ``run`` with the text of each flag as a keyword argument, or
    None for a flag that is not given.
    """

    def command(**flags):
        return run(**flags)

    parameters = [
        inspect.Parameter(
            spec.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=str | None,
        )
        for spec in _SPECS
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {spec.name: str | None for spec in _SPECS}
    command.__name__ = run.__name__
    lines = [
        "Run one almondtide daemon.",
        "",
        "A flag overrides its environment variable, which overrides the default.",
        "",
    ]
    lines.extend(f":param {spec.name}: {_describe(spec)}" for spec in _SPECS)
    command.__doc__ = "\n".join(lines)
    return command


def _describe(spec):
    text = spec.help.rstrip(".")
    if spec.low is not None:
        text += f", {spec.low} to {spec.high}"
    default = "required" if spec.default is None else f"default: {spec.default or '-'}"
    return f"{text} ({spec.environment}; {default})"
