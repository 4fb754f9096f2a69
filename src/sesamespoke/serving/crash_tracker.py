"""Keeps requests that crash endpoints from being sent, over all routers.

Two things are counted: crashes of one request, by its digest, and crashes of
different requests that share a part of their prompt (``part_quarantine``).
What is quarantined is kept in the store.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.crash_detector import (
    IsRefusing,
    ServedEndpoint,
    refuses_connections,
)
from sesamespoke.metrics import Metrics
from sesamespoke.part_quarantine import (
    Broadcaster,
    PartQuarantine,
    PartQuarantineDependencies,
    PartUse,
)
from sesamespoke.quarantine import Quarantine
from sesamespoke.serving.job import Job
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.quarantine_records import (
    PartRecord,
    QuarantineRecords,
    Record,
    RequestRecord,
)
from sesamespoke.serving.serving_dependencies import BrokenAttempt, Log
from sesamespoke.timeline import Timeline

CRASHES_TO_REFUSE = 3
"""Crashes that one request may cause before it is refused."""


@dataclass(frozen=True, slots=True)
class CrashTrackerDependencies:
    """The components of the router that the tracker uses."""

    links: Broadcaster
    metrics: Metrics
    timeline: Timeline
    clock: Callable[[], float]
    log: Log
    store: PlatformStore
    is_refusing: IsRefusing = refuses_connections


class SharedCrashTracker:
    """Counts crashes of requests and of prompt parts over all routers."""

    def __init__(self, deps: CrashTrackerDependencies) -> None:
        """Start with a record that is synchronised with peers."""
        self._host = deps.links.host
        self._metrics = deps.metrics
        self._log = deps.log
        self._requests = Quarantine(deps.links, deps.metrics, deps.timeline)
        self._parts = PartQuarantine(
            PartQuarantineDependencies(
                deps.links,
                deps.metrics,
                deps.clock,
                deps.log,
                deps.is_refusing,
            )
        )
        self._count = 0
        self._records = QuarantineRecords(
            deps.store, deps.links, self._current_records, deps.log
        )
        self._records.on_record = self._restore
        self._parts.on_change = self._record_parts
        self.keep_records = self._records.run
        self.close = self._parts.close

    def seconds_blocked(self, job: Job) -> float:
        """Return how long a request must not be sent; 0 if it may be now."""
        blocked = self._parts.seconds_blocked(_use_of(job).parts)
        crashes = len(self._requests.crashed(job.digest))
        if crashes < CRASHES_TO_REFUSE:
            return blocked
        return max(blocked, self._requests.seconds_left(job.digest))

    def begin_attempt(self, job: Job) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""
        if self.seconds_blocked(job) > 0:
            return False
        return self._parts.begin_attempt(_use_of(job))

    def end_attempt(self, job: Job) -> None:
        """Note that an attempt ended without a crash or an answer."""
        self._parts.end_attempt(_use_of(job))

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a connection that ended while an endpoint ran a request."""
        job, endpoint = attempt.job, attempt.endpoint
        self._count += 1
        # Repeated crashes of one endpoint count separately.
        marks = (endpoint.name, self._host, str(self._count))
        self._requests.note_crash(job.digest, ' '.join(marks))
        crashes = len(self._requests.crashed(job.digest))
        self._log(
            'crash_recorded',
            digest=job.digest.hex(),
            endpoint=endpoint.name,
            crashes=crashes,
        )
        if crashes >= CRASHES_TO_REFUSE:
            self._records.update(found_here=RequestRecord(job.digest))
        self._parts.note_broken(
            _use_of(job),
            ServedEndpoint(
                f'{endpoint.name} {endpoint.born}', endpoint.address
            ),
            attempt.sent_at,
            has_answer=attempt.has_answer,
        )

    def is_suspected(self, job: Job) -> bool:
        """Return whether an answer to this request would clear something."""
        return self._parts.is_suspected(_use_of(job))

    def clear(self, job: Job, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""
        self._parts.clear(_use_of(job), begun_at)

    def note_answered(self, job: Job, begun_at: float) -> None:
        """Record a complete answer, which began at a time of the clock."""
        self._parts.note_answered(_use_of(job), begun_at)
        if self._requests.release(job.digest):
            self._records.remove(RequestRecord(job.digest))
            self._metrics.count('crashes_cleared')
            self._log('crashes_cleared', digest=job.digest.hex())

    def _record_parts(self, released: frozenset[str]) -> None:
        for part in released:
            self._records.remove(PartRecord(part, proven=False))
        self._records.update()

    def _current_records(self) -> list[Record]:
        parts = (
            PartRecord(part, proven)
            for part, proven in self._parts.quarantined().items()
        )
        requests = (
            RequestRecord(digest)
            for digest in self._requests.digests(CRASHES_TO_REFUSE)
        )
        return [*parts, *requests]

    def _restore(self, record: Record) -> None:
        if isinstance(record, PartRecord):
            self._parts.restore(record.part, is_proven=record.proven)
        else:
            marks = (
                f'recorded {number}' for number in range(CRASHES_TO_REFUSE)
            )
            self._requests.restore(record.digest, frozenset(marks))


def _use_of(job: Job) -> PartUse:
    parts = tuple(part.name for part in job.prompt.shared_parts)
    return PartUse(job.request_id, job.digest, parts)
