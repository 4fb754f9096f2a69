"""Keeps requests with a prompt part that crashes endpoints from being sent.

The evidence (``crash_evidence``) is shared by all hosts: what broke at a
crash, what an answer has cleared, and which part is being tried.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from sesamespoke.crash_detector import (
    CrashDetector,
    IsRefusing,
    ServedEndpoint,
    refuses_connections,
)
from sesamespoke.crash_evidence import BrokenRequest, Crash, CrashEvidence
from sesamespoke.crash_messages import (
    EndpointCrash,
    PartsCleared,
    PartsTrial,
)
from sesamespoke.links import Links
from sesamespoke.messages import Message
from sesamespoke.metrics import Metrics

MAX_ROWS = 1024
"""Rows of a message on one crash; what is beyond them is left out."""
PROOF_SECONDS = 0.25
"""Time for which an answer goes on before it shows that its request does not
crash endpoints."""
MS_PER_SECOND = 1000


class Broadcaster(Links, Protocol):
    """Links that can send one message to all hosts."""

    def broadcast(self, message: Message) -> None:
        """Queue a message to every other member."""


class Log(Protocol):
    """Writes structured log events without blocking."""

    def __call__(self, event: str, /, **fields: str | bool) -> None:
        """Write an event, or count it as dropped."""


@dataclass(frozen=True, slots=True)
class PartQuarantineDependencies:
    """The components of the router that the quarantine uses."""

    links: Broadcaster
    metrics: Metrics
    clock: Callable[[], float]
    log: Log
    is_refusing: IsRefusing = refuses_connections


@dataclass(frozen=True, slots=True)
class PartUse:
    """A request with the shared parts of its prompt.

    ``is_suspect`` tells that repeats of the request have broken at endpoints.
    """

    request_id: str
    digest: bytes
    parts: tuple[str, ...]
    is_suspect: bool = False


class PartQuarantine:
    """The quarantined parts, kept in step with those of other hosts.

    ``on_change`` is called with the parts that have been released, and after
    other changes without any.
    """

    def __init__(self, deps: PartQuarantineDependencies) -> None:
        """Start empty; peers send what they know when they connect."""
        self.on_change: Callable[[frozenset[str]], None] = _ignore
        self._links = deps.links
        self._metrics = deps.metrics
        self._clock = deps.clock
        self._log = deps.log
        self._evidence = CrashEvidence(deps.clock)
        self._detector = CrashDetector(self._note_crash, deps.is_refusing)
        self._trials: dict[str, tuple[str, ...]] = {}
        self.close = self._detector.close
        self.restore = self._evidence.restore
        self.seconds_blocked = self._evidence.seconds_blocked
        deps.links.subscribe(EndpointCrash, self._hear_crash)
        deps.links.subscribe(PartsCleared, self._hear_cleared)
        deps.links.subscribe(PartsTrial, self._hear_trial)
        deps.links.on_reconnected(self._send_crashes)

    def quarantined(self) -> dict[str, bool]:
        """Return the quarantined parts, and whether each is proven."""
        return {
            part: self._evidence.is_proven(part)
            for part in self._evidence.quarantined
        }

    def begin_attempt(self, use: PartUse) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""
        if self.seconds_blocked(use.parts, is_suspect=use.is_suspect) > 0:
            return False
        tried = self._evidence.begin_trial(use.parts)
        if tried:
            self._trials[use.request_id] = tried
            self._links.broadcast(PartsTrial(tried, running=True))
            self._metrics.count('quarantine_trials')
            self._log(
                'quarantine_trial',
                request_id=use.request_id,
                parts=','.join(tried),
            )
        return True

    def end_attempt(self, use: PartUse) -> None:
        """Note that an attempt ended without a crash or an answer."""
        tried = self._trials.pop(use.request_id, ())
        if tried:
            self._evidence.end_trial(tried)
            self._links.broadcast(PartsTrial(tried, running=False))

    def note_broken(
        self,
        use: PartUse,
        endpoint: ServedEndpoint,
        sent_at: float,
        *,
        has_answer: bool,
    ) -> None:
        """Note that a connection ended while an endpoint ran a request.

        ``has_answer`` tells that an answer had begun some time before.
        """
        self._trials.pop(use.request_id, None)
        if not has_answer:
            request = BrokenRequest(use.digest, sent_at, use.parts)
            self._detector.note_broken(endpoint, request)

    def is_suspected(self, use: PartUse) -> bool:
        """Return whether an answer to this request would clear something."""
        return self._evidence.is_suspected(use.digest, use.parts)

    def clear(self, use: PartUse, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""
        if not self.is_suspected(use):
            return
        self._clear(use.digest, use.parts, begun_at)
        age_ms = round((self._clock() - begun_at) * MS_PER_SECOND)
        self._links.broadcast(PartsCleared(use.digest, use.parts, age_ms))

    def note_answered(self, use: PartUse, begun_at: float) -> None:
        """Note a complete answer, which began at a time of the clock."""
        self._trials.pop(use.request_id, None)
        self.clear(use, begun_at)
        self._evidence.note_answered(use.parts)

    def _note_crash(
        self, endpoint: ServedEndpoint, requests: tuple[BrokenRequest, ...]
    ) -> None:
        crash = Crash(endpoint.name, self._clock(), requests)
        parts = {part for each in requests for part in each.parts}
        self._metrics.count('endpoint_crashes')
        self._log(
            'endpoint_crashed',
            endpoint=endpoint.name,
            requests=','.join(each.digest.hex() for each in requests),
            parts=','.join(sorted(parts)),
        )
        self._add_crash(crash)
        self._links.broadcast(self._describe(crash))

    def _add_crash(self, crash: Crash) -> None:
        for part in self._evidence.add_crash(crash):
            self._metrics.count('parts_quarantined')
            self._log(
                'part_quarantined',
                part=part,
                endpoint=crash.name,
                proven=self._evidence.is_proven(part),
            )
        self.on_change(frozenset())

    def _clear(
        self, digest: bytes, parts: Iterable[str], begun_at: float
    ) -> None:
        released = self._evidence.clear(digest, parts, begun_at)
        for part in released:
            self._metrics.count('parts_released')
            self._log('part_released', part=part)
        self.on_change(released)

    def _describe(self, crash: Crash) -> EndpointCrash:
        now = self._clock()
        rows = [
            (
                request.digest,
                round((now - request.sent_at) * MS_PER_SECOND),
                part,
            )
            for request in crash.requests
            for part in request.parts or ('',)
        ]
        age_ms = round((now - crash.happened_at) * MS_PER_SECOND)
        parts = frozenset(part for _, _, part in rows)
        answered = tuple(sorted(self._evidence.answered(parts)))
        return EndpointCrash(
            crash.name, age_ms, tuple(rows[:MAX_ROWS]), answered
        )

    def _send_crashes(self, host: str) -> None:
        for crash in self._evidence.crashes():
            self._links.send(host, self._describe(crash))

    def _hear_crash(self, sender: str, message: EndpointCrash) -> None:
        now = self._clock()
        happened_at = now - message.age_ms / MS_PER_SECOND
        requests = _read_rows(message, now)
        self._evidence.note_answered(message.answered)
        self._add_crash(Crash(message.crash, happened_at, requests))

    def _hear_cleared(self, sender: str, message: PartsCleared) -> None:
        begun_at = self._clock() - message.age_ms / MS_PER_SECOND
        self._clear(message.digest, message.parts, begun_at)

    def _hear_trial(self, sender: str, message: PartsTrial) -> None:
        if message.running:
            self._evidence.begin_trial(message.parts)
        else:
            self._evidence.end_trial(message.parts)


def _read_rows(message: EndpointCrash, now: float) -> tuple[BrokenRequest, ...]:
    """Return the requests of a crash; ``now`` is when the message came."""
    found: dict[bytes, BrokenRequest] = {}
    for digest, age_ms, part in message.rows:
        known = found.get(digest)
        parts = known.parts if known else ()
        found[digest] = BrokenRequest(
            digest, now - age_ms / MS_PER_SECOND, (*parts, part)
        )
    return tuple(
        replace(each, parts=tuple(filter(None, each.parts)))
        for each in found.values()
    )


def _ignore(released: frozenset[str]) -> None:
    """Do nothing after a change."""
