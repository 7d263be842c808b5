"""Published configuration: its settings, model and validator."""

import json
import re

import orjson

from .errors import ConfigurationError
from .registry import Registry
from .shards import KEY_SPACE, KeyRange, Shard, ShardMap

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "SETTINGS",
    "Configuration",
    "Setting",
    "Workload",
    "check_document_size",
    "parse_configuration",
]

SETTINGS = Registry("configuration setting")

FLEET = "fleet"
WORKLOAD = "workload"
SERVICE = "service"

# The configuration service holds values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
MAX_SHARD_MAPS = 3
MIN_REASON_LENGTH = 8
MAX_SHOWN_CHARS = 60
# Epochs are part of messages, whose integers have 64 bits.
MAX_EPOCH = 1 << 53
NAME_RULE = "must be 1 to 64 letters, digits, '.', '_' or '-'"
# Names are used as labels of metrics, fields of log lines and parts of URL paths.
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")


class Setting:
    """Type, bounds and default of one setting of the configuration.

    ``scope`` is what an exception to the default is for: one workload or one
    service. Fleet settings have no exceptions. Creating an object adds it to
    ``SETTINGS``.
    """

    __slots__ = ("choices", "default", "help", "high", "kind", "low", "name", "scope")

    def __init__(
        self, name, scope, kind, default, low=None, high=None, choices=None, help=""
    ):
        self.name = name
        self.scope = scope
        self.kind = kind
        self.default = default
        self.low = low
        self.high = high
        self.choices = choices
        self.help = help
        SETTINGS.register(name)(self)

    def find_problem(self, value):
        """Return a text that says why ``value`` is invalid, or None."""
        allowed = (int, float) if self.kind is float else self.kind
        is_bool = isinstance(value, bool) and self.kind is not bool
        if is_bool or not isinstance(value, allowed):
            return f"{_abbreviate(value)} is not of type {self.kind.__name__}"
        if self.low is not None and not value >= self.low:
            return f"{_abbreviate(value)} is below the minimum {self.low}"
        if self.high is not None and not value <= self.high:
            return f"{_abbreviate(value)} is above the maximum {self.high}"
        if self.choices is not None and value not in self.choices:
            return (
                f"{_abbreviate(value)} is not one of {', '.join(sorted(self.choices))}"
            )
        return None


def _abbreviate(value):
    """Return ``value`` as ASCII on one line, cut after ``MAX_SHOWN_CHARS``."""
    text = ascii(value)
    if len(text) > MAX_SHOWN_CHARS:
        text = f"{text[:MAX_SHOWN_CHARS]}..."
    return text


Setting(
    "entries_max_age_ms",
    FLEET,
    int,
    3000,
    100,
    60_000,
    help="How long a caller may use an answer of the entries call, in ms.",
)
Setting(
    "cell_size",
    FLEET,
    int,
    4,
    1,
    64,
    help="Services that have the same owner.",
)
Setting(
    "quarantine_s",
    FLEET,
    float,
    60.0,
    1,
    3600,
    help="Least time for which a crashing request is refused, in s.",
)
Setting(
    "quarantine_servers",
    FLEET,
    int,
    2,
    1,
    10,
    help="Lost servers after which a request is quarantined.",
)
# The home of an execution is the daemon that issued the prefix of its id.
Setting(
    "outcome_retention_s",
    FLEET,
    float,
    600.0,
    1,
    7200,
    help="How long a home remembers the outcome of an execution, in s.",
)
Setting(
    "deadline_ms",
    WORKLOAD,
    int,
    390,
    1,
    120_000,
    help="Deadline of a request that states none, in ms.",
)
Setting(
    "soft_deadline_ms",
    WORKLOAD,
    int,
    250,
    1,
    120_000,
    help="When a tail-first workload answers with what is there, in ms.",
)
Setting(
    "coverage_policy",
    WORKLOAD,
    str,
    "coverage_first",
    choices=("coverage_first", "tail_first"),
    help="What an answer waits for.",
)
Setting(
    "merge",
    WORKLOAD,
    str,
    "rows",
    choices=("rows", "count", "statistics", "newest_per_probe"),
    help="How sub-answers become one answer.",
)
Setting(
    "weight",
    WORKLOAD,
    float,
    1.0,
    0.01,
    1000,
    help="Share of a service that several workloads use.",
)
Setting(
    "slots",
    SERVICE,
    int,
    3,
    1,
    1000,
    help="Concurrent requests per server.",
)
Setting(
    "connections",
    SERVICE,
    int,
    65,
    2,
    100_000,
    help="Connections that a server accepts over all instances.",
)
Setting(
    "queue_limit",
    SERVICE,
    int,
    1000,
    1,
    1_000_000,
    help="Sub-requests that wait at the owner at most.",
)
Setting(
    "hedge_policy",
    SERVICE,
    str,
    "quantile",
    choices=("quantile", "off"),
    help="When a second attempt is made.",
)
Setting(
    "hedge_quantile",
    SERVICE,
    float,
    0.95,
    0.5,
    0.9999,
    help="Latency quantile after which an attempt is hedged.",
)
Setting(
    "hedge_budget",
    SERVICE,
    float,
    0.05,
    0,
    1,
    help="Hedges as a share of sub-requests.",
)
Setting(
    "retry_budget",
    SERVICE,
    float,
    0.1,
    0,
    1,
    help="Retries as a share of sub-requests.",
)


