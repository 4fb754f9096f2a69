"""Claims of idempotency keys, on the side of the router that serves a call.

A claim is won at most once for a key. Its holder gives up a token for good
before it asks under another one, so that a writer may free what it refused.
"""

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from types import MappingProxyType

import msgpack

from sesamespoke.answers import Answer
from sesamespoke.claim_known import (
    MS_PER_SECOND,
    UNAVAILABLE,
    ClaimState,
    Judgement,
    KnownClaims,
)
from sesamespoke.claim_record import (
    ClaimRecord,
    Grip,
    Mark,
    Standing,
    decode_record,
    name_claim,
    name_in,
    unpack_grip,
)
from sesamespoke.claim_routes import MOVED, ClaimRoutes
from sesamespoke.claim_writer import ClaimWriter
from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.settings import Settings
from sesamespoke.store import Store
from sesamespoke.timeline import Timeline
from sesamespoke.verdicts import (
    ANSWER_NOT_KEPT,
    CLAIMS_UNAVAILABLE,
    IN_PROGRESS,
    KEY_REUSED,
    OUTCOME_UNKNOWN,
    Reason,
    Refusal,
    Verdict,
)
from sesamespoke.work import Work

RETRY_AFTER_SECONDS = 1.0
SETTLE_PAUSE_SECONDS = 1.0
SETTLE_WAIT_SECONDS = 25.0
DELIVER_SECONDS = 600.0
DRAIN_SECONDS = 5.0
MAX_MOVES = 3
TOKEN_BYTES = 6
NO_GRIP = Grip('', 0)

MARKS = MappingProxyType(
    {
        Verdict.NOT_RUN: Mark.RELEASED,
        Verdict.MAY_HAVE_RUN: Mark.MAY_HAVE_RUN,
        Verdict.RAN: Mark.RAN,
    }
)
REFUSALS: MappingProxyType[ClaimState, tuple[Reason, Verdict]] = (
    MappingProxyType(
        {
            ClaimState.IN_PROGRESS: (IN_PROGRESS, Verdict.MAY_HAVE_RUN),
            ClaimState.MAY_HAVE_RUN: (OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN),
            ClaimState.KEY_REUSED: (KEY_REUSED, Verdict.NOT_RUN),
            ClaimState.UNAVAILABLE: (CLAIMS_UNAVAILABLE, Verdict.NOT_RUN),
        }
    )
)


class HeldClaim:
    """A claim that was won: the right to run its call once."""

    def __init__(
        self,
        claims: 'Claims',
        name: str,
        standing: Standing,
        send_before: float,
    ) -> None:
        """Hold a claim until ``send_before`` on the loop's clock."""
        self._claims = claims
        self._name = name
        self._standing = standing
        self._send_before = send_before
        self._is_settled = False

    def may_send(self, now: float) -> bool:
        """Return whether the call may still be sent to an endpoint."""
        return not self._is_settled and now < self._send_before

    def settle(self, answer: Answer | None, verdict: Verdict) -> None:
        """Record how the call ended; only the first time counts."""
        if self._is_settled:
            return
        self._is_settled = True
        self._claims.settle(self._name, self._standing, answer, verdict)


