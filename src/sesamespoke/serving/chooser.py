"""Chooses an endpoint for a request, and holds its place there."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from sesamespoke.serving.catalog import Catalog, RoutedService
from sesamespoke.serving.cold_gate import ColdGate
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.health import Health
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import LoadBook, Running
from sesamespoke.serving.placement import (
    Candidate,
    Placed,
    Wish,
    place_call,
    place_generation,
    rank_homes,
)

MS_PER_SECOND = 1000
MAX_AGE = 3600.0
"""Seconds; the age that is told of a list that was never read."""
SAMPLED = 3
"""Endpoints at random beside the home: the best of a few is near the best of
all, and not all routers choose the same."""
KEEPERS = 4
"""The first in rank among which the keeper of a beginning is looked for."""
KEEPER_SECONDS = 4.0
"""An engine that has been listed for less has kept little yet."""
MAX_RANKED = 20_000
"""Shared beginnings whose rank of endpoints is kept."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """A place at an endpoint, counted until it is released."""

    placed: Placed
    running: Running

    @property
    def endpoint(self) -> ListedEndpoint:
        """Return the endpoint."""
        return self.placed.endpoint


@dataclass(frozen=True, slots=True)
class _Known:
    """Since when an incarnation of an endpoint has been listed."""

    born: int
    since: float


class Chooser:
    """Knows what every endpoint bears now, and gives out its places."""

    def __init__(
        self,
        host: str,
        catalog: Callable[[], Catalog | None],
        directory: Directory,
        clock: Callable[[], float],
        routers: Callable[[], int | None],
        data_centre: str = '',
    ) -> None:
        """Start without any load; ``data_centre`` is the host's own."""
        self.loads = LoadBook(clock)
        self.health = Health(clock)
        self.gate = ColdGate(host, clock, routers)
        self._catalog = catalog
        self._directory = directory
        self._clock = clock
        self._known: dict[str, _Known] = {}
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}
        self._data_centre = data_centre
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
        if self._directory.is_cold(endpoint):
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

    def may_send_again(self, reservation: Reservation) -> bool:
        """Return whether the endpoint may be sent the request once more."""
        if not self.is_usable(reservation):
            return False
        endpoint = self._directory.endpoints[reservation.endpoint.name]
        return not self._directory.is_cold(endpoint)

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
        due = job.arrived_at + job.route.objective
        wish = Wish(job, fill, (due - self._clock()) * MS_PER_SECOND)
        affinity = job.prompt.prefix_id
        if not affinity:
            everybody = self._candidates(service, avoided)
            return place_generation(wish, service, None, everybody)
        ranked = self._rank(service, affinity)
        home = self._find_home(service, ranked, avoided)
        if home is None:
            return None
        others = self._sample(service, ranked, avoided | {home.endpoint.name})
        placed = place_generation(wish, service, home, others)
        if placed is None:
            return None
        return replace(placed, keeper=self._find_keeper(ranked, placed))

    def _rank(self, service: RoutedService, affinity: str) -> tuple[str, ...]:
        """Return the service's endpoints for a beginning, its home first.

        Those that leave are among them: they still have what they kept.
        """
        key = (service.name, affinity)
        ranked = self._ranked.get(key)
        if ranked is None:
            listed = self._directory.listed(service.name)
            ranked = rank_homes(affinity, listed)
            if len(self._ranked) > MAX_RANKED:
                self._ranked.clear()
            self._ranked[key] = ranked
        return ranked

    def _find_home(
        self,
        service: RoutedService,
        ranked: tuple[str, ...],
        avoided: frozenset[str],
    ) -> Candidate | None:
        """Return the first endpoint in rank that may be used now."""
        fallback: ListedEndpoint | None = None
        for name in ranked:
            endpoint = self._directory.endpoints[name]
            if name in avoided or not self._may_take(service, endpoint):
                continue
            if not self.health.is_paused(name):
                return self._candidate(endpoint)
            fallback = fallback or endpoint
        return None if fallback is None else self._candidate(fallback)

    def _sample(
        self,
        service: RoutedService,
        ranked: tuple[str, ...],
        avoided: frozenset[str],
    ) -> Iterator[Candidate]:
        """Yield a few endpoints at random, as far as they are sound."""
        if not ranked:
            return
        names = frozenset(random.choices(ranked, k=SAMPLED)) - avoided
        for name in names:
            endpoint = self._directory.endpoints[name]
            if self.health.is_paused(name):
                continue
            if self._may_take(service, endpoint):
                yield self._candidate(endpoint)

    def _find_keeper(
        self,
        ranked: tuple[str, ...],
        placed: Placed,
    ) -> ListedEndpoint | None:
        """Return the engine that most likely keeps a beginning, but for one.

        That is the first in rank that has been there for long enough to have
        read it; where the home is chosen, this is the one before it that is
        leaving, or the one that was the home before a new one came.
        """
        now = self._clock()
        for name in ranked[:KEEPERS]:
            endpoint = self._directory.endpoints[name]
            if endpoint == placed.endpoint or self.health.is_paused(name):
                continue
            if now - self._known[name].since >= KEEPER_SECONDS:
                return endpoint
        return None

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
            endpoint.data_centre != self._data_centre,
        )

    def _may_take(
        self,
        service: RoutedService,
        endpoint: ListedEndpoint,
    ) -> bool:
        """Return whether an endpoint may be given work now."""
        return self._directory.is_usable(endpoint) and self._bears(
            service, endpoint
        )

    def _bears(self, service: RoutedService, endpoint: ListedEndpoint) -> bool:
        if not self._directory.is_cold(endpoint):
            return True
        return self.gate.is_open(endpoint.name, service.cold_rate)

    def _forget_gone(self, directory: Directory) -> None:
        """Forget what was learned of endpoints that left or restarted."""
        self._ranked.clear()
        before = self._known
        self._known = {}
        for name, endpoint in directory.endpoints.items():
            known = before.pop(name, None)
            if known is None or known.born != endpoint.born:
                self._forget(name)
                known = _Known(endpoint.born, self._clock())
            self._known[name] = known
        for name in before:
            self._forget(name)

    def _forget(self, name: str) -> None:
        self.health.forget(name)
        self.gate.forget(name)
