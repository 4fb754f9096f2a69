"""Engines that turn requests away and say for how long they want nothing."""

import asyncio
from dataclasses import dataclass, field

import pytest
from support_platform import (
    ReceivedRequest,
    Writer,
    head_bytes,
    respond_ok,
    server_entry,
)
from support_routed import Fleet, run_with_fleet, wait_until
from support_serving_jobs import PLAIN, Clock
from support_serving_jobs import endpoints_of as endpoints_of_service

from sesamespoke.checked_fields import read_retry_after
from sesamespoke.serving.backoff import (
    MAX_BACKOFF_SECONDS,
    MAX_RAMP_REQUESTS,
    EndpointBackoff,
)
from sesamespoke.serving.chooser import UNLISTED_SECONDS, Chooser
from sesamespoke.serving.directory import Directory, Listing

REQUESTS = 10
SLACK_SECONDS = 0.5
"""Requests that are on their way when the answer comes may still arrive."""


@dataclass
class BusyEngine:
    """Turns requests away for some time; counts when requests arrive."""

    seconds: float
    retry_after: str
    until: float = 0
    arrivals: list[float] = field(default_factory=list)
    running: int = 0
    most_running: int = 0

    async def serve(self, asked: ReceivedRequest, writer: Writer) -> None:
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        if not self.until:
            self.until = now + self.seconds
        if now < self.until:
            rows = (
                'Not-Executed: 1',
                f'Retry-After: {self.retry_after}',
                'Content-Length: 0',
            )
            writer.write(head_bytes(asked, 503, *rows))
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(0.1)
        self.running -= 1
        await respond_ok(asked, writer)

    def arrived_between(self, begin: float, end: float) -> int:
        return sum(begin <= at < end for at in self.arrivals)


async def send(fleet: Fleet, number: int) -> int:
    caller = await fleet.connect()
    answered = await caller.request('/l/1', request_id=f'r{number}')
    caller.writer.close()
    return answered.status


def test_engine_gets_nothing_for_as_long_as_it_asks() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = BusyEngine(1.5, '1.5')
        other = BusyEngine(0, '0')
        await fleet.add_engine('i-1', 'desk', engine.serve)
        await fleet.add_engine('i-2', 'desk', other.serve)
        for number in range(0, 80, 4):
            sent = (send(fleet, number + index) for index in range(4))
            assert set(await asyncio.gather(*sent)) == {200}
        begin = engine.arrivals[0]
        assert not engine.arrived_between(
            begin + SLACK_SECONDS, begin + engine.seconds
        )
        assert engine.arrived_between(begin + engine.seconds, begin + 9)

    run_with_fleet(steps)


@pytest.mark.parametrize('is_restarted', [False, True])
def test_pause_holds_for_an_engine_whose_entry_lapses_and_comes_back(
    is_restarted: bool,
) -> None:
    async def steps(fleet: Fleet) -> None:
        engine = BusyEngine(30, '30')
        other = BusyEngine(0, '0')
        await fleet.add_engine('i-1', 'desk', engine.serve)
        await fleet.add_engine('i-2', 'desk', other.serve)
        while not engine.arrivals:
            await send(fleet, 0)
        endpoints = fleet.router.directory.endpoints
        address = endpoints['i-1'].address
        fleet.store.remove('servers/i-1')
        await wait_until(lambda: 'i-1' not in endpoints_of(fleet))
        born = 18 if is_restarted else 17
        entry = server_entry('desk', address, born=born)
        fleet.store.put('servers/i-1', entry)
        await wait_until(lambda: 'i-1' in endpoints_of(fleet))
        for number in range(0, 80, 4):
            sent = (send(fleet, number + index) for index in range(4))
            assert set(await asyncio.gather(*sent)) == {200}
        assert (len(engine.arrivals) > 1) is is_restarted

    run_with_fleet(steps)


def endpoints_of(fleet: Fleet) -> set[str]:
    return set(fleet.router.directory.endpoints)


