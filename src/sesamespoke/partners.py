"""Which hosts of other data centres this host keeps streams to."""

from collections.abc import Iterable
from typing import Final

from sesamespoke.host_list import HostList
from sesamespoke.keepers import Keepers
from sesamespoke.links import View
from sesamespoke.placement import rank_hosts
from sesamespoke.routes import Routes
from sesamespoke.settings import Settings

GATEWAYS: Final = 2
FULL_MESH_HOSTS: Final = 12
"""Listed hosts up to which each keeps a stream to all others."""
LINGER_SECONDS: Final = 5.0
RETRY_OTHER_SECONDS: Final = 10.0


def choose_gateways(
    own: str,
    other: str,
    hosts: Iterable[str],
) -> tuple[str, ...]:
    """Return the hosts that lead from a data centre to another."""
    return tuple(rank_hosts(f'gateway|{own}|{other}', hosts)[:GATEWAYS])


class Partners:
    """Picks the far hosts for which this host is a gateway.

    Where hosts are few, those are all far hosts. A stream that is no longer
    wanted is kept a little, until the new gateways have theirs.
    """

    def __init__(
        self,
        cfg: Settings,
        host_list: HostList,
        keepers: Keepers,
        routes: Routes,
    ) -> None:
        """Begin without any partner."""
        self._own = cfg.host
        self._data_centre = cfg.data_centre
        self._host_list = host_list
        self._keepers = keepers
        self._routes = routes
        self._wanted_until: dict[str, float] = {}

    def choose(self, view: View, now: float) -> frozenset[str]:
        """Return the far hosts to which this host should keep a stream."""
        near = [
            member.host
            for member in view.members
            if member.data_centre == self._data_centre and not member.leaving
        ]
        listed = self._host_list.hosts
        picked: Iterable[str] = listed.keys() - near
        if len(listed) > FULL_MESH_HOSTS:
            picked = self._pick(near, now)
        if view.stale or self._own not in near:
            picked = tuple(self._wanted_until)
        for host in picked:
            self._wanted_until[host] = now + LINGER_SECONDS
        for host, until in tuple(self._wanted_until.items()):
            if until < now:
                del self._wanted_until[host]
        return frozenset(self._wanted_until)

    def _pick(self, near: list[str], now: float) -> list[str]:
        """Return one partner for each data centre led to from here."""
        partners = []
        for other in self._other_data_centres():
            gateways = choose_gateways(self._data_centre, other, near)
            far = choose_gateways(
                other,
                self._data_centre,
                self._reachable(self._hosts_of(other), now),
            )
            if self._own in gateways and far:
                partners.append(far[gateways.index(self._own) % len(far)])
        return partners

    def _other_data_centres(self) -> list[str]:
        """Return the names of the other data centres."""
        listed = self._host_list.hosts.values()
        names = {known.data_centre for known in listed}
        return sorted((names | self._routes.views.keys()) - {self._data_centre})

    def _hosts_of(self, other: str) -> list[str]:
        """Return the hosts of a data centre that may be its gateways.

        Those that the list names stand in until there is a view of it.
        """
        listed = self._host_list.hosts
        hosts = [
            known.host
            for known in listed.values()
            if known.data_centre == other and not known.leaving
        ]
        view = self._routes.views.get(other)
        if view is None:
            return hosts
        live = {host for host, _, leaving in view.members if not leaving}
        return [host for host in hosts if host in live] or hosts

    def _reachable(self, hosts: list[str], now: float) -> list[str]:
        """Leave out hosts that could not be reached of late, if not all."""
        failed_at = self._keepers.failed_at
        recent = now - RETRY_OTHER_SECONDS
        return [
            host for host in hosts if failed_at.get(host, recent) <= recent
        ] or hosts
