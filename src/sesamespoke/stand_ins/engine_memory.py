"""What a language engine remembers: past load and ended streams."""

import asyncio
from collections import deque

from sesamespoke.stand_ins.generation import Generation

Load = tuple[float, int, int]


class LaggingLoad:
    """The load as it was some time ago: time, running, waiting."""

    def __init__(self, lag: float) -> None:
        """Start without any load."""
        self._lag = lag
        self._loads: deque[Load] = deque([(0, 0, 0)])

    def observe(self, running: int, waiting: int) -> None:
        """Keep the present load."""
        now = asyncio.get_running_loop().time()
        self._loads.append((now, running, waiting))
        self._drop_old(now)

    def read(self) -> Load:
        """Return the load of ``lag`` seconds ago."""
        self._drop_old(asyncio.get_running_loop().time())
        return self._loads[0]

    def _drop_old(self, now: float) -> None:
        due = now - self._lag
        while len(self._loads) > 1 and self._loads[1][0] <= due:
            self._loads.popleft()


class EndedStreams:
    """Streams that ended a short time ago and may be resumed."""

    def __init__(self, keep_seconds: float) -> None:
        """Start empty."""
        self._keep_seconds = keep_seconds
        self._streams: dict[str, Generation] = {}

    def keep(self, gen: Generation) -> None:
        """Keep a stream from now on."""
        now = asyncio.get_running_loop().time()
        self._drop_old(now)
        gen.ended_at = now
        gen.write = None
        if gen.prompt.streaming:
            self._streams[gen.prompt.request_id] = gen

    def take(self, request_id: str) -> Generation | None:
        """Remove and return a stream that may still be resumed."""
        self._drop_old(asyncio.get_running_loop().time())
        return self._streams.pop(request_id, None)

    def clear(self) -> None:
        """Forget all streams."""
        self._streams.clear()

    def _drop_old(self, now: float) -> None:
        due = now - self._keep_seconds
        late = [
            name for name, gen in self._streams.items() if gen.ended_at < due
        ]
        for name in late:
            self._streams.pop(name)
