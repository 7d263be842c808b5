"""Model of the entries of a fleet that distribute the store's contents.

Gossip, feed and reader are those of the entry daemon. Network, store and time are
modelled, so that faults of a minute are played in a second, with the same result for
the same seed.
"""

import functools
import random
import types

import curio
import orjson

from almondtide.entry.codec import decode_snapshot, encode_snapshot
from almondtide.entry.configuration_watcher import ConfigurationWatcher
from almondtide.entry.feed import StoreFeed
from almondtide.entry.gossip import Gossip
from almondtide.entry.members import (
    Member,
    MembershipView,
    MemberState,
    select_active_members,
)
from almondtide.entry.reader import StoreReader
from almondtide.entry.replica import StoreReplica
from almondtide.entry.run_time import TICK_S, RunTime
from almondtide.errors import DocumentError, PlatformError
from almondtide.logs import Log
from almondtide.model.position import era_of, make_position, revision_of
from almondtide.platform.documents import CONFIGURATION_KEY, SERVER_PREFIX
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import (
    ChangePage,
    HistoryLostError,
    StoreItem,
    StoreRestoredError,
    StoreTimeoutError,
)

from .virtual_time import VirtualClock, run_in_virtual_time

__all__ = [
    "GossipFleet",
    "ModelStore",
    "RecordingLog",
    "entry_settings",
    "play",
    "server_document",
]

DOMAINS = ("lautoka", "nadi", "suva")
CONTROL_PORT = 8224
PAGE_ITEMS = 50
# Time in s between two roles of an entry, and between two looks at the end of a pause.
HOUSEKEEPING_INTERVAL_S = 0.25
PAUSE_POLL_S = 0.01
# Time in s between two looks of a waiting watch, and how long watches hear nothing
# before the history is dropped.
WATCH_POLL_S = 0.005
COMPACTION_S = 1.0
SERVER_HEARTBEAT_S = 1.2
# Distance of the incarnations of two processes of one entry.
INCARNATION_STEP = 1000
STORE_TIMEOUT_S = 0.8
BOUNDS = {
    "contact_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 116,
    "ttl_max_s": 5,
}


class RecordingLog(Log):
    """Records the events of an entry as (time in s, name, fields).

    ``on_event`` is a function that is called with each name, or None.
    """

    def __init__(self, now):
        super().__init__()
        self._now = now
        self.on_event = None
        self.events = []

    def _note(self, name, **fields):
        self.events.append((self._now(), name, fields))
        if self.on_event is not None:
            self.on_event(name)

    info = warning = refusal = error = debug = trace = _note


@types.coroutine
def _pausable(coroutine, is_paused):
    """Run a coroutine; after each of its waits, hold it while ``is_paused()``."""
    result = exc = None
    is_cancelled = False
    while True:
        try:
            trap = coroutine.send(result) if exc is None else coroutine.throw(exc)
        except StopIteration as stop:
            return stop.value
        result = exc = None
        try:
            result = yield trap
        except (Exception, curio.CancelledError) as error:
            exc = error
        is_cancelled = is_cancelled or isinstance(exc, curio.TaskCancelled)
        while is_paused() and not is_cancelled:
            try:
                yield from curio.sleep(PAUSE_POLL_S)
            except curio.CancelledError as error:
                # A timeout of the coroutine, or its cancellation.
                exc = error
                is_cancelled = isinstance(exc, curio.TaskCancelled)


