"""Hosts that share model engines, with callers, in virtual time.

Each host decides with the product's own queue, chooser and shares. Engines
crash and stay listed, or answer 500 at once. What accounts ask for and what
endpoints begin for them is counted by the second.
"""

import asyncio
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, replace
from functools import partial

from sesamespoke.answers import Answer
from sesamespoke.attempts import NOT_CONNECTED, Attempt
from sesamespoke.bench.engine_model import EngineModel, EngineSpeed
from sesamespoke.limits import Outcome
from sesamespoke.serving.admission import AdmissionQueue, cost_of
from sesamespoke.serving.catalog import (
    CallKind,
    Catalog,
    EngineSpec,
    Route,
    RoutedService,
    WeightedService,
)
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.directory import Directory, ListedEndpoint, Listing
from sesamespoke.serving.ejections import Trial
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.job import Job, Prompt, PromptPart
from sesamespoke.verdicts import Refusal, Verdict

SERVICE = RoutedService('llm', 0, EngineSpec(64, fetch_ms=0.0003))
ENGINE_TOKENS_PER_SECOND = 46_700
"""The stated capacity of one engine."""
SPEEDS = (0.55, 1.2, 1.2, 1.2)
WINDOW_SECONDS = 6
REPORT_SECONDS = 0.1
CONNECT_SECONDS = 0.003
ERROR_SECONDS = 0.005
MAX_SENDS = 3
FAILED = Attempt(
    Verdict.MAY_HAVE_RUN,
    Outcome.LATE,
    answer=Answer(500, (), b''),
    first_token_ms=5,
)


@dataclass(frozen=True)
class Kind:
    """Requests of one kind: rate, tokens, known prefixes, times in seconds."""

    name: str
    rate: float
    shared: int
    own: int
    output: int
    prefixes: int
    objective: float
    deadline: float
    attempts: int = 1


KINDS = (
    Kind('plan', 109, 5382, 6610, 384, 760, 1, 12),
    Kind('chat', 159, 198, 628, 288, 1111, 0.5, 12, 2),
    Kind('tag', 210, 568, 1800, 24, 653, 0.5, 3),
)
RATES = [kind.rate for kind in KINDS]
MEAN_COST = sum(
    kind.rate * (kind.shared + kind.own + 2 * kind.output) for kind in KINDS
) / sum(RATES)


@dataclass(frozen=True)
class Short:
    """What an account got of what it was owed in one window."""

    ratio: float
    account: str
    start: int


class Host:
    """One router's decisions."""

    def __init__(self, name: str, fleet: 'FleetModel') -> None:
        clock = fleet.loop.time
        self.name = name
        catalog = Catalog(1, {}, {SERVICE.name: SERVICE})
        self.directory = Directory(clock)
        self.chooser = Chooser(
            name, lambda: catalog, self.directory, clock, lambda: fleet.names
        )
        self.chooser.outliers.ejections.on_trial = partial(
            fleet.tell_trial, name
        )
        self.shares = FairShares(clock, lambda: fleet.capacity)
        self.queue = AdmissionQueue[Reservation](
            self.shares, clock, self.chooser.release
        )
        self.queue.on_request = self.note_demand
        self.queue.on_grant = self.note_usage
        self.demand: Counter[str] = Counter()
        self.usage: Counter[str] = Counter()

    def note_demand(self, account: str, cost: float) -> None:
        self.demand[account] += round(cost)

    def note_usage(self, account: str, cost: float) -> None:
        self.usage[account] += round(cost)

    def reserve(
        self, tried: frozenset[str], job: Job, utilisation_limit: float
    ) -> Reservation | None:
        return self.chooser.reserve(job, utilisation_limit, tried)


