"""Which endpoints are left alone after errors, until when, and their trials.

After a pause an ejected endpoint is tried with one request, at one host first:
each has a time of its own and hears of the others' trials. A sound answer
restores the endpoint everywhere, an error makes the next pause longer.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.outlier_evidence import Tally

FIRST_PAUSE = 1.0
"""Seconds that an endpoint is left alone after the first ejection."""
LONGEST_PAUSE = 8.0
RELAPSE_SECONDS = 10.0
"""An endpoint that is ejected again so soon after it was restored is left alone
for twice as long."""
TRIAL_SPREAD = 0.5
"""Seconds over which the hosts' first trials are spread: most hosts hear the
result of the first one before they begin."""
TRIAL_SECONDS = 1.0
"""Time after which a host tries again if a trial had no result."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The result of a request that an ejected endpoint was tried with.

    ``number`` counts the pauses of the endpoint.
    """

    endpoint: str
    born: int
    number: int
    is_sound: bool


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint was ejected for some seconds, or restored after as many.

    ``errors`` and ``answers`` are those that decided. ``heard_by`` is the host
    that has told it; empty if this one decided.
    """

    endpoint: str
    is_ejected: bool
    errors: float
    answers: float
    seconds: float
    heard_by: str


@dataclass(slots=True)
class Ejection:
    """The state of an endpoint that is or was ejected.

    It may be tried from ``try_at``, and was last sent a request at
    ``tried_at``.
    """

    born: int
    tally: Tally
    number: int = 0
    began_at: float = 0
    until: float = 0
    try_at: float = 0
    tried_at: float = -math.inf
    restored_at: float = math.inf

    @property
    def is_over(self) -> bool:
        """Return whether the endpoint was restored."""
        return self.restored_at < math.inf


class Ejections:
    """The endpoints that are or were ejected.

    ``on_change`` is called after each ejection and restoration, ``on_trial``
    with the results of this host's trials.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        spread: Callable[[], float] = random.random,
    ) -> None:
        """Start with none; ``spread`` returns a number from 0 to 1."""
        self.on_change: Callable[[Change], None] = _ignore_change
        self.on_trial: Callable[[Trial], None] = _ignore_trial
        self._clock = clock
        self._spread = spread
        self._ejections: dict[str, Ejection] = {}

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether an endpoint gets no request now, not even a trial."""
        ejection = self._ejections.get(endpoint)
        if ejection is None or ejection.is_over:
            return False
        return self._clock() < ejection.try_at

    def find(self, endpoint: ListedEndpoint) -> Ejection | None:
        """Return the ejection of an incarnation, unless it is over."""
        ejection = self._ejections.get(endpoint.name)
        if ejection is None or ejection.born != endpoint.born:
            return None
        return None if ejection.is_over else ejection

    def begin(self, endpoint: str) -> None:
        """Note that a request goes to an endpoint: a trial if it is ejected."""
        ejection = self._ejections.get(endpoint)
        if ejection is not None and not ejection.is_over:
            now = self._clock()
            ejection.tried_at = now
            ejection.try_at = max(ejection.try_at, now + TRIAL_SECONDS)

    def eject(self, endpoint: ListedEndpoint, tally: Tally) -> None:
        """Leave an endpoint alone because of its answers."""
        before = self._ejections.get(endpoint.name)
        ejection = Ejection(endpoint.born, tally)
        if before is not None and before.born == endpoint.born:
            since = self._clock() - before.restored_at
            ejection.number = (
                before.number + 1 if since < RELAPSE_SECONDS else 0
            )
        self._ejections[endpoint.name] = ejection
        self._pause(endpoint.name, ejection, '')

    def restore(self, endpoint: str, heard_by: str = '') -> None:
        """Use an ejected endpoint again."""
        ejection = self._ejections[endpoint]
        now = self._clock()
        ejection.restored_at = now
        self._tell(endpoint, ejection, heard_by, now - ejection.began_at)

    def finish_trial(self, endpoint: ListedEndpoint, *, is_sound: bool) -> None:
        """Take note of an answer of an ejected endpoint.

        Answers to requests from before its ejection say nothing.
        """
        ejection = self._ejections[endpoint.name]
        if ejection.tried_at < ejection.began_at:
            return
        trial = Trial(endpoint.name, endpoint.born, ejection.number, is_sound)
        if is_sound:
            self.restore(endpoint.name)
            self.on_trial(trial)
        elif self._clock() >= ejection.until:
            ejection.number += 1
            self._pause(endpoint.name, ejection, '')
            self.on_trial(trial)

    def hear_trial(self, host: str, trial: Trial) -> bool:
        """Apply the result of another host's trial; return if that is new."""
        ejection = self._ejections.get(trial.endpoint)
        if ejection is None or ejection.born != trial.born or ejection.is_over:
            return False
        if trial.is_sound:
            self.restore(trial.endpoint, host)
            return True
        if ejection.number > trial.number:
            return False
        ejection.number = trial.number + 1
        self._pause(trial.endpoint, ejection, host)
        return True

    def drop(self, endpoint: str) -> None:
        """Drop the state of an endpoint that was removed or restarted."""
        self._ejections.pop(endpoint, None)

    def _pause(self, name: str, ejection: Ejection, heard_by: str) -> None:
        now = self._clock()
        doublings = min(ejection.number, _MAX_DOUBLINGS)
        seconds = min(LONGEST_PAUSE, FIRST_PAUSE * 2**doublings)
        ejection.began_at = now
        ejection.tried_at = -math.inf
        ejection.until = now + seconds
        ejection.try_at = ejection.until + self._spread() * TRIAL_SPREAD
        self._tell(name, ejection, heard_by, seconds)

    def _tell(
        self, name: str, ejection: Ejection, heard_by: str, seconds: float
    ) -> None:
        self.on_change(
            Change(
                name,
                not ejection.is_over,
                ejection.tally.counted_errors,
                ejection.tally.answers,
                seconds,
                heard_by,
            )
        )


_MAX_DOUBLINGS = 16


def _ignore_change(change: Change) -> None:
    """Ignore a change."""


def _ignore_trial(trial: Trial) -> None:
    """Ignore the result of a trial."""
