"""Reports of a daemon for operators: gauges, limits, connections."""

import resource

from curio.traps import _get_kernel

__all__ = ["connection_counts", "gauge_values", "get_task_table", "limits_report"]

KIB = 1024


async def get_task_table():
    """Return the live dict of the tasks of this process.

    curio shows its task table only in its own monitor, which needs a console.
    """
    kernel = await _get_kernel()
    return kernel._tasks


def connection_counts(listeners):
    """Return the open connections of each of ``listeners``, a dict by name."""
    return {name: listener.connections for name, listener in listeners.items()}


def limits_report(settings, listeners):
    """Return the limits of the process with what is in use where it is counted."""
    used = connection_counts(listeners)
    return {
        "max_connections": {"limit": settings.max_connections, "used": used["caller"]},
        "max_body_bytes": {"limit": settings.max_body_bytes},
        "max_header_bytes": {"limit": settings.max_header_bytes},
        "drain_timeout_s": {"limit": settings.drain_timeout_s},
        "event_capacity": {"limit": settings.event_capacity},
    }


def gauge_values(owners, view, listeners, events):
    """Return the gauges that describe services, members, connections, events.

    ``owners`` is the list of ``ServiceOwners.describe``.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    members = {"live": len(view.live_entries()), "leaving": 0, "gone": 0}
    for instance in view.entries:
        if instance in view.leaving:
            members["leaving"] += 1
        elif instance in view.gone:
            members["gone"] += 1
    return {
        "queue_length": _by_service(owners, lambda o: o["queued"] + o["front"]),
        "in_flight": _by_service(
            owners, lambda o: sum(server["in_flight"] for server in o["servers"])
        ),
        "upstream_connections": _by_service(
            owners, lambda o: sum(server["connections"] for server in o["servers"])
        ),
        "services_owned": sum(1 for owner in owners if owner["is_owner"]),
        "members": _by_label("state", members),
        "connections": _by_label("listener", connection_counts(listeners)),
        "events_dropped": _by_label(
            "ring", {"daemon": events.dropped, "requests": events.dropped_requests}
        ),
        "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 3),
        "resident_peak_bytes": usage.ru_maxrss * KIB,
    }


def _by_label(label, values):
    return {((label, key),): value for key, value in values.items()}


def _by_service(owners, value):
    return _by_label("service", {owner["service"]: value(owner) for owner in owners})
