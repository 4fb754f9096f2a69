"""Hold timeout for slots whose holder can't be reached."""

PEAK_DECAY = 0.999
TIMEOUT_FACTOR = 1.5


class HoldTimes:
    """A decaying peak of the time that slots are held.

    A mean with its deviation would miss the few long requests among many
    short ones, and the timeout has to cover just these.
    """

    def __init__(self) -> None:
        """Start without any recorded time."""
        self._peak: float = 0

    def record(self, seconds: float) -> None:
        """Record how long a slot was held."""
        self._peak = max(seconds, self._peak * PEAK_DECAY)

    def timeout(self, max_seconds: float) -> float:
        """Return how long a slot may be held, in seconds.

        It is at most ``max_seconds``, which holds too while none is recorded.
        """
        return (
            min(self._peak * TIMEOUT_FACTOR, max_seconds)
            if self._peak
            else max_seconds
        )
