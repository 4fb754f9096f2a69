"""What a router has seen of each endpoint: failures, refusals, pace.

There are no health probes: endpoints answer a probe from the same queue as
any request, and an answer may be wrong either way. What counts is how real
requests fare.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.attempts import Attempt
from sesamespoke.limits import Outcome

FIRST_PAUSE = 0.5
"""Seconds that an endpoint is left alone after it broke a request."""
LONGEST_PAUSE = 4.0
"""An endpoint that restarts is back after some seconds."""
REFUSED_PAUSE = 0.1
"""Seconds until an endpoint that was full may be asked again."""
SLOWDOWN_WEIGHT = 0.15
"""Weight of the newest observation in an endpoint's pace."""
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
FAILED_SLOWDOWN = 3.0
"""A request that failed counts as one that took so many times as long."""
RECOVERY_SECONDS = 5.0
"""Time after which an endpoint that was shunned for its pace is tried."""


@dataclass(slots=True)
class _Seen:
    slowdown: float = 1
    paused_until: float = 0
    pause: float = 0
    told_at: float = 0
    born: int = 0


class Health:
    """The record of every endpoint that this router has used."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without observations."""
        self._clock = clock
        self._seen: dict[str, _Seen] = {}

    def slowdown(self, endpoint: str) -> float:
        """Return how many times as long as expected an endpoint takes.

        A bad record fades, so that an endpoint that got well is used again.
        """
        seen = self._seen.get(endpoint)
        if seen is None:
            return 1
        idle = self._clock() - seen.told_at
        if seen.slowdown > 1 and idle > RECOVERY_SECONDS:
            return 1
        return seen.slowdown

    def is_paused(self, endpoint: str) -> bool:
        """Return whether an endpoint is left alone for now."""
        seen = self._seen.get(endpoint)
        return seen is not None and self._clock() < seen.paused_until

    def record_attempt(
        self, endpoint: str, attempt: Attempt, expected_ms: float
    ) -> bool:
        """Take an attempt into account; ``expected_ms`` is in milliseconds.

        Returns whether the endpoint is now left alone, and was not before.
        """
        seen = self._seen.setdefault(endpoint, _Seen())
        now = self._clock()
        seen.told_at = now
        if attempt.outcome is Outcome.REFUSED:
            seen.paused_until = max(seen.paused_until, now + REFUSED_PAUSE)
            return False
        if attempt.outcome is Outcome.BROKEN:
            return self._pause(seen, now)
        if attempt.outcome is Outcome.DONE:
            seen.pause = 0
            observed = attempt.first_token_ms / max(1, expected_ms)
            self._learn(seen, observed)
        elif attempt.outcome is Outcome.LATE:
            self._learn(seen, max(seen.slowdown, FAILED_SLOWDOWN))
        return False

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that has gone or started anew."""
        self._seen.pop(endpoint, None)

    def _learn(self, seen: _Seen, observed: float) -> None:
        pace = seen.slowdown + SLOWDOWN_WEIGHT * (observed - seen.slowdown)
        seen.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, pace))

    def _pause(self, seen: _Seen, now: float) -> bool:
        if now < seen.paused_until:
            return False
        seen.pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, seen.pause * 2))
        seen.paused_until = now + seen.pause
        return True
