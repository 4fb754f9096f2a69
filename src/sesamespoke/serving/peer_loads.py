"""Routers tell each other what they have in flight and have granted.

The load they answer: several routers that see the same shortest queue and
all send there, and an account that spreads its flood over all of them. In a
fleet of few hosts each tells all others. In a larger one each tells its data
centre, or where that is large too, the carriers, whose sums go to all (see
``site_loads``): what a host sends and takes does not grow with the fleet.
Reports are soft state: whole where a loss would matter, and of sums.
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
from sesamespoke.serving.load import LoadBook, LoadRow
from sesamespoke.ticks import next_tick

REPORT_INTERVAL_SECONDS = 0.1
"""Delay of a report; an engine is given a few requests in that time."""
MAX_LOCAL_BROADCAST_HOSTS = 8
"""Hosts of a data centre that tell each other directly: up to so many, that
takes fewer messages than a way by carriers."""
MAX_FLEET_BROADCAST_HOSTS = FULL_MESH_HOSTS
"""Hosts of a fleet that tell each other directly, each by its own stream."""
AGGREGATORS_PER_DATA_CENTRE = 2
"""One may be frozen or cut off, and sums still come."""
RESEND_AFTER_INTERVALS = 10
"""An unchanged report is sent again every so many turns."""


class Broadcaster(Links, Protocol):
    """Links that send one message to many."""

    def broadcast(self, message: Message) -> None:
        """Queue a message to every other member."""

    def broadcast_near(self, message: Message) -> None:
        """Queue a message to the other members of this data centre."""

    def spread(self, data_centre: str, message: Message) -> bool:
        """Queue a message to all hosts of another data centre.

        It may be lost unnoticed. Returns whether there is a way to them.
        """


class Audience(Enum):
    """Whom a router tells its own loads."""

    EVERYBODY = 'everybody'
    DATA_CENTRE = 'data centre'
    AGGREGATORS = 'carriers'


class Aggregators:
    """Which hosts of the own data centre carry sums for all."""

    def __init__(self, links: Links) -> None:
        """Follow the view of who is there."""
        self._links = links
        self._number = -1
        self._audience = Audience.EVERYBODY
        self._hosts: tuple[str, ...] = ()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the carriers, by rendezvous over the hosts seen now."""
        self._look()
        return self._hosts

    @property
    def audience(self) -> Audience:
        """Return whom the hosts of this data centre tell their loads."""
        self._look()
        return self._audience

    def includes_this_host(self) -> bool:
        """Return whether this host is a carrier."""
        return self._links.host in self.hosts

    def _look(self) -> None:
        view = self._links.view
        if view.number == self._number:
            return
        self._number = view.number
        near = view.hosts(self._links.data_centre)
        self._audience = _choose_audience(len(view.members), len(near))
        ranked = rank_hosts('carrier', near)
        self._hosts = tuple(ranked[:AGGREGATORS_PER_DATA_CENTRE])


def _choose_audience(members: int, near: int) -> Audience:
    """Return whom routers tell, by the hosts seen and those of them near."""
    if members <= MAX_FLEET_BROADCAST_HOSTS:
        return Audience.EVERYBODY
    return (
        Audience.AGGREGATORS
        if near > MAX_LOCAL_BROADCAST_HOSTS
        else Audience.DATA_CENTRE
    )


class PeerLoads:
    """Sends this router's loads, and takes those of its peers."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadBook,
        shares: FairShares,
    ) -> None:
        """Listen to peers; ``run`` sends."""
        self.aggregators = Aggregators(links)
        self._send = {
            Audience.EVERYBODY: links.broadcast,
            Audience.DATA_CENTRE: links.broadcast_near,
            Audience.AGGREGATORS: self._send_to_carriers,
        }
        self._links = links
        self._loads = loads
        self._shares = shares
        self._asked: defaultdict[str, float] = defaultdict(float)
        self._granted: defaultdict[str, float] = defaultdict(float)
        self._told: tuple[LoadRow, ...] | None = None
        self._told_hosts: tuple[str, ...] = ()
        self._hosts: frozenset[str] = frozenset()
        links.subscribe(RouterLoads, self._take)
        links.on_view(self._watch_view)

    def record_demand(self, account: str, cost: float) -> None:
        """Note what an account asked for here."""
        self._asked[account] += cost

    def record_grant(self, account: str, cost: float) -> None:
        """Note what an account was granted here."""
        self._granted[account] += cost

    async def run(self) -> None:
        """Send reports until cancelled."""
        turn = 0
        while True:
            await next_tick(REPORT_INTERVAL_SECONDS)
            turn += 1
            self._report(forced=turn % RESEND_AFTER_INTERVALS == 0)

    def _report(self, *, forced: bool) -> None:
        rows = self._loads.rows()
        accounts = self._take_accounts()
        hosts = self.aggregators.hosts
        is_news = rows != self._told or hosts != self._told_hosts
        if not (is_news or accounts or forced):
            return
        self._told = rows
        self._told_hosts = hosts
        self._send[self.aggregators.audience](RouterLoads(rows, accounts))

    def _send_to_carriers(self, message: Message) -> None:
        for host in self.aggregators.hosts:
            if host != self._links.host:
                self._links.send(host, message)

    def _take_accounts(self) -> tuple[tuple[str, int, int], ...]:
        """Return what accounts asked and got since the last report."""
        rows = tuple(
            (account, round(asked), round(self._granted.pop(account, 0)))
            for account, asked in self._asked.items()
        )
        later = tuple(
            (account, 0, round(granted))
            for account, granted in self._granted.items()
        )
        self._asked.clear()
        self._granted.clear()
        return rows + later

    def _take(self, sender: str, message: RouterLoads) -> None:
        self._loads.take(sender, message.endpoints)
        for account, asked, granted in message.accounts:
            if asked:
                self._shares.add_demand(account, asked)
            if granted:
                self._shares.add_usage(account, granted)

    def _watch_view(self, view: View) -> None:
        hosts = frozenset(view.hosts())
        for host in self._hosts - hosts:
            self._loads.forget(host)
        self._hosts = hosts