class Workload:
    """A searchable index of one team.

    ``shard_maps`` maps an epoch to its ``ShardMap``.
    """

    __slots__ = ("name", "shard_maps")

    def __init__(self, name, shard_maps):
        self.name = name
        self.shard_maps = shard_maps

    def services(self):
        """Return the services of all epochs without duplicates."""
        names = {}
        for shard_map in self.shard_maps.values():
            names.update(dict.fromkeys(shard_map.services()))
        return list(names)


class Configuration:
    """A validated configuration with the exceptions applied.

    >>> shard = {"name": "all", "low": 0, "high": 65536, "service": "advisory-3"}
    >>> shard_maps = [{"epoch": 7, "shards": [shard]}]
    >>> document = {
    ...     "defaults": {"hedge_budget": 0.02},
    ...     "workloads": {"advisory": {"shard_maps": shard_maps}},
    ... }
    >>> cfg = parse_configuration(document, revision=7)
    >>> cfg.service_setting("advisory-3", "hedge_budget")
    0.02
    """

    __slots__ = (
        "_defaults",
        "_overrides",
        "_services",
        "exceptions",
        "revision",
        "workloads",
    )

    def __init__(self, revision, defaults, exceptions, workloads):
        self.revision = revision
        self._defaults = defaults
        self.exceptions = exceptions
        self.workloads = workloads
        self._overrides = {
            (item["scope"], item["target"], item["setting"]): item["value"]
            for item in exceptions
        }
        self._services = {}
        for name in sorted(workloads):
            self._services.update(dict.fromkeys(workloads[name].services()))

    def fleet_setting(self, name):
        """Return the value of the fleet setting ``name``."""
        return self._defaults[name]

    def workload_setting(self, workload, name):
        """Return the value of ``name`` for ``workload``."""
        return self._overrides.get((WORKLOAD, workload, name), self._defaults[name])

    def service_setting(self, service, name):
        """Return the value of ``name`` for ``service``."""
        return self._overrides.get((SERVICE, service, name), self._defaults[name])

    def services(self):
        """Return the services of all workloads without duplicates."""
        return list(self._services)

    def has_service(self, service):
        """Return whether any workload uses ``service``."""
        return service in self._services

    def cells(self):
        """Return a dict from service to the name of its cell.

        A cell is a group of ``cell_size`` services, in the order of ``services``,
        named after the first of them. The services of a cell have the same owner, so
        that a query sends one message for each cell.
        """
        size = self.fleet_setting("cell_size")
        names = self.services()
        return {name: names[index - index % size] for index, name in enumerate(names)}


def _child_path(path, key):
    """Return the path of ``key`` in the object at ``path``."""
    if _NAME.fullmatch(key):
        return f"{path}.{key}"
    return f"{path}[{json.dumps(key)}]"


