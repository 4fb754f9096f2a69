"""Decides on the stage of each rollout, and writes its verdict to the store.

One router decides, the first in rendezvous order over the hosts that it sees.
It has the answers of all routers, which tell the next one in order too, so
that this one goes on at once. Two deciders at a time, each on its side of a
partition, do no harm: the verdict is a conditional write of the status, so
that the first one stands. A rollout's age and stage are in the store as well,
for a fleet whose routers all restart.
"""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from sesamespoke.checked_fields import MALFORMED
from sesamespoke.routing_messages import RolloutAnswers
from sesamespoke.serving.load import LoadTracker
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.platform_interface import Feeds, RolloutStatus
from sesamespoke.serving.rollout_evidence import (
    AnswerRow,
    Evidence,
    Opinion,
    judge,
)
from sesamespoke.serving.rollout_plan import (
    RolloutBounds,
    RolloutView,
    Stage,
    Step,
    plan,
)
from sesamespoke.serving.version_rollouts import (
    MS_PER_SECOND,
    Rollout,
    VersionRollouts,
)
from sesamespoke.store import Absent, Committed, Put, StoreUnavailable
from sesamespoke.ticks import next_tick

RECORD_PREFIX = 'sesamespoke/rollouts/'
STEP_SECONDS = 0.25
RECORD_SECONDS = 1.0
"""Interval at which a rollout's age is written to the store."""
WINDOW_SECONDS = 3.0
"""A version may turn bad after many good answers, so that those of this time
are judged by themselves too."""


@dataclass(slots=True)
class _DeciderState:
    """What a decider knows of one rollout.

    ``status`` is the one in the store, None until it was read; ``reports``
    holds the answers that each router has told.
    """

    status: RolloutStatus | None = None
    recorded_at: float = 0
    reports: dict[str, tuple[AnswerRow, ...]] = field(default_factory=dict)
    history: deque[tuple[float, Evidence]] = field(default_factory=deque)


