"""Routers tell each other what they have in flight and have granted.

The load they answer: several routers that see the same shortest queue and
all send there, and an account that spreads its flood over all of them.
Reports are soft state: whole where a loss would matter, and of sums.
"""

import asyncio
from collections import defaultdict
from typing import Protocol

from sesamespoke.links import Links, View
from sesamespoke.messages import RouterLoads
from sesamespoke.serving.load import LoadBook, LoadRow

REPORT_SECONDS = 0.1
"""Delay of a report; an engine is given a few requests in that time."""
REPEAT_TURNS = 10
"""An unchanged report is sent again every so many turns."""


class AccountUse(Protocol):
    """Where the use of accounts is added up."""

    def add(self, account: str, cost: float) -> None:
        """Charge an account."""


class PeerLoads:
    """Sends this router's loads, and takes those of its peers."""

    def __init__(
        self,
        links: Links,
        loads: LoadBook,
        usage: AccountUse,
    ) -> None:
        """Listen to peers; ``run`` sends."""
        self._links = links
        self._loads = loads
        self._usage = usage
        self._granted: defaultdict[str, float] = defaultdict(float)
        self._told: tuple[LoadRow, ...] = ()
        self._hosts: frozenset[str] = frozenset()
        links.subscribe(RouterLoads, self._take)
        links.on_view(self._watch_view)

    def note_grant(self, account: str, cost: float) -> None:
        """Note what an account was granted here."""
        self._granted[account] += cost

    async def run(self) -> None:
        """Send reports until cancelled."""
        turn = 0
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            turn += 1
            self._report(forced=turn % REPEAT_TURNS == 0)

    def _report(self, *, forced: bool) -> None:
        rows = self._loads.rows()
        if rows == self._told and not self._granted and not forced:
            return
        self._told = rows
        message = RouterLoads(rows, tuple(self._granted.items()))
        self._granted.clear()
        for host in self._links.view.hosts():
            if host != self._links.host:
                self._links.send(host, message)

    def _take(self, sender: str, message: RouterLoads) -> None:
        self._loads.take(sender, message.endpoints)
        for account, cost in message.granted:
            self._usage.add(account, cost)

    def _watch_view(self, view: View) -> None:
        hosts = frozenset(view.hosts())
        for host in self._hosts - hosts:
            self._loads.forget(host)
        self._hosts = hosts
