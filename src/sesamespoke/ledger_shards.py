"""Aggregation of metered cost over the fleet, sharded by account.

The accounts of a pool are assigned to shards by hash; each shard has a host
in every data centre. Dispatchers report their totals to that host, the hosts
of a shard send each other the totals of their data centres, and each host
sends the dispatchers with waiting requests of an account the totals of all
other hosts. A host that receives rows acts as their shard: when a change of
the membership view moves a shard, its totals start from zero, so that no
agreement between hosts is needed.
"""

from collections.abc import Callable
from functools import partial

import xxhash

from sesamespoke.ledger_messages import FleetCounts, SettledCounts, SiteCounts
from sesamespoke.links import Links
from sesamespoke.placement import place
from sesamespoke.shard_sums import (
    REPEAT_SECONDS,
    HostRows,
    Names,
    ShardSums,
)

SHARDS = 16
BYTES_PER_SECOND = 1000
ROW_BYTES = 15
MESSAGE_BYTES = 30


class ShardMap:
    """The hosts of the ledger's shards, in every data centre."""

    def __init__(self, links: Links) -> None:
        """Look hosts up on demand and cache them until the view changes."""
        self._links = links
        self._view = links.view
        self._hosts: dict[tuple[str, str, int], str] = {}

    def host_of(self, pool: str, data_centre: str, account: str) -> str:
        """Return the host of an account's shard in a data centre."""
        if self._links.view is not self._view:
            self._view = self._links.view
            self._hosts.clear()
        shard = xxhash.xxh32_intdigest(account.encode()) % SHARDS
        key = (pool, data_centre, shard)
        host = self._hosts.get(key)
        if host is None:
            hosts = self._view.hosts(data_centre)
            host = place(f'ledger/{pool}/{shard}', hosts) or self._links.host
            self._hosts[key] = host
        return host

    def group(
        self,
        pool: str,
        data_centre: str,
        rows: HostRows,
        names: Names,
    ) -> dict[str, tuple[HostRows, Names]]:
        """Group rows and account names by the host of their shard."""
        host_of = partial(self.host_of, pool, data_centre)
        hosts = {host_of(row[0]) for row in rows}
        hosts.update(host_of(name) for name in names)
        return {
            host: (
                tuple(row for row in rows if host_of(row[0]) == host),
                tuple(name for name in names if host_of(name) == host),
            )
            for host in sorted(hosts)
        }


class ByteRateLimiter:
    """Limits the average rate of sent bytes by delaying messages."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Allow a message at once; ``clock`` is the event loop's."""
        self._clock = clock
        self._next_at = clock()

    def is_due(self) -> bool:
        """Return whether the next messages may be sent."""
        return self._clock() >= self._next_at

    def spend(self, rows: int, messages: int) -> None:
        """Record sent rows and messages by their estimated size."""
        size = rows * ROW_BYTES + messages * MESSAGE_BYTES
        start = max(self._next_at, self._clock())
        self._next_at = start + size / BYTES_PER_SECOND


class ReportSchedule:
    """When a host next reports to the shards of a pool, and what."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with no reported accounts."""
        self.rate_limiter = ByteRateLimiter(clock)
        self._clock = clock
        self._next_report_at: dict[str, float] = {}

    def newly_waiting(self, waiting: set[str]) -> Names:
        """Return the waiting accounts that are due for a report."""
        now = self._clock()
        due = [
            name for name in waiting if self._next_report_at.get(name, 0) <= now
        ]
        self._next_report_at = {
            name: self._next_report_at.get(name, 0) for name in waiting
        }
        self._next_report_at.update(dict.fromkeys(due, now + REPEAT_SECONDS))
        return tuple(sorted(due))


class LedgerShards:
    """The totals that this host aggregates as a shard of any pool."""

    def __init__(
        self,
        source: str,
        links: Links,
        clock: Callable[[], float],
    ) -> None:
        """Start without totals; ``source`` identifies this run of the host."""
        self._source = source
        self._links = links
        self._clock = clock
        self._sums: dict[str, ShardSums] = {}
        self._rate_limiter = ByteRateLimiter(clock)
        self._map = ShardMap(links)
        links.subscribe(SettledCounts, self._receive_host_counts)
        links.subscribe(SiteCounts, self._receive_data_centre_counts)

    def send(self) -> None:
        """Send changed totals to dispatchers and other data centres."""
        if not self._rate_limiter.is_due():
            return
        local_hosts = self._links.view.hosts(self._links.data_centre)
        for pool, sums in self._sums.items():
            sums.retain_hosts(local_hosts)
            sums.retain_data_centres(self._other_data_centres())
            changed = sums.take_changed()
            for host in sums.hosts():
                rows = sums.rows_without(host, sums.wanted_by(host, changed))
                if rows:
                    counts = FleetCounts(pool, self._source, rows)
                    self._links.send(host, counts)
                    self._rate_limiter.spend(len(rows), 1)
            for data_centre in self._other_data_centres():
                self._send_to_data_centre(pool, sums, data_centre, changed)

    def _send_to_data_centre(
        self,
        pool: str,
        sums: ShardSums,
        data_centre: str,
        changed: Names,
    ) -> None:
        rows = sums.site_rows(sums.wanted_by(data_centre, changed))
        wanted = sums.newly_wanted(data_centre)
        batches = self._map.group(pool, data_centre, rows, wanted)
        for host, batch in batches.items():
            counts = SiteCounts(pool, self._source, *batch)
            self._links.send(host, counts)
        self._rate_limiter.spend(len(rows) + len(wanted), len(batches))

    def _other_data_centres(self) -> Names:
        members = self._links.view.members
        data_centres = {member.data_centre for member in members}
        return tuple(sorted(data_centres - {self._links.data_centre}))

    def _sums_of(self, pool: str) -> ShardSums:
        return self._sums.setdefault(pool, ShardSums(self._clock))

    def _receive_host_counts(self, sender: str, counts: SettledCounts) -> None:
        self._sums_of(counts.pool).take_settled(sender, counts)

    def _receive_data_centre_counts(
        self, sender: str, counts: SiteCounts
    ) -> None:
        for member in self._links.view.members:
            if member.host == sender:
                sums = self._sums_of(counts.pool)
                sums.take_site(member.data_centre, counts)
