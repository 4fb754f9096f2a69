"""Work of one data centre on the endpoints of others.

The dispatcher of a service reports the demand that it cannot meet to the
dispatchers of the same service elsewhere, passes their grants on to its
routers, and returns the slots when the routers are done.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from sesamespoke.dispatch import Dispatcher, DispatcherDependencies
from sesamespoke.limits import Outcome
from sesamespoke.messages import Demand, Finished, Grants, InFlight, Row
from sesamespoke.slots import NO_COST, HeldSlot, SlotTable

MS_PER_SECOND = 1000


class Borrower:
    """Slots of other data centres that local routers hold.

    ``remotes`` maps the other slices of the service to their dispatchers'
    hosts.
    """

    def __init__(
        self, dispatcher: Dispatcher, parts: DispatcherDependencies
    ) -> None:
        """Start with nothing borrowed."""
        self.remotes: Mapping[str, str] = {}
        self.slots = SlotTable()
        self._dispatcher = dispatcher
        self._parts = parts
        self._seen: dict[str, int] = {}
        self._asked: set[str] = set()
        self._turn = 0

    def report(self, at_once: bool = False) -> None:
        """Tell the other dispatchers of unmet demand.

        With ``at_once`` only those are told that know of none.
        """
        self._turn += 1
        for index, slice_name in enumerate(sorted(self.remotes)):
            if at_once and slice_name in self._asked:
                continue
            rows = tuple(self._share_rows(index + self._turn))
            if rows or slice_name in self._asked:
                self._send_demand(slice_name, rows)

    def take_grants(self, sender: str, grants: Grants) -> None:
        """Pass slots on to the routers whose work waits the longest."""
        self._seen[grants.slice_name] = grants.sequence
        unused: list[int] = []
        batches: defaultdict[str, list[HeldSlot]] = defaultdict(list)
        for number, account, endpoint in grants.slots:
            key = (grants.slice_name, grants.epoch, number)
            holder = self._dispatcher.local.longest_waiting_sender(account)
            if holder is None:
                unused.append(number)
                continue
            slot = self._lend(key, holder, account, endpoint)
            batches[holder].append(slot)
        for holder, slots in batches.items():
            if not self._pass_on(holder, grants, slots):
                unused.extend(slot.key[2] for slot in slots)
        if unused:
            self._parts.links.send(sender, _unused(grants, unused))

    def take_finished(self, finished: Finished) -> None:
        """Return slots to the dispatcher that they belong to."""
        slice_name, epoch = finished.slice_name, finished.epoch
        for ended in finished.ended:
            self._free((slice_name, epoch, ended[0]))
        host = self.remotes.get(slice_name)
        if host is not None and finished.ended:
            seen = self._seen.get(slice_name, 0)
            back = Finished(slice_name, epoch, seen, finished.ended, ())
            self._parts.links.send(host, back)

    def adopt(self, sender: str, found: InFlight) -> None:
        """Take over what a router holds elsewhere, and say so there."""
        for row in found.slots:
            if row[0] == self._dispatcher.name:
                continue
            self._free(row[:3])
            self._add(row[:3], sender, row[3], row[4], row[5])

    def answer(self, slice_name: str, epoch: int) -> InFlight:
        """Return what is held of another slice."""
        rows = tuple(
            (*slot.key, slot.account, slot.endpoint, slot.estimate)
            for slot in self._held_of(slice_name)
        )
        seen = self._seen.get(slice_name, 0)
        return InFlight(slice_name, epoch, seen, rows, ())

    def announce(self) -> None:
        """Tell the other dispatchers what is held of theirs."""
        for slice_name, host in self.remotes.items():
            self._parts.links.send(host, self.answer(slice_name, 0))

    def drop_holder(self, holder: str) -> None:
        """Return the slots of a dead router as cancelled."""
        for slot in self.slots.held_by(holder):
            self._cancel(slot)

    def return_overdue(self, holder: str, most: float) -> bool:
        """Return a lost router's slots that were held for ``most`` seconds.

        Returns whether slots are left.
        """
        now = self._parts.clock()
        for slot in self.slots.held_by(holder):
            if now - slot.granted_at >= most:
                self._cancel(slot)
        return bool(self.slots.held_by(holder))

    def _share_rows(self, turn: int) -> Iterable[Row]:
        """Yield one remote's part of the unmet demand, by account."""
        book = self._dispatcher.local
        parts = len(self.remotes)
        now = self._parts.clock()
        for account in book.accounts():
            count = (book.unmet(account) + turn % parts) // parts
            holder = book.longest_waiting_sender(account)
            if count and holder is not None:
                age_ms = int(
                    (now - book.waiting_since(account)) * MS_PER_SECOND
                )
                yield account, count, age_ms, book.estimate(holder, account)

    def _send_demand(self, slice_name: str, rows: tuple[Row, ...]) -> None:
        self._asked.discard(slice_name)
        demand = Demand(
            slice_name,
            0,
            self._seen.get(slice_name, 0),
            len(self._held_of(slice_name)),
            full=True,
            waiting=rows,
        )
        reached = self._parts.links.send(self.remotes[slice_name], demand)
        if rows and reached:
            self._asked.add(slice_name)

    def _lend(
        self,
        key: tuple[str, int, int],
        holder: str,
        account: str,
        endpoint: str,
    ) -> HeldSlot:
        book = self._dispatcher.local
        estimate = book.estimate(holder, account)
        sequence = self._dispatcher.peek_sequence(holder)
        book.record_grant(holder, account, sequence)
        return self._add(key, holder, account, endpoint, estimate)

    def _add(
        self,
        key: tuple[str, int, int],
        holder: str,
        account: str,
        endpoint: str,
        estimate: float,
    ) -> HeldSlot:
        now = self._parts.clock()
        slot = HeldSlot(
            key,
            holder,
            account,
            endpoint,
            estimate,
            is_local=True,
            sequence=0,
            granted_at=now,
        )
        self.slots.add(slot)
        self._parts.ledger.charge(account, estimate)
        return slot

    def _pass_on(
        self,
        holder: str,
        grants: Grants,
        slots: list[HeldSlot],
    ) -> bool:
        rows = tuple(
            (slot.key[2], slot.account, slot.endpoint) for slot in slots
        )
        passed = Grants(
            grants.slice_name,
            grants.epoch,
            self._dispatcher.next_sequence(holder),
            grants.lifetime_ms,
            grants.contended,
            rows,
        )
        if self._parts.links.send(holder, passed):
            return True
        for slot in slots:
            self._free(slot.key)
        return False

    def _cancel(self, slot: HeldSlot) -> None:
        slice_name, epoch, number = slot.key
        ended = ((number, int(Outcome.CANCELLED), -1, slot.estimate),)
        self.take_finished(Finished(slice_name, epoch, 0, ended, ()))

    def _free(self, key: tuple[str, int, int]) -> None:
        slot = self.slots.remove(key)
        if slot is not None:
            self._parts.ledger.charge(slot.account, -slot.estimate)

    def _held_of(self, slice_name: str) -> list[HeldSlot]:
        return self.slots.find(lambda slot: slot.key[0] == slice_name)


def _unused(grants: Grants, numbers: Iterable[int]) -> Finished:
    """Return the message by which unused slots go back."""
    ended = tuple(
        (number, int(Outcome.UNUSED), -1, NO_COST) for number in numbers
    )
    return Finished(
        grants.slice_name,
        grants.epoch,
        grants.sequence,
        ended,
        (),
    )
