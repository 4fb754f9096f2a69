"""A router's share of the retry budget that holds for the whole fleet.

The bound has to hold while endpoints fail by the dozen and routers keep
serving although they are partitioned, frozen or just started. The slack of
the bound is divided by the number of routers, which holds without any
coordination between them; the cost is that slack which one router leaves
unused is lost to the others.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate

WINDOW_BUCKETS = 20
"""Number of buckets in the sliding window, which sets its resolution."""
HALF_WINDOW = WINDOW_BUCKETS // 2
TRANSIT_SECONDS = 0.5
"""Longest time that a sent request may take to arrive at an endpoint."""
SAFE_FRACTION = 0.8
"""Fraction of a bound that is used; the rest is a margin for clock skew."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Retries allowed to each service over all routers.

    In any ``window`` seconds there may be ``ratio`` retries for each fresh
    request, and ``slack`` more.
    """

    ratio: float = 0.1
    window: float = 10
    slack: float = 10


@dataclass(slots=True)
class _Bucket:
    """Counts of fresh requests and of sent retries in one bucket."""

    fresh: int = 0
    sent: int = 0


class WindowedRetryBudget:
    """Sliding-window retry budget of one service at this router.

    The retries sent since any moment are bounded by the fresh requests in
    the window centred on that moment, because operators may choose that
    window when they count. The budgets of all routers add up to the bound
    for the fleet.

    A process that has just started gets no slack until a window has passed,
    because its predecessor may have used that share up. A process that does
    not know how many ``routers`` share the slack gets none either.
    """

    def __init__(
        self,
        cfg: RetryBounds,
        clock: Callable[[], float],
        routers: Callable[[], int | None],
        started_at: float = -math.inf,
    ) -> None:
        """Start with an empty window; the process began at ``started_at``."""
        self._cfg = cfg
        self._started_at = started_at
        self._clock = clock
        self._routers = routers
        self._buckets: dict[int, _Bucket] = {}
        self._reserved = 0

    def update_bounds(self, cfg: RetryBounds) -> None:
        """Use new bounds; discard the counts if the window has changed."""
        if cfg.window != self._cfg.window:
            self._buckets.clear()
            self._started_at = self._clock()
        self._cfg = cfg

    def record_request(self) -> None:
        """Count a fresh request."""
        self._current_bucket().fresh += 1

    def reserve(self) -> bool:
        """Reserve a retry; return whether the budget allows it.

        It counts until ``release``, or for a window after ``record_sent``.
        """
        if self._remaining() < 1:
            return False
        self._reserved += 1
        return True

    def record_sent(self) -> None:
        """Record that a reserved retry is being sent to an endpoint."""
        self._reserved -= 1
        self._current_bucket().sent += 1

    def release(self) -> None:
        """Release a reserved retry that was not sent."""
        self._reserved -= 1

    def standing(self) -> dict[str, object]:
        """Return the state that decides on a retry, as fields of a log line."""
        buckets = self._buckets.values()
        return {
            'retries_sent': sum(each.sent for each in buckets),
            'retries_waiting': self._reserved,
            'retries_left': round(self._remaining(), 1),
            'fresh': sum(each.fresh for each in buckets),
            'routers': self._routers(),
        }

    def _remaining(self) -> float:
        """Return how many more retries fit into every window."""
        newest = self._current_number()
        oldest = self._oldest_counted(newest)
        fresh = self._sum_fresh(oldest, newest)
        slack = self._slack()
        sent = self._reserved
        least = math.inf
        numbers = range(newest, oldest - 1, -1)
        for number, around in zip(numbers, reversed(fresh), strict=True):
            sent += self._bucket_at(number).sent
            allowed = self._cfg.ratio * around + slack
            least = min(least, SAFE_FRACTION * allowed - sent)
        return least

    def _sum_fresh(self, oldest: int, newest: int) -> list[int]:
        """Return the fresh requests in the window centred on each bucket.

        The buckets at both edges of a window, which it may cover only in
        part, are left out.
        """
        numbers = range(oldest - HALF_WINDOW, newest + HALF_WINDOW)
        counts = (self._bucket_at(number).fresh for number in numbers)
        totals = list(accumulate(counts, initial=0))
        width = 2 * HALF_WINDOW - 1
        return [
            upto - before
            for before, upto in zip(
                totals[1:], totals[1 + width :], strict=False
            )
        ]

    def _slack(self) -> float:
        """Return this router's share of the slack."""
        routers = self._routers()
        is_new = self._clock() - self._started_at < self._cfg.window
        if is_new or not routers:
            return 0
        return self._cfg.slack / routers

    def _current_number(self) -> int:
        return math.floor(self._clock() / self._bucket_seconds())

    def _bucket_seconds(self) -> float:
        return self._cfg.window / WINDOW_BUCKETS

    def _oldest_counted(self, newest: int) -> int:
        """Return the oldest bucket whose retries may still be arriving."""
        transit = math.ceil(TRANSIT_SECONDS / self._bucket_seconds())
        return newest - WINDOW_BUCKETS - transit

    def _bucket_at(self, number: int) -> _Bucket:
        return self._buckets.get(number, _EMPTY)

    def _current_bucket(self) -> _Bucket:
        """Return the current bucket; drop expired ones if it is new."""
        newest = self._current_number()
        bucket = self._buckets.get(newest)
        if bucket is None:
            oldest = self._oldest_counted(newest) - HALF_WINDOW
            self._buckets = {
                number: each
                for number, each in self._buckets.items()
                if number >= oldest
            }
            bucket = _Bucket()
            self._buckets[newest] = bucket
        return bucket


class RetryReservation:
    """The retry that one request holds; released if it is not used."""

    def __init__(self, budget: WindowedRetryBudget) -> None:
        """Start without a reserved retry."""
        self.standing = budget.standing
        self._budget = budget
        self._is_held = False

    def spend(self) -> bool:
        """Reserve a retry unless one is held; return whether one is."""
        if not self._is_held:
            self._is_held = self._budget.reserve()
        return self._is_held

    def record_sent(self) -> None:
        """Record that the request is being sent to an endpoint."""
        if self._is_held:
            self._is_held = False
            self._budget.record_sent()

    def close(self) -> None:
        """Release the retry if it was not used."""
        if self._is_held:
            self._is_held = False
            self._budget.release()


_EMPTY = _Bucket()
