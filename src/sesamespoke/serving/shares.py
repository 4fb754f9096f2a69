"""A router's share of bounds that hold over the whole fleet.

The load they answer: routers that can't see one another, cut off or frozen,
while every one of them goes on serving. A bound that is divided by the
number of routers holds with no agreement between them; what one of them
leaves unused is the price.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from sesamespoke.serving.catalog import HASH_SPAN

BUCKET_SECONDS = 0.5
"""How finely the window of the retry budget slides."""
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
    began_at: float
    fresh: int = 0
    spent: int = 0


class RetryShare:
    """One service's retries at this router, in a sliding window.

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
        self.cfg = cfg
        self._started_at = started_at
        self._clock = clock
        self._routers = routers
        self._buckets: deque[_Bucket] = deque()

    def earn(self) -> None:
        """Count a fresh request."""
        self._bucket().fresh += 1

    def spend(self) -> bool:
        """Take a retry; return whether the budget allows it."""
        bucket = self._bucket()
        if self._spent() + 1 > self._allowed():
            return False
        bucket.spent += 1
        return True

    def standing(self) -> dict[str, object]:
        """Return what decides on a retry, for the log."""
        self._bucket()
        return {
            'retries_spent': self._spent(),
            'retries_allowed': round(self._allowed(), 1),
            'fresh': self._fresh(),
            'routers': self._routers(),
        }

    def _allowed(self) -> float:
        earned = self.cfg.ratio * self._fresh()
        return SAFE_FRACTION * (earned + self._slack())

    def _slack(self) -> float:
        """Return this router's part of the slack."""
        routers = self._routers()
        has_begun = self._clock() - self._started_at < self.cfg.window
        if has_begun or not routers:
            return 0
        return self.cfg.slack / routers

    def _fresh(self) -> int:
        return sum(each.fresh for each in self._buckets)

    def _spent(self) -> int:
        return sum(each.spent for each in self._buckets)

    def _bucket(self) -> _Bucket:
        now = self._clock()
        while (
            self._buckets and self._buckets[0].began_at < now - self.cfg.window
        ):
            self._buckets.popleft()
        newest = self._buckets[-1] if self._buckets else None
        if newest is None or now - newest.began_at >= BUCKET_SECONDS:
            newest = _Bucket(now)
            self._buckets.append(newest)
        return newest


class ColdGate:
    """Spaces out the requests to endpoints that are cold.

    It is closed while the number of ``routers`` is not known.
    """

    def __init__(
        self,
        host: str,
        clock: Callable[[], float],
        routers: Callable[[], int | None],
    ) -> None:
        """Start with no endpoint used."""
        self._host = host
        self._clock = clock
        self._routers = routers
        self._next_at: dict[str, float] = {}

    def is_open(self, endpoint: str, rate: float) -> bool:
        """Return whether a cold endpoint may be sent a request now.

        ``rate`` is what it bears in a second from all routers.
        """
        if rate <= 0:
            return True
        routers = self._routers()
        if not routers:
            return False
        next_at = self._next_at.get(endpoint)
        if next_at is None:
            turn = self._first_turn(endpoint)
            next_at = self._clock() + routers / rate * turn
            self._next_at[endpoint] = next_at
        return self._clock() >= next_at

    def note_sent(self, endpoint: str, rate: float) -> None:
        """Count a request that goes to a cold endpoint."""
        routers = self._routers()
        if rate > 0 and routers:
            self._next_at[endpoint] = self._clock() + routers / rate

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that has gone."""
        self._next_at.pop(endpoint, None)

    def _first_turn(self, endpoint: str) -> float:
        """Return the part of a turn that this router's first request waits.

        All routers learn of a cold endpoint at about the same time; their
        first requests are spread by a hash.
        """
        point = xxhash.xxh3_64_intdigest(f'{self._host} {endpoint}'.encode())
        return point / HASH_SPAN
