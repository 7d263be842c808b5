"""Reports of a daemon for operators: gauges, limits and connection counts."""

import resource

from curio.traps import _get_kernel

__all__ = ["connection_counts", "gauge_values", "get_task_table", "limits_report"]

BYTES_PER_KIB = 1024


async def get_task_table():
    """Return the dict of the tasks of this process, which curio keeps up to date.

    curio has no public function for it; its monitor needs a console.
    """
    kernel = await _get_kernel()
    return kernel._tasks


def connection_counts(listeners):
    """Return a dict from listener name to its number of open connections."""
    return {name: listener.connection_count for name, listener in listeners.items()}


def limits_report(settings, listeners):
    """Return the limits of the process, with the number in use for connections."""
    used = connection_counts(listeners)
    return {
        "max_connections": {"limit": settings.max_connections, "used": used["caller"]},
        "max_body_bytes": {"limit": settings.max_body_bytes},
        "max_header_bytes": {"limit": settings.max_header_bytes},
        "drain_timeout_s": {"limit": settings.drain_timeout_s},
        "event_capacity": {"limit": settings.event_capacity},
    }


def gauge_values(owners, view, listeners, events):
    """Return the gauges of services, members, connections, events and resources.

    ``owners`` is the list that ``ServiceOwners.describe`` returns.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    members = {"live": len(view.live_entries()), "leaving": 0, "gone": 0}
    for instance in view.entries:
        if instance in view.leaving:
            members["leaving"] += 1
        elif instance in view.suspected:
            members["gone"] += 1
    return {
        # "front" is the number of sub-requests that wait ahead of the queue.
        "queue_length": _by_service(
            owners, lambda report: report["queued"] + report["front"]
        ),
        "in_flight": _by_service(
            owners,
            lambda report: sum(server["in_flight"] for server in report["servers"]),
        ),
        "upstream_connections": _by_service(
            owners,
            lambda report: sum(server["connections"] for server in report["servers"]),
        ),
        "services_owned": sum(1 for owner in owners if owner["is_owner"]),
        "members": _by_label("state", members),
        "connections": _by_label("listener", connection_counts(listeners)),
        "events_dropped": _by_label(
            "ring", {"daemon": events.dropped, "requests": events.dropped_requests}
        ),
        "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 3),
        "resident_peak_bytes": usage.ru_maxrss * BYTES_PER_KIB,
    }


def _by_label(label, values):
    """Return a dict from ((label, key),) to value, as ``Metrics`` expects it."""
    return {((label, key),): value for key, value in values.items()}


def _by_service(owners, value):
    return _by_label("service", {owner["service"]: value(owner) for owner in owners})
