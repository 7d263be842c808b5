"""The process of a daemon: command line, log, signals, exit status."""

import signal
import socket as stdlib_socket
import sys

import curio
import defopt

from .errors import SettingsError
from .logs import set_up_logging
from .settings import daemon_command, load_settings

__all__ = ["run_daemon", "wait_for_signal"]

USAGE_STATUS = 2
FAILURE_STATUS = 1


def run_daemon(program, make_daemon, argv=None):
    """Run ``make_daemon(settings).run()`` until it ends, then exit the process.

    Invalid settings end it with status 2 and one line for each problem, a failure
    of the operating system, such as an address in use, with status 1.
    """

    def serve(**flags):
        """Run one daemon until it is told to stop; returns the exit status."""
        try:
            settings = load_settings(flags)
        except SettingsError as exc:
            for problem in exc.problems:
                print(f"{program}: {problem}", file=sys.stderr)
            return USAGE_STATUS
        set_up_logging(settings.verbosity, instance=settings.instance)
        try:
            curio.run(make_daemon(settings).run)
        except OSError as exc:
            print(f"{program}: {exc}", file=sys.stderr)
            return FAILURE_STATUS
        return 0

    status = defopt.run(
        daemon_command(serve),
        argv=argv,
        short={},
        show_defaults=False,
        argparse_kwargs={"prog": program},
    )
    sys.exit(status)


async def wait_for_signal():
    """Return after SIGTERM or SIGINT.

    curio has no signal queue any more, so the interpreter writes the signal
    number to a socket that the calling task reads.
    """
    reader, writer = stdlib_socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _leave_to_wakeup_socket)
    async with curio.io.Socket(reader) as sock:
        await sock.recv(1)


def _leave_to_wakeup_socket(number, frame):
    """Do nothing; the wakeup socket carries the signal."""