class FleetModel:
    """Hosts, engines and what accounts asked for and got."""

    def __init__(self, hosts: int, engines: int, seed: int) -> None:
        random.seed(seed)
        self.loop = asyncio.get_running_loop()
        self.names = frozenset(f'h-{number}' for number in range(hosts))
        self.capacity = engines * ENGINE_TOKENS_PER_SECOND
        self.engines = {
            f'e-{number}': EngineModel(
                EngineSpeed(
                    cache_tokens=536_160,
                    step=3.03 / speed,
                    step_per_slot=0.121 / speed,
                    step_per_context=2.44e-6,
                    read_per_ms=92.1 * speed,
                )
            )
            for number, speed in zip(
                range(engines), itertools.cycle(SPEEDS), strict=False
            )
        }
        self.gone: set[str] = set()
        self.lying: set[str] = set()
        self.revisions = itertools.count(1)
        self.hosts = [Host(name, self) for name in sorted(self.names)]
        self.list_endpoints()
        self.asked: dict[str, Counter[int]] = defaultdict(Counter)
        self.got: dict[str, Counter[int]] = defaultdict(Counter)
        self.short: dict[str, set[int]] = defaultdict(set)
        self.errors = 0

    def list_endpoints(self) -> None:
        """Let all hosts know which engines are there."""
        listed = tuple(
            ListedEndpoint(name, 'llm', f'{name}:1', 'north', slots=64)
            for name in self.engines
            if name not in self.gone
        )
        revision = next(self.revisions)
        for host in self.hosts:
            host.directory.replace(Listing(revision, listed))

    async def exchange_reports(self) -> None:
        """Tell each host what the others have in flight, asked and got."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            running: Counter[str] = Counter()
            prefill: Counter[str] = Counter()
            for host in self.hosts:
                for name, count, prefill_ms in host.chooser.loads.rows():
                    running[name] += count
                    prefill[name] += prefill_ms
            rows = tuple(
                (name, count, prefill[name]) for name, count in running.items()
            )
            for host in self.hosts:
                loads = host.chooser.loads
                loads.accept_report('others', loads.subtract_own(rows))
            self.exchange_amounts()
            self.exchange_errors()

    def exchange_errors(self) -> None:
        reports = [host.chooser.outliers.take_report() for host in self.hosts]
        for host in self.hosts:
            outliers = host.chooser.outliers
            outliers.judge()
            for other, rows in zip(self.hosts, reports, strict=True):
                if rows and other is not host:
                    outliers.add(rows)

    def tell_trial(self, sender: str, trial: Trial) -> None:
        for host in self.hosts:
            if host.name != sender:
                host.chooser.outliers.hear_trial(sender, trial)

    def exchange_amounts(self) -> None:
        demand: Counter[str] = Counter()
        usage: Counter[str] = Counter()
        for host in self.hosts:
            demand.update(host.demand)
            usage.update(host.usage)
        for host in self.hosts:
            for account, cost in demand.items():
                host.shares.add_demand(account, cost - host.demand[account])
            for account, cost in usage.items():
                host.shares.add_usage(account, cost - host.usage[account])
            host.demand.clear()
            host.usage.clear()

    async def send_load(
        self, account: str, rate: float, hosts: list[Host]
    ) -> None:
        """Send requests of so many tokens per second, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                await asyncio.sleep(random.expovariate(rate / MEAN_COST))
                kind = random.choices(KINDS, RATES)[0]
                job = self.create_job(f'{account}-{number}', account, kind)
                group.create_task(self.call(job, random.choice(hosts)))

    def create_job(self, request_id: str, account: str, kind: Kind) -> Job:
        own = round(kind.own * min(6, random.lognormvariate(-0.5, 1)))
        prefix = f'{kind.name}-{random.randrange(kind.prefixes)}'
        parts = (PromptPart(prefix, kind.shared), PromptPart(request_id, own))
        route = Route(
            kind.name,
            'a.example',
            '/',
            CallKind.STREAM,
            (WeightedService('llm', 1),),
            kind.deadline,
            kind.objective,
            max_attempts=kind.attempts,
            resumable=kind.attempts > 1,
            max_gap=0.4,
        )
        now = self.loop.time()
        return Job(
            request_id,
            account,
            'llm',
            route,
            'POST',
            '/',
            (),
            b'',
            now,
            now + kind.deadline,
            b'',
            prompt=Prompt(parts, kind.shared + own, 0, kind.output),
        )

    async def call(self, job: Job, host: Host) -> None:
        """Send a request, and once more if it is refused or fails."""
        for _ in range(2):
            retry_after = await self.serve(job, host)
            if retry_after is None:
                return
            self.short[job.account].add(int(self.loop.time()))
            await asyncio.sleep(retry_after)
            now = self.loop.time()
            job = replace(job, arrived_at=now)

    async def serve(self, job: Job, host: Host) -> float | None:
        """Return after which time to send again, or None if it was served."""
        cost = round(cost_of(job))
        self.asked[job.account][int(self.loop.time())] += cost
        tried: frozenset[str] = frozenset()
        runs = 0
        rank = random.random()
        while True:
            grant = await host.queue.admit(
                job,
                partial(host.reserve, tried),
                is_retry=runs > 0,
                was_tried=bool(tried),
                rank=rank,
            )
            if isinstance(grant, Refusal):
                return grant.retry_after
            verdict = await self.attempt(job, host, grant)
            if verdict is Verdict.RAN:
                return None
            runs += verdict is Verdict.MAY_HAVE_RUN
            tried |= {grant.endpoint.name}
            if runs == job.route.max_attempts or len(tried) == MAX_SENDS:
                return 0.1

    async def attempt(
        self, job: Job, host: Host, grant: Reservation
    ) -> Verdict:
        name, granted_at = grant.endpoint.name, self.loop.time()
        if name in self.gone:
            await asyncio.sleep(CONNECT_SECONDS)
            attempt = NOT_CONNECTED
        elif name in self.lying:
            await asyncio.sleep(ERROR_SECONDS)
            attempt = FAILED
            self.errors += 1
        else:
            attempt = await self.generate(job, host, grant)
        if attempt.verdict is Verdict.NOT_RUN:
            host.queue.take_back(job, granted_at)
        else:
            cost = round(cost_of(job))
            self.got[job.account][int(granted_at)] += cost
        host.chooser.release(grant)
        host.chooser.health.record_attempt(
            name, attempt, grant.placement.expected_ms
        )
        host.chooser.outliers.note_attempt(grant.endpoint, job, attempt)
        host.queue.schedule_soon()
        return attempt.verdict

    async def generate(
        self, job: Job, host: Host, grant: Reservation
    ) -> Attempt:
        """Use an engine until the last token, or until the deadline."""
        began_at = self.loop.time()
        engine = self.engines[grant.endpoint.name]
        generation = engine.submit(job.prompt, job.prompt.expected_output)
        first_ms = -1
        try:
            async with asyncio.timeout_at(job.deadline):
                await generation.first
                now = self.loop.time()
                host.chooser.loads.end_prefill(grant.in_flight)
                host.chooser.outliers.note_sound(grant.endpoint, job)
                first_ms = round((now - began_at) * 1000)
                if now > job.arrived_at + job.route.objective:
                    self.short[job.account].add(int(now))
                await generation.last
        except TimeoutError:
            generation.cancelled = True
        return Attempt(Verdict.RAN, Outcome.DONE, first_token_ms=first_ms)

    async def run(
        self, seconds: float, *parts: Coroutine[None, None, None]
    ) -> None:
        """Run the parts beside the hosts' reports for a while."""
        tasks = [
            asyncio.create_task(part)
            for part in (self.exchange_reports(), *parts)
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def find_short(self, begin: int, end: int) -> Iterator[Short]:
        """Yield what short accounts got of what the rule of fairness owes.

        In each second an account is owed what it asks for or what the best
        served account gets, whichever is less; of a window's sum, three of the
        largest requests are left out.
        """
        for start in range(begin, end - WINDOW_SECONDS + 1):
            seconds = range(start, start + WINDOW_SECONDS)
            best = max(
                self.got.values(), key=lambda got: sum(got[s] for s in seconds)
            )
            for account, asked in self.asked.items():
                if not self.short[account].issuperset(seconds):
                    continue
                owed = sum(min(asked[s], best[s]) for s in seconds)
                owed -= 3 * max(kind.shared + kind.own * 6 for kind in KINDS)
                if owed > 0:
                    got = sum(self.got[account][s] for s in seconds)
                    yield Short(got / owed, account, start)
