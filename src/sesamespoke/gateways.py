"""The few streams between two data centres, and what travels on them.

Rendezvous hashing over the live hosts picks the gateways on both sides.
A gateway tells the other data centre who is live in its own, and its own
who is live there; it forwards what hosts relay.
"""

import asyncio
from collections.abc import Iterable

from sesamespoke.codec import encode
from sesamespoke.membership import Membership
from sesamespoke.membership_messages import DataCentreView, RouteLost
from sesamespoke.mesh import Mesh
from sesamespoke.messages import Hello
from sesamespoke.placement import place
from sesamespoke.routes import Routes
from sesamespoke.settings import Settings
from sesamespoke.timeline import HybridClock


class Gateways:
    """One host's part in the streams between data centres."""

    def __init__(
        self,
        cfg: Settings,
        membership: Membership,
        mesh: Mesh,
        routes: Routes,
        clock: HybridClock,
    ) -> None:
        """Begin without any stream."""
        self._timing = cfg.timing
        self._data_centre = cfg.data_centre
        self._membership = membership
        self._mesh = mesh
        self._routes = routes
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._streams: dict[str, set[str]] = {}
        self._paths: dict[str, int] = {}
        self._told: frozenset[tuple[str, int, bool]] = frozenset()
        self._ticked_at: float = 0

    @property
    def far_hosts(self) -> Iterable[str]:
        """Return the far hosts to which there is a stream."""
        return self._heard_at.keys()

    def opened(self, hello: Hello) -> None:
        """Take a stream to a far host into use."""
        self._heard_at[hello.host] = _now()
        self._streams.setdefault(hello.data_centre, set()).add(hello.host)
        self._renew_path(hello.data_centre)
        self._mesh.write(hello.host, encode(self._view_of_own()))
        self._announce(hello.data_centre)

    def closed(self, host: str) -> None:
        """Take it that a stream to a far host has ended."""
        self._heard_at.pop(host, None)
        for name, hosts in self._streams.items():
            if host not in hosts:
                continue
            hosts.discard(host)
            self._renew_path(name)
            if hosts:
                self._announce(name)
            else:
                self._routes.lose(self._membership.own.host, name)
                self._mesh.write_all(
                    self._membership.near, encode(RouteLost(name))
                )

    def hear(self, host: str) -> bool:
        """Note that a host has been heard; return whether it is far."""
        is_far = host in self._heard_at
        if is_far:
            self._heard_at[host] = _now()
        return is_far

    def learn(self, host: str, view: DataCentreView) -> None:
        """Take a far gateway's view of its data centre and pass it on."""
        if host not in self._streams.get(view.data_centre, ()):
            return
        own = self._membership.own.host
        self._routes.learn(own, self._numbered(view))
        self._announce(view.data_centre)

    def greet(self, host: str) -> None:
        """Tell a new near host what this gateway reaches."""
        for name, hosts in self._streams.items():
            view = self._routes.views.get(name)
            if hosts and view is not None:
                self._mesh.write(host, encode(self._numbered(view)))

    def choose_stream(self, host: str) -> str | None:
        """Return the far host to which a message is passed on."""
        name = self._routes.data_centre_of(host)
        hosts = self._streams.get(name or '', set())
        return host if host in hosts else place(host, hosts)

    def streams_to(self, data_centre: str) -> Iterable[str]:
        """Return the hosts of a data centre to which there is a stream."""
        return self._streams.get(data_centre, set())

    def tick(self) -> None:
        """Cut silent streams and tell far gateways what has changed."""
        now = _now()
        if now - self._ticked_at > self._timing.heartbeat:
            self._heard_at = dict.fromkeys(self._heard_at, now)
        self._ticked_at = now
        oldest = now - self._timing.suspect_after - self._timing.heartbeat
        for host, heard_at in tuple(self._heard_at.items()):
            if heard_at < oldest:
                self._mesh.drop(host)
        self._routes.expire()
        view = self._view_of_own()
        rows = frozenset(view.members)
        if rows == self._told:
            return
        self._told = rows
        self._mesh.write_all(self._heard_at, encode(view))

    def _rows(self) -> tuple[tuple[str, int, bool], ...]:
        """Return the members of the own data centre."""
        return tuple(
            (member.host, member.incarnation, member.leaving)
            for member in self._membership.view.members
            if member.data_centre == self._data_centre
        )

    def _view_of_own(self) -> DataCentreView:
        """Return what far hosts are told of this data centre."""
        stamp = self._clock.now()
        return DataCentreView(self._data_centre, *stamp, 0, self._rows())

    def _numbered(self, view: DataCentreView) -> DataCentreView:
        """Return a far view with the number of the present path."""
        return DataCentreView(
            view.data_centre,
            view.wall_ms,
            view.tick,
            self._paths[view.data_centre],
            view.members,
        )

    def _renew_path(self, name: str) -> None:
        """Number the streams to a data centre anew after a change."""
        self._paths[name] = self._paths.get(name, 0) + 1

    def _announce(self, name: str) -> None:
        """Tell near hosts that this host reaches a data centre."""
        view = self._routes.views.get(name)
        if view is None:
            return
        numbered = self._numbered(view)
        self._routes.learn(self._membership.own.host, numbered)
        self._mesh.write_all(self._membership.near, encode(numbered))


def _now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()
