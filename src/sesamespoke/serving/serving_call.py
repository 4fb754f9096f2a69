"""Serves one request: admission, attempts at endpoints, retries.

Every decision is logged with the id of the request and the values that it was
based on.
"""

import asyncio
import contextlib
import math
import random
from dataclasses import dataclass, field, replace
from functools import partial

from sesamespoke.answers import Answer, marked
from sesamespoke.attempts import Attempt, Reply
from sesamespoke.events import EventRelay
from sesamespoke.limits import Outcome
from sesamespoke.part_quarantine import PROOF_SECONDS
from sesamespoke.retries import (
    MIN_TIME_LEFT_SECONDS,
    RetryContext,
    RetryDecision,
    decide_retry,
    worse_verdict,
)
from sesamespoke.serving.admission import NO_ROOM, cost_of
from sesamespoke.serving.call_log import (
    duration_fields,
    placement_fields,
    refusal_fields,
)
from sesamespoke.serving.chooser import Reservation
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.exchange import Exchange
from sesamespoke.serving.exchange_hooks import ExchangeHooks
from sesamespoke.serving.job import Job
from sesamespoke.serving.retry_budget import (
    RetryReservation,
)
from sesamespoke.serving.serving_dependencies import (
    BrokenAttempt,
    ServingDependencies,
)
from sesamespoke.verdicts import (
    ENDPOINT_FAILED,
    TIMED_OUT,
    Reason,
    Refusal,
    Verdict,
)

MAX_SENDS = 3
"""Limit of sends of one request, including those that endpoints refuse."""
FIRST_BYTE_TIMEOUT_FACTOR = 2.0
"""The first byte is awaited for this multiple of the latency objective."""
STALL_TIMEOUT_FACTOR = 4.0
"""A stream has stalled after this multiple of its route's ``max_gap``."""
LATE_STALL_TIMEOUT_FACTOR = 2.0
"""The same for a stream whose deadline is near."""
MS_PER_SECOND = 1000
RETURN_SPREAD = 0.5
"""Part of the time without endpoints over which callers' returns are spread."""
MIN_RETURN_SPREAD_SECONDS = 0.5
MIN_STALL_TIMEOUT = 2.0
"""Lower bound in seconds; callers drop a stream that pauses for longer."""

REQUEST_QUARANTINED = Reason(
    'request_quarantined',
    503,
    'server_error',
    'this request has crashed endpoints and is not sent again',
)


@dataclass(slots=True)
class _Progress:
    """The combined result of a request's attempts so far.

    ``sends`` counts all attempts, ``runs`` those that may have run.
    """

    verdict: Verdict = Verdict.NOT_RUN
    sends: int = 0
    runs: int = 0
    answer: Answer | None = None
    detail: str = ''
    excluded: set[str] = field(default_factory=set)


class _NoCharge:
    """A budget for retries after an attempt that sent nothing."""

    def spend(self) -> bool:
        """Allow the retry."""
        return True

    def standing(self) -> dict[str, object]:
        """Return no log fields, since no limit applied."""
        return {}