class ModelStore:
    """The platform's store: items, their changes, and how it answers each host.

    ``answer_s`` is the time of an answer, in s. ``refusals`` maps hosts to ``busy``,
    which answers with a refusal, or ``silent``. ``silent_watches`` is the number of
    watches of a host that get no answer, ``refused_calls`` that of calls of a host that
    are refused, and ``lost_answers`` that of answers to a host that are lost: the next
    ones to be made, of watches that wait too. While ``is_compacting``, watches get no
    answer; they wait ``max_wait_ms`` at most. ``on_call`` is a function that is called
    with (host, "before" or "after") around the making of each answer, ``on_change`` one
    that is called with each changed ``StoreItem``; None for none.
    """

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.refusals = {}
        self.silent_watches = {}
        self.refused_calls = {}
        self.lost_answers = {}
        self.is_compacting = False
        self.watches_cut = 0
        self.max_wait_ms = 30_000
        self.on_call = None
        self.on_change = None
        self.items = {}
        self.changes = []
        self.revision = 1
        self.era = 0
        self._first_revision = 1

    def put(self, key, document):
        """Write a document as JSON."""
        self.put_raw(key, orjson.dumps(document))

    def put_raw(self, key, value):
        """Write a value of bytes."""
        self.items[key] = self._append_change(key, value)

    def remove(self, key):
        """Remove a key."""
        del self.items[key]
        self._append_change(key, None)

    def _append_change(self, key, value):
        self.revision += 1
        item = StoreItem(key, self.position(), value)
        self.changes.append(item)
        if self.on_change is not None:
            self.on_change(item)
        return item

    def position(self):
        """Return the position of the last change."""
        return make_position(self.era, self.revision)

    def drop_history(self):
        """Drop all past changes."""
        self.changes = []
        self._first_revision = self.revision + 1

    async def compact(self):
        """Let watches hear nothing for a while, then drop the history and cut them."""
        self.is_compacting = True
        await curio.sleep(COMPACTION_S)
        self.is_compacting = False
        self.drop_history()
        self.watches_cut += 1

    def copy(self):
        """Return a copy of the contents, for ``restore``."""
        return dict(self.items), self.revision

    def restore(self, copy):
        """Go back to a copy, in a new era and without the history."""
        items, self.revision = copy
        self.era += 1
        self.items = {
            key: StoreItem(
                key, make_position(self.era, revision_of(item.position)), item.value
            )
            for key, item in items.items()
        }
        self.drop_history()

    def changes_after(self, position, prefix):
        """Return the changes of keys with a prefix; raises ``HistoryLostError``."""
        revision = revision_of(position)
        if era_of(position) != self.era:
            raise StoreRestoredError(f"the store was restored: era {self.era}")
        if revision + 1 < self._first_revision or revision > self.revision:
            raise HistoryLostError("the store no longer has these changes")
        return [
            item
            for item in self.changes
            if item.position > position and item.key.startswith(prefix)
        ]


class _StoreSession:
    """The ``StoreClient`` of one entry of a model."""

    def __init__(self, store, host):
        self._store = store
        self._host = host
        self.timeout_s = STORE_TIMEOUT_S
        self.call_count = 0
        self.era = 0
        self.invalid_era = None
        self.invalid_key = None

    async def _call(self, make_answer, timeout_s=None, is_silent=False):
        self.call_count += 1
        timeout_s = self.timeout_s if timeout_s is None else timeout_s
        store = self._store
        mode = store.refusals.get(self._host)
        if is_silent or mode == "silent" or store.answer_s > timeout_s:
            await curio.sleep(timeout_s)
            raise StoreTimeoutError(f"no answer within {timeout_s} s")
        await curio.sleep(store.answer_s)
        refused_calls = store.refused_calls.get(self._host, 0)
        if refused_calls:
            store.refused_calls[self._host] = refused_calls - 1
        if mode == "busy" or refused_calls:
            raise PlatformError("the store answered with status 503")
        lost_answers = store.lost_answers.get(self._host, 0)
        if lost_answers:
            store.lost_answers[self._host] = lost_answers - 1
            await curio.sleep(timeout_s)
            raise StoreTimeoutError(f"no answer within {timeout_s} s")
        self._report("before")
        self.era = store.era
        answer = make_answer()
        self._report("after")
        return answer

    def _report(self, phase):
        if self._store.on_call is not None:
            self._store.on_call(self._host, phase)

    async def get(self, key, timeout_s=None):
        """Return the item at a key, or None."""
        return await self._call(lambda: self._store.items.get(key), timeout_s)

    async def read(self, prefix):
        """Return (items with ``prefix``, position at the first page)."""
        items, position, after = [], None, ""
        while True:
            page, page_position, has_more = await self._call(
                functools.partial(self._make_page, prefix, after)
            )
            items.extend(page)
            if position is None:
                position = page_position
            elif era_of(position) != era_of(page_position):
                raise StoreRestoredError("the store was restored during the read")
            if not has_more:
                return items, position
            after = page[-1].key

    def _make_page(self, prefix, after):
        items = self._store.items
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [items[key] for key in keys[:PAGE_ITEMS]]
        return page, self._store.position(), len(keys) > PAGE_ITEMS

    async def changes(self, prefix, after, wait_ms, timeout_s):
        """Return a ``ChangePage`` of all changes since position ``after``.

        The store waits up to ``wait_ms`` for the first one.
        """
        silent_watches = self._store.silent_watches.get(self._host, 0)
        if silent_watches:
            self._store.silent_watches[self._host] = silent_watches - 1
            return await self._call(None, timeout_s, is_silent=True)
        try:
            async with curio.timeout_after(timeout_s):
                await self._wait_for_change(prefix, after, wait_ms)
        except curio.TaskTimeout as exc:
            self.call_count += 1
            raise StoreTimeoutError(f"no answer within {timeout_s} s") from exc
        return await self._call(
            lambda: ChangePage(
                self._store.changes_after(after, prefix), self._store.position(), 1, 0
            ),
            timeout_s,
        )

    async def _wait_for_change(self, prefix, after, wait_ms):
        """Wait until a watch would be answered; raises if it is cut."""
        store = self._store
        watches_cut = store.watches_cut
        polls_left = int(min(wait_ms, store.max_wait_ms) / 1000.0 / WATCH_POLL_S)
        while True:
            is_silent = store.refusals.get(self._host) == "silent"
            if store.watches_cut > watches_cut or store.refusals.get(self._host):
                if not is_silent:
                    raise PlatformError("the watch was cut")
            elif not store.is_compacting and (
                polls_left <= 0
                or store.era != era_of(after)
                or store.changes_after(after, prefix)
            ):
                return
            polls_left -= 1
            await curio.sleep(WATCH_POLL_S)

    async def close(self):
        """Close the connection; the model has none."""


