"""A router of routed services with its store, engines and callers."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from unittest import mock

from support_platform import (
    CONFIG,
    EngineStandIn,
    RequestHandler,
    StoreStandIn,
    server_entry,
)

from sesamespoke.framing import BodyReader, Head, split_head
from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.platform.headers import HEADER_NAMES, read_head
from sesamespoke.platform.kv_store import KvStore
from sesamespoke.serving.pressure import LoopPressure
from sesamespoke.serving.retry_budget import RetryBounds
from sesamespoke.serving.router import RoutedRouter
from sesamespoke.serving.settings import (
    FeedSettings,
    ServingSettings,
    StopSettings,
)
from sesamespoke.settings import Address

ANY_PORT = Address('127.0.0.1', 0)
CFG = ServingSettings(
    'frontend-north-1',
    'north',
    ANY_PORT,
    ANY_PORT,
    ANY_PORT,
    ANY_PORT,
    RetryBounds(0.2, 10, 58),
    StopSettings(notice=0.3, longest=2),
    FeedSettings(endpoints=0.05, hosts=0.05, lease=5),
    max_callers=40,
)
PATIENCE_SECONDS = 10
BODY = b'body'


@dataclass
class Fleet:
    """A router, a store and some engines."""

    store: StoreStandIn
    client: KvStore
    router: RoutedRouter
    running: asyncio.Task[None]
    engines: dict[str, EngineStandIn] = field(default_factory=dict)

    async def add_engine(
        self, name: str, service: str, behave: RequestHandler
    ) -> EngineStandIn:
        engine = EngineStandIn(behave)
        address = await engine.start()
        self.engines[name] = engine
        self.store.put(f'servers/{name}', server_entry(service, address))
        directory = self.router.directory
        await until(lambda: name in directory.endpoints)
        return engine

    async def restart(self) -> None:
        """Replace the router by one that knows nothing of before."""
        await self.stop()
        before = self.router
        self.router = RoutedRouter(
            before.cfg, PlatformFeeds(self.client), HEADER_NAMES, read_head
        )
        self.running = asyncio.create_task(self.router.run())
        await until(lambda: self.router.is_ready)
        names = self.engines.keys()
        await until(lambda: names <= self.router.directory.endpoints.keys())

    async def stop(self) -> None:
        self.router.stop.ask()
        async with asyncio.timeout(PATIENCE_SECONDS):
            await self.running

    async def connect(self) -> 'Caller':
        port = self.router.server.port
        return Caller(*await asyncio.open_connection('127.0.0.1', port))


@dataclass
class Answered:
    status: int
    head: Head
    body: bytes
    whole: bool


@dataclass
class Caller:
    """A caller's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(
        self,
        path: str,
        *rows: str,
        method: str = 'POST',
        request_id: str = 'r1',
        whole: bool = True,
    ) -> None:
        """Send a request, or its head alone."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: a.example',
            f'Request-Attempt-Id: {request_id}',
            'Authorization: Bearer key-1',
            f'Content-Length: {len(BODY)}',
            *rows,
        ]
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        if whole:
            self.writer.write(BODY)

    async def receive(self, method: str = 'POST') -> Answered:
        buf = b''
        async with asyncio.timeout(PATIENCE_SECONDS):
            while (parts := split_head(buf)) is None:
                content = await self.reader.read(65_536)
                if not content:
                    raise ConnectionError('no answer')
                buf += content
            head, rest = parts
            body = BodyReader(head, method)
            payload = body.feed(rest)
            while not body.finished:
                content = await self.reader.read(65_536)
                if not content:
                    break
                payload += body.feed(content)
        return Answered(head.status, head, payload, body.finished)

    async def ask(
        self, path: str, *rows: str, request_id: str = 'r1'
    ) -> Answered:
        self.send(path, *rows, request_id=request_id)
        return await self.receive()


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not holds():
            await asyncio.sleep(0.01)


async def measure_nothing(pressure: LoopPressure) -> None:
    """Leave the lag as a test sets it, however busy the machine is."""


@contextlib.asynccontextmanager
async def opened(cfg: ServingSettings = CFG) -> AsyncIterator[Fleet]:
    """Yield a router that has run for long, on a machine that keeps up."""
    with mock.patch.object(LoopPressure, 'run', measure_nothing):
        async with opened_with_lag(cfg) as fleet:
            yield fleet


@contextlib.asynccontextmanager
async def opened_with_lag(cfg: ServingSettings = CFG) -> AsyncIterator[Fleet]:
    store = StoreStandIn()
    client = KvStore(store.start())
    store.put('op/config', CONFIG)
    router = RoutedRouter(cfg, PlatformFeeds(client), HEADER_NAMES, read_head)
    router.started_at = -math.inf
    running = asyncio.create_task(router.run())
    fleet = Fleet(store, client, router, running)
    try:
        await until(lambda: router.is_ready)
        yield fleet
    finally:
        await fleet.stop()
        client.close()
        store.stop()
        for engine in fleet.engines.values():
            engine.stop()


def play(
    steps: Callable[[Fleet], Awaitable[None]],
    cfg: ServingSettings = CFG,
) -> None:
    async def whole() -> None:
        async with opened(cfg) as fleet:
            await steps(fleet)

    asyncio.run(whole())
