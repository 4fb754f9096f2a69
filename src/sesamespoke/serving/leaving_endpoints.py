"""Shares which endpoints have said in an answer that they are leaving.

The list of endpoints may tell it later, or not at all.
"""

from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.routing_messages import EndpointLeaves
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.serving_dependencies import Log


class LeavingEndpoints:
    """Tells other routers of leaving endpoints, and hears of theirs."""

    def __init__(
        self,
        links: Broadcaster,
        directory: Directory,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Subscribe to what other routers have heard."""
        self._links: Links = links
        self._broadcast = links.broadcast
        self._directory = directory
        self._metrics = metrics
        self._log = log
        links.subscribe(EndpointLeaves, self._hear)
        links.on_reconnected(self._send_all)

    def note(self, endpoint: ListedEndpoint) -> None:
        """Send nothing more to an endpoint that has said that it leaves."""
        if self._add(endpoint.name, endpoint.born, self._links.host):
            self._broadcast(EndpointLeaves(endpoint.name, endpoint.born))

    def _add(self, name: str, born: int, heard_by: str) -> bool:
        is_new = self._directory.note_leaving(name, born)
        if is_new:
            self._metrics.count('endpoints_leaving')
            self._log('endpoint_said_leaving', endpoint=name, heard_by=heard_by)
        return is_new

    def _hear(self, sender: str, message: EndpointLeaves) -> None:
        self._add(message.endpoint, message.born, sender)

    def _send_all(self, host: str) -> None:
        for name, born in self._directory.said_leaving():
            self._links.send(host, EndpointLeaves(name, born))
