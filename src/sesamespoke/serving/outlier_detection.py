"""Leaves alone the endpoints that answer with errors where others don't.

An endpoint that fails at once looks idle and draws the requests of all hosts.
The answers that all hosts got are added up; each host decides by itself.

Sources: Envoy's documentation, "Outlier detection" and "Panic threshold" (a
bounded part of the endpoints is ejected); Finagle's documentation, "Failure
accrual" (growing pauses, each followed by a trial); Wydrowski et al., "Load is
not what you should balance: introducing Prequal", NSDI 2024 (sinkholing, and
aversion to errors).
"""

import math
from collections.abc import Callable

import xxhash

from sesamespoke.attempts import Attempt
from sesamespoke.serving.answer_counts import AnswerCounts, AnswerRow
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.ejections import Ejections, Trial
from sesamespoke.serving.job import Job
from sesamespoke.serving.outlier_evidence import (
    KNOWN_GOOD,
    Tally,
    is_outlier,
)

HEARING_SECONDS = 0.15
"""Time in which other hosts can tell of sound answers of an endpoint."""
MAX_EJECTED_PART = 0.3
MIN_ENDPOINTS = 3
"""A service of fewer endpoints has none ejected."""
MAX_KNOWN_REQUESTS = 4096
"""Kinds of requests of which a host remembers where they were answered."""
KNOWN_GOOD_SECONDS = 10.0
"""Time for which the answer of another endpoint shows that a request is good.
"""
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
FAST_SECONDS = 1.0
"""A 504 this long before the request's deadline isn't due to the deadline."""


class OutlierDetector:
    """Ejects and restores endpoints by the answers that all hosts got."""

    def __init__(
        self, clock: Callable[[], float], directory: Directory
    ) -> None:
        """Start without evidence."""
        self._clock = clock
        self._directory = directory
        self._counts = AnswerCounts(clock, directory)
        self._answered: dict[int, tuple[str, float]] = {}
        self.ejections = Ejections(clock)
        self.is_ejected = self.ejections.is_ejected
        self.begin = self.ejections.begin

    def note_attempt(
        self, endpoint: ListedEndpoint, job: Job, attempt: Attempt
    ) -> None:
        """Count the whole answer of an attempt, if there is one."""
        answer = attempt.answer
        if answer is None:
            return
        if answer.status < SERVER_ERROR:
            self.note_sound(endpoint, job)
            return
        is_late = job.deadline - self._clock() < FAST_SECONDS
        if answer.status == GATEWAY_TIMEOUT and is_late:
            return
        names = {name.lower() for name, _ in answer.headers}
        if answer.status != SERVICE_UNAVAILABLE or 'retry-after' not in names:
            self._note_error(endpoint, job)

    def note_sound(self, endpoint: ListedEndpoint, job: Job) -> None:
        """Count an answer, or the first event of a stream."""
        if len(self._answered) >= MAX_KNOWN_REQUESTS:
            self._answered.clear()
        self._answered[_cause_of(job)] = (endpoint.name, self._clock())
        if self.ejections.find(endpoint) is None:
            self._counts.note_sound(endpoint)
        else:
            self.ejections.finish_trial(endpoint, is_sound=True)

    def add(self, rows: tuple[AnswerRow, ...]) -> None:
        """Add the answers that another host tells of."""
        told: set[ListedEndpoint] = set()
        for row in rows:
            endpoint = self._directory.endpoints.get(row[0])
            if endpoint is not None and self.ejections.find(endpoint) is None:
                self._counts.add(row)
                told.add(endpoint)
        for each in told:
            self._judge(each)

    def take_report(self) -> tuple[AnswerRow, ...]:
        """Return what other hosts have to know of this one's answers."""
        return self._counts.take_report()

    def hear_trial(self, host: str, trial: Trial) -> None:
        """Apply the result of another host's trial."""
        if self.ejections.hear_trial(host, trial):
            self._counts.drop(trial.endpoint)

    def judge(self) -> None:
        """Eject the endpoints that are outliers."""
        for endpoint in self._directory.endpoints.values():
            self._judge(endpoint)

    def drop(self, endpoint: str) -> None:
        """Drop the state of an endpoint that was removed or restarted."""
        self._counts.drop(endpoint)
        self.ejections.drop(endpoint)

    def _note_error(self, endpoint: ListedEndpoint, job: Job) -> None:
        if self.ejections.find(endpoint) is not None:
            self.ejections.finish_trial(endpoint, is_sound=False)
            return
        cause = _cause_of(job)
        name, answered_at = self._answered.get(cause, (endpoint.name, 0))
        is_recent = self._clock() - answered_at < KNOWN_GOOD_SECONDS
        if name != endpoint.name and is_recent:
            cause = KNOWN_GOOD
        self._counts.note_error(endpoint, cause)
        self._judge(endpoint)

    def _judge(self, endpoint: ListedEndpoint) -> None:
        """Eject an endpoint if it is an outlier and others have been heard."""
        tally = self._counts.sum_of(endpoint)
        if tally is None:
            return
        now = self._clock()
        if not tally.is_accused:
            tally.accused_at = None
        elif tally.accused_at is None:
            tally.accused_at = now
        elif now - tally.accused_at >= HEARING_SECONDS:
            self._compare(endpoint, tally)

    def _compare(self, endpoint: ListedEndpoint, tally: Tally) -> None:
        usable = self._directory.usable(endpoint.service)
        others = (
            self._counts.sum_of(each)
            for each in usable
            if each.name != endpoint.name
        )
        if is_outlier(tally, filter(None, others)) and self._make_room(
            usable, tally
        ):
            self.ejections.eject(endpoint, tally)
            self._counts.drop(endpoint.name)

    def _make_room(
        self, usable: tuple[ListedEndpoint, ...], tally: Tally
    ) -> bool:
        """Return whether one more endpoint of a service may be ejected.

        One that fails less is restored in its place, if need be.
        """
        if len(usable) < MIN_ENDPOINTS:
            return False
        ejected = [
            (ejection.tally.error_share, each.name)
            for each in usable
            if (ejection := self.ejections.find(each)) is not None
        ]
        if len(ejected) < max(1, math.floor(len(usable) * MAX_EJECTED_PART)):
            return True
        least_share, least = min(ejected)
        if least_share >= tally.error_share:
            return False
        self.ejections.restore(least)
        return True


def _cause_of(job: Job) -> int:
    """Return what identifies a request that goes to the same endpoint again."""
    key = job.prompt.prefix_id.encode() or job.digest
    return xxhash.xxh32_intdigest(key) or 1
