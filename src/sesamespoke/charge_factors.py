"""How service elsewhere bears on the order of accounts here.

What other hosts have given is known late. Ordering accounts by it directly
makes every host serve the same account until the news arrives, and then
none. Instead each host orders by its own service, and counts that of an
account which leads over the fleet's middle for more, of one which lags for
less. The correction is smooth and bounded, so that no account starves.
"""

import math
from collections.abc import Callable, Mapping

LEAD_SCALE_SECONDS = 1.5
LEAD_SCALE_REQUESTS = 1
MAX_FACTOR = 8.0
RATE_GAIN = 0.05
COST_GAIN = 0.05

ServiceAndShares = Mapping[str, tuple[float, float]]


class ChargeFactors:
    """The factor by which each account's service counts.

    ``mean_service`` is the share-weighted mean of the active accounts'
    normalised service over the fleet. A lead of ``LEAD_SCALE_SECONDS`` of
    its progress and ``LEAD_SCALE_REQUESTS`` usual requests makes service
    count e-fold.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Count every account's service as it is."""
        self.mean_service: float = 0
        self._clock = clock
        self._updated_at = clock()
        self._rate: float = 0
        self._grain: float = 0
        self._standings: ServiceAndShares = {}
        self._factors: dict[str, float] = {}

    def max_lead(self, share: float) -> float:
        """Return the lead or lag beyond which the factor stays the same."""
        return math.log(MAX_FACTOR) * self.lead_scale(share)

    def factor(self, account: str) -> float:
        """Return the factor of one account."""
        return self._factors.get(account, 1)

    def record_cost(self, cost: float) -> None:
        """Learn what a request usually costs in the pool."""
        gain = COST_GAIN if self._grain else 1
        self._grain += gain * (cost - self._grain)

    def update(self, standings: ServiceAndShares) -> dict[str, float]:
        """Take the normalised service and share of the active accounts.

        Returns by how much the factor of each changed, as a ratio.
        """
        now = self._clock()
        passed = now - self._updated_at
        if passed <= 0:
            return {}
        self._learn_rate(standings, passed)
        self._updated_at = now
        self._standings = standings
        weight = sum(share for _, share in standings.values())
        if weight:
            total = sum(got * share for got, share in standings.values())
            self.mean_service = total / weight
        changes: dict[str, float] = {}
        for account, standing in standings.items():
            factor = self._factor_of(*standing)
            changes[account] = factor / self.factor(account)
            self._factors[account] = factor
        return changes

    def _learn_rate(self, standings: ServiceAndShares, passed: float) -> None:
        """Learn how fast the accounts move that were active all the time."""
        both = standings.keys() & self._standings.keys()
        weight = sum(standings[name][1] for name in both)
        if not weight:
            return
        moved = sum(
            (standings[name][0] - self._standings[name][0]) * standings[name][1]
            for name in both
        )
        rate = max(0, moved) / weight / passed
        self._rate += RATE_GAIN * (rate - self._rate)

    def _factor_of(self, got: float, share: float) -> float:
        reaction = self.lead_scale(share)
        if reaction <= 0:
            return 1
        bound = math.log(MAX_FACTOR)
        exponent = (got - self.mean_service) / reaction
        return math.exp(min(max(exponent, -bound), bound))

    def lead_scale(self, share: float) -> float:
        """Return the lead by which service counts e-fold."""
        usual = LEAD_SCALE_REQUESTS * self._grain / share
        return LEAD_SCALE_SECONDS * self._rate + usual
