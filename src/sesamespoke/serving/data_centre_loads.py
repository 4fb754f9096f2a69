"""Totals of the loads of each data centre, exchanged by aggregators.

This is designed for hundreds of routers that share few engines. Reports from
every router would arrive too late, or would cost each router all its time.
Instead, a few aggregators of each data centre know all of its routers. They
send the totals to their own hosts, where these are many, and to each other
data centre in one message. Where routers receive each other's reports
directly, those count instead of the totals.

Reachability isn't necessarily transitive. Totals name the data centres whose
totals the sender receives directly. Totals that a third data centre lacks are
forwarded to it with their age. Newer totals of a data centre replace older
ones, whichever route they took. Totals older than ``load.STALE_SECONDS`` are
ignored.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from sesamespoke.links import View
from sesamespoke.routing_messages import RouterLoads, SiteLoads
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import STALE_SECONDS, LoadTracker
from sesamespoke.serving.peer_loads import (
    AGGREGATORS_PER_DATA_CENTRE,
    Aggregators,
    Audience,
    Broadcaster,
)
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.ticks import next_tick

TOTALS_INTERVAL_SECONDS = 0.1
"""Interval of each aggregator; equal to that of the reports that it sums."""
MAX_RECEIVED_PER_SECOND = 25
"""Limit on the totals that reach a host from all aggregators, which lengthen
their interval to keep it."""
FALLBACK_INTERVAL_SECONDS = 1.0
"""Interval in a fleet where each router reports to all others: totals then
serve routers that some of the others can't reach."""
RESEND_SECONDS = 1.0
"""Unchanged totals are sent again after this time."""
SETTLE_SECONDS = 0.5
"""Time in which a new aggregator receives a report of every local host."""
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class _Totals:
    """The newest totals of a data centre.

    ``created_at`` is the time of the totals, and ``direct_at`` the time at
    which the data centre's own aggregators were last heard.
    """

    message: SiteLoads
    created_at: float
    direct_at: float


