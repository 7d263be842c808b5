"""Plays all orders of a few events on a small modelled fleet, breadth first.

``python -m bench.orders --depth 3`` starts from a calm fleet of three entries and
appends each event to each order that led to a new state: a change of the configuration,
also between two calls of an entry, lost answers and updates, refusals, cuts, pauses,
ends and starts of processes, lost history, and time that passes. The gossip, feed,
reader and replica are those of the daemon. After each order, and while the fleet
settles, these must hold:

* an entry has all changes up to its cursor;
* no age claims a moment at which the store had something else than the entry;
* each entry in touch has a version in force within a time that depends on the number of
  faults.

Tasks cannot be copied, so each order is played from its start, in virtual time.
"""

import concurrent.futures
import functools

import curio
import defopt

from almondtide.entry.members import store_reader_rank
from almondtide.platform.documents import CONFIGURATION_KEY, SERVER_PREFIX
from almondtide.presentation import format_table
from almondtide.registry import Registry
from standins.gossip_fleet import BOUNDS, play, server_document

from .claims import Recorder, check

__all__ = ["Order", "events", "main", "play_order", "search"]

COLUMNS = ("events", "found")
DEFAULT_DEPTH = 2
DEFAULT_JOBS = 4
ENTRY_COUNT = 3
SERVER_COUNT = 6
# A server that writes no heartbeats, so that nothing repeats a change of it, and the
# time in s until all entries know it.
QUIET_SERVER = f"{SERVER_PREFIX}i-q"
FIRST_READ_S = 1.2
# Longest time in s from the acknowledgement of a version until all entries in touch
# have it in force: without a fault, with at most two, and with more.
CALM_BOUND_S = 0.5
FAULTS_BOUND_S = 1.5
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000.0
MAX_FAULTS = 2
# Time in s after each event, and that of the event in which only time passes. The
# latter is no divisor of the interval between two reads.
EVENT_S = 0.02
WAIT_S = 0.4
SETTLE_S = 3.4
CHECK_INTERVAL_S = 0.05
CHECKED_EVENTS = ("replica_read", "cursor_adopted")
PAUSE_S = 0.7
UPDATES_LOST_S = 0.25
HELD_S = 0.6
# Ages in a state are told apart by this much, in s.
AGE_STEP_S = 0.1

events = Registry("event")


class Order:
    """What one order of events led to.

    ``names`` are those of the events, each with the number of its entry if it has one.
    ``state`` can be compared with that of other orders; it is None if an event could
    not happen. ``found`` are texts on what did not hold.
    """

    __slots__ = ("found", "names", "state")

    def __init__(self, names, state, found):
        self.names = names
        self.state = state
        self.found = found


