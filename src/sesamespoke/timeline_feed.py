"""Reads the time lines of many routers and merges them into one."""

import asyncio
import heapq
import ssl
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import ExitStack, closing
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlencode

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
)

from sesamespoke.timeline import BEGINNING, Event, Stamp
from sesamespoke.timeline_json import (
    MAX_LINE_BYTES,
    BadLine,
    format_stamp,
    load_event,
)

CONNECT_SECONDS: Final = 3.0
READ_SECONDS: Final = 20.0
RETRY_SECONDS: Final = 1.0
HOLD_SECONDS: Final = 1.0

Note = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Source:
    """A router's administration API."""

    url: str
    token: str | None = None
    context: ssl.SSLContext | None = None


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A router whose time line could not be read."""

    url: str
    reason: str


class LineCutter:
    """Cuts a body into events, in bounded memory."""

    def __init__(self, url: str, take: Callable[[Event], None]) -> None:
        """Hand each event to ``take``."""
        self.after = BEGINNING
        self.bad_lines = 0
        self._url = url
        self._take = take
        self._rest = b''

    def feed(self, chunk: bytes) -> None:
        """Take a part of the body."""
        lines = (self._rest + chunk).split(b'\n')
        self._rest = lines.pop()
        for line in filter(None, lines):
            self._read(line)
        if len(self._rest) > MAX_LINE_BYTES:
            self._rest = b''
            self.bad_lines += 1

    def _read(self, line: bytes) -> None:
        """Take one line."""
        event = load_event(line)
        if isinstance(event, BadLine):
            self.bad_lines += 1
        elif event.stamp > self.after:
            self.after = event.stamp
            self._take(event)


async def read_all(
    sources: Iterable[Source],
) -> tuple[list[Event], list[Unreachable]]:
    """Return the kept events of all routers, in their merged order."""
    events: list[Event] = []
    readings = [
        _read(source, LineCutter(source.url, events.append), follow=False)
        for source in sources
    ]
    ends = await asyncio.gather(*readings)
    events.sort(key=_order)
    return events, [end for end in ends if end is not None]


async def follow_all(
    sources: Iterable[Source],
    note: Note,
) -> AsyncIterator[Event]:
    """Yield the events of all routers as they happen, until cancelled.

    An event is held back until none from before it is to be expected of a
    router that can be reached.
    """
    arrived: asyncio.Queue[Event] = asyncio.Queue()
    tasks = [
        asyncio.create_task(_follow(source, arrived.put_nowait, note))
        for source in sources
    ]
    with ExitStack() as stack:
        for task in tasks:
            stack.callback(task.cancel)
        async for event in _hold_back(arrived):
            yield event


async def _hold_back(arrived: 'asyncio.Queue[Event]') -> AsyncIterator[Event]:
    """Yield events in order, ``HOLD_SECONDS`` after their arrival."""
    loop = asyncio.get_running_loop()
    held: list[tuple[Stamp, str, float, int, Event]] = []
    number = 0
    while True:
        due_at = held[0][2] if held else None
        try:
            async with asyncio.timeout_at(due_at):
                event = await arrived.get()
        except TimeoutError:
            yield heapq.heappop(held)[-1]
            continue
        number += 1
        due = loop.time() + HOLD_SECONDS
        heapq.heappush(held, (*_order(event), due, number, event))


async def _follow(
    source: Source,
    take: Callable[[Event], None],
    note: Note,
) -> None:
    """Read one router's time line on and on; tell when it is lost."""
    cutter = LineCutter(source.url, take)
    lost = False
    while True:
        before = cutter.after
        end = await _read(source, cutter, follow=True)
        if end is not None and (not lost or cutter.after > before):
            note(f'{source.url}: {end.reason}')
        lost = end is not None
        await asyncio.sleep(RETRY_SECONDS)


async def _read(
    source: Source,
    cutter: LineCutter,
    *,
    follow: bool,
) -> Unreachable | None:
    """Read one answer of a router to its end."""
    query = {'after': format_stamp(cutter.after)}
    if follow:
        query['follow'] = '1'
    base = source.url.rstrip('/')
    token = source.token
    req = HTTPRequest(
        f'{base}/v1/events?{urlencode(query)}',
        headers={'Authorization': f'Bearer {token}'} if token else {},
        connect_timeout=CONNECT_SECONDS,
        request_timeout=0 if follow else READ_SECONDS,
        streaming_callback=cutter.feed,
        ssl_options=source.context,
    )
    with closing(AsyncHTTPClient(force_instance=True)) as client:
        try:
            await client.fetch(req)
        except (OSError, HTTPClientError) as exc:
            return Unreachable(source.url, str(exc) or type(exc).__name__)
    return None


def _order(event: Event) -> tuple[Stamp, str]:
    """Return the place of an event in the merged order."""
    return (event.stamp, event.host)
