"""Chooses snapshots of queries and asks owners for missing reports."""

import curio

from .errors import PeerError, RefusedError
from .messages import ServiceStatus, ServiceStatusRequest
from .planning import SnapshotCatalog

__all__ = ["SnapshotSource"]

STATUS_TIMEOUT_S = 0.3


class SnapshotSource:
    """Chooses the snapshot of a query from the reports of the owners.

    Answers of owners report the versions and epochs that their service holds. A
    service that gets no sub-requests has no new reports, so its owner is asked when
    there is none or when the reports have no snapshot in common. Times are in
    seconds.
    """

    __slots__ = ("_catalog", "_instance", "_log", "_membership", "_peers")

    def __init__(self, instance, membership, peers, log):
        self._instance = instance
        self._membership = membership
        self._peers = peers
        self._log = log
        self._catalog = SnapshotCatalog()

    def update(self, service, versions, epochs):
        """Store the report that came with an answer."""
        self._catalog.update(service, versions, epochs)

    def choose_plan(self, workload):
        """Return the ``Plan`` from the stored reports; raises ``RefusedError``."""
        return self._catalog.choose_plan(workload)

    async def ask_unreported(self, workload, remaining_s):
        """Ask the owners of services without a report."""
        unreported = self._catalog.unreported(workload.services())
        if unreported:
            await self._ask_owners(unreported, remaining_s)

    async def plan(self, workload, remaining_s):
        """Return the ``Plan``; ask the owners if the reports have none in common."""
        try:
            return self.choose_plan(workload)
        except RefusedError:
            await self.refresh(workload, remaining_s)
            return self.choose_plan(workload)

    async def refresh(self, workload, remaining_s):
        """Ask the owners of all services of a workload."""
        await self._ask_owners(workload.services(), remaining_s)

    async def _ask_owners(self, services, remaining_s):
        asked = {}
        for service in services:
            ranked = self._membership.view().ranked_instances(service)
            owner = ranked[0] if ranked else self._instance
            asked.setdefault(owner, []).append(service)
        timeout_s = min(STATUS_TIMEOUT_S, max(0.0, remaining_s))
        async with curio.TaskGroup() as group:
            for instance, names in asked.items():
                await group.spawn(self._ask_owner, instance, names, timeout_s)

    async def _ask_owner(self, instance, services, timeout_s):
        request = ServiceStatusRequest(services=services)
        try:
            reply = await self._peers.request(instance, request, timeout_s)
        except PeerError as exc:
            self._log.info("service_status_failed", peer=instance, reason=exc.message)
            return
        if isinstance(reply, ServiceStatus):
            for service, versions, epochs, _ in reply.services:
                self._catalog.update(service, versions, epochs)
