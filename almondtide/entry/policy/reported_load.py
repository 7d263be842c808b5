"""What a server's report of its load says about a request that is sent to it now.

Answers the load pattern in which several entries send to the same servers, whose speed
changes many times a second: an entry sees only its own requests, and learns from their
latency after the fact. A report is old when it arrives and all entries act on it, so
its weight falls with its age, and near-equal servers are chosen at random.
"""

__all__ = ["KnownLoad", "second_choice_probability"]

# Age in s at which a report has no effect any more. Its weight falls linearly. In the
# replay 0.8 gave more within the objective than 0.2, 0.4 and 1.6.
MAX_REPORT_AGE_S = 0.8
# A report counts at most so many requests of others for each slot, so that nonsense
# cannot exceed the queue that servers have.
MAX_OTHERS_PER_SLOT = 4.0
# Bounds of the pace that counts; a server that claims to be fast must not be believed
# beyond what its latency can correct.
MIN_PACE = 0.5
MAX_PACE = 4.0
# The dearer one of two servers is chosen as often as the other one, less the ratio of
# their costs to the power of this.
CHOICE_EXPONENT = 6.0
# Largest load, in requests for each slot, of a server that is sent a hedge. A hedge
# that waits behind others is late as well, and takes the place of requests.
MAX_HEDGE_LOAD = 1.0


class KnownLoad:
    """The newest report of one incarnation of a server, as it is used.

    ``others`` is the number of requests of other entries that were running or waiting,
    ``pace`` how long work takes as a multiple of the usual time.
    """

    __slots__ = ("made_at", "others", "pace")

    def __init__(self, report, own_count, made_at):
        others = report.running + report.waiting - own_count
        self.others = min(max(0, others), MAX_OTHERS_PER_SLOT * report.slots)
        pace = 1.0 if report.pace is None else report.pace
        self.pace = min(MAX_PACE, max(MIN_PACE, pace))
        self.made_at = made_at

    def weight(self, now):
        """Return the weight of the report, from 1.0 when made to 0.0 when too old."""
        age_s = now - self.made_at
        if age_s >= MAX_REPORT_AGE_S:
            return 0.0
        return 1.0 - max(0.0, age_s) / MAX_REPORT_AGE_S

    def others_at(self, now):
        """Return how many requests of others count now."""
        return self.others * self.weight(now)

    def pace_at(self, now):
        """Return the pace that is expected now."""
        return 1.0 + (self.pace - 1.0) * self.weight(now)


def second_choice_probability(cost, second_cost):
    """Return the probability with which the second of two servers is chosen.

    Answers the load pattern in which several entries get the same report and would all
    choose the same server.

    >>> second_choice_probability(1.0, 1.0)
    0.5
    >>> second_choice_probability(1.0, 2.0) < 0.02
    True
    """
    return 1.0 / (1.0 + (second_cost / cost) ** CHOICE_EXPONENT)
