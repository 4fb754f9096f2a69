"""Shares what answers tell of endpoints among all routers."""

import asyncio

from sesamespoke.metrics import Metrics
from sesamespoke.serving.chooser import Chooser
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.leaving_endpoints import LeavingEndpoints
from sesamespoke.serving.limit_sharing import LimitSharing
from sesamespoke.serving.outlier_sharing import OutlierSharing
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.serving_dependencies import Log


class EndpointNotices:
    """Connects the notices on endpoints to other routers.

    ``note_leaving`` is called when an endpoint says that it leaves.
    """

    def __init__(
        self,
        links: Broadcaster,
        directory: Directory,
        chooser: Chooser,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Subscribe to what other routers tell."""
        LimitSharing(links, chooser.limits, metrics, log)
        self._outliers = OutlierSharing(links, chooser.outliers, metrics, log)
        self.note_leaving = LeavingEndpoints(
            links, directory, metrics, log
        ).note

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the task that sends reports, and return it."""
        return [asyncio.create_task(self._outliers.run())]
