"""A request under way: its branches, one for each service, and its limits."""

import enum

import curio

from .transit_time import TransitTime

__all__ = ["NO_TRANSIT_TIME", "Branch", "BranchState", "Call"]


class BranchState(enum.Enum):
    """What has become of a branch."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"


NO_TRANSIT_TIME = TransitTime()


class Branch:
    """The part of a call that one service answers."""

    __slots__ = (
        "call",
        "ended_at",
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
        # Exchanges under way.
        self.open_exchanges = []
        # Ids of servers that it was sent to.
        self.tried_ids = set()
        # (kind, server id, time) of each exchange.
        self.sends = []
        # Exchanges that were written.
        self.write_count = 0
        # Servers on which it runs, ran or may have run: exchanges that were written
        # and of which no server denied the run.
        self.possible_run_count = 0
        self.reply = None
        # The newest failure that a server itself stated.
        self.last_error_reply = None
        self.failures = []
        # When its reply came, or None.
        self.ended_at = None
        # A probe of a service without healthy servers; the call does not wait.
        self.is_probe = False
        # The queue in which it waits for room at a server, or None.
        self.queue = None
        # Whether its objective passed while it waited.
        self.is_late = False

    @property
    def workload(self):
        """The queue lane: requests of one route wait in one."""
        return self.call.route

    @property
    def deadline(self):
        """The time by which it should be answered."""
        return self.call.objective_at

    @property
    def done(self):
        """Whether it needs no server any more."""
        return self.state is not BranchState.OPEN

    def history(self):
        """Return the sends and failures as one text, with times since arrival."""
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
        """Whether a server ran, runs or may have run it."""
        return self.possible_run_count > 0


class Call:
    """A caller's request and the branches that answer it.

    Times are in seconds on the clock of the daemon. ``expires_at`` is the end of the
    caller's deadline or the route's timeout, ``objective_at`` the time until which
    the answer has its full value to the caller, ``answer_by`` the time at which it must
    leave for that.
    """

    __slots__ = (
        "accepts_partial",
        "answer_by",
        "answered_count",
        "arrived_at",
        "branches",
        "changed",
        "configuration",
        "expires_at",
        "fingerprint",
        "is_abandoned",
        "needed_count",
        "objective_at",
        "pending_count",
        "refusal_reason",
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
        self.is_abandoned = False
        # Why it was not let in, or an empty text.
        self.refusal_reason = ""
        # What is equal for a request that is sent again, or None before it is asked.
        self.fingerprint = None
        self.changed = curio.Event()

    @property
    def is_merged(self):
        """Whether the answer is merged from parts."""
        return bool(self.route.shards)

    @property
    def may_have_run(self):
        """Whether a server ran, runs or may have run the request."""
        return any(branch.may_have_run for branch in self.branches)

    def history(self):
        """Return what was done for each branch that failed or was the slowest."""
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
        """Return whether nothing that may still come changes the answer's kind."""
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
    """Return the least number of parts whose share is ``min_coverage``.

    >>> [needed_part_count(10, 0.89), needed_part_count(1, 0.0)]
    [9, 1]
    """
    needed = max(1, int(count * min_coverage))
    while needed < count and needed / count < min_coverage:
        needed += 1
    return needed
