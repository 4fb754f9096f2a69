"""The fleet's sums of metered cost, gathered by account.

The accounts of a pool are spread over shards by hash; each shard has a
host in every data centre. Dispatchers tell it what they counted, the
shard's hosts tell each other the sums of their data centres, and each
tells the dispatchers where an account waits what all others have counted.
Any host that is sent rows acts as their shard: when the view moves a shard,
its sums start again and no agreement is needed.
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
        """Work out hosts as they are asked for, anew for each view."""
        self._links = links
        self._view = links.view
        self._hosts: dict[tuple[str, str, int], str] = {}

    def host_of(self, pool: str, site: str, account: str) -> str:
        """Return the host of an account's shard in a data centre."""
        if self._links.view is not self._view:
            self._view = self._links.view
            self._hosts.clear()
        shard = xxhash.xxh32_intdigest(account.encode()) % SHARDS
        key = (pool, site, shard)
        host = self._hosts.get(key)
        if host is None:
            hosts = self._view.hosts(site)
            host = place(f'ledger/{pool}/{shard}', hosts) or self._links.host
            self._hosts[key] = host
        return host

    def group(
        self,
        pool: str,
        site: str,
        rows: HostRows,
        names: Names,
    ) -> dict[str, tuple[HostRows, Names]]:
        """Return rows and names by the host of their shard."""
        host_of = partial(self.host_of, pool, site)
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
    """Spaces messages so that they keep to a budget of bytes."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Allow a message at once; ``clock`` is the loop's."""
        self._clock = clock
        self._next_at = clock()

    def is_due(self) -> bool:
        """Return whether the next messages may go."""
        return self._clock() >= self._next_at

    def spend(self, rows: int, messages: int) -> None:
        """Count what was sent."""
        size = rows * ROW_BYTES + messages * MESSAGE_BYTES
        start = max(self._next_at, self._clock())
        self._next_at = start + size / BYTES_PER_SECOND


class ReportSchedule:
    """What one host tells the shards of a pool, and when."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Have told nothing."""
        self.rate_limiter = ByteRateLimiter(clock)
        self._clock = clock
        self._told: dict[str, float] = {}

    def newly_waiting(self, waiting: set[str]) -> Names:
        """Return the waiting accounts that were not told of lately."""
        now = self._clock()
        new = [name for name in waiting if self._told.get(name, 0) <= now]
        self._told = {name: self._told.get(name, 0) for name in waiting}
        self._told.update(dict.fromkeys(new, now + REPEAT_SECONDS))
        return tuple(sorted(new))


class LedgerShards:
    """The sums that this host keeps, as a shard of any pool."""

    def __init__(
        self,
        source: str,
        links: Links,
        clock: Callable[[], float],
    ) -> None:
        """Keep nothing yet; ``source`` names this run of the host."""
        self._source = source
        self._links = links
        self._clock = clock
        self._sums: dict[str, ShardSums] = {}
        self._pace = ByteRateLimiter(clock)
        self._map = ShardMap(links)
        links.subscribe(SettledCounts, self._take_settled)
        links.subscribe(SiteCounts, self._take_site)

    def send(self) -> None:
        """Tell other data centres and the dispatchers what changed."""
        if not self._pace.is_due():
            return
        near = self._links.view.hosts(self._links.data_centre)
        for pool, sums in self._sums.items():
            sums.keep_hosts(near)
            sums.keep_sites(self._other_sites())
            changed = sums.take_changed()
            for host in sums.hosts():
                rows = sums.rows_without(host, sums.wanted_by(host, changed))
                if rows:
                    counts = FleetCounts(pool, self._source, rows)
                    self._links.send(host, counts)
                    self._pace.spend(len(rows), 1)
            for site in self._other_sites():
                self._send_site(pool, sums, site, changed)

    def _send_site(
        self,
        pool: str,
        sums: ShardSums,
        site: str,
        changed: Names,
    ) -> None:
        rows = sums.site_rows(sums.wanted_by(site, changed))
        wanted = sums.newly_wanted(site)
        batches = self._map.group(pool, site, rows, wanted)
        for host, batch in batches.items():
            counts = SiteCounts(pool, self._source, *batch)
            self._links.send(host, counts)
        self._pace.spend(len(rows) + len(wanted), len(batches))

    def _other_sites(self) -> Names:
        members = self._links.view.members
        sites = {member.data_centre for member in members}
        return tuple(sorted(sites - {self._links.data_centre}))

    def _sums_of(self, pool: str) -> ShardSums:
        return self._sums.setdefault(pool, ShardSums(self._clock))

    def _take_settled(self, sender: str, counts: SettledCounts) -> None:
        self._sums_of(counts.pool).take_settled(sender, counts)

    def _take_site(self, sender: str, counts: SiteCounts) -> None:
        for member in self._links.view.members:
            if member.host == sender:
                sums = self._sums_of(counts.pool)
                sums.take_site(member.data_centre, counts)
