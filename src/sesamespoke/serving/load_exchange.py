"""Exchange of load reports with other routers."""

import asyncio
from collections.abc import Callable

from sesamespoke.serving.data_centre_loads import DataCentreReports
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import LoadTracker
from sesamespoke.serving.peer_loads import Broadcaster, PeerLoads
from sesamespoke.serving.serving_dependencies import Log


class LoadExchange:
    """Load reports of single routers, and totals of data centres."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadTracker,
        clock: Callable[[], float],
        log: Log,
        capacity: Callable[[], float],
    ) -> None:
        """Subscribe to reports; none are sent before ``start_tasks``.

        ``capacity`` returns that of all engines, in tokens per second.
        """
        shares = FairShares(clock, capacity)
        self.shares = shares
        self._routers = PeerLoads(links, loads, shares)
        self._data_centres = DataCentreReports(
            links, loads, shares, self._routers.aggregators, clock, log
        )
        self.record_demand = self._routers.record_demand
        self.record_grant = self._routers.record_grant

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the tasks that send reports, and return them."""
        senders = (self._routers.run(), self._data_centres.run())
        return [asyncio.create_task(sender) for sender in senders]
