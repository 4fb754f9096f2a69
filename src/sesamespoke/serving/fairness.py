"""What accounts were given of late, and how much room each may still take.

The load it answers: two accounts that ask for more than their share, one
through a single router and one through all of them. Every router fills what
room it sees, so that the second would get several times as much. While
another account waits anywhere that was given less, an account finds room
only up to a lower fill of each endpoint, the lower the more it is ahead; the
rest is left to the other.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

USAGE_SECONDS = 4.0
"""The time in which an account's past use loses its weight (1/e)."""
AHEAD_FACTOR = 1.25
"""How much more than another an account may have been given."""
AHEAD_SLACK = 10_000.0
"""Tokens by which it may be ahead in any case: one large request."""
MIN_ROOM = 0.05
"""The fill of endpoints that is left to the account that is most ahead: an
idle endpoint serves anybody."""
WAITING_SECONDS = 0.5
"""How long a peer's report of who waits counts."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    at: float
    accounts: frozenset[str]


class FairShares:
    """The use of each account, and the accounts that wait for more."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any use."""
        self._clock = clock
        self._spent: dict[str, tuple[float, float]] = {}
        self._waiting: dict[str, _Waiting] = {}

    def used(self, account: str) -> float:
        """Return an account's use in tokens, faded to now."""
        amount, at = self._spent.get(account, (0, 0))
        if not amount:
            return 0
        return amount * math.exp((at - self._clock()) / USAGE_SECONDS)

    def add(self, account: str, cost: float) -> None:
        """Charge an account."""
        self._spent[account] = (self.used(account) + cost, self._clock())

    def set_waiting(self, host: str, accounts: Iterable[str]) -> None:
        """Take note of the accounts that wait at a router."""
        self._waiting[host] = _Waiting(self._clock(), frozenset(accounts))

    def forget(self, host: str) -> None:
        """Drop what a router has told that has gone."""
        self._waiting.pop(host, None)

    def room(self, account: str) -> float:
        """Return the fill of endpoints that an account may use, up to 1."""
        oldest = self._clock() - WAITING_SECONDS
        others = {
            other
            for told in self._waiting.values()
            if told.at >= oldest
            for other in told.accounts
        }
        others.discard(account)
        if not others:
            return 1
        least = min(map(self.used, others))
        ahead = least * AHEAD_FACTOR + AHEAD_SLACK
        used = self.used(account)
        if used <= ahead:
            return 1
        return max(MIN_ROOM, (ahead / used) ** 2)
