"""Request rates that endpoints name in their answers as their limit.

An endpoint in need takes this many requests per second from all routers
together, for as long as its answers say so.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from sesamespoke.checked_fields import read_decimal
from sesamespoke.serving.directory import ListedEndpoint

LIFT_FACTOR = 2.0
"""Each answer without a limit raises the last one by this factor, so that all
that went elsewhere doesn't come back in one wave."""
MAX_LIMITED_RATE = 64.0
"""Requests per second above which a limit that is being lifted has ended."""
ENDED_SECONDS = 600.0
"""Time for which the end of a limit is kept for routers that missed it."""

Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit at some time; ``rate`` is infinite once it has ended.

    ``number`` orders its changes over all routers. ``named_at`` is when it
    was last heard of.
    """

    number: int
    rate: float
    named_at: float


class NamedLimits:
    """The limits that endpoints name, by name and incarnation.

    ``on_change`` is called after a change that an answer brought about, and
    ``on_unreadable`` with the first limit of an endpoint that is no number.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without limits."""
        self.on_change: Callable[[Incarnation, NamedLimit], None] = _ignore
        self.on_unreadable: Callable[[Incarnation, str], None] = _ignore_text
        self._clock = clock
        self._limits: dict[Incarnation, NamedLimit] = {}
        self._unreadable: set[Incarnation] = set()

    def rate(self, endpoint: ListedEndpoint) -> float:
        """Return the requests per second that an endpoint takes."""
        known = self._limits.get((endpoint.name, endpoint.born))
        return math.inf if known is None else known.rate

    def note_answer(
        self, endpoint: ListedEndpoint, text: str | None, sent_at: float
    ) -> None:
        """Apply what an answer says of the limit; ``text`` is None if nothing.

        ``sent_at`` is when its request was sent. An answer without a limit
        counts only if the request was sent after the limit was last heard of.
        """
        key = (endpoint.name, endpoint.born)
        known = self._limits.get(key)
        if text is None:
            if known is not None and sent_at > known.named_at:
                self._lift(key, known)
            return
        rate = read_decimal(text)
        if rate is None:
            self._note_unreadable(key, text)
        elif known is None or known.rate != rate:
            self._change(key, known, rate)
        else:
            self._limits[key] = replace(known, named_at=self._clock())

    def adopt(self, key: Incarnation, number: int, rate: float) -> bool:
        """Apply another router's change; return whether it is newer.

        Routers that change a limit at the same time agree on the lower one.
        """
        known = self._limits.get(key)
        if known and (known.number, -known.rate) >= (number, -rate):
            return False
        self._limits[key] = NamedLimit(number, rate, self._clock())
        return True

    def drop(self, name: str, born: int | None = None) -> None:
        """Drop the limits of an endpoint's incarnations, except ``born``."""
        gone = {each for each in self._limits if each[0] == name}
        if born is not None:
            gone.discard((name, born))
        for incarnation in gone:
            del self._limits[incarnation]
        self._unreadable -= gone

    def __iter__(self) -> Iterator[tuple[Incarnation, NamedLimit]]:
        """Return all limits, and for a while those that have ended."""
        return iter(tuple(self._limits.items()))

    def _lift(self, key: Incarnation, known: NamedLimit) -> None:
        if known.rate == math.inf:
            if self._clock() - known.named_at > ENDED_SECONDS:
                del self._limits[key]
            return
        rate = max(1, known.rate) * LIFT_FACTOR
        self._change(key, known, rate if rate < MAX_LIMITED_RATE else math.inf)

    def _change(
        self, key: Incarnation, known: NamedLimit | None, rate: float
    ) -> None:
        number = 1 if known is None else known.number + 1
        limit = NamedLimit(number, rate, self._clock())
        self._limits[key] = limit
        self.on_change(key, limit)

    def _note_unreadable(self, key: Incarnation, text: str) -> None:
        if key not in self._unreadable:
            self._unreadable.add(key)
            self.on_unreadable(key, text)


def _ignore(key: Incarnation, limit: NamedLimit) -> None:
    """Do nothing: the default for ``on_change``."""


def _ignore_text(key: Incarnation, text: str) -> None:
    """Do nothing: the default for ``on_unreadable``."""
