"""What accounts ask for and are given, and how much room each may take.

The load it answers: accounts that ask for more than their share, one through
a single router and another through all of them. Every router fills what room
it sees, so that the second would get several times as much. Each account's
share is the max-min fair one of what the endpoints can do. An account that
has been given more finds room only up to a lower fill of each endpoint; the
rest is kept for those that were given less. It is no more than that: idle
endpoints serve anybody, also an account that is far ahead.

Source of keeping room: trunk reservation, as in Key, "Optimal control and
trunk reservation in loss networks", Probability in the Engineering and
Informational Sciences, 1990.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

USAGE_DECAY_SECONDS = 4.0
"""The time in which past use loses its weight (1/e): the window over which
the users compare accounts."""
FAIR_SHARE_TTL_SECONDS = 0.1
"""How long a computed level holds; reports come about as often."""
HEADROOM_FACTOR = 1.1
"""The work that is taken to be possible, as a multiple of what was given of
late: engines that restart or slow down do less than they are stated to."""
MIN_CAPACITY_FRACTION = 0.6
"""The part of the stated capacity that is taken to be possible at least."""
PEAK_DECAY_SECONDS = 30.0
"""The time in which the most that was ever given loses its weight (1/e),
where no capacity is stated."""
UTILISATION_LIMIT_AT_SHARE = 0.75
"""The fill of endpoints up to which an account finds room that was given
just its share; it falls as the inverse of what more it was given."""
MIN_UTILISATION_LIMIT = 0.25
"""The fill up to which any account finds room."""
MIN_REPORTED_TOKENS = 1.0
"""What has faded to less is not told to other data centres."""

AccountRow = tuple[str, int, int]


Amounts = dict[str, float]


@dataclass(frozen=True, slots=True)
class _Told:
    """Amounts by account that another data centre had at some time."""

    at: float
    amounts: Amounts


class _Rates:
    """Amounts by account, each fading with time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any."""
        self._clock = clock
        self._spent: dict[str, tuple[float, float]] = {}
        self._told: dict[str, _Told] = {}

    def amount(self, account: str) -> float:
        """Return what an account has, faded to now."""
        now = self._clock()
        amount = self.local(account)
        for told in self._told.values():
            part = told.amounts.get(account)
            if part:
                amount += part * _fade(now - told.at)
        return amount

    def local(self, account: str) -> float:
        """Return the part that no other data centre told."""
        amount, at = self._spent.get(account, (0, 0))
        return amount * _fade(self._clock() - at) if amount else 0

    def add(self, account: str, cost: float) -> None:
        """Add to what an account has."""
        self._spent[account] = (self.local(account) + cost, self._clock())

    def replace(self, source: str, at: float, amounts: Amounts) -> None:
        """Take what a source has, instead of what it had before."""
        before = self._told.get(source)
        if before is None or before.at <= at:
            self._told[source] = _Told(at, amounts)

    def amounts(self) -> Amounts:
        """Return what all accounts have."""
        accounts = set(self._spent)
        accounts.update(*(told.amounts for told in self._told.values()))
        return {account: self.amount(account) for account in accounts}

    def amounts_near(self, source: str) -> Amounts:
        """Return what accounts have here and as one source told."""
        told = self._told.get(source, _NOTHING_TOLD)
        faded = _fade(self._clock() - told.at)
        return {
            account: self.local(account) + told.amounts.get(account, 0) * faded
            for account in self._spent.keys() | told.amounts.keys()
        }


_NOTHING_TOLD = _Told(0, {})


def _fade(seconds: float) -> float:
    """Return the weight of an amount of some time ago."""
    return math.exp(-seconds / USAGE_DECAY_SECONDS)


class FairShares:
    """What every account asked for and was given of late, over all routers.

    ``capacity`` returns the tokens a second that the endpoints are stated to
    do, or 0 where that is not known.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], float] = float,
    ) -> None:
        """Start without any use."""
        self._clock = clock
        self._capacity = capacity
        self._asked = _Rates(clock)
        self._given = _Rates(clock)
        self._peak: tuple[float, float] = (0, 0)
        self._level: float = math.inf
        self._level_until: float = 0

    def used(self, account: str) -> float:
        """Return an account's use in tokens, faded to now."""
        return self._given.amount(account)

    def add_demand(self, account: str, cost: float) -> None:
        """Note what an account asks for."""
        self._asked.add(account, cost)

    def add_usage(self, account: str, cost: float) -> None:
        """Charge an account."""
        self._given.add(account, cost)

    def data_centre_rows(self, data_centre: str) -> tuple[AccountRow, ...]:
        """Return what accounts asked and got in this data centre of late."""
        asked = self._asked.amounts_near(data_centre)
        given = self._given.amounts_near(data_centre)
        rows = (
            (
                account,
                round(asked.get(account, 0)),
                round(given.get(account, 0)),
            )
            for account in asked.keys() | given.keys()
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
        """Take what accounts asked and got in a data centre.

        ``age`` is how old the rows are, in seconds. Rows of the own data
        centre hold what was asked and given at this router as well.
        """
        at = self._clock() - age
        asked = {account: float(amount) for account, amount, _ in rows}
        given = {account: float(amount) for account, _, amount in rows}
        if is_own:
            asked = _subtract(asked, self._asked.local)
            given = _subtract(given, self._given.local)
        self._asked.replace(data_centre, at, asked)
        self._given.replace(data_centre, at, given)

    def utilisation_limit(self, account: str) -> float:
        """Return the fill of endpoints that an account may use, up to 1."""
        level = self._find_level()
        if math.isinf(level):
            return 1
        used = self.used(account)
        if used <= level * UTILISATION_LIMIT_AT_SHARE:
            return 1
        return max(
            MIN_UTILISATION_LIMIT, UTILISATION_LIMIT_AT_SHARE * level / used
        )

    def fair_share(self) -> float | None:
        """Return the use beyond which an account is ahead, if there is one."""
        level = self._find_level()
        return None if math.isinf(level) else level

    def _find_level(self) -> float:
        """Return the use beyond which an account is ahead."""
        now = self._clock()
        if now >= self._level_until:
            self._level_until = now + FAIR_SHARE_TTL_SECONDS
            self._level = find_level(
                self._asked.amounts().values(), self._find_possible()
            )
        return self._level

    def _find_possible(self) -> float:
        """Return the work that can be done, in the same faded amounts."""
        given = sum(self._given.amounts().values()) * HEADROOM_FACTOR
        stated = self._capacity() * USAGE_DECAY_SECONDS
        if stated:
            return min(stated, max(stated * MIN_CAPACITY_FRACTION, given))
        now = self._clock()
        peak, at = self._peak
        peak = max(given, peak * math.exp((at - now) / PEAK_DECAY_SECONDS))
        self._peak = (peak, now)
        return peak


def _subtract(amounts: Amounts, local: Callable[[str], float]) -> Amounts:
    """Return amounts without the local part of each."""
    return {
        account: max(0, amount - local(account))
        for account, amount in amounts.items()
    }


def find_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share; infinity if there is enough for all."""
    ranked = sorted(demands)
    left = capacity
    for count, demand in zip(range(len(ranked), 0, -1), ranked, strict=True):
        if demand * count > left:
            return left / count
        left -= demand
    return math.inf