class _Play:
    """A running order: the fleet and what the events have done to it."""

    def __init__(self, fleet, is_rule_only):
        self.fleet = fleet
        self._is_rule_only = is_rule_only
        self.recorder = Recorder(fleet)
        self.cut_hosts = set()
        self.lossy_hosts = {}
        # Entries that were ended, started or paused: they are out of touch.
        self.excused = set()
        self.fault_count = 0
        self.server_changes = 0
        # The change that waits for a call: (its name, number of the entry), or None.
        self.awaited_call = None
        self.found = {}
        fleet.is_cut = self._is_cut
        for entry in fleet.entries:
            entry.log.on_event = self._on_event

    def _on_event(self, name):
        # A watch may bring soon afterwards what a read has missed.
        if name in CHECKED_EVENTS:
            self.check()

    def _is_cut(self, source, destination):
        return (
            source in self.cut_hosts
            or destination in self.cut_hosts
            or self.fleet.now < self.lossy_hosts.get(destination, 0.0)
        )

    def check(self):
        """Record the statements of entries that are untrue now."""
        self.recorder.note_held()
        for entry in self.fleet.entries:
            if entry.is_stopped:
                continue
            for claim, key, stated, written in check(self.recorder, entry):
                text = f"{claim} of entry {entry.number} claims {key}"
                self.found.setdefault(text, (stated, written))

    def act_in_call(self, entry, name):
        """Make a change in the next call of an entry; return whether none waits yet."""
        store = self.fleet.store
        if self.awaited_call is not None:
            return False

        def on_call(host, phase):
            if host == entry.host and phase == "after":
                store.on_call = self.awaited_call = None
                self.act(name)

        self.awaited_call = (name, entry.number)
        store.on_call = on_call
        return True

    def act(self, name):
        """Make a change now: that of the configuration, or of the quiet server."""
        if name == "change":
            self.fleet.publish(max(self.fleet.acknowledged) + 1)
            return
        self.server_changes += 1
        document = server_document(capacity=3 + self.server_changes)
        self.fleet.store.put(QUIET_SERVER, document)

    async def pass_time(self, seconds):
        """Let time pass, and check statements meanwhile."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            await curio.sleep(min(CHECK_INTERVAL_S, until - self.fleet.now))
            self.check()

    @property
    def bound_s(self):
        """Time in which a version must be in force."""
        if self._is_rule_only or self.fault_count > MAX_FAULTS:
            return CONFIG_APPLY_S
        return FAULTS_BOUND_S if self.fault_count else CALM_BOUND_S

    def late_versions(self):
        """Return texts on versions that were in force too late."""
        late = []
        for version in self.fleet.acknowledged:
            lag_s = self.fleet.last_in_force_s(version, self.excused)
            if version > 1 and lag_s > self.bound_s:
                late.append(f"version {version} in force after {lag_s:.2f} s")
        return late

    def state(self):
        """Return a comparable description of the fleet, relative to the store."""
        fleet, now = self.fleet, self.fleet.now
        newest = max(fleet.acknowledged)
        entries = tuple(
            self._entry_state(entry, newest, now) for entry in fleet.entries
        )
        store = fleet.store
        return (
            entries,
            tuple(sorted(self.cut_hosts)),
            tuple(sorted(h for h, until in self.lossy_hosts.items() if now < until)),
            tuple(sorted(h for h, count in store.lost_answers.items() if count)),
            tuple(sorted(h for h, count in store.refused_calls.items() if count)),
            tuple(sorted(fleet.held_s)),
            store.is_compacting,
            _steps(now - fleet.acknowledged[newest]) if newest > 1 else None,
            self.fault_count,
            self.server_changes,
            self.awaited_call,
        )

    def _entry_state(self, entry, newest, now):
        feed, replica = entry.feed, entry.replica
        items = self.fleet.store.items
        configuration_position = items[CONFIGURATION_KEY].position
        server = replica.record(QUIET_SERVER)
        return (
            server is None or server.position < items[QUIET_SERVER].position,
            entry.is_stopped,
            entry in self.excused,
            _steps(max(0.0, entry.paused_until - now)),
            newest - replica.configuration_version,
            feed.cursor is not None and feed.cursor >= configuration_position,
            _steps(replica.age_s(now)),
            feed.is_full_read_required,
            entry.watcher.watch.position is None,
            min(entry.watcher.watch.failures, 2),
            store_reader_rank(entry.view, now),
        )


def _steps(seconds):
    return None if seconds is None else round(min(seconds, 5.0) / AGE_STEP_S)


class _Event:
    """One kind of event.

    ``function(play, entry)`` lets it happen and returns false if it can't.
    """

    __slots__ = ("function", "has_entry", "is_fault")

    def __init__(self, function, has_entry, is_fault):
        self.function = function
        self.has_entry = has_entry
        self.is_fault = is_fault


def _register(name, has_entry=True, is_fault=True):
    def decorate(function):
        events.register(name)(_Event(function, has_entry, is_fault))
        return function

    return decorate


@_register("change", has_entry=False, is_fault=False)
async def _change(run, entry):
    run.act("change")


@_register("change in a call", is_fault=False)
async def _change_in_call(run, entry):
    """Publish a version right after the next answer to an entry was made."""
    return run.act_in_call(entry, "change")


@_register("server change", has_entry=False, is_fault=False)
async def _change_server(run, entry):
    """Change a server that writes nothing else."""
    run.act("server change")


@_register("server change in a call", is_fault=False)
async def _change_server_in_call(run, entry):
    """Change the server right after the next answer to an entry was made."""
    return run.act_in_call(entry, "server change")


@_register("time", has_entry=False, is_fault=False)
async def _pass_time(run, entry):
    await run.pass_time(WAIT_S)


@_register("lost answer")
async def _lose_answer(run, entry):
    run.fleet.store.lost_answers[entry.host] = 1


@_register("refusal")
async def _refuse(run, entry):
    run.fleet.store.refused_calls[entry.host] = 1


@_register("lost updates")
async def _lose_updates(run, entry):
    run.lossy_hosts[entry.host] = run.fleet.now + UPDATES_LOST_S


@_register("cut")
async def _cut(run, entry):
    """Cut an entry off from its peers, but not from the store."""
    if entry.host in run.cut_hosts:
        return False
    run.cut_hosts.add(entry.host)


@_register("held datagrams")
async def _hold_datagrams(run, entry):
    """Let the link of an entry hold what it sends to its peers."""
    run.excused.add(entry)
    run.fleet.held_s[entry.host] = HELD_S


@_register("pause")
async def _pause(run, entry):
    if entry.is_stopped:
        return False
    run.excused.add(entry)
    run.fleet.pause(entry, PAUSE_S)


@_register("end")
async def _end(run, entry):
    if entry.is_stopped:
        return False
    run.excused.add(entry)
    await entry.stop()


@_register("start", is_fault=False)
async def _start(run, entry):
    """Start a process anew that gets no snapshot, so that it reads the store."""
    run.excused.add(entry)
    await entry.restart(is_supplied=False)


@_register("lost history", has_entry=False)
async def _lose_history(run, entry):
    await curio.spawn(run.fleet.store.compact, daemon=True)


def all_events():
    """Return (name of an event, number of its entry or None) for each event."""
    return [
        (name, number)
        for name in events.names()
        for number in (range(ENTRY_COUNT) if events.get(name).has_entry else (None,))
    ]


def play_order(order, is_rule_only=False):
    """Play an order, a sequence as of ``all_events``; return its ``Order``.

    With ``is_rule_only`` a version may take the time that the deployment allows,
    whatever the number of faults.
    """
    names = [name if number is None else f"{name} {number}" for name, number in order]

    async def scenario(fleet):
        fleet.store.put(QUIET_SERVER, server_document())
        await curio.sleep(FIRST_READ_S)
        run = _Play(fleet, is_rule_only)
        for name, number in order:
            event = events.get(name)
            entry = None if number is None else fleet.entries[number]
            if await event.function(run, entry) is False:
                return Order(names, None, [])
            run.fault_count += event.is_fault
            await run.pass_time(EVENT_S)
        state = run.state()
        await run.pass_time(SETTLE_S)
        return Order(names, state, [*run.found, *run.late_versions()])

    return play(scenario, count=ENTRY_COUNT, server_count=SERVER_COUNT)


def search(depth=DEFAULT_DEPTH, executor=None, is_rule_only=False):
    """Play all orders of up to ``depth`` events; return (``Order`` objects, states).

    Only orders in which something did not hold are returned, and they are not
    continued. The second value is the number of different states.
    """
    found, states, frontier = [], set(), [()]
    run_all = map if executor is None else executor.map
    options = {} if executor is None else {"chunksize": 8}
    play_one = functools.partial(play_order, is_rule_only=is_rule_only)
    for _ in range(depth):
        orders = [(*order, event) for order in frontier for event in all_events()]
        frontier = []
        for order, result in zip(
            orders,
            run_all(play_one, orders, **options),
            strict=True,
        ):
            if result.state is None:
                continue
            if result.found:
                found.append(result)
            elif result.state not in states:
                states.add(result.state)
                frontier.append(order)
    return found, len(states)


def main(
    *,
    depth: int = DEFAULT_DEPTH,
    jobs: int = DEFAULT_JOBS,
    most: int = 20,
    rule_only: bool = False,
):
    """Play all orders and print those after which something did not hold.

    :param depth: largest number of events
    :param jobs: number of plays at a time
    :param most: largest number of orders that are printed
    :param rule_only: allow a version the time that the deployment allows
    """
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        found, state_count = search(depth, pool, rule_only)
    rows = [["; ".join(order.names), "; ".join(order.found)] for order in found[:most]]
    print(format_table(COLUMNS, rows))
    print(f"{len(found)} orders of up to {depth} events, {state_count} states kept")


if __name__ == "__main__":
    defopt.run(main)
