"""Harness for one router of routed services over loopback sockets.

It starts the router with a fake store and fake engines, and sends requests.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
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
from sesamespoke.serving.loop_lag import LoopLagMonitor
from sesamespoke.serving.retry_budget import RetryBounds
from sesamespoke.serving.router import RoutedRouter
from sesamespoke.serving.settings import (
    FeedSettings,
    ServingSettings,
    ShutdownSettings,
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
    ShutdownSettings(drain_delay=0.3, timeout=2),
    FeedSettings(endpoints=0.05, hosts=0.05, lease=5),
    max_callers=40,
)
TIMEOUT_SECONDS = 10
BODY = b'body'


@dataclass
class Fleet:
    """A router with its store and engines."""

    store: StoreStandIn
    client: KvStore
    router: RoutedRouter
    router_task: asyncio.Task[None]
    engines: dict[str, EngineStandIn] = field(default_factory=dict)

    async def add_engine(
        self,
        name: str,
        service: str,
        handler: RequestHandler,
        **changes: Any,
    ) -> EngineStandIn:
        """Start an engine; ``changes`` are fields of its entry."""
        engine = await self.add_engine_unlisted(
            name, service, handler, **changes
        )
        directory = self.router.directory
        await wait_until(lambda: name in directory.endpoints)
        return engine

    async def add_engine_unlisted(
        self,
        name: str,
        service: str,
        handler: RequestHandler,
        **changes: Any,
    ) -> EngineStandIn:
        """Start an engine without waiting until the router lists it."""
        engine = EngineStandIn(handler)
        address = await engine.start()
        self.engines[name] = engine
        entry = server_entry(service, address, **changes)
        self.store.put(f'servers/{name}', entry)
        return engine

    async def restart(self) -> None:
        """Replace the router with a new one that has no state."""
        await self.stop()
        await self.start_router()

    async def start_router(self) -> None:
        """Start a router that has no state, after the last one has stopped."""
        previous = self.router
        self.router = RoutedRouter(
            previous.cfg, PlatformFeeds(self.client), HEADER_NAMES, read_head
        )
        self.router_task = asyncio.create_task(self.router.run())
        await wait_until(lambda: self.router.is_ready)
        names = self.engines.keys()
        await wait_until(
            lambda: names <= self.router.directory.endpoints.keys()
        )

    async def stop(self) -> None:
        self.router.stop.begin()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.router_task

    async def connect(self) -> 'Caller':
        port = self.router.server.port
        return Caller(*await asyncio.open_connection('127.0.0.1', port))


@dataclass
class Response:
    status: int
    head: Head
    body: bytes
    is_complete: bool


@dataclass
class Caller:
    """A client connection to the router."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(
        self,
        path: str,
        *rows: str,
        method: str = 'POST',
        request_id: str = 'r1',
        with_body: bool = True,
    ) -> None:
        """Send a request, or only its head."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: a.example',
            f'Request-Attempt-Id: {request_id}',
            'Authorization: Bearer key-1',
            f'Content-Length: {len(BODY)}',
            *rows,
        ]
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        if with_body:
            self.writer.write(BODY)

    async def receive(self, method: str = 'POST') -> Response:
        buf = b''
        async with asyncio.timeout(TIMEOUT_SECONDS):
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
        return Response(head.status, head, payload, body.finished)

    async def request(
        self, path: str, *rows: str, request_id: str = 'r1'
    ) -> Response:
        self.send(path, *rows, request_id=request_id)
        return await self.receive()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def skip_sampling(monitor: LoopLagMonitor) -> None:
    """Leave the lag as the test sets it, even on a busy machine."""


@contextlib.asynccontextmanager
async def open_fleet(cfg: ServingSettings = CFG) -> AsyncIterator[Fleet]:
    """Yield a router that counts as long-running, without lag sampling."""
    with mock.patch.object(LoopLagMonitor, 'run', skip_sampling):
        async with open_fleet_with_lag(cfg) as fleet:
            yield fleet


@contextlib.asynccontextmanager
async def open_fleet_with_lag(
    cfg: ServingSettings = CFG,
) -> AsyncIterator[Fleet]:
    store = StoreStandIn()
    client = KvStore(store.start())
    store.put('op/config', CONFIG)
    router = RoutedRouter(cfg, PlatformFeeds(client), HEADER_NAMES, read_head)
    router.started_at = -math.inf
    router_task = asyncio.create_task(router.run())
    fleet = Fleet(store, client, router, router_task)
    try:
        await wait_until(lambda: router.is_ready)
        yield fleet
    finally:
        await fleet.stop()
        client.close()
        store.stop()
        for engine in fleet.engines.values():
            engine.stop()


def run_with_fleet(
    steps: Callable[[Fleet], Awaitable[None]],
    cfg: ServingSettings = CFG,
) -> None:
    async def run() -> None:
        async with open_fleet(cfg) as fleet:
            await steps(fleet)

    asyncio.run(run())
