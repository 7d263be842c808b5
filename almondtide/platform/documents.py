"""Documents in the platform's store: the configuration and servers' entries."""

import orjson

from ..entry.model import CallerLimits, Configuration, Route, Server, ServiceInfo
from ..errors import DocumentError
from .fields import Fields

__all__ = [
    "CONFIGURATION_KEY",
    "SERVER_PREFIX",
    "decode_configuration",
    "decode_server",
]

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
MS = 0.001


def _load(raw, what):
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise DocumentError(f"{what}: not valid JSON: {exc}") from exc


def decode_configuration(raw):
    """Return the ``Configuration`` of a document; raises ``DocumentError``."""
    fields = Fields(_load(raw, "configuration"))
    limits = fields.table("limits")
    defaults = CallerLimits()
    configuration = Configuration(
        fields.whole("version"),
        [_decode_route(route) for route in fields.tables("routes")],
        [_decode_service(service) for service in fields.tables("services")],
        CallerLimits(
            limits.whole("max_header_bytes", defaults.max_header_bytes, 1),
            limits.whole("max_body_bytes", defaults.max_body_bytes),
            limits.number("header_timeout_ms", defaults.header_timeout_s * 1e3) * MS,
            limits.number("idle_timeout_ms", defaults.idle_timeout_s * 1e3) * MS,
        ),
    )
    if fields.problems:
        raise DocumentError("configuration: " + "; ".join(fields.problems[:10]))
    return configuration


def _decode_route(fields):
    shards = fields.texts("gather", [])
    traffic_split = [
        (split.text("service"), split.number("weight"))
        for split in fields.tables("traffic_split", [])
    ]
    if not shards and not traffic_split:
        traffic_split = [(fields.text("service"), 1)]
    route_type = fields.text("route_type")
    timeout_ms = fields.number("timeout_ms", 30_000)
    return Route(
        fields.text("name"),
        fields.text("host"),
        fields.text("prefix"),
        # Any other kind than "safe" may run once at most.
        is_idempotent=route_type == "safe" or bool(shards),
        traffic_split=traffic_split,
        shards=shards,
        max_servers=fields.whole("max_attempts", 1, 1),
        timeout_s=timeout_ms * MS,
        objective_s=fields.number("target_latency_ms", timeout_ms) * MS,
        # The platform's "priority" is a rank: 0 is the highest.
        priority_rank=fields.number("priority", 0),
        top_records=fields.whole("top_k", 0),
        min_coverage=fields.number("min_coverage", 0),
    )


def _decode_service(fields):
    return ServiceInfo(
        fields.text("name"),
        fields.text("health_path", "/health"),
        fields.whole("max_connections", 1 << 16, 1),
    )


def decode_server(key, raw):
    """Return the ``Server`` of an entry; raises ``DocumentError``.

    An entry of another writer may hold anything; it names no server then.
    """
    if raw is None:
        raise DocumentError(f"{key}: no value")
    fields = Fields(_load(raw, key))
    state = fields.text("state")
    server = Server(
        key[len(SERVER_PREFIX) :],
        fields.text("service"),
        fields.address("address"),
        fields.text("zone"),
        fields.whole("capacity", least=1),
        leaving=state == "draining",
        # "warmup_left_ms" counts down; only whether it has ended matters here.
        cold=(fields.number("warmup_left_ms") or 0) > 0,
        born_ms=fields.whole("born", 0),
    )
    fields.whole("sequence")
    fields.text("version")
    if state not in ("ready", "draining"):
        fields.problems.append(f"state: {state!r} is unknown")
    if fields.problems:
        raise DocumentError(f"{key}: " + "; ".join(fields.problems[:10]))
    return server
