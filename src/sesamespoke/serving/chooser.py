"""Chooses an endpoint for a request, and holds its place there."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sesamespoke.serving.catalog import Catalog, RoutedService
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.health import Health
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import LoadBook, Running
from sesamespoke.serving.placement import (
    Candidate,
    Placed,
    is_spare,
    place_call,
    place_generation,
    rank_homes,
)
from sesamespoke.serving.shares import ColdGate

MS_PER_SECOND = 1000
MAX_AGE = 3600.0
"""Seconds; the age that is told of a list that was never read."""
SPARE_SECONDS = 0.02
"""How long the list of endpoints with little to do is used."""
MAX_RANKED = 20_000
"""Shared beginnings whose rank of endpoints is kept."""
NOBODY: frozenset[str] = frozenset()

_Spare = tuple[float, tuple[ListedEndpoint, ...]]


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
        host: str,
        catalog: Callable[[], Catalog | None],
        directory: Directory,
        clock: Callable[[], float],
        routers: Callable[[], int],
    ) -> None:
        """Start without any load."""
        self.loads = LoadBook(clock)
        self.health = Health(clock)
        self.gate = ColdGate(host, clock, routers)
        self._catalog = catalog
        self._directory = directory
        self._clock = clock
        self._known: dict[str, int] = {}
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}
        self._spare: dict[str, _Spare] = {}
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
        placed = self._place(job, fill, service, avoided)
        if placed is None:
            return None
        endpoint = placed.endpoint
        if endpoint.cold_until > self._clock():
            self.gate.note_sent(endpoint.name, service.cold_rate)
        running = self.loads.begin(endpoint.name, placed.reading)
        return Reservation(placed, running)

    def beliefs(self) -> dict[str, object]:
        """Return the versions and the age of what decides, for the log."""
        catalog = self._catalog()
        age = self._clock() - self._directory.listed_at
        return {
            'catalog': catalog.version if catalog else None,
            'list_revision': self._directory.revision,
            'list_age_ms': round(min(age, MAX_AGE) * MS_PER_SECOND),
        }

    def is_usable(self, reservation: Reservation) -> bool:
        """Return whether the endpoint may still be sent a request."""
        return self._directory.is_usable(reservation.endpoint)

    def release(self, reservation: Reservation) -> None:
        """Give a place back."""
        self.loads.end(reservation.running)

    def _place(
        self,
        job: Job,
        fill: float,
        service: RoutedService,
        avoided: frozenset[str],
    ) -> Placed | None:
        if service.engine is None:
            return place_call(fill, self._candidates(service, avoided))
        affinity = job.prompt.affinity
        if not affinity:
            everybody = self._candidates(service, avoided)
            return place_generation(job, fill, service, None, everybody)
        home = self._find_home(service, affinity, avoided)
        if home is None:
            return None
        others = self._spare_candidates(service, avoided)
        return place_generation(job, fill, service, home, others)

    def _find_home(
        self,
        service: RoutedService,
        affinity: str,
        avoided: frozenset[str],
    ) -> Candidate | None:
        """Return the first endpoint in rank that may be used now."""
        key = (service.name, affinity)
        ranked = self._ranked.get(key)
        if ranked is None:
            usable = self._directory.usable(service.name)
            ranked = rank_homes(affinity, usable)
            self._ranked[key] = ranked
        if len(self._ranked) > MAX_RANKED:
            self._ranked.clear()
        fallback: ListedEndpoint | None = None
        for name in ranked:
            endpoint = self._directory.endpoints[name]
            if name in avoided or not self._bears(service, endpoint):
                continue
            if not self.health.is_paused(name):
                return self._candidate(endpoint)
            fallback = fallback or endpoint
        return None if fallback is None else self._candidate(fallback)

    def _spare_candidates(
        self,
        service: RoutedService,
        avoided: frozenset[str],
    ) -> Iterator[Candidate]:
        """Yield endpoints with little to do, as of a moment ago."""
        now = self._clock()
        looked_at, spare = self._spare.get(service.name, (0, ()))
        if now - looked_at > SPARE_SECONDS:
            spare = tuple(
                candidate.endpoint
                for candidate in self._candidates(service, NOBODY)
                if is_spare(service, candidate)
            )
            self._spare[service.name] = (now, spare)
        return (
            self._candidate(endpoint)
            for endpoint in spare
            if endpoint.name not in avoided and self._bears(service, endpoint)
        )

    def _candidates(
        self,
        service: RoutedService,
        avoided: frozenset[str],
    ) -> list[Candidate]:
        """Return the endpoints that may be used now.

        Where all are left alone for their failures, all are tried.
        """
        allowed = [
            endpoint
            for endpoint in self._directory.usable(service.name)
            if endpoint.name not in avoided and self._bears(service, endpoint)
        ]
        sound = [
            endpoint
            for endpoint in allowed
            if not self.health.is_paused(endpoint.name)
        ]
        return [self._candidate(endpoint) for endpoint in sound or allowed]

    def _candidate(self, endpoint: ListedEndpoint) -> Candidate:
        return Candidate(
            endpoint,
            self.loads.total(endpoint.name),
            self.health.pace(endpoint.name),
        )

    def _bears(self, service: RoutedService, endpoint: ListedEndpoint) -> bool:
        if endpoint.cold_until <= self._clock():
            return True
        return self.gate.is_open(endpoint.name, service.cold_rate)

    def _forget_gone(self, directory: Directory) -> None:
        """Forget what was learned of endpoints that left or restarted."""
        self._ranked.clear()
        self._spare.clear()
        now_known = {
            name: endpoint.born
            for name, endpoint in directory.endpoints.items()
        }
        for name, born in self._known.items():
            if now_known.get(name) != born:
                self.health.forget(name)
                self.gate.forget(name)
        self._known = now_known
