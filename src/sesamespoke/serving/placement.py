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

HEAVY_TOKENS = 1000
"""A shared beginning of so many tokens is worth a way to its home."""
REREAD_FRACTION = 0.2
"""The part of its bounds up to which an engine takes a heavy beginning that
it would have to read again."""
FETCH_FRACTION = 0.5
"""The same where it can fetch the beginning from the engine that keeps it."""
COPY_WEIGHT = 5.0
"""What another copy of a beginning counts against waiting, as a multiple of
reading it: it takes the memory of other beginnings."""
DISTANCE_MS = 15.0
"""What a way to another data centre counts against waiting."""
LATE_ROOM = 0.5
"""The part of its bounds up to which an engine takes a request that will miss
its objective: those that can still make it go first."""
PUNCTUAL = 0.9
"""The part of the time left that an expected answer may take."""
TOKENS_READ_PER_MS = 45.0
"""What an undisturbed engine reads; each endpoint's pace corrects it."""
MS_PER_PAIR = 2.48e-7
"""What attention adds to a token's reading for each token before it."""
BATCH_MS = 20.0
"""The time to a first token beside the reading: queue, set-up, one step."""
MS_PER_RUNNING = 0.5
"""What each further request in the batch adds to the first token."""
PLAIN_CALL_MS = 40.0
"""A plain call's work; each endpoint's pace corrects it."""
MAX_READING_MS = 300.0
"""More unread prompts at an engine would make each of them late."""
BATCH_FRACTION = 0.37
"""The part of an engine's slots in use beyond which tokens come slowly."""
PLAIN_QUEUE = 1.5
"""Requests given to a plain endpoint at once, as a multiple of its slots."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used now.

    ``pace`` is how much longer than expected it takes; a ``distant`` one is
    in another data centre than the router.
    """

    endpoint: ListedEndpoint
    load: Load
    pace: float = 1
    distant: bool = False


@dataclass(frozen=True, slots=True)
class Placed:
    """An endpoint chosen for a request; times in milliseconds.

    ``reading`` is the work of its prompt, ``expected`` the time to the
    first byte of the answer, ``load`` what the endpoint had then. The
    ``keeper`` is another engine from which it can fetch the beginning.
    """

    endpoint: ListedEndpoint
    reading: float
    expected: float
    load: Load
    keeper: ListedEndpoint | None = None


def rank_homes(
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
    return sum(part.tokens for part in prompt.shared_parts)


def reading_ms(prompt: Prompt, *, at_home: bool) -> float:
    """Return the time that an idle engine takes to read a prompt."""
    whole = prompt.input_tokens
    known = min(whole, shared_tokens(prompt)) if at_home else 0
    pairs = (whole * whole - known * known) / 2
    return (whole - known) / TOKENS_READ_PER_MS + pairs * MS_PER_PAIR


@dataclass(frozen=True, slots=True)
class Wish:
    """A request that looks for an engine.

    ``fill`` is the part of its bounds that an engine may have in use, and
    ``left`` the milliseconds in which the first token is due.
    """

    job: Job
    fill: float
    left: float


def place_generation(
    wish: Wish,
    service: RoutedService,
    home: Candidate | None,
    others: Iterable[Candidate],
) -> Placed | None:
    """Return the engine with room that answers at least cost, if any has.

    The ``others`` have to get a shared beginning that its home keeps.
    """
    bids: list[_Bid | None] = []
    if home is not None:
        at_home = _Terms(
            reading_ms(wish.job.prompt, at_home=True), wish.fill, 0
        )
        bids.append(_bid(wish, service, home, at_home))
    elsewhere = _terms_elsewhere(wish, service, has_home=home is not None)
    bids.extend(_bid(wish, service, each, elsewhere) for each in others)
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
    wish: Wish,
    service: RoutedService,
    *,
    has_home: bool,
) -> _Terms:
    """Return the terms for an engine that has not read the beginning.

    It fetches the beginning from its home where engines can do that, and
    else reads it again.
    """
    prompt = wish.job.prompt
    shared = shared_tokens(prompt)
    per_token = service.engine.fetch_ms if service.engine else 0
    is_heavy = has_home and shared >= HEAVY_TOKENS
    penalty = shared / TOKENS_READ_PER_MS * COPY_WEIGHT if has_home else 0
    if has_home and per_token:
        reading = reading_ms(prompt, at_home=True) + shared * per_token
        spill = FETCH_FRACTION
    else:
        reading = reading_ms(prompt, at_home=False)
        spill = REREAD_FRACTION
    room = wish.fill * spill if is_heavy else wish.fill
    return _Terms(reading, room, penalty)


@dataclass(frozen=True, slots=True)
class _Bid:
    placed: Placed
    cost: float


def _cost_of(bid: _Bid) -> float:
    return bid.cost


def _bid(
    wish: Wish,
    service: RoutedService,
    candidate: Candidate,
    terms: _Terms,
) -> _Bid | None:
    """Return what an engine offers, or None if it has no room."""
    placed = _placed(candidate, terms.reading)
    is_late = placed.expected > wish.left * PUNCTUAL
    room = terms.room * LATE_ROOM if is_late else terms.room
    if fill_of(service, candidate) >= room:
        return None
    distance = DISTANCE_MS if candidate.distant else 0
    return _Bid(placed, placed.expected + terms.penalty + distance)


def fill_of(service: RoutedService, candidate: Candidate) -> float:
    """Return the part of its bounds that an engine has in use."""
    slots = service.engine.slots if service.engine else 1
    load = candidate.load
    return max(
        load.running / (slots * BATCH_FRACTION),
        load.reading * candidate.pace / MAX_READING_MS,
    )


def _placed(candidate: Candidate, reading: float) -> Placed:
    load = candidate.load
    work = load.reading + reading + load.running * MS_PER_RUNNING
    expected = (work + BATCH_MS) * candidate.pace
    return Placed(candidate.endpoint, reading, expected, load)


def place_call(
    fill: float,
    candidates: Iterable[Candidate],
) -> Placed | None:
    """Return the plain endpoint with the shortest queue, if one has room."""
    best: Placed | None = None
    for candidate in candidates:
        slots = candidate.endpoint.slots
        running = candidate.load.running
        if running >= slots * PLAIN_QUEUE * fill:
            continue
        queue = max(0, running + 1 - slots) / slots
        expected = PLAIN_CALL_MS * candidate.pace * (1 + queue)
        expected += running / slots
        if best is None or expected < best.expected:
            best = Placed(candidate.endpoint, 0, expected, candidate.load)
    return best
