"""The cost of requests, and estimates of it in advance."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from sesamespoke.work import Usage, Work
from sesamespoke.world import Pool

MAX_ESTIMATES = 50_000
LEARNING_RATE = 0.1
INITIAL_ESTIMATE = 1.0
MIN_COST = 1e-6


def cost_of(pool: Pool, usage: Usage) -> float:
    """Return the cost of a usage, in the cost units of a pool."""
    return (
        pool.input_token * usage.input_tokens
        + pool.output_token * usage.output_tokens
        + pool.second * usage.seconds
    )


@dataclass(slots=True)
class _MovingAverage:
    """An exponentially weighted mean, and its mean absolute log error.

    ``seen`` is the number of observed values.
    """

    mean: float = INITIAL_ESTIMATE
    error: float = 1.0
    seen: int = 0

    def update(self, actual: float) -> None:
        """Add an observed value; the first ones form an arithmetic mean."""
        self.seen += 1
        rate = max(LEARNING_RATE, 1 / self.seen)
        if self.seen > 1:
            log_error = abs(math.log(max(actual, MIN_COST) / self.mean))
            self.error += rate * (log_error - self.error)
        self.mean += rate * (actual - self.mean)
        self.mean = max(self.mean, MIN_COST)


class CostEstimator:
    """Mean cost per account and service, refined by the callers' hints.

    For an account that is new to a service, the estimate is the service's
    mean over all accounts. A hint is scaled by the observed mean ratio of
    cost to hint, and used only if its error has been smaller than that of the
    mean cost. The table is bounded: the least recently updated entries are
    evicted.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._averages: OrderedDict[tuple[str, str], _MovingAverage] = (
            OrderedDict()
        )
        self._service_averages: dict[str, _MovingAverage] = {}
        self._hint_ratios: dict[tuple[str, str], _MovingAverage] = {}

    def estimate(self, work: Work) -> float:
        """Return the expected cost of a request in cost units."""
        key = (work.account, work.service_name)
        average = self._averages.get(key)
        if average is None:
            service_average = self._service_averages.get(work.service_name)
            return service_average.mean if service_average else INITIAL_ESTIMATE
        ratio = self._hint_ratios.get(key)
        if work.hint and ratio is not None and ratio.error < average.error:
            return work.hint * ratio.mean
        return average.mean

    def observe(self, work: Work, cost: float) -> None:
        """Update the means with the cost of a finished request."""
        key = (work.account, work.service_name)
        self._averages.setdefault(key, _MovingAverage()).update(cost)
        self._averages.move_to_end(key)
        service_average = self._service_averages.setdefault(
            work.service_name,
            _MovingAverage(),
        )
        service_average.update(cost)
        if work.hint:
            ratio = self._hint_ratios.setdefault(key, _MovingAverage())
            ratio.update(cost / work.hint)
        if len(self._averages) > MAX_ESTIMATES:
            evicted, _ = self._averages.popitem(last=False)
            self._hint_ratios.pop(evicted, None)
