"""A POST whose answer is a stream of lines that the reader may leave."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import closing
from urllib.parse import SplitResult, urlsplit

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

DEFAULT_PORT = 80
MAX_BODY_BYTES = 2**40
ERROR_STATUS = 400

StartLine = RequestStartLine | ResponseStartLine


class IdleError(Exception):
    """Nothing was heard for so long that the peer may be gone."""


class _LineQueue(HTTPMessageDelegate):
    """Splits the body into lines; None marks the end."""

    def __init__(self) -> None:
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._rest = b''
        self.status = 0

    def headers_received(
        self,
        start_line: StartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        lines = (self._rest + chunk).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            self.lines.put_nowait(line)

    def finish(self) -> None:
        self.lines.put_nowait(None)

    async def first_line(self, timeout: float) -> bytes | None:
        # asyncio.wait_for loses a cancellation that comes with a line.
        async with asyncio.timeout(timeout):
            return await self.lines.get()

    async def next_line(self, timeout: float) -> bytes | None:
        try:
            return await self.first_line(timeout)
        except TimeoutError:
            raise IdleError from None

    def end(self, reading: asyncio.Future[bool]) -> None:
        if not reading.cancelled():
            reading.exception()
        self.lines.put_nowait(None)


async def stream_lines(
    url: str,
    body: bytes,
    timeout: float,
    idle_timeout: float,
) -> AsyncGenerator[bytes]:
    """Post a body and yield the lines of the answer until it ends.

    Raises ``OSError`` or ``TimeoutError`` where no connection can be opened,
    or no first line comes within ``timeout``, or the answer is an error;
    ``IdleError`` where no line comes for ``idle_timeout``, as from a peer
    that is gone. Leaving the iteration closes the connection.
    """
    parts = urlsplit(url)
    host = parts.hostname or ''
    connecting = TCPClient().connect(host, parts.port or DEFAULT_PORT)
    async with asyncio.timeout(timeout):
        stream = await connecting
    queue = _LineQueue()
    with closing(stream):
        conn = _send_request(stream, parts, body)
        reading = asyncio.ensure_future(conn.read_response(queue))
        reading.add_done_callback(queue.end)
        line = await queue.first_line(timeout)
        while line is not None:
            if queue.status >= ERROR_STATUS:
                raise OSError(f'status {queue.status}')
            yield line
            line = await queue.next_line(idle_timeout)


def _send_request(
    stream: IOStream,
    parts: SplitResult,
    body: bytes,
) -> HTTP1Connection:
    cfg = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
    conn = HTTP1Connection(stream, True, cfg)
    headers = HTTPHeaders(
        {
            'Host': parts.netloc,
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
        }
    )
    start_line = RequestStartLine('POST', parts.path, 'HTTP/1.1')
    conn.write_headers(start_line, headers, body)
    return conn
