"""The dispatcher of one slice: gives slots to the accounts that are due.

It alone counts the slots in use on its endpoints, so that their limits are
exact across all routers. Requests wait at their routers, which report them
as ``Demand``; a data centre's own dispatcher reports for its routers to
the dispatchers of the same service elsewhere.
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
    UNUSED_END,
    HeldSlot,
    SlotEnd,
    SlotKey,
    SlotTable,
)
from sesamespoke.timeline import Timeline

MS_PER_SECOND = 1000
MAX_BATCH_SLOTS = 256


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """What a dispatcher uses of its host.

    ``clock`` is the loop's; ``lifetime`` that of unstarted grants in
    seconds; ``cold_share`` scales cold limits in a split data centre;
    ``call_at`` runs a function at a time of the clock.
    """

    links: Links
    ledger: PoolLedger
    metrics: Metrics
    timeline: Timeline
    clock: Callable[[], float]
    call_at: Callable[[float, Callable[[], None]], object]
    lifetime: float
    cold_share: Callable[[], float]


class Dispatcher:
    """Slots, demand and limits of one slice.

    ``local`` is demand of this data centre, ``remote`` that of others,
    before which local accounts lead by ``slack``.
    """

    def __init__(self, name: str, epoch: int, parts: DispatchParts) -> None:
        """Start without endpoints; ``name`` is the slice's."""
        self.name = name
        self.epoch = epoch
        self.slots = SlotTable()
        self.endpoints = EndpointSet(self.slots, parts.clock, parts.timeline)
        self.local = DemandTable(parts.clock)
        self.remote = DemandTable(parts.clock)
        self.slack: float = 0
        self.granting = False
        self._parts = parts
        self._counter = 0
        self._holds = HoldTimes()
        self._sequences: defaultdict[str, int] = defaultdict(int)
        self._wakes_at: float = 0

    def begin(self) -> None:
        """Start to grant, above the work that was found in flight."""
        self.endpoints.presume_warm()
        self.granting = True
        self.pump()

    def take_demand(self, sender: str, is_local: bool, demand: Demand) -> bool:
        """Take a report; return whether its held count is as known."""
        book = self.local if is_local else self.remote
        for account in book.update(sender, demand):
            self._parts.ledger.activate(account)
        self.pump()
        seen = demand.grants_seen
        return demand.held == self.slots.count_seen(sender, seen)

    def note_seen(self, sender: str, grants_seen: int) -> None:
        """Count waiting work down by the grants that a holder has seen."""
        self.local.acknowledge_grants(sender, grants_seen)
        self.remote.acknowledge_grants(sender, grants_seen)

    def take_finished(self, finished: Finished) -> None:
        """Free slots and learn from how they ended."""
        for number, outcome, first_token_ms, cost in finished.ended:
            key = (finished.slice_name, finished.epoch, number)
            self.free(key, SlotEnd(Outcome(outcome), first_token_ms, cost))
        self.pump()

    def free(self, key: SlotKey, end: SlotEnd) -> None:
        """Free one slot; a slot that is not held is ignored."""
        slot = self.slots.remove(key)
        if slot is None:
            return
        self._parts.ledger.settle(slot, end.cost)
        self.endpoints.note(slot.endpoint, end.outcome, end.first_token_ms)
        if end.outcome is Outcome.DONE:
            self._holds.note(self._parts.clock() - slot.granted_at)

    def reconcile(
        self,
        sender: str,
        found: InFlight,
        *,
        is_local: bool,
    ) -> None:
        """Make the table agree with what a holder says that it holds."""
        rows = {row[:3]: row for row in found.slots if row[0] == self.name}
        for slot in self.slots.missing(sender, rows, found.grants_seen):
            self.free(slot.key, UNUSED_END)
        for key, row in rows.items():
            self._adopt(key, sender, row, is_local=is_local)
        self.pump()

    def forget_demand(self, holder: str) -> None:
        """Forget what a lost holder has waiting."""
        self.local.drop(holder)
        self.remote.drop(holder)

    def free_all(self, holder: str) -> None:
        """Free the slots of a holder whose work has surely ended."""
        for slot in self.slots.held_by(holder):
            self.free(slot.key, _cancelled(slot))
        self.pump()

    def free_overdue(self, holder: str, most: float) -> bool:
        """Free a lost holder's slots that have been held for too long.

        Its work may still run: a warm endpoint's slots are freed when work
        has usually ended, a cold one's after ``most`` seconds. Returns
        whether slots are left.
        """
        now = self._parts.clock()
        usual = self._holds.patience(most)
        for slot in self.slots.held_by(holder):
            is_cold = self.endpoints.is_cold(slot.endpoint)
            patience = most if is_cold else usual
            if now - slot.granted_at >= patience:
                self.free(slot.key, _cancelled(slot))
        self.pump()
        return bool(self.slots.held_by(holder))

    def pump(self) -> None:
        """Give every free slot to the account that is due."""
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
        self._wake_after_pause()

    def peek_sequence(self, holder: str) -> int:
        """Return the number that the next ``Grants`` will have."""
        return self._sequences[holder] + 1

    def next_sequence(self, holder: str) -> int:
        """Count and return the number of a ``Grants`` to a holder."""
        self._sequences[holder] += 1
        return self._sequences[holder]

    def _grant_next(self) -> HeldSlot | None:
        choice = self._find_account()
        if choice is None:
            return None
        endpoint = self.endpoints.find_room(self._parts.cold_share())
        if endpoint is None:
            return None
        book, account = choice
        holder = book.longest_waiting_sender(account)
        if holder is None:
            return None
        self._counter += 1
        slot = HeldSlot(
            key=(self.name, self.epoch, self._counter),
            holder=holder,
            account=account,
            endpoint=endpoint,
            estimate=book.estimate(holder, account),
            is_local=book is self.local,
            sequence=self.peek_sequence(holder),
            granted_at=self._parts.clock(),
        )
        book.record_grant(holder, account, slot.sequence)
        self.slots.add(slot)
        self._parts.ledger.grant(slot)
        return slot

    def _is_contended(self) -> bool:
        """Return whether a slot that comes back may be wanted at once."""
        waits = any(self.local.accounts()) or any(self.remote.accounts())
        return waits or self.endpoints.find_room(1) is None

    def _find_account(self) -> tuple[DemandTable, str] | None:
        position = self._parts.ledger.position
        candidates = [
            (position(account), 0, account) for account in self.local.accounts()
        ]
        candidates.extend(
            (position(account) + self.slack, 1, account)
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
            granted_at=known.granted_at if known else self._parts.clock(),
        )
        self.slots.add(slot)
        if known is not None:
            self._parts.ledger.release(known)
        self._parts.ledger.hold(slot)

    def _send(self, holder: str, slots: list[HeldSlot]) -> None:
        rows = tuple(
            (slot.key[2], slot.account, slot.endpoint) for slot in slots
        )
        lifetime_ms = int(self._parts.lifetime * MS_PER_SECOND)
        sequence = self.next_sequence(holder)
        grants = Grants(
            self.name,
            self.epoch,
            sequence,
            lifetime_ms,
            self._is_contended(),
            rows,
        )
        if self._parts.links.send(holder, grants):
            self._parts.metrics.count('slots_granted', len(rows))
            return
        self.forget_demand(holder)
        for slot in slots:
            self.free(slot.key, UNUSED_END)
        self._parts.call_at(self._parts.clock(), self.pump)

    def _wake_after_pause(self) -> None:
        """Pump again when a pausing endpoint may be used, if work waits."""
        ends = self.endpoints.pause_ends()
        if ends is None or ends == self._wakes_at:
            return
        self._wakes_at = ends
        self._parts.call_at(ends, self.pump)


def _cancelled(slot: HeldSlot) -> SlotEnd:
    """Return the end of a slot whose holder cannot tell what it cost."""
    return SlotEnd(Outcome.CANCELLED, cost=slot.estimate)
