"""Compares two software versions by the answers to their requests.

Each router counts answers by route and version, in failures and in classes of
observed over expected time to the first byte. The counts of all routers are
added up. Both versions are compared on the same routes at the same time, so
that trouble which strikes both says nothing of the new one.

The comparison is a sequential probability ratio test (Wald, "Sequential tests
of statistical hypotheses", 1945): the new version answers as badly as the old
one, or a further part of its answers is bad. One noisy minute doesn't decide,
and few answers do if they are bad enough.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import accumulate

TIME_CLASSES = 12
"""Classes of observed over expected time; each is wider by sqrt(2)."""
CLASSES_PER_DOUBLING = 2
NEUTRAL_CLASS = 4
"""The class that begins where the observed time equals the expected one."""
SHORTEST_RATIO = 0.25
"""Answers that come still sooner are of the first class."""
SLOW_CLASSES = 3
"""An answer is slow this many classes above the old version's median, that is
from 2.8 times as late: versions that are slow are so several times."""
MIN_MEDIAN_ANSWERS = 10
"""Answers of the old version from which its median is taken."""
BAD_PART = 0.15
"""Further part of bad answers that makes a version bad."""
PRIOR_BAD = 3.0
PRIOR_ANSWERS = 30.0
"""Assumed answers of the old version, before any has come."""
MIN_OLD_PART = 0.02
MAX_OLD_PART = 0.6
"""Bounds of the part of bad answers that is believed of the old version."""
REJECT_SCORE = math.log(3000)
"""Log likelihood ratio from which a version is bad. A rollout is judged some
fifty times, which a single test's one in a hundred would not bear."""
ACCEPT_SCORE = -math.log(20)
"""The same at which it is good. It goes on being judged while its share
grows."""
MAX_ROUTE_SCORE = 0.5
"""A version isn't accepted while a single route speaks against it."""

FAILED_CLASS = TIME_CLASSES
"""The class of answers that failed."""

AnswerRow = tuple[str, bool, int, int]
"""Route, whether of the new version, class, number of answers."""


class Opinion(Enum):
    """What the answers say of the new version so far."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    BAD = 'bad'


def _no_answers() -> list[int]:
    return [0 for _ in range(TIME_CLASSES + 1)]


@dataclass(slots=True)
class Tally:
    """The answers of one version on one route, by class."""

    counts: list[int] = field(default_factory=_no_answers)

    @property
    def answers(self) -> int:
        """Return the number of answers, failed ones included."""
        return sum(self.counts)

    def bad_answers(self, slow_from: int) -> int:
        """Return how many answers failed, or were of a class that is slow."""
        return sum(self.counts[slow_from:])


@dataclass(slots=True)
class RouteTallies:
    """The answers of both versions on one route."""

    old: Tally = field(default_factory=Tally)
    new: Tally = field(default_factory=Tally)

    def of(self, *, is_new: bool) -> Tally:
        """Return the tally of one version."""
        return self.new if is_new else self.old


class Evidence:
    """Answers by route, counted here or added up over routers.

    ``answers`` is the number of those of both versions.
    """

    def __init__(self, rows: Iterable[AnswerRow] = ()) -> None:
        """Start with the given counts."""
        self.routes: dict[str, RouteTallies] = {}
        self._answers: Counter[str] = Counter()
        self.answers = 0
        self.add(rows)

    def add(self, rows: Iterable[AnswerRow]) -> None:
        """Add the counts of another router."""
        for route, is_new, number, count in rows:
            if 0 <= number <= FAILED_CLASS and count > 0:
                tallies = self.routes.setdefault(route, RouteTallies())
                tallies.of(is_new=is_new).counts[number] += count
                self._answers[route] += count
                self.answers += count

    def note_failed(self, route: str, *, is_new: bool) -> None:
        """Count an answer that failed."""
        self.add(((route, is_new, FAILED_CLASS, 1),))

    def note_answered(self, route: str, ratio: float, *, is_new: bool) -> None:
        """Count an answer by its observed over its expected time."""
        self.add(((route, is_new, _class_of(ratio), 1),))

    def rows(self) -> tuple[AnswerRow, ...]:
        """Return the counts as they are told to other routers."""
        tallied = (
            (route, is_new, enumerate(tallies.of(is_new=is_new).counts))
            for route, tallies in self.routes.items()
            for is_new in (False, True)
        )
        return tuple(
            (route, is_new, number, count)
            for route, is_new, counts in tallied
            for number, count in counts
            if count
        )

    def rarity(self, route: str) -> float:
        """Return how many times rarer a route is than the average one."""
        answers = self._answers[route]
        return self.answers / len(self.routes) / answers if answers else 1

    def since(self, earlier: 'Evidence') -> 'Evidence':
        """Return what has come since earlier counts of the same routers."""
        difference = Counter({row[:3]: row[3] for row in self.rows()})
        difference.subtract({row[:3]: row[3] for row in earlier.rows()})
        return Evidence((*key, count) for key, count in difference.items())


def judge(evidence: Evidence) -> Opinion:
    """Return what the answers say of the new version."""
    scores = _scores(evidence.routes)
    if not scores:
        return Opinion.UNDECIDED
    total, worst = sum(scores), max(scores)
    if max(total, worst) >= REJECT_SCORE:
        return Opinion.BAD
    if total <= ACCEPT_SCORE and worst <= MAX_ROUTE_SCORE:
        return Opinion.GOOD
    return Opinion.UNDECIDED


def _scores(routes: Mapping[str, RouteTallies]) -> list[float]:
    return [
        _score(tallies) for tallies in routes.values() if tallies.new.answers
    ]


def _score(tallies: RouteTallies) -> float:
    """Return the log likelihood ratio of bad over good for one route."""
    slow_from = min(FAILED_CLASS, _median_class(tallies.old) + SLOW_CLASSES)
    old_part = (tallies.old.bad_answers(slow_from) + PRIOR_BAD) / (
        tallies.old.answers + PRIOR_ANSWERS
    )
    old_part = min(MAX_OLD_PART, max(MIN_OLD_PART, old_part))
    bad_part = old_part + BAD_PART
    bad = tallies.new.bad_answers(slow_from)
    good = tallies.new.answers - bad
    return bad * math.log(bad_part / old_part) + good * math.log(
        (1 - bad_part) / (1 - old_part)
    )


def _median_class(tally: Tally) -> int:
    times = tally.counts[:FAILED_CLASS]
    answered = sum(times)
    if answered < MIN_MEDIAN_ANSWERS:
        return NEUTRAL_CLASS
    below = accumulate(times)
    return next(
        number for number, seen in enumerate(below) if seen * 2 >= answered
    )


def _class_of(ratio: float) -> int:
    doublings = math.log2(max(ratio, SHORTEST_RATIO))
    number = math.floor(doublings * CLASSES_PER_DOUBLING) + NEUTRAL_CLASS
    return min(TIME_CLASSES - 1, max(0, number))
