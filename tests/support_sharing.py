"""A simulated fleet: real queues and dispatchers, and fake engines."""

import asyncio
import random
from collections import defaultdict
from dataclasses import replace

from support_links import FakeNetwork

from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.metrics import Metrics
from sesamespoke.queues import RequestQueues
from sesamespoke.roles import DispatchRoles
from sesamespoke.settings import Address, Settings, StoreSettings
from sesamespoke.timeline import HybridClock, Timeline
from sesamespoke.verdicts import Refusal
from sesamespoke.work import Usage, Work
from sesamespoke.world import (
    Account,
    Capacity,
    DataCentre,
    Document,
    Endpoint,
    Limit,
    Pool,
    Revision,
    Service,
    ServiceKind,
)

COLD_LIMIT = 2
WARM_LIMIT = 16
WARM_AFTER = 8
VERY_LATE_MS = 3000
OUTPUT_TOKENS = 100
SECONDS = 0.25


def make_document(
    accounts: dict[str, float],
    data_centres: tuple[str, ...] = ('a', 'b', 'c'),
    engines: int = 9,
) -> Document:
    endpoints = {
        f'e{index}': Endpoint(
            f'http://127.0.0.1:{1000 + index}',
            data_centres[index % len(data_centres)],
        )
        for index in range(engines)
    }
    limit = Limit(cold=COLD_LIMIT, warm=WARM_LIMIT, warm_after=WARM_AFTER)
    service = Service(
        ServiceKind.LANGUAGE, 'pool', limit, endpoints, deadline_seconds=30
    )
    return Document(
        Capacity({'pool': Pool(output_token=0.01)}),
        {name: Account(share, ()) for name, share in accounts.items()},
        {data_centre: DataCentre('region') for data_centre in data_centres},
        {'chat': service},
    )


class FakeEngine:
    """An engine that counts its requests and can restart or turn cold.

    The capacity of a cold engine is ``COLD_LIMIT`` until it has answered
    ``WARM_AFTER`` requests in time. A request beyond the capacity gets its
    first token ``VERY_LATE_MS`` after its start.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak_in_flight = 0
        self.capacity = WARM_LIMIT
        self.first_failure_at = float('inf')
        self.overloads: list[float] = []
        self._timely_count = 0
        self._cold_since: float = 0
        self._running: set[asyncio.Future[Outcome]] = set()

    def turn_cold(self) -> None:
        """Lower the capacity to the cold limit without reporting it."""
        self.capacity = COLD_LIMIT
        self._timely_count = 0
        self._cold_since = asyncio.get_running_loop().time()

    def restart(self) -> None:
        """Fail the running requests and turn cold."""
        self.turn_cold()
        for fut in self._running:
            if not fut.done():
                fut.set_result(Outcome.BROKEN)

    async def serve(self, seconds: float) -> tuple[Outcome, int]:
        """Return the outcome and the delay of the first token in ms."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        first_token_ms = 100
        if self.in_flight > self.capacity:
            self.overloads.append(started_at)
            first_token_ms = VERY_LATE_MS
        seconds = max(seconds, first_token_ms / 1000)
        fut: asyncio.Future[Outcome] = loop.create_future()
        self._running.add(fut)
        timer = loop.call_later(seconds, finish, fut)
        try:
            outcome = await fut
        finally:
            timer.cancel()
            self._running.discard(fut)
            self.in_flight -= 1
        if started_at >= self._cold_since or outcome is Outcome.BROKEN:
            self._record(outcome, first_token_ms)
        return outcome, first_token_ms

    def _record(self, outcome: Outcome, first_token_ms: int) -> None:
        if outcome is Outcome.BROKEN or first_token_ms == VERY_LATE_MS:
            now = asyncio.get_running_loop().time()
            self.first_failure_at = min(self.first_failure_at, now)
        elif self.capacity == COLD_LIMIT:
            self._timely_count += 1
            if self._timely_count >= WARM_AFTER:
                self.capacity = WARM_LIMIT


def finish(fut: asyncio.Future[Outcome]) -> None:
    if not fut.done():
        fut.set_result(Outcome.DONE)


