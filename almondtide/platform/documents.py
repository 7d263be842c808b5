"""Decoders of the store's documents: the configuration and entries of servers.

An entry in this module is the registration of a server in the store.
"""

import orjson

from ..errors import DocumentError
from ..model.published import CallerLimits, Configuration, Route, Server, ServiceInfo
from .fields import Fields

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "SERVER_PREFIX",
    "decode_configuration",
    "decode_evacuated_domain",
    "decode_server",
]

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# All keys of the operator, among them the configuration.
OPERATOR_PREFIX = "op/"
# Followed by the name of a failure domain. The key alone requests its evacuation.
EVACUATION_PREFIX = "op/evacuate/"
# Longest part of an invalid name in an error message.
MAX_SHOWN_NAME = 40
SECONDS_PER_MS = 0.001


def _load_json(raw, name):
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise DocumentError(f"{name}: not valid JSON: {exc}") from exc


def decode_configuration(raw):
    """Return the ``Configuration`` of a JSON document; raises ``DocumentError``."""
    fields = Fields(_load_json(raw, "configuration"))
    limits = fields.object("limits")
    defaults = CallerLimits()
    configuration = Configuration(
        fields.integer("version"),
        [_decode_route(route) for route in fields.objects("routes")],
        [_decode_service(service) for service in fields.objects("services")],
        CallerLimits(
            limits.integer("max_header_bytes", defaults.max_header_bytes, 1),
            limits.integer("max_body_bytes", defaults.max_body_bytes),
            limits.number("header_timeout_ms", defaults.header_timeout_s * 1e3)
            * SECONDS_PER_MS,
            limits.number("idle_timeout_ms", defaults.idle_timeout_s * 1e3)
            * SECONDS_PER_MS,
        ),
    )
    if fields.problems:
        raise DocumentError("configuration: " + "; ".join(fields.problems[:10]))
    return configuration


def _decode_route(fields):
    shards = fields.strings("gather", [])
    weighted_services = [
        (split.string("service"), split.number("weight"))
        for split in fields.objects("traffic_split", [])
    ]
    if not shards and not weighted_services:
        weighted_services = [(fields.string("service"), 1)]
    route_type = fields.string("route_type")
    timeout_ms = fields.number("timeout_ms", 30_000)
    return Route(
        fields.string("name"),
        fields.string("host"),
        fields.string("prefix"),
        # Requests of any type other than "safe" may run at most once.
        is_idempotent=route_type == "safe" or bool(shards),
        weighted_services=weighted_services,
        shards=shards,
        max_servers=fields.integer("max_attempts", 1, 1),
        timeout_s=timeout_ms * SECONDS_PER_MS,
        objective_s=fields.number("target_latency_ms", timeout_ms) * SECONDS_PER_MS,
        # In the platform's "priority" 0 is the highest.
        priority_rank=fields.number("priority", 0),
        top_records=fields.integer("top_k", 0),
        min_coverage=fields.number("min_coverage", 0),
        allowed_regions=fields.strings("allowed_regions", []),
    )


def _decode_service(fields):
    return ServiceInfo(
        fields.string("name"),
        fields.string("health_path", "/health"),
        fields.integer("max_connections", 1 << 16, 1),
        fields.number("warmup_s", 0.0),
        # The platform writes 0 for a service that states no bound.
        fields.number("warmup_per_s", 0.0) or None,
    )


def decode_server(key, raw):
    """Return the ``Server`` of an entry; raises ``DocumentError``.

    Other programs may write to the store too, so an entry may contain anything.
    """
    if raw is None:
        raise DocumentError(f"{key}: no value")
    if key == SERVER_PREFIX:
        raise DocumentError(f"{key}: no id")
    fields = Fields(_load_json(raw, key))
    state = fields.string("state")
    server = Server(
        key[len(SERVER_PREFIX) :],
        fields.string("service"),
        fields.address("address"),
        fields.string("zone"),
        fields.integer("capacity", minimum=1),
        leaving=state == "draining",
        # "warmup_left_ms" counts down; only whether it reached 0 matters here.
        cold=(fields.number("warmup_left_ms") or 0) > 0,
        born_ms=fields.integer("born", 0),
    )
    # These fields are checked only; their values are not used.
    fields.integer("sequence")
    fields.string("version")
    if state not in ("ready", "draining"):
        fields.problems.append(f"state: {state!r} is unknown")
    if fields.problems:
        raise DocumentError(f"{key}: " + "; ".join(fields.problems[:10]))
    return server


def decode_evacuated_domain(key, domains):
    """Return the failure domain that a key evacuates; raises ``DocumentError``.

    It must be one of ``domains``, those of the deployment.
    """
    domain = key[len(EVACUATION_PREFIX) :]
    if domain not in domains:
        shown = domain[:MAX_SHOWN_NAME]
        raise DocumentError(f"evacuation: {shown!r} is no failure domain")
    return domain
