"""The daemon process: creates its components, serves, and shuts down."""

import os
import random
import secrets

import curio

from .adapters.admin import AdminAPI
from .adapters.caller import CallerAPI
from .adapters.http import refuse_connection, serve_http
from .adapters.listener import Listener
from .adapters.peer import PeerNetwork
from .adapters.platform import HTTPPlatform
from .adapters.upstream import HTTPUpstreams
from .adapters.websocket import TRAFFIC
from .addresses import format_address
from .clock import SystemClock
from .configuration import parse_configuration
from .coordinator import Coordinator
from .dissemination import Dissemination, LocalState
from .documents import DocumentKind, DocumentStore
from .draining import Drain
from .errors import AlmondtideError, RefusedError, ResultCode
from .events import EventRing
from .executions import Executions
from .logs import Log
from .membership import Membership, parse_instances
from .messages import (
    Execute,
    ForwardRevise,
    Leaving,
    QuarantineNotice,
    SubQueryBatch,
)
from .metrics import Metrics
from .owners import ServiceOwners
from .pauses import PauseGuard
from .process import run_daemon, wait_for_signal
from .quarantine import Quarantine
from .reports import connection_counts, gauge_values, get_task_table, limits_report
from .startup import StartupGuard
from .supervision import Supervised

__all__ = ["Daemon", "main"]

CONFIGURATION = "configuration"
INSTANCES = "instances"
# Number of connections over the limit that get a response before they are closed.
# Further ones are closed at once, so that refusals cannot use up file descriptors.
MAX_CONCURRENT_REFUSALS = 64
MAX_ADMIN_CONNECTIONS = 64
CONNECTION_RETRY_AFTER_MS = 1000
PAUSE_CHECK_INTERVAL_S = 0.2
HOUSEKEEPING_INTERVAL_S = 1.0
NOT_READY_RETRY_AFTER_MS = 500
# How long a new caller connection is held while the daemon is not ready yet.
READY_WAIT_S = 0.1
# Messages that are refused while the daemon does not accept new work.
WORK_MESSAGES = (SubQueryBatch, Execute, ForwardRevise)


