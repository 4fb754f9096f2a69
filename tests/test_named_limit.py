"""Engines that name in their answers how many requests a second they take."""

import asyncio

import pytest
from support_platform import (
    CHUNKED,
    LAST_CHUNK,
    ReceivedRequest,
    RequestHandler,
    Writer,
    chunk,
    event,
    head_bytes,
    respond_ok,
    stream_events,
)
from support_routed import Fleet, run_with_fleet

RATE = 0.5
"""Requests a second that the engine names."""
WINDOW_SECONDS = 4
OVERAGE = 1.5
SLACK_REQUESTS = 5
BATCHES = 30
BATCH_SECONDS = 0.06
BATCH_REQUESTS = 4
LIMIT = f'Server-Limit: {RATE}'


async def answer_limited(asked: ReceivedRequest, writer: Writer) -> None:
    rows = (LIMIT, 'Content-Length: 4')
    writer.write(head_bytes(asked, 200, *rows) + b'fine')


async def refuse_limited(asked: ReceivedRequest, writer: Writer) -> None:
    rows = (LIMIT, 'Not-Executed: 1', 'Content-Length: 0')
    writer.write(head_bytes(asked, 503, *rows))


async def stream_limited(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 200, CHUNKED, LIMIT))
    writer.write(chunk(event(1)))
    writer.write(LAST_CHUNK)


async def send(fleet: Fleet, path: str, number: int) -> int:
    caller = await fleet.connect()
    answered = await caller.request(path, request_id=f'r{number}')
    caller.writer.close()
    return answered.status


@pytest.mark.parametrize(
    ('path', 'service', 'limited', 'free'),
    [
        ('/l/1', 'desk', answer_limited, respond_ok),
        ('/l/1', 'desk', refuse_limited, respond_ok),
        ('/s/1', 'llm', stream_limited, stream_events),
    ],
)
def test_engine_gets_no_more_requests_than_the_limit_that_it_names(
    path: str, service: str, limited: RequestHandler, free: RequestHandler
) -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', service, limited)
        await fleet.add_engine('i-2', service, free)
        for _ in range(BATCHES):
            sent = (send(fleet, path, n) for n in range(BATCH_REQUESTS))
            assert set(await asyncio.gather(*sent)) == {200}
            await asyncio.sleep(BATCH_SECONDS)
        allowed = OVERAGE * RATE * WINDOW_SECONDS + SLACK_REQUESTS
        assert 1 <= len(engine.requests) <= allowed + BATCH_REQUESTS

    run_with_fleet(steps)
