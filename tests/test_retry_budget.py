"""Bounds on how often a router sends the same request to endpoints."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest
from support_platform import ReceivedRequest, Writer, head_bytes, respond_ok
from support_routed import CFG, Fleet, run_with_fleet, wait_until

from sesamespoke.serving.host_registration import HOST_PREFIX
from sesamespoke.serving.retry_budget import RetryBounds

BOUNDS = RetryBounds(ratio=0.2, window=10, slack=30)
SHORT = replace(BOUNDS, window=0.2)
"""Its window has passed soon after a restart."""
NO_RETRIES = RetryBounds(ratio=0, window=10, slack=0)
REQUESTS = 60
MAX_ATTEMPTS = 2
"""``max_attempts`` of this route in the configuration of the test store."""
CRASHES = 3
"""Crashed engines after which a request must not be sent any more."""


async def shed(asked: ReceivedRequest, writer: Writer) -> None:
    rows = ('Not-Executed: 1', 'Content-Length: 0')
    writer.write(head_bytes(asked, 503, *rows))


async def send_requests(fleet: Fleet, prefix: str) -> None:
    caller = await fleet.connect()
    for number in range(REQUESTS):
        await caller.request('/l/1', request_id=f'{prefix}{number}')


def count_retries(fleet: Fleet) -> int:
    """Return the arrivals beyond the first one of each request."""
    arrivals = Counter(
        asked.request_id
        for engine in fleet.engines.values()
        for asked in engine.requests
    )
    return arrivals.total() - len(arrivals)


def allowed_retries(fresh: int) -> float:
    return BOUNDS.ratio * fresh + BOUNDS.slack


def test_restarted_router_does_not_spend_the_retry_slack_twice() -> None:
    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2', 'i-3'):
            await fleet.add_engine(name, 'desk', shed)
        await send_requests(fleet, 'a')
        assert count_retries(fleet) <= allowed_retries(REQUESTS)
        await fleet.restart()
        await send_requests(fleet, 'b')
        assert count_retries(fleet) <= allowed_retries(2 * REQUESTS)

    run_with_fleet(steps, replace(CFG, retries=BOUNDS))


def test_router_that_knows_no_others_gets_no_slack() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.hidden_prefix = HOST_PREFIX
        await fleet.restart()
        for name in ('i-1', 'i-2', 'i-3'):
            await fleet.add_engine(name, 'desk', shed)
        await asyncio.sleep(2 * SHORT.window)
        await send_requests(fleet, 'a')
        assert count_retries(fleet) <= SHORT.ratio * REQUESTS

    run_with_fleet(steps, replace(CFG, retries=SHORT))


def test_routers_that_disappear_still_count_for_shared_bounds() -> None:
    async def steps(fleet: Fleet) -> None:
        others = [f'h-{number}' for number in range(2, 10)]
        for name in others:
            row = {'host': name, 'data_centre': 'land', 'peers': '10.0.0.2:7'}
            fleet.store.put(f'{HOST_PREFIX}{name}', row)
        await wait_until(lambda: fleet.router.fleet_size.count() == 9)
        for name in others[:3]:
            fleet.store.remove(f'{HOST_PREFIX}{name}')
        await wait_until(lambda: len(fleet.router.peers.host_list.hosts) == 6)
        assert fleet.router.fleet_size.count() == 9

    run_with_fleet(steps)


def test_resending_on_a_new_connection_needs_retry_budget() -> None:
    async def answer_first(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.request_id == 'first':
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_first)
        caller = await fleet.connect()
        response = await caller.request('/l/1', request_id='first')
        assert response.status == 200
        response = await caller.request('/l/1', request_id='second')
        assert response.status == 502
        assert count_retries(fleet) == 0

    run_with_fleet(steps, replace(CFG, retries=NO_RETRIES))


def test_crashes_on_reused_connections_count_against_a_request() -> None:
    crashed: list[str] = []

    async def abort_on_poison(asked: ReceivedRequest, writer: Writer) -> None:
        if 'poison' not in asked.line:
            await respond_ok(asked, writer)
            return
        name = asked.headers['expect-instance']
        crashed.append(name)
        writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in (f'i-{number}' for number in range(CRASHES + 1)):
            engine = await fleet.add_engine(name, 'desk', abort_on_poison)
            caller = await fleet.connect()
            assert (await caller.request('/l/1')).status == 200
            engine.stop()
            await caller.request('/l/poison')
            fleet.store.remove(f'servers/{name}')
            await wait_until(lambda: not fleet.router.directory.endpoints)
        assert crashed == [f'i-{number}' for number in range(CRASHES)]

    run_with_fleet(steps)


def test_answered_request_is_not_rejected_for_crashes() -> None:
    answers = 0

    async def abort_every_other(asked: ReceivedRequest, writer: Writer) -> None:
        nonlocal answers
        answers += 1
        if answers % 2:
            writer.transport.abort()
        else:
            rows = ('Content-Length: 0', 'Connection: close')
            writer.write(head_bytes(asked, 200, *rows))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', abort_every_other)
        await fleet.add_engine('i-2', 'desk', abort_every_other)
        for _ in range(2 * CRASHES):
            caller = await fleet.connect()
            assert (await caller.request('/l/1')).status == 200

    run_with_fleet(steps)


@pytest.mark.parametrize('reuse_connection', [False, True])
def test_no_more_endpoints_run_a_request_than_max_attempts(
    reuse_connection: bool,
) -> None:
    async def abort_unless_warm(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.request_id == 'warm':
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2', 'i-3', 'i-4'):
            await fleet.add_engine(name, 'desk', abort_unless_warm)
            if reuse_connection:
                caller = await fleet.connect()
                await caller.request('/l/1', request_id='warm')
        response = await (await fleet.connect()).request('/l/1')
        assert response.status == 502
        ran_on = {
            name
            for name, engine in fleet.engines.items()
            if any(asked.request_id == 'r1' for asked in engine.requests)
        }
        assert len(ran_on) == MAX_ATTEMPTS

    run_with_fleet(steps)


def test_retry_is_sent_with_the_remaining_deadline() -> None:
    pause = 0.2

    async def abort_late(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(pause)
        writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', abort_late)
        await (await fleet.connect()).request('/l/1', 'Deadline-Ms: 900')
        first, second = sorted(
            int(engine.requests[0].headers['deadline-ms'])
            for engine in fleet.engines.values()
        )
        assert second <= 900
        assert first <= second - pause * 1000

    run_with_fleet(steps)
