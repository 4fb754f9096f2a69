"""Placing: what engines read again, and how long first tokens take."""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from support_serving_jobs import (
    ENGINE,
    PLAIN,
    endpoints_of,
    job_of,
    prompt_of,
)

from sesamespoke.serving.catalog import EngineShape
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import Load
from sesamespoke.serving.placement import (
    BATCH_FRACTION,
    MAX_READING_MS,
    Candidate,
    Placed,
    Wish,
    place_call,
    place_generation,
    rank_homes,
    reading_ms,
)

ENGINES = endpoints_of(ENGINE, 9)
BEGINNINGS = 171
CACHED_BEGINNINGS = 30
"""What an engine's memory keeps beside the prompts that run."""
READ_TOKENS_PER_MS = 48.0
RATE = 24.0
SECONDS = 60


@dataclass
class ModelEngine:
    """Reads prompts in order of arrival; keeps the latest beginnings."""

    free_at: float = 0
    kept: OrderedDict[str, None] = field(default_factory=OrderedDict)
    read_again: int = 0
    seen: set[str] = field(default_factory=set)

    def take(self, job: Job, now: float) -> float:
        """Return the seconds to the first token."""
        beginning = job.prompt.prefix_id
        tokens = job.prompt.input_tokens
        shared = job.prompt.shared_parts[0].tokens
        if beginning in self.kept:
            tokens -= shared
        else:
            self.read_again += shared
        self.kept[beginning] = None
        self.kept.move_to_end(beginning)
        while len(self.kept) > CACHED_BEGINNINGS:
            self.kept.popitem(last=False)
        begins = max(now, self.free_at)
        self.free_at = begins + tokens / READ_TOKENS_PER_MS / 1000
        return self.free_at - now


@dataclass(frozen=True)
class Played:
    read_again: int
    late: float


def play(choose: Callable[[Job, dict[str, ModelEngine], float], str]) -> Played:
    """Play the long prompts of a busy day against nine model engines."""
    dice = random.Random(7)
    engines = {engine.name: ModelEngine() for engine in ENGINES}
    now, late, count = 0.0, 0, 0
    while now < SECONDS:
        now += dice.expovariate(RATE)
        job = job_of('a', f'b{dice.randrange(BEGINNINGS)}', arrived_at=now)
        delay = engines[choose(job, engines, now)].take(job, now)
        late += delay > job.route.objective
        count += 1
    again = sum(engine.read_again for engine in engines.values())
    return Played(again, late / count)


def shortest_queue(
    job: Job, engines: dict[str, ModelEngine], now: float
) -> str:
    return min(engines, key=lambda name: engines[name].free_at)


def place(
    job: Job,
    fill: float,
    candidates: list[Candidate],
    left: float = 1000,
) -> Placed | None:
    """Place as the chooser does, with every endpoint at hand."""
    first = rank_homes(job.prompt.prefix_id, ENGINES)[0]
    by_name = {each.endpoint.name: each for each in candidates}
    home = by_name.pop(first)
    wish = Wish(job, fill, left)
    return place_generation(wish, ENGINE, home, by_name.values())


def names_loaded(loads: dict[str, Load], other: Load) -> list[Candidate]:
    """Return all engines as candidates, some with loads of their own."""
    return [
        Candidate(engine, loads.get(engine.name, other)) for engine in ENGINES
    ]


def by_placement(job: Job, engines: dict[str, ModelEngine], now: float) -> str:
    candidates = [
        Candidate(engine, Load(1, max(0, model.free_at - now) * 1000))
        for engine in ENGINES
        for model in (engines[engine.name],)
    ]
    placed = place(job, 1, candidates)
    if placed is None:
        return shortest_queue(job, engines, now)
    return placed.endpoint.name


def test_beginnings_are_read_again_half_as_often_as_by_shortest_queue() -> None:
    baseline = play(shortest_queue)
    placed = play(by_placement)
    assert placed.read_again < baseline.read_again / 2
    assert placed.late <= 0.05


def test_a_busy_home_lets_an_idle_engine_help() -> None:
    job = job_of('a')
    home = rank_homes('b', ENGINES)[0]
    full = Load(64, 0)
    candidates = [
        Candidate(engine, full if engine.name == home else Load())
        for engine in ENGINES
    ]
    placed = place(job, 1, candidates)
    assert placed is not None
    assert placed.endpoint.name != home


def test_a_busy_engine_does_not_read_what_its_neighbour_has_read() -> None:
    job = job_of('a')
    home = rank_homes('b', ENGINES)[0]
    busy = Load(int(64 * BATCH_FRACTION) - 1, MAX_READING_MS / 2)
    full = Load(64, 0)
    candidates = [
        Candidate(engine, full if engine.name == home else busy)
        for engine in ENGINES
    ]
    assert place(job, 1, candidates) is None


