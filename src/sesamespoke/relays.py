"""Messages that travel by other hosts, in at most three hops.

A message to a far host goes to a gateway of the own data centre, to one of
the far data centre, and to the host. One to a near host whose stream is
down goes by one other near host. One for all hosts of a far data centre
travels between the two as a single message, by each gateway in turn: it is
for news that the next one replaces, since no lost one is noticed.
"""

from collections.abc import Callable
from itertools import count

from sesamespoke.codec import BadFrame, Skipped, decode, encode
from sesamespoke.gateways import Gateways
from sesamespoke.membership import Membership
from sesamespoke.membership_messages import (
    DataCentreView,
    MemberSilent,
    Probe,
    Relay,
    RouteLost,
    Spread,
)
from sesamespoke.mesh import Mesh
from sesamespoke.messages import Heartbeat, Hello, Message
from sesamespoke.metrics import Metrics
from sesamespoke.placement import place
from sesamespoke.routes import Routes

NEVER_RELAYED = (
    DataCentreView,
    Heartbeat,
    Hello,
    MemberSilent,
    Probe,
    Relay,
    RouteLost,
    Spread,
)


class Relays:
    """Sends, forwards and receives relayed messages."""

    def __init__(
        self,
        membership: Membership,
        mesh: Mesh,
        gateways: Gateways,
        routes: Routes,
        metrics: Metrics,
        deliver: Callable[[str, Message], None],
    ) -> None:
        """Relay by these streams; hand what arrives to ``deliver``."""
        self._own = membership.own.host
        self._membership = membership
        self._mesh = mesh
        self._gateways = gateways
        self._routes = routes
        self._metrics = metrics
        self._deliver = deliver
        self._turns = count()

    def send(self, host: str, frame: bytes) -> bool:
        """Send a frame to a host without a stream, if a path is known."""
        if host in self._membership.near:
            streams = (
                self._membership.near.keys() & self._mesh.connections.keys()
            )
            hop = place(host, streams)
        else:
            hop = self._routes.next_hop(host)
            hop = (
                self._gateways.choose_stream(host) if hop == self._own else hop
            )
        if hop is None:
            return False
        self._metrics.count('peer_relays', hop='first')
        return self._mesh.write(hop, encode(Relay(host, self._own, frame)))

    def receive(self, sender: str, relay: Relay) -> None:
        """Deliver a relayed message or pass it on."""
        if relay.destination == self._own:
            self._open(sender, relay)
            return
        hop = self._choose_hop(sender, relay)
        if hop is None or not self._mesh.write(hop, encode(relay)):
            self._metrics.count('peer_relays_dropped')
        else:
            self._metrics.count('peer_relays', hop='next')

    def spread(self, data_centre: str, frame: bytes) -> bool:
        """Send a frame to all hosts of a far data centre, if one is known."""
        gateways = sorted(self._routes.gateways_to(data_centre))
        if not gateways:
            return False
        spread = Spread(data_centre, self._own, frame)
        gateway = gateways[next(self._turns) % len(gateways)]
        if gateway == self._own:
            return self._cross(spread)
        return self._mesh.write(gateway, encode(spread))

    def receive_spread(self, sender: str, spread: Spread) -> None:
        """Deliver a message for a whole data centre, or pass it on."""
        near = self._membership.near
        if spread.data_centre == self._membership.own.data_centre:
            if sender not in near:
                self._mesh.write_all(near, encode(spread))
            self._open(sender, spread)
        elif sender in near and spread.source == sender:
            self._cross(spread)

    def _cross(self, spread: Spread) -> bool:
        """Send a message to one host of the data centre that it is for."""
        far = sorted(self._gateways.streams_to(spread.data_centre))
        if not far:
            self._metrics.count('peer_relays_dropped')
            return False
        self._metrics.count('peer_relays', hop='spread')
        host = far[next(self._turns) % len(far)]
        return self._mesh.write(host, encode(spread))

    def _choose_hop(self, sender: str, relay: Relay) -> str | None:
        """Return where a message goes next, or None if it must not."""
        near = self._membership.near
        if relay.destination in near:
            return relay.destination
        if sender in near and relay.source == sender:
            return self._gateways.choose_stream(relay.destination)
        return None

    def _open(self, sender: str, relay: Relay | Spread) -> None:
        """Deliver the message that a relay carries."""
        if not self._may_come_from(sender, relay.source):
            self._metrics.count('peer_refused', why='relay source')
            return
        message = decode(relay.payload, self._mesh.names)
        if isinstance(message, Skipped):
            self._metrics.count('peer_unknown_messages')
        elif isinstance(message, (BadFrame, *NEVER_RELAYED)):
            self._metrics.count('peer_bad_frames', why='relay payload')
        else:
            self._deliver(relay.source, message)

    def _may_come_from(self, sender: str, source: str) -> bool:
        """Return whether a sender may pass messages of the source on."""
        near = self._membership.near
        return sender in near or source not in {self._own, *near}
