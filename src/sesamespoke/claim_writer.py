"""The role that claims and settles idempotency keys in batches.

Any host may write at any time: only the store's compare-and-swap decides
who wins. Placing one writer for a part of the names saves calls.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

from sesamespoke.claim_batches import BatchSender
from sesamespoke.claim_known import UNAVAILABLE, Judgement, KnownClaims
from sesamespoke.claim_operations import (
    ClaimOperation,
    Operation,
    SettleOperation,
    read_standing,
)
from sesamespoke.claim_period import ClaimPeriod
from sesamespoke.claim_queue import ClaimQueue
from sesamespoke.claim_record import Mark, Standing
from sesamespoke.metrics import Metrics
from sesamespoke.settings import ClaimSettings
from sesamespoke.store import Entry, Store
from sesamespoke.timeline import Timeline

MAX_IN_FLIGHT = 4
SETTLE_PAUSE_SECONDS = 2.0
CLEANUP_SECONDS = 600.0


class ClaimWriter:
    """Queues operations and sends them to the store in batches."""

    def __init__(
        self,
        cfg: ClaimSettings,
        store: Store,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start idle; ``run`` does the work."""
        self._store = store
        self._metrics = metrics
        self._period = ClaimPeriod(store, cfg.period, metrics, timeline)
        self._sender = BatchSender(
            store,
            self._period,
            cfg.batch_interval,
            metrics,
            timeline,
            self._conclude,
            self._give_up,
        )
        self._known = KnownClaims(cfg.known_claims, cfg.period)
        self._queue = ClaimQueue()
        self._refreshing: dict[str, list[ClaimOperation]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wakeup = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is queued or under way."""
        return self._queue.is_empty and not self._tasks

    def claim(self, claim: ClaimOperation) -> None:
        """Answer from what is known, or queue a claim."""
        now = _now()
        known = self._known.find(claim.name, now)
        if known is None or claim.may_replace(known):
            self._submit(claim)
        elif known.is_stale(now):
            self._await_refresh(claim, known.standing)
        else:
            claim.reply(claim.conclude(known, now))

    def settle(self, settlement: SettleOperation) -> None:
        """Queue a settlement; later arrivals are told of it at once."""
        now = _now()
        known = self._known.find(settlement.name, now)
        is_newer = known and known.record.token != settlement.record.token
        if settlement.grip and not is_newer:
            standing = Standing(settlement.record, settlement.grip)
            self._known.note(settlement.name, standing, now)
        self._submit(settlement)

    async def run(self) -> None:
        """Send batches for ever, less often while the store refuses them."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while len(self._tasks) < MAX_IN_FLIGHT:
                batch = self._queue.take_batch()
                if not batch:
                    break
                self._spawn(self._send(batch))
                await asyncio.sleep(self._sender.interval)

    def stop(self) -> None:
        """Cancel what is under way."""
        self._period.stop()
        for task in tuple(self._tasks):
            task.cancel()

    def _submit(self, operation: Operation) -> None:
        if self._queue.put(operation):
            self._wakeup.set()
            return
        self._metrics.count('claims_dropped')
        operation.reply(UNAVAILABLE)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._wakeup.set()

    async def _send(self, batch: list[Operation]) -> None:
        for operation in batch:
            known = self._known.find(operation.name, _now())
            if known:
                operation.prepare(known)
        await self._sender.send(batch)
        self._queue.end(batch)

    def _give_up(self, operation: Operation) -> None:
        """Refuse a claim; try a settlement again until its time is over."""
        now = _now()
        if isinstance(operation, SettleOperation):
            if now < operation.give_up_at:
                operation.attempts = 0
                loop = asyncio.get_running_loop()
                loop.call_later(SETTLE_PAUSE_SECONDS, self._submit, operation)
                return
            self._metrics.count('claims_unsettled')
        operation.reply(UNAVAILABLE)
        if isinstance(operation, ClaimOperation) and operation.in_doubt:
            self._clean_up(operation)

    def _clean_up(self, claim: ClaimOperation) -> None:
        """Free the name of a refused claim that may have been written."""
        released = replace(claim.record, mark=Mark.RELEASED)
        self._submit(
            SettleOperation(
                claim.name, released, _ignore, _now() + CLEANUP_SECONDS
            )
        )

    def _conclude(self, operation: Operation, standing: Standing) -> None:
        now = _now()
        known = self._known.note(operation.name, standing, now)
        operation.reply(operation.conclude(known, now))

    def _await_refresh(
        self,
        claim: ClaimOperation,
        standing: Standing,
    ) -> None:
        """Let one reading serve all who come while it is under way."""
        waiting = self._refreshing.setdefault(claim.name, [])
        waiting.append(claim)
        if len(waiting) == 1:
            self._spawn(self._refresh(claim.name, standing))

    async def _refresh(self, name: str, standing: Standing) -> None:
        """Read an open claim again, as others may have settled it."""
        self._metrics.count('claims_store_calls', kind='get')
        found = await self._store.get(standing.grip.key)
        now = _now()
        if isinstance(found, Entry):
            standing = read_standing(found)
        else:
            current = self._known.find(name, now)
            standing = current.standing if current else standing
        known = self._known.note(name, standing, now)
        for claim in self._refreshing.pop(name):
            if claim.may_replace(known):
                self._submit(claim)
            else:
                claim.reply(claim.conclude(known, now))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _ignore(_: Judgement) -> None:
    """Take the reply to a clean-up, which nobody waits for."""
