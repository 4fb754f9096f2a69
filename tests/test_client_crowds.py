"""Crowds of clients with large or unfinished bodies, at a real process.

Each test starts the router as the platform does, with low limits, and lets a
crowd hold bodies open, or send more than is allowed. The process must live,
its memory and its descriptors stay under their limits, and an ordinary caller
get its answer.
"""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from support_platform import (
    CONFIG,
    EngineStandIn,
    ReceivedRequest,
    StoreStandIn,
    Writer,
    full_response,
    server_entry,
)

ROUTER = Path(__file__).parents[1] / 'deploy' / 'router.py'
MEMORY_MB = 100
FILE_DESCRIPTORS = 160
MAX_BODY_BYTES = 4_194_304
HELD_BACK_BYTES = 16
"""Bytes by which a body that doesn't end stops short."""
PIECE_BYTES = 65_536
BODIES = 60
"""Clients of a crowd that holds memory: 240 MB in all."""
WHOLE_BODIES = 8
"""Of these, how many send their body to its end."""
CONNECTIONS = 120
"""Clients of a crowd that holds descriptors; a router takes 80 of them."""
WIDE_FILE_DESCRIPTORS = 1000
WIDE_CROWD = 450
"""Clients that all send at the same time; a router takes 500 of them."""
WIDE_TINY_CHUNKS = 4000
OVERSIZED_BYTES = 4 * MAX_BODY_BYTES
TINY_CHUNK = b'2\r\nab\r\n'
TINY_BODIES = 32
TINY_CHUNKS = 60_000
START_SECONDS = 30
CROWD_SECONDS = 40
"""Time after which clients stop that the router reads too slowly."""
ANSWER_SECONDS = 20
IDLE_SECONDS = 1.5
SETTLE_SECONDS = 1.0
KIB_PER_MB = 1024

SETTINGS = """
node_name = "frontend-north-1"
ip_address = "127.0.0.1"
zone = "north"
internal_port_range = [{ports[0]}, {ports[0]}]
[listen_addresses]
frontend = "127.0.0.1:{ports[1]}"
ready = "127.0.0.1:{ports[2]}"
[limits]
memory_mb = {memory}
file_descriptors = {descriptors}
[bounds]
drain_timeout_ms = 2000
[platform]
address = "{store}"
"""


@dataclass
class RouterProcess:
    """A router, and the connections that a crowd holds open to it."""

    process: asyncio.subprocess.Process
    port: int
    held: list[asyncio.StreamWriter] = field(default_factory=list)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.held.append(writer)
        return reader, writer

    def peak_memory_mb(self) -> float:
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        row = next(
            each for each in status.splitlines() if each.startswith('VmHWM')
        )
        return int(row.split()[1]) / KIB_PER_MB

    async def settle(self) -> None:
        """Wait until the router has read what the crowd has sent."""
        before = -1.0
        while self.peak_memory_mb() > before:
            before = self.peak_memory_mb()
            await asyncio.sleep(SETTLE_SECONDS)

    def descriptors(self) -> int:
        return len(list(Path(f'/proc/{self.process.pid}/fd').iterdir()))

    async def ask(self) -> bytes:
        """Return the status line of an ordinary request's answer.

        A caller that is refused or cut off comes back, as callers do.
        """
        while True:
            answer = await self._ask_once()
            if b' 200 ' in answer:
                return answer
            await asyncio.sleep(0.1)

    async def _ask_once(self) -> bytes:
        try:
            reader, writer = await self.connect()
            writer.write(head_of('Content-Length: 4') + b'body')
            return await reader.readline()
        except ConnectionError:
            return b''


def head_of(*rows: str) -> bytes:
    lines = (
        'POST /l/1 HTTP/1.1',
        'Host: a.example',
        'Request-Attempt-Id: r1',
        'Deadline-Ms: 15000',
        *rows,
    )
    return '\r\n'.join((*lines, '', '')).encode()


