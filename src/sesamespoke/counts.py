"""What a dispatcher learns of metered cost from its routers."""

from collections.abc import Iterable

from sesamespoke.ledger import PoolLedger
from sesamespoke.messages import TotalRow


class ServiceMeter:
    """Turns the totals of routers into service in the pool's ledger."""

    def __init__(self, ledger: PoolLedger) -> None:
        """Know no router."""
        self._ledger = ledger
        self._totals: dict[str, dict[str, float]] = {}
        self._running: dict[str, dict[str, float]] = {}

    def observe(self, router: str, rows: Iterable[TotalRow]) -> None:
        """Take a router's totals; the first rows are its starting point."""
        first_seen = router not in self._totals
        totals = self._totals.setdefault(router, {})
        running = self._running.setdefault(router, {})
        for account, total, held_cost in rows:
            known = total if first_seen else totals.get(account, 0)
            if total > known:
                self._ledger.record_usage(account, total - known)
            totals.update({account: max(total, known)})
            self._ledger.charge(account, running.get(account, 0) - held_cost)
            running.update({account: held_cost})

    def forget(self, router: str) -> None:
        """Forget a router that has gone; what it was served stays."""
        self._totals.pop(router, None)
        for account, running in self._running.pop(router, {}).items():
            self._ledger.charge(account, running)

    def close(self) -> None:
        """Take back every correction when another host takes over."""
        for router in tuple(self._running):
            self.forget(router)
