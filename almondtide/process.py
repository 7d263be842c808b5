"""Process of a daemon: command line, logging, signals and exit status."""

import signal
import socket as stdlib_socket
import sys

import curio
import defopt

from .errors import SettingsError
from .logs import set_up_logging
from .reports import get_task_table
from .settings import daemon_command, load_settings

__all__ = ["cancel_other_tasks", "run_daemon", "wait_for_signal"]

USAGE_STATUS = 2
FAILURE_STATUS = 1
# Rounds of cancelling tasks that other tasks started while they were cancelled.
MAX_CANCEL_ROUNDS = 10


def run_daemon(program, make_daemon, argv=None):
    """Run ``make_daemon(settings).run()`` until it returns, then exit the process.

    The exit status is 2 for invalid settings, with one line on standard error for
    each problem. It is 1 for an error of the operating system, such as an address in
    use, and 0 otherwise.
    """

    def serve(**flags):
        """Run one daemon until it has shut down; return the exit status."""
        try:
            settings = load_settings(flags)
        except SettingsError as exc:
            for problem in exc.problems:
                print(f"{program}: {problem}", file=sys.stderr)
            return USAGE_STATUS
        set_up_logging(settings.verbosity, instance=settings.instance)
        try:
            curio.run(_run_and_cancel_tasks, make_daemon(settings))
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


async def _run_and_cancel_tasks(daemon):
    await daemon.run()
    await cancel_other_tasks()


async def cancel_other_tasks():
    """Cancel all other tasks, including those that they start meanwhile.

    At its end, the curio kernel cancels each task once. It fails if one of them has
    started another task by then, as a listener does that has just accepted.
    """
    current = await curio.current_task()
    for _ in range(MAX_CANCEL_ROUNDS):
        others = [
            task for task in (await get_task_table()).values() if task is not current
        ]
        if not others:
            return
        for task in others:
            await task.cancel()


async def wait_for_signal():
    """Wait for SIGTERM or SIGINT.

    curio no longer has a signal queue. The interpreter writes the signal number to a
    wakeup socket, which the calling task reads.
    """
    reader, writer = stdlib_socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _ignore_signal)
    async with curio.io.Socket(reader) as sock:
        await sock.recv(1)


def _ignore_signal(number, frame):
    """Do nothing; the interpreter writes the signal to the wakeup socket."""
