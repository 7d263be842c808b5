"""Requests and answers of callers, and the state of a query in progress."""

import curio

from .errors import BadRequestError, ResultCode

__all__ = ["Answer", "QueryRequest", "QueryRun", "resolve_request"]


def resolve_request(cfg, req):
    """Return (workload, deadline in ms) of a query or a revision.

    A request without a deadline has that of its workload. Raises
    ``BadRequestError`` for an unknown workload or a deadline that has passed.
    """
    workload = cfg.workloads.get(req.workload)
    if workload is None:
        raise BadRequestError(
            f"unknown workload {req.workload!r}", ResultCode.UNKNOWN_WORKLOAD
        )
    deadline_ms = req.deadline_ms
    if deadline_ms is None:
        deadline_ms = cfg.workload_setting(req.workload, "deadline_ms")
    if deadline_ms <= 0:
        raise BadRequestError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)
    return workload, deadline_ms


class QueryRequest:
    """A caller's query; ``deadline_ms`` may be None for the workload's default."""

    __slots__ = ("body", "deadline_ms", "request_id", "workload")

    def __init__(self, request_id, workload, body, deadline_ms=None):
        self.request_id = request_id
        self.workload = workload
        self.body = body
        self.deadline_ms = deadline_ms


class Answer:
    """The answer to a query.

    ``covered`` holds shard names, ``missing`` pairs of shard name and result
    code. ``sends`` counts the exchanges with upstreams.
    """

    __slots__ = (
        "code",
        "covered",
        "epoch",
        "missing",
        "not_run",
        "request_id",
        "result",
        "retry_after_ms",
        "sends",
        "version",
    )

    def __init__(self, request_id, code):
        self.request_id = request_id
        self.code = code
        self.not_run = False
        self.retry_after_ms = None
        self.version = 0
        self.epoch = 0
        self.covered = []
        self.missing = []
        self.result = None
        self.sends = 0

    def to_dict(self):
        """Return the JSON body of the response."""
        return {
            "request_id": self.request_id,
            "code": int(self.code),
            "name": self.code.name,
            "not_run": self.not_run,
            "retry_after_ms": self.retry_after_ms,
            "snapshot": {"version": self.version, "epoch": self.epoch},
            "coverage": {
                "covered": self.covered,
                "missing": [
                    {"shard": name, "code": int(code), "name": code.name}
                    for name, code in self.missing
                ],
            },
            "result": self.result,
            "sends": self.sends,
        }


class QueryRun:
    """State of one query in progress.

    ``deadline`` is in seconds of the monotonic clock.
    """

    __slots__ = (
        "asked_daemons",
        "calls",
        "deadline",
        "fingerprint",
        "inbox",
        "lost_servers",
        "may_have_run",
        "pending_calls",
        "plan",
        "query_id",
        "replan_count",
        "req",
        "results",
        "sends",
        "workload",
    )

    def __init__(self, req, query_id, workload, deadline, fingerprint):
        self.req = req
        self.query_id = query_id
        self.workload = workload
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.plan = None
        self.inbox = curio.Queue()
        # id(call) -> call, for all calls with the current ``query_id``
        self.calls = {}
        # service -> calls that may answer it; several if a daemon was silent
        self.pending_calls = {}
        self.results = {}
        # service -> daemons that its sub-request was sent to
        self.asked_daemons = {}
        # service -> servers that were lost while they ran the request
        self.lost_servers = {}
        # Whether a server may have run a sub-request without a known result.
        self.may_have_run = False
        self.replan_count = 0
        self.sends = 0
