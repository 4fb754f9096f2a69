"""A router's part of the retries that the whole fleet may send.

The load it answers: endpoints that fail by the dozen, while routers are cut
off from one another, frozen or just started, and every one of them goes on
serving. The slack of the bound is divided by the number of routers, which
holds with no agreement between them; what one leaves unused is the price.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate

WINDOW_BUCKETS = 20
"""How finely the window of the retry budget slides."""
HALF_WINDOW = WINDOW_BUCKETS // 2
TRANSIT_SECONDS = 0.5
"""What a request may take to an endpoint, once it was sent."""
SAFE_FRACTION = 0.8
"""The part of a bound that is used, for clocks that differ."""


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
    """What happened in one part of the window."""

    fresh: int = 0
    sent: int = 0


class WindowedRetryBudget:
    """One service's retries at this router, in every window of its time.

    The retries sent from any moment on are held against the fresh requests
    of the window around that moment, which operators may choose for their
    count. What each router keeps then adds up to the bound for the fleet.

    A process that has just started has no part of the slack until a window
    has passed: the one before it may have used that part up. Nor has one that
    does not know how many ``routers`` share the slack.
    """

    def __init__(
        self,
        cfg: RetryBounds,
        clock: Callable[[], float],
        routers: Callable[[], int | None],
        started_at: float = -math.inf,
    ) -> None:
        """Start with an empty window in a process that began then."""
        self._cfg = cfg
        self._started_at = started_at
        self._clock = clock
        self._routers = routers
        self._buckets: dict[int, _Bucket] = {}
        self._unsent = 0

    def update_bounds(self, cfg: RetryBounds) -> None:
        """Use other bounds; begin anew where the window has changed."""
        if cfg.window != self._cfg.window:
            self._buckets.clear()
            self._started_at = self._clock()
        self._cfg = cfg

    def record_request(self) -> None:
        """Count a fresh request."""
        self._newest().fresh += 1

    def reserve(self) -> bool:
        """Take a retry; return whether the budget allows it.

        It counts until ``release``, or for a window from ``record_sent`` on.
        """
        if self._left() < 1:
            return False
        self._unsent += 1
        return True

    def record_sent(self) -> None:
        """Note that a retry that was taken leaves for an endpoint now."""
        self._unsent -= 1
        self._newest().sent += 1

    def release(self) -> None:
        """Give back a retry that was taken and not sent."""
        self._unsent -= 1

    def standing(self) -> dict[str, object]:
        """Return what decides on a retry, for the log."""
        buckets = self._buckets.values()
        return {
            'retries_sent': sum(each.sent for each in buckets),
            'retries_waiting': self._unsent,
            'retries_left': round(self._left(), 1),
            'fresh': sum(each.fresh for each in buckets),
            'routers': self._routers(),
        }

    def _left(self) -> float:
        """Return how many more retries every window would bear."""
        newest = self._now()
        oldest = self._oldest(newest)
        fresh = self._sum_fresh(oldest, newest)
        slack = self._slack()
        sent = self._unsent
        least = math.inf
        numbers = range(newest, oldest - 1, -1)
        for number, around in zip(numbers, reversed(fresh), strict=True):
            sent += self._at(number).sent
            allowed = self._cfg.ratio * around + slack
            least = min(least, SAFE_FRACTION * allowed - sent)
        return least

    def _sum_fresh(self, oldest: int, newest: int) -> list[int]:
        """Return the fresh requests of the window around each bucket.

        Of the buckets at its edges, which it may hold in part, it has none.
        """
        numbers = range(oldest - HALF_WINDOW, newest + HALF_WINDOW)
        counts = (self._at(number).fresh for number in numbers)
        totals = list(accumulate(counts, initial=0))
        width = 2 * HALF_WINDOW - 1
        return [
            upto - before
            for before, upto in zip(
                totals[1:], totals[1 + width :], strict=False
            )
        ]

    def _slack(self) -> float:
        """Return this router's part of the slack."""
        routers = self._routers()
        is_new = self._clock() - self._started_at < self._cfg.window
        if is_new or not routers:
            return 0
        return self._cfg.slack / routers

    def _now(self) -> int:
        return math.floor(self._clock() / self._bucket_seconds())

    def _bucket_seconds(self) -> float:
        return self._cfg.window / WINDOW_BUCKETS

    def _oldest(self, newest: int) -> int:
        """Return the first bucket whose retries may still be arriving."""
        transit = math.ceil(TRANSIT_SECONDS / self._bucket_seconds())
        return newest - WINDOW_BUCKETS - transit

    def _at(self, number: int) -> _Bucket:
        return self._buckets.get(number, _EMPTY)

    def _newest(self) -> _Bucket:
        """Return the bucket of now; a new one takes the place of old ones."""
        newest = self._now()
        bucket = self._buckets.get(newest)
        if bucket is None:
            oldest = self._oldest(newest) - HALF_WINDOW
            self._buckets = {
                number: each
                for number, each in self._buckets.items()
                if number >= oldest
            }
            bucket = _Bucket()
            self._buckets[newest] = bucket
        return bucket


class RetryReservation:
    """What one request takes from a budget, and gives back if unused."""

    def __init__(self, share: WindowedRetryBudget) -> None:
        """Start with nothing taken."""
        self.standing = share.standing
        self._share = share
        self._is_taken = False

    def spend(self) -> bool:
        """Take a retry; return whether the budget allows it."""
        if not self._is_taken:
            self._is_taken = self._share.reserve()
        return self._is_taken

    def record_sent(self) -> None:
        """Note that the request leaves for an endpoint now."""
        if self._is_taken:
            self._is_taken = False
            self._share.record_sent()

    def close(self) -> None:
        """Give back what was not used."""
        if self._is_taken:
            self._is_taken = False
            self._share.release()


_EMPTY = _Bucket()
