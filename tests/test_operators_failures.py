"""What went wrong for operators of similar systems, played against a router.

Each test causes one of their failures over loopback sockets.
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

SECOND_COPY_SECONDS = 0.05
NO_KEY_1 = [{'name': 'acme', 'api_keys': ['key-2'], 'priority': 1}]


async def keep_asking(
    fleet: Fleet, name: str, is_over: Callable[[], bool]
) -> list[int]:
    """Ask on new connections, and return the status of each answer."""
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


@pytest.mark.parametrize('delay', [0, SECOND_COPY_SECONDS])
def test_a_second_copy_of_an_answer_never_reaches_the_next_caller(
    delay: float,
) -> None:
    copies: list[asyncio.Task[None]] = []

    async def answer_twice(asked: ReceivedRequest, writer: Writer) -> None:
        async def send_copy() -> None:
            await asyncio.sleep(delay)
            writer.write(full_response(asked, asked.request_id.encode()))

        if len(copies) % 2:
            await asyncio.sleep(2 * SECOND_COPY_SECONDS)
        writer.write(full_response(asked, asked.request_id.encode()))
        copies.append(asyncio.create_task(send_copy()))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_twice)
        for number in range(8):
            caller = await fleet.connect()
            answered = await caller.request('/l/1', request_id=f'r{number}')
            assert answered.body == f'r{number}'.encode()
            assert answered.is_complete

    run_with_fleet(steps)


def test_a_stop_under_load_answers_all_whose_connection_was_taken() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [
            asyncio.create_task(
                keep_asking(fleet, f'c{number}', fleet.router_task.done)
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


def test_a_stop_answers_a_request_of_which_a_part_has_come() -> None:
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


def test_a_stop_lets_a_slow_caller_read_its_whole_answer() -> None:
    size = 6_000_000

    async def answer_much(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, bytes(size)))

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', answer_much)
        caller = await fleet.connect()
        caller.send('/l/1')
        await wait_until(lambda: bool(engine.requests))
        await asyncio.sleep(0.3)
        fleet.router.stop.begin()
        await asyncio.sleep(2 * CFG.stop.drain_delay)
        answered = await caller.receive()
        assert len(answered.body) == size

    run_with_fleet(steps)


def test_a_slow_stream_is_not_cut() -> None:
    """Its pauses are longer than allowed, but no caller leaves for them."""

    async def slowly(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, 4):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.8)
        writer.write(LAST_CHUNK)

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', slowly)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        assert answered.body == event(1) + event(2) + event(3)
        assert len(engine.requests) == 1

    run_with_fleet(steps)


@pytest.mark.parametrize('sent', [0, 1, 2])
def test_a_silent_stream_is_not_cut_where_no_other_engine_can_go_on(
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


async def drip(writer: Writer) -> None:
    """Send a byte of an event now and then."""
    while not writer.is_closing():
        writer.write(chunk(b'i'))
        await writer.drain()
        await asyncio.sleep(0.2)


async def comment(writer: Writer) -> None:
    """Send comments, which callers don't see, now and then."""
    while not writer.is_closing():
        writer.write(chunk(b': still here\n\n'))
        await writer.drain()
        await asyncio.sleep(0.2)


async def be_silent(writer: Writer) -> None:
    await asyncio.sleep(8)


@pytest.mark.parametrize('stall', [drip, comment, be_silent])
@pytest.mark.parametrize('sent', [0, 1, 2])
def test_a_stream_that_stalls_goes_on_at_another_engine(
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
        told = answered.body.replace(b': still here\n\n', b'')
        assert told == event(1) + event(2) + event(3)

    run_with_fleet(steps)


def test_a_stream_that_drips_for_ever_ends_at_its_deadline() -> None:
    async def drip_always(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        with contextlib.suppress(ConnectionError):
            await drip(writer)

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', drip_always)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        caller = await fleet.connect()
        answered = await caller.request('/s/1', 'Deadline-Ms: 1000')
        assert loop.time() - began_at < 2
        assert answered.status >= 500
        await wait_until(lambda: not fleet.router.server.active)

    run_with_fleet(steps)


@pytest.mark.parametrize('lists_answer', [True, False])
def test_what_was_withdrawn_before_a_restart_stays_so(
    *, lists_answer: bool
) -> None:
    """Also when the store answers nothing once the process is back."""

    async def steps(fleet: Fleet) -> None:
        gone = await fleet.add_engine('i-1', 'llm', stream_events)
        stays = await fleet.add_engine('i-2', 'llm', stream_events)
        fleet.store.remove('servers/i-1')
        fleet.store.put(
            'op/config', {**CONFIG, 'version': 8, 'tenants': NO_KEY_1}
        )
        del fleet.engines['i-1']
        fleet.store.silent = not lists_answer
        before = fleet.router
        restarting = asyncio.create_task(fleet.restart())
        if not lists_answer:
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
        assert not stays.requests
        fleet.store.put('op/config', {**CONFIG, 'version': 9})
        orders = fleet.router.platform_sync.operator_config
        await wait_until(
            lambda: orders.catalog is not None and orders.catalog.version == 9
        )
        for number in range(6):
            caller = await fleet.connect()
            answered = await caller.request('/s/1', request_id=f's{number}')
            assert answered.status == 200
        assert len(stays.requests) == 6
        assert not gone.requests

    run_with_fleet(steps)


def test_a_list_that_comes_late_brings_no_engine_back() -> None:
    """The list was read before the engine left, on a slow day of the store."""
    read_list = PlatformFeeds.list_endpoints

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        directory = fleet.router.directory
        read, passed_on = asyncio.Event(), asyncio.Event()

        async def read_slowly(feeds: PlatformFeeds) -> Any:
            listed = await read_list(feeds)
            read.set()
            await passed_on.wait()
            return listed

        with mock.patch.object(PlatformFeeds, 'list_endpoints', read_slowly):
            await read.wait()
            fleet.store.remove('servers/i-1')
            listed = await read_list(PlatformFeeds(fleet.client))
            assert isinstance(listed, Listing)
            directory.replace(listed)
            in_use: list[str] = []
            directory.listeners.append(
                lambda found: in_use.extend(found.endpoints)
            )
            passed_on.set()
            await asyncio.sleep(0.3)
        assert 'i-2' in directory.endpoints
        assert 'i-1' not in in_use

    run_with_fleet(steps)
