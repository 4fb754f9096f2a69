"""The adaptive limit of an endpoint against the results of its slots.

The limit stays between the cold and the warm value, leaves the cold value only
after enough responses in time in a row or with work found in flight, returns
to it after a broken connection or a very late first token, and reaches the
warm value again.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from sesamespoke.limits import COLD_RESET_FACTOR, EndpointLimit, Outcome
from sesamespoke.world import Limit

TARGET_SECONDS = 0.5
VERY_LATE_MS = int(COLD_RESET_FACTOR * TARGET_SECONDS * 1000) + 1
ENDINGS = (
    (Outcome.DONE, VERY_LATE_MS // 2),
    (Outcome.LATE, VERY_LATE_MS // 2),
    (Outcome.DONE, VERY_LATE_MS),
    (Outcome.LATE, VERY_LATE_MS),
    *((kind, -1) for kind in Outcome if kind.name not in {'DONE', 'LATE'}),
)
HELD = st.integers(1, 40)
LIMITS = st.builds(
    lambda cold, more, after: Limit(
        cold=cold,
        warm=cold + more,
        warm_after=after,
        first_token_seconds=TARGET_SECONDS,
    ),
    st.integers(1, 4),
    st.integers(0, 12),
    st.integers(1, 5),
)


class LimitMachine(RuleBasedStateMachine):
    """Results in any order; ``row`` counts consecutive ones in time."""

    @initialize(cfg=LIMITS)
    def start(self, cfg: Limit) -> None:
        self.now = 100.0
        self.limit = EndpointLimit(cfg, lambda: self.now)
        self.row = 0
        self.proven = False

    @rule(held=HELD, times=st.integers(1, 6))
    def answer_in_time(self, held: int, times: int) -> None:
        for _ in range(times):
            self.row += 1
            self.limit.note(Outcome.DONE, 100, held)
            self.check()

    @rule(held=HELD, ending=st.sampled_from(ENDINGS))
    def end(self, held: int, ending: tuple[Outcome, int]) -> None:
        outcome, first_token_ms = ending
        before = self.limit.bound, self.limit.cold
        self.limit.note(outcome, first_token_ms, held)
        if outcome in {Outcome.UNUSED, Outcome.CANCELLED}:
            assert before == (self.limit.bound, self.limit.cold)
            return
        self.row = 0
        assert self.limit.bound <= before[0]
        if outcome is Outcome.BROKEN or first_token_ms == VERY_LATE_MS:
            self.proven = False
            assert self.limit.cold
        if outcome in {Outcome.BROKEN, Outcome.REFUSED}:
            assert self.limit.room(0) == 0

    @rule(held=HELD)
    def presume_warm(self, held: int) -> None:
        self.limit.presume_warm(held)
        self.proven = self.proven or held > self.limit.cfg.cold

    @rule(cfg=LIMITS)
    def reconfigure(self, cfg: Limit) -> None:
        was_cold = self.limit.cold
        self.limit.reconfigure(cfg)
        assert self.limit.cold == was_cold

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.6, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def grow_to_the_warm_limit(self) -> None:
        self.now = max(self.now, self.limit.paused_until)
        cfg = self.limit.cfg
        for _ in range(cfg.warm_after + (cfg.warm + 1) ** 2):
            self.answer_in_time(int(self.limit.bound), 1)
        assert self.limit.bound == cfg.warm

    @invariant()
    def check(self) -> None:
        cfg = self.limit.cfg
        assert cfg.cold <= self.limit.bound <= cfg.warm
        if self.limit.cold:
            assert self.limit.bound == cfg.cold
        else:
            self.proven = self.proven or self.row >= cfg.warm_after
            assert self.proven
        for in_use in (0, cfg.cold, cfg.warm + 9):
            room = self.limit.room(in_use, cold_share=0.3)
            most = cfg.cold * 0.3 if self.limit.cold else cfg.warm
            assert 0 <= room <= max(0, most - in_use)


TestLimits = LimitMachine.TestCase
