"""Endpoint choice: repeated prefill and time to first token."""

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

from sesamespoke.serving.catalog import EngineSpec
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import Load
from sesamespoke.serving.placement import (
    BATCH_FRACTION,
    MAX_PREFILL_MS,
    Candidate,
    Placement,
    PlacementRequest,
    estimate_prefill_ms,
    place_call,
    place_generation,
    rank_endpoints,
)

ENGINES = endpoints_of(ENGINE, 9)
PREFIXES = 171
CACHED_PREFIXES = 30
"""Prefixes that fit in an engine's memory besides the running requests."""
ENGINE_PREFILL_TOKENS_PER_MS = 48.0
RATE = 24.0
SECONDS = 60


@dataclass
class SimulatedEngine:
    """Prefills in order of arrival; caches the most recently used prefixes."""

    free_at: float = 0
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)
    recomputed_tokens: int = 0
    seen: set[str] = field(default_factory=set)

    def submit(self, job: Job, now: float) -> float:
        """Return the seconds to the first token."""
        prefix = job.prompt.prefix_id
        tokens = job.prompt.input_tokens
        shared = job.prompt.shared_parts[0].tokens
        if prefix in self.cached:
            tokens -= shared
        else:
            self.recomputed_tokens += shared
        self.cached[prefix] = None
        self.cached.move_to_end(prefix)
        while len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        begins = max(now, self.free_at)
        self.free_at = begins + tokens / ENGINE_PREFILL_TOKENS_PER_MS / 1000
        return self.free_at - now


@dataclass(frozen=True)
class Outcome:
    recomputed_tokens: int
    late: float


def simulate(
    choose: Callable[[Job, dict[str, SimulatedEngine], float], str],
) -> Outcome:
    """Simulate the long prompts of a busy day on nine engines."""
    rng = random.Random(7)
    engines = {engine.name: SimulatedEngine() for engine in ENGINES}
    now, late, count = 0.0, 0, 0
    while now < SECONDS:
        now += rng.expovariate(RATE)
        job = job_of('a', f'b{rng.randrange(PREFIXES)}', arrived_at=now)
        delay = engines[choose(job, engines, now)].submit(job, now)
        late += delay > job.route.objective
        count += 1
    recomputed = sum(each.recomputed_tokens for each in engines.values())
    return Outcome(recomputed, late / count)


def shortest_queue(
    job: Job, engines: dict[str, SimulatedEngine], now: float
) -> str:
    return min(engines, key=lambda name: engines[name].free_at)


def place(
    job: Job,
    utilisation_limit: float,
    candidates: list[Candidate],
    time_left_ms: float = 1000,
) -> Placement | None:
    """Place as the chooser does, but with every endpoint as a candidate."""
    first = rank_endpoints(job.prompt.prefix_id, ENGINES)[0]
    by_name = {each.endpoint.name: each for each in candidates}
    preferred = by_name.pop(first)
    request = PlacementRequest(job, utilisation_limit, time_left_ms)
    return place_generation(request, ENGINE, preferred, by_name.values())


def candidates_of(loads: dict[str, Load], other: Load) -> list[Candidate]:
    """Return all engines as candidates with the given loads, else ``other``."""
    return [
        Candidate(engine, loads.get(engine.name, other)) for engine in ENGINES
    ]


def by_placement(
    job: Job, engines: dict[str, SimulatedEngine], now: float
) -> str:
    candidates = [
        Candidate(engine, Load(1, max(0, model.free_at - now) * 1000))
        for engine in ENGINES
        for model in (engines[engine.name],)
    ]
    placed = place(job, 1, candidates)
    if placed is None:
        return shortest_queue(job, engines, now)
    return placed.endpoint.name


def test_placement_halves_recomputed_prefixes_of_shortest_queue() -> None:
    baseline = simulate(shortest_queue)
    placed = simulate(by_placement)
    assert placed.recomputed_tokens < baseline.recomputed_tokens / 2
    assert placed.late <= 0.05


def test_an_idle_engine_takes_requests_of_a_full_preferred_endpoint() -> None:
    job = job_of('a')
    preferred = rank_endpoints('b', ENGINES)[0]
    full = Load(64, 0)
    candidates = [
        Candidate(engine, full if engine.name == preferred else Load())
        for engine in ENGINES
    ]
    placed = place(job, 1, candidates)
    assert placed is not None
    assert placed.endpoint.name != preferred


def test_a_busy_engine_does_not_recompute_a_prefix_cached_elsewhere() -> None:
    job = job_of('a')
    preferred = rank_endpoints('b', ENGINES)[0]
    busy = Load(int(64 * BATCH_FRACTION) - 1, MAX_PREFILL_MS / 2)
    full = Load(64, 0)
    candidates = [
        Candidate(engine, full if engine.name == preferred else busy)
        for engine in ENGINES
    ]
    assert place(job, 1, candidates) is None


