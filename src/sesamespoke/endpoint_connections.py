"""Connections to endpoints, each carrying one request at a time.

A connection is used again only where the caller of ``take`` allows it, so
that a request that may not be repeated never meets one that is closing.
"""

import asyncio
import contextlib
import fcntl
import socket
import ssl
import struct
import termios
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from sesamespoke.framing import FramingError, Head, split_head
from sesamespoke.loop_timeout import loop_timeout

MAX_BUFFER_BYTES = 65_536
MAX_IDLE_PER_ENDPOINT = 64
MAX_IDLE_SECONDS = 4.0
CONNECT_SECONDS = 2.0
MAX_INTERIM_HEADS = 8
FINAL_FROM = 200
HTTP_PORT = 80
HTTPS_PORT = 443
SENT_CHECK_SECONDS = 0.01
"""Interval at which the kernel is asked what it has still to send."""
SWITCHING_PROTOCOLS = 101

Sink = Callable[[bytes], bool]


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """How connections to endpoints are opened and kept.

    A connection on which sent bytes stay unacknowledged for
    ``unacknowledged_ms`` is closed; 0 leaves that to the kernel.
    """

    connect_seconds: float = CONNECT_SECONDS
    max_idle_per_endpoint: int = MAX_IDLE_PER_ENDPOINT
    unacknowledged_ms: int = 0


DEFAULT_POOL = PoolSettings()


class Connection(asyncio.Protocol):
    """One connection to an endpoint and what it has read ahead."""

    def __init__(self, url: str) -> None:
        """Prepare for a connection to be made."""
        self.url = url
        self.reused = False
        self.clean = False
        self.idle_since: float = 0
        self.max_idle = MAX_IDLE_SECONDS
        self.was_reset = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buf = b''
        self._waiter: asyncio.Future[bool] | None = None
        self._sink: Sink | None = None
        self._progress_at: float = 0
        self._timer: asyncio.TimerHandle | None = None
        self._has_ended = False
        self._is_idle = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def limit_unacknowledged(self, milliseconds: int) -> None:
        """Close the connection once sent bytes stay unacknowledged."""
        if self._transport is None or not milliseconds:
            return
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            milliseconds,
        )

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the sink, or keep them until they are read."""
        if self._sink is None:
            self._buf = self._buf + data if self._buf else data
            if len(self._buf) >= MAX_BUFFER_BYTES and self._transport:
                self._transport.pause_reading()
            self._wake()
            return
        try:
            goes_on = self._sink(data)
        except Exception as exc:
            self._fail(exc)
            return
        if not goes_on:
            self._sink = None
            self._wake(by_sink=True)

    def eof_received(self) -> bool:
        """Let the reader see the end; return whether to go on sending.

        What is still being sent tells whether the endpoint takes it: it may
        reset the connection after the end of its answer.
        """
        self._has_ended = True
        self._wake()
        return not (self._is_idle or self._is_encrypted)

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the reader see the end."""
        self.was_reset = exc is not None
        self._transport = None
        self._wake()

    def send(self, content: bytes) -> None:
        """Hand bytes to the kernel as fast as it takes them."""
        if self._transport is not None:
            self._transport.write(content)

    async def read(self) -> bytes:
        """Return the next bytes, or none once the connection is closed."""
        while not self._buf and self._is_open:
            self._waiter = self._loop.create_future()
            await self._waiter
        return self._take_buffered()

    def unread(self, content: bytes) -> None:
        """Put bytes back that belong to what is read next."""
        self._buf = content + self._buf

    async def pump(self, sink: Sink, silence: float) -> bool:
        """Call a sink with all that comes, until it returns False.

        The sink is called from the event loop's reader, with no task in
        between. Returns whether the sink ended it; else the connection
        closed. Raises ``TimeoutError`` after as many seconds without
        progress, which the sink tells by ``mark_progress``, and what the
        sink raises.
        """
        content = self._take_buffered()
        if content and not sink(content):
            return True
        if not self._is_open:
            return False
        self.mark_progress()
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_pump)
            waiter: asyncio.Future[bool] = self._loop.create_future()
            self._waiter = waiter
            self._sink = sink
            self._watch_silence(waiter, silence)
            return await waiter

    async def wait_sent(self) -> bool:
        """Wait until the peer has received all that was sent.

        Returns False if the connection is reset before. Only the caller's
        time-out ends the wait for a peer that does neither.
        """
        while self._count_unsent() and not self._has_failed():
            await asyncio.sleep(SENT_CHECK_SECONDS)
        return not self._has_failed()

    def mark_progress(self) -> None:
        """Note that what came was more than a part of something."""
        self._progress_at = self._loop.time()

    async def read_head(self) -> Head | None:
        """Return the answer's head, or None if the connection closed."""
        buf = b''
        for _ in range(MAX_INTERIM_HEADS):
            parts = split_head(buf)
            while parts is None:
                content = await self.read()
                if not content:
                    _check_cut(buf)
                    return None
                buf += content
                parts = split_head(buf)
            head, buf = parts
            if head.status == SWITCHING_PROTOCOLS:
                raise FramingError('nobody asked for another protocol')
            if head.status >= FINAL_FROM:
                self._buf = buf + self._buf
                return head
        raise FramingError('too many interim answers')

    def rest_idle(self) -> bool:
        """Note the time; return whether the connection is usable."""
        self.idle_since = self._loop.time()
        self._is_idle = True
        return self.is_usable()

    def reuse(self) -> None:
        """Take the connection out of the idle ones for another request."""
        self.reused = True
        self._is_idle = False

    def is_usable(self) -> bool:
        """Return whether nothing came since the connection fell idle."""
        if self._buf or not self._is_open:
            return False
        return self._loop.time() - self.idle_since < self.max_idle

    def close(self) -> None:
        """Close at once, which cancels the work at a streaming engine."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    @property
    def _is_open(self) -> bool:
        """Return whether more may come."""
        return self._transport is not None and not self._has_ended

    @property
    def _is_encrypted(self) -> bool:
        return bool(
            self._transport and self._transport.get_extra_info('sslcontext')
        )

    def _has_failed(self) -> bool:
        """Return whether the connection has been reset.

        After the end of what comes, the event loop doesn't read any more and
        sees a reset only when it writes.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info('socket')
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.was_reset = self.was_reset or bool(error)
        return self.was_reset

    def _count_unsent(self) -> int:
        """Return how many bytes the peer's kernel has not acknowledged."""
        if self._transport is None:
            return 0
        buffered = self._transport.get_write_buffer_size()
        sock = self._transport.get_extra_info('socket')
        return buffered or _count_unacknowledged(sock.fileno())

    def _take_buffered(self) -> bytes:
        content = self._buf
        self._buf = b''
        if self._is_open and self._transport is not None:
            self._transport.resume_reading()
        return content

    def _fail(self, exc: Exception) -> None:
        self._sink = None
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(exc)

    def _wake(self, *, by_sink: bool = False) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(by_sink)

    def _end_pump(self) -> None:
        self._sink = None
        if self._timer is not None:
            self._timer.cancel()

    def _watch_silence(
        self,
        waiter: asyncio.Future[bool],
        silence: float,
    ) -> None:
        """End the pump after a silence; looks again only when one is due."""
        left = self._progress_at + silence - self._loop.time()
        if left > 0:
            self._timer = self._loop.call_later(
                left,
                self._watch_silence,
                waiter,
                silence,
            )
        elif not waiter.done():
            waiter.set_exception(TimeoutError())


