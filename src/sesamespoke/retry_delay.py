"""Delays between tries of a call that fails again and again."""

import random

GROWTH = 1.6
MIN_PART = 0.8
"""Shortest delay as a part of the nominal one: callers that failed together
don't try again together."""


class RetryDelay:
    """Grows with each failure in a row, up to a limit; in seconds.

    A service that turns many hosts away pays for each of their tries.
    """

    def __init__(self, first: float, longest: float) -> None:
        """Start with the first delay."""
        self._first = first
        self._longest = longest
        self._next = first

    def grow(self) -> float:
        """Return the delay after another failure."""
        delay = self._next
        self._next = min(self._longest, delay * GROWTH)
        return delay * random.uniform(MIN_PART, 1)

    def reset(self) -> None:
        """Start anew after a success."""
        self._next = self._first
