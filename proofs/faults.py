"""Seeded fault injection into a running fleet."""

import contextlib
import http.client
import random
import signal
import threading
import time

from almondtide.registry import Registry

from .history import Interval

__all__ = ["FaultInjector", "faults"]

faults = Registry("fault")

MIN_PAUSE_S = 0.3
MAX_SHORT_PAUSE_S = 1.5
LONG_PAUSE_SHARE = 0.3
READY_TIMEOUT_S = 8.0
MAX_FAULTY_DAEMONS = 2


class FaultInjector:
    """Injects faults of ``kinds`` in several threads, so that faults overlap.

    At most one fault affects a process at a time. ``gap_s`` scales the random wait
    between two faults of a thread. ``log`` holds an ``Interval`` for each fault and
    process: from the start of the fault until the process works again.
    """

    def __init__(self, fleet, kinds, seed, gap_s=0.5, max_pause_s=3.0, threads=2):
        self.fleet = fleet
        self.kinds = list(kinds)
        self.gap_s = gap_s
        self.max_pause_s = max_pause_s
        self.log = []
        self.stop_requested = threading.Event()
        self._lock = threading.Lock()
        self._faulty = set()
        self._failures = []
        self._threads = [
            threading.Thread(target=self._run, args=(f"{seed}/{n}",), daemon=True)
            for n in range(threads if kinds else 0)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self.stop_requested.set()
        for thread in self._threads:
            thread.join()
        if self._failures and details[0] is None:
            raise self._failures[0]

    def _run(self, seed):
        rng = random.Random(f"{seed}/faults")
        try:
            while not self.stop_requested.wait(rng.uniform(0.2, 2.0) * self.gap_s):
                faults.get(rng.choice(self.kinds))(self, rng)
        except Exception as exc:
            self._failures.append(exc)

    def wait(self, seconds):
        """Wait, or return early when the run ends."""
        self.stop_requested.wait(seconds)

    @contextlib.contextmanager
    def claim_target(self, kind, names, rng):
        """Reserve one of ``names`` that has no fault; yields it, or None."""
        with self._lock:
            free = sorted(set(names) - self._faulty)
            faulty_daemon_count = len(self._faulty & set(self.fleet.daemons))
            if faulty_daemon_count >= MAX_FAULTY_DAEMONS:
                free = [name for name in free if name not in self.fleet.daemons]
            chosen = rng.choice(free) if free else None
            if chosen is not None:
                self._faulty.add(chosen)
        started_at = time.monotonic()
        try:
            yield chosen
        finally:
            if chosen is not None:
                interval = Interval(f"{kind} {chosen}", started_at, time.monotonic())
                with self._lock:
                    self._faulty.discard(chosen)
                    self.log.append(interval)

    def wait_ready(self, name):
        """Wait until a daemon is ready, the timeout has passed or the run ends."""
        limit = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit and not self.stop_requested.is_set():
            with contextlib.suppress(OSError, http.client.HTTPException, TimeoutError):
                self.fleet.wait_ready(name)
                return


def _pause_process(injector, kind, names, rng):
    with injector.claim_target(kind, names, rng) as name:
        if name is None:
            return
        injector.fleet.send_signal(name, signal.SIGSTOP)
        longest_s = injector.max_pause_s
        if rng.random() > LONG_PAUSE_SHARE:
            longest_s = min(MAX_SHORT_PAUSE_S, longest_s)
        injector.wait(rng.uniform(MIN_PAUSE_S, longest_s))
        injector.fleet.send_signal(name, signal.SIGCONT)


@faults.register("pause_daemon")
def pause_daemon(injector, rng):
    """SIGSTOP a daemon and SIGCONT it after a random pause."""
    _pause_process(injector, "pause", injector.fleet.daemons, rng)


@faults.register("pause_upstream")
def pause_upstream(injector, rng):
    """SIGSTOP a server and SIGCONT it after a random pause."""
    _pause_process(injector, "pause", injector.fleet.upstreams, rng)


@faults.register("kill_daemon")
def kill_daemon(injector, rng):
    """SIGKILL a daemon and start it again."""
    with injector.claim_target("kill", injector.fleet.daemons, rng) as name:
        if name is None:
            return
        injector.fleet.kill(name)
        injector.wait(rng.uniform(0.1, 1.0))
        injector.fleet.start_daemon(name)
        injector.wait_ready(name)


@faults.register("kill_upstream")
def kill_upstream(injector, rng):
    """SIGKILL a server and start it again."""
    with injector.claim_target("kill", injector.fleet.upstreams, rng) as name:
        if name is None:
            return
        injector.fleet.kill(name)
        injector.wait(rng.uniform(0.1, 1.5))
        injector.fleet.start_upstream(name)


@faults.register("kill_service")
def kill_service(injector, rng):
    """SIGKILL all servers of one service and start them again."""
    services = sorted(
        {spec["service"] for spec in injector.fleet.upstream_specs.values()}
    )
    service = rng.choice(services)
    names = [
        name
        for name, spec in injector.fleet.upstream_specs.items()
        if spec["service"] == service
    ]
    with contextlib.ExitStack() as stack:
        claimed = [
            stack.enter_context(injector.claim_target("kill", [name], rng))
            for name in names
        ]
        claimed = [name for name in claimed if name is not None]
        for name in claimed:
            injector.fleet.kill(name)
        injector.wait(rng.uniform(0.3, 1.5))
        for name in claimed:
            injector.fleet.start_upstream(name)


def _inject_link_fault(injector, rng, kind, fault_settings, normal_settings, longest_s):
    links = [name for name in injector.fleet.link_addresses if name.startswith("peer/")]
    with injector.claim_target(kind, links, rng) as name:
        if name is None:
            return
        injector.fleet.control_links([name], **fault_settings)
        injector.wait(rng.uniform(MIN_PAUSE_S, longest_s))
        injector.fleet.control_links([name], **normal_settings)


@faults.register("cut_peers")
def cut_peers(injector, rng):
    """Cut all connections of other daemons to one daemon."""
    _inject_link_fault(injector, rng, "cut", {"cut": True}, {"cut": False}, 3.0)


@faults.register("hold_peers")
def hold_peers(injector, rng):
    """Keep the connections to one daemon open, but forward no bytes for a while."""
    _inject_link_fault(injector, rng, "hold", {"hold": True}, {"hold": False}, 3.0)


@faults.register("delay_peers")
def delay_peers(injector, rng):
    """Delay all traffic between one daemon and the others."""
    slow = {"delay_ms": rng.uniform(5, 150)}
    _inject_link_fault(injector, rng, "delay", slow, {"delay_ms": 0}, 3.0)


def _set_platform_mode(injector, rng, mode):
    with injector.claim_target(mode, ["platform"], rng) as name:
        if name is None:
            return
        injector.fleet.control_platform({"mode": mode})
        injector.wait(rng.uniform(0.5, 4.0))
        injector.fleet.control_platform({"mode": "normal"})


@faults.register("platform_down")
def platform_down(injector, rng):
    """Make the platform stop answering for a while."""
    _set_platform_mode(injector, rng, "down")


@faults.register("platform_stale")
def platform_stale(injector, rng):
    """Make the platform serve old data for a while."""
    _set_platform_mode(injector, rng, "stale")
