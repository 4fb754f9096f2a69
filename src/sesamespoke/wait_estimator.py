"""Estimates of how long the requests of an account wait for a slot."""

from collections import OrderedDict
from collections.abc import Callable

MAX_ACCOUNTS = 20_000
SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class WaitEstimator:
    """Estimates waits from the mean interval between an account's grants.

    Intervals are in seconds and exponentially smoothed. The table is bounded:
    accounts without a grant for the longest time are evicted.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without data; ``clock`` is that of the event loop."""
        self._clock = clock
        self._last: OrderedDict[str, float] = OrderedDict()
        self._intervals: dict[str, float] = {}

    def record_grant(self, account: str) -> None:
        """Record that a request of the account was granted a slot."""
        now = self._clock()
        last = self._last.pop(account, None)
        self._last[account] = now
        if last is not None:
            mean = self._intervals.get(account, now - last)
            self._intervals[account] = mean + SMOOTHING * (now - last - mean)
        if len(self._last) > MAX_ACCOUNTS:
            evicted, _ = self._last.popitem(last=False)
            self._intervals.pop(evicted, None)

    def estimate(self, account: str, waiting: int) -> float:
        """Return the seconds until half of a queue is expected to be served.

        ``waiting`` is the length of the account's queue. The result stays
        within the limits for a Retry-After header.
        """
        interval = self._intervals.get(account, MIN_RETRY_AFTER_SECONDS)
        wait = interval * waiting / 2
        return min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