class ServingCall:
    """Serves one request, from admission to its final response."""

    def __init__(
        self, deps: ServingDependencies, job: Job, reply: Reply
    ) -> None:
        """Prepare to serve a request; nothing is sent yet."""
        self._deps = deps
        self._job = job
        self._reply = reply
        self._relay = EventRelay()
        self._progress = _Progress()
        self._placement: dict[str, object] = {}
        self._duration: dict[str, object] = {}
        self._payment = RetryReservation(deps.retry_budget(job.service))
        self._loop = asyncio.get_running_loop()
        self._proof: asyncio.TimerHandle | None = None
        self._version: str | None = None
        self._rank = random.random()

    async def serve(self) -> Answer | Refusal | None:
        """Return the final response, or None if it was relayed in full."""
        self._deps.retry_budget(self._job.service).record_request()
        with contextlib.closing(self._payment):
            if self._job.route.resumable and self._job.last_event_id:
                found = await self._deps.stream_versions.find(self._job)
                if isinstance(found, Refusal):
                    return self._finish(found)
                self._version = found
            return await self._serve()

    async def _serve(self) -> Answer | Refusal | None:
        job, progress = self._job, self._progress
        while True:
            blocked_for = self._deps.crash_tracker.seconds_blocked(job)
            if blocked_for:
                return self._finish(
                    Refusal(
                        REQUEST_QUARANTINED,
                        Verdict.NOT_RUN,
                        retry_after=blocked_for,
                    )
                )
            gone = self._deps.stream_versions.refuse_if_gone(
                job, self._bound_version
            )
            if gone is not None:
                return self._finish(gone)
            unavailable_for = self._deps.chooser.seconds_unavailable(
                job.service
            )
            if unavailable_for:
                return self._finish(_refuse_for(unavailable_for))
            reservation = await self._admit()
            if isinstance(reservation, Refusal):
                return self._finish(reservation)
            attempt, step = await self._run_attempt(reservation)
            if attempt.passed_on:
                self._log_end('served', attempt)
                return None
            progress.answer = attempt.answer or progress.answer
            progress.detail = attempt.detail
            if step is RetryDecision.FINAL:
                return self._finish(self._response_after(attempt))
            progress.excluded.add(reservation.endpoint.name)

    async def _admit(self) -> Reservation | Refusal:
        """Wait for capacity; a stream that goes on is within any share."""
        job, progress = self._job, self._progress
        goes_on = self._bound_version is not None
        return await self._deps.admission_queue(job.service).admit(
            job,
            self._reserve,
            is_retry=progress.runs > 0 or goes_on,
            was_tried=progress.sends > 0,
            rank=0 if goes_on else self._rank,
        )

    @property
    def _bound_version(self) -> str | None:
        """Return the version at which the caller's events were made, if any."""
        if self._job.last_event_id or self._reply.started:
            return self._version
        return None

    def _reserve(
        self, job: Job, utilisation_limit: float
    ) -> Reservation | None:
        excluded = self._excluded()
        for not_allowed in self._deps.rollouts.exclusions(
            job, self._bound_version
        ):
            reservation = self._deps.chooser.reserve(
                job, utilisation_limit, excluded | not_allowed
            )
            if reservation is not None:
                return reservation
        return None

    def _excluded(self) -> frozenset[str]:
        """Return the endpoints that this request must not be sent to again."""
        excluded = frozenset(self._progress.excluded)
        if not self._job.route.resumable:
            return excluded
        return excluded | self._deps.stream_versions.excluded(
            self._job, self._bound_version
        )

    async def _run_attempt(
        self, reservation: Reservation
    ) -> tuple[Attempt, RetryDecision]:
        """Run one attempt at the reserved endpoint."""
        deps, job = self._deps, self._job
        granted_at = self._loop.time()
        self._relay.restart()
        self._placement = placement_fields(reservation)
        exchange = Exchange(
            deps.exchange_context,
            job,
            reservation.endpoint,
            self._reply,
            self._relay,
            self._hooks_for(reservation),
        )
        if reservation.placement.prefix_holder is not None:
            exchange.prefix_holder_address = (
                reservation.placement.prefix_holder.address
            )
        self._set_timeouts(exchange)
        try:
            attempt = await exchange.run()
        except asyncio.CancelledError:
            self._note_unanswered(reservation, exchange, granted_at)
            deps.crash_tracker.end_attempt(job)
            self._note_duration(exchange)
            self._log_end('caller_left', None)
            raise
        finally:
            if self._proof is not None:
                self._proof.cancel()
            deps.chooser.release(reservation)
            deps.admission_queue(job.service).schedule_soon()
        self._note_duration(exchange)
        if attempt.verdict is Verdict.NOT_RUN:
            deps.admission_queue(job.service).take_back(job, granted_at)
        self._record_attempt(reservation, exchange, attempt)
        step = self._decide_next(exchange, attempt)
        if not (attempt.passed_on or attempt.verdict is Verdict.RAN):
            self._log_failure(reservation, exchange, attempt, step)
        return attempt, step

    def _hooks_for(self, reservation: Reservation) -> ExchangeHooks:
        endpoint = reservation.endpoint
        return ExchangeHooks(
            may_send=lambda: self._may_send(reservation),
            may_resend=lambda: self._may_resend(reservation),
            may_fail_over=lambda: self._may_fail_over(reservation),
            on_first_byte=lambda: self._note_first_byte(reservation),
            before_first_event=partial(self._begin_stream, endpoint),
            on_leaving=lambda: self._deps.note_leaving(endpoint),
            on_backoff=partial(self._note_backoff, endpoint),
            on_rate_limit=partial(self._note_rate_limit, endpoint),
        )

    def _note_duration(self, exchange: Exchange) -> None:
        """Note for the log how long the attempt took."""
        self._duration = duration_fields(exchange.sent_at, self._loop.time())

    def _note_unanswered(
        self, reservation: Reservation, exchange: Exchange, granted_at: float
    ) -> None:
        """Count the time that a caller has waited before it left."""
        if exchange.sent_at is None:
            queue = self._deps.admission_queue(self._job.service)
            queue.take_back(self._job, granted_at)
            return
        if exchange.first_byte_at is not None:
            return
        waited_ms = (self._loop.time() - exchange.sent_at) * MS_PER_SECOND
        placement = reservation.placement
        if waited_ms > placement.expected_ms:
            self._deps.rollouts.note_answer(
                self._job, placement, Outcome.CANCELLED, waited_ms
            )

    def _may_send(self, reservation: Reservation) -> bool:
        """Return whether the request may be sent to the endpoint now."""
        if not self._deps.chooser.is_usable(reservation):
            return False
        if not self._deps.crash_tracker.begin_attempt(self._job):
            return False
        self._payment.record_sent()
        return True

    def _note_first_byte(self, reservation: Reservation) -> None:
        """Take the prompt as read, and what it is suspected of as cleared.

        An endpoint may crash just after it has begun to write, so that an
        answer clears a request only after ``PROOF_SECONDS``.
        """
        self._deps.chooser.loads.end_prefill(reservation.in_flight)
        tracker, job = self._deps.crash_tracker, self._job
        if tracker.is_suspected(job):
            self._proof = self._loop.call_later(
                PROOF_SECONDS, tracker.clear, job, self._loop.time()
            )

    async def _begin_stream(self, endpoint: ListedEndpoint) -> None:
        """Bind the stream to the version whose event its caller gets.

        An attempt that failed before its first event binds it to none.
        """
        self._deps.chooser.outliers.note_sound(endpoint, self._job)
        if self._job.route.resumable:
            self._version = endpoint.version
            await self._deps.stream_versions.begin(self._job, endpoint.version)

    def _note_backoff(self, endpoint: ListedEndpoint, seconds: float) -> None:
        """Send nothing to an endpoint for as long as it asks."""
        deps, service = self._deps, self._job.service
        deps.chooser.backoff.note_refused(endpoint.name, seconds)
        deps.metrics.count('endpoint_backoffs', service=service)
        deps.log(
            'endpoint_backs_off',
            endpoint=endpoint.name,
            seconds=seconds,
            request_id=self._job.request_id,
        )
        if deps.chooser.seconds_unavailable(service):
            deps.admission_queue(service).refuse_all(
                lambda: _refuse_for(deps.chooser.seconds_unavailable(service))
            )

    def _note_rate_limit(
        self,
        endpoint: ListedEndpoint,
        text: str | None,
        sent_at: float | None,
    ) -> None:
        if sent_at is not None:
            self._deps.chooser.limits.note_answer(endpoint, text, sent_at)

    def _may_resend(self, reservation: Reservation) -> bool:
        """Return whether the request may be sent to the endpoint again."""
        left = self._job.deadline - self._loop.time()
        may_send = self._deps.chooser.may_send_again(reservation)
        if left < MIN_TIME_LEFT_SECONDS or not may_send:
            return False
        return self._payment.spend()

    def _may_fail_over(self, reservation: Reservation) -> bool:
        """Return whether another endpoint can continue the stream now.

        A stalled endpoint may still recover: abandoning it with no other
        endpoint available would only cut off the caller's stream.
        """
        can_resume = self._job.route.resumable and bool(self._relay.last_id)
        if self._reply.started and not can_resume:
            return False
        if not self._payment.spend():
            return False
        excluded = self._excluded() | {reservation.endpoint.name}
        return any(
            self._deps.chooser.has_room(self._job, excluded | not_allowed)
            for not_allowed in self._deps.rollouts.exclusions(
                self._job, self._bound_version
            )
        )

    def _set_timeouts(self, exchange: Exchange) -> None:
        """Limit the wait for the endpoint if a retry elsewhere is allowed."""
        route = self._job.route
        if (
            not route.may_repeat
            or self._progress.runs + 1 >= route.max_attempts
        ):
            return
        exchange.first_byte_timeout = (
            route.objective * FIRST_BYTE_TIMEOUT_FACTOR
        )
        exchange.stall_timeout = max(
            MIN_STALL_TIMEOUT, route.max_gap * STALL_TIMEOUT_FACTOR
        )
        exchange.min_stall_timeout = route.max_gap * LATE_STALL_TIMEOUT_FACTOR

    def _decide_next(
        self, exchange: Exchange, attempt: Attempt
    ) -> RetryDecision:
        """Update the progress, and return what follows an attempt."""
        job, progress = self._job, self._progress
        progress.sends += 1 + exchange.resent
        progress.runs += attempt.verdict is not Verdict.NOT_RUN
        progress.verdict = worse_verdict(progress.verdict, attempt.verdict)
        runs_left = progress.runs < job.route.max_attempts
        if not runs_left and attempt.verdict is not Verdict.NOT_RUN:
            return RetryDecision.FINAL
        if progress.sends >= MAX_SENDS or not runs_left:
            return RetryDecision.FINAL
        situation = RetryContext(
            attempt.verdict,
            job.route.may_repeat,
            self._reply.started,
            job.route.resumable and bool(attempt.last_id),
        )
        left = job.deadline - self._loop.time()
        return decide_retry(
            situation, left, _budget_after(exchange, self._payment)
        )

    def _record_attempt(
        self,
        reservation: Reservation,
        exchange: Exchange,
        attempt: Attempt,
    ) -> None:
        """Update health, crash tracking and metrics after an attempt."""
        deps, endpoint = self._deps, reservation.endpoint
        paused = deps.chooser.health.record_attempt(
            endpoint.name, attempt, reservation.placement.expected_ms
        )
        if paused:
            deps.log(
                'endpoint_paused',
                endpoint=endpoint.name,
                request_id=self._job.request_id,
                why=attempt.detail,
            )
        deps.chooser.outliers.note_attempt(endpoint, self._job, attempt)
        deps.rollouts.note_answer(
            self._job,
            reservation.placement,
            attempt.outcome,
            attempt.first_token_ms,
        )
        self._track_crash(endpoint, exchange, attempt)
        if attempt.verdict is Verdict.RAN:
            deps.chooser.backoff.note_answered(endpoint.name)
        deps.metrics.count(
            'attempts',
            service=self._job.service,
            outcome=attempt.outcome.name.lower(),
        )
        if exchange.resent:
            deps.metrics.count('resends', service=self._job.service)
            deps.log(
                'request_resent',
                request_id=self._job.request_id,
                endpoint=endpoint.name,
                why='the keep-alive connection had been closed',
                **self._payment.standing(),
            )

    def _track_crash(
        self,
        endpoint: ListedEndpoint,
        exchange: Exchange,
        attempt: Attempt,
    ) -> None:
        """Record whether the endpoint crashed on the request."""
        tracker, job, now = (
            self._deps.crash_tracker,
            self._job,
            self._loop.time(),
        )
        begun_at = exchange.first_byte_at
        if attempt.broke and exchange.sent_at is not None:
            has_answer = begun_at is not None and (
                now - begun_at > PROOF_SECONDS
            )
            tracker.note_broken(
                BrokenAttempt(job, endpoint, exchange.sent_at, has_answer)
            )
        elif attempt.verdict is Verdict.RAN:
            tracker.note_answered(job, now if begun_at is None else begun_at)
        else:
            tracker.end_attempt(job)

    def _log_failure(
        self,
        reservation: Reservation,
        exchange: Exchange,
        attempt: Attempt,
        step: RetryDecision,
    ) -> None:
        """Log an attempt that gave no usable response, and what follows."""
        deps, job = self._deps, self._job
        budget = _budget_after(exchange, self._payment)
        deps.metrics.count(
            'retry_decisions',
            service=job.service,
            step=step.value,
            paid=str(exchange.sent).lower(),
        )
        deps.log(
            'attempt_failed',
            request_id=job.request_id,
            account=job.account,
            tokens=round(cost_of(job)),
            service=job.service,
            endpoint=reservation.endpoint.name,
            software=reservation.endpoint.version,
            resumes=job.resumed_id,
            verdict=attempt.verdict.value,
            why=attempt.detail,
            sent=exchange.sent,
            broke=attempt.broke,
            answer_begun=exchange.first_byte_at is not None,
            digest=job.digest.hex(),
            parts=[part.name for part in job.prompt.parts],
            expected_ms=round(reservation.placement.expected_ms),
            next=step.value,
            **self._duration,
            **budget.standing(),
            **deps.chooser.describe_view(),
        )

    def _response_after(self, attempt: Attempt) -> Answer | Refusal:
        """Return the final response after the last, unsuccessful attempt."""
        progress = self._progress
        if attempt.answer is not None:
            return attempt.answer
        if progress.verdict is Verdict.NOT_RUN:
            return self._deps.admission_queue(self._job.service).refuse()
        reason = attempt.reason or ENDPOINT_FAILED
        if self._job.deadline <= self._loop.time():
            reason = TIMED_OUT
        return Refusal(reason, progress.verdict, attempt.detail)

    def _finish(self, response: Answer | Refusal) -> Answer | Refusal:
        """Return the response to the caller, once no attempt will follow.

        After an attempt that may have run, a refusal must not state that the
        request did not run. An endpoint's own error response is passed on.
        """
        progress = self._progress
        if isinstance(response, Refusal) and progress.answer is not None:
            response = progress.answer
        if isinstance(response, Answer):
            self._log_end('answered', None, status=response.status)
            headers = marked(
                response.headers, self._job.request_id, Verdict.RAN
            )
            return replace(response, headers=headers)
        if progress.verdict is not Verdict.NOT_RUN:
            reason = response.reason
            if reason.status == REQUEST_QUARANTINED.status:
                reason = ENDPOINT_FAILED
            response = Refusal(reason, progress.verdict, progress.detail)
        self._log_end('refused', None, **refusal_fields(response))
        return response

    def _log_end(
        self,
        event: str,
        attempt: Attempt | None,
        **fields: object,
    ) -> None:
        job, progress = self._job, self._progress
        seconds = self._loop.time() - job.arrived_at
        self._deps.metrics.observe(
            'request_seconds', seconds, service=job.service, outcome=event
        )
        if attempt is not None and attempt.first_token_ms >= 0:
            fields['first_byte_ms'] = attempt.first_token_ms
        self._deps.log(
            f'request_{event}',
            request_id=job.request_id,
            account=job.account,
            route=job.route.name,
            service=job.service,
            resumes=job.resumed_id,
            after_event=job.last_event_id,
            sends=progress.sends,
            verdict=progress.verdict.value,
            ms=math.floor(seconds * 1000),
            objective_ms=round(job.route.objective * MS_PER_SECOND),
            **self._deps.admission_queue(job.service).log_fields(job),
            **self._placement,
            **self._duration,
            **self._deps.chooser.describe_view(),
            **self._deps.chooser.describe_service(job.service),
            **fields,
        )


def _budget_after(
    exchange: Exchange, payment: RetryReservation
) -> RetryReservation | _NoCharge:
    """Return the budget that the attempt after this one is charged to."""
    return payment if exchange.sent else _NoCharge()


def _refuse_for(seconds: float) -> Refusal:
    """Return a refusal while no endpoint of the service wants a request.

    Callers refused together come back one after the other.
    """
    spread = max(MIN_RETURN_SPREAD_SECONDS, seconds * RETURN_SPREAD)
    retry_after = seconds + random.uniform(0, spread)
    return Refusal(NO_ROOM, Verdict.NOT_RUN, retry_after=retry_after)
