"""Samples for how long processes waited for a CPU core, in a process of its own.

The callers share one process with many threads, in which a sample could be late by
tenths of a second when cores are short.
"""

import bisect
import os
import subprocess
import sys
import tempfile
import time

__all__ = ["CoreWaitSampler"]

SAMPLE_INTERVAL_S = 0.005
START_TIMEOUT_S = 10.0


class CoreWaitSampler:
    """Samples the waits of processes while its ``with`` block runs.

    ``pids`` maps a name to a process id. Waits are known on Linux only; elsewhere,
    and for processes that have ended, they don't grow.
    """

    def __init__(self, pids):
        self.names = list(pids)
        self.times = []
        self.waits_s = []
        self._pids = list(pids.values())
        self._output = None
        self._process = None

    def __enter__(self):
        self._output = tempfile.TemporaryFile("w+")
        self._process = subprocess.Popen(
            [sys.executable, __file__, *map(str, self._pids)],
            stdin=subprocess.PIPE,
            stdout=self._output,
        )
        # Waits before the first sample are not known, and the start of an interpreter
        # takes tenths of a second where cores are short.
        limit = time.monotonic() + START_TIMEOUT_S
        while not os.fstat(self._output.fileno()).st_size:
            if time.monotonic() > limit or self._process.poll() is not None:
                raise RuntimeError(f"no sample in {START_TIMEOUT_S:g} s")
            time.sleep(SAMPLE_INTERVAL_S)
        return self

    def __exit__(self, *details):
        self._process.stdin.close()
        self._process.wait()
        with self._output:
            self._output.seek(0)
            for line in self._output:
                at, *waits_s = map(float, line.split())
                self.add(at, waits_s)

    def add(self, at, waits_s):
        """Add one sample: the wait of each process so far, in the order of names."""
        self.times.append(at)
        self.waits_s.append(waits_s)

    def wait_s(self, name, start, end):
        """Return how long a process had no core between two times, in seconds.

        Waits in the samples' time before ``start`` and after ``end`` are taken off.
        A wait is counted when it ends, so one in progress at ``end`` is left out.
        """
        if not self.times:
            return 0.0
        first = max(0, bisect.bisect_right(self.times, start) - 1)
        last = min(len(self.times) - 1, bisect.bisect_left(self.times, end))
        outside_s = max(0.0, start - self.times[first])
        outside_s += max(0.0, self.times[last] - end)
        index = self.names.index(name)
        waited_s = self.waits_s[last][index] - self.waits_s[first][index]
        return max(0.0, waited_s - outside_s)


def _read_wait_s(pid):
    """Return the second field of ``schedstat`` of Linux (ns) in seconds, or None."""
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as lines:
            return int(lines.read().split()[1]) / 1e9
    except (OSError, IndexError):
        return None


def main(pids):
    """Print samples until standard input is closed."""
    os.set_blocking(0, False)
    waits_s = [0.0] * len(pids)
    while sys.stdin.buffer.raw.read(1) is None:
        for index, pid in enumerate(pids):
            waited_s = _read_wait_s(pid)
            waits_s[index] = waits_s[index] if waited_s is None else waited_s
        print(time.monotonic(), *waits_s, flush=True)
        time.sleep(SAMPLE_INTERVAL_S)


if __name__ == "__main__":
    main(sys.argv[1:])
