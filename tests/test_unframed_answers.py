"""Answers that have neither a length nor chunks and end with the connection."""

import socket
import struct

import pytest
from support_platform import (
    ReceivedRequest,
    Writer,
    event,
    head_bytes,
    stream_events,
)
from support_routed import Fleet, Response, run_with_fleet

ALL_EVENTS = event(1) + event(2) + event(3)
ENDINGS = ('close', 'reset')


async def end(writer: Writer, ending: str) -> None:
    await writer.drain()
    if ending == 'close':
        writer.close()
    else:
        linger = struct.pack('ii', 1, 0)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def ask_stream(
    fleet: Fleet, body: bytes, ending: str, *, engines: int
) -> Response:
    """Return the answer if the first engine sends so much and then ends."""
    ended: list[str] = []

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        if ended:
            await stream_events(asked, writer)
            return
        ended.append(asked.request_id)
        writer.write(head_bytes(asked) + body)
        await end(writer, ending)

    for number in range(engines):
        await fleet.add_engine(f'i-{number}', 'llm', serve)
    return await (await fleet.connect()).request('/s/1')


def test_stream_that_is_closed_after_an_event_is_complete() -> None:
    async def steps(fleet: Fleet) -> None:
        answered = await ask_stream(fleet, ALL_EVENTS, 'close', engines=2)
        assert answered.is_complete
        assert answered.body == ALL_EVENTS

    run_with_fleet(steps)


@pytest.mark.parametrize(
    ('body', 'ending'),
    [
        (event(1) + event(2)[:-1], 'close'),
        (event(1) + b'id: 2', 'close'),
        (event(1)[:-1], 'close'),
        (b'', 'close'),
        (b': waiting\n\n', 'close'),
        (event(1) + event(2), 'reset'),
        (b'', 'reset'),
    ],
)
def test_stream_that_is_broken_off_is_resumed_at_another_engine(
    body: bytes, ending: str
) -> None:
    async def steps(fleet: Fleet) -> None:
        answered = await ask_stream(fleet, body, ending, engines=2)
        assert answered.is_complete
        assert answered.body == ALL_EVENTS

    run_with_fleet(steps)


@pytest.mark.parametrize(
    ('body', 'ending'),
    [(event(1) + event(2)[:-1], 'close'), (event(1) + event(2), 'reset')],
)
def test_stream_that_is_broken_off_never_looks_complete(
    body: bytes, ending: str
) -> None:
    async def steps(fleet: Fleet) -> None:
        answered = await ask_stream(fleet, body, ending, engines=1)
        assert not answered.is_complete
        assert answered.body == body[: body.rfind(b'\n\n') + 2]

    run_with_fleet(steps)


@pytest.mark.parametrize('ending', ENDINGS)
def test_whole_answer_is_complete_only_if_its_connection_is_not_reset(
    ending: str,
) -> None:
    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked) + b'all of it')
        await end(writer, ending)

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', serve)
        answered = await (await fleet.connect()).request('/l/book/1')
        expected = {'close': (200, b'all of it'), 'reset': (502, None)}
        status, body = expected[ending]
        assert answered.status == status
        assert body is None or answered.body == body

    run_with_fleet(steps)
