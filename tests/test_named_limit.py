"""Engines that name in their answers how many requests a second they take."""

import asyncio
import math
import random
from dataclasses import replace

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st
from support_links import FakeNetwork, run_paused
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
from support_serving_jobs import PLAIN, Clock, endpoints_of

from sesamespoke.metrics import Metrics
from sesamespoke.routing_messages import EndpointLimit
from sesamespoke.serving.limit_sharing import LimitSharing
from sesamespoke.serving.named_limits import NamedLimits

log = structlog.get_logger()
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


def test_a_limit_that_another_router_has_heard_holds_here() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        born = fleet.router.directory.endpoints['i-1'].born
        message = EndpointLimit('i-1', born, 1, is_named=True, rate=0)
        fleet.router.peers._subscribers.deliver('other', message)
        for number in range(BATCHES):
            assert await send(fleet, '/l/1', number) == 200
        assert len(engine.requests) <= SLACK_REQUESTS

    run_with_fleet(steps)


def test_engine_that_names_no_limit_any_more_gets_its_usual_load() -> None:
    is_limited = True

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        handler = answer_limited if is_limited else respond_ok
        await handler(asked, writer)

    async def steps(fleet: Fleet) -> None:
        nonlocal is_limited
        engine = await fleet.add_engine('i-1', 'desk', serve)
        await send(fleet, '/l/1', 0)
        is_limited = False
        limits = fleet.router.chooser.limits
        endpoint = fleet.router.directory.endpoints['i-1']
        number = 0
        async with asyncio.timeout(WINDOW_SECONDS / RATE):
            while limits.rate(endpoint) < math.inf:
                number += 1
                await send(fleet, '/l/1', number)
                await asyncio.sleep(BATCH_SECONDS)
        seen = len(engine.requests)
        for _ in range(BATCHES):
            assert await send(fleet, '/l/1', 0) == 200
        assert len(engine.requests) == seen + BATCHES

    run_with_fleet(steps)


ENDPOINT = endpoints_of(PLAIN, 1)[0]


def test_a_limit_is_lifted_in_steps() -> None:
    clock = Clock()
    limits = NamedLimits(clock)
    limits.note_answer(ENDPOINT, '2.5', clock.now)
    rates = []
    while limits.rate(ENDPOINT) < math.inf:
        rates.append(limits.rate(ENDPOINT))
        clock.now += 1
        limits.note_answer(ENDPOINT, None, clock.now)
    assert rates == [2.5, 5, 10, 20, 40]


def test_an_answer_to_an_earlier_request_does_not_lift_a_limit() -> None:
    clock = Clock()
    limits = NamedLimits(clock)
    sent_at = clock.now
    clock.now += 1
    limits.note_answer(ENDPOINT, '2.5', sent_at)
    limits.note_answer(ENDPOINT, None, sent_at)
    assert limits.rate(ENDPOINT) == 2.5


def test_another_incarnation_begins_without_a_limit() -> None:
    limits = NamedLimits(Clock())
    limits.note_answer(ENDPOINT, '2.5', 0)
    restarted = replace(ENDPOINT, born=ENDPOINT.born + 1)
    assert limits.rate(restarted) == math.inf
    limits.drop(ENDPOINT.name, restarted.born)
    assert limits.rate(ENDPOINT) == math.inf


@pytest.mark.parametrize(
    'text', ['', '-1', 'nan', 'inf', '1e3', 'soon', '9' * 400, '1.5.5', '²']
)
def test_a_limit_that_is_no_number_is_logged_once_and_changes_nothing(
    text: str,
) -> None:
    clock = Clock()
    limits = NamedLimits(clock)
    logged: list[str] = []
    limits.on_unreadable = lambda _, seen: logged.append(seen)
    for _ in range(3):
        limits.note_answer(ENDPOINT, text, clock.now)
    assert limits.rate(ENDPOINT) == math.inf
    assert logged == [text]
    limits.note_answer(ENDPOINT, '3', clock.now)
    limits.note_answer(ENDPOINT, text, clock.now + 1)
    assert limits.rate(ENDPOINT) == 3


Change = tuple[int, float]


@given(
    st.lists(
        st.tuples(st.integers(1, 4), st.sampled_from((0.5, 2, 9, math.inf))),
        min_size=1,
    ),
    st.randoms(use_true_random=False),
)
def test_routers_that_hear_changes_in_any_order_agree(
    changes: list[Change], rng: random.Random
) -> None:
    key = (ENDPOINT.name, ENDPOINT.born)
    rates = set()
    for _ in range(3):
        limits = NamedLimits(Clock())
        for number, rate in rng.sample(changes * 2, len(changes) * 2):
            limits.adopt(key, number, rate)
        rates.add(limits.rate(ENDPOINT))
    assert len(rates) == 1


def test_a_router_that_comes_back_hears_the_limits() -> None:
    async def steps() -> None:
        network = FakeNetwork()
        named, started = (
            NamedLimits(asyncio.get_running_loop().time) for _ in range(2)
        )
        metrics = Metrics('h')
        for host, limits in (('a', named), ('b', started)):
            links = network.join(host, 'north')
            LimitSharing(links, limits, metrics, log.info)
        network.cut({'a'})
        named.note_answer(ENDPOINT, '2.5', 0)
        await asyncio.sleep(1)
        assert started.rate(ENDPOINT) == math.inf
        network.heal()
        await asyncio.sleep(1)
        assert started.rate(ENDPOINT) == 2.5

    run_paused(steps())
