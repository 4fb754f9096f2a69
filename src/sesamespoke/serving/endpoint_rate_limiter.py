"""Limits this router's share of the request rate to single endpoints.

A cold endpoint, or one that names a limit, takes a rate of requests from all
routers together. A few routers, the holders, send to it, each an equal part
of the rate. Rendezvous hashing chooses them, which needs no coordination and
keeps the total within the rate while routers are partitioned or frozen.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.placement import rank_hosts

MIN_RATE = 0.25
"""Requests per second that an endpoint gets however low its limit is: answers
to them show when the limit ends."""
HOLDER_BURST = 4
HOLDERS_PER_RATE = 0.4
"""There are ``HOLDER_BURST`` holders, and this many more for each request per
second: all that send at the same moment stay within the rate's tolerance."""
MAX_CARRIED_DELAY = 0.25
"""Part of the interval by which a late request doesn't delay the next one."""

Hosts = Callable[[], frozenset[str] | None]


@dataclass(slots=True)
class _State:
    """The holders among some hosts, and when this one may send next.

    ``rank`` is the position of this host among the holders; None if it is
    not one of them.
    """

    hosts: frozenset[str]
    holders: int
    rank: int | None
    next_at: float | None = None


class EndpointRateLimiter:
    """Spaces out the requests to endpoints with a limited rate.

    No request is allowed while the ``hosts`` of the fleet are unknown.
    """

    def __init__(
        self, host: str, clock: Callable[[], float], hosts: Hosts
    ) -> None:
        """Start without any endpoint."""
        self._host = host
        self._clock = clock
        self._hosts = hosts
        self._states: dict[str, _State] = {}

    def may_send(self, endpoint: str, rate: float) -> bool:
        """Return whether an endpoint may be sent a request now.

        ``rate`` is its limit in requests per second, over all routers.
        """
        state = self._update(endpoint, rate)
        if state is None or state.rank is None:
            return False
        if state.next_at is None:
            # Holders learn of the limit together and must not send together.
            delay = _interval(state, rate) * state.rank / state.holders
            state.next_at = self._clock() + delay
        return self._clock() >= state.next_at

    def note_sent(self, endpoint: str, rate: float) -> None:
        """Record a request that is sent to an endpoint."""
        state = self._update(endpoint, rate)
        if state is None:
            return
        now, interval = self._clock(), _interval(state, rate)
        due_at = now if state.next_at is None else min(state.next_at, now)
        carried_from = max(due_at, now - interval * MAX_CARRIED_DELAY)
        state.next_at = carried_from + interval

    def drop(self, endpoint: str) -> None:
        """Drop the state of an endpoint that was removed or restarted."""
        self._states.pop(endpoint, None)

    def _update(self, endpoint: str, rate: float) -> _State | None:
        """Return the state for the current hosts; None if they are unknown."""
        hosts = self._hosts()
        if not hosts:
            return None
        holders = min(len(hosts), HOLDER_BURST + int(rate * HOLDERS_PER_RATE))
        state = self._states.get(endpoint)
        if (
            state is None
            or state.hosts is not hosts
            or state.holders != holders
        ):
            next_at = None if state is None else state.next_at
            ranked = rank_hosts(endpoint, hosts)[:holders]
            rank = ranked.index(self._host) if self._host in ranked else None
            state = _State(hosts, holders, rank, next_at)
            self._states[endpoint] = state
        return state


def _interval(state: _State, rate: float) -> float:
    """Return the seconds between two requests of one holder."""
    return state.holders / max(rate, MIN_RATE)
