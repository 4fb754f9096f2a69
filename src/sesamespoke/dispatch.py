"""The dispatcher of one slice: grants endpoint slots to client accounts.

A slice is the endpoints of one service in one data centre. Its dispatcher
alone counts the slots in use on these endpoints, so that their limits are
exact across all routers. Requests wait at their routers, which report them
as ``Demand``; the dispatcher of a data centre reports the demand of its
routers to the dispatchers of the same service in other data centres.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.demand import DemandTable
from sesamespoke.endpoints import EndpointSet
from sesamespoke.hold_times import HoldTimes
from sesamespoke.ledger import PoolLedger
from sesamespoke.limits import Outcome
from sesamespoke.links import Links
from sesamespoke.messages import Demand, Finished, Grants, InFlight, SlotRow
from sesamespoke.metrics import Metrics
from sesamespoke.slots import (
    UNUSED_RESULT,
    HeldSlot,
    SlotKey,
    SlotResult,
    SlotTable,
)
from sesamespoke.timeline import Timeline

MS_PER_SECOND = 1000
MAX_BATCH_SLOTS = 256


@dataclass(frozen=True, slots=True)
class DispatcherDependencies:
    """What a dispatcher needs of its host.

    ``clock`` returns the event loop's time and ``call_at`` runs a function
    at such a time. A grant that isn't started within ``grant_lifetime``
    seconds is returned. ``cold_share`` is the part of cold limits that this
    side of a network partition may use.
    """

    links: Links
    ledger: PoolLedger
    metrics: Metrics
    timeline: Timeline
    clock: Callable[[], float]
    call_at: Callable[[float, Callable[[], None]], object]
    grant_lifetime: float
    cold_share: Callable[[], float]


class Dispatcher:
    """Slots, demand and limits of one slice.

    ``local`` is the demand of this data centre, ``remote`` that of others.
    ``locality_slack`` is added to the ledger positions of remote accounts,
    so that local accounts are served first by that margin.
    """

    def __init__(
        self, name: str, epoch: int, dependencies: DispatcherDependencies
    ) -> None:
        """Start without endpoints; ``name`` is the name of the slice."""
        self.name = name
        self.epoch = epoch
        self.slots = SlotTable()
        self.endpoints = EndpointSet(
            self.slots, dependencies.clock, dependencies.timeline
        )
        self.local = DemandTable(dependencies.clock)
        self.remote = DemandTable(dependencies.clock)
        self.locality_slack: float = 0
        self.granting = False
        self._dependencies = dependencies
        self._last_number = 0
        self._hold_times = HoldTimes()
        self._sequences: defaultdict[str, int] = defaultdict(int)
        self._scheduled_at: float = 0

    def start_granting(self) -> None:
        """Start to grant slots, on top of the work found in flight."""
        self.endpoints.presume_warm()
        self.granting = True
        self.schedule()

    def receive_demand(
        self, sender: str, is_local: bool, demand: Demand
    ) -> bool:
        """Record reported demand.

        Returns whether the sender's count of held slots agrees with the slot
        table, without grants that the sender hasn't received yet.
        """
        book = self.local if is_local else self.remote
        for account in book.update(sender, demand):
            self._dependencies.ledger.activate(account)
        self.schedule()
        seen = demand.grants_seen
        return demand.held == self.slots.count_seen(sender, seen)

    def record_grants_seen(self, sender: str, grants_seen: int) -> None:
        """Subtract grants that a holder has received from its demand."""
        self.local.acknowledge_grants(sender, grants_seen)
        self.remote.acknowledge_grants(sender, grants_seen)

    def receive_finished(self, finished: Finished) -> None:
        """Free finished slots and adjust limits by their outcomes."""
        for number, outcome, first_token_ms, cost in finished.ended:
            key = (finished.slice_name, finished.epoch, number)
            self.free(key, SlotResult(Outcome(outcome), first_token_ms, cost))
        self.schedule()

    def free(self, key: SlotKey, result: SlotResult) -> None:
        """Free one slot and settle its cost; ignore one that isn't held."""
        slot = self.slots.remove(key)
        if slot is None:
            return
        self._dependencies.ledger.settle(slot, result.cost)
        self.endpoints.note(
            slot.endpoint, result.outcome, result.first_token_ms
        )
        if result.outcome is Outcome.DONE:
            self._hold_times.record(
                self._dependencies.clock() - slot.granted_at
            )

    def reconcile(
        self,
        sender: str,
        in_flight: InFlight,
        *,
        is_local: bool,
    ) -> None:
        """Bring the slot table in line with the slots a holder reports."""
        rows = {row[:3]: row for row in in_flight.slots if row[0] == self.name}
        for slot in self.slots.missing(sender, rows, in_flight.grants_seen):
            self.free(slot.key, UNUSED_RESULT)
        for key, row in rows.items():
            self._adopt(key, sender, row, is_local=is_local)
        self.schedule()

    def drop_demand(self, holder: str) -> None:
        """Drop the waiting requests of a holder that was lost."""
        self.local.drop(holder)
        self.remote.drop(holder)

    def free_all(self, holder: str) -> None:
        """Free all slots of a holder whose work has certainly ended."""
        for slot in self.slots.held_by(holder):
            self.free(slot.key, _cancelled(slot))
        self.schedule()

    def free_overdue(self, holder: str, max_hold_seconds: float) -> bool:
        """Free the slots of a lost holder that are held past their timeout.

        Its requests may still run: slots of a warm endpoint are freed once
        they are held longer than requests usually take, those of a cold
        endpoint only after ``max_hold_seconds``. Returns whether the holder
        has slots left.
        """
        now = self._dependencies.clock()
        usual_seconds = self._hold_times.timeout(max_hold_seconds)
        for slot in self.slots.held_by(holder):
            is_cold = self.endpoints.is_cold(slot.endpoint)
            timeout = max_hold_seconds if is_cold else usual_seconds
            if now - slot.granted_at >= timeout:
                self.free(slot.key, _cancelled(slot))
        self.schedule()
        return bool(self.slots.held_by(holder))

    def schedule(self) -> None:
        """Grant free slots to the accounts that are next in the ledger."""
        if not self.granting:
            return
        batches: defaultdict[str, list[HeldSlot]] = defaultdict(list)
        for _ in range(MAX_BATCH_SLOTS):
            slot = self._grant_next()
            if slot is None:
                break
            batches[slot.holder].append(slot)
        for holder, slots in batches.items():
            self._send(holder, slots)
        self._schedule_after_pause()

    def peek_sequence(self, holder: str) -> int:
        """Return the sequence number of the holder's next ``Grants``."""
        return self._sequences[holder] + 1

    def next_sequence(self, holder: str) -> int:
        """Advance and return the holder's ``Grants`` sequence number."""
        self._sequences[holder] += 1
        return self._sequences[holder]

    def _grant_next(self) -> HeldSlot | None:
        found = self._find_account()
        if found is None:
            return None
        endpoint = self.endpoints.find_room(self._dependencies.cold_share())
        if endpoint is None:
            return None
        book, account = found
        holder = book.longest_waiting_sender(account)
        if holder is None:
            return None
        self._last_number += 1
        slot = HeldSlot(
            key=(self.name, self.epoch, self._last_number),
            holder=holder,
            account=account,
            endpoint=endpoint,
            estimate=book.estimate(holder, account),
            is_local=book is self.local,
            sequence=self.peek_sequence(holder),
            granted_at=self._dependencies.clock(),
        )
        book.record_grant(holder, account, slot.sequence)
        self.slots.add(slot)
        self._dependencies.ledger.grant(slot)
        return slot

    def _is_contended(self) -> bool:
        """Return whether a returned slot may be needed at once.

        That is so while requests wait or no endpoint has free capacity.
        """
        has_demand = any(self.local.accounts()) or any(self.remote.accounts())
        return has_demand or self.endpoints.find_room(1) is None

    def _find_account(self) -> tuple[DemandTable, str] | None:
        position = self._dependencies.ledger.position
        candidates = [
            (position(account), 0, account) for account in self.local.accounts()
        ]
        candidates.extend(
            (position(account) + self.locality_slack, 1, account)
            for account in self.remote.accounts()
        )
        if not candidates:
            return None
        _, is_remote, account = min(candidates)
        return (self.remote if is_remote else self.local), account

    def _adopt(
        self,
        key: SlotKey,
        sender: str,
        row: SlotRow,
        *,
        is_local: bool,
    ) -> None:
        known = self.slots.remove(key)
        account, endpoint, estimate = row[3:]
        slot = HeldSlot(
            key=key,
            holder=sender,
            account=account,
            endpoint=endpoint,
            estimate=estimate,
            is_local=is_local,
            sequence=0,
            granted_at=known.granted_at
            if known
            else self._dependencies.clock(),
        )
        self.slots.add(slot)
        if known is not None:
            self._dependencies.ledger.release(known)
        self._dependencies.ledger.hold(slot)

    def _send(self, holder: str, slots: list[HeldSlot]) -> None:
        rows = tuple(
            (slot.key[2], slot.account, slot.endpoint) for slot in slots
        )
        lifetime_ms = int(self._dependencies.grant_lifetime * MS_PER_SECOND)
        sequence = self.next_sequence(holder)
        grants = Grants(
            self.name,
            self.epoch,
            sequence,
            lifetime_ms,
            self._is_contended(),
            rows,
        )
        if self._dependencies.links.send(holder, grants):
            self._dependencies.metrics.count('slots_granted', len(rows))
            return
        self.drop_demand(holder)
        for slot in slots:
            self.free(slot.key, UNUSED_RESULT)
        self._dependencies.call_at(self._dependencies.clock(), self.schedule)

    def _schedule_after_pause(self) -> None:
        """Schedule again for waiting requests when the next pause ends."""
        pause_end = self.endpoints.pause_ends()
        if pause_end is None or pause_end == self._scheduled_at:
            return
        self._scheduled_at = pause_end
        self._dependencies.call_at(pause_end, self.schedule)


def _cancelled(slot: HeldSlot) -> SlotResult:
    """Return a cancelled result at the estimated cost.

    The holder of the slot can no longer report the cost of its request.
    """
    return SlotResult(Outcome.CANCELLED, cost=slot.estimate)