class _Validator:
    """Reads values and collects problems, each with the path of the invalid value."""

    __slots__ = ("problems",)

    def __init__(self):
        self.problems = []

    def add_problem(self, path, problem):
        self.problems.append(f"{path}: {problem}")

    def read(self, container, key, kind, path, default=None):
        """Return the value at ``key``, or None after adding a type problem."""
        value = container.get(key, default)
        if not isinstance(value, kind) or isinstance(value, bool):
            self.add_problem(f"{path}.{key}", f"must be of type {kind.__name__}")
            return None
        return value

    def check_unknown_fields(self, container, known, path):
        """Add a problem for each key of ``container`` that is not in ``known``."""
        for key in container:
            if key not in known:
                self.add_problem(_child_path(path, key), "unknown field")

    def read_name(self, container, key, path):
        """Return the name at ``key``, or None after adding a problem."""
        value = self.read(container, key, str, path)
        if value is not None and not _NAME.fullmatch(value):
            self.add_problem(f"{path}.{key}", f"{_abbreviate(value)} {NAME_RULE}")
            return None
        return value


def _read_defaults(validator, body):
    values = {name: SETTINGS.get(name).default for name in SETTINGS.names()}
    given = validator.read(body, "defaults", dict, "$", {})
    for name, value in (given or {}).items():
        path = _child_path("$.defaults", name)
        if name not in SETTINGS:
            validator.add_problem(path, "unknown setting")
            continue
        problem = SETTINGS.get(name).find_problem(value)
        if problem:
            validator.add_problem(path, problem)
        else:
            values[name] = value
    return values


def _read_shard(validator, item, path):
    if not isinstance(item, dict):
        validator.add_problem(path, "must be an object")
        return None
    validator.check_unknown_fields(item, ("name", "low", "high", "service"), path)
    name = validator.read_name(item, "name", path)
    low = validator.read(item, "low", int, path)
    high = validator.read(item, "high", int, path)
    service = validator.read_name(item, "service", path)
    if None in (name, low, high, service):
        return None
    if not 0 <= low < high <= KEY_SPACE:
        validator.add_problem(
            path, f"range [{low}, {high}) is not within [0, {KEY_SPACE})"
        )
        return None
    return Shard(name, KeyRange(low, high), service)


def _read_shard_map(validator, item, path):
    if not isinstance(item, dict):
        validator.add_problem(path, "must be an object")
        return None
    validator.check_unknown_fields(item, ("epoch", "shards"), path)
    epoch = validator.read(item, "epoch", int, path)
    shards = validator.read(item, "shards", list, path)
    if epoch is not None and not 0 <= epoch <= MAX_EPOCH:
        validator.add_problem(
            f"{path}.epoch", f"{_abbreviate(epoch)} is not within 0 and {MAX_EPOCH}"
        )
        return None
    if epoch is None or shards is None:
        return None
    problems_before = len(validator.problems)
    parsed = [
        _read_shard(validator, shard, f"{path}.shards[{index}]")
        for index, shard in enumerate(shards)
    ]
    if len(validator.problems) > problems_before:
        return None
    names = [shard.name for shard in parsed]
    if len(set(names)) != len(names):
        validator.add_problem(f"{path}.shards", "shard names are not unique")
        return None
    try:
        return ShardMap(epoch, parsed)
    except ConfigurationError as exc:
        for problem in exc.problems:
            validator.add_problem(f"{path}.shards", problem)
        return None


def _read_workload(validator, name, item):
    path = _child_path("$.workloads", name)
    if not _NAME.fullmatch(name):
        validator.add_problem(path, f"the name {NAME_RULE}")
        return None
    if not isinstance(item, dict):
        validator.add_problem(path, "must be an object")
        return None
    validator.check_unknown_fields(item, ("shard_maps",), path)
    maps = validator.read(item, "shard_maps", list, path)
    if maps is None:
        return None
    if not 1 <= len(maps) <= MAX_SHARD_MAPS:
        validator.add_problem(
            f"{path}.shard_maps", f"must hold 1 to {MAX_SHARD_MAPS} maps"
        )
    parsed = {}
    for index, entry in enumerate(maps):
        map_path = f"{path}.shard_maps[{index}]"
        shard_map = _read_shard_map(validator, entry, map_path)
        if shard_map is None:
            continue
        if shard_map.epoch in parsed:
            validator.add_problem(
                f"{map_path}.epoch", f"epoch {shard_map.epoch} appears twice"
            )
        parsed[shard_map.epoch] = shard_map
    return Workload(name, parsed)


