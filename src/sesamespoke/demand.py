"""The waiting requests that senders have reported to a dispatcher."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sesamespoke.messages import Demand, Row

MS_PER_SECOND = 1000
NO_COST = float()


@dataclass(slots=True)
class _WaitingRequests:
    """One account's waiting requests at one sender."""

    count: int
    since: float
    estimate: float
    granted: deque[int] = field(default_factory=deque)

    def unmet(self) -> int:
        """Return the number of requests without a grant in transit."""
        return max(0, self.count - len(self.granted))


class DemandTable:
    """Waiting requests by sender and account.

    A count that was reported before a grant arrived still includes the
    granted request, which would then be granted twice. The sequence number
    of each grant is therefore kept until the sender acknowledges it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start empty; ``clock`` is the clock of the event loop."""
        self._clock = clock
        self._rows: dict[str, dict[str, _WaitingRequests]] = {}
        self._unmet: defaultdict[str, int] = defaultdict(int)

    def update(
        self,
        sender: str,
        demand: Demand,
    ) -> list[str]:
        """Apply a sender's report; return accounts with new unmet demand.

        A full report sets accounts that it doesn't list to zero.
        """
        rows, grants_seen = demand.waiting, demand.grants_seen
        accounts = self._rows.setdefault(sender, {})
        if demand.full:
            listed = {row[0] for row in rows}
            absent = [
                (name, 0, 0, NO_COST) for name in accounts if name not in listed
            ]
            rows = (*rows, *absent)
        self.acknowledge_grants(sender, grants_seen)
        return [
            row[0]
            for row in rows
            if self._apply_row(accounts, row, grants_seen)
        ]

    def acknowledge_grants(self, sender: str, grants_seen: int) -> None:
        """Subtract the acknowledged grants from a sender's counts."""
        for account, waiting in self._rows.get(sender, {}).items():
            if waiting.granted:
                self._remove_acknowledged(account, waiting, grants_seen)

    def drop(self, sender: str) -> None:
        """Remove a sender that has left."""
        for account, waiting in self._rows.pop(sender, {}).items():
            self._add_unmet(account, -waiting.unmet())

    def accounts(self) -> Iterator[str]:
        """Yield the accounts with unmet demand."""
        return iter(self._unmet)

    def unmet(self, account: str) -> int:
        """Return the number of an account's requests without a grant."""
        return self._unmet.get(account, 0)

    def estimate(self, sender: str, account: str) -> float:
        """Return the sender's estimate of the cost of one request."""
        return self._rows[sender][account].estimate

    def longest_waiting_sender(self, account: str) -> str | None:
        """Return the sender whose request has waited the longest."""
        senders = [
            (accounts[account].since, sender)
            for sender, accounts in self._rows.items()
            if account in accounts and accounts[account].unmet()
        ]
        return min(senders)[1] if senders else None

    def record_grant(self, sender: str, account: str, sequence: int) -> None:
        """Record a grant that is in transit to a sender."""
        waiting = self._rows[sender][account]
        before = waiting.unmet()
        waiting.granted.append(sequence)
        self._add_unmet(account, waiting.unmet() - before)

    def waiting_since(self, account: str) -> float:
        """Return when the longest waiting request began to wait.

        The current time is returned if the account has no unmet demand.
        """
        times = [
            accounts[account].since
            for accounts in self._rows.values()
            if account in accounts and accounts[account].unmet()
        ]
        return min(times, default=self._clock())

    def _apply_row(
        self,
        accounts: dict[str, _WaitingRequests],
        row: Row,
        grants_seen: int,
    ) -> bool:
        account, count, age_ms, estimate = row
        known = accounts.pop(account, None)
        before = self._unmet.get(account, 0)
        if known is not None:
            self._add_unmet(account, -known.unmet())
        granted = known.granted if known else deque()
        if count or granted:
            since = self._clock() - age_ms / MS_PER_SECOND
            accounts[account] = _WaitingRequests(
                count, since, estimate, granted
            )
            self._add_unmet(account, accounts[account].unmet())
        return before == 0 and account in self._unmet

    def _remove_acknowledged(
        self,
        account: str,
        waiting: _WaitingRequests,
        grants_seen: int,
    ) -> None:
        """Drop acknowledged grants; the next reported count excludes them."""
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
