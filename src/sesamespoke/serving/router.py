"""One router of routed services: its parts, their start and their stop."""

import asyncio

import structlog
from tornado.httputil import HTTPServerRequest

from sesamespoke.answers import Answer
from sesamespoke.endpoint_connections import ConnectionPool, PoolSettings
from sesamespoke.metrics import Metrics
from sesamespoke.peers import PeerStreams
from sesamespoke.request_server import ServerSettings
from sesamespoke.serving.admission import AdmissionQueue
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.exchange import Line, WireNames
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.fleet_size import FleetSize
from sesamespoke.serving.following import Follower
from sesamespoke.serving.intake import ReadHead
from sesamespoke.serving.load_exchange import LoadExchange
from sesamespoke.serving.news import News
from sesamespoke.serving.ports import Feeds
from sesamespoke.serving.pressure import LoopPressure
from sesamespoke.serving.retry_budget import RetryShare
from sesamespoke.serving.routed_server import (
    PageServer,
    RoutedServer,
    ServerParts,
)
from sesamespoke.serving.serving_call import ServingParts
from sesamespoke.serving.settings import ServingSettings, peer_settings
from sesamespoke.serving.stopping import PlannedStop
from sesamespoke.serving.suspects import SharedSuspects
from sesamespoke.timeline import Timeline

POOL = PoolSettings(
    connect_seconds=0.4,
    max_idle_per_endpoint=4,
    unacknowledged_ms=2000,
)
"""An endpoint of the region answers in milliseconds or not at all."""
log = structlog.get_logger()


class RoutedRouter:
    """The parts of one router and the order in which they start and stop."""

    def __init__(
        self,
        cfg: ServingSettings,
        feeds: Feeds,
        names: WireNames,
        read_head: ReadHead,
    ) -> None:
        """Create the parts; call within the event loop that runs them."""
        self.cfg = cfg
        self._clock = asyncio.get_running_loop().time
        self.started_at = self._clock()
        self.metrics = Metrics(cfg.host)
        self.timeline = Timeline(cfg.host, cfg.data_centre)
        self.peers = PeerStreams(
            peer_settings(cfg), self.metrics, self.timeline
        )
        self.size = FleetSize(
            self.peers, self.peers.host_list, self._clock, log.info
        )
        self.directory = Directory(self._clock)
        self.follower = Follower(
            cfg,
            feeds,
            self.directory,
            self.peers.host_list,
            News(self.peers, self.directory),
            log.info,
        )
        self.chooser = Chooser(
            cfg.host,
            lambda: self.follower.orders.catalog,
            self.directory,
            self._clock,
            self.size.count,
            cfg.data_centre,
        )
        self._shares = FairShares(self._clock, self._token_rate)
        self._rooms: dict[str, AdmissionQueue[Reservation]] = {}
        self._loads = LoadExchange(
            self.peers,
            self.chooser.loads,
            self._shares,
            self._clock,
            log.info,
        )
        self._budgets: dict[str, RetryShare] = {}
        self.pool = ConnectionPool(POOL)
        suspects = SharedSuspects(self.peers, self.metrics, self.timeline)
        serving = ServingParts(
            Line(self.pool, names),
            self.chooser,
            self._room,
            self._budget,
            suspects,
            self.metrics,
            log.info,
        )
        self.server = RoutedServer(
            ServerSettings(
                cfg.callers,
                whole_seconds=False,
                max_connections=cfg.max_callers,
            ),
            ServerParts(
                serving,
                lambda: self.follower.orders.catalog,
                read_head,
                keeps=lambda: not (self.stop.is_asked or self.pressure.is_late),
                closed=lambda: self.stop.closed,
                lag=lambda: self.pressure.lag,
                overloaded=lambda: self.pressure.is_late,
            ),
        )
        self.stop = PlannedStop(
            cfg.stop, lambda: self.server.requests, log.info
        )
        self.pressure = LoopPressure(log.info, lambda: self.server.active)
        self.pages = (
            PageServer(cfg.ready, self._tell_ready),
            PageServer(cfg.metrics, self._tell_metrics),
        )
        self._tasks: list[asyncio.Task[None]] = []

    def take_settings(self, cfg: ServingSettings) -> None:
        """Use changed settings; addresses change only with a restart."""
        self.cfg = cfg
        for budget in self._budgets.values():
            budget.take_bounds(cfg.retries)

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        knows = self.follower.orders.catalog is not None
        return knows and not (self.stop.is_asked or self.pressure.is_late)

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        self.stop.install()
        for page in self.pages:
            page.listen()
        self.server.listen()
        await self.peers.start()
        self._tasks = [
            *self.follower.tasks(),
            *self._loads.start_tasks(),
            asyncio.create_task(self.pressure.run()),
        ]
        log.info('started', host=self.cfg.host, zone=self.cfg.data_centre)
        await self.stop.run(self.server.stop_accepting, self._close)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.close()
        self.pool.close()
        for page in self.pages:
            page.close()
        await self.peers.stop()
        log.info('stopped', host=self.cfg.host)

    def _room(self, service: str) -> AdmissionQueue[Reservation]:
        room = self._rooms.get(service)
        if room is None:
            room = AdmissionQueue(
                self._shares, self._clock, self.chooser.release
            )
            room.on_request = self._loads.record_demand
            room.on_grant = self._loads.record_grant
            self._rooms[service] = room
        return room

    def _token_rate(self) -> float:
        """Return the tokens a second that all engines are stated to do."""
        catalog = self.follower.orders.catalog
        return catalog.token_rate if catalog else 0

    def _budget(self, service: str) -> RetryShare:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryShare(
                self.cfg.retries,
                self._clock,
                self.size.count,
                self.started_at,
            )
            self._budgets[service] = budget
        return budget

    def _tell_ready(self, request: HTTPServerRequest) -> Answer:
        return Answer(200 if self.is_ready else 503, (), b'')

    def _tell_metrics(self, request: HTTPServerRequest) -> Answer:
        rows = (('Content-Type', 'text/plain; version=0.0.4'),)
        return Answer(200, rows, self.metrics.scrape())