class _ModelSocket:
    """A datagram socket of the model's network."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self._inbox = []
        self._arrived = curio.Event()
        # The part that does not wait, as curio's sockets have it.
        self._socket = types.SimpleNamespace(recvfrom=self._receive_now)

    def _receive_now(self, size):
        if not self._inbox:
            raise BlockingIOError
        return self._inbox.pop(0)

    async def recvfrom(self, size):
        """Wait for a datagram; return it with its address."""
        while not self._inbox:
            self._arrived.clear()
            await self._arrived.wait()
        return self._inbox.pop(0)

    async def sendto(self, raw, address):
        """Send a datagram, which the network may lose."""
        await self._fleet.send(raw, self._host, address[0])

    async def put(self, raw, host):
        """Append a datagram that has arrived."""
        self._inbox.append((raw, (host, CONTROL_PORT)))
        await self._arrived.set()


class _ModelGossip(Gossip):
    """Pulls snapshots over the model's network, but none until a time in s."""

    # ``Gossip`` has slots.
    __slots__ = ("fleet", "no_snapshot_until")

    def __init__(self, *args):
        super().__init__(*args)
        self.no_snapshot_until = 0.0

    async def _pull_snapshot(self, host):
        asked_at = self._now()
        if asked_at < self.no_snapshot_until:
            return
        raw = await self.fleet.fetch_snapshot(self.view.local_member.host, host)
        if raw is None:
            return
        try:
            snapshot = decode_snapshot(raw)
        except DocumentError as exc:
            self._log.warning("snapshot_failed", host=host, error=exc.message)
            return
        await self._apply_snapshot(snapshot, host, asked_at)


def entry_settings(number, further_bounds=None):
    """Return the settings document of the entry with a number, from 0.

    ``further_bounds`` are added to ``BOUNDS``.
    """
    domain = DOMAINS[number % len(DOMAINS)]
    host = _entry_host(number)
    return {
        "node_name": f"front-{domain}-{number + 1}",
        "role": "entry",
        "ip": host,
        "zone": domain,
        "region": "viti-levu",
        "zones": dict.fromkeys(DOMAINS, "viti-levu"),
        "listen": {
            name: f"{host}:{CONTROL_PORT + offset}"
            for offset, name in enumerate(
                ("control", "directory", "front", "readiness")
            )
        },
        "port_range": [7740, 7755],
        "seeds": [f"10.1.0.{number}:{CONTROL_PORT}" for number in (1, 2, 3)],
        "bootstrap": True,
        "limits": {"cpu_share": 0.731, "cores": 1, "memory_mb": 222},
        "bounds": {**BOUNDS, **(further_bounds or {})},
        "platform": {"address": "10.200.1.7:8229", "form": "read"},
    }


def server_document(**fields):
    """Return what a server writes of itself to the store, with some fields changed."""
    document = {
        "service": "shard-1",
        "address": "10.3.1.1:8000",
        "zone": DOMAINS[0],
        "version": "1",
        "capacity": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 7,
    }
    return {**document, **fields}


