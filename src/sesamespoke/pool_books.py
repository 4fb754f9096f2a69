"""The ledgers of one host, kept in step with those of other dispatchers."""

from collections.abc import Callable, Collection

from sesamespoke.dispatch_map import pool_dispatchers
from sesamespoke.ledger import PoolLedger
from sesamespoke.ledger_messages import (
    FleetCounts,
    SettledCounts,
    VirtualTimes,
    VirtualTimesQuery,
)
from sesamespoke.ledger_shards import ReportSchedule, ShardMap
from sesamespoke.links import Links
from sesamespoke.world import Document


class PoolBooks:
    """A ledger for each pool that this host dispatches for."""

    def __init__(
        self,
        source: str,
        links: Links,
        clock: Callable[[], float],
    ) -> None:
        """Start without ledgers; ``source`` names this run of the host."""
        self._source = source
        self._reports: dict[str, ReportSchedule] = {}
        self._map = ShardMap(links)
        self._links = links
        self._clock = clock
        self._ledgers: dict[str, PoolLedger] = {}
        links.subscribe(FleetCounts, self._take_counts)
        links.subscribe(VirtualTimesQuery, self._answer_query)
        links.subscribe(VirtualTimes, self._take_times)

    def set_document(self, document: Document) -> None:
        """Take over the shares of a revision."""
        for ledger in self._ledgers.values():
            ledger.set_accounts(document.accounts)

    def open_ledger(self, pool: str, document: Document) -> PoolLedger:
        """Return a pool's ledger; a new one asks another host's standing."""
        known = self._ledgers.get(pool)
        if known is not None:
            return known
        ledger = PoolLedger(self._clock)
        ledger.set_accounts(document.accounts)
        self._ledgers[pool] = ledger
        for host in self._others(pool, document)[:1]:
            self._links.send(host, VirtualTimesQuery(pool))
        return ledger

    def report(self, pool: str, active: Collection[str]) -> None:
        """Tell the ledger's shards what was counted, and who waits here."""
        ledger = self._ledgers.get(pool)
        if ledger is None:
            return
        ledger.update_charge_factors(active)
        report = self._reports.setdefault(pool, ReportSchedule(self._clock))
        if not report.rate_limiter.is_due():
            return
        rows = ledger.take_changed()
        waiting = report.newly_waiting(set(active))
        site = self._links.data_centre
        batches = self._map.group(pool, site, rows, waiting)
        for host, batch in batches.items():
            counts = SettledCounts(pool, self._source, *batch)
            self._links.send(host, counts)
        report.rate_limiter.spend(len(rows) + len(waiting), len(batches))

    def account_rows(self) -> list[dict[str, str | float]]:
        """Return where accounts stand in the pools that are known here."""
        return [
            {'pool': pool, 'account': account, 'standing': round(got, 4)}
            for pool, ledger in self._ledgers.items()
            for account, got in ledger.fleet_service()
        ]

    def _others(self, pool: str, document: Document) -> list[str]:
        hosts = pool_dispatchers(pool, document, self._links.view)
        return sorted(hosts - {self._links.host})

    def _take_counts(self, sender: str, counts: FleetCounts) -> None:
        ledger = self._ledgers.get(counts.pool)
        if ledger is not None:
            ledger.merge(counts.source, counts.rows)

    def _answer_query(self, sender: str, query: VirtualTimesQuery) -> None:
        ledger = self._ledgers.get(query.pool)
        if ledger is not None:
            rows = ledger.fleet_service()
            self._links.send(sender, VirtualTimes(query.pool, rows))

    def _take_times(self, sender: str, times: VirtualTimes) -> None:
        ledger = self._ledgers.get(times.pool)
        if ledger is not None:
            ledger.load_fleet_service(times.rows)
