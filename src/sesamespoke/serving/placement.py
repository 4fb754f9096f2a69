"""Which endpoint takes a request: the one that would answer it at least cost.

The load it answers: prompts of some thousand tokens whose beginnings are
shared by many requests, beside short ones that share little, at engines that
read prompts in order of arrival and keep what they have read while memory
lasts. A prompt that goes where its beginning was read costs the engine half
as much. Each shared beginning has one home by rendezvous hashing, which every
router computes alike. Memory is full within seconds, so that a second home
would rarely keep a beginning till its next use. Homes are loaded unevenly:
another engine takes a request if it would answer sooner, and fetches the
beginning from its home. Where engines can't do that, a request that shares
much leaves its home only when that is full, for an engine that has little to
do. Requests that can still meet their objective go first.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998 (homes); Mitzenmacher, "How
useful is old information?", IEEE Transactions on Parallel and Distributed
Systems, 2000 (the best of a few at random, where reports are stale).
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job, Prompt
from sesamespoke.serving.load import Load

LONG_PREFIX_TOKENS = 1000
"""A shared beginning of so many tokens is worth a way to its home."""
RECOMPUTE_UTILISATION = 0.2
"""The part of its bounds up to which an engine takes a heavy beginning that
it would have to read again."""
FETCH_UTILISATION = 0.5
"""The same where it can fetch the beginning from the engine that keeps it."""
PREFIX_COPY_COST = 5.0
"""What another copy of a beginning counts against waiting, as a multiple of
reading it: it takes the memory of other beginnings."""
REMOTE_PENALTY_MS = 15.0
"""What a way to another data centre counts against waiting."""
MISSED_OBJECTIVE_LIMIT = 0.5
"""The part of its bounds up to which an engine takes a request that will miss
its objective: those that can still make it go first."""
TIME_LEFT_FRACTION = 0.9
"""The part of the time left that an expected answer may take."""
PREFILL_TOKENS_PER_MS = 45.0
"""What an undisturbed engine reads; each endpoint's pace corrects it."""
MS_PER_TOKEN_PAIR = 2.48e-7
"""What attention adds to a token's reading for each token before it."""
FIRST_TOKEN_OVERHEAD_MS = 20.0
"""The time to a first token beside the reading: queue, set-up, one step."""
FIRST_TOKEN_MS_PER_RUNNING = 0.5
"""What each further request in the batch adds to the first token."""
PLAIN_CALL_MS = 40.0
"""A plain call's work; each endpoint's pace corrects it."""
MAX_PREFILL_MS = 300.0
"""More unread prompts at an engine would make each of them late."""
BATCH_FRACTION = 0.37
"""The part of an engine's slots in use beyond which tokens come slowly."""
PLAIN_SLOTS_FACTOR = 1.5
"""Requests given to a plain endpoint at once, as a multiple of its slots."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used now.

    ``slowdown`` is how much longer than expected it takes; a ``remote`` one is
    in another data centre than the router.
    """

    endpoint: ListedEndpoint
    load: Load
    slowdown: float = 1
    remote: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """An endpoint chosen for a request; times in milliseconds.

    ``prefill_ms`` is the work of its prompt, ``expected_ms`` the time to the
    first byte of the answer, ``load`` what the endpoint had then. The
    ``prefix_holder`` is another engine from which it can fetch the beginning.
    """

    endpoint: ListedEndpoint
    prefill_ms: float
    expected_ms: float
    load: Load
    prefix_holder: ListedEndpoint | None = None


