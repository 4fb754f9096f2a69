"""What serving a request needs of the router."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sesamespoke.limits import Outcome
from sesamespoke.metrics import Metrics
from sesamespoke.serving.admission import AdmissionQueue
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.exchange import ExchangeContext
from sesamespoke.serving.job import Job
from sesamespoke.serving.placement import Placement
from sesamespoke.serving.retry_budget import WindowedRetryBudget
from sesamespoke.verdicts import Refusal


class Log(Protocol):
    """Writes structured log events without blocking."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Write an event, or count it as dropped."""


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection ended without a complete answer.

    ``has_answer`` tells that an answer had begun some time before.
    """

    job: Job
    endpoint: ListedEndpoint
    sent_at: float
    has_answer: bool


class CrashTracker(Protocol):
    """Tracks which requests crash endpoints, and which prompt parts."""

    def seconds_blocked(self, job: Job) -> float:
        """Return how long a request must not be sent; 0 if it may be now."""

    def begin_attempt(self, job: Job) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""

    def end_attempt(self, job: Job) -> None:
        """Note that an attempt ended without a crash or an answer."""

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a connection that ended while an endpoint ran a request."""

    def is_suspected(self, job: Job) -> bool:
        """Return whether an answer to this request would clear something."""

    def clear(self, job: Job, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""

    def note_answered(self, job: Job, begun_at: float) -> None:
        """Record a complete answer, which began at a time of the clock."""


class StreamVersions(Protocol):
    """Decides at which software versions a resumable stream may run.

    ``version`` is the one that began it; None if none has yet.
    """

    async def begin(self, job: Job, version: str) -> None:
        """Record that a stream's first event has come from a version.

        Return once its caller may get the event.
        """

    async def find(self, job: Job) -> str | Refusal:
        """Return the version of a stream that a caller takes up."""

    def excluded(self, job: Job, version: str | None) -> frozenset[str]:
        """Return the endpoints that must not be used for a stream."""

    def refuse_if_gone(self, job: Job, version: str | None) -> Refusal | None:
        """Return a refusal if no endpoint can go on with a stream."""


class Rollouts(Protocol):
    """Decides which software versions requests may be sent to."""

    def exclusions(
        self, job: Job, begun_at: str | None
    ) -> tuple[frozenset[str], ...]:
        """Return sets of endpoints to avoid, the best one to apply first.

        ``begun_at`` is the version that began the request's stream, if any.
        """

    def note_answer(
        self, job: Job, placement: Placement, outcome: Outcome, ms: float
    ) -> None:
        """Count an answer; ``ms`` is the time to its first byte."""


class NoRollouts:
    """For a deployment whose operators order no rollouts."""

    def exclusions(
        self, job: Job, begun_at: str | None
    ) -> tuple[frozenset[str], ...]:
        """Allow all endpoints."""
        return _ANY_ENDPOINT

    def note_answer(
        self, job: Job, placement: Placement, outcome: Outcome, ms: float
    ) -> None:
        """Ignore an answer."""


_ANY_ENDPOINT: tuple[frozenset[str], ...] = (frozenset(),)


@dataclass(frozen=True, slots=True)
class ServingDependencies:
    """The components of the router that serve requests.

    ``admission_queue`` and ``retry_budget`` look up those of a service.
    """

    exchange_context: ExchangeContext
    chooser: Chooser
    admission_queue: Callable[[str], AdmissionQueue[Reservation]]
    retry_budget: Callable[[str], WindowedRetryBudget]
    crash_tracker: CrashTracker
    stream_versions: StreamVersions
    rollouts: Rollouts
    note_leaving: Callable[[ListedEndpoint], None]
    metrics: Metrics
    log: Log