class DataCentreReports:
    """Sends the totals of this data centre, and applies those of others."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadTracker,
        shares: FairShares,
        aggregators: Aggregators,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Subscribe to aggregators; ``run`` sends totals."""
        self._links = links
        self._loads = loads
        self._shares = shares
        self._aggregators = aggregators
        self._clock = clock
        self._log = log
        self._received: dict[str, _Totals] = {}
        self._aggregator_since: float | None = None
        self._sent: SiteLoads | None = None
        self._sent_at: float = 0
        self._data_centre_of: dict[str, str] = {}
        links.subscribe(SiteLoads, self._receive)
        links.subscribe(RouterLoads, self._prefer_direct_report)
        links.on_view(self._update_hosts)

    async def run(self) -> None:
        """Send totals while this host is an aggregator, until cancelled."""
        while True:
            await next_tick(self._interval())
            self._drop_stale()
            if self._has_settled():
                self._drop_own_totals()
                self._send_totals()

    def _interval(self) -> float:
        """Return the interval between totals, in seconds."""
        if self._aggregators.audience is Audience.EVERYBODY:
            return FALLBACK_INTERVAL_SECONDS
        senders = AGGREGATORS_PER_DATA_CENTRE * len(
            set(self._data_centre_of.values())
        )
        return max(TOTALS_INTERVAL_SECONDS, senders / MAX_RECEIVED_PER_SECOND)

    def _has_settled(self) -> bool:
        """Return whether this host is an aggregator that is up to date."""
        if not self._aggregators.includes_this_host():
            self._aggregator_since = None
            return False
        now = self._clock()
        if self._aggregator_since is None:
            self._aggregator_since = now
        return now - self._aggregator_since >= SETTLE_SECONDS

    def _send_totals(self) -> None:
        own = self._links.data_centre
        message = SiteLoads(
            own,
            0,
            self._loads.sum_with(self._links.view.hosts(own)),
            self._shares.data_centre_rows(own),
            tuple(self._direct_sources()),
        )
        now = self._clock()
        if message == self._sent and now < self._sent_at + RESEND_SECONDS:
            return
        self._sent = message
        self._sent_at = now
        if self._aggregators.audience is Audience.AGGREGATORS:
            self._links.broadcast_local(message)
        for name in self._other_data_centres():
            self._links.broadcast_to(name, message)
            for missing in self._missing_totals(name):
                self._links.broadcast_to(name, missing)

    def _other_data_centres(self) -> list[str]:
        """Return the visible data centres, except this host's own."""
        names = set(self._data_centre_of.values())
        return sorted(names - {self._links.data_centre})

    def _missing_totals(self, name: str) -> Iterable[SiteLoads]:
        """Yield the totals that a data centre doesn't receive directly."""
        known = self._received.get(name)
        if known is None:
            return
        now = self._clock()
        for origin in self._direct_sources():
            if origin == name or origin in known.message.heard:
                continue
            totals = self._received[origin]
            age = round((now - totals.created_at) * MS_PER_SECOND)
            yield replace(totals.message, age_ms=age)

    def _direct_sources(self) -> list[str]:
        """Return the data centres whose aggregators reach this host."""
        oldest = self._clock() - STALE_SECONDS
        return [
            name
            for name, totals in self._received.items()
            if totals.direct_at >= oldest
        ]

    def _receive(self, sender: str, message: SiteLoads) -> None:
        name = message.data_centre
        is_own = name == self._links.data_centre
        if is_own and self._aggregators.includes_this_host():
            return
        age = message.age_ms / MS_PER_SECOND
        rows = message.endpoints
        if is_own:
            self._drop_local_reports()
            rows = self._loads.subtract_own(rows)
        else:
            self._record(sender, message, age)
        if not is_own and self._receives_reports(name):
            return
        self._loads.accept_report(_source(name), rows, age)
        self._shares.update_data_centre(
            name, message.accounts, age, is_own=is_own
        )

    def _prefer_direct_report(self, sender: str, message: RouterLoads) -> None:
        """Drop the totals of a data centre whose routers report here again.

        Totals that came while they could not would count beside the reports
        until they are stale.
        """
        name = self._data_centre_of.get(sender, self._links.data_centre)
        if name != self._links.data_centre:
            self._loads.drop_report(_source(name))

    def _record(self, sender: str, message: SiteLoads, age: float) -> None:
        """Record the totals of another data centre, if they are the newest."""
        now = self._clock()
        totals = self._received.get(message.data_centre)
        direct_at = totals.direct_at if totals else float('-inf')
        if totals is None:
            self._log(
                'data_centre_heard',
                name=message.data_centre,
                by=sender,
                age_ms=message.age_ms,
            )
        if self._data_centre_of.get(sender) == message.data_centre:
            direct_at = now
        if totals is None or totals.created_at <= now - age:
            totals = _Totals(message, now - age, direct_at)
        self._received[message.data_centre] = replace(
            totals, direct_at=direct_at
        )

    def _update_hosts(self, view: View) -> None:
        self._data_centre_of = {
            member.host: member.data_centre for member in view.members
        }

    def _receives_reports(self, data_centre: str) -> bool:
        """Return whether a data centre's routers report to this one."""
        return any(
            name == data_centre and self._loads.has_recent_report(host)
            for host, name in self._data_centre_of.items()
        )

    def _drop_own_totals(self) -> None:
        """Drop this data centre's totals: each of its hosts reports here."""
        self._loads.drop_report(_source(self._links.data_centre))

    def _drop_local_reports(self) -> None:
        """Drop the reports of local hosts, which the totals include."""
        for host in self._links.view.hosts(self._links.data_centre):
            self._loads.drop_report(host)

    def _drop_stale(self) -> None:
        oldest = self._clock() - STALE_SECONDS
        for name, totals in tuple(self._received.items()):
            if totals.created_at < oldest:
                del self._received[name]
                self._log('data_centre_unheard', name=name)


def _source(data_centre: str) -> str:
    """Return the key of a data centre's totals among the load reports."""
    return f'data centre {data_centre}'