def test_an_account_that_is_ahead_finds_less_room() -> None:
    job = job_of('a')
    candidates = [Candidate(engine, Load(4, 0)) for engine in ENGINES]
    assert place(job, 1, candidates) is not None
    assert place(job, 0.1, candidates) is None


def test_a_request_that_shares_little_goes_where_least_is_to_do() -> None:
    """Homes are loaded unevenly; what may go anywhere evens that out."""
    light = replace(job_of('a'), prompt=prompt_of('b', 100, 600))
    home, idle = rank_homes('b', ENGINES)[0], ENGINES[-1].name
    assert home != idle
    candidates = names_loaded(
        {home: Load(16, 200), idle: Load(2, 0)}, Load(12, 100)
    )
    placed = place(light, 1, candidates)
    assert placed is not None
    assert placed.endpoint.name == idle
    heavy = place(job_of('a'), 1, candidates)
    assert heavy is not None
    assert heavy.endpoint.name == home


def test_a_long_prompt_avoids_the_engine_that_would_answer_late() -> None:
    """Its own reading leaves no time to wait behind that of others."""
    long = replace(job_of('a'), prompt=prompt_of('b', 5000, 25_000))
    home, idle = rank_homes('b', ENGINES)[0], ENGINES[-1].name
    candidates = names_loaded(
        {home: Load(10, 290), idle: Load(1, 0)}, Load(12, 250)
    )
    placed = place(long, 1, candidates, left=1000)
    assert placed is not None
    assert placed.endpoint.name == idle


def test_where_engines_fetch_a_busy_home_lets_others_help_sooner() -> None:
    fetching = replace(ENGINE, engine=EngineShape(64, fetch_ms=0.0002))
    home = rank_homes('b', ENGINES)[0]
    others = [
        Candidate(engine, Load(6, 60))
        for engine in ENGINES
        if engine.name != home
    ]
    full = Candidate(
        next(each for each in ENGINES if each.name == home), Load(64, 0)
    )
    wish = Wish(job_of('a'), 1, 1000)
    assert place_generation(wish, ENGINE, full, others) is None
    helped = place_generation(wish, fetching, full, others)
    assert helped is not None
    assert helped.reading < reading_ms(wish.job.prompt, at_home=False)
    calm = Candidate(full.endpoint, Load(10, 100))
    stays = place_generation(wish, fetching, calm, others)
    assert stays is not None
    assert stays.endpoint.name == home


def test_what_will_be_late_leaves_room_for_what_can_be_in_time() -> None:
    busy = [Candidate(engine, Load(14, 100)) for engine in ENGINES]
    assert place(job_of('a'), 1, busy, left=1000) is not None
    assert place(job_of('a'), 1, busy, left=200) is None
    calm = [Candidate(engine, Load(4, 100)) for engine in ENGINES]
    assert place(job_of('a'), 1, calm, left=200) is not None


def test_a_near_engine_goes_before_an_equal_distant_one() -> None:
    job = replace(job_of('a'), prompt=prompt_of('', 0, 600))
    near, far = ENGINES[4], ENGINES[2]
    candidates = [
        Candidate(far, Load(), distant=True),
        Candidate(near, Load()),
    ]
    placed = place_generation(Wish(job, 1, 1000), ENGINE, None, candidates)
    assert placed is not None
    assert placed.endpoint is near


def test_reading_counts_the_square_of_a_long_prompt() -> None:
    short, long = prompt_of('b', 0, 5000), prompt_of('b', 0, 50_000)
    assert reading_ms(long, at_home=False) > 12 * reading_ms(
        short, at_home=False
    )
    known = prompt_of('b', 5000, 1000)
    assert reading_ms(known, at_home=True) < reading_ms(known, at_home=False)


def test_homes_move_only_with_their_engine() -> None:
    names = [f'b{number}' for number in range(200)]
    gone = ENGINES[3]
    left = tuple(engine for engine in ENGINES if engine is not gone)
    for name in names:
        before = rank_homes(name, ENGINES)
        after = rank_homes(name, left)
        assert after == tuple(each for each in before if each != gone.name)


def test_a_slow_engine_is_passed_over() -> None:
    desks = endpoints_of(PLAIN, 3)
    candidates = [
        Candidate(desks[0], Load(0), 4),
        Candidate(desks[1], Load(2), 1),
        Candidate(desks[2], Load(5), 1),
    ]
    placed = place_call(1, candidates)
    assert placed is not None
    assert placed.endpoint is desks[1]


def test_a_plain_endpoint_is_not_given_more_than_it_bears() -> None:
    desks = endpoints_of(PLAIN, 2)
    candidates = [Candidate(desk, Load(9), 1) for desk in desks]
    assert place_call(1, candidates) is None
