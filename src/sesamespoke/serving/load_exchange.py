"""All that one router tells others of loads, and hears from them."""

import asyncio
from collections.abc import Callable

from sesamespoke.serving.data_centre_loads import DataCentreReports
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import LoadBook
from sesamespoke.serving.peer_loads import Broadcaster, PeerLoads
from sesamespoke.serving.serving_call import Log


class LoadExchange:
    """The reports of this router, and the sums of data centres."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadBook,
        shares: FairShares,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Listen to others; nothing is sent before ``tasks``."""
        self._near = PeerLoads(links, loads, shares)
        self._sites = DataCentreReports(
            links, loads, shares, self._near.aggregators, clock, log
        )
        self.record_demand = self._near.record_demand
        self.record_grant = self._near.record_grant

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start to send; return the tasks."""
        loops = (self._near.run(), self._sites.run())
        return [asyncio.create_task(loop) for loop in loops]
