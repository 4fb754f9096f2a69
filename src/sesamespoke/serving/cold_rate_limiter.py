"""A router's part of what endpoints bear while they are cold.

The load it answers: every router learns of a cold endpoint at about the same
time, and each would fill it. The rate is divided by the number of routers,
which holds with no agreement between them.
"""

from collections.abc import Callable

import xxhash

from sesamespoke.serving.catalog import HASH_SPAN


class ColdRateLimiter:
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

    def may_send(self, endpoint: str, rate: float) -> bool:
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

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that has gone."""
        self._next_at.pop(endpoint, None)

    def _first_turn(self, endpoint: str) -> float:
        """Return the part of a turn that this router's first request waits.

        All routers learn of a cold endpoint at about the same time; their
        first requests are spread by a hash.
        """
        point = xxhash.xxh3_64_intdigest(f'{self._host} {endpoint}'.encode())
        return point / HASH_SPAN