class Claims:
    """Claims keys through the writers of this data centre."""

    def __init__(
        self,
        cfg: Settings,
        links: Links,
        store: Store,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Subscribe to the claim messages; ``start`` begins to write."""
        self._cfg = cfg.claims
        self._host = links.host
        self._metrics = metrics
        self._writer = ClaimWriter(cfg.claims, store, metrics, timeline)
        self._routes = ClaimRoutes(
            cfg.claims, links, self._writer, self._on_orphan
        )
        self._known = KnownClaims(cfg.claims.known_claims, cfg.claims.period)
        self._numbers = itertools.count(1)
        self._incarnation = secrets.token_hex(TOKEN_BYTES)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to write for this and other hosts."""
        self._spawn(self._writer.run())

    async def stop(self) -> None:
        """Finish the settlements that are under way, then stop."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + DRAIN_SECONDS
        while loop.time() < end_at:
            if self._writer.is_idle and self._routes.is_idle:
                break
            await asyncio.sleep(self._cfg.batch_interval)
        self._writer.stop()
        for task in tuple(self._tasks):
            task.cancel()

    async def claim(self, work: Work, key: str) -> HeldClaim | Answer | Refusal:
        """Claim a key, or return what an earlier call with it came to."""
        now = asyncio.get_running_loop().time()
        name = name_claim(work.account, key)
        known = self._known.find(name, now)
        judgement = known.judge(work.digest, now) if known else None
        if judgement:
            return _read_answer(judgement)
        record = ClaimRecord(
            Mark.CLAIMED,
            token=self._new_token(),
            digest=work.digest,
            remaining_ms=int((work.deadline - now) * MS_PER_SECOND),
        )
        wait = min(self._cfg.max_wait, work.deadline - now)
        judgement, record = await self._ask(name, record, wait)
        self._metrics.count('claims', state=judgement.state.name.lower())
        if judgement.state is ClaimState.WON:
            standing = Standing(record, unpack_grip(judgement.payload)[0])
            send_before = min(work.deadline, now + self._cfg.period / 2)
            return HeldClaim(self, name, standing, send_before)
        if judgement.state is ClaimState.RAN:
            ran = decode_record(judgement.payload)
            self._known.note(name, Standing(ran, NO_GRIP), now)
        return _read_answer(judgement)

    def settle(
        self,
        name: str,
        standing: Standing,
        answer: Answer | None,
        verdict: Verdict,
    ) -> None:
        """Record how a won claim ended, in the background."""
        record = replace(standing.record, mark=MARKS[verdict])
        if answer and verdict is Verdict.RAN:
            record = self._keep_answer(record, answer)
        now = asyncio.get_running_loop().time()
        if verdict is not Verdict.NOT_RUN:
            self._known.note(name, Standing(record, standing.grip), now)
        self._spawn(self._deliver(name, record, standing.grip))

    def _keep_answer(self, record: ClaimRecord, answer: Answer) -> ClaimRecord:
        fits = len(answer.body) <= self._cfg.kept_body_bytes
        return replace(
            record,
            status=answer.status,
            headers=answer.headers,
            body=answer.body if fits else None,
        )

    async def _ask(
        self,
        name: str,
        record: ClaimRecord,
        wait: float,
    ) -> tuple[Judgement, ClaimRecord]:
        """Ask for a claim, again under a new token where the writer went."""
        asked = [record]
        judgement = UNAVAILABLE
        with contextlib.ExitStack() as stack:
            stack.callback(self._release, name, asked)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    judgement = await self._ask_writers(name, asked)
                    stack.pop_all()
        if judgement.state is not ClaimState.WON:
            self._release(name, asked[:-1])
        return judgement, asked[-1]

    async def _ask_writers(
        self,
        name: str,
        asked: list[ClaimRecord],
    ) -> Judgement:
        for _ in range(MAX_MOVES):
            tokens = tuple(record.token for record in asked[:-1])
            judgement = await self._routes.ask(name, asked[-1], None, tokens)
            if judgement is not MOVED:
                return judgement
            asked.append(replace(asked[-1], token=self._new_token()))
        return UNAVAILABLE

    def _release(self, name: str, asked: Sequence[ClaimRecord]) -> None:
        """Free what may be claimed though it was given up."""
        for record in asked:
            released = replace(record, mark=Mark.RELEASED)
            self._spawn(self._deliver(name, released, None))

    def _on_orphan(self, grip: Grip, token: str) -> None:
        """Free a claim that was won after it was given up."""
        released = ClaimRecord(Mark.RELEASED, token, b'')
        self._spawn(self._deliver(name_in(grip.key), released, grip))

    async def _deliver(
        self,
        name: str,
        record: ClaimRecord,
        grip: Grip | None,
    ) -> None:
        """Send a settlement until a writer has taken it."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + DELIVER_SECONDS
        while loop.time() < end_at:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTLE_WAIT_SECONDS):
                    judgement = await self._routes.ask(name, record, grip)
                if judgement.state is ClaimState.SETTLED:
                    return
            await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        self._metrics.count('claims_unsettled')

    def _new_token(self) -> str:
        number = next(self._numbers)
        host = self._host
        return f'{host}/{self._incarnation}/{number}'

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _read_answer(judgement: Judgement) -> Answer | Refusal:
    """Return the recorded answer, or why there is none."""
    if judgement.state is ClaimState.RAN:
        record = decode_record(judgement.payload)
        if record.body is None:
            return Refusal(ANSWER_NOT_KEPT, Verdict.RAN)
        return Answer(record.status, record.headers, record.body)
    reason, verdict = REFUSALS[judgement.state]
    retry_after = None
    if judgement.state is ClaimState.IN_PROGRESS:
        left = msgpack.unpackb(judgement.payload) / MS_PER_SECOND
        retry_after = min(left, RETRY_AFTER_SECONDS)
    elif judgement.state is ClaimState.UNAVAILABLE:
        retry_after = RETRY_AFTER_SECONDS
    return Refusal(reason, verdict, retry_after=retry_after)
