"""Totals of charged cost in one pool at the host of a ledger shard."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from sesamespoke.account_subscriptions import AccountSubscriptions
from sesamespoke.ledger_messages import (
    FleetRow,
    HostRow,
    SettledCounts,
    SiteCounts,
)

REPEAT_SECONDS = 2.0

Names = tuple[str, ...]
HostRows = tuple[HostRow, ...]
FleetRows = tuple[FleetRow, ...]


class OutstandingCosts:
    """The latest outstanding cost of each account, by reporter.

    A reporter is a host or a data centre. Reporters with outstanding cost are
    counted, so that an account without any has a total of exactly zero
    despite floating-point rounding.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._costs: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._sums: defaultdict[str, float] = defaultdict(float)
        self._reporter_counts: defaultdict[str, int] = defaultdict(int)

    def put(self, reporter: str, account: str, cost: float) -> None:
        """Replace the outstanding cost that a reporter has for an account."""
        table = self._costs[reporter]
        self._add(account, -table.pop(account, 0))
        if cost:
            table[account] = cost
            self._add(account, cost)

    def total(self, account: str, excluding: str = '') -> float:
        """Return the sum over all reporters but the excluded one."""
        own = self._costs[excluding].get(account, 0) if excluding else 0
        if self._reporter_counts[account] == bool(own):
            return 0
        return max(0, self._sums[account] - own)

    def retain(self, reporters: Collection[str]) -> None:
        """Drop the costs of reporters that have left."""
        for gone in self._costs.keys() - set(reporters):
            for account, cost in self._costs.pop(gone).items():
                self._add(account, -cost)

    def _add(self, account: str, change: float) -> None:
        self._sums[account] += change
        self._reporter_counts[account] += (change > 0) - (change < 0)
        if not self._reporter_counts[account]:
            self._sums[account] = 0


class ShardSums:
    """Cost that hosts and data centres have counted since their first report.

    Only increases of a total are added up: the first total from a source is
    the baseline.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start all totals at zero."""
        self._clock = clock
        self._totals: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._fleet_service: defaultdict[str, float] = defaultdict(float)
        self._local_service: defaultdict[str, float] = defaultdict(float)
        self._host_service: dict[str, defaultdict[str, float]] = {}
        self._host_charges = OutstandingCosts()
        self._data_centre_charges = OutstandingCosts()
        self._host_subscriptions: dict[str, AccountSubscriptions] = {}
        self._data_centre_subscriptions: dict[str, AccountSubscriptions] = {}
        self._next_report_at: defaultdict[str, dict[str, float]] = defaultdict(
            dict
        )
        self._changed: dict[str, None] = {}

    def take_settled(self, sender: str, counts: SettledCounts) -> None:
        """Add the totals of a dispatching host and its waiting accounts."""
        own = self._host_service.setdefault(sender, defaultdict(float))
        for account, served, outstanding in counts.rows:
            growth = self._add_growth(counts.source, account, served)
            self._local_service[account] += growth
            own[account] += growth
            self._host_charges.put(sender, account, outstanding)
        self._subscribe(self._host_subscriptions, sender, counts.waiting)
        self._changed.update(dict.fromkeys(counts.waiting))

    def take_site(self, data_centre: str, counts: SiteCounts) -> None:
        """Add the totals of another data centre and its subscriptions."""
        for account, served, outstanding in counts.rows:
            self._add_growth(counts.source, account, served)
            self._data_centre_charges.put(data_centre, account, outstanding)
        self._subscribe(
            self._data_centre_subscriptions, data_centre, counts.wanted
        )

    def retain_hosts(self, hosts: Collection[str]) -> None:
        """Drop outstanding cost and subscriptions of hosts that have left."""
        self._host_charges.retain(hosts)
        for gone in self._host_subscriptions.keys() - set(hosts):
            del self._host_subscriptions[gone]

    def retain_data_centres(self, data_centres: Collection[str]) -> None:
        """Drop cost and subscriptions of unreachable data centres."""
        self._data_centre_charges.retain(data_centres)
        for gone in self._data_centre_subscriptions.keys() - set(data_centres):
            del self._data_centre_subscriptions[gone]

    def take_changed(self) -> Names:
        """Return the accounts whose totals or subscribers changed."""
        names = tuple(self._changed)
        self._changed.clear()
        return names

    def hosts(self) -> Names:
        """Return the hosts that have reported waiting accounts."""
        return tuple(self._host_subscriptions)

    def wanted_by(self, reporter: str, accounts: Names) -> Names:
        """Return the accounts to which a host or data centre subscribes."""
        wanted = self._host_subscriptions.get(
            reporter
        ) or self._data_centre_subscriptions.get(reporter)
        if wanted is None:
            return ()
        return tuple(name for name in accounts if name in wanted)

    def newly_wanted(self, data_centre: str) -> Names:
        """Return waiting accounts due for a report to a data centre."""
        next_report_at = self._next_report_at[data_centre]
        now = self._clock()
        names = self._local_accounts()
        due = tuple(
            name for name in sorted(names) if next_report_at.get(name, 0) <= now
        )
        self._next_report_at[data_centre] = {
            name: next_report_at.get(name, 0) for name in names
        }
        self._next_report_at[data_centre].update(
            dict.fromkeys(due, now + REPEAT_SECONDS)
        )
        return due

    def site_rows(self, accounts: Names) -> HostRows:
        """Return the totals of this data centre."""
        return tuple(
            (name, self._local_service[name], self._host_charges.total(name))
            for name in accounts
        )

    def rows_without(self, host: str, accounts: Names) -> FleetRows:
        """Return the fleet's totals without the part that one host counted."""
        own = self._host_service.setdefault(host, defaultdict(float))
        return tuple(
            (
                name,
                self._fleet_service[name] - own[name],
                self._host_charges.total(name, excluding=host)
                + self._data_centre_charges.total(name),
                self._is_active_elsewhere(host, name),
            )
            for name in accounts
        )

    def _is_active_elsewhere(self, host: str, account: str) -> bool:
        tables = (self._host_subscriptions, self._data_centre_subscriptions)
        charged = self._host_charges.total(account, excluding=host)
        return bool(charged + self._data_centre_charges.total(account)) or any(
            account in wanted
            for table in tables
            for reporter, wanted in table.items()
            if reporter != host
        )

    def _add_growth(self, source: str, account: str, total: float) -> float:
        totals = self._totals[source]
        known = totals.get(account, total)
        growth = max(0, total - known)
        totals[account] = max(known, total)
        self._fleet_service[account] += growth
        self._changed[account] = None
        return growth

    def _subscribe(
        self,
        table: dict[str, AccountSubscriptions],
        reporter: str,
        accounts: Iterable[str],
    ) -> None:
        wanted = table.setdefault(reporter, AccountSubscriptions(self._clock))
        for account in accounts:
            if wanted.renew(account):
                self._changed[account] = None

    def _local_accounts(self) -> set[str]:
        names: set[str] = set()
        for wanted in self._host_subscriptions.values():
            names.update(wanted.accounts())
        return names
