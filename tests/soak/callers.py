"""The clients: they keep connections, come back, and check every answer."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from soak.engine import parse_head
from soak.site import API_KEY, HOST, KINDS, Kind, Router, Site

READY_SECONDS = 1.0
MISSES = 2
CONNECT_SECONDS = 1.0
REUSE = 0.7
SLACK_SECONDS = 0.5
RETRY_PART = 1 / 3
PROMISES = (408, 421, 429, 503)
POISON_PART = 0.004

Opened = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class Try:
    """One client attempt and what came of it; times of the steady clock."""

    request_id: str
    kind: Kind
    router: str
    sent_at: float
    deadline: float
    ended_at: float = 0
    status: int = 0
    whole: bool = False
    fault: str = ''
    told_ms: int = 0
    retry_after: float = 0
    poison: bool = False


class Balancer:
    """Asks each router whether it is ready, as the platform does."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.misses = {router.name: MISSES for router in site.routers}

    async def run(self) -> None:
        while True:
            await asyncio.gather(*map(self.ask, self.site.routers))
            await asyncio.sleep(READY_SECONDS)

    async def ask(self, router: Router) -> None:
        try:
            async with asyncio.timeout(READY_SECONDS):
                reader, writer = await asyncio.open_connection(*router.ready)
                with contextlib.closing(writer):
                    writer.write(
                        b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    head = await reader.readuntil(b'\r\n\r\n')
            is_ready = b' 200 ' in head.split(b'\r\n')[0]
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_ready = False
        self.misses[router.name] = (
            0 if is_ready else (self.misses[router.name] + 1)
        )

    def choose(self, zone: str, point: float) -> Router:
        ready = [
            router
            for router in self.site.routers
            if self.misses[router.name] < MISSES
        ]
        near = [router for router in ready if router.zone == zone]
        rows = near or ready or list(self.site.routers)
        return rows[int(point * len(rows))]


@dataclass
class Caller:
    """One client: its requests come at random times, some on old connections."""

    name: str
    zone: str
    balancer: Balancer
    rng: random.Random
    rate: Callable[[], float]
    tries: list[Try]
    poison: Callable[[], bool]
    idle: list[tuple[Router, Opened]] = field(default_factory=list)
    count: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        self.point = self.rng.random()
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate()))
            weights = [kind.weight for kind in KINDS]
            kind = self.rng.choices(KINDS, weights)[0]
            task = asyncio.ensure_future(self.ask(kind))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def ask(self, kind: Kind) -> None:
        """Ask, and once more where the protocol lets a client do so."""
        now = asyncio.get_running_loop().time
        deadline = now() + kind.deadline
        poison = (
            kind.name == 'seat'
            and self.poison()
            and self.rng.random() < POISON_PART * 10
        )
        first = await self.attempt(kind, deadline, poison)
        left = deadline - now()
        promised = first.status in PROMISES
        if first.whole and first.status < 400 or left < 0.1:
            return
        if not (promised or not kind.is_once or first.fault == 'unread'):
            return
        await asyncio.sleep(min(first.retry_after, left * RETRY_PART))
        await self.attempt(kind, deadline, poison)

    async def attempt(self, kind: Kind, deadline: float, poison: bool) -> Try:
        loop = asyncio.get_running_loop()
        self.count += 1
        seen = Try(
            f'{self.name}-{self.count}',
            kind,
            '',
            loop.time(),
            deadline,
            poison=poison,
        )
        self.tries.append(seen)
        try:
            router, conn = await self.connect()
        except (OSError, TimeoutError):
            seen.fault, seen.ended_at = 'unread', loop.time()
            return seen
        seen.router = router.name
        try:
            async with asyncio.timeout_at(deadline + SLACK_SECONDS):
                keeps = await converse(conn, seen)
            if keeps:
                self.idle.append((router, conn))
            else:
                conn[1].close()
        except TimeoutError:
            seen.fault = 'late'
            conn[1].transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            seen.fault = seen.fault or f'cut: {type(exc).__name__}'
            conn[1].transport.abort()
        seen.ended_at = loop.time()
        return seen

    async def connect(self) -> tuple[Router, Opened]:
        while self.idle and self.rng.random() < REUSE:
            router, conn = self.idle.pop()
            if not conn[0].at_eof() and not conn[1].transport.is_closing():
                return router, conn
            conn[1].close()
        router = self.balancer.choose(self.zone, self.point)
        async with asyncio.timeout(CONNECT_SECONDS):
            return router, await asyncio.open_connection(*router.callers)


async def converse(conn: Opened, seen: Try) -> bool:
    """Send a request and check its answer; return whether to keep on."""
    reader, writer = conn
    left = seen.deadline - asyncio.get_running_loop().time()
    seen.told_ms = max(1, round(left * 1000))
    kind = seen.kind
    thing = (
        'poison' if seen.poison else str(crc32(seen.request_id.encode()) % 97)
    )
    shared = f'{crc32(thing.encode()) % 40:x}'
    rows = [
        f'POST {kind.prefix}{thing} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Attempt-Id: {seen.request_id}',
        f'Deadline-Ms: {seen.told_ms}',
        f'Authorization: Bearer {API_KEY}',
        'Content-Length: 4',
    ]
    if kind.events:
        rows += [
            f'Soak-Events: {kind.events}',
            f'Token-Counts: 800,{kind.events * 8}',
            f'Prompt-Prefix: {shared}:300,{crc32(seen.request_id.encode()):x}:500',
        ]
    writer.write('\r\n'.join(rows).encode() + b'\r\n\r\nbody')
    head = await reader.readuntil(b'\r\n\r\n')
    line, headers = parse_head(head)
    seen.status = int(line.split()[1])
    seen.retry_after = float(headers.get('retry-after', 0))
    if headers.get('transfer-encoding') == 'chunked':
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers['content-length']))
    seen.whole = True
    if seen.status == 200:
        check(seen, headers, body)
    return headers.get('connection', '').lower() != 'close'


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b'\r\n')
    return body


def check(seen: Try, headers: dict[str, str], body: bytes) -> None:
    """Note an answer that isn't the whole answer to this request."""
    if headers.get('response-seal') != f'seal-{seen.request_id}':
        seen.fault = 'wrong: the seal'
    if not seen.kind.events:
        expected = f'{seen.request_id} ok'
    else:
        count = seen.kind.events
        expected = ''.join(
            f'id: {number}\ndata: {seen.request_id} {number}'
            f'{" last" if number == count else ""}\n\n'
            for number in range(1, count + 1)
        )
    if body.decode() != expected:
        seen.fault = 'wrong: the body'
