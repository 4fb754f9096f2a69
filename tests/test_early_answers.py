"""Answers that come while the request is still being written, and non-answers."""

import asyncio
import contextlib
import copy
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from support_platform import (
    CONFIG,
    ReceivedRequest,
    Writer,
    full_response,
    server_entry,
)
from support_routed import Fleet, Response, run_with_fleet, wait_until

UPLOAD_BYTES = 4_000_000
UPLOAD_HEAD = (
    'POST /l/book/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: r1\r\n'
    f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'
).encode()
PART = b'x' * 20
FRAMINGS = {
    'none': b'\r\n' + PART,
    'length': b'Content-Length: 20\r\n\r\n' + PART[:10],
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n14\r\n' + PART + b'\r\n',
}
Ending = Callable[[Writer], Awaitable[None]]


async def reset(writer: Writer) -> None:
    linger = struct.pack('ii', 1, 0)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def close_then_reset(writer: Writer) -> None:
    """End the answer in order, and reset what is still being written."""
    writer.write_eof()
    await asyncio.sleep(0.1)
    await reset(writer)


class EarlyEngine:
    """Answers once it has read a head, and ends the connection in some way."""

    def __init__(self, content: bytes, end: Ending) -> None:
        self._content = content
        self._end = end

    async def start(self) -> str:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**16
        )
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            rows = dict(row.split(': ', 1) for row in head.split('\r\n')[1:-2])
            request_id = rows['Request-Attempt-Id'].encode()
            writer.write(
                b'HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\n'
                b'Request-Attempt-Id: ' + request_id + b'\r\n' + self._content
            )
            await writer.drain()
            await self._end(writer)


async def upload(fleet: Fleet, engine: EarlyEngine) -> Response:
    """Send a long body to an engine that doesn't read it."""
    config = copy.deepcopy(CONFIG)
    config['version'] += 1
    config['limits']['max_body_bytes'] = UPLOAD_BYTES
    fleet.store.put('op/config', config)
    fleet.store.put('servers/i-1', server_entry('desk', await engine.start()))
    sync = fleet.router.platform_sync
    await wait_until(
        lambda: (
            'i-1' in fleet.router.directory.endpoints
            and sync.operator_config.catalog is not None
            and sync.operator_config.catalog.version == config['version']
        )
    )
    caller = await fleet.connect()
    caller.writer.write(UPLOAD_HEAD + b'b' * UPLOAD_BYTES)
    answered = await caller.receive()
    engine.stop()
    return answered


@pytest.mark.parametrize('framing', sorted(FRAMINGS))
@pytest.mark.parametrize('end', [reset, close_then_reset])
def test_answer_to_an_upload_that_is_reset_is_not_complete(
    framing: str, end: Ending
) -> None:
    """A caller got a part of an answer as a complete one."""

    async def steps(fleet: Fleet) -> None:
        engine = EarlyEngine(FRAMINGS[framing], end)
        answered = await upload(fleet, engine)
        assert answered.status == 502
        assert PART not in answered.body

    run_with_fleet(steps)


def test_answer_to_an_upload_that_is_read_later_is_complete() -> None:
    """An engine may end its answer first and read the rest of the body then."""

    async def read_on(writer: Writer) -> None:
        writer.write_eof()
        await asyncio.sleep(0.1)
        sock = writer.get_extra_info('socket').dup()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        with contextlib.closing(sock):
            while await loop.sock_recv(sock, 2**16):
                pass

    async def steps(fleet: Fleet) -> None:
        answered = await upload(fleet, EarlyEngine(FRAMINGS['none'], read_on))
        assert (answered.status, answered.body) == (200, PART)

    run_with_fleet(steps)


@pytest.mark.parametrize('status', ['000', '099', '600', '999', '101'])
def test_status_that_is_none_is_refused_at_once(status: str) -> None:
    """A caller got 600 as an answer, and waited for its deadline after 000."""
    deadline_ms = 60_000

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        content = full_response(asked, b'fine')
        writer.write(content.replace(b' 200 ', f' {status} '.encode(), 1))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', serve)
        caller = await fleet.connect()
        answered = await caller.request(
            '/l/book/1', f'Deadline-Ms: {deadline_ms}'
        )
        assert answered.status == 502

    run_with_fleet(steps)
