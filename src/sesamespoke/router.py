"""One router: every part of an entry host's process, put together."""

import asyncio

from sesamespoke.admin import AdminServer
from sesamespoke.callers import CallerParts, CallerServer
from sesamespoke.claims import Claims
from sesamespoke.host_list_poll import HostListPoll
from sesamespoke.metrics import Metrics
from sesamespoke.part_quarantine import (
    PartQuarantine,
    PartQuarantineDependencies,
)
from sesamespoke.peers import PeerStreams
from sesamespoke.quarantine import Quarantine
from sesamespoke.queues import RequestQueues
from sesamespoke.roles import DispatchRoles
from sesamespoke.rollout import Rollout
from sesamespoke.router_views import admin_sources
from sesamespoke.settings import Settings
from sesamespoke.shutdown import Shutdown, ShutdownSteps
from sesamespoke.store_etcd import EtcdStore
from sesamespoke.timeline import Timeline
from sesamespoke.world import Revision


class Router:
    """The parts of one router and the order in which they start and stop."""

    def __init__(self, cfg: Settings) -> None:
        """Create the parts; call within the event loop that runs them."""
        self.cfg = cfg
        self.metrics = Metrics(cfg.host)
        self.timeline = Timeline(cfg.host, cfg.data_centre)
        self.store = EtcdStore(cfg.store)
        self.peers = PeerStreams(cfg, self.metrics, self.timeline)
        self.rollout = Rollout(
            cfg,
            self.store,
            self.peers,
            self.metrics,
            self.timeline,
        )
        self.claims = Claims(
            cfg,
            self.peers,
            self.store,
            self.metrics,
            self.timeline,
        )
        self.queues = RequestQueues(cfg, self.peers, self.metrics)
        self.roles = DispatchRoles(cfg, self.peers, self.metrics, self.timeline)
        self.quarantine = Quarantine(self.peers, self.metrics, self.timeline)
        self.part_quarantine = PartQuarantine(
            PartQuarantineDependencies(
                self.peers,
                self.metrics,
                asyncio.get_running_loop().time,
                lambda event, /, **facts: self.timeline.record(event, **facts),
            )
        )
        self.callers = CallerServer(cfg, self._caller_parts())
        self.shutdown = Shutdown(
            self._shutdown_steps(),
            self.timeline,
            cfg.drain_seconds,
        )
        self.admin = AdminServer(
            cfg,
            self.rollout,
            self.peers,
            admin_sources(self),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def caller_url(self) -> str:
        """Return the URL that callers use, once it listens."""
        ip, port = self.cfg.callers.ip, self.callers.port
        return f'http://{ip}:{port}'

    @property
    def admin_url(self) -> str:
        """Return the URL of the administration API, once it listens."""
        return self.admin.url

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        asked = self.shutdown.is_asked
        return self.rollout.current is not None and not asked

    async def start(self) -> None:
        """Start every part; callers are let in last."""
        self.rollout.on_change(self._put_in_force)
        self.peers.host_list.on_leaving_endpoints(self.roles.set_leaving)
        await self.peers.start()
        await self.rollout.start()
        listing = HostListPoll(self.cfg, self.peers.host_list, self.metrics)
        self._tasks = [
            asyncio.create_task(listing.run()),
            asyncio.create_task(self.queues.run()),
            asyncio.create_task(self.roles.run()),
        ]
        self.claims.start()
        self.admin.listen()
        self.callers.listen()
        self.timeline.record('router.started', host=self.cfg.host)

    async def stop(self) -> None:
        """Stop every part at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.close()
        self.part_quarantine.close()
        await self.admin.close()
        await self.claims.stop()
        await self.rollout.stop()
        await self.peers.stop()
        self.metrics.close()

    def _shutdown_steps(self) -> ShutdownSteps:
        return ShutdownSteps(
            set_unready=lambda: self.metrics.count('shutdowns'),
            set_leaving=self.peers.set_leaving,
            requests=lambda: self.callers.requests,
            stop_accepting=self.callers.stop_accepting,
            stop=self.stop,
        )

    def _caller_parts(self) -> CallerParts:
        return CallerParts(
            revision=lambda: self.rollout.current,
            slots=self.queues,
            claims=self.claims,
            metrics=self.metrics,
            timeline=self.timeline,
            quarantine=self.quarantine,
            part_quarantine=self.part_quarantine,
            ready=lambda: self.is_ready,
        )

    def _put_in_force(self, revision: Revision) -> None:
        self.queues.set_revision(revision)
        self.roles.set_revision(revision)
        self.peers.mesh.names.put_in_force(revision.document)
        self.peers.set_revision(revision.number)
