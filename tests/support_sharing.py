"""Routers with real queues and dispatchers, and engines that just wait."""

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
    sites: tuple[str, ...] = ('a', 'b', 'c'),
    engines: int = 9,
) -> Document:
    endpoints = {
        f'e{index}': Endpoint(
            f'http://127.0.0.1:{1000 + index}', sites[index % len(sites)]
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
        {site: DataCentre('region') for site in sites},
        {'chat': service},
    )


class FakeEngine:
    """Counts what it holds; may restart, or turn cold and slow.

    A cold engine bears ``COLD_LIMIT`` until it has answered ``WARM_AFTER``
    in time; what it is given beyond that gets its first token far too late.
    """

    def __init__(self) -> None:
        self.held = 0
        self.most = 0
        self.bears = WARM_LIMIT
        self.broke_at = float('inf')
        self.overloads: list[float] = []
        self._answered = 0
        self._cold_since: float = 0
        self._running: set[asyncio.Future[Outcome]] = set()

    def turn_cold(self) -> None:
        """Bear little from now on, telling nobody."""
        self.bears = COLD_LIMIT
        self._answered = 0
        self._cold_since = asyncio.get_running_loop().time()

    def restart(self) -> None:
        """Break off what runs and turn cold."""
        self.turn_cold()
        for fut in self._running:
            if not fut.done():
                fut.set_result(Outcome.BROKEN)

    async def serve(self, seconds: float) -> tuple[Outcome, int]:
        """Return how it ended and the first token's delay in ms."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.held += 1
        self.most = max(self.most, self.held)
        first_token_ms = 100
        if self.held > self.bears:
            self.overloads.append(began)
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
            self.held -= 1
        if began >= self._cold_since or outcome is Outcome.BROKEN:
            self._note(outcome, first_token_ms)
        return outcome, first_token_ms

    def _note(self, outcome: Outcome, first_token_ms: int) -> None:
        if outcome is Outcome.BROKEN or first_token_ms == VERY_LATE_MS:
            now = asyncio.get_running_loop().time()
            self.broke_at = min(self.broke_at, now)
        elif self.bears == COLD_LIMIT:
            self._answered += 1
            if self._answered >= WARM_AFTER:
                self.bears = WARM_LIMIT


def finish(fut: asyncio.Future[Outcome]) -> None:
    if not fut.done():
        fut.set_result(Outcome.DONE)


class Fleet:
    """Routers over a fake network, sharing fake engines."""

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

    def start(self, host: str, site: str) -> None:
        loop = asyncio.get_running_loop()
        nowhere = Address('127.0.0.1', 0)
        cfg = Settings(host, site, nowhere, nowhere, nowhere, StoreSettings(()))
        links = self.network.join(host, site)
        metrics = Metrics(host)
        clock = HybridClock(lambda: int(loop.time() * 1000) + 1)
        timeline = Timeline(host, site, clock)
        self.queues[host] = RequestQueues(cfg, links, metrics)
        self.roles[host] = DispatchRoles(cfg, links, metrics, timeline)
        for part in (self.queues[host], self.roles[host]):
            part.set_revision(Revision(1, self.document))
            self.tasks[host].append(loop.create_task(part.run()))

    def put_in_force(self, number: int, document: Document) -> None:
        self.document = document
        for host in self.queues:
            self.queues[host].set_revision(Revision(number, document))
            self.roles[host].set_revision(Revision(number, document))

    def kill(self, host: str) -> None:
        """End a router at once, with its connections."""
        for task in self.tasks.pop(host, []):
            task.cancel()
        self.queues.pop(host)
        self.roles.pop(host)
        self.network.kill(host)

    def backlog(self, host: str, account: str, depth: int, tokens: int) -> None:
        """Keep ``depth`` requests of an account at a router at all times."""
        loop = asyncio.get_running_loop()
        for _ in range(depth):
            task = loop.create_task(self._ask_again(host, account, tokens))
            self.tasks[host].append(task)

    async def _ask_again(self, host: str, account: str, tokens: int) -> None:
        while True:
            await self.ask(host, account, tokens)

    async def ask(self, host: str, account: str, tokens: int) -> float:
        """Send one request through; return how long it waited."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        slot = await self.queues[host].acquire(self.make_work(account))
        if isinstance(slot, Refusal):
            self.refused.append(slot)
            await asyncio.sleep(slot.retry_after or 0.1)
            return loop.time() - began
        waited = loop.time() - began
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
        """Let time pass, keeping what each account was served."""
        for _ in range(round(seconds / step)):
            await asyncio.sleep(step)
            self.history.append(dict(self.served))

    def gap(self, since: int = 0) -> float:
        """Return the largest gap in seconds of the pool's whole service."""
        shares = {n: a.share for n, a in self.document.accounts.items()}
        least = min(shares.values())
        rate = len(self.engines) * WARM_LIMIT * OUTPUT_TOKENS / SECONDS
        base = self.history[since]
        worst = 0.0
        for now in self.history[since:]:
            levels = [
                (now.get(name, 0) - base.get(name, 0)) * least / share / rate
                for name, share in shares.items()
            ]
            worst = max(worst, max(levels) - min(levels))
        return worst

    def utilisation(self, since: int) -> float:
        """Return served over possible work from one sample on."""
        span = (len(self.history) - 1 - since) * 0.1
        served = sum(self.history[-1].values())
        served -= sum(self.history[since].values())
        rate = len(self.engines) * WARM_LIMIT * OUTPUT_TOKENS / SECONDS
        return served / (span * rate)

    def with_site(self, site: str, in_service: bool) -> Document:
        sites = dict(self.document.data_centres)
        sites[site] = DataCentre('region', in_service)
        return replace(self.document, data_centres=sites)
