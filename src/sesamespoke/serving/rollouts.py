"""Connects the parts that roll out software versions."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sesamespoke.metrics import Metrics
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.load import LoadTracker
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.platform_interface import Feeds, RolloutUpdate
from sesamespoke.serving.restarting_tasks import run_with_restarts
from sesamespoke.serving.rollout_decider import RolloutDecider
from sesamespoke.serving.rollout_plan import RolloutBounds
from sesamespoke.serving.serving_dependencies import Log, NoRollouts, Rollouts
from sesamespoke.serving.version_rollouts import VersionRollouts

Loop = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RolloutDependencies:
    """What rollouts need of the router."""

    links: Broadcaster
    directory: Directory
    feeds: Feeds
    loads: LoadTracker
    clock: Callable[[], float]
    metrics: Metrics
    log: Log


@dataclass(frozen=True, slots=True)
class OpenRollouts:
    """The rollouts of a router.

    ``apply`` takes the operators' orders; ``loops`` report and decide.
    """

    allowed: Rollouts
    apply: Callable[[RolloutUpdate], None]
    loops: tuple[Loop, ...] = ()

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the tasks that report and decide, and return them."""
        return [
            asyncio.create_task(run_with_restarts(loop)) for loop in self.loops
        ]


def open_rollouts(
    bounds: RolloutBounds | None, deps: RolloutDependencies
) -> OpenRollouts:
    """Return the rollouts of a router; without bounds orders are ignored."""
    if bounds is None:
        return OpenRollouts(NoRollouts(), _ignore)
    rollouts = VersionRollouts(
        deps.links, deps.directory, deps.clock, deps.metrics, deps.log
    )
    decider = RolloutDecider(
        deps.links, rollouts, deps.feeds, deps.loads, deps.clock, bounds
    )
    return OpenRollouts(rollouts, rollouts.apply, (rollouts.run, decider.run))


def _ignore(update: RolloutUpdate) -> None:
    """Ignore an order."""
