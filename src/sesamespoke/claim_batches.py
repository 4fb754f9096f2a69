"""Transactions that carry many claims and settlements."""

import asyncio
from collections.abc import Callable, Sequence

from sesamespoke.claim_operations import Changes, Operation
from sesamespoke.claim_period import ClaimPeriod
from sesamespoke.claim_record import Standing
from sesamespoke.metrics import Metrics
from sesamespoke.store import Committed, Conflict, Store, StoreUnavailable
from sesamespoke.timeline import Timeline

MAX_ATTEMPTS = 5
MAX_ROUNDS = 12
PAUSE_SECONDS = 0.05
MAX_INTERVAL = 0.4
SLOWER = 2.0
FASTER = 0.95

Conclude = Callable[[Operation, Standing], None]
GiveUp = Callable[[Operation], None]


class BatchSender:
    """Sends a batch until every operation is concluded or given up."""

    def __init__(
        self,
        store: Store,
        period: ClaimPeriod,
        interval: float,
        metrics: Metrics,
        timeline: Timeline,
        conclude: Conclude,
        give_up: GiveUp,
    ) -> None:
        """Call ``conclude`` or ``give_up`` once for each operation.

        ``interval`` is the least time between batches, in seconds.
        """
        self.interval = interval
        self._least_interval = interval
        self._store = store
        self._period = period
        self._metrics = metrics
        self._timeline = timeline
        self._conclude = conclude
        self._give_up = give_up
        self._is_out = False

    async def send(self, batch: Sequence[Operation]) -> None:
        """Send a batch, again without those in whose way something stood."""
        pending = batch
        for _ in range(MAX_ROUNDS):
            if not pending:
                return
            pending = await self._send_round(pending)
        for late in pending:
            self._give_up(late)

    async def _send_round(
        self,
        pending: Sequence[Operation],
    ) -> Sequence[Operation]:
        """Send one transaction; return the operations to send again."""
        unavailable = await self._period.prepare()
        if unavailable:
            return await self._postpone(pending, unavailable)
        period = self._period.number
        changes = [operation.changes(period) for operation in pending]
        self._metrics.count('claims_store_calls', kind='batch')
        done = await self._store.transact(
            [
                self._period.expected,
                *(expect for change in changes for expect in change.expected),
            ],
            [put for change in changes for put in change.puts],
        )
        if isinstance(done, StoreUnavailable):
            return await self._postpone(pending, done)
        self._note_outage(is_out=False)
        shorter = self.interval * FASTER
        self.interval = max(self._least_interval, shorter)
        if isinstance(done, Committed):
            for operation in pending:
                standing = operation.commit(period, done.revision)
                self._conclude(operation, standing)
            return ()
        return self._resolve(pending, changes, done)

    def _resolve(
        self,
        pending: Sequence[Operation],
        changes: Sequence[Changes],
        conflict: Conflict,
    ) -> list[Operation]:
        """Answer the operations in whose way something stands."""
        self._period.meet(conflict.found[0])
        again = []
        start = 1
        for operation, change in zip(pending, changes, strict=True):
            end = start + len(change.expected)
            standing = operation.meet(conflict.found[start:end])
            start = end
            if standing is None:
                again.append(operation)
            else:
                self._conclude(operation, standing)
        return again

    async def _postpone(
        self,
        pending: Sequence[Operation],
        unavailable: StoreUnavailable,
    ) -> list[Operation]:
        """Wait a little and return the operations worth another attempt."""
        self._note_outage(is_out=True)
        self.interval = min(MAX_INTERVAL, self.interval * SLOWER)
        now = asyncio.get_running_loop().time()
        again = []
        for operation in pending:
            operation.attempts += 1
            if unavailable.may_have_applied:
                operation.in_doubt = True
            is_late = now >= operation.give_up_at
            if is_late or operation.attempts >= MAX_ATTEMPTS:
                self._give_up(operation)
            else:
                again.append(operation)
        if again:
            await asyncio.sleep(PAUSE_SECONDS + self.interval)
        return again

    def _note_outage(self, is_out: bool) -> None:
        if is_out == self._is_out:
            return
        self._is_out = is_out
        kind = 'claim_store_out' if is_out else 'claim_store_back'
        self._timeline.record(kind)
