"""Helpers for the tests of the entry daemon."""

import orjson

from almondtide.entry.calls import NO_TRANSIT_TIME, Call
from almondtide.model.http_messages import Reply, Request
from almondtide.model.published import Configuration, Route, Server
from almondtide.platform.settings import decode_settings


def settings_document(**changes):
    """Return a settings document as the platform writes it."""
    document = {
        "node_name": "front-lautoka-1",
        "role": "entry",
        "ip": "10.1.0.39",
        "zone": "lautoka",
        "region": "viti-levu",
        "zones": {"suva": "viti-levu", "lautoka": "viti-levu", "nadi": "viti-levu"},
        "listen": {
            "front": "10.1.0.39:8226",
            "readiness": "10.1.0.39:8227",
            "control": "10.1.0.39:8224",
            "directory": "10.1.0.39:8225",
        },
        "port_range": [7740, 7755],
        "seeds": ["10.1.0.39:8224", "10.2.0.33:8224"],
        "limits": {"cpu_share": 0.731, "cores": 1, "memory_mb": 222},
        "bounds": {
            "drain_ms": 3000,
            "grace_s": 6,
            "config_apply_ms": 3000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 116,
            "ttl_max_s": 5,
        },
        "platform": {"address": "10.200.1.7:8229", "form": "read"},
    }
    document.update(changes)
    return document


def memory_settings(memory_bytes):
    """Return ``Settings`` with a memory limit in bytes, None for no limit."""
    limits = {"cpu_share": 0.731, "cores": 1}
    if memory_bytes is not None:
        limits["memory_mb"] = memory_bytes / 1_000_000
    return decode_settings(orjson.dumps(settings_document(limits=limits)))


def make_server(id, service="a", domain="lautoka", slots=3, port=None, **fields):
    """Return a ``Server``; its default port is 8000 plus the number in the id."""
    number = port or 8000 + int("".join(c for c in id if c.isdigit()) or 0)
    return Server(id, service, ("127.0.0.1", number), domain, slots, **fields)


def make_route(shards=(), weighted_services=(("a", 1),), **fields):
    """Return an idempotent ``Route`` on one service or on shards."""
    options = {
        "is_idempotent": True,
        "max_servers": 2,
        "timeout_s": 1.0,
        "objective_s": 0.15,
        "top_records": 3,
        "min_coverage": 0.75 if shards else 0.0,
    }
    options.update(fields)
    return Route(
        "r",
        "h",
        "/p/",
        shards=shards,
        weighted_services=() if shards else weighted_services,
        **options,
    )


def make_call(
    route, allowed_s=0.8, arrived_at=100.0, services=None, transit_time=NO_TRANSIT_TIME
):
    """Return a ``Call`` on a route."""
    request = Request("GET", "/p/x", "h", "id-1", allowed_s, [(b"host", b"h")], b"")
    services = services or route.shards or (route.weighted_services[0][0],)
    return Call(
        request, route, services, Configuration(1, [route]), arrived_at, transit_time
    )


def make_reply(body=b"", server_stamp=b"s", status=200, **fields):
    """Return a ``Reply`` with a server stamp."""
    reply = Reply(status, [], body)
    reply.server_stamp = server_stamp
    for name, value in fields.items():
        setattr(reply, name, value)
    return reply
