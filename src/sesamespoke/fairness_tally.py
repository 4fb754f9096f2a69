"""Sums of what client accounts asked and got, second by second.

The sums grow with accounts and seconds, not with requests.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

Observations = dict[int, dict[str, Counter[float]]]


@dataclass(slots=True)
class AccountSecond:
    """Tokens and requests of one account in one second.

    ``largest`` is the largest request that came, in tokens, ``hosts`` the set
    of bits of those that served the account.
    """

    asked: float = 0
    got: float = 0
    largest: float = 0
    refused: int = 0
    refused_at_once: int = 0
    late: int = 0
    server_errors: int = 0
    hosts: int = 0


@dataclass(slots=True)
class ErrorSum:
    """Attempts that an endpoint answered with 5xx, and their tokens."""

    attempts: int = 0
    tokens: float = 0


@dataclass(slots=True)
class LineCounts:
    """Lines by how far they could be used, and what they do not tell.

    ``cut`` lines begin as JSON, ``other`` ones are none. ``dropped`` lines are
    those that routers state to have left out.
    """

    read: int = 0
    cut: int = 0
    other: int = 0
    dropped: int = 0
    without_time: int = 0
    requests: int = 0
    without_objective: int = 0
    unassigned_attempts: int = 0


@dataclass(frozen=True, slots=True)
class BegunAttempt:
    """An attempt that an endpoint began; ``error`` if it answered with 5xx."""

    sent_at: float
    host: str
    endpoint: str
    error: bool


@dataclass(slots=True)
class Tally:
    """The sums over all lines read so far.

    ``observed`` holds what routers stated with the requests of the account
    ``watched``: how often each value, by second.
    """

    watched: str | None = None
    seconds: dict[str, dict[int, AccountSecond]] = field(default_factory=dict)
    errors: dict[str, ErrorSum] = field(default_factory=dict)
    observed: Observations = field(default_factory=dict)
    counts: LineCounts = field(default_factory=LineCounts)
    hosts: dict[str, int] = field(default_factory=dict)
    unassigned: dict[str, list[BegunAttempt]] = field(default_factory=dict)

    def second(self, account: str, at: float, host: str) -> AccountSecond:
        """Return the sums of an account in the second of a time."""
        by_second = self.seconds.setdefault(account, {})
        cell = by_second.setdefault(math.floor(at), AccountSecond())
        cell.hosts |= 1 << self.hosts.setdefault(host, len(self.hosts))
        return cell

    def host_names(self, bits: int) -> tuple[str, ...]:
        """Return the hosts of a set of bits."""
        return tuple(
            sorted(
                name for name, place in self.hosts.items() if bits >> place & 1
            )
        )
