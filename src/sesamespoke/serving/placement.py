"""Chooses the endpoint that would answer a request at the lowest cost.

The load this is designed for: prompts of some thousand tokens with prefixes
that many requests share, mixed with short prompts that share little, at
engines that prefill in order of arrival and cache prefixes while memory lasts.
A prompt sent to an engine that has its prefix in the cache costs half as much
engine time. Each shared prefix has one preferred endpoint by rendezvous
hashing, which every router computes alike. Engine memory fills up within
seconds, so that a second preferred endpoint would rarely keep the prefix until
its next use. The load of preferred endpoints is uneven: another engine takes a
request if it would answer sooner, and fetches the prefix from the preferred
endpoint. Where engines can't fetch, a request with a long prefix leaves its
preferred endpoint only when that is full, and only for an engine with low
utilisation. Requests that can still meet their objective go first.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing);
Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel
and Distributed Systems, 2000 (the best of a few at random, where reports are
stale).
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job, Prompt
from sesamespoke.serving.load import Load

LONG_PREFIX_TOKENS = 1000
"""A shared prefix of at least this length is worth sending the request to its
preferred endpoint."""
RECOMPUTE_LIMIT_FACTOR = 0.2
"""Utilisation limit of an engine that would have to prefill a long prefix
again, as a factor of the request's limit."""
FETCH_LIMIT_FACTOR = 0.5
"""The same where the engine can fetch the prefix from a prefix holder."""
PREFIX_COPY_COST = 5.0
"""Cost of another cached copy of a prefix, as a multiple of its prefill time:
the copy takes memory from other prefixes."""
REMOTE_PENALTY_MS = 15.0
"""Cost of sending a request to another data centre, in time to first token."""
MISSED_OBJECTIVE_FACTOR = 0.5
"""Factor on the utilisation limit of a request that is expected to miss its
objective: requests that can still meet theirs go first."""
TIME_LEFT_FRACTION = 0.9
"""Part of the time left within which the first token has to be expected."""
PREFILL_TOKENS_PER_MS = 45.0
"""Prefill rate of an idle engine; each endpoint's slowdown corrects it."""
MS_PER_TOKEN_PAIR = 2.48e-7
"""Attention time that prefill adds to a token for each token before it."""
FIRST_TOKEN_OVERHEAD_MS = 20.0
"""Time to first token besides prefill: queueing, set-up, one decoding step."""
FIRST_TOKEN_MS_PER_RUNNING = 0.5
"""Time to first token that each further request in the batch adds."""
PLAIN_CALL_MS = 40.0
"""Service time of a plain call; each endpoint's slowdown corrects it."""
MAX_PREFILL_MS = 300.0
"""More queued prefill at an engine would make each of its requests miss its
objective."""
BATCH_FRACTION = 0.37
"""Part of an engine's slots in use above which token generation is slow."""
PLAIN_SLOTS_FACTOR = 1.5
"""Limit of concurrent requests at a plain endpoint, as a multiple of its
slots."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used now.

    ``slowdown`` is its observed latency as a multiple of the expected one. A
    ``remote`` endpoint is in another data centre than the router.
    """

    endpoint: ListedEndpoint
    load: Load
    slowdown: float = 1
    remote: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """An endpoint chosen for a request.

    ``prefill_ms`` is the prefill time of its prompt, ``expected_ms`` the time
    to the first byte of the answer, ``load`` the endpoint's load when it was
    chosen, and ``slowdown`` the factor in ``expected_ms`` that stands for this
    endpoint alone. The ``prefix_holder`` is another engine from which the
    endpoint can fetch the prefix.
    """

    endpoint: ListedEndpoint
    prefill_ms: float
    expected_ms: float
    load: Load
    prefix_holder: ListedEndpoint | None = None
    slowdown: float = 1


def rank_endpoints(
    affinity: str,
    endpoints: Iterable[ListedEndpoint],
) -> tuple[str, ...]:
    """Return the endpoints in rendezvous order, the preferred one first."""
    return tuple(
        sorted(
            (endpoint.name for endpoint in endpoints),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f'{name} {affinity}'.encode()
            ),
        )
    )


def shared_tokens(prompt: Prompt) -> int:
    """Return the length of the prefix that other requests may share."""
    return sum(part.tokens for part in prompt.shared_parts)


