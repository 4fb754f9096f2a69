"""One accepted call: claim, slot, attempts, and the final answer.

The verdict that a caller is given covers all attempts at its request.
"""

import asyncio
import contextlib
from dataclasses import replace
from types import MappingProxyType
from urllib.parse import urlsplit

from sesamespoke.answers import Answer, marked
from sesamespoke.attempts import Attempt, Reply, Target
from sesamespoke.call_parts import CallParts, Claim
from sesamespoke.crash_detector import ServedEndpoint
from sesamespoke.events import EventRelay
from sesamespoke.exchange import Exchange
from sesamespoke.intake import Accepted
from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.part_quarantine import PROOF_SECONDS, PartUse
from sesamespoke.quarantine import Quarantine
from sesamespoke.retries import (
    RetryContext,
    RetryDecision,
    decide_retry,
    worse_verdict,
)
from sesamespoke.slot_choice import ChosenSlot, SlotChooser
from sesamespoke.verdicts import (
    ENDPOINT_FAILED,
    QUARANTINED,
    Reason,
    Refusal,
    Verdict,
)
from sesamespoke.work import Slot, Work

RETRY_AFTER_SECONDS = 1.0
MAX_RESUMES = 3
RESUME_PAUSE_SECONDS = 0.02
MS_PER_SECOND = 1000
DEFAULT_PORTS = MappingProxyType({'http': 80, 'https': 443})


