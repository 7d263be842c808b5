"""Builds the answer to a call from the replies to its branches."""

import orjson

from ..errors import ResultCode
from ..platform import headers as wire
from ..promises import NOT_RUN_STATUSES
from .calls import BranchState
from .merge import merge_records
from .relay_marks import mark_not_run, without_marks

__all__ = [
    "Answer",
    "build_answer",
    "error_answer",
    "relayed_answer",
    "withheld_answer",
]


class Answer:
    """Status, headers and body for the caller, and the result code for the log.

    ``is_own`` tells that this entry made the answer and no server sent any part of it.
    ``is_not_run`` tells that no server has run the request since it came to this entry,
    and that none will.
    """

    __slots__ = ("body", "code", "headers", "is_not_run", "is_own", "status")

    def __init__(self, status, headers, body, code, is_own=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.code = code
        self.is_own = is_own
        self.is_not_run = False

    def address_to_peer(self, request_id):
        """Add what a peer that handed the request on needs to know of the answer.

        That is the id of the request, by which the peer matches the answer to it, and
        whether it may still be sent elsewhere.
        """
        if not any(name.lower() == wire.REQUEST_ID for name, _ in self.headers):
            self.headers.append((wire.REQUEST_ID, request_id.encode("latin-1")))
        if self.is_not_run:
            mark_not_run(self.headers)


def error_answer(status, code, message, retry_after_s=None):
    """Return an answer that no server sent, with its result code as JSON body.

    A status of 429 or 503 states that the request has not run and will not run.
    """
    body = orjson.dumps({"code": int(code), "name": code.name, "message": message})
    headers = wire.refusal_answer_headers(retry_after_s)
    return Answer(status, headers, body, code, is_own=True)


def relayed_answer(call, reply, is_not_run):
    """Return the answer of a peer that ran a call for this entry.

    A peer's statement that it did not run the call says nothing about the servers that
    this entry had sent it to. Without such a statement (``is_not_run``) the answer is
    taken for that of a server and passed on unchanged.
    """
    if is_not_run and reply.status in NOT_RUN_STATUSES and call.may_have_run:
        return error_answer(502, ResultCode.PEER_LOST, "handed on, and refused there")
    code = ResultCode.OK
    if reply.status in NOT_RUN_STATUSES:
        code = ResultCode.OVERLOADED
    elif reply.status >= 300:
        code = ResultCode.UPSTREAM_ERROR
    headers = wire.forwarded_reply_headers(reply)
    answer = Answer(reply.status, headers, reply.body, code)
    answer.is_not_run = is_not_run and not call.may_have_run
    return answer


def withheld_answer():
    """Return the answer in place of one whose status would be a false "not run".

    It has nothing of the server's: not the status, and so not the stamp, the body or a
    time to come back.
    """
    message = "the server's status would state that the request has not run"
    return error_answer(502, ResultCode.STATUS_WITHHELD, message)


def build_answer(call, is_late, retry_after_s):
    """Return the final answer to a call.

    ``is_late`` states that the call has expired. ``retry_after_s`` is sent to the
    caller if the request has not run.
    """
    answer = (
        _merged_answer(call) if call.is_merged else _single_answer(call.branches[0])
    )
    if answer is not None:
        return answer
    if not call.may_have_run:
        code = ResultCode.NO_SERVER
        if any(branch.write_count for branch in call.branches):
            code = ResultCode.UPSTREAM_SHED
        return error_answer(503, code, "no server took the request", retry_after_s)
    if is_late:
        return error_answer(504, ResultCode.UPSTREAM_TIMEOUT, "no answer in time")
    if call.is_merged:
        return error_answer(
            502,
            ResultCode.UPSTREAM_ERROR,
            f"{call.answered_count} of {len(call.branches)} shards, "
            f"{call.needed_count} needed",
        )
    return error_answer(502, ResultCode.UPSTREAM_LOST, "the server's reply was lost")


def _merged_answer(call):
    if call.answered_count < call.needed_count:
        return None
    parts = [
        branch.reply for branch in call.branches if branch.state is BranchState.DONE
    ]
    missing_count = len(call.branches) - len(parts)
    body = merge_records([part.body for part in parts], call.route.top_records)
    headers = wire.merged_answer_headers(
        [part.server_stamp for part in parts], missing_count
    )
    code = ResultCode.PARTIAL if missing_count else ResultCode.OK
    return Answer(200, headers, body, code)


def _single_answer(branch):
    reply = branch.reply or branch.last_error_reply
    if reply is None:
        return None
    code = ResultCode.OK if reply.is_success else ResultCode.UPSTREAM_ERROR
    headers = without_marks(wire.forwarded_reply_headers(reply))
    return Answer(reply.status, headers, reply.body, code)
