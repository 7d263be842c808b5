"""The daemon: wiring of all parts and its command line."""

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

__all__ = ["Daemon", "main"]

CONFIGURATION = "configuration"
INSTANCES = "instances"
# Connections over the limit that are answered before they are closed; those
# beyond are closed at once, so that refusals cannot use up file descriptors.
MAX_REFUSALS_AT_ONCE = 64
MAX_ADMIN_CONNECTIONS = 64
CONNECTION_RETRY_MS = 1000
TICK_S = 0.2
HOUSEKEEPING_S = 1.0
NOT_READY_RETRY_MS = 500
# How long a new connection of a caller waits for a daemon that is starting.
READY_GRACE_S = 0.1
# Messages that bring new work to this daemon.
WORK = (SubQueryBatch, Execute, ForwardRevise)


class Daemon:
    """One daemon process; ``run`` serves until the shutdown is over."""

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
        "_started",
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
        self._started = self.clock.monotonic()
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
        self._membership.on_change = self._view_changed
        self._build_core()
        self._build_interfaces()

    def configuration(self):
        """Return the configuration in force; raises while there is none."""
        if self._cfg is None:
            raise RefusedError(
                "no configuration yet",
                ResultCode.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
            )
        return self._cfg

    def _build_core(self):
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
        self._peers.register(QuarantineNotice, self._handle_notice)
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
            DocumentKind(INSTANCES, _parse_list, self._apply_instances),
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
            TICK_S,
            self._dissemination,
            self._membership,
            self._view_changed,
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
            self._admit_caller,
        )
        reports = {
            "status": self._status_report,
            "members": self._members_report,
            "owners": self._owners.describe,
            "configuration": self._configuration_report,
            "queues": self._queues_report,
            "limits": lambda: limits_report(self.settings, self._by_name()),
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
        self._listeners = [
            Listener(settings.peer_address, self._peers.serve, self.log),
            Listener(settings.admin_address, self._serve_admin, self.log),
            Listener(settings.caller_address, self._serve_caller, self.log),
        ]
        self.metrics.source = self._gauges

    def _by_name(self):
        return dict(zip(("peer", "admin", "caller"), self._listeners, strict=True))

    async def _serve_caller(self, sock, address):
        # A caller may use an address from before a restart as soon as it listens.
        async with curio.ignore_after(READY_GRACE_S):
            await self._ready.wait()
        limit = self.settings.max_connections
        excess = self._listeners[2].connections - limit
        if excess > 0:
            self.metrics.connections_refused.inc({})
            if excess <= MAX_REFUSALS_AT_ONCE:
                self.log.refusal("connection_refused", peer=address[0], limit=limit)
                await refuse_connection(sock, _too_many_connections(limit))
            return
        await serve_http(
            sock,
            self._caller.handle,
            log=self.log,
            max_body=self.settings.max_body_bytes,
            max_header=self.settings.max_header_bytes,
            on_refused=self._caller.count_malformed,
            closing=lambda: self._drain.leaving,
        )

    async def _serve_admin(self, sock, address):
        if self._listeners[1].connections > MAX_ADMIN_CONNECTIONS:
            limit = MAX_ADMIN_CONNECTIONS
            self.log.refusal("connection_refused", peer=address[0], limit=limit)
            await refuse_connection(sock, _too_many_connections(limit))
            return
        await serve_http(sock, self._admin.handle, log=self.log)

    # Documents and view

    async def _apply_configuration(self, document, cfg):
        self._cfg = cfg
        self._quarantine.duration_s = cfg.fleet_setting("quarantine_s")
        self._quarantine.server_limit = cfg.fleet_setting("quarantine_servers")
        await self._membership.set_cells(cfg.cells())
        await self._view_changed()

    async def _apply_instances(self, document, members):
        await self._membership.update_list(members)

    async def _view_changed(self):
        if self._cfg is not None:
            await self._owners.refresh()

    # Admission of new work

    def _admit_caller(self):
        if not self._state.ready:
            raise RefusedError(
                "the documents are not current yet",
                ResultCode.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
            )
        self._pauses.raise_if_checking()

    def _is_serving(self):
        return self._state.ready and not self._pauses.is_checking()

    def _admit_message(self, sender, message):
        if isinstance(message, WORK) and sender != self.settings.instance:
            self._admit_caller()

    # Messages

    async def _handle_leaving(self, sender, message, reply):
        self.log.info("peer_leaving", peer=message.instance)
        await self._membership.peer_leaving(message.instance, message.incarnation)

    async def _handle_notice(self, sender, message, reply):
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
            "max_age_ms": int(self._drain.answer_age_s(max_age_s) * 1000),
            "execution_prefix": await self._execution_prefix(),
            "entries": entries,
        }

    async def _execution_prefix(self):
        foreign = None
        if self._drain.leaving:
            foreign = await self._executions.fetch_peer_prefix()
        return foreign or self._executions.prefix()

    def _running(self):
        """Return the number of requests of callers and peers under way."""
        return self._caller.running + self._owners.running + self._executions.running

    def _health_report(self):
        ready = self._state.ready and not self._drain.leaving
        body = {"ready": ready, "leaving": self._drain.leaving}
        return (200 if ready else 503), body

    def _gauges(self):
        values = gauge_values(
            self._owners.describe(),
            self._membership.view(),
            self._by_name(),
            self._events,
        )
        values.update(
            running=self._caller.running,
            peer_links=self._peers.links,
            quarantined=len(self._quarantine.quarantined()),
            suspects=len(self._quarantine.suspects()),
            executions=self._executions.record_count,
            leaving=int(self._drain.leaving),
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
            "ready": self._state.ready,
            "leaving": self._drain.leaving,
            "running": self._caller.running,
            "configuration_revision": self._cfg.revision if self._cfg else None,
            "configuration_digest": document.digest if document else None,
            "connections": connection_counts(self._by_name()),
            "tasks": len(self._tasks),
            "uptime_s": round(self.clock.monotonic() - self._started, 1),
            "instances_revision": self._store.revision(INSTANCES),
            "watches": [
                name
                for name in self._store.names()
                if self._dissemination.is_watcher(name)
            ],
            "platform": self._dissemination.platform_state(),
            "lonely": self._dissemination.is_lonely(),
            "peer_links": self._peers.links,
            "executions": self._executions.record_count,
            "traffic": {
                "peer_sent_bytes": TRAFFIC.sent_bytes,
                "peer_received_bytes": TRAFFIC.received_bytes,
                "platform_received_bytes": self._platform.received_bytes,
                "platform_calls": self._platform.calls,
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
                "gone": member.instance in view.gone,
                "listed": self._membership.is_listed(member.instance),
                "incarnation": self._membership.incarnation(member.instance),
                "heard_s": self._membership.heard_s(member.instance),
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
                {"fingerprint": mark, "remaining_s": round(left, 1)}
                for mark, left in self._quarantine.quarantined()
            ],
            "suspects": self._quarantine.suspects(),
        }

    # Life

    async def run(self):
        """Serve until SIGTERM, SIGINT or the drain command, then shut down."""
        self._tasks = await get_task_table()
        for listener in self._listeners[:2]:
            await listener.start()
        await self._dissemination.start_exchange()
        await self._listeners[2].start()
        await curio.spawn(self._become_ready, daemon=True)
        await curio.spawn(self._tick, daemon=True)
        await curio.spawn(self._keep_house, daemon=True)
        await curio.spawn(self._watch_signals, daemon=True)
        self.log.info("daemon_started", domain=self.settings.domain)
        await self._drain.requested.wait()
        await self._shut_down()

    async def _become_ready(self):
        reason = await self._startup.wait()
        self._state.ready = True
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

    async def _tick(self):
        """Detect pauses; nothing else may hold up this task."""
        while True:
            await curio.sleep(TICK_S)
            pause_s = self._pauses.tick()
            if pause_s > 0:
                self.metrics.pauses.inc({})
                self.log.warning("process_paused", seconds=round(pause_s, 3))
                await self._owners.request_server_status()
                await curio.spawn(self._pauses.revalidate, daemon=True)

    async def _keep_house(self):
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            await self._membership.expire()
            await self._owners.stop_idle()

    async def _shut_down(self):
        max_age_s = 0.0
        if self._cfg is not None:
            max_age_s = self._cfg.fleet_setting("entries_max_age_ms") / 1000.0
        self._drain.begin(max_age_s)
        self._state.leaving = True
        self.log.info("drain_started", running=self._running())
        message = Leaving(instance=self.settings.instance, incarnation=self.incarnation)
        # All that are listed, because the view may still call a daemon leaving or
        # gone that is back.
        for member in self._other_entries():
            await curio.spawn(self._tell, member, message, daemon=True)
        # This daemon's own view must drop it too, or it would go on using the
        # slots of services that have another owner now.
        await self._membership.set_leaving()
        complete = await self._drain.wait(self._running, self.settings.drain_timeout_s)
        self.log.info("drain_ended", complete=complete, running=self._running())
        for listener in reversed(self._listeners):
            await listener.close()
        await self._peers.close()
        await self._platform.close()

    def _other_entries(self):
        entries = self._membership.view().entries
        return [
            member
            for member in entries.values()
            if member.instance != self.settings.instance
        ]

    async def _tell(self, member, message):
        try:
            await self._peers.send(member.instance, message)
        except AlmondtideError as exc:
            self.log.info(
                "peer_not_told",
                peer=member.instance,
                message=message.TYPE,
                reason=exc.message,
            )


def _parse_list(body, revision):
    return parse_instances(body)


def _too_many_connections(limit):
    return RefusedError(
        f"more than {limit} connections are open", retry_after_ms=CONNECTION_RETRY_MS
    )


def _format_address(address):
    return None if address is None else format_address(address)


def main(argv=None):
    """Entry point of ``almondtided``."""
    run_daemon("almondtided", Daemon, argv)


if __name__ == "__main__":
    main()
