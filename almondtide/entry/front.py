"""Serves callers: finds the route, runs the call, writes its line to the log."""

import curio

from ..errors import ResultCode
from .answers import error_answer
from .callers import CallerConnection
from .calls import Call
from .measures import LatencyHistogram, Measure
from .members import MemberState
from .model import CallerLimits
from .routing import RouteTable
from .transit_time import estimate_transit_time

__all__ = ["Front"]

# Time after which a caller comes back while there is no configuration, in s.
NOT_READY_RETRY_S = 0.1
# Branches that the log line of a request describes at most.
HISTORY_BRANCHES = 6
# Answers from this status on are failures of the tier or of servers.
FAILED_STATUS = 500


class Front:
    """The caller's side of one entry."""

    __slots__ = (
        "_connections",
        "_dispatcher",
        "_knowledge",
        "_latencies",
        "_log",
        "_now",
        "_view",
        "answers",
        "routes",
        "running",
    )

    def __init__(self, dispatcher, knowledge, view, now, log):
        self._dispatcher = dispatcher
        self._knowledge = knowledge
        self._view = view
        self._now = now
        self._log = log
        self._connections = {}
        self._latencies = {}
        self.routes = None
        self.running = 0
        # (route, status, code) -> number of answers.
        self.answers = {}

    def configure(self):
        """Take the configuration in force for new requests."""
        self.routes = RouteTable(self._knowledge.configuration, self.routes)

    async def serve(self, sock, peer):
        """Serve one connection of a caller."""
        connection = CallerConnection(sock, self)
        self._connections[connection] = await curio.current_task()
        try:
            await connection.run()
        finally:
            del self._connections[connection]

    async def close_idle(self):
        """Close connections on which no request is under way."""
        for connection, task in list(self._connections.items()):
            await connection.close_idle(task)

    async def hurry(self):
        """Let all requests under way end now, each with a final answer."""
        for connection in list(self._connections):
            if connection.call is not None:
                await self._dispatcher.finish_early(connection.call)

    def limits(self):
        """Return the ``CallerLimits`` in force."""
        configuration = self._knowledge.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def is_closing(self):
        """Return whether responses end their connection."""
        return self._view.me.state is MemberState.LEAVING

    async def answer(self, request, connection):
        """Return the ``Answer`` to a caller's request, None if it left."""
        arrived = self._now()
        if self.routes is None:
            answer = error_answer(
                503, ResultCode.NOT_READY, "no configuration yet", NOT_READY_RETRY_S
            )
            return self._done(request, None, answer, arrived)
        route = self.routes.find_route(request.host, request.path)
        if route is None:
            answer = error_answer(404, ResultCode.NOT_FOUND, "no route")
            return self._done(request, None, answer, arrived)
        services = route.shards or (self.routes.pick_service(route),)
        transit_time = estimate_transit_time(
            route.timeout_s, request.allowed_s, connection.trip_s
        )
        call = Call(
            request, route, services, self.routes.configuration, arrived, transit_time
        )
        connection.call = call
        self.running += 1
        try:
            answer = await self._dispatcher.run(call)
        finally:
            self.running -= 1
            connection.call = None
        self._done(request, call, answer, arrived)
        return None if call.is_abandoned else answer

    def _done(self, request, call, answer, arrived):
        took_s = self._now() - arrived
        route = call.route.name if call else ""
        key = (route, answer.status, int(answer.code))
        self.answers[key] = self.answers.get(key, 0) + 1
        histogram = self._latencies.get(route)
        if histogram is None:
            histogram = self._latencies[route] = LatencyHistogram()
        histogram.observe(took_s)
        # Failures have a limit of lines of their own, or a busy second of answers
        # would leave out the lines that explain them.
        name = "request_failed" if answer.status >= FAILED_STATUS else "request"
        self._log.info(name, **self._describe(request, call, answer, took_s))
        return answer

    def _describe(self, request, call, answer, took_s):
        """Return the fields of a request's log line."""
        age_s = self._knowledge.age_s(self._now())
        fields = {
            "id": request.id,
            "route": call.route.name if call else "",
            "status": answer.status,
            "code": int(answer.code),
            "ms": round(took_s * 1000, 1),
            "version": self._knowledge.version,
            "age_ms": "none" if age_s is None else int(age_s * 1000),
        }
        if call is None:
            return fields
        sends = sum(len(branch.sends) for branch in call.branches)
        fields["parts"] = f"{call.answered_count}/{len(call.branches)}"
        fields["left"] = call.is_abandoned
        fields["sends"] = sends
        if call.refusal_reason:
            fields["refused"] = call.refusal_reason
        elif sends != len(call.branches) or call.answered_count < len(call.branches):
            fields["history"] = "; ".join(call.history()[:HISTORY_BRANCHES])
        return fields

    async def abandon(self, connection):
        """End the call of a connection that its caller closed."""
        if connection.call is not None:
            await self._dispatcher.abandon(connection.call)

    def refused(self, code, message):
        """Note a request that is not proper."""
        key = ("", 0, int(code))
        self.answers[key] = self.answers.get(key, 0) + 1
        self._log.refusal("request_refused", code=int(code), reason=message)

    def not_delivered(self, request, exc):
        """Note an answer that the caller did not take."""
        self._log.refusal("answer_not_delivered", id=request.id, error=repr(exc))

    def measures(self):
        """Return the metrics of callers."""
        answers = {
            (("route", route), ("status", status), ("code", code)): count
            for (route, status, code), count in self.answers.items()
        }
        latencies = {
            (("route", route),): histogram
            for route, histogram in self._latencies.items()
        }
        connections = {(): len(self._connections)}
        return [
            Measure("counter", "answers", "Answers by route and code.", answers),
            Measure("histogram", "answer_seconds", "Time to answer.", latencies),
            Measure("gauge", "running", "Requests under way.", {(): self.running}),
            Measure("gauge", "connections", "Connections of callers.", connections),
        ]