class Daemon:
    """One daemon process; ``run`` returns when the shutdown is complete."""

    __slots__ = (
        "_admin",
        "_caller",
        "_cfg",
        "_coordinator",
        "_dissemination",
        "_drain",
        "_events",
        "_executions",
        "_listeners",
        "_membership",
        "_owners",
        "_pauses",
        "_peers",
        "_platform",
        "_quarantine",
        "_ready",
        "_started_at",
        "_startup",
        "_state",
        "_store",
        "_tasks",
        "clock",
        "incarnation",
        "log",
        "metrics",
        "settings",
    )

    def __init__(self, settings):
        self.settings = settings
        self.clock = SystemClock()
        self._started_at = self.clock.monotonic()
        self._tasks = {}
        self.incarnation = secrets.token_hex(6)
        self.metrics = Metrics()
        self._events = EventRing(self.clock, settings.event_capacity)
        self.log = Log(
            self._events, instance=settings.instance, incarnation=self.incarnation
        )
        self._cfg = None
        self._state = LocalState(
            settings.instance,
            self.incarnation,
            settings.domain,
            settings.peer_address,
        )
        self._drain = Drain(self.clock)
        self._ready = curio.Event()
        self._quarantine = Quarantine(self.clock)
        self._membership = Membership(settings.instance, self.clock)
        self._membership.on_change = self._refresh_owners
        self._build_components()
        self._build_interfaces()

    def configuration(self):
        """Return the configuration in force; raises ``RefusedError`` without one."""
        if self._cfg is None:
            raise RefusedError(
                "no configuration yet",
                ResultCode.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_AFTER_MS,
            )
        return self._cfg

    def _build_components(self):
        settings = self.settings
        self._peers = PeerNetwork(
            settings.instance,
            self.incarnation,
            self.clock,
            self._events.clock,
            self.log,
        )
        self._peers.observer = self._membership
        self._peers.register(Leaving, self._handle_leaving)
        self._peers.register(QuarantineNotice, self._handle_quarantine_notice)
        self._owners = ServiceOwners(
            settings.instance,
            self.configuration,
            self._membership,
            self._peers,
            HTTPUpstreams(),
            self._quarantine,
            self.clock,
            self.log,
            self.metrics,
        )
        self._coordinator = Coordinator(
            settings.instance,
            self.configuration,
            self._membership,
            self._peers,
            self._quarantine,
            self.clock,
            self.log,
            self.metrics,
        )
        self._executions = Executions(
            settings.instance,
            self.incarnation,
            self.configuration,
            self._membership,
            self._peers,
            self._quarantine,
            self._coordinator.notify_peers,
            self.clock,
            self.log,
            self.metrics,
        )
        self._build_documents()

    def _build_documents(self):
        settings = self.settings
        rng = random.Random()
        self._platform = HTTPPlatform(settings.platform)
        kinds = [
            DocumentKind(CONFIGURATION, parse_configuration, self._apply_configuration),
            DocumentKind(INSTANCES, _parse_instance_list, self._apply_instances),
        ]
        self._store = DocumentStore(kinds, self.log)
        self._dissemination = Dissemination(
            self._state,
            self._store,
            self._membership,
            self._peers,
            self._platform,
            self._quarantine,
            settings.seeds,
            self.clock,
            self.log,
            self.metrics,
            rng,
        )
        self._startup = StartupGuard(
            settings.instance,
            INSTANCES,
            self._dissemination,
            self._membership,
            self.clock,
            self.log,
            rng,
        )
        self._pauses = PauseGuard(
            PAUSE_CHECK_INTERVAL_S,
            self._dissemination,
            self._membership,
            self._refresh_owners,
            self.clock,
            self.log,
        )
        self._dissemination.is_serving = self._is_serving
        self._peers.resolve = self._dissemination.resolve
        self._peers.admit = self._admit_message

    def _build_interfaces(self):
        settings = self.settings
        self._caller = CallerAPI(
            settings.instance,
            self._coordinator,
            self._executions,
            self._entries_report,
            self._health_report,
            lambda name: self._cfg is not None and name in self._cfg.workloads,
            self.clock,
            self.log,
            self.metrics,
            self._check_accepts_work,
        )
        reports = {
            "status": self._status_report,
            "members": self._members_report,
            "owners": self._owners.describe,
            "configuration": self._configuration_report,
            "queues": self._queues_report,
            "limits": lambda: limits_report(self.settings, self._listeners_by_name()),
            "quarantine": self._quarantine_report,
        }
        self._admin = AdminAPI(
            settings.instance,
            settings.admin_token,
            reports,
            self._events,
            self.metrics,
            self._drain.requested.set,
        )
        # The order peer, admin, caller is used by index.
        self._listeners = [
            Listener(settings.peer_address, self._peers.serve, self.log),
            Listener(settings.admin_address, self._serve_admin, self.log),
            Listener(settings.caller_address, self._serve_caller, self.log),
        ]
        self.metrics.read_gauges = self._gauge_values

    def _listeners_by_name(self):
        return dict(zip(("peer", "admin", "caller"), self._listeners, strict=True))

    async def _serve_caller(self, sock, address):
        # Callers that know the address from before a restart connect as soon as it
        # listens, which is before the daemon is ready.
        async with curio.ignore_after(READY_WAIT_S):
            await self._ready.wait()
        limit = self.settings.max_connections
        excess = self._listeners[2].connection_count - limit
        if excess > 0:
            self.metrics.connections_refused.inc({})
            if excess <= MAX_CONCURRENT_REFUSALS:
                self.log.refusal("connection_refused", peer=address[0], limit=limit)
                await refuse_connection(sock, _too_many_connections(limit))
            return
        await serve_http(
            sock,
            self._caller.handle,
            log=self.log,
            max_body_bytes=self.settings.max_body_bytes,
            max_header_bytes=self.settings.max_header_bytes,
            on_refused=self._caller.count_malformed,
            is_closing=lambda: self._drain.is_leaving,
        )

    async def _serve_admin(self, sock, address):
        if self._listeners[1].connection_count > MAX_ADMIN_CONNECTIONS:
            limit = MAX_ADMIN_CONNECTIONS
            self.log.refusal("connection_refused", peer=address[0], limit=limit)
            await refuse_connection(sock, _too_many_connections(limit))
            return
        await serve_http(sock, self._admin.handle, log=self.log)

    # Documents and membership view

    async def _apply_configuration(self, document, cfg):
        self._cfg = cfg
        self._quarantine.duration_s = cfg.fleet_setting("quarantine_s")
        self._quarantine.server_limit = cfg.fleet_setting("quarantine_servers")
        await self._membership.set_cells(cfg.cells())
        await self._refresh_owners()

    async def _apply_instances(self, document, members):
        await self._membership.update_list(members)

    async def _refresh_owners(self):
        if self._cfg is not None:
            await self._owners.refresh()

    # Admission of new work

    def _check_accepts_work(self):
        if not self._state.is_ready:
            raise RefusedError(
                "the documents are not current yet",
                ResultCode.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_AFTER_MS,
            )
        self._pauses.raise_if_checking()

    def _is_serving(self):
        return self._state.is_ready and not self._pauses.is_checking()

    def _admit_message(self, sender, message):
        if isinstance(message, WORK_MESSAGES) and sender != self.settings.instance:
            self._check_accepts_work()

    # Messages

    async def _handle_leaving(self, sender, message, reply):
        self.log.info("peer_leaving", peer=message.instance)
        await self._membership.peer_leaving(message.instance, message.incarnation)

    async def _handle_quarantine_notice(self, sender, message, reply):
        """Add a quarantined request, or lost servers to a suspected one."""
        if message.remaining_ms > 0:
            if self._quarantine.add(message.fingerprint, message.remaining_ms / 1000.0):
                self.log.info("quarantine_learned", fingerprint=message.fingerprint)
        else:
            self._quarantine.add_lost_servers(message.fingerprint, message.servers)

    # Reports

    async def _entries_report(self):
        cfg = self.configuration()
        entries = []
        for member in self._membership.view().live_entries():
            entries.append(
                {
                    "instance": member.instance,
                    "address": f"{member.address[0]}:{member.address[1]}",
                    "domain": member.domain,
                }
            )
        max_age_s = cfg.fleet_setting("entries_max_age_ms") / 1000.0
        return {
            "max_age_ms": int(self._drain.answer_max_age_s(max_age_s) * 1000),
            "execution_prefix": await self._execution_prefix(),
            "entries": entries,
        }

    async def _execution_prefix(self):
        other_prefix = None
        if self._drain.is_leaving:
            other_prefix = await self._executions.fetch_peer_prefix()
        return other_prefix or self._executions.prefix()

    def _count_running_requests(self):
        """Return the number of running requests of callers and peers."""
        return (
            self._caller.running_count
            + self._owners.running_count
            + self._executions.running_count
        )

    def _health_report(self):
        ready = self._state.is_ready and not self._drain.is_leaving
        body = {"ready": ready, "leaving": self._drain.is_leaving}
        return (200 if ready else 503), body

    def _gauge_values(self):
        values = gauge_values(
            self._owners.describe(),
            self._membership.view(),
            self._listeners_by_name(),
            self._events,
        )
        values.update(
            running=self._caller.running_count,
            peer_links=self._peers.link_count,
            quarantined=len(self._quarantine.quarantined()),
            suspects=len(self._quarantine.suspects()),
            executions=self._executions.record_count,
            leaving=int(self._drain.is_leaving),
            tasks=len(self._tasks),
        )
        if self._cfg is not None:
            values["configuration_revision"] = self._cfg.revision
        return values

    def _status_report(self):
        document = self._dissemination.current(CONFIGURATION)
        return {
            "instance": self.settings.instance,
            "incarnation": self.incarnation,
            "domain": self.settings.domain,
            "pid": os.getpid(),
            "ready": self._state.is_ready,
            "leaving": self._drain.is_leaving,
            "running": self._caller.running_count,
            "configuration_revision": self._cfg.revision if self._cfg else None,
            "configuration_digest": document.digest if document else None,
            "connections": connection_counts(self._listeners_by_name()),
            "tasks": len(self._tasks),
            "uptime_s": round(self.clock.monotonic() - self._started_at, 1),
            "instances_revision": self._store.revision(INSTANCES),
            "watches": [
                name
                for name in self._store.names()
                if self._dissemination.is_watcher(name)
            ],
            "platform": self._dissemination.watch_results(),
            "lonely": self._dissemination.is_isolated(),
            "peer_links": self._peers.link_count,
            "executions": self._executions.record_count,
            "traffic": {
                "peer_sent_bytes": TRAFFIC.sent_bytes,
                "peer_received_bytes": TRAFFIC.received_bytes,
                "platform_received_bytes": self._platform.received_bytes,
                "platform_calls": self._platform.call_count,
            },
        }

    def _members_report(self):
        view = self._membership.view()
        return [
            {
                "instance": member.instance,
                "domain": member.domain,
                "caller": _format_address(member.address),
                "admin": _format_address(member.admin),
                "leaving": member.instance in view.leaving,
                "gone": member.instance in view.suspected,
                "listed": self._membership.is_listed(member.instance),
                "incarnation": self._membership.incarnation(member.instance),
                "heard_s": self._membership.silence_s(member.instance),
            }
            for member in view.entries.values()
        ]

    def _configuration_report(self):
        document = self._dissemination.current(CONFIGURATION)
        return {
            "revision": document.revision if document is not None else None,
            "digest": document.digest if document is not None else None,
            "body": document.body if document is not None else None,
            **self._store.report(CONFIGURATION),
            "instances": {
                "revision": self._store.revision(INSTANCES),
                **self._store.report(INSTANCES),
            },
        }

    def _queues_report(self):
        return {item["service"]: item["queued"] for item in self._owners.describe()}

    def _quarantine_report(self):
        return {
            "quarantined": [
                {"fingerprint": fingerprint, "remaining_s": round(remaining_s, 1)}
                for fingerprint, remaining_s in self._quarantine.quarantined()
            ],
            "suspects": self._quarantine.suspects(),
        }

    # Lifecycle

    async def run(self):
        """Serve until SIGTERM, SIGINT or the drain command, then shut down.

        Raises OSError when a listen address cannot be used.
        """
        self._tasks = await get_task_table()
        for listener in self._listeners[:2]:
            await listener.start()
        await self._dissemination.start_exchange()
        await self._listeners[2].start()
        await curio.spawn(self._become_ready, daemon=True)
        tasks = {"pauses": self._detect_pauses, "housekeeping": self._run_housekeeping}
        for name, function in tasks.items():
            task = Supervised(name, function, self.clock.monotonic, self.log)
            await curio.spawn(task.run, daemon=True)
        await curio.spawn(self._watch_signals, daemon=True)
        self.log.info("daemon_started", domain=self.settings.domain)
        await self._drain.requested.wait()
        await self._shut_down()

    async def _become_ready(self):
        reason = await self._startup.wait()
        self._state.is_ready = True
        await self._ready.set()
        self.log.info(
            "daemon_ready",
            reason=reason,
            configuration=self._store.revision(CONFIGURATION),
            instances=self._store.revision(INSTANCES),
        )
        await self._dissemination.announce()
        await self._dissemination.start_watches()

    async def _watch_signals(self):
        await wait_for_signal()
        await self._drain.requested.set()

    async def _detect_pauses(self):
        """Detect pauses of the process by late wake-ups of this task.

        It must not wait for anything else, because that would look like a pause.
        """
        while True:
            await curio.sleep(PAUSE_CHECK_INTERVAL_S)
            pause_s = self._pauses.tick()
            if pause_s > 0:
                self.metrics.pauses.inc({})
                self.log.warning("process_paused", seconds=round(pause_s, 3))
                await self._owners.request_server_status()
                await curio.spawn(self._pauses.revalidate, daemon=True)

    async def _run_housekeeping(self):
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self._membership.expire()
            await self._owners.stop_idle()

    async def _shut_down(self):
        max_age_s = 0.0
        if self._cfg is not None:
            max_age_s = self._cfg.fleet_setting("entries_max_age_ms") / 1000.0
        self._drain.begin(max_age_s)
        self._state.is_leaving = True
        self.log.info("drain_started", running=self._count_running_requests())
        message = Leaving(instance=self.settings.instance, incarnation=self.incarnation)
        # Notify members that the view marks as leaving or gone, too: they may have
        # come back.
        for member in self._other_members():
            await curio.spawn(self._send_or_log, member, message, daemon=True)
        # This daemon must leave its own view as well. Otherwise it would still use
        # the slots of services that other daemons own from now on.
        await self._membership.set_leaving()
        timeout_s = self.settings.drain_timeout_s
        await self._drain.wait(self._count_running_requests, timeout_s)
        # Connections that wait to be accepted may carry requests; they are served too.
        await self._listeners[2].stop()
        complete = await self._drain.wait(self._count_running_requests, timeout_s)
        self.log.info(
            "drain_ended", complete=complete, running=self._count_running_requests()
        )
        for listener in reversed(self._listeners):
            await listener.close()
        await self._peers.close()
        await self._platform.close()

    def _other_members(self):
        entries = self._membership.view().entries
        return [
            member
            for member in entries.values()
            if member.instance != self.settings.instance
        ]

    async def _send_or_log(self, member, message):
        try:
            await self._peers.send(member.instance, message)
        except AlmondtideError as exc:
            self.log.info(
                "peer_not_told",
                peer=member.instance,
                message=message.TYPE,
                reason=exc.message,
            )


def _parse_instance_list(body, revision):
    return parse_instances(body)


def _too_many_connections(limit):
    return RefusedError(
        f"more than {limit} connections are open",
        retry_after_ms=CONNECTION_RETRY_AFTER_MS,
    )


def _format_address(address):
    return None if address is None else format_address(address)


def main(argv=None):
    """Run ``almondtided`` and exit the process."""
    run_daemon("almondtided", Daemon, argv)


if __name__ == "__main__":
    main()
