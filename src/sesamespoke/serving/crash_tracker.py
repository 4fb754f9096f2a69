"""Keeps requests that crash endpoints from being sent, over all routers.

Two things are counted: crashes of one request (``request_quarantine``), and
crashes of different requests that share a part of their prompt
(``part_quarantine``). What is quarantined is kept in the store.
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
from sesamespoke.serving.job import Job
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.quarantine_records import (
    PartRecord,
    QuarantineRecords,
    Record,
    RequestRecord,
)
from sesamespoke.serving.request_quarantine import (
    RequestQuarantine,
    RequestQuarantineDependencies,
)
from sesamespoke.serving.serving_dependencies import BrokenAttempt, Log


@dataclass(frozen=True, slots=True)
class CrashTrackerDependencies:
    """The components of the router that the tracker uses."""

    links: Broadcaster
    metrics: Metrics
    clock: Callable[[], float]
    log: Log
    store: PlatformStore
    is_refusing: IsRefusing = refuses_connections


class SharedCrashTracker:
    """Tracks crashes of requests and of prompt parts over all routers."""

    def __init__(self, deps: CrashTrackerDependencies) -> None:
        """Start with a record that is synchronised with peers."""
        self._log = deps.log
        self._requests = RequestQuarantine(
            RequestQuarantineDependencies(
                deps.links, deps.metrics, deps.clock, deps.log
            )
        )
        self._parts = PartQuarantine(
            PartQuarantineDependencies(
                deps.links,
                deps.metrics,
                deps.clock,
                deps.log,
                deps.is_refusing,
            )
        )
        self._records = QuarantineRecords(
            deps.store, deps.links, self._current_records, deps.log
        )
        self._records.on_record = self._restore
        self._requests.on_quarantined = self._record_request
        self._requests.on_released = self._remove_request
        self._parts.on_change = self._record_parts
        self.keep_records = self._records.run
        self.close = self._parts.close

    def seconds_blocked(self, job: Job) -> float:
        """Return how long a request must not be sent; 0 if it may be now."""
        use = self._use_of(job)
        return max(
            self._parts.seconds_blocked(use.parts, is_suspect=use.is_suspect),
            self._requests.seconds_blocked(job.digest),
        )

    def begin_attempt(self, job: Job) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""
        if self.seconds_blocked(job) > 0:
            return False
        use = self._use_of(job)
        return self._requests.begin_attempt(use) and self._parts.begin_attempt(
            use
        )

    def end_attempt(self, job: Job) -> None:
        """Note that an attempt ended without a crash or an answer."""
        use = self._use_of(job)
        self._requests.end_attempt(use)
        self._parts.end_attempt(use)

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a connection that ended while an endpoint ran a request."""
        job, endpoint = attempt.job, attempt.endpoint
        self._log(
            'crash_recorded',
            digest=job.digest.hex(),
            endpoint=endpoint.name,
            answer_begun=attempt.has_answer,
        )
        use = self._use_of(job)
        if attempt.has_answer:
            self._requests.end_attempt(use)
        else:
            self._requests.note_broken(use, attempt.sent_at)
        self._parts.note_broken(
            use,
            ServedEndpoint(
                f'{endpoint.name} {endpoint.born}', endpoint.address
            ),
            attempt.sent_at,
            has_answer=attempt.has_answer,
        )

    def is_suspected(self, job: Job) -> bool:
        """Return whether an answer to this request would clear something."""
        return self._requests.is_suspected(
            job.digest
        ) or self._parts.is_suspected(self._use_of(job))

    def clear(self, job: Job, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""
        use = self._use_of(job)
        self._requests.clear(use, begun_at)
        self._parts.clear(use, begun_at)

    def note_answered(self, job: Job, begun_at: float) -> None:
        """Record a complete answer, which began at a time of the clock."""
        use = self._use_of(job)
        self._requests.note_answered(use, begun_at)
        self._parts.note_answered(use, begun_at)

    def _record_request(self, digest: bytes, is_found_here: bool) -> None:
        record = RequestRecord(digest)
        self._records.update(found_here=record if is_found_here else None)

    def _remove_request(self, digest: bytes) -> None:
        self._records.remove(RequestRecord(digest))

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
            RequestRecord(digest) for digest in self._requests.quarantined()
        )
        return [*parts, *requests]

    def _restore(self, record: Record) -> None:
        if isinstance(record, PartRecord):
            self._parts.restore(record.part, is_proven=record.proven)
        else:
            self._requests.restore(record.digest)

    def _use_of(self, job: Job) -> PartUse:
        parts = tuple(part.name for part in job.prompt.shared_parts)
        is_suspect = self._requests.is_suspected(job.digest)
        return PartUse(job.request_id, job.digest, parts, is_suspect)
