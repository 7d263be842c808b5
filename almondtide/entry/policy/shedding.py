"""Shedding by cost: what waits, what is refused, and when refused callers return.

Answers the load pattern in which kinds of call with different ranks, objectives and
work share the servers of a service, and bursts bring more than is served in time. A
queue by fixed weights then lets long calls delay short urgent ones, and a bound on the
whole queue refuses urgent calls because of work that is behind them. There is no I/O
here; times are seconds on the clock of the daemon.
"""

import collections
import heapq
import itertools
import math

__all__ = [
    "CostQueue",
    "ReturnSchedule",
    "SharedServices",
    "Shedding",
    "WorkEstimate",
    "delay_cost",
    "depth_per_slot",
    "rank_weight",
]

# A rank weighs this many times the next less urgent one. With 4 a short kind of a lower
# rank lost more than the other one gained (pressure-bulk: 0.14 and 0.01 of its value).
RANK_WEIGHT_RATIO = 2.0
# Ranks beyond this one weigh the same, so that a weight does not become 0.
MAX_WEIGHED_RANK = 8
# Share of its value that an answer after the objective has.
LATE_VALUE = 0.1
# Largest fraction of the objective for waiting in the queue and being served. A call
# whose wait takes longer is refused. What arrives later and is more urgent lengthens
# the wait, and a query over shards waits for the longest of its queues.
ADMITTED_FRACTION = 0.7
# Decline of the cost of delay with the time to spare, in multiples of the work: the
# look-ahead parameter of the apparent tardiness cost.
LOOKAHEAD_WORKS = 2.0
# Least share of the servers' time for each lane that waits and that others overtake.
LEAST_SHARE = 0.1
# The learned work of a route follows this quantile of its latencies, in steps of this
# part of it. The latencies of requests that waited in a server's own queue are above
# the quantile. The factor leads from the quantile to the mean of usual service times.
WORK_QUANTILE = 0.2
WORK_STEP = 0.05
WORK_MEAN_FACTOR = 1.3
# The ratio of real to computed waits follows new samples with this weight, within
# these bounds. Computed waits below the minimum are no sample, in s.
WAIT_SAMPLE_WEIGHT = 0.05
MIN_WAIT_RATIO = 0.5
MAX_WAIT_RATIO = 4.0
MIN_WAIT_SAMPLE_S = 0.005
# Least work, in s, so that no cost is infinite.
MIN_WORK_S = 0.0005
# A route shares the servers of a service for this long after its last call, in s.
SHARED_S = 10.0
# Fraction of the time that a more urgent or shorter route has to spare which requests
# of another route may take at a server that both share.
SHARED_WAIT_FRACTION = 0.3
# After a branch met servers without room, other routes leave them room for this long,
# in s. While servers have room, a bound would keep the entries next to a server from
# using slots that those of other domains leave free.
FULL_HOLD_S = 2.0
# Width of a step of the schedule of returns, and the time that it covers, in s.
RETURN_STEP_S = 0.01
RETURN_HORIZON_S = 1.0
# Part of the servers' time that returning callers may count on. The rest is for new
# ones.
RETURN_ROOM_FRACTION = 0.5
# Part of that room that is kept for the most urgent rank.
URGENT_RETURN_FRACTION = 0.3
# Callers honour a time to come back of up to this fraction of the time left to their
# deadline. A margin covers the time until they read it.
HONOURED_FRACTION = 1.0 / 3.0
HONOURED_MARGIN_S = 0.005
# Least time to come back, in s.
MIN_RETURN_S = 0.02


def rank_weight(rank):
    """Return the value of a call of a rank; rank 0 is the most urgent.

    >>> [rank_weight(rank) for rank in (0, 1, 2)]
    [1.0, 0.5, 0.25]
    """
    return RANK_WEIGHT_RATIO ** -min(max(0, rank), MAX_WEIGHED_RANK)


