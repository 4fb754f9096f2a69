"""One request, served: wait, attempt, again or final.

Every decision on the request is logged with its id and what decided it.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from sesamespoke.answers import Answer, marked
from sesamespoke.attempts import Attempt, Reply
from sesamespoke.events import EventRelay
from sesamespoke.metrics import Metrics
from sesamespoke.retries import (
    MIN_TIME_LEFT_SECONDS,
    RetryContext,
    RetryDecision,
    decide_retry,
    worse_verdict,
)
from sesamespoke.serving.admission import WaitingRoom
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.exchange import Exchange, Line
from sesamespoke.serving.job import Job
from sesamespoke.serving.retry_budget import (
    RetryReservation,
    WindowedRetryBudget,
)
from sesamespoke.verdicts import (
    ENDPOINT_FAILED,
    TIMED_OUT,
    Reason,
    Refusal,
    Verdict,
)

MAX_SENDS = 3
"""Endpoints that one request is sent to, those that refuse it included."""
PATIENCE = 2.0
"""A first byte later than this multiple of the objective counts as lost."""
SILENCE_FACTOR = 4.0
"""A pause of this multiple of the allowed one counts as a lost stream."""
MIN_SILENCE = 2.0
"""Seconds; callers leave a stream that pauses for longer."""

SUSPECT = Reason(
    'request_quarantined',
    503,
    'server_error',
    'this request has crashed endpoints and is not sent again',
)


class Log(Protocol):
    """Takes a line of facts; never blocks."""

    def __call__(self, event: str, /, **facts: object) -> None:
        """Write a line, or count it as dropped."""


class Suspects(Protocol):
    """What is known of requests that crash endpoints."""

    def is_refused(self, digest: bytes) -> bool:
        """Return whether a request is not to be sent any more."""

    def note_crash(self, digest: bytes, endpoint: str) -> None:
        """Record that an endpoint broke while it ran a request."""

    def acquit(self, digest: bytes) -> None:
        """Forget the crashes of a request that was answered whole."""


@dataclass(frozen=True, slots=True)
class ServingParts:
    """What serving a request needs of the router."""

    line: Line
    chooser: Chooser
    rooms: Callable[[str], WaitingRoom[Reservation]]
    budget: Callable[[str], WindowedRetryBudget]
    suspects: Suspects
    metrics: Metrics
    log: Log


@dataclass(slots=True)
class _Progress:
    """What has become of a request so far."""

    verdict: Verdict = Verdict.NOT_RUN
    sends: int = 0
    runs: int = 0
    answer: Answer | None = None
    detail: str = ''
    avoided: set[str] = field(default_factory=set)


class _Free:
    """The budget of an attempt of which nothing was sent."""

    def spend(self) -> bool:
        """Allow another attempt."""
        return True

    def standing(self) -> dict[str, object]:
        """Return nothing: no bound decided."""
        return {}


class ServingCall:
    """The state of one request while it is served."""

    def __init__(self, parts: ServingParts, job: Job, reply: Reply) -> None:
        """Prepare to serve a request."""
        self._parts = parts
        self._job = job
        self._reply = reply
        self._relay = EventRelay()
        self._progress = _Progress()
        self._placing: dict[str, object] = {}
        self._payment = RetryReservation(parts.budget(job.service))
        self._loop = asyncio.get_running_loop()

    async def serve(self) -> Answer | Refusal | None:
        """Return the final answer, or None if all of it was passed on."""
        self._parts.budget(self._job.service).record_request()
        with contextlib.closing(self._payment):
            return await self._serve()

    async def _serve(self) -> Answer | Refusal | None:
        job, progress = self._job, self._progress
        room = self._parts.rooms(job.service)
        while True:
            if self._parts.suspects.is_refused(job.digest):
                return self._conclude(Refusal(SUSPECT, Verdict.NOT_RUN))
            grant = await room.admit(
                job, self._reserve, is_retry=progress.sends > 0
            )
            if isinstance(grant, Refusal):
                return self._conclude(grant)
            attempt, step = await self._use(grant)
            if attempt.passed_on:
                self._log_end('served', attempt)
                return None
            progress.answer = attempt.answer or progress.answer
            progress.detail = attempt.detail
            if step is RetryDecision.FINAL:
                return self._conclude(self._refusal_after(attempt))
            progress.avoided.add(grant.endpoint.name)

    def _reserve(self, job: Job, fill: float) -> Reservation | None:
        avoided = frozenset(self._progress.avoided)
        return self._parts.chooser.reserve(job, fill, avoided)

    async def _use(self, grant: Reservation) -> tuple[Attempt, RetryDecision]:
        """Send the request to the endpoint of a grant."""
        parts, job = self._parts, self._job
        self._relay.restart()
        self._placing = _placing_of(grant)
        exchange = Exchange(
            parts.line, job, grant.endpoint, self._reply, self._relay
        )
        if grant.placement.prefix_holder is not None:
            exchange.keeper_address = grant.placement.prefix_holder.address
        self._set_patience(exchange)
        exchange.may_send = lambda: self._may_send(grant)
        exchange.may_resend = lambda: self._may_resend(grant)
        exchange.may_leave = lambda: self._may_leave(grant)
        exchange.on_first_byte = lambda: parts.chooser.loads.end_prefill(
            grant.in_flight
        )
        try:
            attempt = await exchange.run()
        except asyncio.CancelledError:
            self._log_end('caller_left', None)
            raise
        finally:
            parts.chooser.release(grant)
            parts.rooms(job.service).pump_soon()
        self._note(grant, exchange, attempt)
        step = self._follow(exchange, attempt)
        if not (attempt.passed_on or attempt.verdict is Verdict.RAN):
            self._tell_failed(grant, exchange, attempt, step)
        return attempt, step

    def _may_send(self, grant: Reservation) -> bool:
        """Return whether the endpoint may be sent the request now."""
        if not self._parts.chooser.is_usable(grant):
            return False
        self._payment.record_sent()
        return True

    def _may_resend(self, grant: Reservation) -> bool:
        """Return whether the same endpoint may get the request once more."""
        left = self._job.deadline - self._loop.time()
        may_send = self._parts.chooser.may_send_again(grant)
        if left < MIN_TIME_LEFT_SECONDS or not may_send:
            return False
        return self._payment.spend()

    def _may_leave(self, grant: Reservation) -> bool:
        """Return whether another endpoint can go on with a stream now.

        A silent one may still speak; to leave it for nothing cuts a caller.
        """
        can_resume = self._job.route.resumable and bool(self._relay.last_id)
        if self._reply.started and not can_resume:
            return False
        if not self._payment.spend():
            return False
        avoided = frozenset(self._progress.avoided | {grant.endpoint.name})
        place = self._parts.chooser.reserve(self._job, 1, avoided)
        if place is None:
            return False
        self._parts.chooser.release(place)
        return True

    def _set_patience(self, exchange: Exchange) -> None:
        """Let an endpoint go that is silent, where another may be asked."""
        route = self._job.route
        if (
            not route.may_repeat
            or self._progress.runs + 1 >= route.max_attempts
        ):
            return
        exchange.patience = route.objective * PATIENCE
        exchange.silence = max(MIN_SILENCE, route.max_gap * SILENCE_FACTOR)

    def _follow(self, exchange: Exchange, attempt: Attempt) -> RetryDecision:
        """Return what follows an attempt."""
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
        return decide_retry(situation, left, self._budget_of(exchange))

    def _budget_of(self, exchange: Exchange) -> RetryReservation | _Free:
        """Return what pays for the attempt that follows."""
        return self._payment if exchange.sent else _Free()

    def _note(
        self,
        grant: Reservation,
        exchange: Exchange,
        attempt: Attempt,
    ) -> None:
        """Learn from an attempt, and tell of it."""
        parts, endpoint = self._parts, grant.endpoint
        paused = parts.chooser.health.record_attempt(
            endpoint.name, attempt, grant.placement.expected_ms
        )
        if paused:
            parts.log(
                'endpoint_paused',
                endpoint=endpoint.name,
                request_id=self._job.request_id,
                why=attempt.detail,
            )
        if attempt.broke and exchange.sent:
            parts.suspects.note_crash(self._job.digest, endpoint.name)
        elif attempt.verdict is Verdict.RAN:
            parts.suspects.acquit(self._job.digest)
        parts.metrics.count(
            'attempts',
            service=self._job.service,
            outcome=attempt.outcome.name.lower(),
        )
        if exchange.resent:
            parts.metrics.count('resends', service=self._job.service)
            parts.log(
                'request_resent',
                request_id=self._job.request_id,
                endpoint=endpoint.name,
                why='a kept connection had closed',
                **self._payment.standing(),
            )

    def _tell_failed(
        self,
        grant: Reservation,
        exchange: Exchange,
        attempt: Attempt,
        step: RetryDecision,
    ) -> None:
        """Tell of an attempt that brought nothing to pass on, and what next."""
        parts = self._parts
        budget = self._budget_of(exchange)
        parts.metrics.count(
            'retry_decisions',
            service=self._job.service,
            step=step.value,
            paid=str(exchange.sent).lower(),
        )
        parts.log(
            'attempt_failed',
            request_id=self._job.request_id,
            service=self._job.service,
            endpoint=grant.endpoint.name,
            verdict=attempt.verdict.value,
            why=attempt.detail,
            sent=exchange.sent,
            expected_ms=round(grant.placement.expected_ms),
            next=step.value,
            **budget.standing(),
            **parts.chooser.describe_view(),
        )

    def _refusal_after(self, attempt: Attempt) -> Answer | Refusal:
        """Return the final answer where no attempt brought a whole one."""
        progress = self._progress
        if attempt.answer is not None:
            return attempt.answer
        if progress.verdict is Verdict.NOT_RUN:
            return self._parts.rooms(self._job.service).refuse()
        reason = attempt.reason or ENDPOINT_FAILED
        if self._job.deadline <= self._loop.time():
            reason = TIMED_OUT
        return Refusal(reason, progress.verdict, attempt.detail)

    def _conclude(self, ended: Answer | Refusal) -> Answer | Refusal:
        """Return what the caller is told, once no attempt will follow.

        A refusal after an attempt that may have run must not promise that
        the request has not; an endpoint's own failure is passed on.
        """
        progress = self._progress
        if isinstance(ended, Refusal) and progress.answer is not None:
            ended = progress.answer
        if isinstance(ended, Answer):
            self._log_end('answered', None, status=ended.status)
            rows = marked(ended.headers, self._job.request_id, Verdict.RAN)
            return replace(ended, headers=rows)
        if progress.verdict is not Verdict.NOT_RUN:
            reason = ended.reason
            if reason.status == SUSPECT.status:
                reason = ENDPOINT_FAILED
            ended = Refusal(reason, progress.verdict, progress.detail)
        self._log_end('refused', None, **_facts_of(ended))
        return ended

    def _log_end(
        self,
        event: str,
        attempt: Attempt | None,
        **facts: object,
    ) -> None:
        job, progress = self._job, self._progress
        seconds = self._loop.time() - job.arrived_at
        self._parts.metrics.observe(
            'request_seconds', seconds, service=job.service, outcome=event
        )
        if attempt is not None and attempt.first_token_ms >= 0:
            facts['first_byte_ms'] = attempt.first_token_ms
        self._parts.log(
            f'request_{event}',
            request_id=job.request_id,
            account=job.account,
            route=job.route.name,
            service=job.service,
            sends=progress.sends,
            verdict=progress.verdict.value,
            ms=math.floor(seconds * 1000),
            **self._parts.rooms(job.service).standing(job.account),
            **self._placing,
            **self._parts.chooser.describe_view(),
            **facts,
        )


def _placing_of(grant: Reservation) -> dict[str, object]:
    """Return what decided on an endpoint, as far as one was chosen."""
    placed = grant.placement
    return {
        'endpoint': placed.endpoint.name,
        'running': placed.load.running,
        'unread_ms': round(placed.load.prefill_ms),
        'own_unread_ms': round(placed.prefill_ms),
        'expected_ms': round(placed.expected_ms),
        'keeper': placed.prefix_holder.name if placed.prefix_holder else None,
    }


def _facts_of(refusal: Refusal) -> dict[str, object]:
    facts: dict[str, object] = {'reason': refusal.reason.code}
    if refusal.retry_after is not None:
        facts['retry_after'] = round(refusal.retry_after, 2)
    return facts
