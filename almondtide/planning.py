"""Choice of the snapshot of a query.

A snapshot is a pair of an index version and an epoch of the shard map.
"""

from .errors import RefusedError, ResultCode

__all__ = ["Plan", "SnapshotCatalog"]

SNAPSHOT_RETRY_AFTER_MS = 100


class Plan:
    """The snapshot of a query and the key ranges that each service must answer."""

    __slots__ = ("epoch", "shard_map", "version")

    def __init__(self, version, epoch, shard_map):
        self.version = version
        self.epoch = epoch
        self.shard_map = shard_map

    def ranges(self, service):
        """Return ``[[low, high], ...]`` of the service in key order."""
        return [
            shard.key_range.to_list() for shard in self.shard_map.by_service()[service]
        ]


class _HeldSnapshots:
    __slots__ = ("epochs", "versions")

    def __init__(self, versions, epochs):
        self.versions = versions
        self.epochs = epochs


class SnapshotCatalog:
    """The versions and epochs that each service holds, as last reported by owners."""

    __slots__ = ("_held",)

    def __init__(self):
        self._held = {}

    def update(self, service, versions, epochs):
        """Store the report of an owner; an empty one changes nothing."""
        if versions and epochs:
            self._held[service] = _HeldSnapshots(frozenset(versions), frozenset(epochs))

    def unreported(self, services):
        """Return the services without a report."""
        return [service for service in services if service not in self._held]

    def choose_plan(self, workload):
        """Return the ``Plan`` with the highest epoch and version.

        All services of the shard map that have a report must hold both. Raises
        ``RefusedError`` if there is no such pair.
        """
        for epoch in sorted(workload.shard_maps, reverse=True):
            shard_map = workload.shard_maps[epoch]
            version = self._highest_common_version(shard_map.services(), epoch)
            if version is not None:
                return Plan(version, epoch, shard_map)
        raise RefusedError(
            f"the services of {workload.name} hold no snapshot in common",
            ResultCode.SNAPSHOT_UNAVAILABLE,
            retry_after_ms=SNAPSHOT_RETRY_AFTER_MS,
        )

    def _highest_common_version(self, services, epoch):
        common = None
        for service in services:
            held = self._held.get(service)
            if held is None:
                continue
            if epoch not in held.epochs:
                return None
            common = held.versions if common is None else common & held.versions
        return max(common) if common else None