def delay_cost(weight, work_s, objective_in_s, deadline_in_s):
    """Return the apparent tardiness cost of delaying a branch, per second of work.

    ``objective_in_s`` and ``deadline_in_s`` are the times left. An answer after the
    objective keeps ``LATE_VALUE``, and one after the deadline nothing. A loss that is
    certain already costs nothing more.

    >>> delay_cost(1.0, 0.01, 0.005, 0.005)
    0.0
    >>> delay_cost(1.0, 0.01, 0.02, 0.5) > delay_cost(1.0, 0.01, 0.05, 0.5)
    True
    """
    work_s = max(MIN_WORK_S, work_s)
    cost = 0.0
    losses = (
        (objective_in_s, 1.0 - LATE_VALUE),
        (deadline_in_s, LATE_VALUE),
    )
    for left_s, loss in losses:
        spare_s = left_s - work_s
        if spare_s >= 0.0:
            cost += loss * math.exp(-spare_s / (LOOKAHEAD_WORKS * work_s))
    return weight * cost / work_s


def can_reach_coverage(call):
    """Return whether a call can still get the parts that it needs."""
    return call.answered_count + call.pending_count >= call.needed_count


def misses_objective(call):
    """Return whether too many parts of a call are late for an answer in time."""
    return len(call.branches) - call.late_part_count < call.needed_count


class WorkEstimate:
    """The time that a request of one route takes at a server, learned from replies.

    ``work_s`` starts with the expected time that the caller names. Answers the load
    pattern in which requests wait in the servers' own queues, behind the requests of
    other routes and entries, so that their latency is several times their work.
    """

    __slots__ = ("_quantile_s",)

    def __init__(self, work_s):
        self._quantile_s = max(MIN_WORK_S, work_s / WORK_MEAN_FACTOR)

    @property
    def work_s(self):
        """The estimated mean service time, in seconds."""
        return self._quantile_s * WORK_MEAN_FACTOR

    def add(self, latency_s):
        """Add the latency of an exchange that succeeded."""
        step = WORK_STEP * (WORK_QUANTILE - (latency_s < self._quantile_s))
        self._quantile_s = max(MIN_WORK_S, self._quantile_s * (1.0 + step))


class _Lane:
    """Waiting branches of one route: those in time, and those that are late."""

    __slots__ = (
        "count",
        "credit_s",
        "in_time",
        "late",
        "late_count",
        "route",
        "wait_ratio",
        "work",
    )

    def __init__(self, route, work):
        self.route = route
        self.work = work
        self.in_time = []
        self.late = []
        self.count = 0
        self.late_count = 0
        # Time of the servers that is due to it by its least share.
        self.credit_s = 0.0
        # Real waits as a multiple of the computed ones. It covers slow servers, what
        # arrives later and goes first, and the queues of other entries.
        self.wait_ratio = 1.0

    def note_wait(self, waited_s, computed_s):
        """Learn from the wait of a branch that is taken from the queue."""
        if computed_s >= MIN_WAIT_SAMPLE_S:
            ratio = min(MAX_WAIT_RATIO, max(MIN_WAIT_RATIO, waited_s / computed_s))
            self.wait_ratio += WAIT_SAMPLE_WEIGHT * (ratio - self.wait_ratio)

    @property
    def waiting(self):
        return self.count + self.late_count

    @property
    def density(self):
        """Value of its calls for each second of work, without time to spare."""
        return rank_weight(self.route.priority_rank) / self.work.work_s

    def head(self):
        """Return the next branch, or None."""
        for heap in (self.in_time, self.late):
            while heap and heap[0][2].done:
                heapq.heappop(heap)
            if heap:
                return heap[0][2]
        return None


