"""Explains where a request would go now, and why, without sending it.

Answers an operator's question under any load: which server would get the request, what
keeps it from the others, and whether it would be admitted at all. Nothing is counted,
queued or sent; a later request may find another state.
"""

import orjson

from ..adapters.http import HTTPResponse
from ..model.http_messages import Request
from .calls import Call

__all__ = ["PLACEMENT_PATH", "explain_placement", "serve_placement"]

PLACEMENT_PATH = "/placement"
# Largest body, in bytes, that a question may name.
MAX_BODY_BYTES = 1 << 30


def explain_placement(dispatcher, table, routes, host, path, body_bytes=0):
    """Return an explanation as a dict that can be encoded as JSON.

    ``routes`` is the ``RouteTable``, or None without a configuration. A route with
    weighted services has one alternative for each, any other route has one.
    """
    now = dispatcher.now()
    result = {"host": host, "path": path, "route": None, "alternatives": []}
    if routes is None:
        result["reason"] = "no configuration yet"
        return result
    route = routes.find_route(host, path)
    if route is None:
        result["reason"] = "no route"
        return result
    result["route"] = route.name
    result["rank"] = route.priority_rank
    result["regions"] = list(route.allowed_regions)
    choices = [(route.shards, None)]
    if not route.shards:
        choices = [((name,), weight) for name, weight in route.weighted_services]
    for services, weight in choices:
        request = Request("GET", path, host, "", None, [], b"")
        call = Call(request, route, services, routes.configuration, now)
        states, decision = dispatcher.preview(call)
        alternative = {
            "weight": weight,
            "is_admitted": decision.is_admitted,
            "reason": decision.reason,
            "needed": call.needed_count,
            "retry_after_ms": None,
            "services": [
                _explain_service(dispatcher, table, route, service, state, body_bytes)
                for service, state in zip(services, states, strict=True)
            ],
        }
        if not decision.is_admitted:
            least_s = dispatcher.least_retry_after_s(call)
            alternative["retry_after_ms"] = round(least_s * 1000)
        result["alternatives"].append(alternative)
    return result


def _explain_service(dispatcher, table, route, service, state, body_bytes):
    now = dispatcher.now()
    ratio = dispatcher.objective_ratio(route, service, now)
    domains = dispatcher.allowed_domains(route)
    servers = [
        _explain_server(table, upstream, now, ratio, domains, body_bytes)
        for upstream in table.upstreams_of(service)
    ]
    servers.sort(key=lambda server: (bool(server["obstacle"]), server["cost"]))
    free = [server for server in servers if not server["obstacle"]]
    return {
        "service": service,
        "state": state.value,
        "waiting": dispatcher.queue_length(service),
        "chosen": free[0]["id"] if free else None,
        "servers": servers,
    }


def _explain_server(table, upstream, now, ratio, domains, body_bytes):
    server = upstream.server
    obstacle = table.obstacle(upstream, now, ratio, body_bytes=body_bytes)
    if domains is not None and server.domain not in domains:
        obstacle = "outside the regions of the route"
    limits = (upstream.rate_limit, upstream.warmup_limit)
    rates = [limit.rate for limit in limits if limit is not None]
    return {
        "id": server.id,
        "domain": server.domain,
        "cost": round(upstream.cost(now, table.domain), 3),
        "obstacle": obstacle,
        "in_progress": upstream.in_flight,
        "pace": round(upstream.pace(now), 2),
        "slowness": round(upstream.slowness(now), 2),
        "failure_rate": round(upstream.failure_rate(now), 2),
        "is_on_probation": upstream.health.is_on_probation(now),
        "is_cold": server.cold or upstream.warmup_limit is not None,
        "is_leaving": upstream.is_leaving,
        "is_evacuated": upstream.is_evacuated,
        "has_report": upstream.has_report(now),
        "rate_per_s": min(rates, default=None),
        "pause_ms": round(max(0.0, upstream.paused_until - now) * 1000),
    }


def serve_placement(dispatcher, table, routes, request):
    """Answer a question on the control address: host, path and body size."""
    # Imported here because only entries that are asked should spend its memory.
    from urllib.parse import parse_qs

    fields = parse_qs(request.query)
    host, path, size = (
        fields.get(name, [default])[0]
        for name, default in (("host", ""), ("path", "/"), ("body_bytes", "0"))
    )
    if not host or not size.isdecimal() or int(size) > MAX_BODY_BYTES:
        return HTTPResponse(400, b'{"error":"host, path and body_bytes are needed"}')
    answer = explain_placement(dispatcher, table, routes, host.lower(), path, int(size))
    return HTTPResponse(200, orjson.dumps(answer), {"content-type": "application/json"})
