"""The decision whether to retry a failed attempt.

A decision table takes the verdict, whether the call is idempotent and
whether the caller has received part of the response. A retry also needs
time before the deadline and a token from the retry budget. Each router
earns ``retry_ratio`` tokens per new request. The fleet's retries therefore
stay below that fraction of its requests plus ``INITIAL_TOKENS`` per router,
without coordination between routers.
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
    """What to do after an attempt that returned no complete response."""

    AGAIN = 'again'
    RESUME = 'resume'
    FINAL = 'final'


class RetryContext(NamedTuple):
    """The inputs of the decision table.

    ``started`` says that the caller has received part of the response, and
    ``resumable`` that a stream can be resumed after the last event.
    """

    verdict: Verdict
    idempotent: bool
    started: bool
    resumable: bool


def _decision_for(context: RetryContext) -> RetryDecision:
    if context.verdict is Verdict.RAN:
        return RetryDecision.FINAL
    if context.started:
        may_resume = context.idempotent and context.resumable
        return RetryDecision.RESUME if may_resume else RetryDecision.FINAL
    if context.idempotent or context.verdict is Verdict.NOT_RUN:
        return RetryDecision.AGAIN
    return RetryDecision.FINAL


BOOLEANS = (False, True)
RETRY_DECISIONS: Mapping[RetryContext, RetryDecision] = MappingProxyType(
    {
        context: _decision_for(context)
        for context in starmap(
            RetryContext, product(Verdict, BOOLEANS, BOOLEANS, BOOLEANS)
        )
    }
)

SEVERITY = MappingProxyType(
    {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2},
)


def worse_verdict(one: Verdict, other: Verdict) -> Verdict:
    """Return the more severe verdict of two attempts."""
    return max(one, other, key=SEVERITY.__getitem__)


class Budget(Protocol):
    """A budget that limits retries."""

    def spend(self) -> bool:
        """Spend a retry; return whether one was left."""


class RetryBudget:
    """A token bucket that new requests fill and retries drain."""

    def __init__(self) -> None:
        """Start with a few tokens so that early failures can be retried."""
        self.tokens = INITIAL_TOKENS

    def earn(self, ratio: float) -> None:
        """Add ``ratio`` tokens for a new request, up to the maximum."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def spend(self) -> bool:
        """Spend a token on a retry; return whether one was left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide_retry(
    context: RetryContext,
    time_left: float,
    budget: Budget,
) -> RetryDecision:
    """Return the decision after an attempt; a retry spends a token."""
    decision = RETRY_DECISIONS[context]
    if decision is RetryDecision.FINAL:
        return decision
    if time_left < MIN_TIME_LEFT_SECONDS or not budget.spend():
        return RetryDecision.FINAL
    return decision
