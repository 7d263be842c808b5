"""Sub-requests at their owner and the exchanges that are made for them."""

__all__ = ["Attempt", "WorkItem"]


class WorkItem:
    """A sub-request from its arrival to its result."""

    __slots__ = (
        "arrived",
        "deadline",
        "deliver",
        "done",
        "hedged",
        "ran",
        "running",
        "started",
        "sub",
        "tried",
        "waiting",
        "workload",
    )

    def __init__(self, sub, deliver, arrived):
        self.sub = sub
        self.deliver = deliver
        self.arrived = arrived
        self.workload = sub.workload
        self.deadline = sub.deadline
        self.done = False
        self.hedged = False
        self.waiting = False
        # Exchanges that were started, and those that a server may have run.
        self.started = 0
        self.ran = 0
        self.running = []
        self.tried = set(sub.avoid)


class Attempt:
    """One exchange with one server for an item."""

    __slots__ = ("is_hedge", "item", "request_id", "server", "started")

    def __init__(self, item, server, started, is_hedge, number):
        self.item = item
        self.server = server
        self.started = started
        self.is_hedge = is_hedge
        item.started += 1
        item.ran += 1
        sub = item.sub
        self.request_id = f"{sub.query_id}.{sub.service}.{number}"
