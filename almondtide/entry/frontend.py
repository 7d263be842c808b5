"""Serves callers: finds the route, runs the call and logs the request."""

import random
import time

import curio

from ..errors import ResultCode
from ..model.published import CallerLimits
from ..supervision import TASK_FAILURES, error_place
from .answers import error_answer
from .callers import CallerConnection
from .calls import Call
from .members import MemberState
from .metrics import LatencyHistogram, MetricFamily
from .policy.admission import not_ready_retry_s
from .policy.caller_limits import LimitsInForce
from .routing import RouteTable
from .transit_time import estimate_transit_time

__all__ = ["Frontend"]

# Maximum number of branches in the log line of a request.
MAX_LOGGED_BRANCHES = 6
# Answers with this status or a higher one are failures of the tier or of servers.
MIN_FAILURE_STATUS = 500


class Frontend:
    """The side of one entry that faces callers: their connections and metrics.

    ``memory`` is the ``CallerMemory`` of these connections, ``limits`` the
    ``LimitsInForce`` for them on the steady clock, ``version_lag`` the ``VersionLag``
    that requests are reported to, or None.
    """

    __slots__ = (
        "_connections",
        "_dispatcher",
        "_has_lowered_idle_limit",
        "_latency_histograms",
        "_log",
        "_now",
        "_replica",
        "_started_at",
        "_view",
        "answer_counts",
        "limits",
        "memory",
        "routes",
        "running_requests",
        "version_lag",
    )

    def __init__(self, dispatcher, replica, view, started_at, memory, now, log):
        self.memory = memory
        self._dispatcher = dispatcher
        self._replica = replica
        self._view = view
        self._started_at = started_at
        self._now = now
        self._log = log
        self._connections = {}
        self.limits = LimitsInForce(CallerLimits())
        # Whether connections may be idle by a longer limit than the newest one.
        self._has_lowered_idle_limit = False
        self._latency_histograms = {}
        self.routes = None
        self.version_lag = None
        self.running_requests = 0
        # (route, status, code) -> number of answers.
        self.answer_counts = {}

    def apply_configuration(self):
        """Use the newest configuration for new requests."""
        configuration = self._replica.configuration
        self.routes = RouteTable(configuration, self.routes)
        config_apply_s = self._dispatcher.settings.config_apply_s
        if self.limits.apply(configuration.limits, time.monotonic(), config_apply_s):
            self._has_lowered_idle_limit = True

    @property
    def version_in_force(self):
        """Version of the configuration that new requests are served by, 0 if none."""
        return self.routes.configuration.version if self.routes is not None else 0

    def routes_of_host(self, host):
        """Return the routes of a host in the configuration in force."""
        return () if self.routes is None else self.routes.routes_of_host(host)

    async def serve_connection(self, sock, peer):
        """Serve one connection of a caller."""
        connection = CallerConnection(sock, self)
        self._connections[connection] = await curio.current_task()
        try:
            await connection.run()
        finally:
            del self._connections[connection]

    async def close_idle_connections(self):
        """Close connections without a request in progress."""
        for connection, task in list(self._connections.items()):
            await connection.close_if_idle(task)

    async def close_overdue_connections(self):
        """Close connections that are idle for longer than a limit that was lowered.

        Others close by themselves.
        """
        if not self._has_lowered_idle_limit:
            return
        now = time.monotonic()
        is_overlap = self.limits.at(now) != self.limits.newest
        waits = [
            await connection.close_if_overdue(task, now)
            for connection, task in list(self._connections.items())
        ]
        self._has_lowered_idle_limit = is_overlap or any(waits)

    async def end_requests(self):
        """End all requests in progress now, each with a final answer."""
        for connection in list(self._connections):
            if connection.call is not None:
                await self._dispatcher.finish_early(connection.call)

    def is_closing(self):
        """Return whether connections close after the next response."""
        return self._view.local_member.state is MemberState.LEAVING

    async def answer(self, request, connection):
        """Return the ``Answer`` to a request, or None if the caller has left."""
        arrived_at = self._now()
        if self.routes is None:
            answer = error_answer(
                503,
                ResultCode.NOT_READY,
                "no configuration yet",
                not_ready_retry_s(arrived_at - self._started_at, random.random()),
            )
            answer.is_not_run = True
            return self._record_answer(request, None, answer, arrived_at)
        if self.version_lag is not None:
            self.version_lag.note_request(request.id, self.version_in_force)
        route = self.routes.find_route(request.host, request.path)
        if route is None:
            answer = error_answer(404, ResultCode.NOT_FOUND, "no route")
            answer.is_not_run = True
            return self._record_answer(request, None, answer, arrived_at)
        services = route.shards or (self.routes.pick_service(route),)
        transit_time = estimate_transit_time(
            route.timeout_s, request.allowed_s, connection.rtt_s
        )
        call = Call(
            request,
            route,
            services,
            self.routes.configuration,
            arrived_at,
            transit_time,
        )
        connection.call = call
        self.running_requests += 1
        try:
            answer = await self._run(call)
        finally:
            self.running_requests -= 1
            connection.call = None
        self._record_answer(request, call, answer, arrived_at)
        return None if call.is_abandoned else answer

    async def _run(self, call):
        """Run a call; an unexpected error ends this call only."""
        try:
            return await self._dispatcher.run(call)
        except Exception as exc:
            TASK_FAILURES["request"] += 1
            self._log.error(
                "request_error",
                id=call.request.id,
                error=repr(exc),
                at=error_place(exc),
            )
            await self._dispatcher.abandon(call)
            # The caller is still there and gets an answer.
            call.is_abandoned = False
            # Whether the request has run is unknown.
            return error_answer(502, ResultCode.INTERNAL, "internal error")

    def _record_answer(self, request, call, answer, arrived_at):
        duration_s = self._now() - arrived_at
        route = call.route.name if call else ""
        key = (route, answer.status, int(answer.code))
        self.answer_counts[key] = self.answer_counts.get(key, 0) + 1
        histogram = self._latency_histograms.get(route)
        if histogram is None:
            histogram = self._latency_histograms[route] = LatencyHistogram()
        histogram.observe(duration_s)
        # Failures have an event name of their own, and so a rate limit of their own.
        # Otherwise the log lines of many successful requests could suppress theirs.
        name = "request_failed" if answer.status >= MIN_FAILURE_STATUS else "request"
        self._log.info(name, **self._log_fields(request, call, answer, duration_s))
        return answer

    def _served_version(self, call):
        """Return the version that a call is served by; None stands for no call."""
        return self.version_in_force if call is None else call.configuration.version

    def _log_fields(self, request, call, answer, duration_s):
        """Return the fields of the request's log line."""
        age_s = self._replica.age_s(self._now())
        fields = {
            "id": request.id,
            "route": call.route.name if call else "",
            "status": answer.status,
            "code": int(answer.code),
            "ms": round(duration_s * 1000, 1),
            "version": self._served_version(call),
            "age_ms": "none" if age_s is None else int(age_s * 1000),
        }
        if call is None:
            return fields
        sends = sum(len(branch.sends) for branch in call.branches)
        fields["parts"] = f"{call.answered_count}/{len(call.branches)}"
        fields["left"] = call.is_abandoned
        fields["sends"] = sends
        if call.relay_names:
            fields["relays"] = " ".join(call.relay_names)
        if call.is_relayed:
            fields["relayed"] = True
        if call.refusal_reason:
            fields["refused"] = call.refusal_reason
        elif sends != len(call.branches) or call.answered_count < len(call.branches):
            fields["history"] = "; ".join(call.history()[:MAX_LOGGED_BRANCHES])
        return fields

    async def abandon(self, connection):
        """End the call of a connection that its caller closed."""
        if connection.call is not None:
            await self._dispatcher.abandon(connection.call)

    def record_refusal(self, code, message):
        """Count and log an invalid request that was refused."""
        key = ("", 0, int(code))
        self.answer_counts[key] = self.answer_counts.get(key, 0) + 1
        self._log.refusal("request_refused", code=int(code), reason=message)

    def record_undelivered(self, request, exc):
        """Log an answer that could not be sent to the caller."""
        self._log.refusal("answer_not_delivered", id=request.id, error=repr(exc))

    def metric_families(self):
        """Return the metrics of requests and caller connections."""
        answer_counts = {
            (("route", route), ("status", status), ("code", code)): count
            for (route, status, code), count in self.answer_counts.items()
        }
        latencies = {
            (("route", route),): histogram
            for route, histogram in self._latency_histograms.items()
        }
        connections = {(): len(self._connections)}
        memory_counts = {
            (("kind", kind),): count for kind, count in self.memory.counts.items()
        }
        return [
            MetricFamily(
                "counter", "answers", "Answers by route and code.", answer_counts
            ),
            MetricFamily("histogram", "answer_seconds", "Time to answer.", latencies),
            MetricFamily(
                "gauge", "running", "Requests in progress.", {(): self.running_requests}
            ),
            MetricFamily(
                "gauge", "connections", "Connections of callers.", connections
            ),
            MetricFamily(
                "counter",
                "memory_bounded",
                "Callers dropped and requests refused by the memory bounds.",
                memory_counts,
            ),
            MetricFamily(
                "gauge",
                "unread_answer_bytes",
                "Bytes of answers that callers have not read.",
                {(): self.memory.unread_answer_bytes},
            ),
            MetricFamily(
                "gauge",
                "request_body_bytes",
                "Bytes of request bodies in progress.",
                {(): self.memory.body_bytes},
            ),
        ]
