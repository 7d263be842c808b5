"""The entry daemon: creates its components and runs them from start to stop."""

import secrets
import signal

import curio

from ..adapters.http import HTTPResponse, serve_http
from ..adapters.listener import Listener
from ..errors import SettingsError
from ..framing import WORK_BUDGET
from ..model.position import era_of, revision_of
from ..platform.documents import SERVER_PREFIX
from ..platform.store import StoreClient
from ..supervision import TASK_FAILURES, Supervised, error_place
from ..timers import Timers
from .boottime import BoottimeClock, boottime_now
from .caller_memory import CallerMemory
from .configuration_watcher import ConfigurationWatcher
from .connections import ConnectionPool
from .crash_detector import CrashDetector
from .directory import Directory
from .dispatch import Dispatcher
from .feed import StoreFeed
from .frontend import Frontend
from .gossip import Gossip
from .link_watch import LinkWatch
from .members import (
    ACTIVE_PER_DOMAIN,
    RELAY_ABILITY,
    Member,
    MembershipView,
    MemberState,
)
from .memory_bounds import MemoryBounds
from .metrics import MetricFamily, render_metrics
from .placement_report import PLACEMENT_PATH, serve_placement
from .policy.retry_budget import slack_share
from .reader import StoreReader
from .relay import RelayPeers
from .replica import StoreReplica
from .run_time import TICK_S
from .upstreams import UpstreamTable
from .version_lag import VersionLag

__all__ = ["EntryDaemon"]

# Timeout of a call of the store, in s.
STORE_TIMEOUT_S = 0.8
HOUSEKEEPING_INTERVAL_S = 0.25
# The settings file may change without a signal, so it is also read at this interval.
SETTINGS_CHECK_INTERVAL_S = 2.0
# Delay of a housekeeping round, in s, from which on the process counts as paused.
PAUSE_THRESHOLD_S = 1.0
# How often the requests to servers that limit their rate are logged, in s.
LIMITED_SENDS_INTERVAL_S = 1.0
# Fractions of the grace time for a stop: when idle connections begin to close, and
# when the remaining requests are ended.
CLOSE_IDLE_FRACTION = 0.6
END_FRACTION = 0.84
STOP_POLL_S = 0.1
# Time to send the final answers of the requests that were ended, in s.
FINAL_ANSWERS_S = 0.2
METRICS_PATH = "/metrics"


