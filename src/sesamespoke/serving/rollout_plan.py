"""How much traffic a service's new software version gets during a rollout.

The load this answers: a version that may be bad from its start, later, under
load or on one route only, beside a deadline for the good ones. A small share
of each route goes to few endpoints of the version, which bear what an endpoint
usually does. When its answers show that it is good, the share grows step by
step, so that what only a higher load shows is seen before all traffic is
there. The rest of the time is left for what is in progress at the old
endpoints, which stop at once when the rollout completes.
"""

from dataclasses import dataclass
from enum import IntEnum

from sesamespoke.serving.rollout_evidence import Opinion

CANARY_END = 0.6
"""Part of the rollout's time for which the share stays small. What is sent to
the version until then stays far below the bound of its exposure."""
GROWTH_TIME = 0.15
"""Part of the rollout's time in which the share grows to all traffic."""
LAST_CALL = 0.94
"""Part of the rollout's time at which it is decided; the rest is for the store
to acknowledge the verdict."""
CANARY_SHARE = 0.05
EXPOSURE_USED = 0.6
"""Part of the bound of the exposure that a canary may use: bursts, and what
grows after it, need the rest."""
MAX_RARITY = 4.0
"""Limit of a rare route's share, as a multiple of the usual one."""
RATE_SECONDS = 1.5
"""Age of a rollout from which the rate of requests is known."""
CANARY_ANSWERS = 120.0
"""Answers of the new version that are wanted while the share is small."""


class Stage(IntEnum):
    """The state of a rollout."""

    CANARY = 0
    GROWING = 1
    HALTED = 2
    COMPLETED = 3
    ROLLED_BACK = 4

    @property
    def is_final(self) -> bool:
        """Return whether the stage never changes again."""
        return self in {Stage.COMPLETED, Stage.ROLLED_BACK}

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the new version must get nothing."""
        return self in {Stage.HALTED, Stage.ROLLED_BACK}


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds of a bad version's exposure.

    It gets at most ``share`` of a service's requests in the time of a rollout,
    and ``slack`` requests more.
    """

    share: float = 0.1
    slack: float = 50


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What a rollout's plan depends on; times are in seconds.

    ``request_rate`` is that of the service over all routers.
    ``has_old_work`` tells whether old endpoints have requests in progress.
    """

    age: float
    duration: float
    stage: Stage
    growing_since: float
    request_rate: float
    opinion: Opinion
    has_old_work: bool = True


@dataclass(frozen=True, slots=True)
class Step:
    """The stage that a rollout should have now, and the new version's share."""

    stage: Stage
    share: float = 0


def plan(view: RolloutView, bounds: RolloutBounds) -> Step:
    """Return the next step of a rollout that has no verdict yet."""
    if view.opinion is Opinion.BAD or view.stage is Stage.HALTED:
        return Step(Stage.ROLLED_BACK)
    is_last_call = view.age >= view.duration * LAST_CALL
    if view.stage is Stage.GROWING:
        return _plan_growth(view, is_last_call=is_last_call)
    if is_last_call:
        return Step(Stage.ROLLED_BACK)
    may_grow = view.age >= view.duration * CANARY_END
    if may_grow and view.opinion is Opinion.GOOD:
        return Step(Stage.GROWING, canary_share(view, bounds))
    return Step(Stage.CANARY, canary_share(view, bounds))


def canary_share(view: RolloutView, bounds: RolloutBounds) -> float:
    """Return the share that brings enough answers and stays in the bounds."""
    if view.age < RATE_SECONDS:
        return min(CANARY_SHARE, bounds.share * EXPOSURE_USED)
    canary_seconds = view.duration * CANARY_END
    requests = max(1, view.request_rate * canary_seconds)
    allowed = bounds.share * view.request_rate * view.duration + bounds.slack
    wanted = max(CANARY_SHARE, CANARY_ANSWERS / requests)
    return min(wanted, allowed * EXPOSURE_USED / requests, 1)


def route_share(stage: Stage, share: float, rarity: float) -> float:
    """Return the share of one route's requests that go to the new version.

    While the share is small, each route sends about as many of them: a version
    may be bad on a rare one only.
    """
    if stage is not Stage.CANARY:
        return share
    return min(1, share * min(MAX_RARITY, rarity))


def _plan_growth(view: RolloutView, *, is_last_call: bool) -> Step:
    grown = (view.age - view.growing_since) / (view.duration * GROWTH_TIME)
    is_idle = grown >= 2 and not view.has_old_work
    if is_last_call or is_idle:
        return Step(Stage.COMPLETED, 1)
    return Step(Stage.GROWING, min(1, max(CANARY_SHARE, grown)))
