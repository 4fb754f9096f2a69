"""An account's share doesn't depend on how many routers its callers reach."""

import asyncio
import itertools
import random
from collections import Counter
from functools import partial

import pytest
from support import run
from support_serving_jobs import job_of

from sesamespoke.serving.admission import AdmissionQueue, cost_of
from sesamespoke.serving.fairness import MIN_UTILISATION_LIMIT, FairShares
from sesamespoke.serving.job import Job
from sesamespoke.verdicts import Refusal

SLOTS = 40
MOST_USED = 2 * SLOTS
"""Requests that endpoints take at most, beyond what they do in time."""
WORK_SECONDS = (0.5, 0.35, 0.6, 0.45, 0.55, 0.4, 0.65)
"""Durations that differ, so that slots aren't all released at once."""
REPORT_SECONDS = 0.1
SETTLE_SECONDS = 6
MEASURED_SECONDS = 12
HOT_RATE = 120.0
"""Requests a second of each hot account; all slots together serve 80."""
SMALL_RATE = 5.0
FULL_RATE = SLOTS / (sum(WORK_SECONDS) / len(WORK_SECONDS))
JOB_COST = cost_of(job_of('a'))


class RouterFleet:
    """Routers whose queues compete for the same slots."""

    def __init__(
        self, routers: int, stated_capacity: float, excess: float = 1
    ) -> None:
        self.excess = excess
        self.loop = asyncio.get_running_loop()
        self.shares = [
            FairShares(self.loop.time, lambda: stated_capacity)
            for _ in range(routers)
        ]
        self.queues = [self.create_queue(number) for number in range(routers)]
        self.used_slots = 0
        self.granted: Counter[str] = Counter()
        self.durations = itertools.cycle(WORK_SECONDS)
        self.unreported: list[Counter[tuple[str, str]]] = [
            Counter() for _ in range(routers)
        ]

    def create_queue(self, router: int) -> AdmissionQueue[str]:
        queue = AdmissionQueue[str](
            self.shares[router], self.loop.time, self.release
        )

        def record(kind: str, account: str, cost: float) -> None:
            self.unreported[router][kind, account] += round(cost)

        queue.on_request = lambda account, cost: record('asked', account, cost)
        queue.on_grant = lambda account, cost: record('got', account, cost)
        return queue

    def reserve(
        self, router: int, job: Job, utilisation_limit: float
    ) -> str | None:
        seen = self.used_slots * (self.excess if router == 0 else 1)
        if seen >= SLOTS * utilisation_limit or self.used_slots >= MOST_USED:
            return None
        self.used_slots += 1
        return job.request_id

    def release(self, grant: str) -> None:
        self.used_slots -= 1

    async def send_request(self, account: str, router: int) -> None:
        now = self.loop.time()
        job = job_of(account, arrived_at=now, request_id=f'{now}')
        grant = await self.queues[router].admit(
            job, partial(self.reserve, router), rank=random.random()
        )
        if isinstance(grant, Refusal):
            return
        self.granted[account] += 1
        await asyncio.sleep(next(self.durations))
        self.release(grant)
        self.queues[router].schedule_soon()

    async def send_load(
        self, account: str, rate: float, routers: list[int]
    ) -> None:
        """Send requests to some routers in turn, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for router in itertools.cycle(routers):
                group.create_task(self.send_request(account, router))
                await asyncio.sleep(1 / rate)

    async def exchange_reports(self) -> None:
        """Tell each router what the others were asked and have granted."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            reports = self.unreported
            self.unreported = [Counter() for _ in reports]
            total = Counter[tuple[str, str]]()
            for report in reports:
                total += report
            for shares, own in zip(self.shares, reports, strict=True):
                for (kind, account), cost in (total - own).items():
                    add = {
                        'asked': shares.add_demand,
                        'got': shares.add_usage,
                    }[kind]
                    add(account, cost)


async def play(
    routers: int, stated_capacity: float, excess: float = 1
) -> Counter[str]:
    """Return how many requests of each account were served.

    The first router takes endpoints to be ``excess`` times as full as they
    are.
    """
    fleet = RouterFleet(routers, stated_capacity, excess)
    everywhere = list(range(routers))
    loads = [
        asyncio.create_task(load)
        for load in (
            fleet.exchange_reports(),
            fleet.send_load('one', HOT_RATE, [0]),
            fleet.send_load('all', HOT_RATE, everywhere),
            fleet.send_load('small', SMALL_RATE, everywhere),
        )
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    settled = fleet.granted.copy()
    await asyncio.sleep(MEASURED_SECONDS)
    served = fleet.granted - settled
    for load in loads:
        load.cancel()
    await asyncio.gather(*loads, return_exceptions=True)
    return served


@pytest.mark.parametrize('routers', [2, 9, 60])
@pytest.mark.parametrize('stated_part', [0, 0.3, 1, 3])
def test_account_at_one_router_gets_less_than_one_at_all(
    routers: int, stated_part: float
) -> None:
    """Two accounts far above their share had the same utilisation limit.

    The stated capacity (here a part of the real one; 0 if unknown) is less
    than that of engines with many cached prefixes, and more than that of
    engines of which some are down. Where it is less, accounts above their
    share leave a part of each engine to others.
    """
    stated = stated_part * FULL_RATE * JOB_COST
    served = run(play(routers, stated))
    assert 0.8 <= served['one'] / served['all'] <= 1.25
    assert served['small'] >= 0.9 * SMALL_RATE * MEASURED_SECONDS
    used = MIN_UTILISATION_LIMIT if 0 < stated_part < 1 else 0.8
    assert served.total() >= used * FULL_RATE * MEASURED_SECONDS


@pytest.mark.parametrize('routers', [9, 60])
@pytest.mark.parametrize('stated_part', [0, 1, 3])
@pytest.mark.parametrize('excess', [1.3, 1.8])
def test_account_is_starved_by_what_its_router_takes_endpoints_for(
    routers: int, stated_part: float, excess: float
) -> None:
    """A busy router saw full endpoints where all others saw room.

    What it observes of endpoints includes its own lateness. The rule gives
    an account half of what the best served one gets, if it asks for as much.
    """
    stated = stated_part * FULL_RATE * JOB_COST
    served = run(play(routers, stated, excess))
    assert served['one'] / served['all'] >= 0.5
    assert served['small'] >= 0.9 * SMALL_RATE * MEASURED_SECONDS
