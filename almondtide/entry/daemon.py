"""The entry daemon: assembles its parts and runs them from start to stop."""

import secrets
import signal

import curio

from ..adapters.http import HTTPResponse, serve_http
from ..adapters.listener import Listener
from ..errors import SettingsError
from ..platform.documents import SERVER_PREFIX
from ..platform.store import StoreClient
from ..timers import Timers
from .connections import ConnectionPool
from .crash_detector import CrashDetector
from .directory import Directory
from .dispatch import Dispatcher
from .feed import StoreFeed
from .front import Front
from .gossip import Gossip
from .knowledge import Knowledge
from .measures import Measure, render
from .members import Member, MemberState, View
from .reader import StoreReader
from .steady import SteadyClock, steady_now
from .upstreams import UpstreamTable

__all__ = ["EntryDaemon"]

# Time after which a call of the store counts as lost, in s.
STORE_TIMEOUT_S = 0.8
HOUSEKEEPING_S = 0.25
# The settings file may change without a signal; it is read this often, in s.
SETTINGS_CHECK_S = 2.0
# A gap between two rounds of housekeeping, in s, that means the process stood.
PAUSE_S = 1.0
# Parts of the stopping time after which idle connections close, and after which
# the process ends at the latest.
CLOSE_IDLE_PART = 0.6
END_PART = 0.84
STOP_LOOK_S = 0.1
# Time for the last answers of a stopping process, in s.
LAST_ANSWERS_S = 0.2
METRICS_PATH = "/metrics"


