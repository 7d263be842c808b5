"""The process of an entry: standard output, signals and exit status."""

import os
import signal
import socket as stdlib_socket
import sys

import curio

from ..errors import SettingsError
from ..logs import Log, set_up_logging
from ..platform.settings import SETTINGS_VARIABLE, read_settings
from .daemon import EntryDaemon

__all__ = ["NonBlockingOutput", "SignalReader", "main"]

USAGE_STATUS = 2
FAILURE_STATUS = 1


class NonBlockingOutput:
    """Writes lines to a file descriptor and drops them while writes would block.

    A blocked reader of the log must not block the daemon. ``dropped`` counts the
    dropped lines; the next line that is written reports the count.
    """

    __slots__ = ("_fd", "dropped")

    def __init__(self, fd):
        os.set_blocking(fd, False)
        self._fd = fd
        self.dropped = 0

    def write(self, text):
        """Write ``text``, which ends with a newline."""
        if self.dropped:
            text = f"event=lines_dropped count={self.dropped}\n{text}"
        try:
            os.write(self._fd, text.encode("utf-8", "replace"))
            self.dropped = 0
        except OSError:
            # Reported by the next line that is written.
            self.dropped += 1

    def flush(self):
        """Do nothing, since writes are not buffered."""

    def close(self):
        """Do nothing, since the descriptor belongs to the process."""


class SignalReader:
    """Receives signals in a task through the interpreter's wakeup descriptor."""

    __slots__ = ("_sock", "_writer")

    def __init__(self, numbers):
        reader, self._writer = stdlib_socket.socketpair()
        reader.setblocking(False)
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda number, frame: None)
        self._sock = curio.io.Socket(reader)

    async def next(self):
        """Return the number of the next signal."""
        return (await self._sock.recv(1))[0]


def main():
    """Run one entry until a signal stops it; returns the exit status."""
    output = NonBlockingOutput(sys.stdout.fileno())
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        for problem in exc.problems:
            print(f"almondtide entry: {problem}", file=sys.stderr)
        return USAGE_STATUS
    set_up_logging(0, stream=output, instance=settings.instance)
    log = Log()
    signals = SignalReader((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    daemon = EntryDaemon(settings, log, signals, lambda: read_settings(path))
    try:
        curio.run(daemon.run)
    except OSError as exc:
        log.error("start_failed", error=str(exc))
        return FAILURE_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