class Fleet:
    """Routers on a fake network that share fake engines."""

    def __init__(self, document: Document, seed: int = 1) -> None:
        self.document = document
        self.network = FakeNetwork()
        self.random = random.Random(seed)
        names = document.services['chat'].endpoints
        self.engines = {name: FakeEngine() for name in names}
        self.served: defaultdict[str, float] = defaultdict(float)
        self.history: list[dict[str, float]] = []
        self.queues: dict[str, RequestQueues] = {}
        self.roles: dict[str, DispatchRoles] = {}
        self.tasks: defaultdict[str, list[asyncio.Task[None]]] = defaultdict(
            list
        )
        self.refused: list[Refusal] = []
        self._number = 0

    def start(self, host: str, data_centre: str) -> None:
        loop = asyncio.get_running_loop()
        unused_address = Address('127.0.0.1', 0)
        cfg = Settings(
            host,
            data_centre,
            unused_address,
            unused_address,
            unused_address,
            StoreSettings(()),
        )
        links = self.network.join(host, data_centre)
        metrics = Metrics(host)
        clock = HybridClock(lambda: int(loop.time() * 1000) + 1)
        timeline = Timeline(host, data_centre, clock)
        self.queues[host] = RequestQueues(cfg, links, metrics)
        self.roles[host] = DispatchRoles(cfg, links, metrics, timeline)
        for component in (self.queues[host], self.roles[host]):
            component.set_revision(Revision(1, self.document))
            self.tasks[host].append(loop.create_task(component.run()))

    def apply_document(self, number: int, document: Document) -> None:
        self.document = document
        for host in self.queues:
            self.queues[host].set_revision(Revision(number, document))
            self.roles[host].set_revision(Revision(number, document))

    def kill(self, host: str) -> None:
        """Stop a router abruptly and close its connections."""
        for task in self.tasks.pop(host, []):
            task.cancel()
        self.queues.pop(host)
        self.roles.pop(host)
        self.network.kill(host)

    def keep_backlog(
        self, host: str, account: str, depth: int, tokens: int
    ) -> None:
        """Keep ``depth`` requests of an account pending at all times."""
        loop = asyncio.get_running_loop()
        for _ in range(depth):
            task = loop.create_task(
                self._repeat_requests(host, account, tokens)
            )
            self.tasks[host].append(task)

    async def _repeat_requests(
        self, host: str, account: str, tokens: int
    ) -> None:
        while True:
            await self.send_request(host, account, tokens)

    async def send_request(self, host: str, account: str, tokens: int) -> float:
        """Send one request; return the seconds it waited for a slot."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        slot = await self.queues[host].acquire(self.make_work(account))
        if isinstance(slot, Refusal):
            self.refused.append(slot)
            await asyncio.sleep(slot.retry_after or 0.1)
            return loop.time() - started_at
        waited = loop.time() - started_at
        seconds = SECONDS * tokens / OUTPUT_TOKENS
        outcome, first_token_ms = Outcome.CANCELLED, -1
        usage = Usage()
        engine = self.engines[slot.endpoint_name]
        try:
            outcome, first_token_ms = await engine.serve(seconds)
            usage = Usage(output_tokens=tokens)
            self.served[account] += tokens
        finally:
            if host in self.queues:
                ending = SlotUse(outcome, first_token_ms, usage)
                self.queues[host].release(slot, ending)
        return waited

    def make_work(self, account: str) -> Work:
        loop = asyncio.get_running_loop()
        service = self.document.services['chat']
        self._number += 1
        return Work(
            f'r{self._number}',
            account,
            'chat',
            service,
            'POST',
            service.path,
            {},
            b'',
            loop.time() + service.deadline_seconds,
            b'',
        )

    async def sample(self, seconds: float, step: float = 0.1) -> None:
        """Let time pass and sample the tokens served to each account."""
        for _ in range(round(seconds / step)):
            await asyncio.sleep(step)
            self.history.append(dict(self.served))

    def gap(self, since: int = 0) -> float:
        """Return the largest gap in service between two accounts.

        Service is divided by the account's share. The gap is in seconds of
        the whole pool's throughput, from the sample ``since`` on.
        """
        shares = {n: a.share for n, a in self.document.accounts.items()}
        least = min(shares.values())
        rate = len(self.engines) * WARM_LIMIT * OUTPUT_TOKENS / SECONDS
        base = self.history[since]
        largest = 0.0
        for sample in self.history[since:]:
            services = [
                (sample.get(name, 0) - base.get(name, 0)) * least / share / rate
                for name, share in shares.items()
            ]
            largest = max(largest, max(services) - min(services))
        return largest

    def utilisation(self, since: int) -> float:
        """Return served over possible work from the sample ``since`` on."""
        span = (len(self.history) - 1 - since) * 0.1
        served = sum(self.history[-1].values())
        served -= sum(self.history[since].values())
        rate = len(self.engines) * WARM_LIMIT * OUTPUT_TOKENS / SECONDS
        return served / (span * rate)

    def with_data_centre(self, data_centre: str, in_service: bool) -> Document:
        data_centres = dict(self.document.data_centres)
        data_centres[data_centre] = DataCentre('region', in_service)
        return replace(self.document, data_centres=data_centres)
