"""Endpoints that have asked this router to send nothing for some time.

An endpoint that turns a request away may say for how long it wants nothing
from the router that it answers. When the time is over, all that has gone
elsewhere must not come back in one wave: a single request goes first, and each
answer doubles the number of requests that may be in flight.
"""

from collections.abc import Callable
from dataclasses import dataclass

MAX_BACKOFF_SECONDS = 3600.0
"""Limit of what an endpoint may ask for at once."""
MAX_RAMP_REQUESTS = 64
"""Requests in flight from which the ramp no longer limits an endpoint."""


@dataclass(slots=True)
class _State:
    """``limit`` is the number of requests that may be in flight."""

    until: float
    limit: int = 1


class EndpointBackoff:
    """Tracks the endpoints that have asked for a pause, and their return."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any endpoint."""
        self._clock = clock
        self._states: dict[str, _State] = {}
        self._in_flight: dict[str, int] = {}

    def note_refused(self, endpoint: str, seconds: float) -> None:
        """Begin a pause, or extend the one that is under way."""
        seconds = min(seconds, MAX_BACKOFF_SECONDS)
        until = max(self._clock() + seconds, self._until(endpoint))
        self._states[endpoint] = _State(until)

    def note_answered(self, endpoint: str) -> None:
        """Let an endpoint that has answered have more requests in flight."""
        state = self._states.get(endpoint)
        if state is None or self._clock() < state.until:
            return
        state.limit *= 2
        if state.limit > MAX_RAMP_REQUESTS:
            del self._states[endpoint]

    def seconds_left(self, endpoint: str) -> float:
        """Return how long an endpoint must get nothing; 0 if it may now."""
        return max(0, self._until(endpoint) - self._clock())

    def allows(self, endpoint: str) -> bool:
        """Return whether an endpoint may be given one more request now."""
        state = self._states.get(endpoint)
        if state is None:
            return True
        in_flight = self._in_flight.get(endpoint, 0)
        return self._clock() >= state.until and in_flight < state.limit

    def begin(self, endpoint: str) -> None:
        """Count a request that is about to be sent."""
        self._in_flight[endpoint] = self._in_flight.get(endpoint, 0) + 1

    def end(self, endpoint: str) -> None:
        """Remove a request that has ended."""
        left = self._in_flight.pop(endpoint, 0) - 1
        if left > 0:
            self._in_flight[endpoint] = left

    def drop(self, endpoint: str) -> None:
        """Drop the pause of an endpoint that was removed or restarted."""
        self._states.pop(endpoint, None)

    def _until(self, endpoint: str) -> float:
        state = self._states.get(endpoint)
        return state.until if state else 0
