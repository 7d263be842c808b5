"""Sub-requests in progress at their owner, and their attempts."""

__all__ = ["Attempt", "WorkItem"]


class WorkItem:
    """State of a sub-request from its arrival to its result; times in seconds."""

    __slots__ = (
        "arrived_at",
        "deadline",
        "deliver",
        "done",
        "is_hedged",
        "is_queued",
        "maybe_run_count",
        "running_attempts",
        "started_count",
        "sub",
        "tried_servers",
        "workload",
    )

    def __init__(self, sub, deliver, arrived_at):
        self.sub = sub
        self.deliver = deliver
        self.arrived_at = arrived_at
        self.workload = sub.workload
        self.deadline = sub.deadline
        self.done = False
        self.is_hedged = False
        self.is_queued = False
        # Attempts that were started, and those that a server may have run.
        self.started_count = 0
        self.maybe_run_count = 0
        self.running_attempts = []
        self.tried_servers = set(sub.avoid)


class Attempt:
    """One exchange with one server for a ``WorkItem``."""

    __slots__ = ("is_hedge", "item", "request_id", "server", "started_at")

    def __init__(self, item, server, started_at, is_hedge, number):
        self.item = item
        self.server = server
        self.started_at = started_at
        self.is_hedge = is_hedge
        item.started_count += 1
        item.maybe_run_count += 1
        sub = item.sub
        self.request_id = f"{sub.query_id}.{sub.service}.{number}"