def rank_endpoints(
    affinity: str,
    endpoints: Iterable[ListedEndpoint],
) -> tuple[str, ...]:
    """Return the endpoints for a shared beginning, its home first."""
    return tuple(
        sorted(
            (endpoint.name for endpoint in endpoints),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f'{name} {affinity}'.encode()
            ),
        )
    )


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens that other requests may have in common."""
    return sum(part.tokens for part in prompt.shared)


def estimate_prefill_ms(prompt: Prompt, *, prefix_cached: bool) -> float:
    """Return the time that an idle engine takes to read a prompt."""
    whole = prompt.input_tokens
    known = min(whole, shared_tokens(prompt)) if prefix_cached else 0
    pairs = (whole * whole - known * known) / 2
    return (whole - known) / PREFILL_TOKENS_PER_MS + pairs * MS_PER_TOKEN_PAIR


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that looks for an engine.

    ``utilisation_limit`` is the part of its bounds that an engine may have in
    use, and ``time_left_ms`` the milliseconds in which the first token is due.
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
    """Return the engine with room that answers at least cost, if any has.

    The ``others`` have to get a shared beginning that its home keeps.
    """
    bids: list[_Bid | None] = []
    if preferred is not None:
        at_home = _Terms(
            estimate_prefill_ms(request.job.prompt, prefix_cached=True),
            request.utilisation_limit,
            0,
        )
        bids.append(_bid(request, service, preferred, at_home))
    elsewhere = _terms_elsewhere(
        request, service, has_home=preferred is not None
    )
    bids.extend(_bid(request, service, each, elsewhere) for each in others)
    best = min(filter(None, bids), key=_cost_of, default=None)
    return None if best is None else best.placed


@dataclass(frozen=True, slots=True)
class _Terms:
    """What an engine has to read, the room for it, and what it costs beside.

    ``reading`` and ``penalty`` are in milliseconds.
    """

    reading: float
    room: float
    penalty: float


def _terms_elsewhere(
    request: PlacementRequest,
    service: RoutedService,
    *,
    has_home: bool,
) -> _Terms:
    """Return the terms for an engine that has not read the beginning.

    It fetches the beginning from its home where engines can do that, and
    else reads it again.
    """
    prompt = request.job.prompt
    shared = shared_tokens(prompt)
    per_token = service.engine.fetch_ms if service.engine else 0
    is_heavy = has_home and shared >= LONG_PREFIX_TOKENS
    penalty = (
        shared / PREFILL_TOKENS_PER_MS * PREFIX_COPY_COST if has_home else 0
    )
    if has_home and per_token:
        reading = (
            estimate_prefill_ms(prompt, prefix_cached=True) + shared * per_token
        )
        spill = FETCH_UTILISATION
    else:
        reading = estimate_prefill_ms(prompt, prefix_cached=False)
        spill = RECOMPUTE_UTILISATION
    room = (
        request.utilisation_limit * spill
        if is_heavy
        else request.utilisation_limit
    )
    return _Terms(reading, room, penalty)


@dataclass(frozen=True, slots=True)
class _Bid:
    placed: Placement
    cost: float


def _cost_of(bid: _Bid) -> float:
    return bid.cost


def _bid(
    request: PlacementRequest,
    service: RoutedService,
    candidate: Candidate,
    terms: _Terms,
) -> _Bid | None:
    """Return what an engine offers, or None if it has no room."""
    placed = _placed(candidate, terms.reading)
    is_late = placed.expected_ms > request.time_left_ms * TIME_LEFT_FRACTION
    room = terms.room * MISSED_OBJECTIVE_LIMIT if is_late else terms.room
    if utilisation_of(service, candidate) >= room:
        return None
    distance = REMOTE_PENALTY_MS if candidate.remote else 0
    return _Bid(placed, placed.expected_ms + terms.penalty + distance)


def utilisation_of(service: RoutedService, candidate: Candidate) -> float:
    """Return the part of its bounds that an engine has in use."""
    slots = service.engine.slots if service.engine else 1
    load = candidate.load
    return max(
        load.running / (slots * BATCH_FRACTION),
        load.prefill_ms * candidate.slowdown / MAX_PREFILL_MS,
    )


def _placed(candidate: Candidate, reading: float) -> Placement:
    load = candidate.load
    work = load.prefill_ms + reading + load.running * FIRST_TOKEN_MS_PER_RUNNING
    expected = (work + FIRST_TOKEN_OVERHEAD_MS) * candidate.slowdown
    return Placement(candidate.endpoint, reading, expected, load)


def place_call(
    utilisation_limit: float,
    candidates: Iterable[Candidate],
) -> Placement | None:
    """Return the plain endpoint with the shortest queue, if one has room."""
    best: Placement | None = None
    for candidate in candidates:
        slots = candidate.endpoint.slots
        running = candidate.load.running
        if running >= slots * PLAIN_SLOTS_FACTOR * utilisation_limit:
            continue
        queue = max(0, running + 1 - slots) / slots
        expected = PLAIN_CALL_MS * candidate.slowdown * (1 + queue)
        expected += running / slots
        if best is None or expected < best.expected_ms:
            best = Placement(candidate.endpoint, 0, expected, candidate.load)
    return best
