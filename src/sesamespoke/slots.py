"""The slots that a dispatcher has granted and that are still held."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesamespoke.limits import Outcome

SlotKey = tuple[str, int, int]
NO_COST = float()
_OrderedKeys = dict[SlotKey, None]


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot that a holder may use for one request.

    ``key`` is the slice, epoch and number of the slot. ``is_local`` tells
    whether the holder is a router of this data centre. ``estimate`` is the
    expected cost. ``sequence`` is that of the ``Grants`` message that granted
    the slot, or 0 for a slot that was found in flight or that is borrowed from
    another data centre. ``granted_at`` is on the event loop's clock.
    """

    key: SlotKey
    holder: str
    account: str
    endpoint: str
    estimate: float
    is_local: bool
    sequence: int
    granted_at: float


@dataclass(frozen=True, slots=True)
class SlotResult:
    """The result of a slot's use: outcome, first-token delay, cost.

    ``first_token_ms`` is -1 if no first token arrived.
    """

    outcome: Outcome
    first_token_ms: int = -1
    cost: float = NO_COST


UNUSED_RESULT = SlotResult(Outcome.UNUSED)


class SlotTable:
    """Held slots, indexed by key, endpoint and holder."""

    def __init__(self) -> None:
        """Start with no slots held."""
        self._slots: dict[SlotKey, HeldSlot] = {}
        self._by_endpoint: defaultdict[str, _OrderedKeys] = defaultdict(dict)
        self._by_holder: defaultdict[str, _OrderedKeys] = defaultdict(dict)

    def add(self, slot: HeldSlot) -> None:
        """Add a slot that is held from now on."""
        self._slots[slot.key] = slot
        self._by_endpoint[slot.endpoint][slot.key] = None
        self._by_holder[slot.holder][slot.key] = None

    def remove(self, key: SlotKey) -> HeldSlot | None:
        """Remove a slot; return it, or None if it was not held."""
        slot = self._slots.pop(key, None)
        if slot is not None:
            self._by_endpoint[slot.endpoint].pop(key, None)
            self._by_holder[slot.holder].pop(key, None)
        return slot

    def in_use(self, endpoint: str) -> int:
        """Return how many slots of an endpoint are held."""
        keys = self._by_endpoint.get(endpoint)
        return len(keys) if keys else 0

    def held_by(self, holder: str) -> list[HeldSlot]:
        """Return the slots held by a host."""
        keys = self._by_holder.get(holder, ())
        return [self._slots[key] for key in keys]

    def count_seen(self, holder: str, grants_seen: int) -> int:
        """Return how many held slots the holder has received.

        These are the slots granted up to sequence ``grants_seen``, and those
        found in flight, which have no sequence. Slots are stored in grant
        order, so that the scan from the end reads only the grants that the
        holder hasn't received yet and stops at the first that it has. Slots
        found in flight may stand anywhere in that order.
        """
        keys = self._by_holder.get(holder, {})
        unseen = 0
        for key in reversed(keys):
            sequence = self._slots[key].sequence
            if 0 < sequence <= grants_seen:
                break
            unseen += sequence > grants_seen
        return len(keys) - unseen

    def missing(
        self,
        holder: str,
        present: Iterable[SlotKey],
        grants_seen: int,
    ) -> list[HeldSlot]:
        """Return slots that the holder received and doesn't hold any more.

        ``present`` are the keys that it reports as held.
        """
        reported = set(present)
        return [
            slot
            for slot in self.held_by(holder)
            if slot.key not in reported and slot.sequence <= grants_seen
        ]

    def find(self, predicate: Callable[[HeldSlot], bool]) -> list[HeldSlot]:
        """Return the held slots for which a predicate is true."""
        return [slot for slot in self._slots.values() if predicate(slot)]

    def __contains__(self, key: object) -> bool:
        """Return whether a slot is held."""
        return key in self._slots

    def __len__(self) -> int:
        """Return how many slots are held."""
        return len(self._slots)
