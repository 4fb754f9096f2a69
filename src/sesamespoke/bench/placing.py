"""Queueing, refusing and placing under more load than engines bear.

Callers of three kinds (long prompts, short ones, yes-or-no checks) press on
model engines in virtual time. The same arrivals are played against the
product's decisions and against plain baselines.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from sesamespoke.bench.engine_model import (
    EngineGroup,
    EngineSpeed,
    Generation,
)
from sesamespoke.bench.results import Fields
from sesamespoke.bench.virtual_time import run_virtual
from sesamespoke.serving.admission import AdmissionQueue
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
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.job import Job, Prompt, PromptPart
from sesamespoke.verdicts import Refusal

ENGINES = 9
SECONDS = 30.0
QUICK_SECONDS = 8.0
LOADS = (0.7, 1.0, 1.3)
"""Arrivals as a multiple of what nine engines are asked on a usual day."""
SERVICE = RoutedService('llm', 0, EngineSpec(64))
NOBODY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of caller: tokens in the mean, seconds, requests a second."""

    name: str
    rate: float
    shared: int
    own: int
    output: int
    beginnings: int
    objective: float
    deadline: float


KINDS = (
    Kind('guide', 24.2, 5382, 6610, 384, 171, 1.2, 12),
    Kind('answer', 43.2, 198, 628, 288, 203, 1, 10),
    Kind('check', 37.1, 568, 1800, 24, 262, 2, 3),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request, with the output that only its end tells."""

    at: float
    kind: Kind
    job: Job
    output: int


@dataclass(slots=True)
class Tally:
    """What became of the requests of each kind."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)

    def note(self, arrival: Arrival, outcome: str) -> None:
        """Count one request."""
        self.outcomes[(arrival.kind.name, outcome)] += 1

    def shares(self) -> Fields:
        """Return each outcome's share by kind."""
        asked = Counter[str]()
        for (kind, _), count in self.outcomes.items():
            asked[kind] += count
        rows = sorted(self.outcomes.items())
        return {
            '_'.join(row): round(number / asked[row[0]], 3)
            for row, number in rows
        }


class Trial:
    """One policy against one load."""

    def __init__(self) -> None:
        """Start the engines; call within the loop that runs them."""
        self.loop = asyncio.get_running_loop()
        self.tally = Tally()
        self.group = EngineGroup(EngineSpeed())
        self.endpoints = tuple(
            ListedEndpoint(f'e-{number}', 'llm', f'10.0.0.{number}:1', 'here')
            for number in range(ENGINES)
        )
        self.group.open(tuple(each.name for each in self.endpoints))
        catalog = Catalog(1, {}, {SERVICE.name: SERVICE})
        directory = Directory(self.loop.time)
        self.chooser = Chooser(
            'here',
            lambda: catalog,
            directory,
            self.loop.time,
            lambda: frozenset(('here',)),
        )
        directory.replace(Listing(1, self.endpoints))
        shares = FairShares(self.loop.time)
        self.room = AdmissionQueue[Reservation](
            shares, self.loop.time, self.chooser.release
        )
        self.outstanding: Counter[str] = Counter()
        self.turn = itertools.cycle(each.name for each in self.endpoints)

    async def press(self, arrivals: list[Arrival], serve: 'Policy') -> None:
        """Play arrivals at their times; return when all have ended."""
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                await asyncio.sleep(arrival.at - self.loop.time())
                group.create_task(serve(self, arrival))

    async def generate(
        self,
        arrival: Arrival,
        name: str,
        on_first: Callable[[], None],
    ) -> None:
        """Use an engine until the last token, or until the deadline."""
        engine = self.group.engines[name]
        generation = engine.submit(arrival.job.prompt, arrival.output)
        try:
            async with asyncio.timeout_at(arrival.job.deadline):
                await generation.first
                on_first()
                late = self.loop.time() - arrival.at > arrival.kind.objective
                await generation.last
        except TimeoutError:
            _cancel(generation)
            self.tally.note(arrival, 'cut')
            return
        self.tally.note(arrival, 'late' if late else 'in_time')


Policy = Callable[[Trial, Arrival], Coroutine[None, None, None]]


def _cancel(generation: Generation) -> None:
    generation.cancelled = True


async def by_product(trial: Trial, arrival: Arrival) -> None:
    """Queue, place or refuse as the router does."""

    def place(job: Job, fill: float) -> Reservation | None:
        return trial.chooser.reserve(job, fill, NOBODY)

    grant = await trial.room.admit(arrival.job, place)
    if isinstance(grant, Refusal):
        trial.tally.note(arrival, 'refused')
        return
    loads = trial.chooser.loads
    await trial.generate(
        arrival,
        grant.endpoint.name,
        lambda: loads.end_prefill(grant.in_flight),
    )
    trial.chooser.release(grant)
    trial.room.schedule()


async def by_least_outstanding(trial: Trial, arrival: Arrival) -> None:
    """Send to the engine with the fewest requests, however many."""
    name = min(
        trial.group.engines, key=lambda engine: trial.outstanding[engine]
    )
    trial.outstanding[name] += 1
    await trial.generate(arrival, name, _ignore)
    trial.outstanding[name] -= 1


async def by_turn(trial: Trial, arrival: Arrival) -> None:
    """Send to one engine after the other."""
    await trial.generate(arrival, next(trial.turn), _ignore)


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'product': by_product,
        'least_outstanding': by_least_outstanding,
        'round_robin': by_turn,
    }
)


