"""Types of the published state: routes, services, servers and settings."""

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "Server",
    "ServiceInfo",
    "Settings",
]


class _Record:
    """Base class with comparison, hash and ``repr`` by all fields in ``__slots__``."""

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

    A route has either ``weighted_services``, pairs of (service, weight) of which one
    service handles each request, or ``shards``, services that all handle a part of
    each request. ``timeout_s`` is the longest time until an answer, ``objective_s``
    the latency objective. ``priority_rank`` 0 is the most urgent. ``max_servers``
    limits the servers that may run one request. Of merged records the greatest
    ``top_records`` are returned, if the share of shards that answered is at least
    ``min_coverage``. With ``allowed_regions`` only servers of these regions may run its
    requests.
    """

    __slots__ = (
        "allowed_regions",
        "host",
        "is_idempotent",
        "max_servers",
        "min_coverage",
        "name",
        "objective_s",
        "prefix",
        "priority_rank",
        "shards",
        "timeout_s",
        "top_records",
        "weighted_services",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        *,
        is_idempotent,
        weighted_services=(),
        shards=(),
        max_servers=1,
        timeout_s=30.0,
        objective_s=None,
        priority_rank=0,
        top_records=0,
        min_coverage=0.0,
        allowed_regions=(),
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.is_idempotent = is_idempotent
        self.weighted_services = tuple(weighted_services)
        self.shards = tuple(shards)
        self.max_servers = max_servers
        self.timeout_s = timeout_s
        self.objective_s = objective_s if objective_s is not None else timeout_s
        self.priority_rank = priority_rank
        self.top_records = top_records
        self.min_coverage = min_coverage
        self.allowed_regions = tuple(allowed_regions)

    @property
    def services(self):
        """Names of all services that requests of the route may use."""
        return self.shards or tuple(name for name, _ in self.weighted_services)


class ServiceInfo(_Record):
    """The configuration of a service.

    Its servers are cold for ``warmup_s`` after they start, and tolerate
    ``warmup_per_s`` requests a second meanwhile; None stands for no bound.
    """

    __slots__ = (
        "health_path",
        "max_connections",
        "name",
        "warmup_per_s",
        "warmup_s",
    )

    def __init__(
        self, name, health_path, max_connections, warmup_s=0.0, warmup_per_s=None
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.warmup_s = warmup_s
        self.warmup_per_s = warmup_per_s


class CallerLimits(_Record):
    """Limits on the requests and connections of callers."""

    __slots__ = (
        "header_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        max_header_bytes=16384,
        max_body_bytes=262144,
        header_timeout_s=10.0,
        idle_timeout_s=75.0,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s

    def most_generous(self, other):
        """Return limits of which each is the greater one of two."""
        pairs = zip(self._fields(), other._fields(), strict=True)
        names = self.__slots__
        return CallerLimits(**dict(zip(names, map(max, pairs), strict=True)))


class Configuration(_Record):
    """One published configuration; ``version`` grows with each."""

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

    ``born_ms`` is its start time, which tells restarts under the same id apart.
    ``leaving`` means that it drains, ``cold`` that it has started recently and is
    still slow. ``slots`` is the number of requests that it runs at the same time.

    The digest that daemons compare includes the ``repr`` of this class, so a renamed
    class or field changes the protocol between them.
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

    def is_same_incarnation(self, other):
        """Return whether the other server is the same start of the same server."""
        return (self.id, self.service, self.address, self.born_ms) == (
            other.id,
            other.service,
            other.address,
            other.born_ms,
        )

    def as_leaving(self):
        """Return a copy that is leaving."""
        return Server(
            self.id,
            self.service,
            self.address,
            self.domain,
            self.slots,
            True,
            self.cold,
            self.born_ms,
        )


class Settings(_Record):
    """Settings of one process; addresses are pairs (host, port), times in seconds.

    A leaving server serves for ``drain_s`` after the store accepted its announcement.
    The platform kills a process ``grace_s`` after it asked it to stop. A changed
    configuration must be in force everywhere within ``config_apply_s``. The fields
    ``extra_ratio``, ``extra_slack`` and ``extra_window_s`` are the ratio, slack and
    window of ``RetryBudget``. ``core_share`` is the share of a processor core, scaled
    by the core's speed. ``memory_bytes`` is the memory limit of the process, or None.
    ``region_of_domain`` maps failure domains to regions.

    Some fields switch on behaviour that a deployment asks for, and are None or False
    elsewhere. ``evacuate_s`` is the time within which requests to an evacuated failure
    domain end. A cold server may get ``warmup_overshoot`` times the rate that it
    tolerates and ``warmup_slack`` requests more in a second. ``sheds_by_cost`` tells
    that work is delayed and refused by what that costs callers. The path to the
    platform counts as sound after ``contact_s`` without a disturbance. With
    ``spans_domains`` the deployment bears the loss of a failure domain, so that callers
    may be sent to entries of another one.

    Log lines of reloads list changed settings by the names of these fields.
    """

    __slots__ = (
        "caller_address",
        "config_apply_s",
        "contact_s",
        "control_address",
        "core_share",
        "directory_address",
        "domain",
        "domains",
        "drain_s",
        "evacuate_s",
        "extra_ratio",
        "extra_slack",
        "extra_window_s",
        "gossip_address",
        "grace_s",
        "heartbeat_s",
        "instance",
        "is_first_start",
        "max_ttl_s",
        "memory_bytes",
        "metrics_address",
        "readiness_address",
        "region",
        "region_of_domain",
        "seeds",
        "sheds_by_cost",
        "spans_domains",
        "store_address",
        "warmup_overshoot",
        "warmup_slack",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def __hash__(self):
        return hash(self.instance)
