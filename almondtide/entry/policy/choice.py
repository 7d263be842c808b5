"""Which of the servers of a service gets a request.

Answers the load patterns in which servers of one service differ in speed, load and
distance, and in which several entries know the same of them.
"""

import random

from .reported_load import second_choice_probability

__all__ = ["choose_server", "server_cost"]

# Costs are in units of the normal time of a request. This one is that of a server in
# another failure domain.
OTHER_DOMAIN_COST = 0.45
COLD_COST = 0.4
SILENT_COST = 20.0
# Cost of a leaving server, and of one whose failure domain is evacuated. It still
# serves for some time, and is used when the others are lost, silent, full or much
# slower.
LEAVING_COST = 2.0
# Cost of a server on probation, see ``health.py``. It is above that of another failure
# domain and of a slow machine.
PROBATION_COST = 3.0
# Cost of a server that limits its rate, which is spared while others are as good.
LIMITED_COST = 0.3


def server_cost(
    expected_factor,
    failure_rate,
    is_crossing,
    is_cold,
    is_ending,
    is_limited,
    is_on_probation,
    silent_s,
):
    """Return the cost of a request to a server, in units of its normal time.

    ``expected_factor`` is the expected time as a multiple of the normal one,
    ``failure_rate`` the expected fraction of failures, 0.0 to 1.0, and ``silent_s`` for
    how long a reply is overdue, in s. The flags tell whether the server is in another
    failure domain, is cold, leaves or is evacuated, limits its rate, and is on
    probation.
    """
    cost = expected_factor
    if failure_rate:
        cost /= max(0.05, 1.0 - failure_rate) ** 2
    if is_crossing:
        cost += OTHER_DOMAIN_COST
    if is_cold:
        cost += COLD_COST
    if is_ending:
        cost += LEAVING_COST
    if is_limited:
        cost += LIMITED_COST
    if is_on_probation:
        cost += PROBATION_COST
    if silent_s:
        cost += SILENT_COST + silent_s
    return cost


def is_near(upstream, domain, now):
    """Return whether a server of the entry's domain would serve a request at once."""
    return upstream.server.domain == domain and upstream.serves_at_once(now)


def choose_server(upstreams, now, domain):
    """Return one of ``upstreams`` for an entry in a domain, or None if there is none.

    Servers of that domain that serve a request at once go before all others: then
    nobody would be served sooner elsewhere, and small differences of the estimates
    would only send requests across. Among equals the cheapest is chosen. If one of the
    two cheapest has reported its load lately, one of them is chosen at random by their
    costs.
    """
    near = [upstream for upstream in upstreams if is_near(upstream, domain, now)]
    best = second = None
    best_cost = second_cost = 0.0
    for upstream in near or upstreams:
        cost = upstream.cost(now, domain)
        if best is None or cost < best_cost:
            second, second_cost = best, best_cost
            best, best_cost = upstream, cost
        elif second is None or cost < second_cost:
            second, second_cost = upstream, cost
    if second is None or not (best.has_report(now) or second.has_report(now)):
        return best
    is_second = random.random() < second_choice_probability(best_cost, second_cost)
    return second if is_second else best
