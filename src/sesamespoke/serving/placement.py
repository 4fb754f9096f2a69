"""Which endpoint takes a request: the one that would answer it first.

The load it answers: prompts of some thousand tokens whose beginnings are
shared by many requests, at engines that read prompts in order of arrival
and keep what they have read while memory lasts. A prompt that goes where
its beginning was read costs the engine half as much. Each shared beginning
has one home by rendezvous hashing, which every router computes alike. Memory
is full within seconds, so that a second home would rarely keep a beginning
till its next use.

Source of the hashing: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job, Prompt
from sesamespoke.serving.load import Load

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
MAX_READING_MS = 300.0
"""More unread prompts at an engine would make each of them late."""
BATCH_FRACTION = 0.37
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
    first byte of the answer, ``load`` what the endpoint had then.
    """

    endpoint: ListedEndpoint
    reading: float
    expected: float
    load: Load


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
    home: Candidate | None,
    others: Iterable[Candidate],
) -> Placed | None:
    """Return the home if it has room, else the engine with least to do.

    An engine that has not read the shared beginning takes the request only
    while it has little to do: reading it again costs every other caller. A
    request without a home may go to any.
    """
    if home is not None:
        if _has_room(service, home, fill):
            return _placed(job, home, at_home=True)
        fill *= SPILL_FRACTION
    best: Placed | None = None
    for candidate in others:
        if not _has_room(service, candidate, fill):
            continue
        placed = _placed(job, candidate, at_home=home is None)
        if best is None or placed.expected < best.expected:
            best = placed
    return best


def is_spare(service: RoutedService, candidate: Candidate) -> bool:
    """Return whether an engine may take what it has not read."""
    return _has_room(service, candidate, SPILL_FRACTION)


def _placed(job: Job, candidate: Candidate, *, at_home: bool) -> Placed:
    load = candidate.load
    unread = unread_tokens(job.prompt, at_home=at_home)
    reading = unread / TOKENS_READ_PER_MS
    work = load.reading + reading + load.running * MS_PER_RUNNING
    expected = (work + BATCH_MS) * candidate.pace
    return Placed(candidate.endpoint, reading, expected, load)


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
            best = Placed(candidate.endpoint, 0, expected, candidate.load)
    return best