class RolloutDecider:
    """Decides on rollouts while this router is the first in order."""

    def __init__(
        self,
        links: Broadcaster,
        rollouts: VersionRollouts,
        feeds: Feeds,
        loads: LoadTracker,
        clock: Callable[[], float],
        bounds: RolloutBounds,
    ) -> None:
        """Subscribe to the answers of all routers; ``run`` decides."""
        self._links = links
        self._rollouts = rollouts
        self._feeds = feeds
        self._loads = loads
        self._clock = clock
        self._bounds = bounds
        self._states: dict[tuple[str, int], _DeciderState] = {}
        links.subscribe(RolloutAnswers, self._hear_answers)
        feeds.store.era.listeners.append(self._read_again)

    async def run(self) -> None:
        """Decide on each rollout several times a second, until cancelled.

        A host that stood still has answers that are outdated.
        """
        while True:
            await next_tick(STEP_SECONDS)
            if self._links.view.stale:
                continue
            for service, rollout in tuple(self._rollouts.by_service.items()):
                deciders = self._rollouts.deciders(service)
                if deciders[:1] == [self._links.host]:
                    await self._step(rollout)

    def _state_of(self, service: str, order: int) -> _DeciderState:
        return self._states.setdefault((service, order), _DeciderState())

    def _hear_answers(self, sender: str, message: RolloutAnswers) -> None:
        rollout = self._rollouts.by_service.get(message.service)
        if rollout is not None and rollout.order.revision == message.order:
            state = self._state_of(message.service, message.order)
            state.reports[sender] = message.rows

    def _read_again(self) -> None:
        """Read every status again: a copy of the store may lack it."""
        for state in self._states.values():
            state.status = None

    async def _step(self, rollout: Rollout) -> None:
        state = self._state_of(rollout.order.service, rollout.order.revision)
        if state.status is None and not await self._load(rollout, state):
            return
        if not rollout.stage.is_final:
            await self._advance(rollout, state)
        self._links.broadcast(self._rollouts.message(rollout))

    async def _advance(self, rollout: Rollout, state: _DeciderState) -> None:
        step = plan(self._view(rollout, state), self._bounds)
        if step.stage.is_final:
            await self._conclude(rollout, state, step)
        else:
            self._rollouts.adopt(rollout, step.stage, step.share)
            await self._record(rollout, state)

    async def _conclude(
        self, rollout: Rollout, state: _DeciderState, step: Step
    ) -> None:
        """Write a verdict; it is in force once the store has it.

        A version that is rolled back gets nothing from now on.
        """
        if step.stage is Stage.ROLLED_BACK and not rollout.stage.is_withdrawn:
            self._rollouts.adopt(rollout, Stage.HALTED, 0)
            self._links.broadcast(self._rollouts.message(rollout))
        if await self._write(rollout, state, step.stage):
            self._rollouts.adopt(rollout, step.stage, step.share)

    async def _record(self, rollout: Rollout, state: _DeciderState) -> None:
        """Keep the rollout's age and stage in the store, and its status."""
        now = self._clock()
        if state.status is None or now - state.recorded_at < RECORD_SECONDS:
            return
        state.recorded_at = now
        if state.status.revision < rollout.order.revision:
            await self._write(rollout, state, rollout.stage)
        else:
            await self._feeds.store.transact((), (self._encode(rollout),))

    async def _write(
        self, rollout: Rollout, state: _DeciderState, stage: Stage
    ) -> bool:
        """Write the status; return whether it stands in the store now."""
        service, before = rollout.order.service, state.status
        status = RolloutStatus(
            rollout.order.version, stage, before.revision if before else 0
        )
        state.status = None
        written = await self._feeds.write_rollout_status(
            service, status, self._encode(rollout)
        )
        if not isinstance(written, Committed):
            return False
        state.status = replace(status, revision=written.revision)
        return True

    async def _load(self, rollout: Rollout, state: _DeciderState) -> bool:
        """Read what the store holds of a rollout; return whether it answered.

        A status that is missing from a copy of the store is written again.
        """
        service = rollout.order.service
        status = await self._feeds.read_rollout_status(service)
        record = await self._feeds.store.get(RECORD_PREFIX + service)
        if isinstance(status, StoreUnavailable):
            return False
        if isinstance(record, StoreUnavailable):
            return False
        if not isinstance(record, Absent):
            self._adopt_record(rollout, record.content)
        if isinstance(status, Absent):
            status = RolloutStatus()
        is_of_this = status.revision > rollout.order.revision
        if is_of_this and status.stage.is_final:
            share = float(status.stage is Stage.COMPLETED)
            self._rollouts.adopt(rollout, status.stage, share)
        state.status = status
        if rollout.stage.is_final and not is_of_this:
            await self._write(rollout, state, rollout.stage)
        return state.status is not None

    def _adopt_record(self, rollout: Rollout, content: bytes) -> None:
        try:
            fields = json.loads(content)
            order, age = int(fields['order']), float(fields['age_ms'])
            stage = Stage(fields['stage'])
        except MALFORMED:
            return
        if order != rollout.order.revision:
            return
        ordered_at = self._clock() - age / MS_PER_SECOND
        rollout.ordered_at = min(rollout.ordered_at, ordered_at)
        if not stage.is_final:
            self._rollouts.adopt(rollout, stage, rollout.share)

    def _encode(self, rollout: Rollout) -> Put:
        message = self._rollouts.message(rollout)
        content = {
            'order': message.order,
            'age_ms': message.age_ms,
            'stage': message.stage,
        }
        key = RECORD_PREFIX + rollout.order.service
        return Put(key, json.dumps(content).encode())

    def _view(self, rollout: Rollout, state: _DeciderState) -> RolloutView:
        now = self._clock()
        answers = Evidence()
        for rows in state.reports.values():
            answers.add(rows)
        age = now - rollout.ordered_at
        old = self._rollouts.old_endpoints(rollout)
        return RolloutView(
            age,
            rollout.order.duration,
            rollout.stage,
            rollout.growing_since - rollout.ordered_at,
            answers.answers / max(1, age),
            self._judge(state, answers),
            any(self._loads.total(name).running for name in old),
        )

    def _judge(self, state: _DeciderState, answers: Evidence) -> Opinion:
        """Return the opinion on all answers, unless the last ones are bad."""
        now = self._clock()
        state.history.append((now, answers))
        while state.history[0][0] < now - WINDOW_SECONDS:
            state.history.popleft()
        recent = answers.since(state.history[0][1])
        if judge(recent) is Opinion.BAD:
            return Opinion.BAD
        return judge(answers)
