"""Cost metered by one router, reported to a service's dispatcher."""

from collections import defaultdict
from collections.abc import Iterable

from sesamespoke.messages import TotalRow


class RouterTotals:
    """Metered cost by account on one service since the router started."""

    def __init__(self) -> None:
        """Start all totals at zero."""
        self._totals: defaultdict[str, float] = defaultdict(float)
        self._covered: defaultdict[str, float] = defaultdict(float)
        self._changed: dict[str, None] = {}

    def meter(self, account: str, cost: float, covered: float) -> None:
        """Add the cost of a running request since the last call.

        ``covered`` is the part of it within the request's estimate. The
        estimate is already charged while the request runs, so that only
        cost above it needs a report.
        """
        self._totals[account] += cost
        self._covered[account] += covered
        if cost > covered:
            self._changed[account] = None

    def settle(self, account: str, cost: float, covered: float) -> None:
        """Add a finished request's last cost and remove its covered cost."""
        self._totals[account] += max(0, cost)
        self._covered[account] -= covered
        self._changed[account] = None

    def take_changed(self) -> tuple[TotalRow, ...]:
        """Return the rows that changed since the last call."""
        rows = self._rows(self._changed)
        self._changed.clear()
        return rows

    def all_rows(self) -> tuple[TotalRow, ...]:
        """Return the rows of every account."""
        return self._rows(self._totals)

    def _rows(self, accounts: Iterable[str]) -> tuple[TotalRow, ...]:
        return tuple(
            (account, self._totals[account], max(0, self._covered[account]))
            for account in accounts
        )
