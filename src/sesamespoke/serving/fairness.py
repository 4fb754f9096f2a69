"""Max-min fair shares of the accounts, enforced by utilisation limits.

This is designed for accounts that demand more than their share, one of them
through a single router and another through all of them. Every router uses
whatever capacity it sees, so the second account would get several times as
much as the first. An account's share is its max-min fair share of what the
endpoints can do. Accounts near or above their share may use each endpoint only
up to a lower utilisation; the rest of its capacity is reserved for accounts
with less usage. The stated capacity may be far from what is done, so that
accounts which get very different amounts stand alike; these are balanced by
what they get. Nothing else is restricted: idle endpoints serve every account,
however far it is above its share.

Reserving capacity in this way is trunk reservation, as in Key, "Optimal
control and trunk reservation in loss networks", Probability in the
Engineering and Informational Sciences, 1990.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

USAGE_DECAY_SECONDS = 4.0
"""Time constant with which past usage decays (to 1/e). It is the window over
which the usage of accounts is compared."""
FAIR_SHARE_TTL_SECONDS = 0.1
"""Lifetime of a computed share; reports arrive about as often."""
HEADROOM_FACTOR = 1.1
"""Estimated capacity, as a multiple of recent usage. Engines that restart or
slow down do less than their stated capacity."""
MIN_CAPACITY_FRACTION = 0.6
"""Lower bound of the estimated capacity, as a fraction of the stated one."""
PEAK_DECAY_SECONDS = 30.0
"""Time constant with which the peak usage decays (to 1/e). The peak is the
estimated capacity where none is stated."""
UTILISATION_LIMIT_AT_SHARE = 0.75
"""Utilisation limit of an account whose usage equals its share. The limit is
inversely proportional to the usage, and at most 1."""
MIN_UTILISATION_LIMIT = 0.4
"""Utilisation limit that applies to every account at least."""
EVEN_USAGE_FACTOR = 0.9
"""Usage of an account that gets its part of what is done now, as a multiple
of its share of the usage with ``HEADROOM_FACTOR``."""
MAX_BALANCE = 2.5
"""Largest factor on the limit of an account that gets less than its part. It
raises the lowest limit to all of an endpoint."""
TRAILING_FRACTION = 0.6
"""Part of what the best served account gets that is owed to each account which
asks for as much. Half of it is what accounts are promised."""
MAX_SHORT_LIMIT = 1.4
"""Largest utilisation limit of an account that is short. More would make the
requests of all others at an endpoint late."""
SHORT_FRACTION = 0.2
"""Part of an even share by which an account has to get less than it is owed, so
that it counts as short. Accounts that ask for little are served at the limit
of 1, and their single requests tell nothing."""
MIN_REPORTED_TOKENS = 1.0
"""Amounts that have decayed to less are not reported to other data centres."""

AccountRow = tuple[str, int, int]
"""Account, demand and usage; both in tokens."""


Amounts = dict[str, float]


@dataclass(frozen=True, slots=True)
class _Report:
    """Amounts by account in another data centre, as of a time."""

    at: float
    amounts: Amounts


class _DecayingAmounts:
    """Amounts by account that decay exponentially."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create without any amounts."""
        self._clock = clock
        self._local: dict[str, tuple[float, float]] = {}
        self._reports: dict[str, _Report] = {}

    def amount(self, account: str) -> float:
        """Return the total amount of an account, decayed to now."""
        now = self._clock()
        amount = self.local(account)
        for report in self._reports.values():
            part = report.amounts.get(account)
            if part:
                amount += part * _decay(now - report.at)
        return amount

    def local(self, account: str) -> float:
        """Return the part of an amount that isn't from data centre reports."""
        amount, at = self._local.get(account, (0, 0))
        return amount * _decay(self._clock() - at) if amount else 0

    def add(self, account: str, cost: float) -> None:
        """Add to the amount of an account."""
        self._local[account] = (self.local(account) + cost, self._clock())

    def replace(self, source: str, at: float, amounts: Amounts) -> None:
        """Replace the report of a source, unless a newer one is known."""
        previous = self._reports.get(source)
        if previous is None or previous.at <= at:
            self._reports[source] = _Report(at, amounts)

    def amounts(self) -> Amounts:
        """Return the total amounts of all accounts."""
        accounts = set(self._local)
        accounts.update(*(report.amounts for report in self._reports.values()))
        return {account: self.amount(account) for account in accounts}

    def local_and_reported(self, source: str) -> Amounts:
        """Return local amounts plus those that one source reported."""
        report = self._reports.get(source, _NO_REPORT)
        weight = _decay(self._clock() - report.at)
        return {
            account: self.local(account)
            + report.amounts.get(account, 0) * weight
            for account in self._local.keys() | report.amounts.keys()
        }


_NO_REPORT = _Report(0, {})


def _decay(seconds: float) -> float:
    """Return the weight of an amount after some time."""
    return math.exp(-seconds / USAGE_DECAY_SECONDS)