def test_an_account_above_its_share_gets_a_lower_utilisation_limit() -> None:
    job = job_of('a')
    candidates = [Candidate(engine, Load(4, 0)) for engine in ENGINES]
    assert place(job, 1, candidates) is not None
    assert place(job, 0.1, candidates) is None


def test_a_request_with_a_short_prefix_goes_to_the_idlest_engine() -> None:
    """They can go to any engine, which evens out uneven load."""
    short = replace(job_of('a'), prompt=prompt_of('b', 100, 600))
    preferred, idle = rank_endpoints('b', ENGINES)[0], ENGINES[-1].name
    assert preferred != idle
    candidates = candidates_of(
        {preferred: Load(16, 200), idle: Load(2, 0)}, Load(12, 100)
    )
    placed = place(short, 1, candidates)
    assert placed is not None
    assert placed.endpoint.name == idle
    long = place(job_of('a'), 1, candidates)
    assert long is not None
    assert long.endpoint.name == preferred


def test_a_long_prompt_avoids_an_engine_with_queued_prefill() -> None:
    """Its own prefill leaves no time to wait for that of other prompts."""
    long = replace(job_of('a'), prompt=prompt_of('b', 5000, 25_000))
    preferred, idle = rank_endpoints('b', ENGINES)[0], ENGINES[-1].name
    candidates = candidates_of(
        {preferred: Load(10, 290), idle: Load(1, 0)}, Load(12, 250)
    )
    placed = place(long, 1, candidates, time_left_ms=1000)
    assert placed is not None
    assert placed.endpoint.name == idle


def test_engines_that_fetch_prefixes_take_requests_at_higher_utilisation() -> (
    None
):
    fetching = replace(ENGINE, engine=EngineSpec(64, fetch_ms=0.0002))
    preferred = rank_endpoints('b', ENGINES)[0]
    others = [
        Candidate(engine, Load(6, 60))
        for engine in ENGINES
        if engine.name != preferred
    ]
    full = Candidate(
        next(each for each in ENGINES if each.name == preferred), Load(64, 0)
    )
    request = PlacementRequest(job_of('a'), 1, 1000)
    assert place_generation(request, ENGINE, full, others) is None
    helped = place_generation(request, fetching, full, others)
    assert helped is not None
    assert helped.prefill_ms < estimate_prefill_ms(
        request.job.prompt, prefix_cached=False
    )
    available = Candidate(full.endpoint, Load(10, 100))
    stays = place_generation(request, fetching, available, others)
    assert stays is not None
    assert stays.endpoint.name == preferred


def test_requests_that_miss_their_objective_get_less_capacity() -> None:
    busy = [Candidate(engine, Load(14, 100)) for engine in ENGINES]
    assert place(job_of('a'), 1, busy, time_left_ms=1000) is not None
    assert place(job_of('a'), 1, busy, time_left_ms=200) is None
    idle = [Candidate(engine, Load(4, 100)) for engine in ENGINES]
    assert place(job_of('a'), 1, idle, time_left_ms=200) is not None


def test_a_local_engine_is_preferred_to_an_equal_remote_one() -> None:
    job = replace(job_of('a'), prompt=prompt_of('', 0, 600))
    local, remote = ENGINES[4], ENGINES[2]
    candidates = [
        Candidate(remote, Load(), remote=True),
        Candidate(local, Load()),
    ]
    placed = place_generation(
        PlacementRequest(job, 1, 1000), ENGINE, None, candidates
    )
    assert placed is not None
    assert placed.endpoint is local


def test_prefill_time_grows_with_the_square_of_a_long_prompt() -> None:
    short, long = prompt_of('b', 0, 5000), prompt_of('b', 0, 50_000)
    assert estimate_prefill_ms(
        long, prefix_cached=False
    ) > 12 * estimate_prefill_ms(short, prefix_cached=False)
    partly = prompt_of('b', 5000, 1000)
    assert estimate_prefill_ms(
        partly, prefix_cached=True
    ) < estimate_prefill_ms(partly, prefix_cached=False)


def test_removing_an_engine_moves_only_its_own_prefixes() -> None:
    names = [f'b{number}' for number in range(200)]
    gone = ENGINES[3]
    remaining = tuple(engine for engine in ENGINES if engine is not gone)
    for name in names:
        before = rank_endpoints(name, ENGINES)
        after = rank_endpoints(name, remaining)
        assert after == tuple(each for each in before if each != gone.name)


def test_a_slow_plain_endpoint_is_not_chosen() -> None:
    plain = endpoints_of(PLAIN, 3)
    candidates = [
        Candidate(plain[0], Load(0), 4),
        Candidate(plain[1], Load(2), 1),
        Candidate(plain[2], Load(5), 1),
    ]
    placed = place_call(1, candidates)
    assert placed is not None
    assert placed.endpoint is plain[1]


def test_a_plain_endpoint_gets_no_requests_above_its_limit() -> None:
    plain = endpoints_of(PLAIN, 2)
    candidates = [Candidate(each, Load(9), 1) for each in plain]
    assert place_call(1, candidates) is None
