"""The naive daemon: settings and interfaces of the product, without peer links."""

import os
import secrets

import curio

from almondtide.adapters.admin import AdminAPI
from almondtide.adapters.caller import CallerAPI
from almondtide.adapters.http import serve_http
from almondtide.adapters.listener import Listener
from almondtide.adapters.platform import HTTPPlatform
from almondtide.adapters.upstream import HTTPUpstreams
from almondtide.clock import SystemClock
from almondtide.configuration import parse_configuration
from almondtide.draining import Drain
from almondtide.errors import (
    ConfigurationError,
    PlatformError,
    RefusedError,
    ResultCode,
)
from almondtide.events import EventRing
from almondtide.logs import Log
from almondtide.membership import Membership, parse_instances
from almondtide.metrics import Metrics
from almondtide.process import run_daemon, wait_for_signal

from .coordinator import NaiveCoordinator, NaiveExecutions

__all__ = ["NaiveDaemon", "main"]

CONFIGURATION = "configuration"
INSTANCES = "instances"
WATCH_WAIT_S = 10.0
WATCH_RETRY_S = 0.5


class NaiveDaemon:
    """One naive daemon; ``run`` serves until the shutdown is complete.

    It watches the platform itself and has no links to other daemons. The setting for
    the peer address is ignored.
    """

    __slots__ = (
        "_admin",
        "_caller",
        "_cfg",
        "_drain",
        "_executions",
        "_listeners",
        "_membership",
        "_platform",
        "_revisions",
        "clock",
        "incarnation",
        "log",
        "metrics",
        "settings",
    )

    def __init__(self, settings):
        self.settings = settings
        self.clock = SystemClock()
        self.incarnation = secrets.token_hex(6)
        self.metrics = Metrics()
        events = EventRing(self.clock, settings.event_capacity)
        self.log = Log(events, instance=settings.instance, naive=True)
        self._cfg = None
        self._revisions = {}
        self._drain = Drain(self.clock)
        self._membership = Membership(settings.instance, self.clock)
        self._platform = HTTPPlatform(settings.platform)
        upstreams = HTTPUpstreams()
        coordinator = NaiveCoordinator(
            settings.instance,
            self.configuration,
            self._membership,
            upstreams,
            self.clock,
            self.log,
            self.metrics,
        )
        self._executions = NaiveExecutions(coordinator, upstreams, self.clock)
        self._caller = CallerAPI(
            settings.instance,
            coordinator,
            self._executions,
            self._entries_report,
            self._health_report,
            lambda name: self._cfg is not None and name in self._cfg.workloads,
            self.clock,
            self.log,
            self.metrics,
        )
        self._admin = AdminAPI(
            settings.instance,
            settings.admin_token,
            {"status": self._status_report, "configuration": self._revision_report},
            events,
            self.metrics,
            self._drain.requested.set,
        )
        self._listeners = [
            Listener(settings.admin_address, self._serve_admin),
            Listener(settings.caller_address, self._serve_caller),
        ]

    def configuration(self):
        """Return the configuration in force; raises ``RefusedError`` without one."""
        if self._cfg is None:
            raise RefusedError(
                "no configuration yet", ResultCode.NOT_READY, retry_after_ms=500
            )
        return self._cfg

    async def _serve_caller(self, sock, address):
        await serve_http(
            sock,
            self._caller.handle,
            log=self.log,
            max_body_bytes=self.settings.max_body_bytes,
            max_header_bytes=self.settings.max_header_bytes,
        )

    async def _serve_admin(self, sock, address):
        await serve_http(sock, self._admin.handle, log=self.log)

    # Documents

    async def _watch_document(self, name):
        while True:
            after = self._revisions.get(name, 0)
            try:
                document = await self._platform.watch(name, after, WATCH_WAIT_S)
            except PlatformError as exc:
                self.log.debug("platform_unavailable", reason=exc.message)
                await curio.sleep(WATCH_RETRY_S)
                continue
            if document is not None:
                self._revisions[name] = document.revision
                await self._apply_document(document)

    async def _apply_document(self, document):
        try:
            if document.name == CONFIGURATION:
                self._cfg = parse_configuration(document.body, document.revision)
            else:
                await self._membership.update_list(parse_instances(document.body))
        except (ConfigurationError, ValueError) as exc:
            self.log.error("document_invalid", document=document.name, problem=str(exc))

    # Reports

    async def _entries_report(self):
        cfg = self.configuration()
        entries = []
        for member in self._membership.view().live_entries():
            if member.instance == self.settings.instance and self._drain.is_leaving:
                continue
            entries.append(
                {
                    "instance": member.instance,
                    "address": f"{member.address[0]}:{member.address[1]}",
                    "domain": member.domain,
                }
            )
        return {
            "max_age_ms": cfg.fleet_setting("entries_max_age_ms"),
            "execution_prefix": self._executions.prefix(),
            "entries": entries,
        }

    def _health_report(self):
        listed = bool(self._membership.view().entries)
        ready = self._cfg is not None and listed and not self._drain.is_leaving
        body = {"ready": ready, "leaving": self._drain.is_leaving}
        return (200 if ready else 503), body

    def _status_report(self):
        return {
            "instance": self.settings.instance,
            "incarnation": self.incarnation,
            "domain": self.settings.domain,
            "pid": os.getpid(),
            "leaving": self._drain.is_leaving,
            "running": self._caller.running_count,
            "configuration_revision": self._revisions.get(CONFIGURATION),
        }

    def _revision_report(self):
        return {"revision": self._revisions.get(CONFIGURATION)}

    # Start and shutdown

    async def run(self):
        """Serve until SIGTERM, SIGINT or the drain command, then shut down."""
        for name in (CONFIGURATION, INSTANCES):
            await curio.spawn(self._watch_document, name, daemon=True)
        for listener in self._listeners:
            await listener.start()
        await curio.spawn(self._watch_signals, daemon=True)
        await self._drain.requested.wait()
        max_age_s = 0.0
        if self._cfg is not None:
            max_age_s = self._cfg.fleet_setting("entries_max_age_ms") / 1000.0
        self._drain.begin(max_age_s)
        await self._drain.wait(
            lambda: self._caller.running_count, self.settings.drain_timeout_s
        )
        for listener in reversed(self._listeners):
            await listener.close()

    async def _watch_signals(self):
        await wait_for_signal()
        await self._drain.requested.set()


def main(argv=None):
    """Entry point of the naive daemon."""
    run_daemon("baseline", NaiveDaemon, argv)


if __name__ == "__main__":
    main()
