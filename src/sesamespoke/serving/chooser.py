"""Chooses an endpoint for a request, and holds its place there."""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.serving.catalog import Catalog, RoutedService
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.health import Health
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import LoadBook, Running
from sesamespoke.serving.placement import Candidate, Placed, placer_for
from sesamespoke.serving.shares import ColdGate


@dataclass(frozen=True, slots=True)
class Reservation:
    """A place at an endpoint, counted until it is released."""

    placed: Placed
    running: Running

    @property
    def endpoint(self) -> ListedEndpoint:
        """Return the endpoint."""
        return self.placed.endpoint


class Chooser:
    """Knows what every endpoint bears now, and gives out its places."""

    def __init__(
        self,
        catalog: Callable[[], Catalog | None],
        directory: Directory,
        clock: Callable[[], float],
        routers: Callable[[], int],
    ) -> None:
        """Start without any load."""
        self.loads = LoadBook(clock)
        self.health = Health(clock)
        self.gate = ColdGate(clock, routers)
        self._catalog = catalog
        self._directory = directory
        self._clock = clock
        self._known: dict[str, int] = {}
        directory.listeners.append(self._forget_gone)

    def reserve(
        self,
        job: Job,
        fill: float,
        avoided: frozenset[str],
    ) -> Reservation | None:
        """Return a place at the best endpoint, or None without room.

        Endpoints are used up to the ``fill`` of their bounds.
        """
        catalog = self._catalog()
        service = catalog.services.get(job.service) if catalog else None
        if service is None:
            return None
        endpoints = self._directory.usable(service.name)
        candidates = self._candidates(service, endpoints, avoided)
        placed = placer_for(service, endpoints)(job, fill, candidates)
        if placed is None:
            return None
        endpoint = placed.endpoint
        if endpoint.cold_until > self._clock():
            self.gate.note_sent(endpoint.name, service.cold_rate)
        running = self.loads.begin(endpoint.name, placed.reading)
        return Reservation(placed, running)

    def release(self, reservation: Reservation) -> None:
        """Give a place back."""
        self.loads.end(reservation.running)

    def _candidates(
        self,
        service: RoutedService,
        endpoints: tuple[ListedEndpoint, ...],
        avoided: frozenset[str],
    ) -> list[Candidate]:
        """Return the endpoints that may be used now.

        Where all are left alone for their failures, all are tried.
        """
        allowed = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in avoided and self._bears(service, endpoint)
        ]
        sound = [
            endpoint
            for endpoint in allowed
            if not self.health.is_paused(endpoint.name)
        ]
        return [
            Candidate(
                endpoint,
                self.loads.total(endpoint.name),
                self.health.pace(endpoint.name),
            )
            for endpoint in sound or allowed
        ]

    def _bears(self, service: RoutedService, endpoint: ListedEndpoint) -> bool:
        if endpoint.cold_until <= self._clock():
            return True
        return self.gate.is_open(endpoint.name, service.cold_rate)

    def _forget_gone(self, directory: Directory) -> None:
        """Forget what was learned of endpoints that left or restarted."""
        now_known = {
            name: endpoint.born
            for name, endpoint in directory.endpoints.items()
        }
        for name, born in self._known.items():
            if now_known.get(name) != born:
                self.health.forget(name)
                self.gate.forget(name)
        self._known = now_known
