"""The entry daemon: assembles its parts and runs them from start to stop."""

import random
import secrets
import signal
import time

import curio

from ..adapters.http import HTTPResponse, serve_http
from ..adapters.listener import Listener
from ..errors import PlatformError, ResultCode, SettingsError
from ..platform.documents import CONFIGURATION_KEY, SERVER_PREFIX
from ..platform.headers import READY_PATH, RESOLVE_PATH, encode_entries
from ..platform.store import HistoryLostError, StoreClient
from ..timers import Timers
from .answers import refusal
from .callers import CallerConnection
from .calls import Call
from .connections import ConnectionPool
from .dispatch import Dispatcher
from .feed import StoreFeed, read_due_at
from .gossip import Gossip
from .knowledge import Knowledge
from .members import Member, MemberState, View, choose_carriers, reading_rank
from .model import CallerLimits
from .routing import RouteTable
from .upstreams import UpstreamTable

__all__ = ["EntryDaemon"]

# How long callers use an answer of the directory, in s. It bounds how long they
# hold on to an entry that died.
DIRECTORY_TTL_S = 1.0
# A daemon that has just started waits this long, in s, for word from the others
# before it names itself as the only entry.
LISTEN_FIRST_S = 0.4
# How long a daemon that is no seed waits for knowledge from peers, in s, before it
# reads the store itself. When the fleet starts for the first time nobody calls yet;
# later all may have died together with callers waiting, and the first one up reads.
FIRST_READ_DELAY_S = 0.35
RESTART_READ_DELAY_S = 0.05
RESTART_READ_SPREAD_S = 0.15
STORE_TIMEOUT_S = 0.8
# The store answers a watch at once when servers have sent heartbeats.
WATCH_WAIT_MS = 20
HOUSEKEEPING_S = 0.25
# Age, in s, up to which the choice of carriers is used again.
CARRIERS_AGE_S = 0.1
# Time after which a caller comes back while there is no configuration, in s.
NOT_READY_RETRY_S = 0.1
# Branches of a failed or late request that its log line describes at most.
HISTORY_BRANCHES = 6
# A gap between two rounds of housekeeping, in s, that means the process stood.
PAUSE_S = 1.0
# Parts of the stopping time after which idle connections close, and after which
# the process ends at the latest.
CLOSE_IDLE_PART = 0.6
END_PART = 0.92


