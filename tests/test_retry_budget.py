"""What engines get beyond the first arrival of each request."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest
from support_platform import ReceivedRequest, Writer, head_bytes, respond_ok
from support_routed import CFG, Fleet, play, until

from sesamespoke.serving.platform_sync import HOST_PREFIX
from sesamespoke.serving.retry_budget import RetryBounds

BOUNDS = RetryBounds(ratio=0.2, window=10, slack=30)
SHORT = replace(BOUNDS, window=0.2)
"""Its window is over soon after a start."""
NO_RETRIES = RetryBounds(ratio=0, window=10, slack=0)
REQUESTS = 60
MAX_ATTEMPTS = 2
"""What the stand-in's configuration allows on this route."""
CRASHES = 3
"""After so many engines crashed, a request is to be sent no more."""


async def shed(asked: ReceivedRequest, writer: Writer) -> None:
    rows = ('Not-Executed: 1', 'Content-Length: 0')
    writer.write(head_bytes(asked, 503, *rows))


async def ask_many(fleet: Fleet, prefix: str) -> None:
    caller = await fleet.connect()
    for number in range(REQUESTS):
        await caller.ask('/l/1', request_id=f'{prefix}{number}')


def count_repeats(fleet: Fleet) -> int:
    """Return the arrivals beyond the first of each request."""
    arrivals = Counter(
        asked.request_id
        for engine in fleet.engines.values()
        for asked in engine.requests
    )
    return arrivals.total() - len(arrivals)


def allowed(fresh: int) -> float:
    return BOUNDS.ratio * fresh + BOUNDS.slack


def test_a_router_that_starts_again_does_not_spend_the_slack_again() -> None:
    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2', 'i-3'):
            await fleet.add_engine(name, 'desk', shed)
        await ask_many(fleet, 'a')
        assert count_repeats(fleet) <= allowed(REQUESTS)
        await fleet.restart()
        await ask_many(fleet, 'b')
        assert count_repeats(fleet) <= allowed(2 * REQUESTS)

    play(steps, replace(CFG, retries=BOUNDS))


def test_a_router_that_knows_no_others_does_not_take_all_of_the_slack() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.hidden_prefix = HOST_PREFIX
        await fleet.restart()
        for name in ('i-1', 'i-2', 'i-3'):
            await fleet.add_engine(name, 'desk', shed)
        await asyncio.sleep(2 * SHORT.window)
        await ask_many(fleet, 'a')
        assert count_repeats(fleet) <= SHORT.ratio * REQUESTS

    play(steps, replace(CFG, retries=SHORT))


def test_routers_out_of_sight_still_count_for_shared_bounds() -> None:
    async def steps(fleet: Fleet) -> None:
        others = [f'h-{number}' for number in range(2, 10)]
        for name in others:
            row = {'host': name, 'data_centre': 'land', 'peers': '10.0.0.2:7'}
            fleet.store.put(f'{HOST_PREFIX}{name}', row)
        await until(lambda: fleet.router.fleet_size.count() == 9)
        for name in others[:3]:
            fleet.store.remove(f'{HOST_PREFIX}{name}')
        await until(lambda: len(fleet.router.peers.host_list.hosts) == 6)
        assert fleet.router.fleet_size.count() == 9

    play(steps)


def test_a_request_is_sent_again_on_a_new_connection_only_if_paid() -> None:
    async def answer_first(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.request_id == 'first':
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_first)
        caller = await fleet.connect()
        answered = await caller.ask('/l/1', request_id='first')
        assert answered.status == 200
        answered = await caller.ask('/l/1', request_id='second')
        assert answered.status == 502
        assert count_repeats(fleet) == 0

    play(steps, replace(CFG, retries=NO_RETRIES))


def test_crashes_on_kept_connections_count_against_a_request() -> None:
    crashed: list[str] = []

    async def crash_on_poison(asked: ReceivedRequest, writer: Writer) -> None:
        if 'poison' not in asked.line:
            await respond_ok(asked, writer)
            return
        name = asked.headers['expect-instance']
        crashed.append(name)
        writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in (f'i-{number}' for number in range(CRASHES + 1)):
            engine = await fleet.add_engine(name, 'desk', crash_on_poison)
            caller = await fleet.connect()
            assert (await caller.ask('/l/1')).status == 200
            engine.stop()
            await caller.ask('/l/poison')
            fleet.store.remove(f'servers/{name}')
            await until(lambda: not fleet.router.directory.endpoints)
        assert crashed == [f'i-{number}' for number in range(CRASHES)]

    play(steps)


def test_a_request_that_is_answered_is_not_suspected_of_crashes() -> None:
    answers = 0

    async def break_each_second(asked: ReceivedRequest, writer: Writer) -> None:
        nonlocal answers
        answers += 1
        if answers % 2:
            writer.transport.abort()
        else:
            rows = ('Content-Length: 0', 'Connection: close')
            writer.write(head_bytes(asked, 200, *rows))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', break_each_second)
        await fleet.add_engine('i-2', 'desk', break_each_second)
        for _ in range(2 * CRASHES):
            caller = await fleet.connect()
            assert (await caller.ask('/l/1')).status == 200

    play(steps)


@pytest.mark.parametrize('kept', [False, True])
def test_no_more_endpoints_run_a_request_than_its_route_allows(
    kept: bool,
) -> None:
    async def break_off(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.request_id == 'warm':
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2', 'i-3', 'i-4'):
            await fleet.add_engine(name, 'desk', break_off)
            if kept:
                caller = await fleet.connect()
                await caller.ask('/l/1', request_id='warm')
        answered = await (await fleet.connect()).ask('/l/1')
        assert answered.status == 502
        ran_on = {
            name
            for name, engine in fleet.engines.items()
            if any(asked.request_id == 'r1' for asked in engine.requests)
        }
        assert len(ran_on) == MAX_ATTEMPTS

    play(steps)


def test_a_second_endpoint_is_told_only_the_time_that_is_left() -> None:
    pause = 0.2

    async def break_late(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(pause)
        writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', break_late)
        await (await fleet.connect()).ask('/l/1', 'Deadline-Ms: 900')
        first, second = sorted(
            int(engine.requests[0].headers['deadline-ms'])
            for engine in fleet.engines.values()
        )
        assert second <= 900
        assert first <= second - pause * 1000

    play(steps)
