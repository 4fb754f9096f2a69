"""Limits this router's share of the request rate to cold endpoints.

Every router learns of a cold endpoint at about the same time, and together
they would overload it. The rate is divided by the number of routers, which
keeps the total within the limit without coordination.
"""

from collections.abc import Callable

import xxhash

from sesamespoke.serving.catalog import HASH_SPAN


class ColdRateLimiter:
    """Spaces out the requests to cold endpoints.

    No request is allowed while the number of ``routers`` is unknown.
    """

    def __init__(
        self,
        host: str,
        clock: Callable[[], float],
        routers: Callable[[], int | None],
    ) -> None:
        """Start without any endpoint."""
        self._host = host
        self._clock = clock
        self._routers = routers
        self._next_at: dict[str, float] = {}

    def may_send(self, endpoint: str, rate: float) -> bool:
        """Return whether a cold endpoint may be sent a request now.

        ``rate`` is its limit in requests a second, over all routers.
        """
        if rate <= 0:
            return True
        routers = self._routers()
        if not routers:
            return False
        next_at = self._next_at.get(endpoint)
        if next_at is None:
            fraction = self._first_delay_fraction(endpoint)
            next_at = self._clock() + routers / rate * fraction
            self._next_at[endpoint] = next_at
        return self._clock() >= next_at

    def note_sent(self, endpoint: str, rate: float) -> None:
        """Record a request that is sent to a cold endpoint."""
        routers = self._routers()
        if rate > 0 and routers:
            self._next_at[endpoint] = self._clock() + routers / rate

    def drop(self, endpoint: str) -> None:
        """Drop the state of an endpoint that was removed or restarted."""
        self._next_at.pop(endpoint, None)

    def _first_delay_fraction(self, endpoint: str) -> float:
        """Return the first request's delay as a part of the interval.

        All routers learn of a cold endpoint at about the same time; a hash of
        router and endpoint spreads their first requests over the interval.
        """
        point = xxhash.xxh3_64_intdigest(f'{self._host} {endpoint}'.encode())
        return point / HASH_SPAN
