"""The memory that request bodies take in a process, and who gives it back.

The load this answers: many callers that send large bodies at once, most of
which stop short of the end and stay open. A body takes memory from its first
byte until its request has ended. When all bodies together take more than the
limit, bodies that are still arriving are refused, those without progress first
and of these the largest, until there is room again. Ordinary bodies are small
and soon complete, so that they are rarely among them.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from weakref import WeakKeyDictionary

STALLED_SECONDS = 1.0
"""Time without a byte after which a body counts as stalled."""
SLOW_SECONDS = 2.0
"""Time after its head from which a body that still arrives counts as slow."""
LOW_MARK = 0.8
"""Part of the limit down to which bodies are refused: one pass frees room for
many arrivals."""
SERVED_PART = 0.6
"""Part of the limit that large bodies of requests in work may take; the rest is
for small bodies and for what arrives."""
SMALL_BYTES = 65_536
MIN_BODIES = 3
"""Bodies of the largest allowed size that the limit holds at least, so that a
single one is always served: its request, a copy while it is sent to an
endpoint, and the next one."""


class BodyReader(Protocol):
    """Reads a request whose body is still arriving."""

    def give_up(self) -> None:
        """Refuse the request, which has not run, and close its connection."""


@dataclass(slots=True)
class _Arrival:
    """Bytes of a body so far, and when its head and the last ones came."""

    size: int
    progressed_at: float
    head_at: float = math.inf


class BodyMemory:
    """Accounts for the request bodies that a process holds, in bytes."""

    def __init__(self, limit: float, clock: Callable[[], float]) -> None:
        """Start empty; ``limit`` is in bytes, infinite for none."""
        self.limit = limit
        self.held = 0
        self.refused = 0
        self._clock = clock
        self._served = 0
        self._arriving: WeakKeyDictionary[BodyReader, _Arrival] = (
            WeakKeyDictionary()
        )

    def begin(self, reader: BodyReader) -> None:
        """Note a connection that waits for a request.

        A reader that is gone without a word is forgotten by itself.
        """
        self._arriving[reader] = _Arrival(0, self._clock())

    def begin_body(self, reader: BodyReader) -> None:
        """Note that the head of a request has come."""
        now = self._clock()
        self._arriving[reader] = _Arrival(0, now, now)

    def grow(self, reader: BodyReader, size: int, max_size: int) -> None:
        """Account for the next bytes of a body; may make readers give up.

        ``max_size`` is that of the largest body that is accepted.
        """
        arrival = self._arriving.get(reader)
        if arrival is None:
            return
        arrival.size += size
        arrival.progressed_at = self._clock()
        self.held += size
        limit = self._limit_for(max_size)
        if self.held > limit:
            self._make_room(limit)

    def serve(self, reader: BodyReader, max_size: int) -> bool:
        """Return whether a whole body may be served; its size is released
        after its request.

        If bodies in work leave no room for it, it is forgotten.
        """
        arrival = self._arriving.pop(reader, None)
        size = arrival.size if arrival else 0
        limit = self._limit_for(max_size) * SERVED_PART
        if size > SMALL_BYTES and self._served + size > limit:
            self.held -= size
            self.refused += 1
            return False
        self._served += size
        return True

    def release(self, size: int) -> None:
        """Give back the bytes of a request that has ended."""
        self._served -= size
        self.held -= size

    def forget(self, reader: BodyReader) -> None:
        """Give back the bytes of a body that won't be served."""
        arrival = self._arriving.pop(reader, None)
        if arrival is not None:
            self.held -= arrival.size

    def drop_stalled(self) -> bool:
        """Make the reader without progress for longest give up, if any has."""
        stalest = min(
            self._arriving.items(),
            key=lambda row: row[1].progressed_at,
            default=None,
        )
        if stalest is None:
            return False
        reader, arrival = stalest
        if self._clock() - arrival.progressed_at < STALLED_SECONDS:
            return False
        self._drop(reader)
        return True

    def drop_slow(self) -> None:
        """Refuse the bodies that have arrived for long.

        For a host that is out of processor time: reading a body in chunks of
        a few bytes takes most of it, and ordinary bodies come at once.
        """
        since = self._clock() - SLOW_SECONDS
        slow = [
            reader
            for reader, arrival in self._arriving.items()
            if arrival.head_at < since
        ]
        for reader in slow:
            self._drop(reader)

    def _limit_for(self, max_size: int) -> float:
        return max(self.limit, MIN_BODIES * max_size)

    def _make_room(self, limit: float) -> None:
        """Refuse arriving bodies until the low mark is reached."""
        stalled_since = self._clock() - STALLED_SECONDS
        ranked = sorted(
            (row for row in self._arriving.items() if row[1].size),
            key=lambda row: (
                row[1].progressed_at > stalled_since,
                -row[1].size,
            ),
        )
        for reader, _ in ranked:
            if self.held <= limit * LOW_MARK:
                return
            self._drop(reader)

    def _drop(self, reader: BodyReader) -> None:
        self.forget(reader)
        self.refused += 1
        reader.give_up()
