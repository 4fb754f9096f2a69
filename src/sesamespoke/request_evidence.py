"""Finds the requests on which endpoints crash, by their repeats.

A request is suspected if it was sent to endpoints that broke one after the
other, and no answer to it began meanwhile. What was in flight when one
endpoint broke counts once, however many repeats of it there were. A suspected
request is tried by one repeat at a time, the first at once: an answer that
begins releases it, and each failed trial delays the next one.
"""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sesamespoke.crash_evidence import RACE_SECONDS

BREAKS_OF_NEW_REQUEST = 2
"""Breaks after which a request without an earlier answer is quarantined."""
BREAKS_OF_ANSWERED_REQUEST = 4
"""The same for a request that has been answered before: most likely others
beside it are the cause."""
QUICK_TRIAL_SECONDS = 2.0
"""Wait after the first failed trial; the wait doubles with each further one."""
QUICK_TRIALS = 2
"""Trials that come quickly, since one may fail for a reason beside it. All do
of a request that has been answered before."""
TRIAL_SECONDS = 60.0
"""Wait after the last of them; it doubles with each further failure."""
RUNNING_TRIAL_SECONDS = 1.0
"""Time after which to ask again about a request that is being tried."""
EXPIRY_SECONDS = 600.0
"""A break counts until there was none of its request for so long."""
EXPIRY_CHECK_SECONDS = 10.0
MAX_REQUESTS = 4096
MAX_BREAKS = 16
MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True)
class Break:
    """A connection that ended, without an answer, on a request."""

    sent_at: float
    happened_at: float


@dataclass(slots=True)
class _Record:
    """What is known of one request.

    ``is_told`` tells that another process has quarantined it, and ``running``
    that a trial has neither failed nor been answered.
    """

    breaks: list[Break] = field(default_factory=list)
    is_told: bool = False
    trials: int = 0
    tried_at: float = -math.inf
    running: bool = False

    def find_sequence(self) -> list[Break]:
        """Return the breaks that happened one after the other.

        A request that was sent before the last of them is no further
        evidence: endpoints may fail together for another reason.
        """
        found: list[Break] = []
        for each in sorted(self.breaks, key=_happened_at):
            if not found or each.sent_at >= found[-1].happened_at:
                found.append(each)
        return found

    def add(self, found: Break) -> None:
        """Add a break; keep only the evidence if there are many."""
        if found not in self.breaks:
            self.breaks = [*self.breaks, found]
        if len(self.breaks) > MAX_BREAKS:
            self.breaks = self.find_sequence()[-MAX_BREAKS:]