class CostQueue:
    """Branches that wait for room at the servers of a service, by cost of delay.

    The branch whose delay costs most goes first. Branches of a route that cannot meet
    their objective any more go after its others. A lane that waits is due
    ``LEAST_SHARE`` of the servers' time, whatever its cost. Equal costs are served by
    route in order of arrival. ``work_of`` returns the ``WorkEstimate`` of a route.
    """

    __slots__ = ("_lanes", "_sequence", "_work_of")

    def __init__(self, work_of):
        self._work_of = work_of
        self._lanes = {}
        self._sequence = itertools.count()

    def __len__(self):
        return sum(lane.waiting for lane in self._lanes.values())

    def routes(self):
        """Return the routes with branches that wait."""
        return [lane.route for lane in self._lanes.values() if lane.waiting]

    def wait_ratio(self, route):
        """Return the real waits of a route as a multiple of the computed ones."""
        lane = self._lanes.get(route.name)
        return 1.0 if lane is None else lane.wait_ratio

    def push(self, branch, now, wait_s):
        """Add a branch for which no server had room; ``wait_s`` is its computed wait.

        A wait of 0.0 stands for an unknown one.
        """
        route = branch.workload
        lane = self._lanes.get(route.name)
        if lane is None:
            lane = self._lanes[route.name] = _Lane(route, self._work_of(route))
        if lane.route is not route:
            # Another configuration is in force.
            lane.route, lane.work = route, self._work_of(route)
        if not lane.waiting:
            lane.credit_s = 0.0
        branch.is_late = False
        entry = (branch.call.answer_by, next(self._sequence), branch, now, wait_s)
        heapq.heappush(lane.in_time, entry)
        lane.count += 1

    def discard(self, branch):
        """Stop counting a queued branch that needs no server any more."""
        lane = self._lanes[branch.workload.name]
        if branch.is_late:
            lane.late_count -= 1
        else:
            lane.count -= 1

    def pop(self, now, has_room=lambda route: True):
        """Remove and return the next branch of a route with room, or None."""
        lanes = []
        for lane in self._lanes.values():
            self._move_late(lane, now)
            if lane.waiting and lane.head() is not None and has_room(lane.route):
                lanes.append(lane)
        if not lanes:
            return None
        best = self._choose_lane(lanes, now)
        for lane in lanes:
            if lane is not best:
                lane.credit_s += LEAST_SHARE * best.work.work_s
        best.credit_s = max(0.0, best.credit_s - best.work.work_s)
        branch = best.head()
        entry = heapq.heappop(best.late if branch.is_late else best.in_time)
        best.note_wait(now - entry[3], 0.0 if branch.is_late else entry[4])
        self.discard(branch)
        return branch

    def _choose_lane(self, lanes, now):
        due = [lane for lane in lanes if lane.credit_s >= lane.work.work_s]
        return max(due or lanes, key=lambda lane: self._cost(lane, now))

    def _cost(self, lane, now):
        call = lane.head().call
        if not can_reach_coverage(call):
            return 0.0
        return delay_cost(
            rank_weight(lane.route.priority_rank),
            lane.work.work_s,
            call.answer_by - now,
            call.expires_at - now,
        )

    def _move_late(self, lane, now):
        """Move the branches that cannot meet their objective behind the others."""
        while lane.in_time:
            answer_by, sequence, branch, pushed_at, wait_s = lane.in_time[0]
            if not branch.done:
                is_late = answer_by < now + lane.work.work_s
                if not is_late and not misses_objective(branch.call):
                    return
                branch.call.late_part_count += is_late
                branch.is_late = True
                lane.count -= 1
                lane.late_count += 1
                lane.note_wait(now - pushed_at, wait_s)
                entry = (branch.call.expires_at, sequence, branch, pushed_at, wait_s)
                heapq.heappush(lane.late, entry)
            heapq.heappop(lane.in_time)

    def work_ahead_s(self, route, now):
        """Return the work that goes before a new branch of a route, in seconds.

        That is the work of its own lane that is in time, that of the lanes whose calls
        are worth more for their work, and the least share of the others. It is at most
        what the least share of the route lets through first.
        """
        own_work_s = self._work_of(route).work_s
        density = rank_weight(route.priority_rank) / own_work_s
        own_s = ahead_s = 0.0
        overtaken_count = 0
        for name, lane in self._lanes.items():
            self._move_late(lane, now)
            if name == route.name:
                own_s += lane.count * lane.work.work_s
            elif lane.density >= density:
                ahead_s += lane.count * lane.work.work_s
                overtaken_count += bool(lane.late_count)
            else:
                overtaken_count += bool(lane.waiting)
        others_share = min(0.5, LEAST_SHARE * overtaken_count)
        wait_s = (own_s + ahead_s) / (1.0 - others_share)
        if ahead_s:
            wait_s = min(wait_s, (own_s + own_work_s) / LEAST_SHARE)
        return wait_s


