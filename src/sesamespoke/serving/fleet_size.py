"""How many routers share a bound that holds over the whole fleet.

The load it answers: a bound that is divided among routers is kept only while
none of them counts too few. A router counts the others that it sees on its
peer streams and those that the platform's store lists.
"""

from sesamespoke.host_list import HostList
from sesamespoke.links import Links, View
from sesamespoke.serving.serving_call import Log


class FleetSize:
    """Counts the routers, and tells when the count changes."""

    def __init__(self, links: Links, hosts: HostList, log: Log) -> None:
        """Listen to what is seen and listed."""
        self._links = links
        self._hosts = hosts
        self._log = log
        self._told = 0
        links.on_view(self._watch_view)
        hosts.on_hosts(self._tell_change)

    def count(self) -> int:
        """Return how many routers may share a bound, seen or listed."""
        seen = len(self._links.view.members)
        return max(1, seen, len(self._hosts.hosts))

    def _watch_view(self, view: View) -> None:
        self._tell_change()

    def _tell_change(self) -> None:
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
