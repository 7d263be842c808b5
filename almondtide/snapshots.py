"""What the services can serve, asked of their owners where need be."""

import curio

from .errors import PeerError, RefusedError
from .messages import ServiceStatus, ServiceStatusRequest
from .planning import SnapshotCatalog

__all__ = ["SnapshotSource"]

STATUS_TIMEOUT_S = 0.3


class SnapshotSource:
    """Chooses the snapshot of a query from statements of the owners.

    Statements come with the answers of owners. Those of a service that gets no
    sub-requests stay as they were, so the owners are asked when nothing is known
    or when the statements do not fit together. Times are in seconds.
    """

    __slots__ = ("_catalog", "_instance", "_log", "_membership", "_peers")

    def __init__(self, instance, membership, peers, log):
        self._instance = instance
        self._membership = membership
        self._peers = peers
        self._log = log
        self._catalog = SnapshotCatalog()

    def update(self, service, versions, epochs):
        """Store the statement that came with an answer."""
        self._catalog.update(service, versions, epochs)

    def choose(self, workload):
        """Return the ``Plan`` by what is known; raises ``RefusedError``."""
        return self._catalog.choose(workload)

    async def learn(self, workload, remaining_s):
        """Ask the owners of services that have made no statement so far."""
        unknown = self._catalog.unknown(workload.services())
        if unknown:
            await self._ask_owners(unknown, remaining_s)

    async def plan(self, workload, remaining_s):
        """Return the ``Plan``, with new statements when the old ones do not fit."""
        try:
            return self.choose(workload)
        except RefusedError:
            await self.refresh(workload, remaining_s)
            return self.choose(workload)

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
                await group.spawn(self._ask, instance, names, timeout_s)

    async def _ask(self, instance, services, timeout_s):
        request = ServiceStatusRequest(services=services)
        try:
            reply = await self._peers.request(instance, request, timeout_s)
        except PeerError as exc:
            self._log.info("service_status_failed", peer=instance, reason=exc.message)
            return
        if isinstance(reply, ServiceStatus):
            for service, versions, epochs, _ in reply.services:
                self._catalog.update(service, versions, epochs)
