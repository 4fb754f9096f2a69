"""Whether a failed attempt is followed by another.

A state table decides from the verdict, the call's idempotence and what the
caller has been sent already. A retry also needs time before the deadline
and a token of the budget. Each router earns ``retry_ratio`` tokens per
fresh request, so that the fleet's retries stay below that fraction of the
fleet's requests plus ``INITIAL_TOKENS`` per router, with no agreement
between routers.
"""

from collections.abc import Mapping
from enum import Enum
from itertools import product, starmap
from types import MappingProxyType
from typing import NamedTuple, Protocol

from sesamespoke.verdicts import Verdict

INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0
MIN_TIME_LEFT_SECONDS = 0.05


class RetryDecision(Enum):
    """What follows an attempt that brought no whole answer."""

    AGAIN = 'again'
    RESUME = 'resume'
    FINAL = 'final'


class RetryContext(NamedTuple):
    """What the table decides on."""

    verdict: Verdict
    idempotent: bool
    started: bool
    resumable: bool


def _step_for(situation: RetryContext) -> RetryDecision:
    if situation.verdict is Verdict.RAN:
        return RetryDecision.FINAL
    if situation.started:
        may_resume = situation.idempotent and situation.resumable
        return RetryDecision.RESUME if may_resume else RetryDecision.FINAL
    if situation.idempotent or situation.verdict is Verdict.NOT_RUN:
        return RetryDecision.AGAIN
    return RetryDecision.FINAL


BOOLEANS = (False, True)
RETRY_DECISIONS: Mapping[RetryContext, RetryDecision] = MappingProxyType(
    {
        situation: _step_for(situation)
        for situation in starmap(
            RetryContext, product(Verdict, BOOLEANS, BOOLEANS, BOOLEANS)
        )
    }
)

SEVERITY = MappingProxyType(
    {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2},
)


def worse_verdict(one: Verdict, other: Verdict) -> Verdict:
    """Return the verdict on two attempts together."""
    return max(one, other, key=SEVERITY.__getitem__)


class Budget(Protocol):
    """What retries are paid from."""

    def spend(self) -> bool:
        """Take a retry; return whether there was one."""


class RetryBudget:
    """Tokens that fresh requests earn and retries spend."""

    def __init__(self) -> None:
        """Start with a few tokens, so that a first failure is retried."""
        self.tokens = INITIAL_TOKENS

    def earn(self, ratio: float) -> None:
        """Count a fresh request."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def spend(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide_retry(
    situation: RetryContext,
    time_left: float,
    budget: Budget,
) -> RetryDecision:
    """Return what follows an attempt, spending a token on a retry."""
    step = RETRY_DECISIONS[situation]
    if step is RetryDecision.FINAL:
        return step
    if time_left < MIN_TIME_LEFT_SECONDS or not budget.spend():
        return RetryDecision.FINAL
    return step
