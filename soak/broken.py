"""Entries with one broken behaviour each; the soak must notice all of them."""

import sys

from almondtide.entry import answers, connections, daemon, dispatch, retries
from almondtide.entry.process import main
from almondtide.entry.upstreams import UpstreamTable
from almondtide.registry import Registry

__all__ = ["PROVOKED_BY", "breaks"]

# Faults that show each break; a run with all faults may have none of them.
PROVOKED_BY = {
    "whole-answer": ["link"],
    "at-most-once": ["lose"],
    "not-run-is-true": ["lose"],
    "drain": ["replace"],
    "planned-stop": ["stop", "slow"],
    "final-answer-in-time": ["silence"],
}

breaks = Registry("break")


@breaks.register("whole-answer")
def believe_any_reply():
    """Take whatever reply comes next for the own one."""

    async def receive(self, request):
        return await self._read_reply()

    connections.Connection._receive = receive
    connections.Connection.is_stale = lambda self: False


@breaks.register("at-most-once")
def repeat_everything():
    """Send a request again after its connection broke."""
    retries.may_send_again = lambda branch, now: len(branch.sends) < 3
    dispatch.may_send_again = retries.may_send_again


@breaks.register("not-run-is-true")
def deny_every_run():
    """Say "not run" of every request without an answer."""
    refusal = answers.error_answer

    def deny(status, code, message, retry_after_s=None):
        return refusal(503 if status in (502, 504) else status, code, message, 0.1)

    answers.error_answer = deny


@breaks.register("drain")
def ignore_drains():
    """Use servers that leave."""

    def members(self, service):
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if not upstream.is_removed
        ]

    UpstreamTable.usable_upstreams = members


@breaks.register("planned-stop")
def stop_at_once():
    """End as soon as SIGTERM arrives."""

    async def stop(self, number):
        return

    daemon.EntryDaemon._stop = stop


@breaks.register("final-answer-in-time")
def wait_for_ever():
    """Wait for parts whatever the deadline."""

    async def wait(self, call):
        while not call.is_decided():
            call.changed.clear()
            await call.changed.wait()

    dispatch.Dispatcher._wait = wait
    dispatch.may_send_again = lambda branch, now: len(branch.sends) < 2


if __name__ == "__main__":
    breaks.get(sys.argv.pop(1))()
    sys.exit(main())