class ConnectionPool:
    """Idle connections by endpoint URL."""

    def __init__(self, cfg: PoolSettings = DEFAULT_POOL) -> None:
        """Start without connections."""
        self._cfg = cfg
        self._idle: dict[str, deque[Connection]] = {}

    async def take(self, url: str, *, fresh: bool) -> Connection | None:
        """Return a connection, or None if none can be opened."""
        idle = self._idle.get(url)
        while idle and not fresh:
            conn = idle.pop()
            if conn.is_usable():
                conn.reuse()
                return conn
            conn.close()
        return await self._open(url)

    def put(self, conn: Connection) -> None:
        """Keep a connection whose answer was whole and alone on it."""
        idle = self._idle.setdefault(conn.url, deque())
        if conn.rest_idle():
            idle.append(conn)
        else:
            conn.close()
        while idle and not idle[0].is_usable():
            idle.popleft().close()
        if len(idle) > self._cfg.max_idle_per_endpoint:
            idle.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()

    async def _open(self, url: str) -> Connection | None:
        parts = urlsplit(url)
        secure = parts.scheme == 'https'
        port = HTTPS_PORT if secure else HTTP_PORT
        tls = ssl.create_default_context() if secure else None
        try:
            async with loop_timeout(self._cfg.connect_seconds):
                _, conn = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(url),
                    parts.hostname or '',
                    parts.port or port,
                    ssl=tls,
                )
        except OSError:
            return None
        conn.limit_unacknowledged(self._cfg.unacknowledged_ms)
        return conn


def _count_unacknowledged(descriptor: int) -> int:
    """Return what a socket has still to send; 0 where that can't be told."""
    number = struct.pack('i', 0)
    try:
        raw = fcntl.ioctl(descriptor, termios.TIOCOUTQ, number)
    except OSError:
        return 0
    return int(struct.unpack('i', raw)[0])


def _check_cut(buf: bytes) -> None:
    if buf:
        raise FramingError('the head is cut')