class SharedServices:
    """Which routes share the servers of each service, from their calls."""

    __slots__ = ("_routes",)

    def __init__(self):
        # Service -> name of a route -> (route, time of its last call).
        self._routes = collections.defaultdict(dict)

    def note_call(self, service, route, now):
        """Record a call of a route that uses a service."""
        self._routes[service][route.name] = route, now

    def routes_with_reserved_room(self, service, route, now):
        """Return the routes that share a service and must find room at its servers.

        They are more urgent or have a shorter objective than ``route``. Without the
        latter, a lane whose least share is due would find no room at servers that
        longer requests of a more urgent route fill.
        """
        routes = self._routes[service]
        for name, (_, at) in list(routes.items()):
            if now - at > SHARED_S:
                del routes[name]
        return [
            other
            for other, _ in routes.values()
            if other.priority_rank < route.priority_rank
            or other.objective_s < route.objective_s
        ]


def depth_per_slot(work_s, other_objective_s, other_work_s):
    """Return how many requests a slot a route may have at a server, at least 1.0.

    A request of another route that arrives behind them still meets its objective.

    >>> depth_per_slot(0.0165, 0.0578, 0.0057)
    1.0
    >>> round(depth_per_slot(0.005, 0.1, 0.01), 1)
    5.4
    """
    spare_s = SHARED_WAIT_FRACTION * (other_objective_s - other_work_s)
    return max(1.0, spare_s / max(MIN_WORK_S, work_s))


class ReturnSchedule:
    """When the callers that one entry refuses come back, so that their work fits.

    Time is divided into steps; each has room for a part of the servers' time. A caller
    gets the first step with room after the queue ahead of it, within the time that it
    honours, or else a random time. Less urgent ranks leave a part of each step to the
    most urgent one.
    """

    __slots__ = ("_booked",)

    def __init__(self):
        # Number of the step -> booked work in s of one slot.
        self._booked = {}

    def book(self, now, drain_s, left_s, work_s, slots, rank, jitter):
        """Return (time to come back in s, whether its step has room) for a caller.

        ``drain_s`` is the time that the work ahead takes, ``left_s`` the time to the
        deadline, ``slots`` the requests that run at the same time, and ``jitter`` a
        random number between 0 and 1.
        """
        self._forget_past(now)
        latest_s = min(RETURN_HORIZON_S, HONOURED_FRACTION * left_s - HONOURED_MARGIN_S)
        latest_s = max(MIN_RETURN_S, latest_s)
        earliest_s = min(latest_s, max(MIN_RETURN_S, drain_s))
        first = int((now + earliest_s) / RETURN_STEP_S)
        last = max(first, int((now + latest_s) / RETURN_STEP_S) - 1)
        total_s = RETURN_ROOM_FRACTION * slots * RETURN_STEP_S
        room_s = total_s * (1.0 - URGENT_RETURN_FRACTION if rank else 1.0)
        steps = range(first, last + 1)
        step = next((n for n in steps if self._booked.get(n, 0.0) < room_s), None)
        if step is None:
            time_s = earliest_s + jitter * (latest_s - earliest_s)
            return time_s, False
        self._take(step, work_s, total_s)
        time_s = (step + jitter) * RETURN_STEP_S - now
        return min(latest_s, max(earliest_s, time_s)), True

    def _take(self, step, work_s, room_s):
        """Book work from a step on; what it has no room for, in the next ones."""
        while work_s > 0.0 and room_s > 0.0:
            booked_s = self._booked.get(step, 0.0)
            taken_s = min(work_s, max(0.0, room_s - booked_s))
            self._booked[step] = booked_s + taken_s
            work_s -= taken_s
            step += 1

    def _forget_past(self, now):
        current = int(now / RETURN_STEP_S)
        for step in [step for step in self._booked if step < current]:
            del self._booked[step]


