"""The period in which claims are made, agreed through the store.

Claims name the period in their keys and expect its number unchanged. A
period ends no sooner than its length after this process first saw it. Once
the next begins, the one before it can hold no claim that matters any more.
"""

import asyncio

from sesamespoke.claim_record import PERIOD_KEY, period_prefix
from sesamespoke.metrics import Metrics
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Delete,
    Entry,
    Expect,
    Put,
    Store,
    StoreUnavailable,
)
from sesamespoke.timeline import Timeline

SLICES = 16
KEPT_PERIODS = 2
DELETED_PERIODS = 2
RETRY_SECONDS = 1.0


class ClaimPeriod:
    """The period that this process takes to be current."""

    def __init__(
        self,
        store: Store,
        length: float,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start without knowing the period."""
        self.number = 0
        self._revision = 0
        self._store = store
        self._length = length
        self._metrics = metrics
        self._timeline = timeline
        self._first_seen_at = float(0)
        self._sweep: asyncio.Task[None] | None = None

    @property
    def expected(self) -> Expect:
        """Return the condition that the period is unchanged."""
        return Expect(PERIOD_KEY, self._revision)

    def meet(self, found: Entry | Absent) -> None:
        """Take the period that stands in the store into account."""
        if isinstance(found, Entry):
            self._enter(int(found.content), found.revision)
        else:
            self._enter(0, 0)

    async def prepare(self) -> StoreUnavailable | None:
        """Learn, begin or end the period as needed."""
        if not self.number:
            self._metrics.count('claims_store_calls', kind='period')
            found = await self._store.get(PERIOD_KEY)
            if isinstance(found, StoreUnavailable):
                return found
            self.meet(found)
        now = asyncio.get_running_loop().time()
        if self.number and now - self._first_seen_at < self._length:
            return None
        return await self._advance()

    def stop(self) -> None:
        """End the deletion of old periods."""
        if self._sweep:
            self._sweep.cancel()

    def _enter(self, number: int, revision: int) -> None:
        if (number, revision) == (self.number, self._revision):
            return
        self.number = number
        self._revision = revision
        self._first_seen_at = asyncio.get_running_loop().time()

    async def _advance(self) -> StoreUnavailable | None:
        number = self.number + 1
        self._metrics.count('claims_store_calls', kind='period')
        done = await self._store.transact(
            [self.expected], [Put(PERIOD_KEY, str(number).encode())]
        )
        if isinstance(done, Committed):
            self._enter(number, done.revision)
            self._timeline.record('claim_period_began', period=number)
            self.stop()
            self._sweep = asyncio.ensure_future(self._delete_old(number))
            return None
        if isinstance(done, Conflict):
            self.meet(done.found[0])
            return None
        return done

    async def _delete_old(self, number: int) -> None:
        newest = number - KEPT_PERIODS
        for period in range(newest, newest - DELETED_PERIODS, -1):
            if period > 0:
                await self._delete_period(period)

    async def _delete_period(self, period: int) -> None:
        prefix = period_prefix(period)
        for digit in range(SLICES):
            await self._delete_slice(f'{prefix}{digit:x}')

    async def _delete_slice(self, prefix: str) -> None:
        """Delete a part of a period, which bounds the work of one call."""
        deletion = Delete(prefix, is_prefix=True)
        deleted: object = None
        while not isinstance(deleted, Committed):
            await asyncio.sleep(RETRY_SECONDS)
            self._metrics.count('claims_store_calls', kind='delete')
            deleted = await self._store.transact([], [deletion])
