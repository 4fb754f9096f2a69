"""Answers of a service's endpoints, and whether one fails more than the rest.

An endpoint is compared with the others by Wald's sequential test ("Sequential
tests of statistical hypotheses", 1945): the errors that all endpoints have
are the requests' own. The share of a service's other endpoints is taken with
few answers of each, so that one that fails fast doesn't excuse another.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

DECAY_SECONDS = 5.0
"""Time constant of the decay of counted answers."""
MIN_ERRORS = 4.5
"""Errors, decayed, from which an endpoint may be an outlier: five within about
half a second."""
MIN_ACCUSING_ERRORS = 2.0
"""Errors from which other hosts tell of sound answers of the endpoint."""
MIN_ACCUSING_SHARE = 0.5
"""The share of errors of which the same holds."""
ERRORS_PER_CAUSE = 2.0
"""Limit of counted errors of one cause, that is of requests which have not been
answered by another endpoint."""
MAX_CAUSES = 32
"""With more causes than this the endpoint, not a request, is at fault."""
MIN_KEPT = 0.01
"""Counts of errors below this one are forgotten."""
KNOWN_GOOD = 0
"""The cause of errors of requests like those that others answered."""
MIN_OTHER_ANSWERS = 3.0
ANSWERS_PER_ENDPOINT = 10.0
"""Limit of an endpoint's weight in the share of errors of the others."""
MIN_BASE_SHARE = 0.02
OUTLIER_SHARE = 0.75
"""The share of errors that is supposed of an outlier."""
REJECT_SCORE = math.log(3000)
"""Log likelihood ratio from which an endpoint fails more than the others. All
are judged again and again, which one in a hundred would not bear."""
TOLERATED_SHARE = 0.4
"""An endpoint with no more errors does more work well than it spoils."""
TOLERATED_SCORE = math.log(12)
"""The ratio from which an endpoint has more; few errors without a sound answer
have to be enough."""


@dataclass(slots=True)
class Tally:
    """The answers of an endpoint's incarnation, decayed to a time.

    ``errors`` are counted by cause. ``accused_at`` is the time since which
    the endpoint may be an outlier, if it may now.
    """

    born: int
    at: float
    sound: float = 0
    errors: dict[int, float] = field(default_factory=dict)
    accused_at: float | None = None

    @property
    def counted_errors(self) -> float:
        """Return the errors, those of one cause up to its limit."""
        return sum(
            count if cause == KNOWN_GOOD else min(count, ERRORS_PER_CAUSE)
            for cause, count in self.errors.items()
        )

    @property
    def answers(self) -> float:
        """Return the number of answers that count."""
        return self.counted_errors + self.sound

    @property
    def error_share(self) -> float:
        """Return the share of errors in the answers that count."""
        answers = self.answers
        return self.counted_errors / answers if answers else 0

    @property
    def is_accused(self) -> bool:
        """Return whether the endpoint may be an outlier."""
        return (
            self.counted_errors >= MIN_ACCUSING_ERRORS
            and self.error_share >= MIN_ACCUSING_SHARE
        )

    def fade(self, now: float) -> None:
        """Let the counts decay to a later time."""
        factor = math.exp((self.at - now) / DECAY_SECONDS)
        self.at = now
        self.sound *= factor
        self.errors = {
            cause: count * factor
            for cause, count in self.errors.items()
            if count > MIN_KEPT
        }

    def add_errors(self, cause: int, count: float) -> None:
        """Count errors of one cause."""
        known = cause if cause in self.errors else KNOWN_GOOD
        kept = cause if len(self.errors) < MAX_CAUSES else known
        self.errors[kept] = self.errors.get(kept, 0) + count


def is_outlier(tally: Tally, others: Iterable[Tally]) -> bool:
    """Return whether an endpoint fails clearly more than others do."""
    if tally.counted_errors < MIN_ERRORS:
        return False
    if _score(tally, TOLERATED_SHARE) < TOLERATED_SCORE:
        return False
    weights = [
        (min(other.answers, ANSWERS_PER_ENDPOINT), other.error_share)
        for other in others
    ]
    answers = sum(weight for weight, _ in weights)
    if answers < MIN_OTHER_ANSWERS:
        return False
    base = sum(weight * share for weight, share in weights) / answers
    base = max(MIN_BASE_SHARE, base)
    if base >= OUTLIER_SHARE:
        return False
    return _score(tally, base) >= REJECT_SCORE


def _score(tally: Tally, base: float) -> float:
    """Return the log likelihood ratio of an outlier over a share of errors."""
    return tally.counted_errors * math.log(
        OUTLIER_SHARE / base
    ) + tally.sound * math.log((1 - OUTLIER_SHARE) / (1 - base))
