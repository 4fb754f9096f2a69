"""The claims that a process has seen, and what they tell a later arrival."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

import msgpack

from sesamespoke.claim_record import (
    UNREADABLE,
    ClaimRecord,
    Mark,
    Standing,
)

MS_PER_SECOND = 1000
REFRESH_SECONDS = 1.0


class ClaimState(IntEnum):
    """A claim writer's answer."""

    WON = 1
    IN_PROGRESS = 2
    RAN = 3
    MAY_HAVE_RUN = 4
    KEY_REUSED = 5
    UNAVAILABLE = 6
    SETTLED = 7


@dataclass(frozen=True, slots=True)
class Judgement:
    """What an arrival is told; ``payload`` depends on the state."""

    state: ClaimState
    payload: bytes = b''


UNAVAILABLE = Judgement(ClaimState.UNAVAILABLE)
SETTLED = Judgement(ClaimState.SETTLED)


@dataclass(frozen=True, slots=True)
class Known:
    """A standing record; times are when its token and it were seen."""

    standing: Standing
    first_seen_at: float
    checked_at: float

    @property
    def record(self) -> ClaimRecord:
        """Return the record that stands."""
        return self.standing.record

    def is_stale(self, now: float) -> bool:
        """Return whether others may have settled the claim since."""
        is_open = self.record.mark is Mark.CLAIMED
        return is_open and now - self.checked_at >= REFRESH_SECONDS

    def judge(self, digest: bytes, now: float) -> Judgement | None:
        """Return what a request is told, or None if the key is free."""
        record = self.record
        if record.mark is Mark.RELEASED:
            return None
        if record.digest not in {digest, UNREADABLE.digest}:
            return Judgement(ClaimState.KEY_REUSED)
        if record.mark is Mark.RAN:
            return Judgement(ClaimState.RAN, record.encode())
        passed_ms = int((now - self.first_seen_at) * MS_PER_SECOND)
        left_ms = record.remaining_ms - passed_ms
        if record.mark is Mark.CLAIMED and left_ms > 0:
            return Judgement(ClaimState.IN_PROGRESS, msgpack.packb(left_ms))
        return Judgement(ClaimState.MAY_HAVE_RUN)


class KnownClaims:
    """A bounded number of claims; the least recently used go first."""

    def __init__(self, max_claims: int, keep_seconds: float) -> None:
        """Start without any."""
        self._max_claims = max_claims
        self._keep_seconds = keep_seconds
        self._known: OrderedDict[str, Known] = OrderedDict()

    def note(self, name: str, standing: Standing, now: float) -> Known:
        """Keep what stands for a name."""
        before = self._known.get(name)
        known = Known(standing, now, now)
        if before and before.record.token == standing.record.token:
            known = Known(standing, before.first_seen_at, now)
        self._known[name] = known
        self._known.move_to_end(name)
        if len(self._known) > self._max_claims:
            self._known.popitem(last=False)
        return known

    def find(self, name: str, now: float) -> Known | None:
        """Return what is known of a name."""
        known = self._known.get(name)
        if known is None:
            return None
        if now - known.first_seen_at > self._keep_seconds:
            self._known.pop(name)
            return None
        self._known.move_to_end(name)
        return known
