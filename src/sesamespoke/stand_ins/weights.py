"""A stand-in of the weight store: files sent within one shared rate."""

import asyncio
from typing import cast

from sesamespoke.settings import Address
from sesamespoke.stand_ins.rates import TokenBucket
from sesamespoke.stand_ins.serving import Listener, Rule, StandInHandler

CHUNK_BYTES = 65_536


class WeightStoreStandIn:
    """Serves files of given sizes at a total of so many bytes a second."""

    def __init__(self, files: dict[str, int], bytes_per_second: float) -> None:
        """Create a store that does not listen yet."""
        self.files = dict(files)
        self.sent = 0
        self.listener = Listener()
        self._budget = TokenBucket(bytes_per_second, CHUNK_BYTES)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.listener.url

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""
        options: dict[str, object] = {'listener': self.listener, 'store': self}
        rules: list[Rule] = [('/weights/(.+)', WeightHandler, options)]
        return self.listener.start(rules, address)

    def stop(self) -> None:
        """Close everything."""
        self.listener.stop()

    async def wait_for_budget(self, size: int) -> None:
        """Wait until a chunk may be sent."""
        await asyncio.sleep(self._budget.reserve(size))
        self.sent += size


class WeightHandler(StandInHandler):
    """Sends one file."""

    async def get(self, name: str) -> None:
        """Send zeros of the file's size, chunk by chunk."""
        store = cast(WeightStoreStandIn, self.facts['store'])
        left = store.files.get(name)
        if left is None:
            self.set_status(404)
            return
        self.set_header('Content-Length', str(left))
        while left and not self.stream.closed():
            size = min(left, CHUNK_BYTES)
            await store.wait_for_budget(size)
            self.write(bytes(size))
            await self.flush()
            left -= size
