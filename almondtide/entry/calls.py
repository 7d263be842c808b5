"""State of a request in progress: one branch for each service, and its time limits."""

import curio

from .policy.branch_state import BranchState
from .transit_time import TransitTime

__all__ = ["NO_TRANSIT_TIME", "Branch", "BranchState", "Call"]


NO_TRANSIT_TIME = TransitTime()


class Branch:
    """The part of a call that is sent to one service.

    A call on a sharded route has one branch for each shard, any other call has one.
    ``workload``, ``deadline`` and ``done`` are the interface of ``WorkQueue``.
    """

    __slots__ = (
        "call",
        "ended_at",
        "error_reply_bytes",
        "failures",
        "is_late",
        "is_probe",
        "last_error_reply",
        "open_exchanges",
        "possible_run_count",
        "queue",
        "reply",
        "sends",
        "service",
        "state",
        "tried_ids",
        "write_count",
    )

    def __init__(self, call, service):
        self.call = call
        self.service = service
        self.state = BranchState.OPEN
        # Exchanges in progress.
        self.open_exchanges = []
        # Ids of the servers chosen for it so far.
        self.tried_ids = set()
        # (kind, server id, time) of each exchange.
        self.sends = []
        # Exchanges whose request was written to a connection.
        self.write_count = 0
        # Servers that may have run it: exchanges that were written, less those that
        # are known not to have run.
        self.possible_run_count = 0
        self.reply = None
        # The newest error response that a server sent after it ran the request.
        self.last_error_reply = None
        # Bytes that are counted for it while the request is sent again.
        self.error_reply_bytes = 0
        # Why its exchanges and the branch itself failed, as texts for the log.
        self.failures = []
        # When its reply arrived, or None.
        self.ended_at = None
        # Whether it probes a service without healthy servers. The call does not wait
        # for a probe.
        self.is_probe = False
        # The BranchQueue in which it waits for room at a server, or None.
        self.queue = None
        # Whether its objective passed while it waited in the queue.
        self.is_late = False

    @property
    def workload(self):
        """The key of its queue lane: branches of one route share a lane."""
        return self.call.route

    @property
    def deadline(self):
        """The time by which it should be answered; a queue lane is sorted by it."""
        return self.call.objective_at

    @property
    def done(self):
        """Whether it was answered or failed, so that it needs no server."""
        return self.state is not BranchState.OPEN

    def history(self):
        """Return its sends and failures as one text for the log.

        Times are in milliseconds since the request arrived.
        """
        arrived_at = self.call.arrived_at
        steps = [
            f"{kind}@{server_id}+{(at - arrived_at) * 1000:.0f}ms"
            for kind, server_id, at in self.sends
        ]
        end = (
            ""
            if self.ended_at is None
            else f"+{(self.ended_at - arrived_at) * 1000:.0f}ms"
        )
        return " ".join([self.service, *steps, *self.failures, self.state.value + end])

    @property
    def may_have_run(self):
        """Whether a server may have started to run it."""
        return self.possible_run_count > 0