Client = Callable[[asyncio.StreamWriter, bool], Awaitable[None]]


async def send_whole(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Send a body with its length at once."""
    size = MAX_BODY_BYTES if ends else MAX_BODY_BYTES - HELD_BACK_BYTES
    writer.write(head_of(f'Content-Length: {MAX_BODY_BYTES}'))
    writer.write(bytes(size))
    await writer.drain()


async def send_pieces(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Send a body with its length piece by piece."""
    writer.write(head_of(f'Content-Length: {MAX_BODY_BYTES}'))
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        writer.write(bytes(PIECE_BYTES))
        await writer.drain()
        await asyncio.sleep(0)
    writer.write(bytes(PIECE_BYTES if ends else PIECE_BYTES - 1))
    await writer.drain()


async def send_chunks(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Send a body in large chunks."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES):
        writer.write(b'%x\r\n%b\r\n' % (PIECE_BYTES, bytes(PIECE_BYTES)))
        await writer.drain()
        await asyncio.sleep(0)
    if ends:
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def send_tiny_chunks(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Send a body in chunks of two bytes."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    per_write = 1000
    for _ in range(TINY_CHUNKS // per_write):
        writer.write(TINY_CHUNK * per_write)
        await writer.drain()
        await asyncio.sleep(0)
    if ends:
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def send_one_chunk(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Send a body of the largest size in a single chunk."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    writer.write(b'%x\r\n' % MAX_BODY_BYTES)
    await write_pieces(writer, MAX_BODY_BYTES - HELD_BACK_BYTES)
    if ends:
        writer.write(bytes(HELD_BACK_BYTES) + b'\r\n0\r\n\r\n')
        await writer.drain()


async def send_few_tiny_chunks(
    writer: asyncio.StreamWriter, ends: bool
) -> None:
    """Begin a body in chunks of two bytes and stop inside of one."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    writer.write(TINY_CHUNK * WIDE_TINY_CHUNKS + TINY_CHUNK[:-1])
    await writer.drain()


async def announce_too_much(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Announce a body far over the limit, and send it all the same."""
    writer.write(head_of(f'Content-Length: {OVERSIZED_BYTES}'))
    await write_pieces(writer, OVERSIZED_BYTES)


async def send_too_many_chunks(
    writer: asyncio.StreamWriter, ends: bool
) -> None:
    """Send a body far over the limit in large chunks."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    for _ in range(OVERSIZED_BYTES // PIECE_BYTES):
        writer.write(b'%x\r\n%b\r\n' % (PIECE_BYTES, bytes(PIECE_BYTES)))
        await writer.drain()


async def send_too_large_chunk(
    writer: asyncio.StreamWriter, ends: bool
) -> None:
    """Send a body far over the limit in a single chunk."""
    writer.write(head_of('Transfer-Encoding: chunked'))
    writer.write(b'%x\r\n' % OVERSIZED_BYTES)
    await write_pieces(writer, OVERSIZED_BYTES)


async def write_pieces(writer: asyncio.StreamWriter, size: int) -> None:
    """Write bytes as fast as the router takes them."""
    for start in range(0, size, PIECE_BYTES):
        writer.write(bytes(min(PIECE_BYTES, size - start)))
        await writer.drain()


async def send_little(writer: asyncio.StreamWriter, ends: bool) -> None:
    """Begin a small body and stop."""
    writer.write(head_of('Content-Length: 100') + b'begin')
    await writer.drain()


async def serve(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(full_response(asked))


@asynccontextmanager
async def open_router(
    folder: Path, file_descriptors: int = FILE_DESCRIPTORS
) -> AsyncIterator[RouterProcess]:
    """Start a router with a store and an engine, as the platform does."""
    store, engine = StoreStandIn(), EngineStandIn(serve)
    config = {**CONFIG, 'limits': {'max_body_bytes': MAX_BODY_BYTES}}
    address = store.start()
    store.put('op/config', config)
    store.put('servers/i-1', server_entry('desk', await engine.start()))
    servers = [
        await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        for _ in range(3)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    settings = folder / 'settings.toml'
    settings.write_text(
        SETTINGS.format(
            ports=ports,
            memory=MEMORY_MB,
            descriptors=file_descriptors,
            store=address,
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROUTER),
        '--settings',
        str(settings),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    router = RouterProcess(process, ports[1])
    try:
        async with asyncio.timeout(START_SECONDS):
            await router.ask()
        yield router
    finally:
        for writer in router.held:
            writer.close()
        if process.returncode is None:
            process.kill()
        await process.wait()
        store.stop()


async def gather_crowd(
    router: RouterProcess, client: Client, count: int, whole: int
) -> None:
    """Let a crowd send its bodies; the first ``whole`` come to their end."""

    async def send(number: int) -> None:
        try:
            _, writer = await router.connect()
            await client(writer, number < whole)
        except ConnectionError:
            return

    crowd = [asyncio.create_task(send(number)) for number in range(count)]
    await asyncio.wait(crowd, timeout=CROWD_SECONDS)
    for task in crowd:
        task.cancel()


async def outlast(
    folder: Path,
    file_descriptors: int,
    client: Client,
    count: int,
    whole: int,
) -> None:
    """Check that a router outlasts a crowd, and then answers a caller."""
    async with open_router(folder, file_descriptors) as router:
        await gather_crowd(router, client, count, whole)
        await router.settle()
        assert router.process.returncode is None
        assert router.peak_memory_mb() <= MEMORY_MB
        assert router.descriptors() <= file_descriptors
        async with asyncio.timeout(ANSWER_SECONDS):
            await router.ask()
        assert router.process.returncode is None


@pytest.mark.parametrize(
    ('client', 'count', 'whole'),
    [
        (send_whole, BODIES, WHOLE_BODIES),
        (send_pieces, BODIES, WHOLE_BODIES),
        (send_chunks, BODIES, WHOLE_BODIES),
        (send_tiny_chunks, TINY_BODIES, 2),
        (send_little, CONNECTIONS, 0),
    ],
)
def test_crowd_of_unfinished_bodies_fills_the_router(
    client: Client, count: int, whole: int, tmp_path: Path
) -> None:
    asyncio.run(outlast(tmp_path, FILE_DESCRIPTORS, client, count, whole))


@pytest.mark.parametrize(
    ('client', 'whole'),
    [
        (send_chunks, WHOLE_BODIES),
        (send_one_chunk, WHOLE_BODIES),
        (send_few_tiny_chunks, 0),
        (send_pieces, WHOLE_BODIES),
        (announce_too_much, 0),
        (send_too_many_chunks, 0),
        (send_too_large_chunk, 0),
    ],
)
def test_bodies_of_a_wide_crowd_fill_the_router(
    client: Client, whole: int, tmp_path: Path
) -> None:
    """What hundreds of connections have sent at once was counted too late."""
    asyncio.run(
        outlast(tmp_path, WIDE_FILE_DESCRIPTORS, client, WIDE_CROWD, whole)
    )


def test_idle_caller_keeps_a_crowd_from_being_refused(tmp_path: Path) -> None:
    """Bodies were refused only down to the first connection without any."""

    async def steps() -> None:
        async with open_router(tmp_path) as router:
            await router.connect()
            await asyncio.sleep(IDLE_SECONDS)
            await gather_crowd(router, send_pieces, BODIES, 0)
            await router.settle()
            assert router.process.returncode is None
            assert router.peak_memory_mb() <= MEMORY_MB
            async with asyncio.timeout(ANSWER_SECONDS):
                await router.ask()

    asyncio.run(steps())


def test_single_body_of_the_largest_size_is_served(tmp_path: Path) -> None:
    async def steps() -> None:
        async with open_router(tmp_path) as router:
            reader, writer = await router.connect()
            await send_whole(writer, ends=True)
            assert b' 200 ' in await reader.readline()

    asyncio.run(steps())
