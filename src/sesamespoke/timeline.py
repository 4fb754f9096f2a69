"""A bounded record of one host's changes of state.

Events carry hybrid logical clocks, so that the records of all hosts merge
into one order that respects cause and effect. Source: Kulkarni, Demirbas et
al., "Logical physical clocks", OPODIS 2014.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_EVENTS = 4096
MAX_AHEAD_MS = 60_000
MAX_TICK = 1_000_000

Fact = str | int | float | bool | None


class Stamp(NamedTuple):
    """A hybrid time: wall-clock ms, then a tick among equal ms."""

    wall_ms: int
    tick: int


@dataclass(frozen=True, slots=True)
class Event:
    """One change of state at one host."""

    stamp: Stamp
    host: str
    data_centre: str
    kind: str
    facts: dict[str, Fact] = field(default_factory=dict)


BEGINNING = Stamp(0, 0)


def read_wall_ms() -> int:
    """Return the wall clock in milliseconds."""
    return int(time.time() * 1000)


class HybridClock:
    """A clock that never runs behind what it has seen of others."""

    def __init__(self, read_wall: Callable[[], int] = read_wall_ms) -> None:
        """Start at the wall clock's time."""
        self._read_wall = read_wall
        self._last = BEGINNING

    def now(self) -> Stamp:
        """Return a stamp later than any that was given or observed."""
        wall_ms = self._read_wall()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.tick + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Take a peer's stamp into account, unless its clock is far off."""
        latest = Stamp(self._read_wall() + MAX_AHEAD_MS, 0)
        if stamp <= latest and stamp.tick <= MAX_TICK:
            self._last = max(self._last, stamp)


class Timeline:
    """The latest events of this host, oldest first."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        clock: HybridClock | None = None,
    ) -> None:
        """Start an empty record."""
        self.clock = clock or HybridClock()
        self._host = host
        self._data_centre = data_centre
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def record(self, kind: str, **facts: Fact) -> None:
        """Add an event, dropping the oldest when the record is full."""
        stamp = self.clock.now()
        event = Event(stamp, self._host, self._data_centre, kind, facts)
        self._events.append(event)

    def events(self, after: Stamp = BEGINNING) -> Iterator[Event]:
        """Yield the kept events later than a stamp."""
        kept = tuple(self._events)
        return (event for event in kept if event.stamp > after)
