"""Messages that carry totals of metered cost between hosts."""

from dataclasses import dataclass

HostRow = tuple[str, float, float]
FleetRow = tuple[str, float, float, bool]


@dataclass(frozen=True, slots=True)
class SettledCounts:
    """A host's totals of metered cost, sent to the shard of the accounts.

    ``rows``: account, total since ``source`` started, cost outstanding.
    ``waiting`` names the accounts with unmet demand at the host, for which
    it requests the totals of other hosts.
    """

    pool: str
    source: str
    rows: tuple[HostRow, ...]
    waiting: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SiteCounts:
    """A data centre's totals, sent to the same shard in another one.

    ``rows`` have the format of ``SettledCounts.rows``. ``wanted`` names the
    accounts with waiting requests in the sender's data centre.
    """

    pool: str
    source: str
    rows: tuple[HostRow, ...]
    wanted: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """The totals of all other hosts, sent to a host with waiting accounts.

    ``rows``: account, total, cost outstanding, whether it is active.
    """

    pool: str
    source: str
    rows: tuple[FleetRow, ...]


@dataclass(frozen=True, slots=True)
class VirtualTimesQuery:
    """Request of a new dispatcher for another one's fleet service."""

    pool: str


@dataclass(frozen=True, slots=True)
class VirtualTimes:
    """The reply: rows of account and normalised service, least first."""

    pool: str
    rows: tuple[tuple[str, float], ...]


LedgerMessage = (
    SettledCounts | SiteCounts | FleetCounts | VirtualTimesQuery | VirtualTimes
)
