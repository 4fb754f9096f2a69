"""What serving a call needs of the router."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sesamespoke.answers import Answer
from sesamespoke.endpoint_connections import ConnectionPool
from sesamespoke.metrics import Metrics
from sesamespoke.part_quarantine import PartQuarantine
from sesamespoke.quarantine import Quarantine
from sesamespoke.queues import SlotSource
from sesamespoke.retries import RetryBudget
from sesamespoke.timeline import Timeline
from sesamespoke.verdicts import Refusal, Verdict
from sesamespoke.work import Work
from sesamespoke.world import Revision


class Claim(Protocol):
    """A claimed idempotency key."""

    def may_send(self, now: float) -> bool:
        """Return whether the call may still be sent to an endpoint."""

    def settle(self, answer: Answer | None, verdict: Verdict) -> None:
        """Record how the call ended."""


class Claims(Protocol):
    """Where idempotency keys are claimed."""

    async def claim(self, work: Work, key: str) -> Claim | Answer | Refusal:
        """Claim a key, or return what an earlier call with it came to."""


@dataclass(frozen=True, slots=True)
class CallParts:
    """What a call needs of the router."""

    revision: Callable[[], Revision | None]
    slots: SlotSource
    claims: Claims
    metrics: Metrics
    timeline: Timeline
    quarantine: Quarantine | None = None
    part_quarantine: PartQuarantine | None = None
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    budget: RetryBudget = field(default_factory=RetryBudget)
