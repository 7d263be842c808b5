"""Types of the published state: routes, services, servers, settings."""

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "Server",
    "ServiceInfo",
    "Settings",
]


class _Record:
    """A plain class with slots that compares and prints by its fields."""

    __slots__ = ()

    def _fields(self):
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other):
        return type(self) is type(other) and self._fields() == other._fields()

    def __hash__(self):
        return hash(self._fields())

    def __repr__(self):
        pairs = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({pairs})"


class Route(_Record):
    """How requests with one host and path prefix are served.

    A route has either ``choices``, pairs of (service, weight) of which one serves
    each request, or ``shards``, services that all take part in each request.
    ``timeout_s`` is the longest time a caller is kept waiting, ``objective_s`` the
    time within which an answer has its full value. ``rank`` 0 is the most urgent.
    """

    __slots__ = (
        "choices",
        "host",
        "is_idempotent",
        "max_servers",
        "min_coverage",
        "name",
        "objective_s",
        "prefix",
        "rank",
        "shards",
        "timeout_s",
        "top_records",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        *,
        is_idempotent,
        choices=(),
        shards=(),
        max_servers=1,
        timeout_s=30.0,
        objective_s=None,
        rank=0,
        top_records=0,
        min_coverage=0.0,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.is_idempotent = is_idempotent
        self.choices = tuple(choices)
        self.shards = tuple(shards)
        self.max_servers = max_servers
        self.timeout_s = timeout_s
        self.objective_s = objective_s if objective_s is not None else timeout_s
        self.rank = rank
        self.top_records = top_records
        self.min_coverage = min_coverage

    @property
    def services(self):
        """Names of all services that the route may reach."""
        return self.shards or tuple(name for name, _ in self.choices)


class ServiceInfo(_Record):
    """A service as it is configured."""

    __slots__ = ("health_path", "max_connections", "name")

    def __init__(self, name, health_path, max_connections):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections


class CallerLimits(_Record):
    """Bounds on what callers send; sizes in bytes, times in seconds."""

    __slots__ = ("header_timeout_s", "idle_timeout_s", "max_body", "max_header")

    def __init__(
        self,
        max_header=16384,
        max_body=262144,
        header_timeout_s=10.0,
        idle_timeout_s=75.0,
    ):
        self.max_header = max_header
        self.max_body = max_body
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration(_Record):
    """One published configuration; a greater ``version`` is newer."""

    __slots__ = ("limits", "routes", "services", "version")

    def __init__(self, version, routes=(), services=(), limits=None):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits or CallerLimits()

    def __hash__(self):
        return hash(self.version)


class Server(_Record):
    """One registered server.

    ``born_ms`` tells its lives apart, since a server may start again under its id.
    ``cold`` means that it has started lately and is still slow.
    """

    __slots__ = (
        "address",
        "born_ms",
        "cold",
        "domain",
        "id",
        "leaving",
        "service",
        "slots",
    )

    def __init__(
        self, id, service, address, domain, slots, leaving=False, cold=False, born_ms=0
    ):
        self.id = id
        self.service = service
        self.address = address
        self.domain = domain
        self.slots = slots
        self.leaving = leaving
        self.cold = cold
        self.born_ms = born_ms


class Settings(_Record):
    """Settings of one process; addresses are (host, port), times in seconds."""

    __slots__ = (
        "caller_address",
        "config_apply_s",
        "control_address",
        "core_share",
        "directory_address",
        "domain",
        "domains",
        "drain_s",
        "extra_ratio",
        "extra_slack",
        "extra_window_s",
        "gossip_address",
        "grace_s",
        "heartbeat_s",
        "instance",
        "is_first_start",
        "max_ttl_s",
        "metrics_address",
        "readiness_address",
        "region",
        "seeds",
        "store_address",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def __hash__(self):
        return hash(self.instance)
