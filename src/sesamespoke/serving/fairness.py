"""Max-min fair shares of the accounts, enforced where requests are admitted.

This is designed for accounts that demand more than their share, one of them
through a single router and another through all of them, while endpoints crash
or fail. The quantity that is controlled is the amount that an account begins.
There is one level for the fleet: the max-min fair share of what the endpoints
do now. Of an account that demands more, each router admits the part that is
within the level, so that its routers together begin that amount, however many
they are. What is beyond the level uses endpoints only while they are little
used. No router keeps a state for this, and none has to agree with another.

Utilisation limits remain beside it. They guard endpoints, and correct an
account that gets more or less than it is owed, in proportion.

Sources: Stoica, Shenker and Zhang, "Core-stateless fair queueing", SIGCOMM
1998 (the part of each flow that is within the fair rate); Key, "Optimal
control and trunk reservation in loss networks", Probability in the Engineering
and Informational Sciences, 1990 (the utilisation limits).
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

USAGE_DECAY_SECONDS = 1.0
"""Time constant with which past usage decays (to 1/e). It is the window over
which accounts are compared. Usage of a longer past would be made up for by
seconds in which an account gets nothing."""
FAIR_SHARE_TTL_SECONDS = 0.1
"""Lifetime of a computed share; reports arrive about as often."""
HEADROOM_FACTOR = 1.2
"""Estimated capacity, as a multiple of recent usage, so that usage can grow."""
MIN_CAPACITY_FRACTION = 0.6
"""Lower bound of the estimated capacity, as a fraction of the stated one."""
PEAK_DECAY_SECONDS = 30.0
"""Time constant with which the peak usage decays (to 1/e). The peak is the
estimated capacity where none is stated."""
UTILISATION_LIMIT_AT_SHARE = 0.75
"""Utilisation limit of an account whose usage equals its share. The limit is
inversely proportional to the usage, and at most 1."""
MIN_UTILISATION_LIMIT = 0.4
"""Utilisation limit that applies to every account at least, and to requests
beyond the level."""
MAX_SHORT_LIMIT = 1.4
"""Largest utilisation limit of an account that is short: its router may take
endpoints to be fuller than others do. More would make the requests of all
others at an endpoint late."""
MAX_CLAIM_FACTOR = 4.0
"""An account claims at most this multiple of its usage from the level. What is
kept for an account that can't be served at all would idle."""
FAIR_USAGE_FACTOR = 0.95
"""Usage up to which an account is not limited, as a multiple of its fair share
of what is done now. What is left above is for accounts with less."""
SHORT_FRACTION = 0.2
"""Part of the fair share by which an account has to get less than it is owed,
so that it counts as short. Accounts that ask for little are served at the limit
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
        self._level: float = math.inf
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

    def admitted_part(self, account: str) -> float:
        """Return the part of an account's requests within the level, 0 to 1."""
        asked = self.asked(account)
        if asked <= self._current_level():
            return 1
        return self._level / asked

    def utilisation_limit(self, account: str) -> float:
        """Return the utilisation of endpoints up to which an account may go.

        The limit that follows from the stated capacity is corrected by what
        the account gets of its fair share of what is done now.
        """
        limit = self._capacity_limit(account)
        got = max(1, self._got(account))
        balance = (self._fair() * FAIR_USAGE_FACTOR / got) ** 2
        if balance < 1:
            if math.isinf(self._share):
                return limit
            return min(limit, max(MIN_UTILISATION_LIMIT, balance))
        top = MAX_SHORT_LIMIT if self.is_short(account) else 1
        return min(top, limit * balance)

    def is_short(self, account: str) -> bool:
        """Return whether an account gets clearly less than it is owed."""
        lacks = self._owed(account) - self._got(account)
        return lacks > self._fair() * SHORT_FRACTION

    def _owed(self, account: str) -> float:
        """Return what an account asks for, up to its fair share."""
        return min(self.asked(account), self._fair())

    def _fair(self) -> float:
        """Return the fair share of what is done now, without headroom."""
        return self._current_level() / HEADROOM_FACTOR

    def _got(self, account: str) -> float:
        """Return an account's usage, up to what it has asked for.

        A request that is sent several times is charged as often.
        """
        return max(0, min(self.used(account), self.asked(account)))

    def _capacity_limit(self, account: str) -> float:
        """Return the limit of an account whose share is of the capacity."""
        share = self._current_share()
        if math.isinf(share):
            return 1
        got = self._got(account)
        if got <= share * UTILISATION_LIMIT_AT_SHARE:
            return 1
        return max(
            MIN_UTILISATION_LIMIT, UTILISATION_LIMIT_AT_SHARE * share / got
        )

    def fair_share(self) -> float | None:
        """Return the max-min fair share, or None if all demand can be met."""
        share = self._current_share()
        return None if math.isinf(share) else share

    def level(self) -> float | None:
        """Return the fair share of what is done now, or None without limit."""
        level = self._current_level()
        return None if math.isinf(level) else level

    def _current_share(self) -> float:
        """Return the max-min fair share; infinity if all demand can be met."""
        self._refresh()
        return self._share

    def _current_level(self) -> float:
        """Return the level; infinity if nearly all demand is met."""
        self._refresh()
        return self._level

    def _refresh(self) -> None:
        """Compute share and level anew, unless they are recent."""
        now = self._clock()
        if now < self._share_expires_at:
            return
        self._share_expires_at = now + FAIR_SHARE_TTL_SECONDS
        demand = self._demand.amounts()
        got = {account: self._got(account) for account in demand}
        done = HEADROOM_FACTOR * sum(got.values())
        self._share = find_level(demand.values(), self._estimate_capacity(done))
        claims = (
            min(asked, got[account] * MAX_CLAIM_FACTOR)
            for account, asked in demand.items()
        )
        self._level = find_level(claims, done)

    def _estimate_capacity(self, done: float) -> float:
        """Return the estimated capacity, in units of the decayed amounts."""
        stated = self._capacity() * USAGE_DECAY_SECONDS
        if stated:
            return min(stated, max(stated * MIN_CAPACITY_FRACTION, done))
        now = self._clock()
        peak, at = self._peak
        peak = max(done, peak * math.exp((at - now) / PEAK_DECAY_SECONDS))
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
