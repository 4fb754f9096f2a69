"""Keeps requests that crash endpoints from being sent, over all routers.

Two things are counted: crashes of one request, by its digest, and crashes of
different requests that share a part of their prompt (``crash_evidence``).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from sesamespoke.crash_messages import (
    EndpointCrash,
    PartsCleared,
    PartsTrial,
)
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import Quarantine
from sesamespoke.serving.crash_detector import (
    CrashDetector,
    IsRefusing,
    refuses_connections,
)
from sesamespoke.serving.crash_evidence import (
    BrokenRequest,
    Crash,
    CrashEvidence,
)
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.quarantine_records import (
    PartRecord,
    QuarantineRecords,
    Record,
    RequestRecord,
)
from sesamespoke.serving.serving_call import BrokenAttempt, Log
from sesamespoke.store import KeyStore
from sesamespoke.timeline import Timeline

CRASHES_TO_REFUSE = 3
"""Crashes that one request may cause before it is refused."""
MAX_ROWS = 1024
"""Rows of a message on one crash; what is beyond them is left out."""
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class CrashTrackerDependencies:
    """The components of the router that the tracker uses."""

    links: Broadcaster
    metrics: Metrics
    timeline: Timeline
    clock: Callable[[], float]
    log: Log
    store: KeyStore
    is_refusing: IsRefusing = refuses_connections


class SharedCrashTracker:
    """Counts crashes of requests and of prompt parts over all routers."""

    def __init__(self, deps: CrashTrackerDependencies) -> None:
        """Start with a record that is synchronised with peers."""
        self._links = deps.links
        self._metrics = deps.metrics
        self._clock = deps.clock
        self._log = deps.log
        self._quarantine = Quarantine(deps.links, deps.metrics, deps.timeline)
        self._evidence = CrashEvidence(deps.clock)
        self._detector = CrashDetector(self._note_crash, deps.is_refusing)
        self._trials: dict[str, tuple[str, ...]] = {}
        self._count = 0
        self._records = QuarantineRecords(
            deps.store, deps.links, self._current_records, deps.log
        )
        self._records.on_record = self._restore
        self.keep_records = self._records.run
        self.close = self._detector.close
        deps.links.subscribe(EndpointCrash, self._hear_crash)
        deps.links.subscribe(PartsCleared, self._hear_cleared)
        deps.links.subscribe(PartsTrial, self._hear_trial)
        deps.links.on_reconnected(self._send_crashes)

    def seconds_blocked(self, job: Job) -> float:
        """Return how long a request must not be sent; 0 if it may be now."""
        parts = self._evidence.seconds_blocked(_shared_parts(job))
        crashes = len(self._quarantine.crashed(job.digest))
        if crashes < CRASHES_TO_REFUSE:
            return parts
        return max(parts, self._quarantine.seconds_left(job.digest))

    def begin_attempt(self, job: Job) -> bool:
        """Return whether a request may be sent now, if need be as a trial."""
        if self.seconds_blocked(job) > 0:
            return False
        tried = self._evidence.begin_trial(_shared_parts(job))
        if tried:
            self._trials[job.request_id] = tried
            self._links.broadcast(PartsTrial(tried, running=True))
            self._metrics.count('quarantine_trials')
            self._log(
                'quarantine_trial', request_id=job.request_id, parts=tried
            )
        return True

    def end_attempt(self, job: Job) -> None:
        """Note that an attempt ended without a crash or an answer."""
        tried = self._trials.pop(job.request_id, ())
        if tried:
            self._evidence.end_trial(tried)
            self._links.broadcast(PartsTrial(tried, running=False))

    def note_broken(self, attempt: BrokenAttempt) -> None:
        """Record a connection that ended while an endpoint ran a request."""
        job, endpoint = attempt.job, attempt.endpoint
        self._trials.pop(job.request_id, None)
        self._count += 1
        # Repeated crashes of one endpoint count separately.
        marks = (endpoint.name, self._links.host, str(self._count))
        self._quarantine.note_crash(job.digest, ' '.join(marks))
        crashes = len(self._quarantine.crashed(job.digest))
        self._log(
            'crash_recorded',
            digest=job.digest.hex(),
            endpoint=endpoint.name,
            crashes=crashes,
        )
        if crashes >= CRASHES_TO_REFUSE:
            self._records.update(found_here=RequestRecord(job.digest))
        if not attempt.has_answer:
            self._detector.note_broken(
                endpoint,
                BrokenRequest(job.digest, attempt.sent_at, _shared_parts(job)),
            )

    def is_suspected(self, job: Job) -> bool:
        """Return whether an answer to this request would clear something."""
        return self._evidence.is_suspected(job.digest, _shared_parts(job))

    def clear(self, job: Job, begun_at: float) -> None:
        """Clear a request, since an answer to it began and went on."""
        if not self.is_suspected(job):
            return
        parts = _shared_parts(job)
        self._clear(job.digest, parts, begun_at)
        age_ms = round((self._clock() - begun_at) * MS_PER_SECOND)
        self._links.broadcast(PartsCleared(job.digest, parts, age_ms))

    def note_answered(self, job: Job, begun_at: float) -> None:
        """Record a complete answer, which began at a time of the clock."""
        self._trials.pop(job.request_id, None)
        self.clear(job, begun_at)
        self._evidence.note_answered(_shared_parts(job))
        if self._quarantine.release(job.digest):
            self._records.remove(RequestRecord(job.digest))
            self._metrics.count('crashes_cleared')
            self._log('crashes_cleared', digest=job.digest.hex())

    def _note_crash(
        self, endpoint: ListedEndpoint, requests: tuple[BrokenRequest, ...]
    ) -> None:
        name = f'{endpoint.name} {endpoint.born}'
        crash = Crash(name, self._clock(), requests)
        self._metrics.count('endpoint_crashes', service=endpoint.service)
        self._log(
            'endpoint_crashed',
            endpoint=endpoint.name,
            requests=[each.digest.hex() for each in requests],
            parts=sorted({part for each in requests for part in each.parts}),
        )
        self._add_crash(crash)
        self._links.broadcast(self._describe(crash))

    def _add_crash(self, crash: Crash) -> None:
        for part in self._evidence.add_crash(crash):
            self._metrics.count('parts_quarantined')
            self._log(
                'part_quarantined',
                part=part,
                endpoint=crash.name,
                proven=self._evidence.is_proven(part),
            )
        self._records.update()

    def _clear(
        self, digest: bytes, parts: Iterable[str], begun_at: float
    ) -> None:
        for part in self._evidence.clear(digest, parts, begun_at):
            self._metrics.count('parts_released')
            self._log('part_released', part=part)
            self._records.remove(PartRecord(part, proven=False))
        self._records.update()

    def _current_records(self) -> list[Record]:
        parts = (
            PartRecord(part, self._evidence.is_proven(part))
            for part in self._evidence.quarantined
        )
        requests = (
            RequestRecord(digest)
            for digest in self._quarantine.digests(CRASHES_TO_REFUSE)
        )
        return [*parts, *requests]

    def _restore(self, record: Record) -> None:
        if isinstance(record, PartRecord):
            self._evidence.restore(record.part, is_proven=record.proven)
        else:
            marks = (
                f'recorded {number}' for number in range(CRASHES_TO_REFUSE)
            )
            self._quarantine.restore(record.digest, frozenset(marks))

    def _describe(self, crash: Crash) -> EndpointCrash:
        now = self._clock()
        rows = [
            (
                request.digest,
                round((now - request.sent_at) * MS_PER_SECOND),
                part,
            )
            for request in crash.requests
            for part in request.parts or ('',)
        ]
        age_ms = round((now - crash.happened_at) * MS_PER_SECOND)
        parts = frozenset(part for _, _, part in rows)
        answered = tuple(sorted(self._evidence.answered(parts)))
        return EndpointCrash(
            crash.name, age_ms, tuple(rows[:MAX_ROWS]), answered
        )

    def _send_crashes(self, host: str) -> None:
        for crash in self._evidence.crashes():
            self._links.send(host, self._describe(crash))

    def _hear_crash(self, sender: str, message: EndpointCrash) -> None:
        now = self._clock()
        happened_at = now - message.age_ms / MS_PER_SECOND
        requests = _read_rows(message, now)
        self._evidence.note_answered(message.answered)
        self._add_crash(Crash(message.crash, happened_at, requests))

    def _hear_cleared(self, sender: str, message: PartsCleared) -> None:
        begun_at = self._clock() - message.age_ms / MS_PER_SECOND
        self._clear(message.digest, message.parts, begun_at)

    def _hear_trial(self, sender: str, message: PartsTrial) -> None:
        if message.running:
            self._evidence.begin_trial(message.parts)
        else:
            self._evidence.end_trial(message.parts)


def _shared_parts(job: Job) -> tuple[str, ...]:
    return tuple(part.name for part in job.prompt.shared_parts)


def _read_rows(message: EndpointCrash, now: float) -> tuple[BrokenRequest, ...]:
    """Return the requests of a crash; ``now`` is when the message came."""
    found: dict[bytes, BrokenRequest] = {}
    for digest, age_ms, part in message.rows:
        known = found.get(digest)
        parts = known.parts if known else ()
        found[digest] = BrokenRequest(
            digest, now - age_ms / MS_PER_SECOND, (*parts, part)
        )
    return tuple(
        replace(each, parts=tuple(filter(None, each.parts)))
        for each in found.values()
    )
