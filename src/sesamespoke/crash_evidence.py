"""Finds the prompt parts on which endpoints crash, by group testing.

This is for requests that differ in everything but one part of their prompt.
Whatever an endpoint had not begun to answer when it crashed is a candidate:
each of those requests, and each shared part of their prompts. An answer that
begins later clears its request and its parts, because no endpoint gets that
far with a part on which it crashes. A part is quarantined once different
requests with it were each sent after the crash before and crashed another
endpoint, while no answer with it began.

Several parts may always come together, and several causes may share a part. A
quarantined part is therefore tried by a single request, at once by one that is
suspected for nothing else, and rarely after that if it is the only one that
explains its crashes.

Source: Dorfman, "The detection of defective members of large populations",
Annals of Mathematical Statistics, 1943.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

CRASHES_OF_NEW_PART = 2
"""Crashes after which a part is quarantined if no answer with it was seen."""
CRASHES_OF_ANSWERED_PART = 4
"""The same for a part with which answers have begun before: most likely it
comes together with the part that is the cause."""
TRIAL_SECONDS = 2.0
"""Wait before the next trial of a part that is one of several candidates."""
JOINT_TRIAL_SECONDS = 5.0
"""The same for a request that holds several such parts."""
PROVEN_TRIAL_SECONDS = 30.0
"""The same for a part that alone explains ``MANY_CRASHES`` or more."""
MANY_CRASHES = 5
RACE_SECONDS = 0.25
"""Trials that hosts begin within this time, before they hear of one another,
count as one."""
EXPIRY_SECONDS = 600.0
"""A crash counts until no request with its candidates has come for so long."""
MERGE_SECONDS = 1.0
"""Reports on an endpoint within this time are about the same crash."""
MAX_CRASHES = 256
MAX_ANSWERED_PARTS = 20_000
MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request without an answer when its endpoint crashed.

    ``parts`` are the shared parts of its prompt that may be the cause.
    """

    digest: bytes
    sent_at: float
    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an endpoint, and the requests that may be its cause.

    ``name`` identifies the endpoint.
    """

    name: str
    happened_at: float
    requests: tuple[BrokenRequest, ...]


@dataclass(slots=True)
class _OpenCrash:
    name: str
    happened_at: float
    requests: dict[bytes, BrokenRequest]

    def candidates(self) -> frozenset[str]:
        """Return the parts that may be the cause, with '' for others."""
        return frozenset(
            part
            for request in self.requests.values()
            for part in request.parts or ('',)
        )

    def remove(self, digest: bytes, parts: frozenset[str]) -> None:
        """Remove a request and parts that are not the cause."""
        self.requests = {
            each.digest: replace(
                each,
                parts=tuple(part for part in each.parts if part not in parts),
            )
            for each in self.requests.values()
            if each.digest != digest
        }


@dataclass(slots=True)
class _Quarantined:
    """When a part was quarantined, tried, and last asked for.

    ``is_proven`` is set for a part that was read from a record, without the
    evidence; its first trial is taken as done, since routers that restart
    together would each begin with one.
    """

    since: float
    asked_at: float
    tried_at: float = -math.inf
    trials: int = 0
    is_proven: bool | None = None


class CrashEvidence:
    """The crashes that are not explained yet, and the quarantined parts."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any crash."""
        self._clock = clock
        self._crashes: list[_OpenCrash] = []
        self._quarantined: dict[str, _Quarantined] = {}
        self._answered: dict[str, None] = {}
        self._cleared_at: dict[str | bytes, float] = {}
        self._suspects: frozenset[str | bytes] = frozenset()

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the quarantined parts."""
        return frozenset(self._quarantined)

    def crashes(self) -> tuple[Crash, ...]:
        """Return the crashes, with the requests that are not cleared."""
        return tuple(
            Crash(crash.name, crash.happened_at, tuple(crash.requests.values()))
            for crash in self._crashes
        )

    def is_suspected(self, digest: bytes, parts: Iterable[str]) -> bool:
        """Return whether a request or its parts are candidates."""
        if not self._suspects:
            return False
        return digest in self._suspects or not self._suspects.isdisjoint(parts)

    def add_crash(self, crash: Crash) -> frozenset[str]:
        """Add the requests of a crash; return the parts newly quarantined.

        Several routers add to the same crash.
        """
        self._expire()
        known = self._find_or_open(crash)
        for request in crash.requests:
            if not self._is_cleared(request.digest, known.happened_at):
                known.requests[request.digest] = replace(
                    request, parts=self._uncleared(request, known.happened_at)
                )
        candidates = known.candidates() - {''}
        self._update_suspects()
        return self._quarantine(candidates)

    def clear(
        self, digest: bytes, parts: Iterable[str], begun_at: float
    ) -> frozenset[str]:
        """Clear a request and its parts of the crashes before an answer.

        Returns the parts that leave the quarantine.
        """
        cleared = frozenset(parts)
        self._note_cleared(digest, begun_at)
        for part in cleared:
            self._note_cleared(part, begun_at)
        for crash in self._crashes:
            if crash.happened_at < begun_at:
                crash.remove(digest, cleared)
        released = frozenset(
            name
            for name in cleared & self._quarantined.keys()
            if self._count_crashes(name) < self._limit(name)
        )
        for each in released:
            del self._quarantined[each]
        self._update_suspects()
        return released

    def answered(self, parts: Iterable[str]) -> frozenset[str]:
        """Return those parts with which an answer was complete."""
        return frozenset(parts).intersection(self._answered)

    def note_answered(self, parts: Iterable[str]) -> None:
        """Remember parts with which an answer was complete."""
        for part in parts:
            self._answered.pop(part, None)
            self._answered[part] = None
        while len(self._answered) > MAX_ANSWERED_PARTS:
            del self._answered[next(iter(self._answered))]

    def restore(self, part: str, *, is_proven: bool) -> None:
        """Quarantine a part that another process has recorded."""
        if part not in self._quarantined:
            now = self._clock()
            state = _Quarantined(now, now, is_proven=is_proven)
            if is_proven:
                state.trials = 1
                state.tried_at = now
            self._quarantined[part] = state
            self._update_suspects()

    def seconds_blocked(
        self, parts: Iterable[str], *, is_suspect: bool = False
    ) -> float:
        """Return how long a request with these parts must not be sent.

        ``is_suspect`` tells that the request itself may crash endpoints.
        """
        if not self._quarantined:
            return 0
        now = self._clock()
        found = [part for part in parts if part in self._quarantined]
        is_alone = len(found) == 1 and not is_suspect
        wait = self._trial_interval(found, is_alone=is_alone)
        due_at = now
        for name in found:
            state = self._quarantined[name]
            state.asked_at = now
            if state.trials or not is_alone:
                due_at = max(due_at, _next_trial_at(state, wait))
        return due_at - now

    def begin_trial(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Note that a request is sent; return its quarantined parts."""
        tried = tuple(part for part in parts if part in self._quarantined)
        now = self._clock()
        for part in tried:
            state = self._quarantined[part]
            if now - state.tried_at > RACE_SECONDS:
                state.trials += 1
            state.tried_at = now
        return tried

    def end_trial(self, parts: Iterable[str]) -> None:
        """Take back trials that ended without a result."""
        for part in parts:
            state = self._quarantined.get(part)
            if state is not None and state.trials:
                state.tried_at = -math.inf
                state.trials -= 1

    def is_proven(self, part: str) -> bool:
        """Return whether no other part explains the same crashes as well.

        A part that was answered before explains them less well.
        """
        state = self._quarantined.get(part)
        if state is not None and state.is_proven:
            return True
        found = (crash.candidates() for crash in self._crashes)
        explained = [candidates for candidates in found if part in candidates]
        if not explained:
            return not self._has_recorded_rival(part)
        common = frozenset.intersection(*explained)
        rivals = common - {part, ''}
        if part not in self._answered:
            rivals -= self._answered.keys()
        return not rivals

    def _is_tried_rarely(self, part: str) -> bool:
        """Return whether a part alone explains many crashes, or a record."""
        explained = sum(part in crash.candidates() for crash in self._crashes)
        return (not explained or explained >= MANY_CRASHES) and self.is_proven(
            part
        )

    def _has_recorded_rival(self, part: str) -> bool:
        """Return whether another part was recorded without a proof."""
        return any(
            name != part and state.is_proven is False
            for name, state in self._quarantined.items()
        )

    def _find_or_open(self, crash: Crash) -> _OpenCrash:
        for known in self._crashes:
            apart = abs(known.happened_at - crash.happened_at)
            if known.name == crash.name and apart <= MERGE_SECONDS:
                return known
        opened = _OpenCrash(crash.name, crash.happened_at, {})
        self._crashes.append(opened)
        return opened

    def _update_suspects(self) -> None:
        """Drop the crashes without a candidate, and index the others."""
        self._crashes = [
            crash for crash in self._crashes if crash.candidates() - {''}
        ]
        digests = (crash.requests.keys() for crash in self._crashes)
        parts = (crash.candidates() for crash in self._crashes)
        self._suspects = frozenset().union(self._quarantined, *digests, *parts)

    def _quarantine(self, parts: Iterable[str]) -> frozenset[str]:
        """Quarantine the parts that have reached their limit."""
        now = self._clock()
        reached = frozenset(
            name
            for name in parts
            if name not in self._quarantined
            and self._count_crashes(name) >= self._limit(name)
        )
        for each in reached:
            self._quarantined[each] = _Quarantined(now, now)
        return reached

    def _limit(self, part: str) -> int:
        return (
            CRASHES_OF_ANSWERED_PART
            if part in self._answered
            else CRASHES_OF_NEW_PART
        )

    def _count_crashes(self, part: str) -> int:
        """Return the crashes by different requests, one after the other.

        A request that was sent before the last counted crash is no further
        evidence: many endpoints may fail together for another reason.
        """
        counted: set[bytes] = set()
        last_at = -math.inf
        for crash in sorted(self._crashes, key=_happened_at):
            digests = {
                request.digest
                for request in crash.requests.values()
                if part in request.parts and request.sent_at > last_at
            }
            fresh = digests - counted
            if fresh:
                counted.add(min(fresh))
                last_at = crash.happened_at
        return len(counted)

    def _trial_interval(self, found: list[str], *, is_alone: bool) -> float:
        """Return the wait between trials of requests with these parts."""
        if any(map(self._is_tried_rarely, found)):
            return PROVEN_TRIAL_SECONDS
        return TRIAL_SECONDS if is_alone else JOINT_TRIAL_SECONDS

    def _uncleared(
        self, request: BrokenRequest, happened_at: float
    ) -> tuple[str, ...]:
        return tuple(
            part
            for part in request.parts
            if not self._is_cleared(part, happened_at)
        )

    def _note_cleared(self, name: str | bytes, begun_at: float) -> None:
        before = self._cleared_at.get(name, begun_at)
        self._cleared_at[name] = max(begun_at, before)

    def _is_cleared(self, name: str | bytes, happened_at: float) -> bool:
        return self._cleared_at.get(name, -math.inf) > happened_at

    def _expire(self) -> None:
        """Drop what is too old, and the oldest crashes if there are many."""
        oldest = self._clock() - EXPIRY_SECONDS
        for part, state in tuple(self._quarantined.items()):
            if state.asked_at < oldest:
                del self._quarantined[part]
        self._cleared_at = {
            name: at for name, at in self._cleared_at.items() if at >= oldest
        }
        by_age = sorted(self._crashes, key=_happened_at)
        self._crashes = [
            crash
            for crash in by_age[-MAX_CRASHES:]
            if self._is_current(crash, oldest)
        ]

    def _is_current(self, crash: _OpenCrash, oldest: float) -> bool:
        return crash.happened_at >= oldest or not crash.candidates().isdisjoint(
            self._quarantined
        )


def _next_trial_at(state: _Quarantined, wait: float) -> float:
    """Return when a part may be tried again."""
    doublings = min(MAX_DOUBLINGS, state.trials)
    return max(state.since, state.tried_at) + wait * (1 << doublings)


def _happened_at(crash: _OpenCrash) -> float:
    return crash.happened_at
