"""The services that this daemon runs, as their owner or as a standby.

The owner of a service is the live daemon with the best rank for it. The daemons with
the next ranks are its standbys.
"""

import curio

from .errors import PeerError, RefusedError, ResultCode
from .messages import (
    CancelQuery,
    Execute,
    ExecuteResult,
    ServiceStatus,
    ServiceStatusRequest,
    SubAnswer,
    SubQueryBatch,
)
from .owner import ServiceOwner
from .subrequests import SubRequest

__all__ = ["ServiceOwners"]

# A service that is neither owned nor used for this long closes its connections.
IDLE_SERVICE_TIMEOUT_S = 30.0


class ServiceOwners:
    """Creates a ``ServiceOwner`` on demand and handles messages of coordinators."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_instance",
        "_log",
        "_membership",
        "_metrics",
        "_owners",
        "_peers",
        "_quarantine",
        "_upstreams",
    )

    def __init__(
        self,
        instance,
        cfg,
        membership,
        peers,
        upstreams,
        quarantine,
        clock,
        log,
        metrics,
    ):
        self._instance = instance
        self._cfg = cfg
        self._membership = membership
        self._peers = peers
        self._upstreams = upstreams
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._owners = {}
        peers.register(SubQueryBatch, self._handle_batch)
        peers.register(CancelQuery, self._handle_cancel)
        peers.register(Execute, self._handle_execute)
        peers.register(ServiceStatusRequest, self._handle_status)

    def _is_owner_of(self, service):
        ranked = self._membership.view().ranked_instances(service)
        return bool(ranked) and ranked[0] == self._instance

    async def get(self, service):
        """Return the ``ServiceOwner`` of ``service``; create and start it if needed."""
        owner = self._owners.get(service)
        if owner is None:
            owner = ServiceOwner(
                service,
                self._cfg,
                self._upstreams,
                self._clock,
                self._log,
                self._metrics,
            )
            self._owners[service] = owner
            await owner.start()
            await self._update(owner)
        return owner

    async def _update(self, owner):
        service = owner.service
        members = self._membership.view().upstreams(service)
        await owner.update(members, self._is_owner_of(service))

    @property
    def running_count(self):
        """Number of queries and executions that wait for a result here."""
        return sum(owner.running_count for owner in self._owners.values())

    async def refresh(self):
        """Apply a change of the membership view or of the configuration.

        Owned services are started before their first request, so that their
        connections are already open.
        """
        for service in self._cfg().services():
            if self._is_owner_of(service):
                await self.get(service)
        for owner in list(self._owners.values()):
            await self._update(owner)

    async def request_server_status(self):
        """Request the status of all servers before new work, as after a pause."""
        for owner in list(self._owners.values()):
            for server in owner.servers:
                await server.request_status()

    async def stop_idle(self):
        """Stop services that are neither owned nor used."""
        now = self._clock.monotonic()
        for service, owner in list(self._owners.items()):
            if not owner.is_owner and now - owner.last_used > IDLE_SERVICE_TIMEOUT_S:
                del self._owners[service]
                await owner.stop()

    def describe(self):
        """Return the state of all services for the admin API."""
        return [owner.describe() for owner in self._owners.values()]

    def _is_known(self, service):
        return self._cfg().has_service(service)

    async def _handle_batch(self, sender, message, reply):
        deadline = self._clock.monotonic() + message.remaining_ms / 1000.0
        self._log.trace(
            "sub_requests_received",
            query_id=message.query_id,
            coordinator=sender,
            services=len(message.items),
        )
        for item in message.items:
            service, ranges = _parse_item(item)
            sub = SubRequest(
                message.query_id,
                message.workload,
                service,
                deadline,
                body=message.body,
                version=message.version,
                epoch=message.epoch,
                ranges=ranges,
                fingerprint=message.fingerprint,
                is_suspect=message.suspect,
                avoid=message.avoid,
            )
            await self._submit(sub, reply)

    async def _submit(self, sub, reply):
        if (
            not self._is_known(sub.service)
            or self._quarantine.remaining_s(sub.fingerprint) > 0
        ):
            is_known = self._is_known(sub.service)
            code = ResultCode.QUARANTINED if is_known else ResultCode.NO_SERVER
            await reply(
                SubAnswer(service=sub.service, code=int(code), not_run=True, attempts=0)
            )
            return
        owner = await self.get(sub.service)
        if not owner.is_owner:
            await self._check_owner(sub.service)

        async def deliver(result):
            await reply(self._answer(owner, sub, result))

        await owner.submit(sub, deliver)

    async def _check_owner(self, service):
        """Check the connections to the daemons that are ranked before this one.

        The sender could not reach them, or its membership view differs. If they are
        lost, this daemon's own view makes it the owner; see ``Server.set_slots``.
        """
        for instance in self._membership.view().ranked_instances(service):
            if instance == self._instance:
                return
            await self._peers.start_check(instance)

    def _answer(self, owner, sub, result):
        versions, epochs = owner.servers.common_snapshots()
        # Without a result, these fields may hold unchecked values of the upstream.
        is_usable = result.is_ok
        estimate = owner.estimate(sub.workload)
        return SubAnswer(
            service=result.service,
            code=int(result.code),
            not_run=result.not_run,
            version=result.version if is_usable else 0,
            epoch=result.epoch if is_usable else 0,
            ranges=result.ranges if is_usable else [],
            payload=result.payload,
            server=result.server,
            attempts=result.attempts,
            wait_ms=estimate.wait_s * 1000.0,
            service_ms=owner.p90_latency_s() * 1000.0,
            versions=versions,
            epochs=epochs,
            retry_after_ms=result.retry_after_ms,
        )

    async def _handle_cancel(self, sender, message, reply):
        for owner in list(self._owners.values()):
            if not message.services or owner.service in message.services:
                await owner.cancel_query(message.query_id)

    async def _handle_execute(self, sender, message, reply):
        if not self._is_known(message.service):
            raise RefusedError("unknown service", ResultCode.NO_SERVER)
        self._quarantine.raise_if_quarantined(message.fingerprint)
        owner = await self.get(message.service)
        sub = SubRequest(
            message.execution_id,
            message.workload,
            message.service,
            self._clock.monotonic() + message.remaining_ms / 1000.0,
            body=message.body,
            fingerprint=message.fingerprint,
            is_suspect=message.suspect,
            avoid=message.avoid,
            execution_id=message.execution_id,
            allowed_s=message.allowed_ms / 1000.0,
        )

        async def deliver(result):
            await reply(
                ExecuteResult(
                    code=int(result.code),
                    not_run=result.not_run,
                    payload=result.payload,
                    server=result.server,
                    retry_after_ms=result.retry_after_ms,
                )
            )

        await owner.submit(sub, deliver)

    async def _handle_status(self, sender, message, reply):
        # Waits for servers, so it must not delay other messages of the peer.
        await curio.spawn(self._serve_status, message, reply, daemon=True)

    async def _serve_status(self, message, reply):
        services = []
        for service in message.services:
            if isinstance(service, str) and self._is_known(service):
                owner = await self.get(service)
                versions, epochs = await owner.servers.wait_common_snapshots()
                wait_ms = owner.estimate("").wait_s * 1000.0
                services.append([service, versions, epochs, wait_ms])
        await reply(ServiceStatus(services=services))


def _parse_item(item):
    """Return (service, ranges) of a batch item; raise ``PeerError`` if invalid."""
    if isinstance(item, list) and len(item) == 2:
        service, ranges = item
        if isinstance(service, str) and isinstance(ranges, list):
            return service, ranges
    raise PeerError("invalid batch item", ResultCode.PEER_PROTOCOL)
