"""The platform's list of live and leaving hosts and endpoints."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sesamespoke.settings import Address, Seed
from sesamespoke.subscribers import call_all

EndpointsHandler = Callable[[frozenset[str]], None]


@dataclass(frozen=True, slots=True)
class KnownHost:
    """An entry host that the seeds or the platform's list name."""

    host: str
    data_centre: str
    address: Address
    leaving: bool = False


class HostList:
    """The hosts that should be there, and the endpoints that are leaving.

    Seeds stand until the first list of the platform.
    """

    def __init__(self, seeds: tuple[Seed, ...]) -> None:
        """Begin with the seeds."""
        self.hosts: Mapping[str, KnownHost] = {
            seed.host: KnownHost(seed.host, seed.data_centre, seed.address)
            for seed in seeds
        }
        self.leaving_endpoints: frozenset[str] = frozenset()
        self._host_handlers: list[Callable[[], None]] = []
        self._endpoint_handlers: list[EndpointsHandler] = []

    def on_hosts(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each change of the hosts."""
        self._host_handlers.append(handler)

    def on_leaving_endpoints(
        self,
        handler: EndpointsHandler,
    ) -> None:
        """Call ``handler`` after each change of the leaving endpoints."""
        self._endpoint_handlers.append(handler)

    def put_hosts(self, hosts: Mapping[str, KnownHost]) -> None:
        """Replace the hosts; tell handlers if they differ."""
        if hosts == self.hosts:
            return
        self.hosts = hosts
        call_all(self._host_handlers)

    def put_leaving_endpoints(self, leaving: frozenset[str]) -> None:
        """Replace the leaving endpoints; tell handlers if they differ."""
        if leaving == self.leaving_endpoints:
            return
        self.leaving_endpoints = leaving
        call_all(self._endpoint_handlers, leaving)
