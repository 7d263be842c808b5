"""Configuration documents for tests."""

from standins.fleet import shard_map

__all__ = ["make_document"]


def make_document(services=3, epochs=(1,), defaults=None, exceptions=()):
    """Return a document with the workload ``advisory``, one shard per service.

    ``services`` is the number of services, ``epochs`` the epochs of the shard maps.
    """
    names = [f"advisory-{number}" for number in range(services)]
    maps = [shard_map(epoch, names) for epoch in epochs]
    return {
        "defaults": defaults or {},
        "exceptions": list(exceptions),
        "workloads": {"advisory": {"shard_maps": maps}},
    }
