"""Adaptive limit of the requests in flight at one endpoint.

A limit starts at its cold value and leaves it after enough responses in
time. It then grows by slow start and additive increase, and shrinks by a
factor when responses are late. Source of the growth rule: Jacobson,
"Congestion avoidance and control", SIGCOMM 1988.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from types import MappingProxyType

from sesamespoke.work import Usage
from sesamespoke.world import Limit

SHRINK_FACTOR = 0.8
COLD_RESET_FACTOR = 4
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 4
MS_PER_SECOND = 1000
MIN_GROWTH_UTILISATION = 0.75


class Outcome(IntEnum):
    """How the use of a slot ended, as reported to dispatchers."""

    UNUSED = 0
    DONE = 1
    LATE = 2
    REFUSED = 3
    BROKEN = 4
    CANCELLED = 5


@dataclass(frozen=True, slots=True)
class SlotUse:
    """How a slot was used: outcome, first-token delay in ms, usage.

    ``first_token_ms`` is -1 if neither a token nor a byte arrived.
    """

    outcome: Outcome
    first_token_ms: int
    usage: Usage


class EndpointLimit:
    """The limit of the slots in use at one endpoint.

    ``cold`` tells whether the cold limit applies. ``bound`` is the current
    limit, in the unit of the service's limit. No slots are granted until
    ``paused_until``, on the event loop's clock.
    """

    def __init__(self, cfg: Limit, clock: Callable[[], float]) -> None:
        """Start at the cold limit."""
        self.cfg = cfg
        self.cold = True
        self.bound: float = cfg.cold
        self._clock = clock
        self._responses_in_time = 0
        self._threshold: float = cfg.warm
        self._shrunk_at = clock() - cfg.first_token_seconds
        self._pause_seconds: float = 0
        self.paused_until = clock()

    def room(self, in_use: float, cold_share: float = 1) -> float:
        """Return the free capacity, never negative.

        ``cold_share`` scales a cold limit where this side of a network
        partition sees just a part of the data centre's entry hosts.
        """
        if self._clock() < self.paused_until:
            return 0
        bound = self.bound
        if self.cold:
            bound = int(bound * cold_share)
        return max(0, int(bound) - in_use)

    def note(self, outcome: Outcome, first_token_ms: int, held: int) -> None:
        """Adjust the limit by how the use of one slot ended.

        ``held`` is the endpoint's number of held slots just before that.
        """
        if outcome is Outcome.DONE and self._is_late(first_token_ms):
            outcome = Outcome.LATE
        _HANDLERS[outcome](self, first_token_ms, held)

    def presume_warm(self, held: int) -> None:
        """Take work in flight above the cold limit as proof of capacity."""
        if held > self.cfg.cold:
            self.cold = False
            self.bound = min(held, self.cfg.warm)

    def reset_to_cold(self) -> None:
        """Return to the cold limit at once."""
        self.cold = True
        self.bound = self.cfg.cold
        self._responses_in_time = 0
        self._threshold = self.cfg.warm

    def reconfigure(self, cfg: Limit) -> None:
        """Apply changed settings, keeping the current limit within them."""
        self.cfg = cfg
        if self.cold:
            self.bound = cfg.cold
        self.bound = min(max(self.bound, cfg.cold), cfg.warm)
        self._threshold = min(self._threshold, cfg.warm)

    def _is_late(self, first_token_ms: int) -> bool:
        target_ms = self.cfg.first_token_seconds * MS_PER_SECOND
        return first_token_ms > target_ms

    def _grow(self, first_token_ms: int, held: int) -> None:
        self._pause_seconds = 0
        if self.cold:
            self._responses_in_time += 1
            self.cold = self._responses_in_time < self.cfg.warm_after
            return
        if held < int(self.bound) * MIN_GROWTH_UTILISATION:
            return
        step = 1 if self.bound < self._threshold else 1 / self.bound
        self.bound = min(self.bound + step, self.cfg.warm)

    def _shrink(self, first_token_ms: int, held: int) -> None:
        now = self._clock()
        target = self.cfg.first_token_seconds
        self._responses_in_time = 0
        if first_token_ms > COLD_RESET_FACTOR * target * MS_PER_SECOND:
            self.reset_to_cold()
            self._shrunk_at = now
        if now - self._shrunk_at < target:
            return
        self._shrunk_at = now
        reduced = min(self.bound, held) * SHRINK_FACTOR
        self.bound = max(reduced, self.cfg.cold)
        self._threshold = self.bound

    def _back_off(self, first_token_ms: int, held: int) -> None:
        self._shrink(-1, held)
        self._pause()

    def _restart(self, first_token_ms: int, held: int) -> None:
        self.reset_to_cold()
        self._pause()

    def _pause(self) -> None:
        now = self._clock()
        if now < self.paused_until:
            return
        doubled = max(MIN_PAUSE_SECONDS, 2 * self._pause_seconds)
        self._pause_seconds = min(doubled, MAX_PAUSE_SECONDS)
        self.paused_until = now + self._pause_seconds

    def _ignore(self, first_token_ms: int, held: int) -> None:
        """Leave the limit as it is: the request didn't run to its end."""


_HANDLERS = MappingProxyType(
    {
        Outcome.UNUSED: EndpointLimit._ignore,
        Outcome.DONE: EndpointLimit._grow,
        Outcome.LATE: EndpointLimit._shrink,
        Outcome.REFUSED: EndpointLimit._back_off,
        Outcome.BROKEN: EndpointLimit._restart,
        Outcome.CANCELLED: EndpointLimit._ignore,
    },
)
