"""Streams to the other entry hosts: ``links.Links`` over TCP."""

import asyncio
from collections.abc import Callable, Iterable

from sesamespoke.codec import encode
from sesamespoke.gateways import Gateways
from sesamespoke.heartbeats import Heartbeats
from sesamespoke.host_list import HostList
from sesamespoke.links import Handler, MessageT, View
from sesamespoke.membership import Membership
from sesamespoke.mesh import Mesh
from sesamespoke.messages import Message
from sesamespoke.metrics import Metrics
from sesamespoke.partners import Partners
from sesamespoke.reception import Reception
from sesamespoke.relays import Relays
from sesamespoke.routes import Routes
from sesamespoke.settings import Settings
from sesamespoke.subscribers import Subscribers
from sesamespoke.timeline import Timeline
from sesamespoke.transport import TcpTransport, Transport


class PeerStreams:
    """Messages to and from the other entry hosts, and who is there."""

    def __init__(
        self,
        cfg: Settings,
        metrics: Metrics,
        timeline: Timeline,
        transport: Transport | None = None,
    ) -> None:
        """Create streams that are not started yet."""
        self.host = cfg.host
        self.data_centre = cfg.data_centre
        self.port = 0
        self.host_list = HostList(cfg.seeds)
        incarnation = timeline.clock.now().wall_ms
        self.membership = Membership(cfg, timeline, incarnation)
        self._subscribers = Subscribers()
        self.mesh = Mesh(
            cfg,
            metrics,
            self.host_list,
            transport or TcpTransport(cfg, metrics),
        )
        self._routes = Routes(
            self.membership,
            cfg.timing.suspect_after + cfg.timing.heartbeat,
            self._subscribers.reconnected,
        )
        self.gateways = Gateways(
            cfg,
            self.membership,
            self.mesh,
            self._routes,
            timeline.clock,
        )
        self._partners = Partners(
            cfg,
            self.host_list,
            self.mesh.keepers,
            self._routes,
        )
        self._heartbeats = Heartbeats(
            cfg,
            self.membership,
            self.mesh,
            self.gateways,
            timeline.clock,
        )
        self._relays = Relays(
            self.membership,
            self.mesh,
            self.gateways,
            self._routes,
            metrics,
            self._subscribers.deliver,
        )
        self._reception = Reception(
            self.membership,
            self._routes,
            self.gateways,
            self._heartbeats,
            self._relays,
            self._subscribers,
        )
        self._interval = cfg.timing.heartbeat
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> View:
        """Return the members seen now, this host included."""
        return self.membership.view

    async def start(self) -> None:
        """Listen, and begin to open streams to the known hosts."""
        self.port = self.mesh.listen(self._reception)
        self.host_list.on_hosts(self._take_hosts)
        self.membership.on_view(self._heartbeats.watch_view)
        self.membership.on_view(self._keep_streams)
        self._take_hosts()
        self.membership.await_known()
        self._tasks = [
            asyncio.create_task(self._heartbeats.run()),
            asyncio.create_task(self._keep_partners()),
            asyncio.create_task(self.mesh.watch_keys()),
        ]

    async def stop(self) -> None:
        """Close every stream."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.mesh.stop()

    def send(self, host: str, message: Message) -> bool:
        """Queue a message; return whether the host can be reached now."""
        if host == self.host:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._subscribers.deliver, host, message)
            return True
        frame = encode(message, self.mesh.names.shorten())
        return self.mesh.write(host, frame) or self._relays.send(host, frame)

    def broadcast(self, message: Message) -> None:
        """Queue a message to every other member, encoded once."""
        self._send_all(self.view.hosts(), message)

    def broadcast_local(self, message: Message) -> None:
        """Queue a message to the other members of this data centre."""
        self._send_all(self.view.hosts(self.data_centre), message)

    def broadcast_to(self, data_centre: str, message: Message) -> bool:
        """Queue a message to all hosts of another data centre.

        It may be lost unnoticed. Returns whether there is a way to them.
        """
        frame = encode(message, self.mesh.names.shorten())
        return self._relays.spread(data_centre, frame)

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Handler[MessageT],
    ) -> None:
        """Call ``handler(sender, message)`` for messages of one kind."""
        self._subscribers.add(kind, handler)

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Call ``handler`` after each change of the view."""
        self.membership.on_view(handler)

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """Call ``handler(host)`` when the path to a host is new."""
        self._subscribers.add_reconnected(handler)

    def set_revision(self, revision: int) -> None:
        """Tell all peers the revision that is in force here."""
        self._heartbeats.revision = revision
        self._heartbeats.send_to_all()

    def set_leaving(self) -> None:
        """Tell all peers that this host is leaving."""
        self.membership.set_leaving(self.host, leaving=True)
        self._heartbeats.send_to_all()

    def reload_keys(self) -> None:
        """Look for new keys at once, not only at the next check."""
        self.mesh.check_keys.set()

    def _send_all(self, hosts: Iterable[str], message: Message) -> None:
        frame = encode(message, self.mesh.names.shorten())
        for host in hosts:
            if host != self.host and not self.mesh.write(host, frame):
                self._relays.send(host, frame)

    def _take_hosts(self) -> None:
        """Take a changed list of hosts into account."""
        self.membership.set_known(
            known.host
            for known in self.host_list.hosts.values()
            if known.data_centre == self.data_centre
        )
        self._keep_streams(self.view)

    def _keep_streams(self, view: View) -> None:
        """Keep streams to all near hosts and to some far ones."""
        now = asyncio.get_running_loop().time()
        near = frozenset(
            known.host
            for known in self.host_list.hosts.values()
            if known.data_centre == self.data_centre
        )
        far = self._partners.choose(view, now)
        self.mesh.keep((near | far) - {self.host})

    async def _keep_partners(self) -> None:
        """Choose far hosts anew at each heartbeat, until cancelled."""
        while True:
            self._keep_streams(self.view)
            await asyncio.sleep(self._interval)