def _now():
    """Return seconds on a steady clock that also runs while the machine stands."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EntryDaemon:
    """One daemon between callers and servers."""

    def __init__(self, settings, log, signals, reload_settings):
        self.settings = settings
        self.log = log
        self._signals = signals
        self._reload_settings = reload_settings
        self.now = _now
        self.started = _now()
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
        self.feed = StoreFeed(self.knowledge, log)
        self.gossip = Gossip(
            settings, self.view, self.knowledge, self.feed, self._on_news, _now, log
        )
        self.table = UpstreamTable(settings.domain)
        self.pool = ConnectionPool(_now)
        self.dispatcher = Dispatcher(self.table, self.pool, settings, _now, log)
        self.timers = Timers(_Clock(), self.dispatcher.fired)
        self.dispatcher.use_timers(self.timers)
        self.routes = None
        self.store = StoreClient(settings.store_address, STORE_TIMEOUT_S)
        self._store_lost = False
        self._read_failed_at = None
        self._listeners = []
        self._connections = {}
        self._running = 0
        self.answers = {}
        self._carriers_at = 0.0
        self._carriers_now = None

    # Life

    async def run(self):
        """Run until SIGTERM or SIGINT and the end of the requests under way."""
        settings = self.settings
        await self.timers.start()
        await self.gossip.start()
        await self._listen(settings.control_address, self._http(self.gossip.serve))
        await self._listen(settings.directory_address, self._http(self._directory))
        await self._listen(settings.readiness_address, self._http(self._readiness))
        await self._listen(settings.caller_address, self._serve_caller)
        self.log.info(
            "started",
            instance=settings.instance,
            domain=settings.domain,
            incarnation=self.view.me.incarnation,
            seeds=len(settings.seeds),
        )
        await curio.spawn(self._read_loop, daemon=True)
        await curio.spawn(self._housekeeping, daemon=True)
        while True:
            number = await self._signals.next()
            if number == signal.SIGHUP:
                self._reload()
            else:
                break
        await self._stop(number)

    async def _listen(self, address, handler):
        listener = Listener(address, handler, self.log)
        await listener.start()
        self._listeners.append(listener)

    def _reload(self):
        try:
            settings = self._reload_settings()
        except SettingsError as exc:
            self.log.error("reload_failed", reason=exc.message)
            return
        changed = [
            name
            for name in settings.__slots__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.gossip._settings = settings
        self.dispatcher._settings = settings
        self.log.info("reloaded", changed=changed or "nothing")

    async def _stop(self, number):
        begun = _now()
        grace_s = self.settings.grace_s
        self.view.me.state = MemberState.LEAVING
        self.view.me.carries = False
        await self.gossip.speak()
        self.log.info("stopping", signal=number, running=self._running)
        end = begun + END_PART * grace_s
        close_idle_at = begun + CLOSE_IDLE_PART * grace_s
        while _now() < end:
            await curio.sleep(0.1)
            if _now() < close_idle_at:
                continue
            for connection, task in list(self._connections.items()):
                await connection.close_idle(task)
            if not self._running:
                break
        self.log.info(
            "stopped", running=self._running, after_s=round(_now() - begun, 2)
        )

    # Knowledge

    async def _on_news(self, facts, configured, source):
        now = _now()
        for fact in facts:
            await self._apply_fact(fact, source)
        if configured:
            self._apply_configuration(source, now)
        self._update_role(now)

    async def _apply_fact(self, fact, source):
        server = fact.server
        server_id = fact.key[len(SERVER_PREFIX) :]
        if server is None:
            gone = self.table.remove(server_id)
            change = "gone" if gone else "ignored"
        else:
            gone = self.table.apply(server)
            change = "leaving" if server.leaving else "usable"
            if server.leaving:
                await self.pool.release(self.table.get(server_id))
        if gone is not None:
            await self.pool.release(gone)
        self.log.info(
            "server_news",
            server=server_id,
            change=change,
            service=server.service if server else "",
            revision=fact.revision,
            source=source,
        )

    def _apply_configuration(self, source, now):
        self.routes = RouteTable(self.knowledge.configuration, self.routes)
        self.log.info(
            "configuration_in_force",
            version=self.knowledge.version,
            revision=self.knowledge.configuration_revision,
            routes=len(self.knowledge.configuration.routes),
            source=source,
        )

    def _update_role(self, now):
        me = self.view.me
        if me.state is MemberState.STARTING and self.knowledge.is_complete:
            me.state = MemberState.READY
            self._carriers_now = None
            self.log.info("ready", after_s=round(now - self.started, 2))
        names = [
            member.name for chosen in self._carriers(now).values() for member in chosen
        ]
        carries = me.name in names
        if now < self.started + LISTEN_FIRST_S and len(self.settings.domains) > 1:
            # Until the others were heard every daemon is the strongest it knows.
            carries = carries and len(self.view.members) > 0
        if carries != me.carries:
            me.carries = carries
            self.log.info("role_changed", carries=carries, carriers=names)
        entries = len(names) + (not carries)
        self.dispatcher.share = 1.0 / entries
        self.table.entries = entries

    def _carriers(self, now):
        """Return the carriers by failure domain, computed a few times a second."""
        if now - self._carriers_at > CARRIERS_AGE_S or self._carriers_now is None:
            self._carriers_at = now
            self._carriers_now = choose_carriers(self.view.ready(now))
        return self._carriers_now

    async def _read_loop(self):
        is_seed = self.settings.control_address in self.settings.seeds
        if not is_seed and self.settings.seeds:
            await self._await_peers()
        while True:
            now = _now()
            due = read_due_at(
                self.knowledge.fresh_at,
                self._read_failed_at,
                reading_rank(self.view, now),
                min(self.settings.drain_s, self.settings.config_apply_s),
            )
            if now < due:
                await curio.sleep(min(0.5, max(0.01, due - now)))
                continue
            await self._read()

    async def _await_peers(self):
        if self.settings.is_first_start:
            delay_s = FIRST_READ_DELAY_S
        else:
            delay_s = RESTART_READ_DELAY_S + random.random() * RESTART_READ_SPREAD_S
        end = self.started + delay_s
        while not self.knowledge.is_complete and _now() < end:
            await curio.sleep(0.02)

    async def _read(self):
        begun = _now()
        try:
            news, configured = await self._read_store(begun)
        except PlatformError as exc:
            self._read_failed_at = _now()
            if not self._store_lost:
                self._store_lost = True
                self.log.warning(
                    "store_lost",
                    reason=exc.message,
                    age_s=_round(self.knowledge.age_s(begun)),
                )
            return
        self._read_failed_at = None
        if self._store_lost:
            self._store_lost = False
            self.log.info("store_regained", revision=self.feed.cursor)
        news.extend(self.feed.release_held(_now()))
        if news or configured:
            await self._on_news(news, configured, "store")
            await self.gossip.spread(news, configured)
        self._update_role(_now())
        await self.gossip.speak()

    async def _read_store(self, begun):
        before = self.knowledge.version
        feed = self.feed
        if feed.cursor is not None:
            try:
                items, revision = await self.store.changes(
                    "", feed.cursor, WATCH_WAIT_MS
                )
                news = feed.apply_changes(items, revision, begun)
                return news, self.knowledge.version != before
            except HistoryLostError as exc:
                self.log.info("full_read", reason=exc.message, cursor=feed.cursor)
        item = await self.store.get(CONFIGURATION_KEY)
        if item is not None:
            feed.adopt(item.value, item.revision)
        items, revision = await self.store.read(SERVER_PREFIX)
        news = feed.apply_full(items, revision, begun)
        return news, self.knowledge.version != before

    async def _housekeeping(self):
        last = _now()
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            now = _now()
            if now - last > HOUSEKEEPING_S + PAUSE_S:
                self.log.warning("paused", for_s=round(now - last, 2))
                self._read_failed_at = None
            last = now
            await self.pool.trim()
            self.view.forget(now)
            self.knowledge.forget(now)
            self._update_role(now)

    # Callers

    async def _serve_caller(self, sock, peer):
        connection = CallerConnection(sock, self)
        self._connections[connection] = await curio.current_task()
        try:
            await connection.run()
        finally:
            del self._connections[connection]

    def limits(self):
        """Return the ``CallerLimits`` in force."""
        if self.knowledge.configuration is None:
            return CallerLimits()
        return self.knowledge.configuration.limits

    def is_closing(self):
        """Return whether responses end their connection."""
        return self.view.me.state is MemberState.LEAVING

    async def answer(self, request, connection):
        """Return the ``Answer`` to a caller's request, None if it left."""
        arrived = _now()
        if self.routes is None:
            answer = refusal(
                503, ResultCode.NOT_READY, "no configuration yet", NOT_READY_RETRY_S
            )
            return self._done(request, None, answer, arrived)
        route = self.routes.find(request.host, request.path)
        if route is None:
            answer = refusal(404, ResultCode.NOT_FOUND, "no route")
            return self._done(request, None, answer, arrived)
        services = route.shards or (self.routes.pick_service(route),)
        call = Call(request, route, services, self.routes.configuration, arrived)
        connection.call = call
        self._running += 1
        try:
            answer = await self.dispatcher.run(call)
        finally:
            self._running -= 1
            connection.call = None
        self._done(request, call, answer, arrived)
        return None if call.abandoned else answer

    def _done(self, request, call, answer, arrived):
        key = (call.route.name if call else "", int(answer.code))
        self.answers[key] = self.answers.get(key, 0) + 1
        fields = {
            "id": request.id,
            "route": key[0],
            "status": answer.status,
            "code": key[1],
            "ms": round((_now() - arrived) * 1000, 1),
            "version": self.knowledge.version,
        }
        if call is not None:
            fields["parts"] = f"{call.covered}/{len(call.branches)}"
            fields["left"] = call.abandoned
            fields["sends"] = sum(len(branch.sends) for branch in call.branches)
            if call.covered < len(call.branches) or _now() > call.objective_at:
                fields["history"] = "; ".join(call.history()[:HISTORY_BRANCHES])
        self.log.info("request", **fields)
        return answer

    async def abandon(self, connection):
        """End the call of a connection that its caller closed."""
        if connection.call is not None:
            await self.dispatcher.abandon(connection.call)

    def refused(self, code, message):
        """Note a request that is not proper."""
        self.log.refusal("request_refused", code=int(code), reason=message)

    def not_delivered(self, request, exc):
        """Note an answer that the caller did not take."""
        self.log.refusal("answer_not_delivered", id=request.id, error=repr(exc))

    # Directory and readiness

    def _http(self, handler):
        async def serve(sock, peer):
            await serve_http(sock, handler, log=self.log)

        return serve

    async def _readiness(self, request):
        if request.path != READY_PATH:
            return HTTPResponse(404)
        ready = self.view.me.state is MemberState.READY
        return HTTPResponse(200 if ready else 503)

    async def _directory(self, request):
        if request.path != RESOLVE_PATH:
            return HTTPResponse(404)
        now = _now()
        chosen = self._entries_for(_query_field(request.query, "zone"), now)
        if not chosen or (
            chosen == [self.view.me] and now < self.started + LISTEN_FIRST_S
        ):
            return HTTPResponse(503)
        port = self.settings.caller_address[1]
        addresses = [(member.host, port) for member in chosen]
        ttl_s = min(DIRECTORY_TTL_S, self.settings.max_ttl_s)
        body = encode_entries(addresses, ttl_s)
        return HTTPResponse(200, body, {"content-type": "application/json"})

    def _entries_for(self, domain, now):
        carriers = self._carriers(now)
        chosen = carriers.get(domain)
        if not chosen:
            chosen = [member for members in carriers.values() for member in members]
        # A member that was chosen anew may be dead or unaware of it.
        known = [member for member in chosen if member.carries]
        return known or chosen


class _Clock:
    """The clock of timers."""

    def monotonic(self):
        return _now()


def _query_field(query, name):
    for pair in query.split("&"):
        key, _, value = pair.partition("=")
        if key == name:
            return value
    return ""


def _round(value):
    return None if value is None else round(value, 2)
