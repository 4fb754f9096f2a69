"""The waiting and running requests of one service at one router."""

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
SliceEpoch = tuple[str, int]


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request; ``fut`` resolves to its slot or a refusal."""

    work: Work
    fut: asyncio.Future[Slot | Refusal]
    estimate: float
    queued_at: float


@dataclass(slots=True)
class InFlightRequest:
    """A request that uses a slot, with its cost metered so far.

    The metered cost is next reported when it reaches ``report_threshold``.
    """

    slot: Slot
    work: Work
    metered: float = 0
    report_threshold: float = 0

    @property
    def covered(self) -> float:
        """Return the part of the metered cost that the estimate covers."""
        return min(self.metered, self.slot.estimate)


class ServiceQueue:
    """Queues by account, slots in use, and changes yet to be reported.

    Reports go to the dispatcher. ``epoch`` and ``dispatcher`` are those of
    the dispatcher whose query was accepted last; grants from other
    dispatchers aren't used.
    """

    def __init__(self, slice_name: str, clock: Callable[[], float]) -> None:
        """Start empty; ``slice_name`` is the service's slice at this router."""
        self.slice_name = slice_name
        self.epoch = 0
        self.dispatcher: str | None = None
        self.grants_seen = 0
        self.contended = True
        self.totals = RouterTotals()
        self.running: dict[SlotKey, InFlightRequest] = {}
        self._slice_slot_count = 0
        self._clock = clock
        self._waiting: defaultdict[str, deque[QueuedRequest]] = defaultdict(
            deque
        )
        self._changed: dict[str, None] = {}
        self._ended: defaultdict[SliceEpoch, list[EndedRow]] = defaultdict(list)

    def follow(self, dispatcher: str, epoch: int) -> bool:
        """Accept grants from a dispatcher, unless its epoch is outdated."""
        if epoch < self.epoch:
            return False
        if (dispatcher, epoch) != (self.dispatcher, self.epoch):
            self.grants_seen = 0
        self.dispatcher = dispatcher
        self.epoch = epoch
        return True

    def count(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        queue = self._waiting.get(account)
        return len(queue) if queue else 0

    def add(self, request: QueuedRequest) -> None:
        """Append a request to its account's queue."""
        self._waiting[request.work.account].append(request)
        self._changed[request.work.account] = None

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits, if it is still queued."""
        account = request.work.account
        queue = self._waiting.get(account)
        if queue and request in queue:
            queue.remove(request)
            self._changed[account] = None
            self._drop_if_empty(account)

    def pop(self, account: str) -> QueuedRequest | None:
        """Remove and return the account's oldest request, to use a grant.

        Requests whose callers have just disconnected are skipped. The change
        needs no report: the dispatcher reduces its count of waiting requests
        by itself once it learns that the grant was received.
        """
        queue = self._waiting.get(account)
        if not queue:
            return None
        request = None
        while queue and (request is None or request.fut.done()):
            request = queue.popleft()
        self._drop_if_empty(account)
        return None if request is None or request.fut.done() else request

    def add_running(self, key: SlotKey, running: InFlightRequest) -> None:
        """Record a slot as in use."""
        self.running[key] = running
        self._slice_slot_count += key[0] == self.slice_name

    def remove_running(self, key: SlotKey) -> InFlightRequest | None:
        """Take a slot out of use; return its request, None if not in use."""
        running = self.running.pop(key, None)
        if running is not None:
            self._slice_slot_count -= key[0] == self.slice_name
        return running

    def add_ended(self, key: SlotKey, end: SlotResult) -> None:
        """Record a slot to be returned with the next report."""
        slice_name, epoch, number = key
        row = (number, int(end.outcome), end.first_token_ms, end.cost)
        self._ended[(slice_name, epoch)].append(row)

    def drain_finished(self) -> Iterator[Finished]:
        """Yield messages with what ended or was metered since the last call."""
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

    def drain_demand(self, full: bool) -> Demand | None:
        """Return the rows that changed, or all if ``full``.

        Returns None if no row changed and ``full`` is false.
        """
        names = tuple(self._waiting if full else self._changed)
        rows = tuple(self._demand_row(account) for account in names)
        self._changed.clear()
        if not rows and not full:
            return None
        return Demand(
            self.slice_name,
            self.epoch,
            self.grants_seen,
            self._slice_slot_count,
            full=full,
            waiting=rows,
        )

    def in_flight(self) -> InFlight:
        """Return the state that a dispatcher needs when it takes over."""
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
        """Return whether no request waits or runs."""
        return not self._waiting and not self.running

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by account."""
        return {name: len(queue) for name, queue in self._waiting.items()}

    def _slot_rows(self) -> Iterator[SlotRow]:
        for key, running in self.running.items():
            slot = running.slot
            yield (*key, slot.account, slot.endpoint_name, slot.estimate)

    def _demand_row(self, account: str) -> Row:
        queue = self._waiting.get(account)
        if not queue:
            return (account, 0, 0, 0)
        oldest = queue[0]
        age_ms = int((self._clock() - oldest.queued_at) * MS_PER_SECOND)
        return (account, len(queue), age_ms, oldest.estimate)

    def _drop_if_empty(self, account: str) -> None:
        if not self._waiting[account]:
            del self._waiting[account]