class EntryDaemon:
    """One daemon between callers and servers."""

    def __init__(self, settings, log, signals, reload_settings):
        now = steady_now
        self.settings = settings
        self.log = log
        self._signals = signals
        self._reload_settings = reload_settings
        self.started = now()
        me = Member(
            settings.instance,
            secrets.randbits(48),
            settings.caller_address[0],
            settings.domain,
            MemberState.STARTING,
            settings.core_share,
            False,
            self.started,
        )
        self.view = View(me)
        self.knowledge = Knowledge()
        feed = StoreFeed(settings, self.knowledge, log)
        self.gossip = Gossip(
            settings, self.view, self.knowledge, feed, self._on_news, now, log
        )
        self.store = StoreClient(settings.store_address, STORE_TIMEOUT_S)
        self.reader = StoreReader(
            settings,
            self.store,
            self.view,
            self.knowledge,
            feed,
            self.gossip,
            self._on_news,
            now,
            log,
        )
        self.table = UpstreamTable(settings.domain)
        self.pool = ConnectionPool(now)
        self.crash_detector = CrashDetector(now, log)
        self.dispatcher = Dispatcher(
            self.table, self.pool, settings, self.crash_detector, now, log
        )
        self.dispatcher.set_loss_reporter(self.gossip.spread_losses)
        self.gossip.on_loss(self.crash_detector.merge_peer_losses)
        self.timers = Timers(SteadyClock(), self.dispatcher.on_timer)
        self.dispatcher.set_timers(self.timers)
        self.front = Front(self.dispatcher, self.knowledge, self.view, now, log)
        self._caller_listener = Listener(settings.caller_address, self.front.serve, log)
        self._listeners = []
        self._tasks = []
        self.directory = Directory(settings, self.view, now)
        # Parts that hold the settings and take new ones.
        self.configured = (
            self.gossip,
            self.reader,
            feed,
            self.dispatcher,
            self.directory,
        )

    # Life

    async def run(self):
        """Run until SIGTERM or SIGINT and the end of the requests under way."""
        settings = self.settings
        directory = self.directory
        await self.timers.start()
        await self.gossip.start()
        await self._listen(settings.control_address, self._http(self.gossip.serve))
        await self._listen(settings.directory_address, self._http(directory.resolve))
        await self._listen(settings.readiness_address, self._http(directory.readiness))
        await self._listen(settings.metrics_address, self._http(self._metrics))
        await self._caller_listener.start()
        self.log.info(
            "started",
            instance=settings.instance,
            domain=settings.domain,
            incarnation=self.view.me.incarnation,
            seeds=len(settings.seeds),
            first=settings.is_first_start,
        )
        for function in (self.reader.run, self._housekeeping):
            self._tasks.append(await curio.spawn(function, daemon=True))
        while True:
            number = await self._signals.next()
            if number != signal.SIGHUP:
                break
            self._reload("signal")
        await self._stop(number)
        await self._close()

    async def _listen(self, address, handler):
        listener = Listener(address, handler, self.log)
        await listener.start()
        self._listeners.append(listener)

    def _http(self, handler):
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
        for part in self.configured:
            part.settings = settings

    async def _stop(self, number):
        """Leave, answer what still arrives, and end before the platform kills."""
        begun = steady_now()
        grace_s = self.settings.grace_s
        self.view.me.state = MemberState.LEAVING
        self.view.me.carries = False
        self.directory.forget()
        await self.gossip.speak()
        self.log.info("stopping", signal=number, running=self.front.running)
        while steady_now() < begun + END_PART * grace_s:
            await curio.sleep(STOP_LOOK_S)
            if steady_now() < begun + CLOSE_IDLE_PART * grace_s:
                continue
            await self._caller_listener.stop()
            await self.front.close_idle()
            if not self.front.running:
                break
        if self.front.running:
            self.log.warning("requests_ended", running=self.front.running)
            await self.front.hurry()
            await curio.sleep(LAST_ANSWERS_S)
        after_s = round(steady_now() - begun, 2)
        self.log.info("stopped", running=self.front.running, after_s=after_s)

    async def _close(self):
        """End all tasks; a task that starts another meanwhile would fail the end."""
        for listener in (self._caller_listener, *self._listeners):
            await listener.close()
        for task in self._tasks:
            await task.cancel()
        await self.gossip.stop()
        await self.timers.stop()
        await self.store.close()

    async def _housekeeping(self):
        last = checked = steady_now()
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            now = steady_now()
            if now - last > HOUSEKEEPING_S + PAUSE_S:
                self.log.warning("paused", for_s=round(now - last, 2))
                self.reader.expect_change()
            last = now
            if now - checked > SETTINGS_CHECK_S:
                checked = now
                self._reload("check")
            await self.pool.close_expired()
            for upstream in self.table.remove_expired(now):
                await self.pool.close_idle(upstream)
            for name in self.view.forget(now):
                self.log.info("member_forgotten", member=name)
            self.knowledge.forget(now)
            self.crash_detector.remove_expired()
            self._update_role(now)

    # Knowledge

    async def _on_news(self, facts, configured, source):
        for fact in facts:
            await self._apply_fact(fact, source)
        if configured:
            self.front.configure()
            configuration = self.knowledge.configuration
            self.table.connection_limits = {
                name: service.max_connections
                for name, service in configuration.services.items()
            }
            self.log.info(
                "configuration_in_force",
                version=configuration.version,
                revision=self.knowledge.configuration_revision,
                routes=len(configuration.routes),
                source=source,
            )
        self._update_role(steady_now())

    async def _apply_fact(self, fact, source):
        now = steady_now()
        server = fact.server
        server_id = fact.key[len(SERVER_PREFIX) :]
        if server is None:
            change = "gone" if self.table.get(server_id) else "ignored"
            replaced = self.table.retire(server_id, fact.serves_until, now)
        else:
            replaced = self.table.apply(server, fact.serves_until)
            change = "leaving" if server.leaving else "usable"
        known = self.table.get(server_id)
        if known is not None and known.is_leaving:
            await self.pool.close_idle(known)
        if replaced is not None:
            await self.pool.close_idle(replaced)
        self.log.info(
            "server_news",
            server=server_id,
            change=change,
            service=server.service if server else "",
            revision=fact.revision,
            serves_ms=int(max(0.0, fact.serves_until - now) * 1000),
            source=source,
        )

    def _update_role(self, now):
        me = self.view.me
        if me.state is MemberState.STARTING and self.knowledge.is_complete:
            me.state = MemberState.READY
            self.directory.forget()
            self.log.info("ready", after_s=round(now - self.started, 2))
        carriers = self.directory.carriers(now)
        names = [member.name for chosen in carriers.values() for member in chosen]
        carries = me.name in names
        if carries != me.carries:
            me.carries = carries
            self.log.info("role_changed", carries=carries, carriers=names)
        entries = len(names) + (not carries)
        self.dispatcher.budget_share = 1.0 / entries
        self.table.entry_count = entries

    # Metrics

    async def _metrics(self, request):
        if request.path != METRICS_PATH:
            return HTTPResponse(404)
        body = render([*self.front.measures(), *self._measures()])
        return HTTPResponse(200, body, {"content-type": "text/plain; version=0.0.4"})

    def _measures(self):
        now = steady_now()
        counters = {
            "exchanges": ("Exchanges with servers by kind.", self.dispatcher.counts),
            "gossip": ("Datagrams and their bytes.", self.gossip.counts),
            "lookups": ("Look-ups at the directory.", self.directory.counts),
        }
        measures = [
            Measure(
                "counter",
                name,
                text,
                {(("kind", kind),): count for kind, count in counts.items()},
            )
            for name, (text, counts) in counters.items()
        ]
        age_s = self.knowledge.age_s(now)
        gauges = {
            "configuration_version": ("Version in force.", self.knowledge.version),
            "knowledge_age_seconds": ("Age of the knowledge.", age_s or 0.0),
            "carries": ("Whether callers are sent here.", int(self.view.me.carries)),
            "requests_suspected": (
                "Requests under which servers ended.",
                self.crash_detector.counts["suspects"],
            ),
            "requests_quarantined": (
                "Requests refused since servers ended under them.",
                self.crash_detector.counts["refused"],
            ),
            "members": ("Daemons heard lately.", len(self.view.alive(now))),
            "store_calls": ("Calls of the store.", self.store.calls),
            "connections_opened": ("Connections to servers.", self.pool.opened_count),
        }
        measures.extend(
            Measure("gauge", name, text, {(): value})
            for name, (text, value) in gauges.items()
        )
        return measures
