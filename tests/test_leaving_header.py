"""Engines that say in their answers that they leave, before the list does."""

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
    server_entry,
    stream_events,
)
from support_routed import Fleet, run_with_fleet, wait_until

from sesamespoke.routing_messages import EndpointLeaves

LEAVING = 'Server-Leaving: 1'
REQUESTS = 12


async def answer_leaving(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 200, LEAVING, 'Content-Length: 4') + b'fine')


async def fail_leaving(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 500, LEAVING, 'Content-Length: 0'))


async def refuse_leaving(asked: ReceivedRequest, writer: Writer) -> None:
    rows = (LEAVING, 'Not-Executed: 1', 'Content-Length: 0')
    writer.write(head_bytes(asked, 503, *rows))


async def stream_leaving(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 200, CHUNKED, LEAVING))
    for number in range(1, 4):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


async def send_until_seen(fleet: Fleet, path: str) -> int:
    """Send requests until one has reached the leaving engine."""
    engine = fleet.engines['i-1']
    for number in range(50):
        caller = await fleet.connect()
        await caller.request(path, request_id=f'a{number}')
        if engine.requests:
            return len(engine.requests)
    raise AssertionError('no request reached the engine')


@pytest.mark.parametrize(
    ('path', 'service', 'leave', 'serve'),
    [
        ('/l/1', 'desk', answer_leaving, respond_ok),
        ('/l/1', 'desk', fail_leaving, respond_ok),
        ('/l/1', 'desk', refuse_leaving, respond_ok),
        ('/s/1', 'llm', stream_leaving, stream_events),
    ],
)
def test_engine_that_says_it_leaves_gets_no_more_requests(
    path: str, service: str, leave: RequestHandler, serve: RequestHandler
) -> None:
    async def steps(fleet: Fleet) -> None:
        leaving = await fleet.add_engine('i-1', service, leave)
        await fleet.add_engine('i-2', service, serve)
        seen = await send_until_seen(fleet, path)
        for number in range(REQUESTS):
            caller = await fleet.connect()
            answered = await caller.request(path, request_id=f'b{number}')
            assert answered.status == 200
        assert len(leaving.requests) == seen
        assert 'i-1' in fleet.router.directory.endpoints

    run_with_fleet(steps)


def test_requests_at_a_leaving_engine_end_in_peace() -> None:
    slow = asyncio.Event()

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.request_id == 'slow':
            await slow.wait()
        await answer_leaving(asked, writer)

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', serve)
        first = await fleet.connect()
        first.send('/l/1', request_id='slow')
        await wait_until(lambda: bool(engine.requests))
        await (await fleet.connect()).request('/l/1', request_id='other')
        slow.set()
        assert (await first.receive()).body == b'fine'
        assert (await (await fleet.connect()).request('/l/1')).status == 503
        assert len(engine.requests) == 2

    run_with_fleet(steps)


@pytest.mark.parametrize('changes', [{'born': 18}, {}])
def test_new_instance_at_the_address_of_a_leaving_one_is_used(
    changes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', answer_leaving)
        await send_until_seen(fleet, '/l/1')
        assert (await (await fleet.connect()).request('/l/1')).status == 503
        address = fleet.router.directory.endpoints['i-1'].address
        name = 'i-1' if changes else 'i-9'
        if name != 'i-1':
            fleet.store.remove('servers/i-1')
        entry = server_entry('desk', address, **changes)
        fleet.store.put(f'servers/{name}', entry)
        directory = fleet.router.directory
        await wait_until(lambda: bool(directory.usable('desk')))
        engine.handler = respond_ok
        assert (await (await fleet.connect()).request('/l/1')).status == 200

    run_with_fleet(steps)


def test_what_another_host_has_heard_counts_too() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        born = fleet.router.directory.endpoints['i-1'].born
        message = EndpointLeaves('i-1', born)
        fleet.router.peers._subscribers.deliver('other', message)
        assert (await (await fleet.connect()).request('/l/1')).status == 503
        assert not engine.requests

    run_with_fleet(steps)
