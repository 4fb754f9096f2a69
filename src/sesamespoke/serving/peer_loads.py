"""Exchange of requests in flight and account usage between routers.

Without it, several routers that see the same shortest queue all send there,
and an account can flood the endpoints by spreading its requests over all
routers. In a fleet of few hosts, each host reports to all others. In a larger
fleet, a host reports to its data centre or, if that is large too, to the
aggregators, whose totals go to all (see ``data_centre_loads``), so that the
traffic of a host doesn't grow with the fleet. Reports are soft state: they
carry the full state where a lost message would matter, and totals, not single
events.
"""

from collections import defaultdict
from enum import Enum
from typing import Protocol

from sesamespoke.links import Links, View
from sesamespoke.messages import Message
from sesamespoke.partners import FULL_MESH_HOSTS
from sesamespoke.placement import rank_hosts
from sesamespoke.routing_messages import RouterLoads
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import LoadRow, LoadTracker
from sesamespoke.ticks import next_tick

REPORT_INTERVAL_SECONDS = 0.1
"""Interval of reports; an engine is sent a few requests in that time."""
MAX_LOCAL_BROADCAST_HOSTS = 8
"""Hosts of a data centre up to which each reports to all others: that takes
fewer messages than reports by way of aggregators."""
MAX_FLEET_BROADCAST_HOSTS = FULL_MESH_HOSTS
"""Hosts of a fleet up to which each reports to all others over direct streams:
the limit up to which each host keeps a stream to every other."""
AGGREGATORS_PER_DATA_CENTRE = 2
"""Totals still arrive while one of them is frozen or partitioned off."""
RESEND_AFTER_INTERVALS = 10
"""Intervals after which an unchanged report is sent again."""


class Broadcaster(Links, Protocol):
    """Links that can send one message to many hosts."""

    def broadcast(self, message: Message) -> None:
        """Queue a message to every other member."""

    def broadcast_local(self, message: Message) -> None:
        """Queue a message to the other members of this data centre."""

    def broadcast_to(self, data_centre: str, message: Message) -> bool:
        """Queue a message to all hosts of another data centre.

        Delivery isn't guaranteed. Returns whether there is a route to them.
        """


class Audience(Enum):
    """The hosts to which a router reports its own loads."""

    EVERYBODY = 'everybody'
    DATA_CENTRE = 'data centre'
    AGGREGATORS = 'carriers'


class Aggregators:
    """The hosts that aggregate the loads of this data centre for others."""

    def __init__(self, links: Links) -> None:
        """Derive the aggregators from the current view."""
        self._links = links
        self._view_number = -1
        self._audience = Audience.EVERYBODY
        self._hosts: tuple[str, ...] = ()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the aggregators, by rendezvous hashing over the hosts seen."""
        self._update()
        return self._hosts

    @property
    def audience(self) -> Audience:
        """Return to which hosts those of this data centre report loads."""
        self._update()
        return self._audience

    def includes_this_host(self) -> bool:
        """Return whether this host is an aggregator."""
        return self._links.host in self.hosts

    def _update(self) -> None:
        view = self._links.view
        if view.number == self._view_number:
            return
        self._view_number = view.number
        local = view.hosts(self._links.data_centre)
        self._audience = _choose_audience(len(view.members), len(local))
        # All routers have to hash with the same key to agree.
        ranked = rank_hosts('carrier', local)
        self._hosts = tuple(ranked[:AGGREGATORS_PER_DATA_CENTRE])


def _choose_audience(members: int, local_hosts: int) -> Audience:
    """Return the audience for the numbers of visible and of local hosts."""
    if members <= MAX_FLEET_BROADCAST_HOSTS:
        return Audience.EVERYBODY
    return (
        Audience.AGGREGATORS
        if local_hosts > MAX_LOCAL_BROADCAST_HOSTS
        else Audience.DATA_CENTRE
    )


class PeerLoads:
    """Sends this router's load reports, and applies those of its peers."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadTracker,
        shares: FairShares,
    ) -> None:
        """Subscribe to the reports of peers; ``run`` sends reports."""
        self.aggregators = Aggregators(links)
        self._send = {
            Audience.EVERYBODY: links.broadcast,
            Audience.DATA_CENTRE: links.broadcast_local,
            Audience.AGGREGATORS: self._send_to_aggregators,
        }
        self._links = links
        self._loads = loads
        self._shares = shares
        self._demand: defaultdict[str, float] = defaultdict(float)
        self._granted: defaultdict[str, float] = defaultdict(float)
        self._sent_rows: tuple[LoadRow, ...] | None = None
        self._sent_to: tuple[str, ...] = ()
        self._peers: frozenset[str] = frozenset()
        links.subscribe(RouterLoads, self._apply_report)
        links.on_view(self._drop_departed)

    def record_demand(self, account: str, cost: float) -> None:
        """Add to an account's demand at this router."""
        self._demand[account] += cost

    def record_grant(self, account: str, cost: float) -> None:
        """Add to the tokens granted to an account at this router."""
        self._granted[account] += cost

    async def run(self) -> None:
        """Send reports until cancelled."""
        intervals = 0
        while True:
            await next_tick(REPORT_INTERVAL_SECONDS)
            intervals += 1
            self._report(forced=intervals % RESEND_AFTER_INTERVALS == 0)

    def _report(self, *, forced: bool) -> None:
        rows = self._loads.rows()
        accounts = self._take_accounts()
        hosts = self.aggregators.hosts
        has_changed = rows != self._sent_rows or hosts != self._sent_to
        if not (has_changed or accounts or forced):
            return
        self._sent_rows = rows
        self._sent_to = hosts
        self._send[self.aggregators.audience](RouterLoads(rows, accounts))

    def _send_to_aggregators(self, message: Message) -> None:
        for host in self.aggregators.hosts:
            if host != self._links.host:
                self._links.send(host, message)

    def _take_accounts(self) -> tuple[tuple[str, int, int], ...]:
        """Return demand and grants since the last report, and reset them."""
        with_demand = tuple(
            (account, round(demand), round(self._granted.pop(account, 0)))
            for account, demand in self._demand.items()
        )
        without_demand = tuple(
            (account, 0, round(granted))
            for account, granted in self._granted.items()
        )
        self._demand.clear()
        self._granted.clear()
        return with_demand + without_demand

    def _apply_report(self, sender: str, message: RouterLoads) -> None:
        self._loads.accept_report(sender, message.endpoints)
        for account, demand, granted in message.accounts:
            if demand:
                self._shares.add_demand(account, demand)
            if granted:
                self._shares.add_usage(account, granted)

    def _drop_departed(self, view: View) -> None:
        hosts = frozenset(view.hosts())
        for host in self._peers - hosts:
            self._loads.drop_report(host)
        self._peers = hosts
