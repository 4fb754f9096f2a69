"""How long an account's requests can be expected to wait."""

from collections import OrderedDict
from collections.abc import Callable

MAX_ACCOUNTS = 20_000
SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class WaitTimes:
    """Smoothed time between the grants of each account, in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Know nothing; ``clock`` is the loop's."""
        self._clock = clock
        self._last: OrderedDict[str, float] = OrderedDict()
        self._intervals: dict[str, float] = {}

    def note(self, account: str) -> None:
        """Note that a request of the account was given a slot."""
        now = self._clock()
        last = self._last.pop(account, None)
        self._last[account] = now
        if last is not None:
            known = self._intervals.get(account, now - last)
            self._intervals[account] = known + SMOOTHING * (now - last - known)
        if len(self._last) > MAX_ACCOUNTS:
            forgotten, _ = self._last.popitem(last=False)
            self._intervals.pop(forgotten, None)

    def expect(self, account: str, waiting: int) -> float:
        """Return after how many seconds half of the queue will be served."""
        interval = self._intervals.get(account, MIN_RETRY_AFTER_SECONDS)
        wait = interval * waiting / 2
        return min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
