"""Paths to the hosts of other data centres, as gateways announce them."""

import asyncio
from collections.abc import Callable, Iterable

from sesamespoke.links import Member
from sesamespoke.membership import Membership
from sesamespoke.membership_messages import DataCentreView
from sesamespoke.placement import place

Path = tuple[str, int]


class Routes:
    """Which gateway of the own data centre leads to each far host.

    Messages to one host keep to one path while its gateway reaches the
    data centre. A data centre without a gateway stays in the view for
    ``patience`` seconds, so that a change of gateways is no loss of it.
    """

    def __init__(
        self,
        membership: Membership,
        patience: float,
        reconnected: Callable[[str], None],
    ) -> None:
        """Begin without any path."""
        self.views: dict[str, DataCentreView] = {}
        self._membership = membership
        self._own = membership.own.host
        self._patience = patience
        self._reconnected = reconnected
        self._gateways: dict[str, dict[str, int]] = {}
        self._lost_at: dict[str, float] = {}
        self._paths: dict[str, Path] = {}
        self._data_centres: dict[str, str] = {}

    def data_centre_of(self, host: str) -> str | None:
        """Return the data centre of a far host, if it is known."""
        return self._data_centres.get(host)

    def gateways_to(self, data_centre: str) -> Iterable[str]:
        """Return the near hosts that reach a data centre."""
        return self._gateways.get(data_centre, {}).keys()

    def next_hop(self, host: str) -> str | None:
        """Return the gateway for a far host; it may be this host."""
        path = self._paths.get(host)
        return None if path is None else path[0]

    def learn(self, gateway: str, view: DataCentreView) -> None:
        """Take a gateway's announcement."""
        name = view.data_centre
        self._gateways.setdefault(name, {})[gateway] = view.path
        self._lost_at.pop(name, None)
        before = self.views.get(name)
        if before is None or _stamp(before) < _stamp(view):
            self.views[name] = view
            self._put_members(name, _members(view))
        self._choose_paths(name)

    def lose(self, gateway: str, data_centre: str) -> None:
        """Take it that a gateway no longer reaches a data centre."""
        gateways = self._gateways.get(data_centre, {})
        if gateways.pop(gateway, None) is None:
            return
        if not gateways:
            self._lost_at[data_centre] = _now()
        self._choose_paths(data_centre)

    def lose_gateway(self, gateway: str) -> None:
        """Take it that a gateway can't be reached."""
        for data_centre in self._gateways:
            self.lose(gateway, data_centre)

    def expire(self) -> None:
        """Forget data centres that have had no gateway for too long."""
        oldest = _now() - self._patience
        for name, lost_at in tuple(self._lost_at.items()):
            if lost_at < oldest:
                del self._lost_at[name]
                self.views.pop(name, None)
                self._put_members(name, ())

    def _put_members(self, name: str, members: tuple[Member, ...]) -> None:
        """Replace the members of one data centre."""
        hosts = {member.host for member in members}
        for host in self._hosts_of(name) - hosts:
            self._data_centres.pop(host)
            self._paths.pop(host, None)
        self._data_centres.update(dict.fromkeys(hosts, name))
        self._membership.put_far(name, members)

    def _choose_paths(self, name: str) -> None:
        """Choose a gateway for each host; tell of those that changed."""
        gateways = self._gateways.get(name, {})
        for host in sorted(self._hosts_of(name)):
            gateway = self._choose(host, gateways)
            if gateway is None:
                self._paths.pop(host, None)
            elif self._paths.get(host) != (gateway, gateways[gateway]):
                self._paths[host] = (gateway, gateways[gateway])
                self._reconnected(host)

    def _choose(self, host: str, gateways: Iterable[str]) -> str | None:
        """Return this host if it is a gateway, else one by rendezvous."""
        return self._own if self._own in gateways else place(host, gateways)

    def _hosts_of(self, name: str) -> set[str]:
        """Return the known hosts of one data centre."""
        return {
            host
            for host, data_centre in self._data_centres.items()
            if data_centre == name
        }


def _stamp(view: DataCentreView) -> tuple[int, int]:
    """Return the time at which a view was seen."""
    return (view.wall_ms, view.tick)


def _members(view: DataCentreView) -> tuple[Member, ...]:
    """Return a view's rows as members."""
    return tuple(
        Member(host, view.data_centre, incarnation, leaving)
        for host, incarnation, leaving in view.members
    )


def _now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()
