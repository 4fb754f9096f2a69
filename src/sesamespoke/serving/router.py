"""The router of routed services: its components, their start and stop."""

import asyncio

import structlog

from sesamespoke.endpoint_connections import ConnectionPool, PoolSettings
from sesamespoke.metrics import Metrics
from sesamespoke.peers import PeerStreams
from sesamespoke.request_server import ServerSettings
from sesamespoke.serving.admission import AdmissionQueue
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.crash_tracker import (
    CrashTrackerDependencies,
    SharedCrashTracker,
)
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.endpoint_notices import EndpointNotices
from sesamespoke.serving.exchange import ExchangeContext, HeaderNames
from sesamespoke.serving.fleet_size import FleetSize
from sesamespoke.serving.graceful_shutdown import GracefulShutdown
from sesamespoke.serving.intake import ReadHead
from sesamespoke.serving.load_exchange import LoadExchange
from sesamespoke.serving.loop_lag import LoopLagMonitor
from sesamespoke.serving.platform_interface import Feeds
from sesamespoke.serving.platform_sync import PlatformSync
from sesamespoke.serving.retry_budget import WindowedRetryBudget
from sesamespoke.serving.rollouts import RolloutDependencies, open_rollouts
from sesamespoke.serving.routed_server import (
    RoutedServer,
    ServerDependencies,
)
from sesamespoke.serving.serving_dependencies import ServingDependencies
from sesamespoke.serving.settings import ServingSettings, peer_settings
from sesamespoke.serving.status_pages import open_pages
from sesamespoke.serving.stream_versions import (
    SharedStreamVersions,
    open_stream_versions,
)
from sesamespoke.timeline import Timeline

POOL_SETTINGS = PoolSettings(
    connect_seconds=0.4,
    max_idle_per_endpoint=4,
    unacknowledged_ms=2000,
)
"""The timeouts are short because an endpoint of the same region answers
within milliseconds or not at all."""
log = structlog.get_logger()


