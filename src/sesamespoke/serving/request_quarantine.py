"""Keeps requests that crash endpoints from being sent, over all routers.

The evidence (``request_evidence``) is shared by all hosts: what broke, what
an answer has cleared, and which request is being tried.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesamespoke.crash_messages import (
    RequestCleared,
    RequestsBroken,
    RequestTrial,
)
from sesamespoke.metrics import Metrics
from sesamespoke.part_quarantine import Broadcaster, PartUse
from sesamespoke.request_evidence import Break, RequestEvidence
from sesamespoke.serving.serving_dependencies import Log

COLLECT_SECONDS = 0.02
"""Time within which breaks are told to other hosts in one message."""
MAX_ROWS = 1024
"""Rows of one message; what is beyond them goes into the next one."""
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RequestQuarantineDependencies:
    """The components of the router that the quarantine uses."""

    links: Broadcaster
    metrics: Metrics
    clock: Callable[[], float]
    log: Log


class RequestQuarantine:
    """The quarantined requests, kept in step with those of other hosts.

    ``on_quarantined`` is called with the digest of a request and whether the
    last break happened at this host, ``on_released`` with its digest.
    """

    def __init__(self, deps: RequestQuarantineDependencies) -> None:
        """Start empty; peers send what they know when they connect."""
        self.on_quarantined: Callable[[bytes, bool], None] = _ignore_found
        self.on_released: Callable[[bytes], None] = _ignore_digest
        self._links = deps.links
        self._metrics = deps.metrics
        self._clock = deps.clock
        self._log = deps.log
        self._evidence = RequestEvidence(deps.clock)
        self._trials: set[str] = set()
        self._unsent: list[tuple[bytes, Break]] = []
        self.quarantined = self._evidence.quarantined
        self.is_suspected = self._evidence.is_suspected
        self.restore = self._evidence.restore
        self.seconds_blocked = self._evidence.seconds_blocked
        deps.links.subscribe(RequestsBroken, self._hear_broken)
        deps.links.subscribe(RequestCleared, self._hear_cleared)
        deps.links.subscribe(RequestTrial, self._hear_trial)
        deps.links.on_reconnected(self._send_all)

    def begin_attempt(self, use: PartUse) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""
        if self.seconds_blocked(use.digest) > 0:
            return False
        if self._evidence.begin_trial(use.digest):
            self._trials.add(use.request_id)
            self._links.broadcast(RequestTrial(use.digest, running=True))
            self._metrics.count('quarantine_trials')
            self._log(
                'quarantine_trial',
                request_id=use.request_id,
                digest=use.digest.hex(),
            )
        return True

    def end_attempt(self, use: PartUse) -> None:
        """Note that an attempt ended without a crash or an answer."""
        if use.request_id in self._trials:
            self._trials.discard(use.request_id)
            self._evidence.end_trial(use.digest)
            self._links.broadcast(RequestTrial(use.digest, running=False))

    def note_broken(self, use: PartUse, sent_at: float) -> None:
        """Note that a connection ended before an answer to a request."""
        self._trials.discard(use.request_id)
        found = Break(sent_at, self._clock())
        self._add(use.digest, found, is_found_here=True)
        if not self._unsent:
            asyncio.get_running_loop().call_later(
                COLLECT_SECONDS, self._send_breaks
            )
        self._unsent.append((use.digest, found))

    def clear(self, use: PartUse, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""
        if not self.is_suspected(use.digest):
            return
        self._clear(use.digest, begun_at)
        age_ms = self._age_ms(begun_at)
        self._links.broadcast(RequestCleared(use.digest, age_ms))

    def note_answered(self, use: PartUse, begun_at: float) -> None:
        """Note a complete answer, which began at a time of the clock."""
        self._trials.discard(use.request_id)
        self.clear(use, begun_at)
        self._evidence.note_answered(use.digest)

    def _add(self, digest: bytes, found: Break, *, is_found_here: bool) -> None:
        if self._evidence.add_break(digest, found):
            self._metrics.count('requests_quarantined')
            self._log('request_quarantined', digest=digest.hex())
            self.on_quarantined(digest, is_found_here)

    def _clear(self, digest: bytes, begun_at: float) -> None:
        if self._evidence.clear(digest, begun_at):
            self._metrics.count('requests_released')
            self._log('request_released', digest=digest.hex())
            self.on_released(digest)

    def _send_breaks(self) -> None:
        unsent = self._unsent
        self._unsent = []
        for message in self._describe(unsent):
            self._links.broadcast(message)

    def _describe(
        self, breaks: list[tuple[bytes, Break]]
    ) -> Iterable[RequestsBroken]:
        for begin in range(0, len(breaks), MAX_ROWS):
            rows = breaks[begin : begin + MAX_ROWS]
            digests = sorted({digest for digest, _ in rows})
            yield RequestsBroken(
                tuple(
                    (
                        digest,
                        self._age_ms(found.sent_at),
                        self._age_ms(found.happened_at),
                    )
                    for digest, found in rows
                ),
                tuple(filter(self._evidence.is_answered, digests)),
                tuple(filter(self._evidence.is_quarantined, digests)),
            )

    def _age_ms(self, at: float) -> int:
        return round((self._clock() - at) * MS_PER_SECOND)

    def _send_all(self, host: str) -> None:
        """Tell a host what it may have missed of requests that repeat."""
        for digest, begun_at in self._evidence.cleared().items():
            age_ms = self._age_ms(begun_at)
            self._links.send(host, RequestCleared(digest, age_ms))
        breaks = [
            (each, found)
            for each in self.quarantined()
            for found in self._evidence.breaks(each)
        ]
        for message in self._describe(breaks):
            self._links.send(host, message)

    def _hear_broken(self, sender: str, message: RequestsBroken) -> None:
        now = self._clock()
        for digest in message.answered:
            self._evidence.note_answered(digest)
        for digest, sent_age_ms, age_ms in message.rows:
            found = Break(
                now - sent_age_ms / MS_PER_SECOND, now - age_ms / MS_PER_SECOND
            )
            self._add(digest, found, is_found_here=False)
        for digest in message.quarantined:
            self._evidence.adopt(digest)

    def _hear_cleared(self, sender: str, message: RequestCleared) -> None:
        begun_at = self._clock() - message.age_ms / MS_PER_SECOND
        self._clear(message.digest, begun_at)

    def _hear_trial(self, sender: str, message: RequestTrial) -> None:
        if message.running:
            self._evidence.adopt(message.digest)
            self._evidence.begin_trial(message.digest)
        else:
            self._evidence.end_trial(message.digest)


def _ignore_found(digest: bytes, is_found_here: bool) -> None:
    """Do nothing with a request that has been quarantined."""


def _ignore_digest(digest: bytes) -> None:
    """Do nothing with a request that has been released."""
