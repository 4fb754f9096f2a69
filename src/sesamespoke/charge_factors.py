"""Factors that correct a host's fair queueing for service in the fleet.

The service that other hosts have given is known with a delay. If accounts
were ordered by it directly, every host would serve the same account until
the next update arrives, and then none would. Instead, each host orders
accounts by the service that it gave itself, and charges more for an account
that is ahead of the fleet's mean and less for one that is behind it. The
correction is smooth and bounded, so that no account starves.
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
    """The factor by which each account's service is charged.

    ``mean_service`` is the share-weighted mean of the active accounts'
    normalised service over the fleet. The factor is e for a lead of
    ``LEAD_SCALE_SECONDS`` of the mean's progress plus the normalised cost
    of ``LEAD_SCALE_REQUESTS`` average requests.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a factor of 1 for every account."""
        self.mean_service: float = 0
        self._clock = clock
        self._updated_at = clock()
        self._rate: float = 0
        self._mean_cost: float = 0
        self._standings: ServiceAndShares = {}
        self._factors: dict[str, float] = {}

    def max_lead(self, share: float) -> float:
        """Return the lead or lag at which the factor reaches its bound."""
        return math.log(MAX_FACTOR) * self.lead_scale(share)

    def factor(self, account: str) -> float:
        """Return the factor of an account, 1 if it is unknown."""
        return self._factors.get(account, 1)

    def record_cost(self, cost: float) -> None:
        """Update the moving average of the cost of a request in the pool."""
        gain = COST_GAIN if self._mean_cost else 1
        self._mean_cost += gain * (cost - self._mean_cost)

    def update(self, standings: ServiceAndShares) -> dict[str, float]:
        """Update the factors of the active accounts.

        ``standings`` maps each account to its normalised service and its
        share. Returns the ratio of each account's new factor to its old.
        """
        now = self._clock()
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return {}
        self._update_rate(standings, elapsed)
        self._updated_at = now
        self._standings = standings
        weight = sum(share for _, share in standings.values())
        if weight:
            total = sum(
                service * share for service, share in standings.values()
            )
            self.mean_service = total / weight
        changes: dict[str, float] = {}
        for account, standing in standings.items():
            factor = self._factor_for(*standing)
            changes[account] = factor / self.factor(account)
            self._factors[account] = factor
        return changes

    def _update_rate(self, standings: ServiceAndShares, elapsed: float) -> None:
        """Update the mean's rate from accounts active at both updates."""
        both = standings.keys() & self._standings.keys()
        weight = sum(standings[name][1] for name in both)
        if not weight:
            return
        moved = sum(
            (standings[name][0] - self._standings[name][0]) * standings[name][1]
            for name in both
        )
        rate = max(0, moved) / weight / elapsed
        self._rate += RATE_GAIN * (rate - self._rate)

    def _factor_for(self, service: float, share: float) -> float:
        scale = self.lead_scale(share)
        if scale <= 0:
            return 1
        bound = math.log(MAX_FACTOR)
        exponent = (service - self.mean_service) / scale
        return math.exp(min(max(exponent, -bound), bound))

    def lead_scale(self, share: float) -> float:
        """Return the lead at which the factor is e."""
        request_cost = LEAD_SCALE_REQUESTS * self._mean_cost / share
        return LEAD_SCALE_SECONDS * self._rate + request_cost