def _entry_host(number):
    return f"10.1.0.{number + 1}" if number < 250 else f"10.2.0.{number - 249}"


class _ModelEntry:
    """One entry: replica, feed, gossip and reader; ``restart`` makes them anew.

    ``log`` holds the events of all its processes.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.paused_until = 0.0
        self.is_stopped = False
        self._tasks = []
        self.host = _entry_host(number)
        self.log = RecordingLog(fleet.clock.monotonic)
        self._incarnation = number + 1
        self._create_process(entry_settings(number, fleet.further_bounds))

    def _create_process(self, settings_document):
        fleet = self.fleet
        settings = decode_settings(orjson.dumps(settings_document))
        now = fleet.clock.monotonic
        local = Member(
            settings.instance,
            self._incarnation,
            self.host,
            settings.domain,
            MemberState.NOT_READY,
            0.73,
            False,
            now(),
        )
        self.view = MembershipView(local)
        self.replica = StoreReplica()
        self.feed = StoreFeed(settings, self.replica, self.log)
        self.gossip = _ModelGossip(
            settings,
            self.view,
            self.replica,
            self.feed,
            self._on_changes,
            now,
            self.log,
        )
        self.gossip.fleet = fleet
        self.run_time = RunTime()
        self.gossip.set_run_time(self.run_time)
        self.gossip._sock = self.socket = _ModelSocket(fleet, self.host)
        self.store = _StoreSession(fleet.store, self.host)
        self.reader = StoreReader(
            settings,
            self.store,
            self.view,
            self.replica,
            self.feed,
            self.gossip,
            self._on_changes,
            now,
            self.log,
        )

        self.watcher = ConfigurationWatcher(
            settings,
            _StoreSession(fleet.store, self.host),
            self.view,
            self.feed,
            self.gossip,
            self._on_changes,
            now,
            self.log,
        )

    async def restart(self, is_supplied=True):
        """End the process and start another one, which knows nothing of before.

        Without ``is_supplied`` it gets no snapshot for a second, and has to read the
        store itself.
        """
        await self.stop()
        self._incarnation += INCARNATION_STEP
        settings = entry_settings(self.number, self.fleet.further_bounds)
        self._create_process({**settings, "bootstrap": False})
        if not is_supplied:
            self.gossip.no_snapshot_until = self.fleet.now + 1.0
        self.is_stopped = False
        await self.start()

    @property
    def name(self):
        """Name of the entry."""
        return self.view.local_member.name

    @property
    def is_paused(self):
        """Whether the process is paused."""
        return self.fleet.now < self.paused_until

    async def start(self):
        """Start the tasks of the entry."""
        tasks = (
            self.gossip._receive,
            self.gossip._run_heartbeats,
            self.reader.run,
            self.watcher.run,
            self._housekeeping,
            self._tick,
        )
        for function in tasks:
            coroutine = _pausable(function(), lambda: self.is_paused)
            self._tasks.append(await curio.spawn(coroutine, daemon=True))

    async def stop(self):
        """End the process without a word to its peers."""
        self.is_stopped = True
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()

    async def _tick(self):
        while True:
            self.run_time.tick(self.fleet.now)
            await curio.sleep(TICK_S)

    async def _housekeeping(self):
        local = self.view.local_member
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = self.fleet.now
            if self.replica.is_complete and local.state is MemberState.NOT_READY:
                local.state = MemberState.READY
            chosen = select_active_members(self.view.ready_members(now))
            local.is_active = local in chosen.get(local.domain, ())
            self.view.remove_expired(now)

    async def _on_changes(self, records, is_configuration_new, source):
        if is_configuration_new:
            version = self.replica.configuration_version
            in_force = self.fleet.in_force.setdefault(version, {})
            in_force.setdefault(self.name, self.fleet.now)


class GossipFleet:
    """Entries, their network and their store.

    Delays are in s and uniform between ``delay_s`` and ``delay_s + jitter_s``;
    ``loss`` is the share of datagrams that are lost, ``server_count`` the number of
    servers that write heartbeats. ``in_force`` maps versions of the
    configuration to the times at which entries put them into force, by name, and
    ``acknowledged`` to the time of the store's acknowledgement.
    """

    def __init__(
        self,
        clock,
        count=15,
        seed=1,
        delay_s=0.0005,
        jitter_s=0.002,
        loss=0.0,
        further_bounds=None,
        server_count=40,
    ):
        self.clock = clock
        self.server_count = server_count
        self.further_bounds = further_bounds or {}
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.jitter_s = jitter_s
        self.loss = loss
        self.store = ModelStore()
        self.in_force = {}
        self.acknowledged = {}
        self.entries = [_ModelEntry(self, number) for number in range(count)]
        self._entries_by_host = {entry.host: entry for entry in self.entries}
        # Functions (source, destination) -> whether datagrams and snapshots are cut.
        self.is_cut = lambda source, destination: False
        # Host -> time in s that its link holds each datagram that it sends.
        self.held_s = {}

    @property
    def now(self):
        """Current time in s."""
        return self.clock.monotonic()

    async def start(self):
        """Write the first contents of the store and start all entries."""
        self.publish(1)
        await curio.spawn(self._run_servers, self.server_count, daemon=True)
        for entry in self.entries:
            await entry.start()

    async def _run_servers(self, count):
        """Let servers write their heartbeats one after the other."""
        sequence = 0
        while True:
            for number in range(count):
                document = server_document(
                    service=f"shard-{number % 10}",
                    address=f"10.3.0.{number + 1}:8000",
                    zone=DOMAINS[number % len(DOMAINS)],
                    sequence=sequence,
                )
                self.store.put(f"{SERVER_PREFIX}i-{number}", document)
                if sequence:
                    await curio.sleep(SERVER_HEARTBEAT_S / count)
            sequence += 1

    def publish(self, version):
        """Write a configuration; the store acknowledges it now."""
        document = {"version": version, "routes": [], "services": []}
        self.store.put(CONFIGURATION_KEY, document)
        self.acknowledged[version] = self.now

    def pause(self, entry, for_s):
        """Pause the process of an entry."""
        entry.paused_until = max(entry.paused_until, self.now + for_s)

    async def send(self, raw, source, destination):
        """Deliver a datagram after the network's delay, or lose it."""
        receiver = self._entries_by_host.get(destination)
        if receiver is None or self.is_cut(source, destination):
            return
        if receiver.is_stopped or self.rng.random() < self.loss:
            return
        await curio.spawn(self._deliver, raw, source, receiver, daemon=True)

    async def _deliver(self, raw, source, receiver):
        await curio.sleep(self._delay() + self.held_s.get(source, 0.0))
        await receiver.socket.put(raw, source)

    def _delay(self):
        return self.delay_s + self.jitter_s * self.rng.random()

    async def fetch_snapshot(self, source, destination):
        """Return the snapshot of an entry, or None if it does not answer in 1 s."""
        peer = self._entries_by_host[destination]
        if peer.is_stopped or peer.is_paused or self.is_cut(source, destination):
            await curio.sleep(1.0)
            return None
        await curio.sleep(self._delay())
        replica = peer.replica
        position, _ = peer.feed.shared_position
        evacuations = peer.feed.evacuations.summary(self.now)
        raw = encode_snapshot(
            replica, position, replica.age_s(self.now), [], evacuations
        )
        await curio.sleep(self._delay())
        return raw

    def last_in_force_s(self, version, excused=()):
        """Return the time from the acknowledgement to the last entry, in s.

        Entries that have not put the version or a later one into force count until
        now. Entries that stopped, and those of ``excused``, do not count.
        """
        last = 0.0
        for entry in self.entries:
            if entry.is_stopped or entry in excused:
                continue
            times = [
                in_force[entry.name]
                for known, in_force in self.in_force.items()
                if known >= version and entry.name in in_force
            ]
            last = max(last, min(times, default=self.now))
        return last - self.acknowledged[version]


def play(scenario, seed=1, **options):
    """Run ``scenario(fleet)``, an async function, in a new fleet; return its result.

    The fleet has been up for two seconds when the scenario starts.
    """
    clock = VirtualClock()
    state = random.getstate()
    random.seed(seed)

    async def run_scenario():
        fleet = GossipFleet(clock, seed=seed, **options)
        await fleet.start()
        await curio.sleep(2.0)
        try:
            return await scenario(fleet)
        finally:
            for entry in fleet.entries:
                await entry.stop()

    try:
        return run_in_virtual_time(run_scenario, clock=clock)
    finally:
        random.setstate(state)