def test_state_of_an_endpoint_that_stays_away_is_dropped() -> None:
    clock = Clock()
    directory = Directory(clock)
    chooser = Chooser('h', lambda: None, directory, clock, lambda: None)
    listed = endpoints_of_service(PLAIN, 2)
    directory.replace(Listing(1, listed))
    chooser.backoff.note_refused('desk-0', 2 * UNLISTED_SECONDS)
    revision = 1
    for seconds in (1, UNLISTED_SECONDS + 1, UNLISTED_SECONDS):
        clock.now += seconds
        revision += 1
        rows = listed[1:] if revision % 2 else ()
        directory.replace(Listing(revision, rows))
        paused_for = chooser.backoff.seconds_left('desk-0')
    assert not paused_for
    assert 'desk-0' not in chooser._unlisted


def test_callers_are_refused_at_once_where_every_engine_wants_nothing() -> None:
    async def steps(fleet: Fleet) -> None:
        engines = [BusyEngine(30, '30') for _ in range(2)]
        for number, engine in enumerate(engines):
            await fleet.add_engine(f'i-{number}', 'desk', engine.serve)
        loop = asyncio.get_running_loop()
        while not all(engine.arrivals for engine in engines):
            await send(fleet, len(engines[0].arrivals))
        waits = []
        for number in range(REQUESTS):
            sent_at = loop.time()
            caller = await fleet.connect()
            answered = await caller.request('/l/1', request_id=f'b{number}')
            assert answered.status == 503
            assert loop.time() - sent_at < 0.06
            waits.append(float(answered.head.headers['Retry-After']))
        assert min(waits) >= 29
        assert max(waits) - min(waits) > 1
        assert sum(len(engine.arrivals) for engine in engines) == 2

    run_with_fleet(steps)


def test_requests_return_one_first_and_then_more() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = BusyEngine(0.3, '0.3')
        await fleet.add_engine('i-1', 'desk', engine.serve)
        await send(fleet, 0)
        await asyncio.sleep(0.35)
        asked = [asyncio.create_task(send(fleet, n)) for n in range(1, 7)]
        await asyncio.sleep(0.05)
        assert engine.running == 1
        await asyncio.gather(*asked)
        assert engine.most_running <= 2
        assert await send(fleet, 8) == 200

    run_with_fleet(steps)


def test_each_answer_doubles_what_may_be_in_flight() -> None:
    clock = Clock()
    backoff = EndpointBackoff(clock)
    backoff.note_refused('e', 2)
    assert not backoff.allows('e')
    assert backoff.seconds_left('e') == 2
    clock.now += 2
    allowed = []
    while True:
        count = 0
        while count <= MAX_RAMP_REQUESTS and backoff.allows('e'):
            backoff.begin('e')
            count += 1
        for _ in range(count):
            backoff.end('e')
        if count > MAX_RAMP_REQUESTS:
            break
        allowed.append(count)
        backoff.note_answered('e')
    assert allowed == [1, 2, 4, 8, 16, 32, 64]


def test_answers_during_a_pause_do_not_end_it() -> None:
    clock = Clock()
    backoff = EndpointBackoff(clock)
    backoff.note_refused('e', 2)
    backoff.note_refused('e', 1)
    for _ in range(10):
        backoff.note_answered('e')
    clock.now += 1.5
    assert not backoff.allows('e')
    backoff.drop('e')
    assert backoff.allows('e')


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('2', 2),
        ('0.25', 0.25),
        ('  3 ', 3),
        ('0', 0),
        ('-5', 0),
        ('', 0),
        ('soon', 0),
        ('nan', 0),
        ('inf', 0),
        ('1e3', 0),
        ('Fri, 04 Dec 2026 16:00:00 GMT', 0),
        ('9' * 400, 0),
        ('99999999', 99_999_999),
    ],
)
def test_retry_after_is_a_number_of_seconds_or_ignored(
    text: str, seconds: float
) -> None:
    assert read_retry_after(text) == seconds


def test_a_pause_is_bounded() -> None:
    clock = Clock()
    backoff = EndpointBackoff(clock)
    backoff.note_refused('e', 99_999_999)
    assert backoff.seconds_left('e') == MAX_BACKOFF_SECONDS
