"""Which endpoint takes a request: the one that would answer it first.

The load it answers: prompts of some thousand tokens whose beginnings are
shared by many requests, at engines that read prompts in order of arrival
and keep what they have read while memory lasts. A prompt that goes where
its beginning was read costs the engine half as much. Each shared beginning
has ``HOMES`` endpoints by rendezvous hashing, which every router computes
alike; the shorter expected wait decides between them and, where both are
crowded, for any other.

Source of the hashing: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job, Prompt
from sesamespoke.serving.load import Load

HOMES = 1
"""Endpoints that are expected to keep one shared beginning. Memory is full
within seconds, so that a second one would rarely keep it till its next use."""
SPILL_FRACTION = 0.15
"""The part of its bounds up to which an engine takes what it has not read."""
TOKENS_READ_PER_MS = 45.0
"""What an undisturbed engine reads; each endpoint's pace corrects it."""
BATCH_MS = 20.0
"""The time to a first token beside the reading: queue, set-up, one step."""
MS_PER_RUNNING = 0.5
"""What each further request in the batch adds to the first token."""
PLAIN_CALL_MS = 40.0
"""A plain call's work; each endpoint's pace corrects it."""
MAX_READING_MS = 250.0
"""More unread prompts at an engine would make each of them late."""
BATCH_FRACTION = 0.3
"""The part of an engine's slots in use beyond which tokens come slowly."""
PLAIN_QUEUE = 1.5
"""Requests given to a plain endpoint at once, as a multiple of its slots."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used now.

    ``pace`` is how much longer than expected it takes.
    """

    endpoint: ListedEndpoint
    load: Load
    pace: float = 1


@dataclass(frozen=True, slots=True)
class Placed:
    """An endpoint chosen for a request; times in milliseconds.

    ``reading`` is the work of its prompt, ``expected`` the time to the
    first byte of the answer.
    """

    endpoint: ListedEndpoint
    reading: float
    expected: float


def homes_of(
    affinity: str,
    endpoints: Iterable[ListedEndpoint],
) -> frozenset[str]:
    """Return the endpoints that keep a shared beginning."""
    if not affinity:
        return frozenset()
    ranked = sorted(
        (endpoint.name for endpoint in endpoints),
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{name} {affinity}'.encode()
        ),
    )
    return frozenset(ranked[:HOMES])


def unread_tokens(prompt: Prompt, *, at_home: bool) -> int:
    """Return the tokens that an endpoint has to read."""
    if not at_home:
        return prompt.input_tokens
    known = sum(part.tokens for part in prompt.shared)
    return max(0, prompt.input_tokens - known)


def place_generation(
    job: Job,
    fill: float,
    service: RoutedService,
    candidates: Iterable[Candidate],
    homes: frozenset[str],
) -> Placed | None:
    """Return the engine with the earliest first token, if one has room.

    An engine that has not read the shared beginning takes the request only
    while it has little to do: reading it again costs every other caller.
    """
    best: Placed | None = None
    for candidate in candidates:
        at_home = not homes or candidate.endpoint.name in homes
        share = fill if at_home else fill * SPILL_FRACTION
        if not _has_room(service, candidate, share):
            continue
        load = candidate.load
        unread = unread_tokens(job.prompt, at_home=at_home)
        reading = unread / TOKENS_READ_PER_MS
        work = load.reading + reading + load.running * MS_PER_RUNNING
        expected = (work + BATCH_MS) * candidate.pace
        if best is None or expected < best.expected:
            best = Placed(candidate.endpoint, reading, expected)
    return best


def _has_room(
    service: RoutedService,
    candidate: Candidate,
    share: float,
) -> bool:
    """Return whether an engine is below a share of its bounds."""
    slots = service.engine.slots if service.engine else 1
    load = candidate.load
    if load.running >= slots * BATCH_FRACTION * share:
        return False
    return load.reading * candidate.pace <= MAX_READING_MS * share


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
            best = Placed(candidate.endpoint, 0, expected)
    return best


Place = Callable[[Job, float, Iterable[Candidate]], Placed | None]


def placer_for(
    service: RoutedService,
    endpoints: tuple[ListedEndpoint, ...],
) -> Place:
    """Return how requests for a service are placed."""
    if service.engine is None:
        return lambda job, fill, candidates: place_call(fill, candidates)

    def place(
        job: Job,
        fill: float,
        candidates: Iterable[Candidate],
    ) -> Placed | None:
        homes = homes_of(job.prompt.affinity, endpoints)
        return place_generation(job, fill, service, candidates, homes)

    return place
