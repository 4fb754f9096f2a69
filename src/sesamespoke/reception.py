"""Takes what streams bring, and hands it to the part that handles it."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from sesamespoke.gateways import Gateways
from sesamespoke.heartbeats import Heartbeats
from sesamespoke.membership import Membership
from sesamespoke.membership_messages import (
    DataCentreView,
    MemberSilent,
    Probe,
    Relay,
    RouteLost,
    Spread,
)
from sesamespoke.messages import Heartbeat, Hello, Message
from sesamespoke.relays import Relays
from sesamespoke.routes import Routes
from sesamespoke.subscribers import Subscribers

NEAR_ONLY = (MemberSilent, RouteLost)


class Reception:
    """Implements ``mesh.MeshUser``."""

    def __init__(
        self,
        membership: Membership,
        routes: Routes,
        gateways: Gateways,
        heartbeats: Heartbeats,
        relays: Relays,
        subscribers: Subscribers,
    ) -> None:
        """Hand messages on to these."""
        self._membership = membership
        self._routes = routes
        self._gateways = gateways
        self._heartbeats = heartbeats
        self._subscribers = subscribers
        table: dict[type[Message], Callable[[str, Any], None]] = {
            Heartbeat: heartbeats.receive,
            Probe: heartbeats.answer,
            MemberSilent: heartbeats.hear_suspicion,
            DataCentreView: self._learn,
            RouteLost: self._lose,
            Relay: relays.receive,
            Spread: relays.receive_spread,
        }
        self._table = MappingProxyType(table)

    def hello(self) -> Hello:
        """Return what this host says first on each stream."""
        own = self._membership.own
        return Hello(
            own.host,
            own.data_centre,
            own.incarnation,
            self._heartbeats.revision,
        )

    def opened(self, hello: Hello) -> None:
        """Take note of a stream that has come into use."""
        if hello.data_centre == self._membership.own.data_centre:
            self._membership.join(hello)
            self._gateways.greet(hello.host)
        else:
            self._gateways.opened(hello)
        self._subscribers.deliver(hello.host, hello)
        self._subscribers.reconnected(hello.host)

    def received(self, host: str, message: Message) -> None:
        """Take a message that follows the hello."""
        is_far = self._gateways.hear(host)
        if not is_far:
            self._membership.hear(host)
        elif isinstance(message, NEAR_ONLY):
            return
        handle = self._table.get(type(message))
        if handle is not None:
            handle(host, message)
        self._subscribers.deliver(host, message)

    def closed(self, host: str) -> None:
        """Take note that the stream in use has ended."""
        if self._gateways.hear(host):
            self._gateways.closed(host)
        else:
            self._routes.lose_gateway(host)

    def refused(self, host: str) -> None:
        """Take note that nothing listens at the host's address."""
        self._membership.remove(host, 'refused')

    def _learn(self, host: str, view: DataCentreView) -> None:
        """Take a view of another data centre."""
        if self._gateways.hear(host):
            self._gateways.learn(host, view)
        elif view.data_centre != self._membership.own.data_centre:
            self._routes.learn(host, view)

    def _lose(self, host: str, lost: RouteLost) -> None:
        """Take it that a gateway has lost its way."""
        self._routes.lose(host, lost.data_centre)
