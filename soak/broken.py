"""Entry daemons with one defect each, by which the soak test is tested.

``python -m soak.broken NAME`` runs the entry with the defect that breaks the
promise NAME; the soak test must detect each.
"""

import math
import sys

from almondtide.entry import answers, connections, daemon, dispatch
from almondtide.entry.links import LinkMonitor
from almondtide.entry.policy import retries
from almondtide.entry.process import main
from almondtide.entry.upstreams import Upstream, UpstreamTable
from almondtide.platform import store
from almondtide.registry import Registry
from standins import partitioned_entry
from standins.replacement import replace_attribute

__all__ = ["CHECKS_BY_BREAK", "FAULTS_BY_BREAK", "breaks"]

# Faults that make each defect show; a run over all faults may draw none of them.
FAULTS_BY_BREAK = {
    "whole-answer": ["link"],
    "at-most-once": ["lose"],
    "not-run-is-true": ["lose"],
    "drain": ["replace"],
    "planned-stop": ["stop", "slow"],
    "final-answer-in-time": ["silence"],
    "announced-end": ["announce"],
    "pause": ["turn-away"],
    "store-era": ["store-restore", "replace"],
    "partition": ["partition"],
    "rate-limit": ["limit"],
    "evacuation": ["evacuate"],
}

# Checks that must detect the breaks which are not named after their promise.
CHECKS_BY_BREAK = {"store-era": "replica"}

breaks = Registry("break")


@breaks.register("whole-answer")
def accept_any_reply():
    """Accept the next reply on a connection for any request."""

    async def receive(self, request):
        return await self._read_reply()

    replace_attribute(connections.Connection, "_receive", receive)
    replace_attribute(connections.Connection, "is_stale", lambda self: False)


@breaks.register("at-most-once")
def resend_lost_requests():
    """Send a request again after its connection broke, also one that may run once."""
    for module in (retries, dispatch):
        replace_attribute(
            module, "may_send_again", lambda branch, now: len(branch.sends) < 3
        )


@breaks.register("not-run-is-true")
def claim_not_run():
    """Answer 503, which promises "not run", to every request without a reply."""

    def answer_not_run(status, code, message, retry_after_s=None):
        return error_answer(503 if status in (502, 504) else status, code, message, 0.1)

    error_answer = replace_attribute(answers, "error_answer", answer_not_run)


@breaks.register("drain")
def use_draining_servers():
    """Send requests to draining servers as to ready ones."""
    replace_attribute(Upstream, "serves_until", property(lambda self: math.inf))


@breaks.register("planned-stop")
def exit_at_once():
    """Exit as soon as SIGTERM arrives, without a drain."""

    async def stop(self, signum):
        return

    replace_attribute(daemon.EntryDaemon, "_stop", stop)


@breaks.register("final-answer-in-time")
def wait_past_deadline():
    """Wait for all parts also beyond the deadline."""

    async def wait(self, call):
        while not call.is_decided():
            call.changed.clear()
            await call.changed.wait()

    replace_attribute(dispatch.Dispatcher, "_wait", wait)
    replace_attribute(
        dispatch, "may_send_again", lambda branch, now: len(branch.sends) < 2
    )


@breaks.register("announced-end")
def ignore_announced_ends():
    """Use a server as before after it has announced its end."""
    replace_attribute(Upstream, "announce_end", lambda self, until: None)


@breaks.register("pause")
def ignore_pauses():
    """Send requests to a server that asked for a pause."""
    replace_attribute(Upstream, "pause", lambda self, until: None)


@breaks.register("partition")
def ignore_lost_links():
    """Serve on without links to servers."""
    replace_attribute(LinkMonitor, "on_probed", lambda self, *args: False)


@breaks.register("rate-limit")
def ignore_rate_limits():
    """Send to a server that limits its rate as to any other."""
    replace_attribute(UpstreamTable, "rate_room_at", lambda self, upstream, now: now)


@breaks.register("evacuation")
def ignore_evacuations():
    """Use servers of an evacuated failure domain like others."""
    replace_attribute(UpstreamTable, "set_evacuated", lambda self, domain, until: None)


@breaks.register("store-era")
def ignore_eras():
    """Compare revisions of the store without their era."""
    replace_attribute(store, "make_position", lambda era, revision: revision)
    replace_attribute(store, "era_of", lambda position: 0)
    replace_attribute(store.StoreClient, "_note_era", lambda self, text: None)


if __name__ == "__main__":
    breaks.get(sys.argv.pop(1))()
    partitioned_entry.install()
    sys.exit(main())
