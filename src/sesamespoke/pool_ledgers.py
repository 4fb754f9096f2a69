"""The pool ledgers of one host, synchronised with other dispatchers'."""

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


class PoolLedgers:
    """A ledger for each pool in which this host is a dispatcher."""

    def __init__(
        self,
        source: str,
        links: Links,
        clock: Callable[[], float],
    ) -> None:
        """Start without ledgers; ``source`` names this run of the host."""
        self._source = source
        self._reports: dict[str, ReportSchedule] = {}
        self._shard_map = ShardMap(links)
        self._links = links
        self._clock = clock
        self._ledgers: dict[str, PoolLedger] = {}
        links.subscribe(FleetCounts, self._receive_counts)
        links.subscribe(VirtualTimesQuery, self._answer_query)
        links.subscribe(VirtualTimes, self._receive_times)

    def set_document(self, document: Document) -> None:
        """Apply the account shares of a revision."""
        for ledger in self._ledgers.values():
            ledger.set_accounts(document.accounts)

    def open_ledger(self, pool: str, document: Document) -> PoolLedger:
        """Return a pool's ledger, created if the host has none yet.

        For a new ledger, another dispatcher of the pool is asked for the
        accounts' virtual times.
        """
        existing = self._ledgers.get(pool)
        if existing is not None:
            return existing
        ledger = PoolLedger(self._clock)
        ledger.set_accounts(document.accounts)
        self._ledgers[pool] = ledger
        for host in self._other_dispatchers(pool, document)[:1]:
            self._links.send(host, VirtualTimesQuery(pool))
        return ledger

    def report(self, pool: str, active: Collection[str]) -> None:
        """Send the metered costs and the waiting accounts to the shards.

        ``active`` names the accounts with unmet demand at this host.
        Nothing is sent until the byte budget of the report allows it.
        """
        ledger = self._ledgers.get(pool)
        if ledger is None:
            return
        ledger.update_charge_factors(active)
        report = self._reports.setdefault(pool, ReportSchedule(self._clock))
        if not report.rate_limiter.is_due():
            return
        rows = ledger.take_changed()
        waiting = report.newly_waiting(set(active))
        data_centre = self._links.data_centre
        batches = self._shard_map.group(pool, data_centre, rows, waiting)
        for host, batch in batches.items():
            counts = SettledCounts(pool, self._source, *batch)
            self._links.send(host, counts)
        report.rate_limiter.spend(len(rows) + len(waiting), len(batches))

    def account_rows(self) -> list[dict[str, str | float]]:
        """Return the normalised service of recently active accounts."""
        return [
            {'pool': pool, 'account': account, 'standing': round(service, 4)}
            for pool, ledger in self._ledgers.items()
            for account, service in ledger.fleet_service()
        ]

    def _other_dispatchers(self, pool: str, document: Document) -> list[str]:
        hosts = pool_dispatchers(pool, document, self._links.view)
        return sorted(hosts - {self._links.host})

    def _receive_counts(self, sender: str, counts: FleetCounts) -> None:
        ledger = self._ledgers.get(counts.pool)
        if ledger is not None:
            ledger.merge(counts.source, counts.rows)

    def _answer_query(self, sender: str, query: VirtualTimesQuery) -> None:
        ledger = self._ledgers.get(query.pool)
        if ledger is not None:
            rows = ledger.fleet_service()
            self._links.send(sender, VirtualTimes(query.pool, rows))

    def _receive_times(self, sender: str, times: VirtualTimes) -> None:
        ledger = self._ledgers.get(times.pool)
        if ledger is not None:
            ledger.load_fleet_service(times.rows)