class EntryDaemon:
    """One daemon that dispatches requests of callers to servers.

    ``signals`` is a ``SignalReader``. ``reload_settings()`` returns new ``Settings``
    or raises ``SettingsError``.
    """

    def __init__(self, settings, log, signals, reload_settings):
        now = boottime_now
        self.settings = settings
        WORK_BUDGET.set_core_share(settings.core_share)
        self.log = log
        self._signals = signals
        self._reload_settings = reload_settings
        self.started_at = now()
        local = Member(
            settings.instance,
            secrets.randbits(48),
            settings.caller_address[0],
            settings.domain,
            MemberState.NOT_READY,
            settings.core_share,
            False,
            self.started_at,
        )
        self.view = MembershipView(local)
        self.replica = StoreReplica()
        self.feed = feed = StoreFeed(settings, self.replica, log)
        self.gossip = Gossip(
            settings, self.view, self.replica, feed, self._on_changes, now, log
        )
        self.store = StoreClient(settings.store_address, STORE_TIMEOUT_S)
        self.reader = StoreReader(
            settings,
            self.store,
            self.view,
            self.replica,
            feed,
            self.gossip,
            self._on_changes,
            now,
            log,
        )
        watcher_store = StoreClient(settings.store_address, STORE_TIMEOUT_S)
        self._store_clients = (self.store, watcher_store)
        self.watcher = ConfigurationWatcher(
            settings,
            watcher_store,
            self.view,
            feed,
            self.gossip,
            self._on_changes,
            now,
            log,
        )
        self.table = UpstreamTable(settings.domain)
        self.table.rate_shares.local_name = settings.instance
        self.gossip.set_rate_shares(self.table.rate_shares)
        self.gossip.set_run_time(self.table.run_time)
        self.pool = ConnectionPool(now, log)
        self.pool.set_active(False)
        memory_bounds = MemoryBounds(settings)
        self.table.memory_bounds = self.pool.memory_bounds = memory_bounds
        self.crash_detector = CrashDetector(now, log)
        self.dispatcher = Dispatcher(
            self.table, self.pool, settings, self.crash_detector, now, log
        )
        self.dispatcher.set_loss_reporter(self.gossip.send_loss_reports)
        self.dispatcher.set_end_reporter(self.gossip.send_end_announcement)
        self.dispatcher.set_limit_end_reporter(self.gossip.send_limit_end)
        self.gossip.set_end_handler(self.table.announce_end)
        self.gossip.set_limit_end_handler(self._on_limit_end)
        feed.evacuations.set_listeners(
            self._on_evacuation, lambda: self._update_role(boottime_now())
        )
        # Evacuated domains whose servers are known to be no last resort any more.
        self._stopped_domains = set()
        # The ``Configuration`` that callers are served by, None before the first.
        self._served_configuration = None
        # Where the newest configuration came from, for the log.
        self._configuration_source = ""
        self.gossip.set_loss_handler(self.crash_detector.merge_peer_losses)
        self.link_watch = LinkWatch(
            self.table,
            self.pool,
            self._serving_peers,
            lambda: self.view.local_member.is_active,
            self._on_links_changed,
            now,
            log,
        )
        self.gossip.set_links(self.link_watch.monitor)
        links = self.link_watch.monitor
        self.dispatcher.set_links(
            links, RelayPeers(self.view, links, settings.caller_address[1])
        )
        self.timers = Timers(BoottimeClock(), self.dispatcher.on_timer, log)
        self.dispatcher.set_timers(self.timers)
        self.frontend = Frontend(
            self.dispatcher,
            self.replica,
            self.view,
            self.started_at,
            CallerMemory(memory_bounds, now, log),
            now,
            log,
        )
        self.version_lag = VersionLag(feed, now, log)
        self.version_lag.watch_state = self.watcher.state
        self.gossip.set_version_lag(self.version_lag)
        self.frontend.version_lag = self.version_lag
        self._caller_listener = Listener(
            settings.caller_address, self.frontend.serve_connection, log
        )
        self._listeners = []
        self._tasks = []
        # Ids of the servers whose rate is bounded since they are cold.
        self._cold_ids = set()
        self.directory = Directory(settings, self.view, now, log)
        self.directory.set_routes(self.frontend.routes_of_host)
        # Components that get new settings after a reload.
        self.settings_users = (
            self.gossip,
            self.reader,
            self.watcher,
            feed,
            self.dispatcher,
            self.directory,
            memory_bounds,
        )

    # Lifecycle

    async def run(self):
        """Run until SIGTERM or SIGINT, then finish the requests in progress."""
        settings = self.settings
        directory = self.directory
        await self.timers.start()
        await self.gossip.start()
        await self._listen(
            settings.control_address, self._http_server(self._serve_control)
        )
        await self._listen(
            settings.directory_address, self._http_server(directory.resolve)
        )
        await self._listen(
            settings.readiness_address, self._http_server(directory.readiness)
        )
        await self._listen(
            settings.metrics_address, self._http_server(self._serve_metrics)
        )
        await self._caller_listener.start()
        self.log.info(
            "started",
            instance=settings.instance,
            domain=settings.domain,
            incarnation=self.view.local_member.incarnation,
            seeds=len(settings.seeds),
            first=settings.is_first_start,
        )
        tasks = {
            "reader": self.reader.run,
            "watcher": self.watcher.run,
            "housekeeping": self._housekeeping,
            "links": self.link_watch.run,
            "run_time": self._tick,
        }
        for name, function in tasks.items():
            task = Supervised(name, function, boottime_now, self.log)
            self._tasks.append(await curio.spawn(task.run, daemon=True))
        while True:
            signum = await self._signals.next()
            if signum != signal.SIGHUP:
                break
            self._reload("signal")
        await self._stop(signum)
        await self._close()

    async def _listen(self, address, handler):
        listener = Listener(address, handler, self.log)
        await listener.start()
        self._listeners.append(listener)

    async def _serve_control(self, request):
        """Answer peers and operators on the control address."""
        if request.path == PLACEMENT_PATH:
            return serve_placement(
                self.dispatcher, self.table, self.frontend.routes, request
            )
        return await self.gossip.handle_request(request)

    def _http_server(self, handler):
        async def serve(sock, peer):
            await serve_http(sock, handler, log=self.log)

        return serve

    def _reload(self, cause):
        try:
            settings = self._reload_settings()
        except SettingsError as exc:
            self.log.error("reload_failed", cause=cause, reason=exc.message)
            return
        changed = [
            name
            for name in settings.__slots__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if changed or cause == "signal":
            self.log.info("reloaded", cause=cause, changed=changed or "nothing")
        self.settings = settings
        WORK_BUDGET.set_core_share(settings.core_share)
        for part in self.settings_users:
            part.settings = settings
        for client in self._store_clients:
            client.address = settings.store_address
        if not self.feed.uses_evacuations:
            self.feed.evacuations.clear()
        self._configure_warmup()

    async def _stop(self, signum):
        """Announce the leave, finish requests, and return within the grace time.

        Requests that arrive after the announcement are still served if they can be
        expected to end in time, else refused. The platform kills the process at the end
        of the grace time.
        """
        stopping_since = boottime_now()
        grace_s = self.settings.grace_s
        self.dispatcher.ends_at = stopping_since + END_FRACTION * grace_s
        self.view.local_member.state = MemberState.LEAVING
        self.view.local_member.is_active = False
        self.directory.invalidate()
        await self.gossip.trigger_heartbeat()
        self.log.info("stopping", signal=signum, running=self.frontend.running_requests)
        while boottime_now() < stopping_since + END_FRACTION * grace_s:
            await curio.sleep(STOP_POLL_S)
            if boottime_now() < stopping_since + CLOSE_IDLE_FRACTION * grace_s:
                continue
            await self._caller_listener.stop()
            await self.frontend.close_idle_connections()
            if not self._caller_listener.connection_count:
                break
        if self.frontend.running_requests:
            self.log.warning("requests_ended", running=self.frontend.running_requests)
            await self.frontend.end_requests()
            await curio.sleep(FINAL_ANSWERS_S)
        after_s = round(boottime_now() - stopping_since, 2)
        self.log.info(
            "stopped", running=self.frontend.running_requests, after_s=after_s
        )

    async def _close(self):
        """Close the listeners and end all tasks.

        Listeners close first: a task started while the others end would make the exit
        fail.
        """
        for listener in (self._caller_listener, *self._listeners):
            await listener.close()
        for task in self._tasks:
            await task.cancel()
        await self.gossip.stop()
        await self.timers.stop()
        await self.store.close()
        await self.watcher.close()

    async def _housekeeping(self):
        last_round_at = settings_checked_at = sends_logged_at = boottime_now()
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = boottime_now()
            if now - last_round_at > HOUSEKEEPING_INTERVAL_S + PAUSE_THRESHOLD_S:
                self.log.warning("paused", for_s=round(now - last_round_at, 2))
                self.reader.clear_retry_delay()
            last_round_at = now
            if now - settings_checked_at > SETTINGS_CHECK_INTERVAL_S:
                settings_checked_at = now
                self._reload("check")
            if now - sends_logged_at >= LIMITED_SENDS_INTERVAL_S:
                sends_logged_at = now
                self.dispatcher.log_limited_sends()
                self.dispatcher.log_shedding()
            self.frontend.memory.sample()
            await self.frontend.close_overdue_connections()
            await self.pool.close_expired()
            for upstream in self.table.remove_expired(now):
                await self.pool.close_idle(upstream)
            if self.replica.fresh_at is not None:
                self.table.warmup_bounds.confirmed_at = self.replica.fresh_at
            self.table.refresh_limited_services(now)
            await self._end_evacuated_use(now)
            self._log_cold_servers()
            for name in self.view.remove_expired(now):
                self.log.info("member_forgotten", member=name)
            self.replica.remove_expired_tombstones(now)
            self.crash_detector.remove_expired()
            self._update_role(now)
            if self.replica.is_complete:
                self.version_lag.note_proof(
                    self.watcher.watch.last_proof_at(self.replica.fresh_at),
                    self.settings.config_apply_s,
                )

    async def _tick(self):
        while True:
            self.table.run_time.tick(boottime_now())
            await curio.sleep(TICK_S)

    def _on_limit_end(self, server_id, born_ms, at):
        if self.table.end_rate_limit(server_id, born_ms, at):
            self.log.info(
                "server_limited", server=server_id, rate="none", source="peer"
            )

    def _configure_warmup(self):
        """Set the rates of cold servers from the settings and the configuration."""
        configuration = self.replica.configuration
        if configuration is not None:
            self.table.warmup_bounds.configure(
                self.settings.warmup_overshoot,
                self.settings.warmup_slack,
                configuration.services.values(),
            )

    def _log_cold_servers(self):
        cold = {
            upstream.server.id: upstream for upstream in self.table.cold_upstreams()
        }
        for server_id in cold.keys() - self._cold_ids:
            upstream = cold[server_id]
            self.log.info(
                "server_cold",
                server=server_id,
                service=upstream.server.service,
                rate=upstream.warmup_limit.rate,
                share=round(upstream.warmup_limit.share, 2),
                listed=upstream.server.cold,
            )
        for server_id in self._cold_ids - cold.keys():
            self.log.info("server_warm", server=server_id)
        self._cold_ids = set(cold)

    # Evacuations

    def _on_evacuation(self, evacuation, source):
        """Take over an evacuation that began or was withdrawn."""
        now = boottime_now()
        domain = evacuation.domain
        if evacuation.is_active:
            self.table.set_evacuated(domain, evacuation.stops_at)
        else:
            self.table.clear_evacuated(domain, now)
        self._stopped_domains.discard(domain)
        self.log.info(
            "evacuation_begun" if evacuation.is_active else "evacuation_withdrawn",
            domain=domain,
            era=era_of(evacuation.position),
            revision=revision_of(evacuation.position),
            stops_ms=int(max(0.0, evacuation.stops_at - now) * 1000),
            source=source,
        )

    async def _end_evacuated_use(self, now):
        """Close idle connections to evacuated domains, and end the wait for them."""
        upstreams = self.table.evacuated_upstreams()
        for upstream in upstreams:
            if upstream.idle_connection_count:
                await self.pool.close_idle(upstream)
        if upstreams:
            await self.dispatcher.fail_evacuated()
        for evacuation in self.feed.evacuations.active():
            domain = evacuation.domain
            if evacuation.stops_at > now or domain in self._stopped_domains:
                continue
            self._stopped_domains.add(domain)
            in_domain = [u for u in upstreams if u.server.domain == domain]
            self.log.info(
                "evacuation_in_force",
                domain=domain,
                servers=len(in_domain),
                running=sum(upstream.in_flight for upstream in in_domain),
            )

    # Links to servers

    def _serving_peers(self, now):
        """Return the names of the live peers that callers are sent to."""
        local = self.view.local_member
        return {
            member.name
            for member in self.view.ready_members(now)
            if member.is_active and member is not local
        }

    async def _on_links_changed(self):
        """Leave the directory without links to servers, and return with them."""
        local = self.view.local_member
        links = self.link_watch.monitor
        if links.is_lost and local.state is MemberState.READY:
            local.state = MemberState.NOT_READY
            self.directory.invalidate()
        self._update_role(boottime_now())
        await self.gossip.trigger_heartbeat()
        if links.is_failing:
            await self.dispatcher.hand_over_calls()
        if links.is_lost:
            await self.pool.close_all_idle()

    # Changes of the replica

    async def _on_changes(self, records, is_configuration_new, source):
        for record in records:
            await self._apply_record(record, source)
        if is_configuration_new:
            self._configuration_source = source
        self._update_role(boottime_now())

    def _log_regions(self, configuration):
        """Log the failure domains of each route that may use some regions only."""
        for route in configuration.routes:
            domains = self.dispatcher.allowed_domains(route)
            if domains is not None:
                self.log.info(
                    "route_regions",
                    route=route.name,
                    regions=route.allowed_regions,
                    domains=sorted(domains) or "none",
                )

    def _serve_configuration(self):
        """Serve callers by the replica's configuration if they are not yet.

        It waits until the evacuated domains are known. What is in force is compared
        with the replica, so that a version whose first application failed is applied
        by the next call.
        """
        configuration = self.replica.configuration
        if configuration is self._served_configuration:
            return
        if not self.feed.knows_evacuations:
            return
        try:
            self._apply_configuration(configuration)
        except Exception as exc:
            TASK_FAILURES["configuration"] += 1
            self.log.error(
                "configuration_not_applied",
                version=configuration.version,
                error=repr(exc),
                at=error_place(exc),
            )

    def _apply_configuration(self, configuration):
        self.table.connection_limits = {
            name: service.max_connections
            for name, service in configuration.services.items()
        }
        self._configure_warmup()
        self.frontend.apply_configuration()
        self._served_configuration = configuration
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            revision=revision_of(self.replica.configuration_position),
            routes=len(configuration.routes),
            source=self._configuration_source,
        )
        self._log_regions(configuration)

    async def _apply_record(self, record, source):
        now = boottime_now()
        server = record.server
        server_id = record.key[len(SERVER_PREFIX) :]
        if server is None:
            change = "gone" if self.table.get(server_id) else "ignored"
            replaced = self.table.retire(server_id, record.serves_until, now)
        else:
            replaced = self.table.apply(server, record.serves_until, now)
            change = "leaving" if server.leaving else "usable"
            announced_until = self.replica.announced_until(record.key)
            if announced_until is not None:
                self.table.announce_end(server_id, server.born_ms, announced_until)
        upstream = self.table.get(server_id)
        if upstream is not None and upstream.is_leaving:
            await self.pool.close_idle(upstream)
        if replaced is not None:
            await self.pool.close_idle(replaced)
        self.log.info(
            "server_news",
            server=server_id,
            change=change,
            service=server.service if server else "",
            revision=revision_of(record.position),
            serves_ms=int(max(0.0, record.serves_until - now) * 1000),
            source=source,
        )

    def _update_role(self, now):
        """Update whether this daemon is ready and active, and the number of entries."""
        local = self.view.local_member
        self._serve_configuration()
        if (
            local.state is MemberState.NOT_READY
            and self.replica.is_complete
            and self.feed.knows_evacuations
            and not self.link_watch.monitor.is_lost
        ):
            local.state = MemberState.READY
            self.directory.invalidate()
            self.log.info("ready", after_s=round(now - self.started_at, 2))
        active_members = self.directory.active_members(now)
        names = [member.name for chosen in active_members.values() for member in chosen]
        is_active = local.name in names
        if is_active != local.is_active:
            local.is_active = is_active
            self.pool.set_active(is_active)
            self.log.info("role_changed", carries=is_active, carriers=names)
        # A standby sends to the servers too, so it counts itself.
        entry_count = len(names) + (not is_active)
        self.table.entry_count = entry_count
        self.table.rate_shares.active_names = tuple(names)
        self._note_entitled(active_members, now)
        # Whether this entry is ready or not, it counts itself among the standbys.
        alive_count = len(self.view.alive_members(now))
        standby_count = max(int(not is_active), alive_count - len(names))
        self.dispatcher.budget_share = slack_share(is_active, len(names), standby_count)

    def _note_entitled(self, active_members, now):
        """Record who may send to cold servers: all entries that are active.

        Those that count themselves as active are among them, and those of earlier
        builds.
        """
        members = [m for m in self.view.alive_members(now) if m.is_active]
        for chosen in active_members.values():
            members.extend(chosen)
        local_host = self.view.local_member.host
        self.table.rate_shares.note_active(
            members,
            now,
            now - self.started_at,
            ACTIVE_PER_DOMAIN * len(self.settings.domains),
            any(host != local_host for host, _ in self.settings.seeds),
        )

    # Metrics

    async def _serve_metrics(self, request):
        if request.path != METRICS_PATH:
            return HTTPResponse(404)
        body = render_metrics(
            [*self.frontend.metric_families(), *self._metric_families()]
        )
        return HTTPResponse(200, body, {"content-type": "text/plain; version=0.0.4"})

    def _evacuations_age_s(self, now):
        known_at = self.feed.evacuations.known_at
        return -1.0 if known_at is None else max(0.0, now - known_at)

    def _metric_families(self):
        now = boottime_now()
        counters = {
            "exchanges": ("Exchanges with servers by kind.", self.dispatcher.counts),
            "shedding": (
                "Calls refused, returns and calls given up where work is shed by cost.",
                self.dispatcher.shedding.counts,
            ),
            "gossip": ("Datagrams and their bytes.", self.gossip.counts),
            "lookups": ("Look-ups at the directory.", self.directory.counts),
            "evacuations": (
                "Evacuations of failure domains by what became of them.",
                self.feed.evacuations.counts,
            ),
            "configuration_checks": (
                "Comparisons of the configuration with the store's own key.",
                self.reader.configuration_check.counts,
            ),
            "configuration_watch": (
                "Calls of the own watch of the configuration, and renewals by reason.",
                self.watcher.watch.counts,
            ),
            "served_by_older_version": (
                "Requests served by an older configuration than one that is known.",
                {"requests": self.version_lag.count},
            ),
            "task_failures": ("Failures of tasks that were restarted.", TASK_FAILURES),
        }
        metric_families = [
            MetricFamily(
                "counter",
                name,
                help_text,
                {(("kind", kind),): count for kind, count in counts.items()},
            )
            for name, (help_text, counts) in counters.items()
        ]
        age_s = self.replica.age_s(now)
        gauges = {
            "configuration_version": (
                "Version in force.",
                self.frontend.version_in_force,
            ),
            "configuration_known_version": (
                "Version of the replica.",
                self.replica.configuration_version,
            ),
            "configuration_revision": (
                "Revision of the newest configuration that was read.",
                revision_of(self.feed.configuration_read_position),
            ),
            "cursor_revision": (
                "Revision after which changes of the store are read.",
                revision_of(self.feed.cursor or 0),
            ),
            "knowledge_age_seconds": ("Age of the knowledge.", age_s or 0.0),
            "carries": (
                "Whether callers are sent here.",
                int(self.view.local_member.is_active),
            ),
            "requests_suspected": (
                "Requests under which servers ended.",
                self.crash_detector.counts["suspects"],
            ),
            "requests_quarantined": (
                "Requests refused since servers ended under them.",
                self.crash_detector.counts["refused"],
            ),
            "links_failing": (
                "Whether no server can be reached.",
                int(self.link_watch.monitor.is_failing),
            ),
            "limited_services": (
                "Services with a server that limits its rate or is cold and bounded.",
                len(self.table.limited_services),
            ),
            "evacuated_domains": (
                "Failure domains under evacuation.",
                len(self.feed.evacuations.active()),
            ),
            "evacuations_age_seconds": (
                "Age of the knowledge of evacuations, -1 if unknown or not used.",
                self._evacuations_age_s(now),
            ),
            "cold_servers": (
                "Cold servers whose rate is bounded.",
                len(self.table.cold_upstreams()),
            ),
            "members": ("Daemons heard lately.", len(self.view.alive_members(now))),
            "relay_peers": (
                "Live peers that take requests of others.",
                sum(
                    self.view.has_ability(member, RELAY_ABILITY)
                    for member in self.view.alive_members(now)
                ),
            ),
            "store_calls": (
                "Calls of the store.",
                self.store.call_count + self.watcher.call_count,
            ),
            "store_reads": (
                "Reads of the store, failed ones included.",
                self.reader.read_count,
            ),
            "reply_bytes": (
                "Bytes of replies that are not complete, or kept for a while.",
                self.pool.buffered_bytes,
            ),
            "error_replies_dropped": (
                "Error replies not kept while their requests were sent again.",
                self.dispatcher.error_replies.counts["dropped"],
            ),
            "connections_opened": ("Connections to servers.", self.pool.opened_count),
            "messages_slowed": (
                "Messages in small parts that were read slowly.",
                WORK_BUDGET.counts["slowed"],
            ),
            "messages_refused": (
                "Messages in too many small parts.",
                WORK_BUDGET.counts["refused"],
            ),
            "sends_diverted": (
                "Sends kept off a connection that had replied to the same request.",
                self.pool.diverted_count,
            ),
        }
        metric_families.extend(
            MetricFamily("gauge", name, help_text, {(): value})
            for name, (help_text, value) in gauges.items()
        )
        return metric_families