class RoutedRouter:
    """Creates a router's components, and starts and stops them in order."""

    def __init__(
        self,
        cfg: ServingSettings,
        feeds: Feeds,
        names: HeaderNames,
        read_head: ReadHead,
    ) -> None:
        """Create the components, within the event loop that runs them."""
        self.cfg = cfg
        self._clock = asyncio.get_running_loop().time
        self.started_at = self._clock()
        self.metrics = Metrics(cfg.host)
        self.timeline = Timeline(cfg.host, cfg.data_centre)
        self.peers = PeerStreams(
            peer_settings(cfg), self.metrics, self.timeline
        )
        self.fleet_size = FleetSize(
            self.peers, self.peers.host_list, self._clock, log.info
        )
        feeds.store.era.report_to(self.metrics, log.info)
        self.directory = Directory(self._clock)
        self.platform_sync = PlatformSync(
            cfg,
            feeds,
            self.directory,
            self.peers,
            self.peers.host_list,
            log.info,
        )
        self.chooser = Chooser(
            cfg.host,
            lambda: self.platform_sync.operator_config.catalog,
            self.directory,
            self._clock,
            self.fleet_size.known_hosts,
            cfg.data_centre,
        )
        self._admission_queues: dict[str, AdmissionQueue[Reservation]] = {}
        self._loads = LoadExchange(
            self.peers,
            self.chooser.loads,
            self._clock,
            log.info,
            self._token_rate,
        )
        self._retry_budgets: dict[str, WindowedRetryBudget] = {}
        self.pool = ConnectionPool(POOL_SETTINGS)
        self._crash_tracker = SharedCrashTracker(
            CrashTrackerDependencies(
                self.peers,
                self.metrics,
                self._clock,
                log.info,
                feeds.store,
            )
        )
        self._stream_versions = self._follow_versions(feeds)
        self._rollouts = open_rollouts(
            cfg.rollouts,
            RolloutDependencies(
                self.peers,
                self.directory,
                feeds,
                self.chooser.loads,
                self._clock,
                self.metrics,
                log.info,
            ),
        )
        self.platform_sync.on_rollout = self._rollouts.apply
        self._notices = EndpointNotices(
            self.peers,
            self.directory,
            self.chooser,
            self.metrics,
            log.info,
        )
        serving = ServingDependencies(
            ExchangeContext(self.pool, names),
            self.chooser,
            self._admission_queue,
            self._retry_budget,
            self._crash_tracker,
            self._stream_versions,
            self._rollouts.allowed,
            self._notices.note_leaving,
            self.metrics,
            log.info,
        )
        self.server = RoutedServer(
            ServerSettings(
                cfg.callers,
                whole_seconds=False,
                max_connections=cfg.max_callers,
                body_memory=cfg.body_memory,
            ),
            ServerDependencies(
                serving,
                lambda: self.platform_sync.operator_config.catalog,
                read_head,
                keeps_connections=lambda: (
                    not (self.stop.has_begun or self.pressure.is_overloaded)
                ),
                closed=lambda: self.stop.rejects_requests,
                lag=lambda: self.pressure.lag,
                overloaded=lambda: self.pressure.is_overloaded,
            ),
        )
        self.stop = GracefulShutdown(
            cfg.stop, lambda: self.server.requests, log.info
        )
        self.pressure = LoopLagMonitor(log.info, lambda: self.server.active)
        self.pages = open_pages(cfg, lambda: self.is_ready, self.metrics.scrape)
        self._tasks: list[asyncio.Task[None]] = []

    def apply_settings(self, cfg: ServingSettings) -> None:
        """Apply changed settings; addresses change only on a restart."""
        self.cfg = cfg
        for budget in self._retry_budgets.values():
            budget.update_bounds(cfg.retries)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this host."""
        is_configured = self.platform_sync.operator_config.catalog is not None
        return is_configured and not (
            self.stop.has_begun or self.pressure.is_overloaded
        )

    async def run(self) -> None:
        """Serve requests until a planned stop has finished."""
        self.stop.install()
        for page in self.pages:
            page.listen()
        self.server.listen()
        await self.peers.start()
        self._tasks = [
            *self.platform_sync.start_tasks(),
            *self._loads.start_tasks(),
            *self._stream_versions.start_tasks(),
            *self._rollouts.start_tasks(),
            *self._notices.start_tasks(),
            asyncio.create_task(self.pressure.run()),
            asyncio.create_task(self._crash_tracker.keep_records()),
        ]
        log.info('started', host=self.cfg.host, zone=self.cfg.data_centre)
        await self.stop.run(self.server.stop_accepting, self._close)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.close()
        self._crash_tracker.close()
        self.pool.close()
        for page in self.pages:
            page.close()
        await self.peers.stop()
        log.info('stopped', host=self.cfg.host)

    def _admission_queue(self, service: str) -> AdmissionQueue[Reservation]:
        queue = self._admission_queues.get(service)
        if queue is None:
            queue = AdmissionQueue(
                self._loads.shares, self._clock, self.chooser.release
            )
            queue.on_request = self._loads.record_demand
            queue.on_grant = self._loads.record_grant
            self._admission_queues[service] = queue
        return queue

    def _follow_versions(self, feeds: Feeds) -> SharedStreamVersions:
        return open_stream_versions(
            self.cfg,
            feeds.store,
            self.directory,
            lambda: self.platform_sync.operator_config.catalog,
            self.fleet_size.count,
            log.info,
        )

    def _token_rate(self) -> float:
        """Return the configured capacity of all engines in tokens/s."""
        catalog = self.platform_sync.operator_config.catalog
        return catalog.token_rate if catalog else 0

    def _retry_budget(self, service: str) -> WindowedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self.cfg.retries,
                self._clock,
                self.fleet_size.count,
                self.started_at,
            )
            self._retry_budgets[service] = budget
        return budget
