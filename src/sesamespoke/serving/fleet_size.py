"""How many routers share a limit that applies to the whole fleet.

Routers keep serving while they can't reach each other. A limit that is
divided among them holds only as long as no router undercounts the fleet, so
a router that was present recently still counts after it becomes unreachable.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from sesamespoke.links import View
from sesamespoke.serving.serving_dependencies import Log

HOST_RETENTION_SECONDS = 600.0
"""How long an absent host still counts. Regions can be partitioned from each
other for minutes, and a router that is cut off keeps serving."""
SCAN_INTERVAL_SECONDS = 1.0
"""How often the present hosts are recorded again without any change."""


class ConnectedHosts(Protocol):
    """The hosts connected by peer streams; see ``links.Links``."""

    host: str

    @property
    def view(self) -> View:
        """Return the current members, this host included."""

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
    """Counts the routers and logs each change of the count."""

    def __init__(
        self,
        links: ConnectedHosts,
        hosts: ListedHosts,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Subscribe to changes of the connected and the listed hosts."""
        self._links = links
        self._hosts = hosts
        self._clock = clock
        self._log = log
        self._is_known = False
        self._last_seen: dict[str, float] = {}
        self._next_scan_at: float = 0
        self._logged_count: int | None = None
        self._hosts_seen: frozenset[str] = frozenset()
        links.on_view(self._on_view)
        hosts.on_hosts(self._update)

    def count(self) -> int | None:
        """Return how many routers may share a limit; None if unknown.

        The count is unknown until the store has listed this host. Such a
        list names all hosts that registered earlier, and those see this host
        appear in their own lists.
        """
        if not self._is_known:
            return None
        if self._clock() >= self._next_scan_at:
            self._scan()
        return len(self._last_seen)

    def known_hosts(self) -> frozenset[str] | None:
        """Return the routers that may share a limit; None if unknown.

        The same object is returned until they change.
        """
        return None if self.count() is None else self._hosts_seen

    def _on_view(self, view: View) -> None:
        self._update()

    def _update(self) -> None:
        self._is_known = self._is_known or self._links.host in self._hosts.hosts
        self._scan()
        counted = self.count()
        if counted == self._logged_count:
            return
        self._log(
            'routers_counted',
            counted=counted,
            before=self._logged_count,
            seen=len(self._links.view.members),
            listed=len(self._hosts.hosts),
        )
        self._logged_count = counted

    def _scan(self) -> None:
        """Record the present hosts and drop those absent for too long."""
        now = self._clock()
        self._next_scan_at = now + SCAN_INTERVAL_SECONDS
        present = {*self._links.view.hosts(), *self._hosts.hosts}
        self._last_seen.update(dict.fromkeys(present, now))
        oldest = now - HOST_RETENTION_SECONDS
        self._last_seen = {
            host: seen_at
            for host, seen_at in self._last_seen.items()
            if seen_at >= oldest
        }
        if self._last_seen.keys() != self._hosts_seen:
            self._hosts_seen = frozenset(self._last_seen)
