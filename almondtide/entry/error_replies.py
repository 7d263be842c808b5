"""Error replies of servers that wait while their requests are sent again.

Answers the load pattern in which servers answer many requests with long error replies
at once: each is complete, but its caller gets it only if no other server answers.
"""

from .policy.branch_state import BranchState

__all__ = ["ErrorReplies"]


class ErrorReplies:
    """The newest error reply of each branch, within the bound of incomplete replies.

    ``pool`` is the ``ConnectionPool`` that counts the bytes. ``counts`` has the replies
    that were dropped since there was no room for them.
    """

    __slots__ = ("_log", "_pool", "counts")

    def __init__(self, pool, log):
        self._pool = pool
        self._log = log
        self.counts = {"dropped": 0}

    def keep(self, exchange, reply, is_final):
        """Keep the reply of an exchange that failed, in place of an earlier one.

        Without room for it the caller gets an error of this entry if no other server
        answers. One that ``is_final`` goes to the caller now, so it is kept in any
        case. A merged answer never contains an error reply.
        """
        branch = exchange.branch
        if branch.call.is_merged or branch.state is not BranchState.OPEN:
            return
        self._drop(branch)
        size = len(reply.body)
        if is_final:
            branch.last_error_reply = reply
            return
        if self._pool.reserve(size):
            branch.last_error_reply = reply
            branch.error_reply_bytes = size
            return
        self.counts["dropped"] += 1
        self._log.info(
            "error_reply_dropped",
            id=exchange.request.id,
            server=exchange.upstream.server.id,
            status=reply.status,
            bytes=size,
        )

    def release(self, call):
        """Hold nothing more for a call that has its answer."""
        for branch in call.branches:
            if branch.last_error_reply is not None:
                self._drop(branch)

    def _drop(self, branch):
        self._pool.release(branch.error_reply_bytes)
        branch.error_reply_bytes = 0
        branch.last_error_reply = None
