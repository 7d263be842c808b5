"""Runs curio programs in virtual time: a minute takes as long as its processing.

The kernel's selector advances the clock to the next timer instead of waiting, so a
program without sockets, whose times all come from ``VirtualClock.monotonic``, gives
the same results each time.
"""

import contextlib
import selectors
import types

import curio
import curio.kernel

__all__ = ["VirtualClock", "run_in_virtual_time"]


class VirtualClock:
    """A clock that ``run_in_virtual_time`` advances; times are in seconds."""

    __slots__ = ("_now",)

    def __init__(self, now=1000.0):
        self._now = now

    def monotonic(self):
        """Return the current time."""
        return self._now

    def advance(self, seconds):
        """Move the clock forward."""
        self._now += seconds


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that advances a clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Return ready files, or advance the clock by ``timeout``."""
        if timeout is None:
            raise RuntimeError("all tasks wait, and none of them for a time")
        ready = super().select(0)
        if not ready:
            self._clock.advance(max(0.0, timeout))
        return ready


@contextlib.contextmanager
def _kernel_time(clock):
    """Let the kernel take its time from ``clock``."""
    module = curio.kernel.time
    curio.kernel.time = types.SimpleNamespace(monotonic=clock.monotonic)
    try:
        yield
    finally:
        curio.kernel.time = module


def run_in_virtual_time(function, *args, clock):
    """Run an async function in a kernel with virtual time and return its result."""
    with _kernel_time(clock):
        kernel = curio.Kernel(selector=_VirtualSelector(clock))
        # The kernel would wake up at least once a second for nothing.
        with kernel:
            return kernel.run(function, *args)
