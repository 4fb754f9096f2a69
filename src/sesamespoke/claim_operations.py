"""One claim or settlement as part of a batched transaction."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from sesamespoke.claim_known import (
    SETTLED,
    ClaimState,
    Judgement,
    Known,
)
from sesamespoke.claim_record import (
    ClaimRecord,
    Grip,
    Mark,
    Standing,
    decode_record,
    pack_grip,
    store_key,
)
from sesamespoke.store import Absent, Entry, Expect, Put

Reply = Callable[[Judgement], None]
Found = Sequence[Entry | Absent]


@dataclass(frozen=True, slots=True)
class Changes:
    """The expectations and writes of one operation."""

    expected: tuple[Expect, ...]
    puts: tuple[Put, ...]


class Operation(Protocol):
    """What the writer batches."""

    name: str
    give_up_at: float
    attempts: int
    in_doubt: bool

    @property
    def reply(self) -> Reply:
        """Return what tells the sender."""

    def changes(self, period: int) -> Changes:
        """Return what to expect and write in a period."""

    def commit(self, period: int, revision: int) -> Standing:
        """Return what stands after the writes took effect."""

    def meet(self, found: Found) -> Standing | None:
        """Take what stands into account; None asks to try again."""

    def prepare(self, known: Known) -> None:
        """Take what is known into account before the first attempt."""

    def conclude(self, known: Known, now: float) -> Judgement:
        """Return what the sender is told."""


@dataclass(slots=True)
class ClaimOperation:
    """Claims a name for a token.

    ``superseded`` are earlier tokens of the same arrival, which its router
    has given up; a claim that stands under one of them is taken over.
    """

    name: str
    record: ClaimRecord
    reply: Reply
    give_up_at: float
    superseded: tuple[str, ...] = ()
    attempts: int = 0
    in_doubt: bool = False
    _free: dict[str, ClaimRecord] = field(default_factory=dict)
    _revisions: dict[str, int] = field(default_factory=dict)

    def changes(self, period: int) -> Changes:
        """Expect the name to be free in this and the previous period."""
        current = store_key(period, self.name)
        previous = store_key(period - 1, self.name)
        puts = [Put(current, self.record.encode())]
        abandoned = self._free.get(previous)
        if abandoned and abandoned.mark is Mark.CLAIMED:
            released = replace(abandoned, mark=Mark.RELEASED)
            puts.append(Put(previous, released.encode()))
        return Changes(
            (self._expect(current), self._expect(previous)), tuple(puts)
        )

    def commit(self, period: int, revision: int) -> Standing:
        """Return the won claim."""
        grip = Grip(store_key(period, self.name), revision)
        return Standing(self.record, grip)

    def meet(self, found: Found) -> Standing | None:
        """Return what stands in the way, or the claim if it stands.

        ``found`` is the current and the previous period's key. An own claim
        in the previous period is moved, as it would be deleted too early.
        """
        self._free.clear()
        self._revisions.clear()
        blocking = None
        for index, entry in enumerate(found):
            if isinstance(entry, Absent):
                continue
            standing = read_standing(entry)
            is_own = self._is_own(standing.record)
            if is_own and index == 0:
                return standing
            if is_own or self._may_replace(standing.record):
                self._allow(standing)
            else:
                blocking = blocking or standing
        return blocking

    def prepare(self, known: Known) -> None:
        """Expect a known record that the claim may replace."""
        if self.may_replace(known):
            self._allow(known.standing)

    def _allow(self, standing: Standing) -> None:
        self._free[standing.grip.key] = standing.record
        self._revisions[standing.grip.key] = standing.grip.revision

    def may_replace(self, known: Known) -> bool:
        """Return whether a known record does not block the claim."""
        return self._may_replace(known.record)

    def conclude(self, known: Known, now: float) -> Judgement:
        """Return that the claim is won, or what stands instead."""
        if self._is_own(known.record):
            payload = pack_grip(known.standing.grip, self.record.token)
            return Judgement(ClaimState.WON, payload)
        judgement = known.judge(self.record.digest, now)
        return judgement or Judgement(ClaimState.UNAVAILABLE)

    def _expect(self, key: str) -> Expect:
        return Expect(key, self._revisions.get(key, 0))

    def _is_own(self, record: ClaimRecord) -> bool:
        is_claimed = record.mark is Mark.CLAIMED
        return is_claimed and record.token == self.record.token

    def _may_replace(self, record: ClaimRecord) -> bool:
        if record.mark is Mark.RELEASED:
            return True
        is_claimed = record.mark is Mark.CLAIMED
        return is_claimed and record.token in self.superseded


@dataclass(slots=True)
class SettleOperation:
    """Records what a claim came to, or releases it.

    Without a grip it cleans up after a claim whose outcome is unknown and
    which nobody will use: a released record is left in its place, which a
    delayed write of that claim cannot replace.
    """

    name: str
    record: ClaimRecord
    reply: Reply
    give_up_at: float
    grip: Grip | None = None
    attempts: int = 0
    in_doubt: bool = False

    def changes(self, period: int) -> Changes:
        """Expect the claim where it was won, or nothing at all."""
        packed = self.record.encode()
        if self.grip:
            expected = Expect(self.grip.key, self.grip.revision)
            return Changes((expected,), (Put(self.grip.key, packed),))
        current = store_key(period, self.name)
        previous = store_key(period - 1, self.name)
        return Changes(
            (Expect(current, 0), Expect(previous, 0)),
            (Put(current, packed),),
        )

    def commit(self, period: int, revision: int) -> Standing:
        """Return the settled record."""
        key = self.grip.key if self.grip else store_key(period, self.name)
        return Standing(self.record, Grip(key, revision))

    def meet(self, found: Found) -> Standing | None:
        """Return what stands, unless the claim can still be settled."""
        entries = [entry for entry in found if isinstance(entry, Entry)]
        if not entries:
            self._restore()
            return None
        standings = [read_standing(entry) for entry in entries]
        for standing in standings:
            record = standing.record
            is_own = record.token == self.record.token
            if is_own and record.mark is Mark.CLAIMED:
                self.grip = standing.grip
                return None
        return standings[0]

    def prepare(self, known: Known) -> None:
        """Settle the claim where it is known to stand."""
        if self.grip is None and known.record.token == self.record.token:
            self.grip = known.standing.grip

    def conclude(self, known: Known, now: float) -> Judgement:
        """Return that the settlement is over."""
        return SETTLED

    def _restore(self) -> None:
        """Write the outcome anew where the store has lost the claim."""
        if self.grip:
            self.grip = Grip(self.grip.key, 0)


def read_standing(entry: Entry) -> Standing:
    """Return the record that an entry holds."""
    grip = Grip(entry.key, entry.revision)
    return Standing(decode_record(entry.content), grip)