def _read_exception_target(validator, item, path):
    named = [scope for scope in (WORKLOAD, SERVICE) if scope in item]
    if len(named) != 1:
        validator.add_problem(path, "must name exactly one workload or service")
        return None, None
    target = validator.read(item, named[0], str, path)
    return named[0], target


def _read_exception(validator, item, path, known_targets):
    """Return the exception as a dict, or None when it has a problem."""
    problems_before = len(validator.problems)
    if not isinstance(item, dict):
        validator.add_problem(path, "must be an object")
        return None
    validator.check_unknown_fields(
        item, (WORKLOAD, SERVICE, "setting", "value", "reason"), path
    )
    scope, target = _read_exception_target(validator, item, path)
    name = validator.read(item, "setting", str, path)
    reason = validator.read(item, "reason", str, path, "")
    if reason is not None and len(reason.strip()) < MIN_REASON_LENGTH:
        validator.add_problem(
            f"{path}.reason", f"must be text of at least {MIN_REASON_LENGTH} characters"
        )
    if scope is None or target is None or name is None:
        return None
    if target not in known_targets[scope]:
        validator.add_problem(
            f"{path}.{scope}", f"{_abbreviate(target)} is not in the configuration"
        )
    if name not in SETTINGS:
        validator.add_problem(f"{path}.setting", f"unknown setting {_abbreviate(name)}")
        return None
    setting = SETTINGS.get(name)
    if setting.scope != scope:
        validator.add_problem(
            f"{path}.setting", f"{name} is a setting of a {setting.scope}"
        )
    problem = setting.find_problem(item.get("value"))
    if problem:
        validator.add_problem(f"{path}.value", problem)
    if len(validator.problems) > problems_before:
        return None
    return {
        "scope": scope,
        "target": target,
        "setting": name,
        "value": item.get("value"),
        "reason": reason,
    }


def _read_exceptions(validator, body, workloads):
    targets = {WORKLOAD: set(workloads), SERVICE: set()}
    for workload in workloads.values():
        targets[SERVICE].update(workload.services())
    exceptions = []
    seen = set()
    items = validator.read(body, "exceptions", list, "$", [])
    for index, item in enumerate(items or []):
        path = f"$.exceptions[{index}]"
        exception = _read_exception(validator, item, path, targets)
        if exception is None:
            continue
        key = (exception["scope"], exception["target"], exception["setting"])
        if key in seen:
            validator.add_problem(path, "a second exception for the same setting")
        seen.add(key)
        exceptions.append(exception)
    return exceptions


def _check_deadlines(validator, cfg):
    for name in cfg.workloads:
        soft = cfg.workload_setting(name, "soft_deadline_ms")
        hard = cfg.workload_setting(name, "deadline_ms")
        if soft > hard:
            validator.add_problem(
                f"$.workloads.{name}",
                f"soft_deadline_ms {soft} is above deadline_ms {hard}",
            )


def parse_configuration(body, revision=0):
    """Validate ``body``, the decoded JSON document, and return a ``Configuration``.

    Raises ``ConfigurationError``. Its ``problems`` lists all invalid values with their
    paths, for example ``$.defaults.hedge_budget: 2 is above the maximum 1``.
    """
    validator = _Validator()
    if not isinstance(body, dict):
        raise ConfigurationError(["$: must be an object"])
    validator.check_unknown_fields(body, ("defaults", "exceptions", "workloads"), "$")
    defaults = _read_defaults(validator, body)
    workloads = {}
    for name, item in (validator.read(body, "workloads", dict, "$") or {}).items():
        workload = _read_workload(validator, name, item)
        if workload is not None:
            workloads[name] = workload
    exceptions = _read_exceptions(validator, body, workloads)
    cfg = Configuration(revision, defaults, exceptions, workloads)
    if not validator.problems:
        # The deadlines can only be compared when all values are valid.
        _check_deadlines(validator, cfg)
    if validator.problems:
        raise ConfigurationError(validator.problems)
    return cfg


def check_document_size(body):
    """Raise ``ConfigurationError`` if ``body`` exceeds ``MAX_DOCUMENT_BYTES``."""
    size = len(orjson.dumps(body))
    if size > MAX_DOCUMENT_BYTES:
        raise ConfigurationError(
            [f"$: {size} bytes of compact JSON are over {MAX_DOCUMENT_BYTES}"]
        )
