"""The slots that a dispatcher has given out."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesamespoke.limits import Outcome

SlotKey = tuple[str, int, int]
NO_COST = float()
_Keys = dict[SlotKey, None]


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """One slot in use.

    ``key`` is its slice, epoch and number, ``is_local`` whether its holder
    is a router of this data centre. ``sequence`` numbers the
    ``Grants`` that carried it to its holder; ``granted_at`` is on the
    loop's clock.
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
    """How a slot's use ended: outcome, first-token delay in ms, cost."""

    outcome: Outcome
    first_token_ms: int = -1
    cost: float = NO_COST


UNUSED_RESULT = SlotResult(Outcome.UNUSED)


class SlotTable:
    """Held slots by key, endpoint and holder."""

    def __init__(self) -> None:
        """Start with none."""
        self._slots: dict[SlotKey, HeldSlot] = {}
        self._by_endpoint: defaultdict[str, _Keys] = defaultdict(dict)
        self._by_holder: defaultdict[str, _Keys] = defaultdict(dict)

    def add(self, slot: HeldSlot) -> None:
        """Count a slot as held."""
        self._slots[slot.key] = slot
        self._by_endpoint[slot.endpoint][slot.key] = None
        self._by_holder[slot.holder][slot.key] = None

    def remove(self, key: SlotKey) -> HeldSlot | None:
        """Free a slot; return it, or None if it was not held."""
        slot = self._slots.pop(key, None)
        if slot is not None:
            self._by_endpoint[slot.endpoint].pop(key, None)
            self._by_holder[slot.holder].pop(key, None)
        return slot

    def in_use(self, endpoint: str) -> int:
        """Return how many slots of an endpoint are held."""
        numbers = self._by_endpoint.get(endpoint)
        return len(numbers) if numbers else 0

    def held_by(self, holder: str) -> list[HeldSlot]:
        """Return the slots that a host holds."""
        keys = self._by_holder.get(holder, ())
        return [self._slots[key] for key in keys]

    def count_seen(self, holder: str, grants_seen: int) -> int:
        """Return how many held slots came with grants up to a number.

        Slots are kept in the order of their grants, so that only those
        that are still under way are looked at. Slots that were found in
        flight have no grants and may stand anywhere.
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
        """Return slots that the holder must have had and has no more."""
        kept = set(present)
        return [
            slot
            for slot in self.held_by(holder)
            if slot.key not in kept and slot.sequence <= grants_seen
        ]

    def find(self, predicate: Callable[[HeldSlot], bool]) -> list[HeldSlot]:
        """Return the held slots of which a condition is true."""
        return [slot for slot in self._slots.values() if predicate(slot)]

    def __contains__(self, key: object) -> bool:
        """Tell whether a slot is held."""
        return key in self._slots

    def __len__(self) -> int:
        """Return how many slots are held."""
        return len(self._slots)