class FairShares:
    """Recent demand and usage of every account, over all routers.

    ``capacity`` returns the stated capacity of the endpoints in tokens per
    second, or 0 if it is unknown.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], float] = float,
    ) -> None:
        """Create without any demand or usage."""
        self._clock = clock
        self._capacity = capacity
        self._demand = _DecayingAmounts(clock)
        self._usage = _DecayingAmounts(clock)
        self._peak: tuple[float, float] = (0, 0)
        self._share: float = math.inf
        self._even_share: float = math.inf
        self._most_used: float = 0
        self._share_expires_at: float = 0

    def used(self, account: str) -> float:
        """Return an account's usage in tokens, decayed to now."""
        return self._usage.amount(account)

    def asked(self, account: str) -> float:
        """Return what an account has asked for in tokens, decayed to now."""
        return self._demand.amount(account)

    def add_demand(self, account: str, cost: float) -> None:
        """Add to the demand of an account."""
        self._demand.add(account, cost)

    def add_usage(self, account: str, cost: float) -> None:
        """Add to the usage of an account."""
        self._usage.add(account, cost)

    def take_back_usage(self, account: str, cost: float, age: float) -> float:
        """Take back usage that was added ``age`` seconds ago.

        Returns what is left of it, which is taken off the account's usage.
        """
        left = cost * _decay(age)
        self._usage.add(account, -left)
        return left

    def data_centre_rows(self, data_centre: str) -> tuple[AccountRow, ...]:
        """Return the recent demand and usage in this data centre."""
        demand = self._demand.local_and_reported(data_centre)
        usage = self._usage.local_and_reported(data_centre)
        rows = (
            (
                account,
                round(demand.get(account, 0)),
                round(usage.get(account, 0)),
            )
            for account in demand.keys() | usage.keys()
        )
        return tuple(row for row in rows if max(row[1:]) >= MIN_REPORTED_TOKENS)

    def update_data_centre(
        self,
        data_centre: str,
        rows: tuple[AccountRow, ...],
        age: float,
        *,
        is_own: bool,
    ) -> None:
        """Replace the demand and usage of accounts in a data centre.

        ``age`` is the age of the rows in seconds. Rows of this router's own
        data centre include its local amounts, which are subtracted.
        """
        at = self._clock() - age
        demand = {account: float(amount) for account, amount, _ in rows}
        usage = {account: float(amount) for account, _, amount in rows}
        if is_own:
            demand = _subtract(demand, self._demand.local)
            usage = _subtract(usage, self._usage.local)
        self._demand.replace(data_centre, at, demand)
        self._usage.replace(data_centre, at, usage)

    def utilisation_limit(self, account: str) -> float:
        """Return the utilisation of endpoints up to which an account may go.

        The limit follows from the stated capacity. Engines do more or less
        than that, so that accounts far apart may have the same limit; among
        them, the one that gets less of what is done now may go further. One
        that asks for more than it gets, and is owed it, may go beyond 1: this
        router may take endpoints to be fuller than others do.
        """
        limit = self._capacity_limit(account)
        even = self._even_share * EVEN_USAGE_FACTOR
        if math.isinf(even) or not even:
            return limit
        used = max(1, self.used(account))
        balance = even / used
        if self.is_short(account):
            return min(MAX_SHORT_LIMIT, (self._owed(account) / used) ** 2)
        if math.isinf(self._share):
            return limit
        if balance < 1:
            return min(limit, max(MIN_UTILISATION_LIMIT, balance))
        return min(1, limit * min(MAX_BALANCE, balance * balance))

    def is_short(self, account: str) -> bool:
        """Return whether an account gets clearly less than it is owed."""
        lacks = self._owed(account) - self.used(account)
        return lacks > self._even_share * SHORT_FRACTION

    def _owed(self, account: str) -> float:
        """Return what an account should have got of what is done now.

        That is what it asks for, up to its even share or to a part of what the
        best served account gets, but not beyond what that account gets; 0
        while all demand is met.
        """
        self._current_share()
        if math.isinf(self._even_share):
            return 0
        even = self._even_share * EVEN_USAGE_FACTOR
        part = max(even, self._most_used * TRAILING_FRACTION)
        return min(part, self._most_used, self.asked(account))

    def _capacity_limit(self, account: str) -> float:
        """Return the limit of an account whose share is of the capacity."""
        share = self._current_share()
        if math.isinf(share):
            return 1
        used = self.used(account)
        if used <= share * UTILISATION_LIMIT_AT_SHARE:
            return 1
        return max(
            MIN_UTILISATION_LIMIT, UTILISATION_LIMIT_AT_SHARE * share / used
        )

    def fair_share(self) -> float | None:
        """Return the max-min fair share, or None if all demand can be met."""
        share = self._current_share()
        return None if math.isinf(share) else share

    def even_share(self) -> float | None:
        """Return the fair share of what is done now, or None without limit."""
        self._current_share()
        return None if math.isinf(self._even_share) else self._even_share

    def _current_share(self) -> float:
        """Return the max-min fair share; infinity if all demand can be met."""
        now = self._clock()
        if now >= self._share_expires_at:
            self._share_expires_at = now + FAIR_SHARE_TTL_SECONDS
            demands = tuple(self._demand.amounts().values())
            usages = tuple(self._usage.amounts().values())
            done = sum(usages) * HEADROOM_FACTOR
            self._share = find_level(demands, self._estimate_capacity())
            self._even_share = find_level(demands, done)
            self._most_used = max(usages, default=0)
        return self._share

    def _estimate_capacity(self) -> float:
        """Return the estimated capacity, in units of the decayed amounts."""
        recent = sum(self._usage.amounts().values()) * HEADROOM_FACTOR
        stated = self._capacity() * USAGE_DECAY_SECONDS
        if stated:
            return min(stated, max(stated * MIN_CAPACITY_FRACTION, recent))
        now = self._clock()
        peak, at = self._peak
        peak = max(recent, peak * math.exp((at - now) / PEAK_DECAY_SECONDS))
        self._peak = (peak, now)
        return peak


def _subtract(amounts: Amounts, local: Callable[[str], float]) -> Amounts:
    """Return the amounts minus the local part of each, at least 0."""
    return {
        account: max(0, amount - local(account))
        for account, amount in amounts.items()
    }


def find_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share; infinity if all demand can be met."""
    ranked = sorted(demands)
    left = capacity
    for count, demand in zip(range(len(ranked), 0, -1), ranked, strict=True):
        if demand * count > left:
            return left / count
        left -= demand
    return math.inf
