"""Loopback links that can be slow, silent, cut one way, or reset."""

import asyncio
import contextlib
from dataclasses import dataclass, field

from soak.site import Way

CHUNK = 65_536
OPEN, SILENT, NO_REQUESTS, NO_ANSWERS, RESET = (
    'open',
    'silent',
    'no requests',
    'no answers',
    'reset',
)
HELD = {
    OPEN: (False, False),
    SILENT: (True, True),
    NO_REQUESTS: (True, False),
    NO_ANSWERS: (False, True),
    RESET: (False, False),
}
"""Whether bytes to the target, and from it, are held up."""


@dataclass
class Link:
    """One listening port whose connections lead to one address."""

    way: Way
    mode: str = OPEN
    delay: float = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def open(self) -> None:
        self.changed = asyncio.Event()
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.way.port, backlog=256
        )

    def set(self, mode: str, delay: float = 0) -> None:
        self.mode, self.delay = mode, delay
        if mode == RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    async def close(self) -> None:
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self.join(reader, writer)
        except OSError:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)

    async def join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == RESET:
            raise ConnectionResetError
        await self.pass_held(0)
        there, back = await asyncio.open_connection(*self.way.address)
        self.writers.add(back)
        pumps = [
            asyncio.ensure_future(self.pump(reader, back, 0)),
            asyncio.ensure_future(self.pump(there, writer, 1)),
        ]
        try:
            done, _ = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED
            )
            # What was read is passed on before the other side sees the end.
            with contextlib.suppress(OSError):
                done.pop().result()
        finally:
            for pump in pumps:
                pump.cancel()
            self.writers.discard(back)
            back.close()
            writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: int,
    ) -> None:
        while content := await reader.read(CHUNK):
            await self.pass_held(side)
            if self.delay:
                await asyncio.sleep(self.delay)
            writer.write(content)
            await writer.drain()
        await self.pass_held(side)

    async def pass_held(self, side: int) -> None:
        while HELD[self.mode][side]:
            await self.changed.wait()