def run(seed: int, quick: bool = False) -> Fields:
    """Return what callers got, by load and policy."""
    seconds = QUICK_SECONDS if quick else SECONDS
    figures: Fields = {}
    for load in LOADS:
        for name in POLICIES:
            played = play(seed, load, name, seconds)
            prefix = f'{name}_at_{round(load * 100)}'
            for figure, found in played.items():
                figures[f'{prefix}_{figure}'] = found
    return figures


def play(seed: int, load: float, policy: str, seconds: float) -> Fields:
    """Return what callers got of one policy under one load."""
    return run_virtual(_play(seed, load, policy, seconds))


async def _play(
    seed: int,
    load: float,
    policy: str,
    seconds: float,
) -> Fields:
    trial = Trial()
    arrivals = list(_arrivals(random.Random(seed), load, seconds))
    await trial.press(arrivals, POLICIES[policy])
    counters = trial.group.counted()
    total = sum(trial.tally.outcomes.values())
    in_time = sum(
        count
        for (_, outcome), count in trial.tally.outcomes.items()
        if outcome == 'in_time'
    )
    return {
        'in_time': round(in_time / total, 3),
        **trial.tally.shares(),
        'tokens_read': counters.read,
        'tokens_read_again': counters.again,
    }


def _arrivals(
    dice: random.Random,
    load: float,
    seconds: float,
) -> Iterator[Arrival]:
    """Yield requests in order of time, of all kinds."""
    rate = sum(kind.rate for kind in KINDS) * load
    weights = [kind.rate for kind in KINDS]
    at: float = 0
    for number in itertools.count():
        at += dice.expovariate(rate)
        if at > seconds:
            return
        kind = dice.choices(KINDS, weights)[0]
        yield _arrival(dice, at, kind, number)


def _arrival(
    dice: random.Random,
    at: float,
    kind: Kind,
    number: int,
) -> Arrival:
    beginning = f'{kind.name}-{dice.randrange(kind.beginnings)}'
    own = round(kind.own * dice.lognormvariate(-0.5, 1))
    prompt = Prompt(
        (PromptPart(beginning, kind.shared), PromptPart(f'{number}', own)),
        kind.shared + own,
        kind.output * 3,
    )
    route = Route(
        kind.name,
        'a.example',
        '/',
        CallKind.STREAM,
        (WeightedService('llm', 1),),
        kind.deadline,
        kind.objective,
    )
    job = Job(
        f'{number}',
        f'account-{dice.randrange(16)}',
        'llm',
        route,
        'POST',
        '/',
        (),
        b'',
        at,
        at + kind.deadline,
        b'',
        prompt=prompt,
    )
    output = max(1, round(kind.output * dice.lognormvariate(-0.1, 0.45)))
    return Arrival(at, kind, job, output)


def _ignore() -> None:
    """Take no notice of the first token."""
