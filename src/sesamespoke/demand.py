"""Waiting work that a dispatcher has been told of."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sesamespoke.messages import Demand, Row

MS_PER_SECOND = 1000
NO_COST = float()


@dataclass(slots=True)
class _Waiting:
    """One account's waiting work at one sender."""

    count: int
    since: float
    estimate: float
    granted: deque[int] = field(default_factory=deque)

    def unmet(self) -> int:
        """Return how many requests no grant is on its way to."""
        return max(0, self.count - len(self.granted))


class DemandTable:
    """Waiting work by sender and account.

    Counts that were reported before a grant arrived would be granted
    twice; each grant's sequence number is kept until the sender's report
    shows that it has seen it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start empty; ``clock`` is the loop's."""
        self._clock = clock
        self._rows: dict[str, dict[str, _Waiting]] = {}
        self._unmet: defaultdict[str, int] = defaultdict(int)

    def update(
        self,
        sender: str,
        demand: Demand,
    ) -> list[str]:
        """Take a sender's rows; return accounts that began to wait."""
        rows, grants_seen = demand.waiting, demand.grants_seen
        book = self._rows.setdefault(sender, {})
        if demand.full:
            listed = {row[0] for row in rows}
            absent = [
                (name, 0, 0, NO_COST) for name in book if name not in listed
            ]
            rows = (*rows, *absent)
        self.acknowledge_grants(sender, grants_seen)
        return [
            row[0] for row in rows if self._take_row(book, row, grants_seen)
        ]

    def acknowledge_grants(self, sender: str, grants_seen: int) -> None:
        """Count down by the grants that a sender has seen."""
        for account, waiting in self._rows.get(sender, {}).items():
            if waiting.granted:
                self._forget_seen(account, waiting, grants_seen)

    def drop(self, sender: str) -> None:
        """Forget a sender that has gone."""
        for account, waiting in self._rows.pop(sender, {}).items():
            self._add_unmet(account, -waiting.unmet())

    def accounts(self) -> Iterator[str]:
        """Yield the accounts with unmet demand."""
        return iter(self._unmet)

    def unmet(self, account: str) -> int:
        """Return how many of an account's requests wait without a grant."""
        return self._unmet.get(account, 0)

    def estimate(self, sender: str, account: str) -> float:
        """Return the cost that the sender expects of a request."""
        return self._rows[sender][account].estimate

    def longest_waiting_sender(self, account: str) -> str | None:
        """Return the sender whose request waits the longest."""
        senders = [
            (book[account].since, sender)
            for sender, book in self._rows.items()
            if account in book and book[account].unmet()
        ]
        return min(senders)[1] if senders else None

    def record_grant(self, sender: str, account: str, sequence: int) -> None:
        """Remember that a grant is on its way to a sender."""
        waiting = self._rows[sender][account]
        before = waiting.unmet()
        waiting.granted.append(sequence)
        self._add_unmet(account, waiting.unmet() - before)

    def waiting_since(self, account: str) -> float:
        """Return when the account's longest waiting request began to."""
        times = [
            book[account].since
            for book in self._rows.values()
            if account in book and book[account].unmet()
        ]
        return min(times, default=self._clock())

    def _take_row(
        self,
        book: dict[str, _Waiting],
        row: Row,
        grants_seen: int,
    ) -> bool:
        account, count, age_ms, estimate = row
        known = book.pop(account, None)
        before = self._unmet.get(account, 0)
        if known is not None:
            self._add_unmet(account, -known.unmet())
        granted = known.granted if known else deque()
        if count or granted:
            since = self._clock() - age_ms / MS_PER_SECOND
            book[account] = _Waiting(count, since, estimate, granted)
            self._add_unmet(account, book[account].unmet())
        return before == 0 and account in self._unmet

    def _forget_seen(
        self,
        account: str,
        waiting: _Waiting,
        grants_seen: int,
    ) -> None:
        """Drop seen grants, which the next row's count leaves out."""
        before = waiting.unmet()
        while waiting.granted and waiting.granted[0] <= grants_seen:
            waiting.granted.popleft()
            waiting.count = max(0, waiting.count - 1)
        self._add_unmet(account, waiting.unmet() - before)

    def _add_unmet(self, account: str, change: int) -> None:
        if not change:
            return
        self._unmet[account] += change
        if self._unmet[account] <= 0:
            del self._unmet[account]