class RequestEvidence:
    """The requests that broke at endpoints, by their digests."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any break."""
        self._clock = clock
        self._records: dict[bytes, _Record] = {}
        self._answered: dict[bytes, None] = {}
        self._cleared_at: dict[bytes, float] = {}
        self._expires_at = -math.inf

    def quarantined(self) -> tuple[bytes, ...]:
        """Return the digests of the quarantined requests."""
        self._expire()
        return tuple(filter(self.is_quarantined, self._records))

    def is_suspected(self, digest: bytes) -> bool:
        """Return whether a request broke at an endpoint."""
        return digest in self._records

    def is_quarantined(self, digest: bytes) -> bool:
        """Return whether a request is sent only as a trial."""
        record = self._records.get(digest)
        if record is None:
            return False
        limit = (
            BREAKS_OF_ANSWERED_REQUEST
            if digest in self._answered
            else BREAKS_OF_NEW_REQUEST
        )
        return record.is_told or len(record.find_sequence()) >= limit

    def add_break(self, digest: bytes, found: Break) -> bool:
        """Add a break; return whether it quarantined the request."""
        self._expire()
        if found.happened_at <= self._cleared_at.get(digest, -math.inf):
            return False
        was_quarantined = self.is_quarantined(digest)
        record = self._records.setdefault(digest, _Record())
        if found.sent_at >= record.tried_at:
            record.running = False
        record.add(found)
        if len(self._records) > MAX_REQUESTS:
            self._drop_oldest()
        return self.is_quarantined(digest) and not was_quarantined

    def breaks(self, digest: bytes) -> tuple[Break, ...]:
        """Return the breaks of a request."""
        record = self._records.get(digest)
        return tuple(record.breaks) if record else ()

    def clear(self, digest: bytes, begun_at: float) -> bool:
        """Drop the breaks before an answer began; return whether it released.

        A trial that is answered ends as well.
        """
        record = self._records.get(digest)
        if record is None:
            return False
        was_quarantined = self.is_quarantined(digest)
        cleared_at = self._cleared_at.pop(digest, begun_at)
        self._cleared_at[digest] = max(begun_at, cleared_at)
        _trim(self._cleared_at)
        later = [each for each in record.breaks if each.happened_at > begun_at]
        if later:
            record.breaks = later
            record.is_told = False
        else:
            del self._records[digest]
        return was_quarantined and not self.is_quarantined(digest)

    def cleared(self) -> dict[bytes, float]:
        """Return when answers began to requests that had broken."""
        self._expire()
        return dict(self._cleared_at)

    def is_answered(self, digest: bytes) -> bool:
        """Return whether a request has had a complete answer."""
        return digest in self._answered

    def note_answered(self, digest: bytes) -> None:
        """Remember that a request has had a complete answer."""
        self._answered.pop(digest, None)
        self._answered[digest] = None
        _trim(self._answered)

    def adopt(self, digest: bytes) -> None:
        """Quarantine a request as another router has."""
        record = self._records.setdefault(digest, _Record())
        record.is_told = True

    def restore(self, digest: bytes) -> None:
        """Quarantine a request that an earlier process has recorded.

        Its first trials are taken as done: routers that restart together
        would each begin with them.
        """
        record = self._records.setdefault(digest, _Record())
        record.is_told = True
        record.trials = max(QUICK_TRIALS, record.trials)
        record.tried_at = max(self._clock(), record.tried_at)

    def seconds_blocked(self, digest: bytes) -> float:
        """Return how long a request must not be sent; 0 if it may be now."""
        record = self._records.get(digest)
        if record is None or not record.trials:
            return 0
        if not self.is_quarantined(digest):
            return 0
        quick = math.inf if digest in self._answered else QUICK_TRIALS
        due_at = record.tried_at + _wait_after(record.trials, quick)
        blocked_for = max(0, due_at - self._clock())
        if record.running:
            return min(RUNNING_TRIAL_SECONDS, blocked_for)
        return blocked_for

    def begin_trial(self, digest: bytes) -> bool:
        """Note that a request is sent; return whether that is a trial."""
        if not self.is_quarantined(digest):
            return False
        record = self._records[digest]
        if self._clock() - record.tried_at > RACE_SECONDS:
            record.trials += 1
        record.tried_at = self._clock()
        record.running = True
        return True

    def end_trial(self, digest: bytes) -> None:
        """Take back a trial that ended without a result."""
        record = self._records.get(digest)
        if record is not None and record.trials:
            record.trials -= 1
            record.tried_at = -math.inf
            record.running = False

    def _drop_oldest(self) -> None:
        """Drop the oldest record, a quarantined one only if all are."""
        free = itertools.filterfalse(self.is_quarantined, self._records)
        del self._records[next(free, next(iter(self._records)))]

    def _expire(self) -> None:
        now = self._clock()
        if now < self._expires_at:
            return
        self._expires_at = now + EXPIRY_CHECK_SECONDS
        oldest = now - EXPIRY_SECONDS
        self._records = {
            digest: record
            for digest, record in self._records.items()
            if _last_at(record) >= oldest
        }
        self._cleared_at = {
            digest: at
            for digest, at in self._cleared_at.items()
            if at >= oldest
        }


def _wait_after(trials: int, quick: float) -> float:
    """Return the seconds from the last of some trials to the next one."""
    doublings = min(MAX_DOUBLINGS, trials - 1)
    if trials < quick:
        return QUICK_TRIAL_SECONDS * (1 << doublings)
    return TRIAL_SECONDS * (1 << max(0, doublings - QUICK_TRIALS + 1))


def _last_at(record: _Record) -> float:
    """Return when a record was last added to."""
    return max(record.tried_at, *map(_happened_at, record.breaks), -math.inf)


def _happened_at(found: Break) -> float:
    return found.happened_at


def _trim(names: dict[bytes, Any]) -> None:
    """Drop the oldest entries of a table that has grown too long."""
    while len(names) > MAX_REQUESTS:
        del names[next(iter(names))]
