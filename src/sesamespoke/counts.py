"""Metered cost that routers report to a dispatcher."""

from collections.abc import Iterable

from sesamespoke.ledger import PoolLedger
from sesamespoke.messages import TotalRow


class ServiceMeter:
    """Records the totals reported by routers in the pool's ledger."""

    def __init__(self, ledger: PoolLedger) -> None:
        """Start without routers."""
        self._ledger = ledger
        self._totals: dict[str, dict[str, float]] = {}
        self._covered: dict[str, dict[str, float]] = {}

    def observe(self, router: str, rows: Iterable[TotalRow]) -> None:
        """Record a router's totals; its first rows are the baseline."""
        first_seen = router not in self._totals
        totals = self._totals.setdefault(router, {})
        covered = self._covered.setdefault(router, {})
        for account, total, held_cost in rows:
            known = total if first_seen else totals.get(account, 0)
            if total > known:
                self._ledger.record_usage(account, total - known)
            totals.update({account: max(total, known)})
            self._ledger.charge(account, covered.get(account, 0) - held_cost)
            covered.update({account: held_cost})

    def drop_router(self, router: str) -> None:
        """Drop a router that has left; usage recorded for it stays."""
        self._totals.pop(router, None)
        for account, covered in self._covered.pop(router, {}).items():
            self._ledger.charge(account, covered)

    def close(self) -> None:
        """Undo all corrections of outstanding cost on a takeover.

        Called when another host takes over the dispatcher's work.
        """
        for router in tuple(self._covered):
            self.drop_router(router)
