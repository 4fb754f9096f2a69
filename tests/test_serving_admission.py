"""Waiting and refusing under more load than the endpoints bear."""

import asyncio
import itertools
from collections import Counter
from dataclasses import replace

from support import run
from support_serving_jobs import STREAM_ROUTE, Clock, job_of

from sesamespoke.serving.admission import (
    HOLD_FRACTION,
    MAX_RETRY_AFTER,
    SPREAD,
    TRIED_REQUESTS,
    WaitingRoom,
)
from sesamespoke.serving.fairness import MIN_ROOM, FairShares
from sesamespoke.serving.job import Job
from sesamespoke.verdicts import Refusal, Verdict

PLACES = 10
WORK_SECONDS = (0.5, 0.35, 0.6, 0.45, 0.55, 0.4, 0.65)
"""Of differing length, so that places are not all free at once."""


class Desk:
    """A few places; whoever is given one keeps it for a while."""

    def __init__(self, routers: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.shares = [FairShares(self.loop.time) for _ in range(routers)]
        self.rooms = [self.open_room(shares) for shares in self.shares]
        self.free = PLACES
        self.given: Counter[str] = Counter()
        self.work = itertools.cycle(WORK_SECONDS)

    def open_room(self, shares: FairShares) -> WaitingRoom[str]:
        room = WaitingRoom[str](shares, self.loop.time, self.give_back)
        room.on_grant = self.tell_grant
        return room

    def tell_grant(self, account: str, cost: float) -> None:
        self.given[account] += 1

    def place(self, job: Job, fill: float) -> str | None:
        if self.free <= PLACES * (1 - fill):
            return None
        self.free -= 1
        return job.request_id

    def give_back(self, grant: str) -> None:
        self.free += 1

    async def ask(self, account: str, router: int = 0) -> str | Refusal:
        now = self.loop.time()
        job = job_of(account, arrived_at=now, request_id=f'{now}')
        grant = await self.rooms[router].admit(job, self.place)
        if not isinstance(grant, Refusal):
            await asyncio.sleep(next(self.work))
            self.give_back(grant)
            for room in self.rooms:
                room.pump()
        return grant

    async def press(self, account: str, rate: float, router: int) -> None:
        """Ask again and again, not waiting for answers."""
        async with asyncio.TaskGroup() as group:
            for _ in range(int(rate * 12)):
                group.create_task(self.ask(account, router))
                await asyncio.sleep(1 / rate)

    async def gossip(self) -> None:
        """Let routers know of each other what reports would tell."""
        told = Counter[str]()
        while True:
            await asyncio.sleep(0.1)
            waiting = [room.accounts for room in self.rooms]
            news = self.given - told
            told = self.given.copy()
            for shares in self.shares:
                for number, accounts in enumerate(waiting):
                    shares.set_waiting(str(number), accounts)
                for account, count in news.items():
                    shares.add(account, count * 5000)


def test_room_is_given_at_once() -> None:
    async def steps() -> None:
        desk = Desk()
        began = desk.loop.time()
        assert not isinstance(await desk.ask('a'), Refusal)
        assert desk.loop.time() - began == WORK_SECONDS[0]

    run(steps())


def test_without_room_a_request_is_refused_as_not_run_within_its_hold() -> None:
    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        began = desk.loop.time()
        refused = await desk.ask('a')
        assert isinstance(refused, Refusal)
        assert refused.verdict is Verdict.NOT_RUN
        assert refused.retry_after is not None
        assert 0 < refused.retry_after <= MAX_RETRY_AFTER * (1 + SPREAD)
        held = desk.loop.time() - began
        assert held <= STREAM_ROUTE.objective * HOLD_FRACTION + 0.05

    run(steps())


def test_a_retry_is_held_as_long_again() -> None:
    """A cut stream was refused at once, though room came soon after."""

    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        job = job_of('a', arrived_at=desk.loop.time())
        await asyncio.sleep(2)
        room = desk.rooms[0]
        fresh = await room.admit(job, desk.place)
        assert isinstance(fresh, Refusal)
        retry = asyncio.create_task(room.admit(job, desk.place, is_retry=True))
        await asyncio.sleep(0.2)
        desk.free = 1
        assert not isinstance(await retry, Refusal)

    run(steps())


def test_a_queue_that_can_not_move_in_time_refuses_at_once() -> None:
    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        began = desk.loop.time()
        asked = [asyncio.create_task(desk.ask('a')) for _ in range(100)]
        await asyncio.sleep(0.01)
        at_once = [task for task in asked if task.done()]
        assert len(at_once) > 50
        await asyncio.gather(*asked)
        assert desk.loop.time() - began < 1

    run(steps())


def test_a_caller_that_leaves_with_its_grant_gives_the_place_back() -> None:
    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        asked = asyncio.create_task(desk.ask('a'))
        await asyncio.sleep(0.01)
        desk.free = 1
        desk.rooms[0].pump()
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        assert desk.free == 1
        assert not desk.rooms[0].waiting

    run(steps())


def test_a_flood_does_not_take_the_place_of_others() -> None:
    async def steps() -> None:
        desk = Desk()
        async with asyncio.TaskGroup() as group:
            group.create_task(desk.press('flood', 200, 0))
            group.create_task(desk.press('small', 5, 0))
        assert desk.given['small'] >= 0.9 * 5 * 12

    run(steps())


def test_an_account_behind_one_router_gets_its_share_of_a_spread_one() -> None:
    async def steps() -> None:
        desk = Desk(routers=5)
        gossip = asyncio.create_task(desk.gossip())
        async with asyncio.TaskGroup() as group:
            group.create_task(desk.press('one', 50, 0))
            for router in range(5):
                group.create_task(desk.press('all', 30, router))
        gossip.cancel()
        assert desk.given['one'] >= desk.given['all'] / 2

    run(steps())


def test_the_next_request_goes_where_the_first_has_no_room() -> None:
    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        room = desk.rooms[0]
        placed: list[str] = []

        def place(job: Job, fill: float) -> str | None:
            if job.request_id != '3' or placed:
                return None
            placed.append(job.request_id)
            return job.request_id

        jobs = [
            job_of('a', arrived_at=desk.loop.time(), request_id=f'{number}')
            for number in range(TRIED_REQUESTS)
        ]
        tasks = [asyncio.create_task(room.admit(job, place)) for job in jobs]
        await asyncio.sleep(0.1)
        assert placed == ['3']
        assert tasks[3].result() == '3'
        for task in tasks:
            task.cancel()

    run(steps())


def test_the_more_urgent_request_of_an_account_goes_first() -> None:
    async def steps() -> None:
        desk = Desk()
        desk.free = 0
        now = desk.loop.time()
        patient = replace(STREAM_ROUTE, objective=2)
        order: list[str] = []

        async def ask(job: Job) -> None:
            grant = await desk.rooms[0].admit(job, desk.place)
            if not isinstance(grant, Refusal):
                order.append(grant)

        later = job_of('a', arrived_at=now, request_id='l', route=patient)
        sooner = job_of('a', arrived_at=now, request_id='s')
        tasks = [asyncio.create_task(ask(job)) for job in (later, sooner)]
        await asyncio.sleep(0)
        desk.free = 1
        await asyncio.sleep(0.1)
        assert order == ['s']
        for task in tasks:
            task.cancel()

    run(steps())


def test_room_shrinks_with_the_lead_and_not_without_rivals() -> None:
    clock = Clock()
    shares = FairShares(clock)
    shares.add('far', 1_000_000)
    shares.add('near', 120_000)
    assert shares.room('far') == 1
    shares.set_waiting('h', ('poor',))
    shares.add('poor', 80_000)
    assert shares.room('far') == MIN_ROOM
    assert shares.room('poor') == 1
    assert MIN_ROOM < shares.room('near') < 1 or shares.room('near') == 1
    clock.now += 1
    assert shares.room('far') == 1
