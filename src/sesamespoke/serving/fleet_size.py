"""How many routers share a bound that holds over the whole fleet.

The load it answers: routers that go on serving while they can't see one
another. A bound that is divided among them is kept only while none of them
counts too few, so a router that was there lately counts, seen or not.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from sesamespoke.links import View
from sesamespoke.serving.serving_call import Log

HOST_RETENTION_SECONDS = 600.0
"""Regions lose each other for minutes; a router that is cut off goes on."""
SCAN_INTERVAL_SECONDS = 1.0
"""How often those that are there are noted again without any change."""


class ConnectedHosts(Protocol):
    """The hosts on the peer streams; see ``links.Links``."""

    host: str

    @property
    def view(self) -> View:
        """Return the members seen now, this host included."""

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Call ``handler`` after each change of the view."""


class ListedHosts(Protocol):
    """The hosts in the platform's store; see ``host_list.HostList``."""

    @property
    def hosts(self) -> Mapping[str, object]:
        """Return the hosts by name, as they were last listed."""

    def on_hosts(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the hosts."""


class FleetSize:
    """Counts the routers, and tells when the count changes."""

    def __init__(
        self,
        links: ConnectedHosts,
        hosts: ListedHosts,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Listen to what is seen on peer streams and listed by the store."""
        self._links = links
        self._hosts = hosts
        self._clock = clock
        self._log = log
        self._is_known = False
        self._there_at: dict[str, float] = {}
        self._look_at: float = 0
        self._told: int | None = None
        links.on_view(self._watch_view)
        hosts.on_hosts(self._watch)

    def count(self) -> int | None:
        """Return how many routers may share a bound; None if not known.

        It is not known before the store has listed this host: such a list
        names all that came before it, and they see this host come.
        """
        if not self._is_known:
            return None
        if self._clock() >= self._look_at:
            self._look()
        return len(self._there_at)

    def _watch_view(self, view: View) -> None:
        self._watch()

    def _watch(self) -> None:
        self._is_known = self._is_known or self._links.host in self._hosts.hosts
        self._look()
        counted = self.count()
        if counted == self._told:
            return
        self._log(
            'routers_counted',
            counted=counted,
            before=self._told,
            seen=len(self._links.view.members),
            listed=len(self._hosts.hosts),
        )
        self._told = counted

    def _look(self) -> None:
        """Note who is there, and forget who has been gone for long."""
        now = self._clock()
        self._look_at = now + SCAN_INTERVAL_SECONDS
        there = {*self._links.view.hosts(), *self._hosts.hosts}
        self._there_at.update(dict.fromkeys(there, now))
        oldest = now - HOST_RETENTION_SECONDS
        self._there_at = {
            host: there_at
            for host, there_at in self._there_at.items()
            if there_at >= oldest
        }