class Shedding:
    """What one entry knows for shedding by cost; the dispatcher asks it.

    ``counts`` are the totals for the metrics.
    """

    __slots__ = (
        "_full_until",
        "_logged_counts",
        "_returns",
        "_shared",
        "_works",
        "counts",
    )

    def __init__(self):
        # Service -> until when its servers count as full.
        self._full_until = {}
        self._works = {}
        self._shared = SharedServices()
        self._returns = ReturnSchedule()
        self._logged_counts = {}
        self.counts = {
            "refused_urgent": 0,
            "refused_other": 0,
            "returns_in_room": 0,
            "returns_beyond_room": 0,
            "given_up": 0,
        }

    def work(self, route, expected_s=MIN_WORK_S):
        """Return the ``WorkEstimate`` of a route; a new one has ``expected_s``."""
        key = (route.name, route.services)
        work = self._works.get(key)
        if work is None:
            work = self._works[key] = WorkEstimate(expected_s)
        return work

    def note_call(self, call, latency, now):
        """Record an arriving call, whose route has the ``RouteLatency``."""
        self.work(call.route, latency.expected_s)
        for branch in call.branches:
            self._shared.note_call(branch.service, call.route, now)

    def new_queue(self):
        """Return an empty queue for a service."""
        return CostQueue(self.work)

    def spare_s(self, route, queue):
        """Return the longest computed wait in a queue for which a call is admitted."""
        spare_s = ADMITTED_FRACTION * route.objective_s - self.work(route).work_s
        ratio = queue.wait_ratio(route) if isinstance(queue, CostQueue) else 1.0
        return max(0.0, spare_s) / ratio

    def note_full(self, service, now):
        """Record that no server of a service had room at its whole depth."""
        self._full_until[service] = now + FULL_HOLD_S

    def depth_per_slot(self, route, service, now):
        """Return how many requests of a route a slot of a server may have.

        It is infinite if no other route must find room there, or the servers have not
        been full lately.
        """
        if now >= self._full_until.get(service, 0.0):
            return math.inf
        work_s = self.work(route).work_s
        return min(
            (
                depth_per_slot(work_s, other.objective_s, self.work(other).work_s)
                for other in self._shared.routes_with_reserved_room(service, route, now)
            ),
            default=math.inf,
        )

    def retry_after_s(self, call, drain_s, slots, now, jitter):
        """Book the return of a refused call; return the time to come back in s."""
        route = call.route
        is_urgent = route.priority_rank == 0
        self.counts["refused_urgent" if is_urgent else "refused_other"] += 1
        time_s, has_room = self._returns.book(
            now,
            drain_s,
            call.expires_at - now,
            self.work(route).work_s,
            slots,
            route.priority_rank,
            jitter,
        )
        self.counts["returns_in_room" if has_room else "returns_beyond_room"] += 1
        return time_s

    def take_counts(self):
        """Return what was counted since the last time, without zeros, for the log."""
        logged = self._logged_counts
        self._logged_counts = dict(self.counts)
        changes = {
            name: count - logged.get(name, 0) for name, count in self.counts.items()
        }
        return {name: count for name, count in changes.items() if count}