class AcceptedCall:
    """The state of one call while it is served."""

    def __init__(
        self,
        parts: CallParts,
        accepted: Accepted,
        reply: Reply,
    ) -> None:
        """Prepare to serve a call."""
        self._parts = parts
        self._work = accepted.work
        self._key = accepted.key
        self._reply = reply
        self._relay = EventRelay()
        self._chooser = SlotChooser(parts, accepted.work)
        self._answer: Answer | None = None
        self._claim: Claim | None = None
        self._sent_at: float = 0
        self.verdict = Verdict.NOT_RUN

    async def serve(self) -> Answer | Refusal | None:
        """Return the final answer, or None if it was all passed on."""
        if self._key is None:
            return await self._run()
        if self._chooser.is_quarantined():
            return Refusal(QUARANTINED, Verdict.MAY_HAVE_RUN)
        claim = await self._parts.claims.claim(self._work, self._key)
        if isinstance(claim, Refusal):
            return claim
        if isinstance(claim, Answer):
            return self._mark(claim, Verdict.RAN)
        self._claim = claim
        with contextlib.ExitStack() as stack:
            stack.callback(lambda: claim.settle(self._answer, self.verdict))
            ended = await self._run()
            if isinstance(ended, Answer):
                self._answer = ended
        return ended

    async def _run(self) -> Answer | Refusal | None:
        self._parts.budget.earn(self._retry_ratio())
        while True:
            chosen = await self._chooser.choose()
            if isinstance(chosen, Refusal):
                return replace(chosen, verdict=self.verdict)
            attempt, step = await self._use(chosen)
            if attempt.passed_on:
                return None
            if step is not RetryDecision.AGAIN:
                return self._finish(attempt)
            self._parts.metrics.count(
                'retries', service=self._work.service_name
            )
            self._chooser.avoid(chosen.slot)

    def _retry_ratio(self) -> float:
        revision = self._parts.revision()
        return revision.document.capacity.retry_ratio if revision else 0

    async def _use(self, chosen: ChosenSlot) -> tuple[Attempt, RetryDecision]:
        """Use a slot, resuming a cut stream on it, and give it back."""
        exchange = self._exchange(chosen)
        with contextlib.ExitStack() as stack:
            stack.callback(self._cancel, chosen.slot, exchange)
            attempt = await exchange.run()
            step = self._follow(attempt)
            broke = attempt.broke
            for _ in range(MAX_RESUMES):
                if step is not RetryDecision.RESUME:
                    break
                await asyncio.sleep(RESUME_PAUSE_SECONDS)
                attempt = await self._exchange(chosen).run()
                step = self._follow(attempt)
                broke = attempt.broke or (broke and not attempt.passed_on)
            stack.pop_all()
        self._note(chosen, replace(attempt, broke=broke))
        return attempt, step

    def _exchange(self, chosen: ChosenSlot) -> Exchange:
        slots = self._parts.slots
        self._relay.restart()
        return Exchange(
            self._parts.pool,
            self._work,
            self._target(chosen),
            self._reply,
            lambda usage: slots.meter(chosen.slot, usage),
        )

    def _target(self, chosen: ChosenSlot) -> Target:
        name = chosen.slot.endpoint_name
        return Target(
            name,
            chosen.url,
            self._relay,
            self._begin_attempt,
            self._may_resend,
        )

    def _begin_attempt(self) -> bool:
        """Return whether the request may be sent to the endpoint now."""
        if not self._may_send():
            return False
        self._sent_at = asyncio.get_running_loop().time()
        quarantine = self._parts.part_quarantine
        return quarantine is None or quarantine.begin_attempt(
            _use_of(self._work)
        )

    def _may_send(self) -> bool:
        """Return whether there is time, and a claim where one is needed."""
        now = asyncio.get_running_loop().time()
        held = self._claim is None or self._claim.may_send(now)
        return held and self._time_left() > 0

    def _may_resend(self) -> bool:
        """Return whether the same endpoint may get the call once more."""
        is_paid = self._may_send() and self._parts.budget.spend()
        if is_paid:
            self._parts.metrics.count(
                'retries', service=self._work.service_name
            )
        return is_paid

    def _cancel(self, slot: Slot, exchange: Exchange) -> None:
        """Settle an attempt that was cancelled; it may have run."""
        self.verdict = worse_verdict(self.verdict, Verdict.MAY_HAVE_RUN)
        ending = SlotUse(Outcome.CANCELLED, -1, exchange.spent())
        self._parts.slots.release(slot, ending)
        if self._parts.quarantine is not None:
            self._parts.quarantine.end_trial(self._work.digest)
        if self._parts.part_quarantine is not None:
            self._parts.part_quarantine.end_attempt(_use_of(self._work))

    def _note(self, chosen: ChosenSlot, attempt: Attempt) -> None:
        """Give the slot back and tell how the endpoint bore the request."""
        slot = chosen.slot
        ending = SlotUse(
            attempt.outcome,
            attempt.first_token_ms,
            attempt.usage,
        )
        self._parts.slots.release(slot, ending)
        self._parts.metrics.count(
            'attempts',
            service=self._work.service_name,
            outcome=attempt.outcome.name.lower(),
        )
        quarantine = self._parts.quarantine
        if quarantine is not None:
            _judge(quarantine, self._work.digest, slot, attempt)
        self._judge_parts(chosen, attempt)
        if attempt.broke:
            self._parts.timeline.record(
                'connection_broke',
                endpoint=slot.endpoint_name,
                request_id=self._work.request_id,
                detail=attempt.detail,
            )

    def _judge_parts(self, chosen: ChosenSlot, attempt: Attempt) -> None:
        """Note how the endpoint bore the parts of the prompt."""
        quarantine = self._parts.part_quarantine
        if quarantine is None:
            return
        use = _use_of(self._work)
        begun_at = self._sent_at + attempt.first_token_ms / MS_PER_SECOND
        has_begun = attempt.first_token_ms >= 0
        if attempt.broke:
            now = asyncio.get_running_loop().time()
            quarantine.note_broken(
                use,
                _served(chosen),
                self._sent_at,
                has_answer=has_begun and now - begun_at > PROOF_SECONDS,
            )
        elif attempt.verdict is Verdict.RAN:
            quarantine.note_answered(use, begun_at)
        else:
            quarantine.end_attempt(use)

    def _time_left(self) -> float:
        """Return the seconds left; a stream that has begun has no end."""
        if self._reply.started:
            return self._work.service.deadline_seconds
        return self._work.deadline - asyncio.get_running_loop().time()

    def _follow(self, attempt: Attempt) -> RetryDecision:
        verdict = Verdict.RAN if self._reply.started else attempt.verdict
        self.verdict = worse_verdict(self.verdict, verdict)
        if attempt.verdict is Verdict.RAN:
            return RetryDecision.FINAL
        contract = self._work.service.contract
        situation = RetryContext(
            attempt.verdict,
            self._work.idempotent,
            self._reply.started,
            contract.resumable and bool(attempt.last_id),
        )
        left = self._time_left() if self._may_send() else 0
        return decide_retry(situation, left, self._parts.budget)

    def _mark(self, answer: Answer, verdict: Verdict) -> Answer:
        rows = marked(answer.headers, self._work.request_id, verdict)
        return replace(answer, headers=rows)

    def _finish(self, attempt: Attempt) -> Answer | Refusal:
        if attempt.answer is not None:
            return self._mark(attempt.answer, self.verdict)
        reason: Reason = attempt.reason or ENDPOINT_FAILED
        retry_after = RETRY_AFTER_SECONDS if self._work.idempotent else None
        return Refusal(reason, self.verdict, attempt.detail, retry_after)


def _use_of(work: Work) -> PartUse:
    return PartUse(work.request_id, work.digest, work.shared_parts)


def _served(chosen: ChosenSlot) -> ServedEndpoint:
    url = urlsplit(chosen.url)
    port = url.port or DEFAULT_PORTS[url.scheme]
    return ServedEndpoint(chosen.slot.endpoint_name, f'{url.hostname}:{port}')


def _judge(
    quarantine: Quarantine,
    digest: bytes,
    slot: Slot,
    attempt: Attempt,
) -> None:
    if attempt.broke:
        quarantine.note_crash(digest, slot.endpoint_name)
    elif attempt.verdict is Verdict.RAN:
        quarantine.release(digest)
    else:
        quarantine.end_trial(digest)
