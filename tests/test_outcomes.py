"""What callers are told, checked against what endpoints really did."""

import asyncio
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from support_callers import (
    COMPLETION,
    Received,
    Script,
    answer_bytes,
    ask_told,
    chat_bytes,
    deposit_bytes,
    open_path,
    run,
)

from sesamespoke.retries import (
    INITIAL_TOKENS,
    MIN_TIME_LEFT_SECONDS,
    RetryBudget,
    RetryContext,
    RetryDecision,
    decide_retry,
    worse_verdict,
)
from sesamespoke.verdicts import Verdict

RATIO = 0.1
BEHAVIOURS = (
    'answer',
    'refuse',
    'busy',
    'close before running',
    'close after running',
    'cut the answer',
    'answer another request',
    'answer twice',
)


class RetryMachine(RuleBasedStateMachine):
    """One router's requests; a request's attempts end as hypothesis says."""

    @initialize()
    def start(self) -> None:
        self.budget = RetryBudget()
        self.fresh = 0
        self.retries = 0
        self.step = RetryDecision.FINAL

    @precondition(lambda self: self.step is RetryDecision.FINAL)
    @rule(idempotent=st.booleans(), resumable=st.booleans())
    def begin(self, idempotent: bool, resumable: bool) -> None:
        self.budget.earn(RATIO)
        self.fresh += 1
        self.idempotent = idempotent
        self.resumable = resumable
        self.step = RetryDecision.AGAIN
        self.started = False
        self.runs = 0
        self.verdict = Verdict.NOT_RUN

    @precondition(lambda self: self.step is not RetryDecision.FINAL)
    @rule(
        verdict=st.sampled_from(Verdict),
        really_ran=st.booleans(),
        starts=st.booleans(),
        time_left=st.sampled_from([-1.0, 0.01, 5.0]),
    )
    def end_attempt(
        self,
        verdict: Verdict,
        really_ran: bool,
        starts: bool,
        time_left: float,
    ) -> None:
        if verdict is Verdict.NOT_RUN:
            really_ran = starts = False
        if verdict is Verdict.RAN:
            really_ran = True
        self.runs += really_ran
        self.started = self.started or starts
        self.verdict = worse_verdict(self.verdict, verdict)
        situation = RetryContext(
            verdict,
            self.idempotent,
            self.started,
            self.resumable,
        )
        self.step = decide_retry(situation, time_left, self.budget)
        if self.step is RetryDecision.FINAL:
            return
        self.retries += 1
        assert time_left >= MIN_TIME_LEFT_SECONDS
        assert verdict is not Verdict.RAN
        assert self.started == (self.step is RetryDecision.RESUME)

    @invariant()
    def tells_the_truth_and_keeps_the_budget(self) -> None:
        if not getattr(self, 'fresh', 0):
            return
        assert self.retries <= INITIAL_TOKENS + RATIO * self.fresh + 1e-9
        assert self.idempotent or self.runs <= 1
        if self.verdict is Verdict.NOT_RUN:
            assert self.runs == 0
        if self.verdict is Verdict.RAN:
            assert self.runs > 0


TestRetries = RetryMachine.TestCase


def misbehave(rng: random.Random, runs: Counter[str]) -> Script:
    """Return an endpoint that draws what it does with each request."""

    async def script(got: Received, writer: asyncio.StreamWriter) -> None:
        behaviour = rng.choice(BEHAVIOURS)
        key = got.header('Idempotency-Key') or got.header('X-Request-Id')
        if behaviour in {'refuse', 'busy', 'close before running'}:
            status = {'refuse': '503 Busy', 'busy': '502 Bad'}.get(behaviour)
            if status:
                writer.write(answer_bytes(got, b'{}', status=status))
            else:
                writer.close()
            return
        runs[key] += 1
        answer = answer_bytes(got, COMPLETION)
        if behaviour == 'close after running':
            answer = b''
        elif behaviour == 'cut the answer':
            answer = answer[: rng.randrange(len(answer))]
        elif behaviour == 'answer another request':
            number = got.header('X-Request-Id').encode()
            answer = answer.replace(number, b'another').replace(b'2', b'3')
        elif behaviour == 'answer twice':
            answer += answer.replace(b'rear', b'side')
        writer.write(answer)
        await writer.drain()
        if not answer.endswith(COMPLETION):
            writer.close()

    return script


@given(st.integers(0, 2**32))
@settings(max_examples=40)
def test_verdicts_agree_with_what_endpoints_did(seed: int) -> None:
    """Callers resend each doubtful call; what they are told is true."""
    rng = random.Random(seed)
    runs: Counter[str] = Counter()

    async def scenario() -> None:
        async def check_deposit(key: str) -> None:
            for _ in range(3):
                told = await ask_told(path, deposit_bytes(key))
                assert runs[key] <= 1
                if told.verdict == 'not run':
                    assert runs[key] == 0
                if told.verdict == 'ran':
                    assert runs[key] == 1
                    assert told.body == COMPLETION

        scripts = [misbehave(rng, runs) for _ in range(5)]
        async with open_path(*scripts) as path:
            for number in range(4):
                await check_deposit(f'k{number}')
                told = await ask_told(path, chat_bytes())
                if told.status == 200:
                    assert told.body == COMPLETION
                if told.verdict == 'not run':
                    assert not runs[told.header('X-Request-Id')]
            assert not path.slots.held

    run(scenario())
