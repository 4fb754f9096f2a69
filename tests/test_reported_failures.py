"""Failures that operators of similar systems have reported.

Each test reproduces one of them against a router over loopback sockets.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest
from support_platform import (
    CHUNKED,
    CONFIG,
    LAST_CHUNK,
    ReceivedRequest,
    Writer,
    chunk,
    event,
    full_response,
    head_bytes,
    respond_ok,
    stream_events,
)
from support_routed import BODY, CFG, Fleet, run_with_fleet, wait_until

from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.serving.directory import Listing

DUPLICATE_DELAY_SECONDS = 0.05
TENANTS_WITHOUT_KEY_1 = [{'name': 'acme', 'api_keys': ['key-2'], 'priority': 1}]


async def send_requests(
    fleet: Fleet, name: str, is_over: Callable[[], bool]
) -> list[int]:
    """Send requests on new connections, and return the response statuses."""
    statuses: list[int] = []
    while not is_over():
        try:
            caller = await fleet.connect()
        except ConnectionRefusedError:
            break
        answered = await caller.request(
            '/l/1', request_id=f'{name}-{len(statuses)}'
        )
        statuses.append(answered.status)
        caller.writer.close()
    return statuses


@pytest.mark.parametrize('delay', [0, DUPLICATE_DELAY_SECONDS])
def test_a_duplicate_response_never_reaches_the_next_caller(
    delay: float,
) -> None:
    duplicates: list[asyncio.Task[None]] = []

    async def answer_twice(asked: ReceivedRequest, writer: Writer) -> None:
        async def send_duplicate() -> None:
            await asyncio.sleep(delay)
            writer.write(full_response(asked, asked.request_id.encode()))

        if len(duplicates) % 2:
            await asyncio.sleep(2 * DUPLICATE_DELAY_SECONDS)
        writer.write(full_response(asked, asked.request_id.encode()))
        duplicates.append(asyncio.create_task(send_duplicate()))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_twice)
        for number in range(8):
            caller = await fleet.connect()
            answered = await caller.request('/l/1', request_id=f'r{number}')
            assert answered.body == f'r{number}'.encode()
            assert answered.is_complete

    run_with_fleet(steps)


def test_shutdown_under_load_answers_every_accepted_connection() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [
            asyncio.create_task(
                send_requests(fleet, f'c{number}', fleet.router_task.done)
            )
            for number in range(12)
        ]
        await asyncio.sleep(0.2)
        fleet.router.stop.begin()
        await fleet.router_task
        for statuses in await asyncio.gather(*callers):
            assert set(statuses) <= {200, 503}
            assert 200 in statuses

    run_with_fleet(steps, replace(CFG, max_callers=400))


def test_shutdown_answers_a_partially_received_request() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        fleet.router.stop.begin()
        await asyncio.sleep(CFG.stop.drain_delay / 2)
        caller.send('/l/1', with_body=False)
        await asyncio.sleep(CFG.stop.drain_delay)
        caller.writer.write(BODY)
        answered = await caller.receive()
        assert answered.status == 503

    run_with_fleet(steps)


def test_shutdown_lets_a_slow_caller_read_its_complete_response() -> None:
    size = 6_000_000

    async def answer_large(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, bytes(size)))

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', answer_large)
        caller = await fleet.connect()
        caller.send('/l/1')
        await wait_until(lambda: bool(engine.requests))
        await asyncio.sleep(0.3)
        fleet.router.stop.begin()
        await asyncio.sleep(2 * CFG.stop.drain_delay)
        answered = await caller.receive()
        assert len(answered.body) == size

    run_with_fleet(steps)


def test_a_slow_stream_is_not_interrupted() -> None:
    """Its pauses exceed ``max_gap``, but are short enough for callers."""

    async def stream_slowly(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, 4):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.8)
        writer.write(LAST_CHUNK)

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', stream_slowly)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        assert answered.body == event(1) + event(2) + event(3)
        assert len(engine.requests) == 1

    run_with_fleet(steps)


@pytest.mark.parametrize('sent', [0, 1, 2])
def test_a_stalled_stream_is_kept_if_no_other_engine_can_resume_it(
    sent: int,
) -> None:
    async def pause(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, 4):
            await asyncio.sleep(2.6 if number == sent + 1 else 0.01)
            writer.write(chunk(event(number)))
        writer.write(LAST_CHUNK)

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', pause)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        assert answered.body == event(1) + event(2) + event(3)
        assert len(engine.requests) == 1

    run_with_fleet(steps)


async def send_incomplete_event(writer: Writer) -> None:
    """Send one byte of an event every 0.2 s."""
    while not writer.is_closing():
        writer.write(chunk(b'i'))
        await writer.drain()
        await asyncio.sleep(0.2)


async def send_comments(writer: Writer) -> None:
    """Send a comment, which callers ignore, every 0.2 s."""
    while not writer.is_closing():
        writer.write(chunk(b': still here\n\n'))
        await writer.drain()
        await asyncio.sleep(0.2)


async def send_nothing(writer: Writer) -> None:
    await asyncio.sleep(8)


@pytest.mark.parametrize(
    'stall', [send_incomplete_event, send_comments, send_nothing]
)
@pytest.mark.parametrize('sent', [0, 1, 2])
def test_a_stalled_stream_is_resumed_at_another_engine(
    stall: Callable[[Writer], Awaitable[None]], sent: int
) -> None:
    stalled: list[str] = []

    async def stall_once(asked: ReceivedRequest, writer: Writer) -> None:
        if stalled:
            await stream_events(asked, writer)
            return
        stalled.append(asked.request_id)
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, sent + 1):
            await asyncio.sleep(0.01)
            writer.write(chunk(event(number)))
        with contextlib.suppress(ConnectionError):
            await stall(writer)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'llm', stall_once)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        events = answered.body.replace(b': still here\n\n', b'')
        assert events == event(1) + event(2) + event(3)

    run_with_fleet(steps)


@pytest.mark.parametrize('sent', [1, 2])
def test_a_stream_that_stalls_late_leaves_time_for_another_engine(
    sent: int,
) -> None:
    stalled: list[str] = []

    async def start_late_and_stall(
        asked: ReceivedRequest, writer: Writer
    ) -> None:
        if stalled:
            await stream_events(asked, writer)
            return
        stalled.append(asked.request_id)
        await asyncio.sleep(0.7)
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, sent + 1):
            writer.write(chunk(event(number)))
        with contextlib.suppress(ConnectionError):
            await send_nothing(writer)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'llm', start_late_and_stall)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        assert answered.body == event(1) + event(2) + event(3)

    run_with_fleet(steps)


def test_a_stream_of_incomplete_events_ends_at_its_deadline() -> None:
    async def send_incomplete_events(
        asked: ReceivedRequest, writer: Writer
    ) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        with contextlib.suppress(ConnectionError):
            await send_incomplete_event(writer)

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', send_incomplete_events)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller = await fleet.connect()
        answered = await caller.request('/s/1', 'Deadline-Ms: 1000')
        assert loop.time() - started_at < 2
        assert answered.status >= 500
        await wait_until(lambda: not fleet.router.server.active)

    run_with_fleet(steps)


@pytest.mark.parametrize('store_responds', [True, False])
def test_removed_keys_and_engines_stay_removed_after_a_restart(
    *, store_responds: bool
) -> None:
    """Holds also if the store does not respond when the process restarts."""

    async def steps(fleet: Fleet) -> None:
        removed = await fleet.add_engine('i-1', 'llm', stream_events)
        remaining = await fleet.add_engine('i-2', 'llm', stream_events)
        fleet.store.remove('servers/i-1')
        fleet.store.put(
            'op/config',
            {**CONFIG, 'version': 8, 'tenants': TENANTS_WITHOUT_KEY_1},
        )
        del fleet.engines['i-1']
        fleet.store.silent = not store_responds
        before = fleet.router
        restarting = asyncio.create_task(fleet.restart())
        if not store_responds:
            await wait_until(lambda: fleet.router is not before)
            await wait_until(lambda: bool(fleet.router.server.port))
            assert not fleet.router.is_ready
            caller = await fleet.connect()
            assert (await caller.request('/s/1')).status == 503
            fleet.store.silent = False
        await restarting
        for number in range(6):
            caller = await fleet.connect()
            answered = await caller.request('/s/1', request_id=f'r{number}')
            assert answered.status == 401
        assert not remaining.requests
        fleet.store.put('op/config', {**CONFIG, 'version': 9})
        orders = fleet.router.platform_sync.operator_config
        await wait_until(
            lambda: orders.catalog is not None and orders.catalog.version == 9
        )
        for number in range(6):
            caller = await fleet.connect()
            answered = await caller.request('/s/1', request_id=f's{number}')
            assert answered.status == 200
        assert len(remaining.requests) == 6
        assert not removed.requests

    run_with_fleet(steps)


def test_an_outdated_list_does_not_restore_a_removed_engine() -> None:
    """A slow store returned a list that it had read before the removal."""
    read_list = PlatformFeeds.list_endpoints

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        directory = fleet.router.directory
        read, may_return = asyncio.Event(), asyncio.Event()

        async def read_slowly(feeds: PlatformFeeds) -> Any:
            listed = await read_list(feeds)
            read.set()
            await may_return.wait()
            return listed

        with mock.patch.object(PlatformFeeds, 'list_endpoints', read_slowly):
            await read.wait()
            fleet.store.remove('servers/i-1')
            listed = await read_list(PlatformFeeds(fleet.client))
            assert isinstance(listed, Listing)
            directory.replace(listed)
            applied: list[str] = []
            directory.listeners.append(
                lambda listing: applied.extend(listing.endpoints)
            )
            may_return.set()
            await asyncio.sleep(0.3)
        assert 'i-2' in directory.endpoints
        assert 'i-1' not in applied

    run_with_fleet(steps)
