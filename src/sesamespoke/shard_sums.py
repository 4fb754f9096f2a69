"""One pool's sums of charged cost at one ledger shard's host."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from sesamespoke.ledger_messages import (
    FleetRow,
    HostRow,
    SettledCounts,
    SiteCounts,
)
from sesamespoke.wanted import Wanted

REPEAT_SECONDS = 2.0

Names = tuple[str, ...]
HostRows = tuple[HostRow, ...]
FleetRows = tuple[FleetRow, ...]


class OutstandingCosts:
    """The latest outstanding cost of each account, by who told it.

    Tellers are counted, so that rounding leaves no cost where none is told.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._tables: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._sums: defaultdict[str, float] = defaultdict(float)
        self._tellers: defaultdict[str, int] = defaultdict(int)

    def put(self, who: str, account: str, cost: float) -> None:
        """Replace what was told of an account."""
        table = self._tables[who]
        self._add(account, -table.pop(account, 0))
        if cost:
            table[account] = cost
            self._add(account, cost)

    def total(self, account: str, excluding: str = '') -> float:
        """Return the sum of all but one teller."""
        own = self._tables[excluding].get(account, 0) if excluding else 0
        if self._tellers[account] == bool(own):
            return 0
        return max(0, self._sums[account] - own)

    def retain(self, tellers: Collection[str]) -> None:
        """Forget those who have gone."""
        for gone in self._tables.keys() - set(tellers):
            for account, cost in self._tables.pop(gone).items():
                self._add(account, -cost)

    def _add(self, account: str, change: float) -> None:
        self._sums[account] += change
        self._tellers[account] += (change > 0) - (change < 0)
        if not self._tellers[account]:
            self._sums[account] = 0


class ShardSums:
    """What hosts and data centres have counted since they were heard.

    Sums of service are of growth: the first total of a source is a
    starting point.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start at zero."""
        self._clock = clock
        self._totals: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._fleet: defaultdict[str, float] = defaultdict(float)
        self._site: defaultdict[str, float] = defaultdict(float)
        self._own: dict[str, defaultdict[str, float]] = {}
        self._host_charges = OutstandingCosts()
        self._site_charges = OutstandingCosts()
        self._hosts: dict[str, Wanted] = {}
        self._sites: dict[str, Wanted] = {}
        self._told: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._changed: dict[str, None] = {}

    def take_settled(self, sender: str, counts: SettledCounts) -> None:
        """Take the sums and the waiting accounts of a dispatching host."""
        own = self._own.setdefault(sender, defaultdict(float))
        for account, served, outstanding in counts.rows:
            grown = self._grow(counts.source, account, served)
            self._site[account] += grown
            own[account] += grown
            self._host_charges.put(sender, account, outstanding)
        self._want(self._hosts, sender, counts.waiting)
        self._changed.update(dict.fromkeys(counts.waiting))

    def take_site(self, site: str, counts: SiteCounts) -> None:
        """Take the sums of another data centre, and what it wants."""
        for account, served, outstanding in counts.rows:
            self._grow(counts.source, account, served)
            self._site_charges.put(site, account, outstanding)
        self._want(self._sites, site, counts.wanted)

    def retain_hosts(self, hosts: Collection[str]) -> None:
        """Forget what hosts that have gone had outstanding and wanted."""
        self._host_charges.retain(hosts)
        for gone in self._hosts.keys() - set(hosts):
            del self._hosts[gone]

    def retain_data_centres(self, sites: Collection[str]) -> None:
        """Forget what data centres out of reach had outstanding."""
        self._site_charges.retain(sites)
        for gone in self._sites.keys() - set(sites):
            del self._sites[gone]

    def take_changed(self) -> Names:
        """Return the accounts whose sums or wanters changed."""
        names = tuple(self._changed)
        self._changed.clear()
        return names

    def hosts(self) -> Names:
        """Return the hosts that have told of waiting accounts."""
        return tuple(self._hosts)

    def wanted_by(self, who: str, accounts: Names) -> Names:
        """Return which of the accounts a host or data centre wants."""
        wanted = self._hosts.get(who) or self._sites.get(who)
        if wanted is None:
            return ()
        return tuple(name for name in accounts if name in wanted)

    def newly_wanted(self, site: str) -> Names:
        """Return what waits here and a data centre was not told lately."""
        told = self._told[site]
        now = self._clock()
        names = self._wanted_here()
        new = tuple(name for name in sorted(names) if told.get(name, 0) <= now)
        self._told[site] = {name: told.get(name, 0) for name in names}
        self._told[site].update(dict.fromkeys(new, now + REPEAT_SECONDS))
        return new

    def site_rows(self, accounts: Names) -> HostRows:
        """Return this data centre's sums."""
        return tuple(
            (name, self._site[name], self._host_charges.total(name))
            for name in accounts
        )

    def rows_without(self, host: str, accounts: Names) -> FleetRows:
        """Return the fleet's sums without what one host counted itself."""
        own = self._own.setdefault(host, defaultdict(float))
        return tuple(
            (
                name,
                self._fleet[name] - own[name],
                self._host_charges.total(name, excluding=host)
                + self._site_charges.total(name),
                self._is_active_elsewhere(host, name),
            )
            for name in accounts
        )

    def _is_active_elsewhere(self, host: str, account: str) -> bool:
        tables = (self._hosts, self._sites)
        charged = self._host_charges.total(account, excluding=host)
        return bool(charged + self._site_charges.total(account)) or any(
            account in wanted
            for table in tables
            for who, wanted in table.items()
            if who != host
        )

    def _grow(self, source: str, account: str, total: float) -> float:
        totals = self._totals[source]
        known = totals.get(account, total)
        grown = max(0, total - known)
        totals[account] = max(known, total)
        self._fleet[account] += grown
        self._changed[account] = None
        return grown

    def _want(
        self,
        table: dict[str, Wanted],
        who: str,
        accounts: Iterable[str],
    ) -> None:
        wanted = table.setdefault(who, Wanted(self._clock))
        for account in accounts:
            if wanted.note(account):
                self._changed[account] = None

    def _wanted_here(self) -> set[str]:
        names: set[str] = set()
        for wanted in self._hosts.values():
            names.update(wanted.names())
        return names