class Call:
    """A caller's request and the branches that answer it.

    Times are in seconds on the clock of the daemon. ``expires_at`` is the earlier of
    the caller's deadline and the route's timeout. ``objective_at`` is the time until
    which the answer has its full value to the caller. ``answer_by`` is the time at
    which the answer must be sent to arrive by then.
    """

    __slots__ = (
        "accepts_partial",
        "answer_by",
        "answered_count",
        "arrived_at",
        "branches",
        "changed",
        "configuration",
        "copy_count",
        "expires_at",
        "fingerprint",
        "is_abandoned",
        "is_relayed",
        "late_part_count",
        "needed_count",
        "objective_at",
        "pending_count",
        "refusal_reason",
        "relay",
        "relay_names",
        "relay_run_count",
        "request",
        "route",
    )

    def __init__(
        self,
        request,
        route,
        services,
        configuration,
        arrived_at,
        transit_time=NO_TRANSIT_TIME,
    ):
        self.request = request
        self.route = route
        self.configuration = configuration
        self.arrived_at = arrived_at
        allowed_s = route.timeout_s
        if request.allowed_s is not None:
            allowed_s = min(allowed_s, request.allowed_s)
        self.expires_at = arrived_at + allowed_s
        sent_at = arrived_at - transit_time.request_s
        self.objective_at = sent_at + min(route.objective_s, allowed_s)
        self.answer_by = self.objective_at - transit_time.response_s
        self.branches = [Branch(self, service) for service in services]
        self.pending_count = len(self.branches)
        self.answered_count = 0
        self.needed_count = needed_part_count(len(services), route.min_coverage)
        self.accepts_partial = False
        # Parts that were copied to servers on probation.
        self.copy_count = 0
        # Parts that cannot be answered within the objective, as far as is known.
        self.late_part_count = 0
        self.is_abandoned = False
        # Why it was not admitted, or an empty text.
        self.refusal_reason = ""
        # Whether a peer has handed it on, so that it is not handed on again.
        self.is_relayed = request.is_handed_on
        for branch in self.branches:
            branch.possible_run_count = request.relay_mark or 0
        # The exchange with the peer that runs it in place of this entry, or None.
        self.relay = None
        # Names of the peers that it was handed to, and how many servers may have run it
        # for those that gave no answer.
        self.relay_names = []
        self.relay_run_count = 0
        # Digest that is equal for a resent request; None until it is first needed.
        self.fingerprint = None
        self.changed = curio.Event()

    @property
    def is_merged(self):
        """Whether the answer is merged from the replies of several shards."""
        return bool(self.route.shards)

    @property
    def may_copy_part(self):
        """Whether one more part may be copied to a server on probation.

        A copy counts as one of the servers that a part may be sent to, so only parts
        that the answer can do without are copied.
        """
        if not self.route.is_idempotent or self.route.max_servers < 2:
            return False
        spare_count = len(self.branches) - self.needed_count
        return not self.is_merged or self.copy_count < spare_count

    @property
    def may_have_run(self):
        """Whether a server may have started to run the request."""
        return self.run_count > 0

    @property
    def run_count(self):
        """How many servers may have run one of its parts, at most."""
        counts = [branch.possible_run_count for branch in self.branches]
        return max(counts, default=0) + self.relay_run_count

    def history(self):
        """Return the histories of the branches without a reply and of the slowest."""
        ended = [branch for branch in self.branches if branch.ended_at is not None]
        last = max(ended, key=lambda branch: branch.ended_at, default=None)
        return [
            branch.history()
            for branch in self.branches
            if branch.ended_at is None or branch is last
        ]

    def close_branch(self, branch, state, reply=None):
        """Record the result of a branch."""
        branch.state = state
        branch.reply = reply
        self.pending_count -= 1
        if state is BranchState.DONE:
            self.answered_count += 1

    def is_decided(self):
        """Return whether the answer can be built without waiting any longer.

        That is so when no branch is open, the caller has left, the needed number of
        replies can no longer be reached, or it is reached and either a partial answer
        is accepted or only probes are open.
        """
        if self.pending_count == 0 or self.is_abandoned:
            return True
        if self.answered_count + self.pending_count < self.needed_count:
            return True
        if self.answered_count < self.needed_count:
            return False
        if self.accepts_partial:
            return True
        return all(
            branch.is_probe
            for branch in self.branches
            if branch.state is BranchState.OPEN
        )


def needed_part_count(count, min_coverage):
    """Return the least number of ``count`` parts that reaches ``min_coverage``.

    It is at least 1.

    >>> [needed_part_count(10, coverage) for coverage in (0.89, 0.75)]
    [9, 8]
    >>> needed_part_count(1, 0.0)
    1
    """
    needed = max(1, int(count * min_coverage))
    while needed < count and needed / count < min_coverage:
        needed += 1
    return needed