def estimate_prefill_ms(prompt: Prompt, *, prefix_cached: bool) -> float:
    """Return the prefill time of a prompt on an idle engine."""
    total = prompt.input_tokens
    cached = min(total, shared_tokens(prompt)) if prefix_cached else 0
    pairs = (total * total - cached * cached) / 2
    return (total - cached) / PREFILL_TOKENS_PER_MS + pairs * MS_PER_TOKEN_PAIR


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs an engine.

    An engine is full when its utilisation reaches ``utilisation_limit``. The
    first token is due in ``time_left_ms``.
    """

    job: Job
    utilisation_limit: float
    time_left_ms: float


def place_generation(
    request: PlacementRequest,
    service: RoutedService,
    preferred: Candidate | None,
    others: Iterable[Candidate],
) -> Placement | None:
    """Return the engine with free capacity and the lowest cost, if any.

    The ``others`` have to fetch or prefill a prefix that the ``preferred``
    endpoint is expected to have in its cache.
    """
    options: list[_Option | None] = []
    if preferred is not None:
        with_prefix = _Terms(
            estimate_prefill_ms(request.job.prompt, prefix_cached=True),
            request.utilisation_limit,
            0,
        )
        options.append(_evaluate(request, service, preferred, with_prefix))
    without_prefix = _terms_without_prefix(
        request, service, has_preferred=preferred is not None
    )
    options.extend(
        _evaluate(request, service, each, without_prefix) for each in others
    )
    best = min(filter(None, options), key=_cost_of, default=None)
    return None if best is None else best.placement


@dataclass(frozen=True, slots=True)
class _Terms:
    """Prefill time, utilisation limit and extra cost of a request.

    They depend on whether the engine has the prefix in its cache.
    """

    prefill_ms: float
    utilisation_limit: float
    penalty_ms: float


def _terms_without_prefix(
    request: PlacementRequest,
    service: RoutedService,
    *,
    has_preferred: bool,
) -> _Terms:
    """Return the terms for an engine without the prefix in its cache.

    The engine fetches the prefix from the preferred endpoint where engines
    can do that, and otherwise prefills it again.
    """
    prompt = request.job.prompt
    shared = shared_tokens(prompt)
    fetch_ms = service.engine.fetch_ms if service.engine else 0
    is_long = has_preferred and shared >= LONG_PREFIX_TOKENS
    penalty_ms = (
        shared / PREFILL_TOKENS_PER_MS * PREFIX_COPY_COST
        if has_preferred
        else 0
    )
    if has_preferred and fetch_ms:
        prefill_ms = (
            estimate_prefill_ms(prompt, prefix_cached=True) + shared * fetch_ms
        )
        factor = FETCH_LIMIT_FACTOR
    else:
        prefill_ms = estimate_prefill_ms(prompt, prefix_cached=False)
        factor = RECOMPUTE_LIMIT_FACTOR
    limit = (
        request.utilisation_limit * factor
        if is_long
        else request.utilisation_limit
    )
    return _Terms(prefill_ms, limit, penalty_ms)


@dataclass(frozen=True, slots=True)
class _Option:
    placement: Placement
    cost: float


def _cost_of(option: _Option) -> float:
    return option.cost


def _evaluate(
    request: PlacementRequest,
    service: RoutedService,
    candidate: Candidate,
    terms: _Terms,
) -> _Option | None:
    """Return an engine's placement and cost, or None if it is full."""
    placement = _estimate(candidate, terms.prefill_ms)
    misses_objective = (
        placement.expected_ms > request.time_left_ms * TIME_LEFT_FRACTION
    )
    limit = (
        terms.utilisation_limit * MISSED_OBJECTIVE_FACTOR
        if misses_objective
        else terms.utilisation_limit
    )
    if utilisation_of(service, candidate) >= limit:
        return None
    remote_ms = REMOTE_PENALTY_MS if candidate.remote else 0
    return _Option(
        placement, placement.expected_ms + terms.penalty_ms + remote_ms
    )


def utilisation_of(service: RoutedService, candidate: Candidate) -> float:
    """Return the part of an engine's limits that is in use."""
    slots = service.engine.slots if service.engine else 1
    load = candidate.load
    return max(
        load.running / (slots * BATCH_FRACTION),
        load.prefill_ms * candidate.slowdown / MAX_PREFILL_MS,
    )


def _estimate(candidate: Candidate, prefill_ms: float) -> Placement:
    """Return a placement with its expected time to first token."""
    load = candidate.load
    work_ms = (
        load.prefill_ms + prefill_ms + load.running * FIRST_TOKEN_MS_PER_RUNNING
    )
    expected_ms = (work_ms + FIRST_TOKEN_OVERHEAD_MS) * candidate.slowdown
    return Placement(
        candidate.endpoint,
        prefill_ms,
        expected_ms,
        load,
        slowdown=candidate.slowdown,
    )


def place_call(
    utilisation_limit: float,
    candidates: Iterable[Candidate],
) -> Placement | None:
    """Return the plain endpoint expected to answer first, if any is free."""
    best: Placement | None = None
    for candidate in candidates:
        slots = candidate.endpoint.slots
        running = candidate.load.running
        if running >= slots * PLAIN_SLOTS_FACTOR * utilisation_limit:
            continue
        queue = max(0, running + 1 - slots) / slots
        expected_ms = PLAIN_CALL_MS * candidate.slowdown * (1 + queue)
        expected_ms += running / slots
        if best is None or expected_ms < best.expected_ms:
            best = Placement(
                candidate.endpoint,
                0,
                expected_ms,
                candidate.load,
                slowdown=candidate.slowdown,
            )
    return best
