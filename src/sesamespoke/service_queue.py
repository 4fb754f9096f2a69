"""One service's waiting and running requests at one router."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sesamespoke.messages import (
    Demand,
    EndedRow,
    Finished,
    InFlight,
    Row,
    SlotRow,
)
from sesamespoke.router_totals import RouterTotals
from sesamespoke.slots import SlotKey, SlotResult
from sesamespoke.verdicts import Refusal
from sesamespoke.work import Slot, Work

MS_PER_SECOND = 1000
Ended = tuple[str, int]


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits; ``fut`` gets its slot or refusal."""

    work: Work
    fut: asyncio.Future[Slot | Refusal]
    estimate: float
    since: float


@dataclass(slots=True)
class Running:
    """A slot in use, and the part of its cost that is metered.

    Metered cost is reported again once it reaches ``next_report``.
    """

    slot: Slot
    work: Work
    metered: float = 0
    next_report: float = 0

    @property
    def covered(self) -> float:
        """Return the part of the metered cost that was estimated."""
        return min(self.metered, self.slot.estimate)


class ServiceQueue:
    """Queues by account, slots in use, and what the dispatcher must learn.

    ``epoch`` and ``dispatcher`` are those of the dispatcher that asked
    last; grants of others are not taken.
    """

    def __init__(self, slice_name: str, clock: Callable[[], float]) -> None:
        """Start empty; ``slice_name`` is the service's slice here."""
        self.slice_name = slice_name
        self.epoch = 0
        self.dispatcher: str | None = None
        self.grants_seen = 0
        self.contended = True
        self.totals = RouterTotals()
        self.running: dict[SlotKey, Running] = {}
        self._own_slots = 0
        self._clock = clock
        self._waiting: defaultdict[str, deque[Waiter]] = defaultdict(deque)
        self._changed: dict[str, None] = {}
        self._ended: defaultdict[Ended, list[EndedRow]] = defaultdict(list)

    def follow(self, dispatcher: str, epoch: int) -> bool:
        """Take grants of a dispatcher from now on, unless it is outdated."""
        if epoch < self.epoch:
            return False
        if (dispatcher, epoch) != (self.dispatcher, self.epoch):
            self.grants_seen = 0
        self.dispatcher = dispatcher
        self.epoch = epoch
        return True

    def count(self, account: str) -> int:
        """Return how many requests of an account wait."""
        queue = self._waiting.get(account)
        return len(queue) if queue else 0

    def add(self, waiter: Waiter) -> None:
        """Put a request at the end of its account's queue."""
        self._waiting[waiter.work.account].append(waiter)
        self._changed[waiter.work.account] = None

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that waits no more, if it is still there."""
        account = waiter.work.account
        queue = self._waiting.get(account)
        if queue and waiter in queue:
            queue.remove(waiter)
            self._changed[account] = None
            self._drop_empty(account)

    def pop(self, account: str) -> Waiter | None:
        """Take the account's longest waiting request for a grant.

        A request whose caller has just gone is passed over. The dispatcher
        counts down by itself once it learns that the grant was seen.
        """
        queue = self._waiting.get(account)
        if not queue:
            return None
        waiter = None
        while queue and (waiter is None or waiter.fut.done()):
            waiter = queue.popleft()
        self._drop_empty(account)
        return None if waiter is None or waiter.fut.done() else waiter

    def begin(self, key: SlotKey, running: Running) -> None:
        """Note a slot as in use."""
        self.running[key] = running
        self._own_slots += key[0] == self.slice_name

    def finish(self, key: SlotKey) -> Running | None:
        """Take a slot out of use; return it, or None if it was not."""
        running = self.running.pop(key, None)
        if running is not None:
            self._own_slots -= key[0] == self.slice_name
        return running

    def end(self, key: SlotKey, end: SlotResult) -> None:
        """Note a slot to be given back with the next report."""
        slice_name, epoch, number = key
        row = (number, int(end.outcome), end.first_token_ms, end.cost)
        self._ended[(slice_name, epoch)].append(row)

    def take_finished(self) -> Iterator[Finished]:
        """Yield what ended or was metered since the last call."""
        ended = self._ended
        self._ended = defaultdict(list)
        totals = self.totals.take_changed()
        if totals and not ended:
            ended[(self.slice_name, self.epoch)] = []
        for (slice_name, epoch), rows in ended.items():
            yield Finished(
                slice_name,
                epoch,
                self.grants_seen,
                tuple(rows),
                totals,
            )
            totals = ()

    def take_demand(self, full: bool) -> Demand | None:
        """Return the rows that changed, or all; None if there are none."""
        names = tuple(self._waiting if full else self._changed)
        rows = tuple(self._row(account) for account in names)
        self._changed.clear()
        if not rows and not full:
            return None
        return Demand(
            self.slice_name,
            self.epoch,
            self.grants_seen,
            self._own_slots,
            full=full,
            waiting=rows,
        )

    def in_flight(self) -> InFlight:
        """Return what a dispatcher that takes over must know."""
        slots = tuple(self._slot_rows())
        totals = self.totals.all_rows()
        return InFlight(
            self.slice_name,
            self.epoch,
            self.grants_seen,
            slots,
            totals,
        )

    def is_idle(self) -> bool:
        """Return whether nothing waits or runs."""
        return not self._waiting and not self.running

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by account."""
        return {name: len(queue) for name, queue in self._waiting.items()}

    def _slot_rows(self) -> Iterator[SlotRow]:
        for key, running in self.running.items():
            slot = running.slot
            yield (*key, slot.account, slot.endpoint_name, slot.estimate)

    def _row(self, account: str) -> Row:
        queue = self._waiting.get(account)
        if not queue:
            return (account, 0, 0, 0)
        oldest = queue[0]
        age_ms = int((self._clock() - oldest.since) * MS_PER_SECOND)
        return (account, len(queue), age_ms, oldest.estimate)

    def _drop_empty(self, account: str) -> None:
        if not self._waiting[account]:
            del self._waiting[account]
