"""Chooses an endpoint for a request and reserves capacity there."""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from sesamespoke.serving.backoff import EndpointBackoff
from sesamespoke.serving.catalog import Catalog, RoutedService
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.endpoint_rate_limiter import (
    EndpointRateLimiter,
    Hosts,
)
from sesamespoke.serving.health import Health
from sesamespoke.serving.job import Job
from sesamespoke.serving.load import InFlightRequest, LoadTracker
from sesamespoke.serving.named_limits import NamedLimits
from sesamespoke.serving.outlier_detection import OutlierDetector
from sesamespoke.serving.placement import (
    Candidate,
    Placement,
    PlacementRequest,
    place_call,
    place_generation,
    rank_endpoints,
)
from sesamespoke.serving.service_view import ServiceViews

MS_PER_SECOND = 1000
MAX_LIST_AGE_SECONDS = 3600.0
"""The age that is logged for an endpoint list that was never read."""
SAMPLE_SIZE = 3
"""Endpoints sampled at random besides the preferred one: the best of a few is
close to the best of all, and not all routers choose the same one."""
HOLDER_CANDIDATES = 4
"""Endpoints, first in rendezvous order, searched for a prefix holder."""
MIN_HOLDER_SECONDS = 4.0
"""An engine that was listed more recently has cached few prefixes so far."""
UNLISTED_SECONDS = 60.0
"""Time for which the state of an endpoint is kept that is no longer listed: its
entry may have lapsed while it lives."""
MAX_RANKINGS = 20_000
"""Shared prefixes whose rendezvous order of endpoints is cached."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity held at an endpoint, counted as load until it is released."""

    placement: Placement
    in_flight: InFlightRequest

    @property
    def endpoint(self) -> ListedEndpoint:
        """Return the endpoint."""
        return self.placement.endpoint


@dataclass(frozen=True, slots=True)
class _Listed:
    """When an incarnation of an endpoint was first listed."""

    born: int
    listed_at: float


@dataclass(frozen=True, slots=True)
class _Unlisted:
    """An incarnation that the list no longer names, and since when."""

    listed: _Listed
    since: float


class Chooser:
    """Tracks the load of every endpoint and reserves free capacity."""

    def __init__(
        self,
        host: str,
        catalog: Callable[[], Catalog | None],
        directory: Directory,
        clock: Callable[[], float],
        hosts: Hosts,
        data_centre: str = '',
    ) -> None:
        """Start without any load; ``data_centre`` is the one of this host."""
        self.loads = LoadTracker(clock)
        self.health = Health(clock)
        self.outliers = OutlierDetector(clock, directory)
        self.backoff = EndpointBackoff(clock)
        self.limits = NamedLimits(clock)
        self.rate_limiter = EndpointRateLimiter(host, clock, hosts)
        self._catalog = catalog
        self._directory = directory
        self._clock = clock
        self._listed: dict[str, _Listed] = {}
        self._unlisted: dict[str, _Unlisted] = {}
        self._rankings: dict[tuple[str, str], tuple[str, ...]] = {}
        self._data_centre = data_centre
        self._views = ServiceViews(
            clock, lambda service: self._candidates(service, frozenset())
        )
        directory.listeners.append(self._drop_gone)

    def reserve(
        self,
        job: Job,
        utilisation_limit: float,
        avoided: frozenset[str],
    ) -> Reservation | None:
        """Reserve the best endpoint; return None without free capacity.

        Endpoints whose utilisation reaches ``utilisation_limit`` are full.
        """
        service = self._service(job)
        if service is None:
            return None
        placement = self._place(job, utilisation_limit, service, avoided)
        if placement is None:
            return None
        endpoint = placement.endpoint
        rate = self._rate_limit(service, endpoint)
        if rate < math.inf:
            self.rate_limiter.note_sent(endpoint.name, rate)
        self.backoff.begin(endpoint.name)
        self.outliers.begin(endpoint.name)
        in_flight = self.loads.begin(endpoint.name, placement.prefill_ms)
        return Reservation(placement, in_flight)

    def has_room(self, job: Job, avoided: frozenset[str]) -> bool:
        """Return whether another endpoint has free capacity for a request."""
        service = self._service(job)
        return (
            service is not None
            and self._place(job, 1, service, avoided) is not None
        )

    def describe_service(self, name: str) -> dict[str, object]:
        """Return log fields: how the endpoints of a service look from here."""
        catalog = self._catalog()
        service = catalog.services.get(name) if catalog else None
        if service is None:
            return {}
        view = self._views.get(service)
        return {
            'usable': view.usable,
            'least_used': round(view.least_used, 2),
            'slowdown': round(view.slowdown, 2),
        }

    def describe_view(self) -> dict[str, object]:
        """Return log fields: version and age of the data behind a choice."""
        catalog = self._catalog()
        age = self._clock() - self._directory.listed_at
        return {
            'catalog': catalog.version if catalog else None,
            'list_revision': self._directory.revision,
            'list_age_ms': round(
                min(age, MAX_LIST_AGE_SECONDS) * MS_PER_SECOND
            ),
        }

    def is_usable(self, reservation: Reservation) -> bool:
        """Return whether the endpoint may still be sent a request."""
        if self.backoff.seconds_left(reservation.endpoint.name):
            return False
        return self._directory.is_usable(reservation.endpoint)

    def seconds_unavailable(self, service: str) -> float:
        """Return how long all endpoints of a service want no request."""
        usable = self._directory.usable(service)
        return min(
            (self.backoff.seconds_left(endpoint.name) for endpoint in usable),
            default=0,
        )

    def may_send_again(self, reservation: Reservation) -> bool:
        """Return whether the endpoint may be sent the request once more."""
        if not self.is_usable(reservation):
            return False
        endpoint = self._directory.endpoints[reservation.endpoint.name]
        has_limit = self.limits.rate(endpoint) < math.inf
        return not (has_limit or self._directory.is_cold(endpoint))

    def release(self, reservation: Reservation) -> None:
        """Give up the capacity that was held for a request."""
        self.backoff.end(reservation.endpoint.name)
        self.loads.end(reservation.in_flight)

    def _service(self, job: Job) -> RoutedService | None:
        catalog = self._catalog()
        return catalog.services.get(job.service) if catalog else None

    def _place(
        self,
        job: Job,
        utilisation_limit: float,
        service: RoutedService,
        avoided: frozenset[str],
    ) -> Placement | None:
        if service.engine is None:
            return place_call(
                utilisation_limit, self._candidates(service, avoided)
            )
        due = job.arrived_at + job.route.objective
        request = PlacementRequest(
            job, utilisation_limit, (due - self._clock()) * MS_PER_SECOND
        )
        affinity = job.prompt.prefix_id
        if not affinity:
            candidates = self._candidates(service, avoided)
            return place_generation(request, service, None, candidates)
        ranked = self._rank(service, affinity)
        preferred = self._find_preferred(service, ranked, avoided)
        if preferred is None:
            return None
        others = self._sample(
            service, ranked, avoided | {preferred.endpoint.name}
        )
        placement = place_generation(request, service, preferred, others)
        if placement is None:
            return None
        return replace(
            placement, prefix_holder=self._find_prefix_holder(ranked, placement)
        )

    def _rank(self, service: RoutedService, affinity: str) -> tuple[str, ...]:
        """Return a service's endpoints in rendezvous order for a prefix.

        Leaving endpoints are included: their caches still hold prefixes.
        """
        key = (service.name, affinity)
        ranked = self._rankings.get(key)
        if ranked is None:
            listed = self._directory.listed(service.name)
            ranked = rank_endpoints(affinity, listed)
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.clear()
            self._rankings[key] = ranked
        return ranked

    def _find_preferred(
        self,
        service: RoutedService,
        ranked: tuple[str, ...],
        avoided: frozenset[str],
    ) -> Candidate | None:
        """Return the first endpoint in rendezvous order that may be used now.

        A paused endpoint is returned only if no other one is usable.
        """
        paused: list[ListedEndpoint] = []
        for name in ranked:
            endpoint = self._directory.endpoints[name]
            if name in avoided or not self._accepts_work(service, endpoint):
                continue
            if not self._is_paused(name):
                return self._candidate(endpoint)
            paused.append(endpoint)
        fallback = self._without_ejected(service, paused)
        return self._candidate(fallback[0]) if fallback else None

    def _sample(
        self,
        service: RoutedService,
        ranked: tuple[str, ...],
        avoided: frozenset[str],
    ) -> Iterator[Candidate]:
        """Yield a few endpoints at random that are usable and not paused."""
        if not ranked:
            return
        names = frozenset(random.choices(ranked, k=SAMPLE_SIZE)) - avoided
        for name in names:
            endpoint = self._directory.endpoints[name]
            if self._is_paused(name):
                continue
            if self._accepts_work(service, endpoint):
                yield self._candidate(endpoint)

    def _find_prefix_holder(
        self,
        ranked: tuple[str, ...],
        placement: Placement,
    ) -> ListedEndpoint | None:
        """Return another engine whose cache most likely has the prefix.

        That is the first in rendezvous order that was listed long enough ago
        to have processed the prefix. If the preferred endpoint is chosen, this
        is a leaving endpoint ranked before it, or the one that was preferred
        before a new endpoint was listed.
        """
        now = self._clock()
        for name in ranked[:HOLDER_CANDIDATES]:
            endpoint = self._directory.endpoints[name]
            if endpoint == placement.endpoint or self._is_paused(name):
                continue
            if now - self._listed[name].listed_at >= MIN_HOLDER_SECONDS:
                return endpoint
        return None

    def _candidates(
        self,
        service: RoutedService,
        avoided: frozenset[str],
    ) -> list[Candidate]:
        """Return the endpoints that may be used now.

        If all of them are paused after failures, all are returned except
        ejected ones.
        """
        allowed = [
            endpoint
            for endpoint in self._directory.usable(service.name)
            if endpoint.name not in avoided
            and self.backoff.allows(endpoint.name)
            and self._is_within_rate(service, endpoint)
        ]
        healthy = [
            endpoint
            for endpoint in allowed
            if not self._is_paused(endpoint.name)
        ]
        chosen = healthy or self._without_ejected(service, allowed)
        return [self._candidate(endpoint) for endpoint in chosen]

    def _without_ejected(
        self, service: RoutedService, endpoints: list[ListedEndpoint]
    ) -> list[ListedEndpoint]:
        """Return the endpoints that aren't ejected, or all if all others are.

        Others that may only be sent no request now would leave everything to
        one that fails.
        """
        usable = self._directory.usable(service.name)
        if all(self.outliers.is_ejected(each.name) for each in usable):
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if not self.outliers.is_ejected(endpoint.name)
        ]

    def _candidate(self, endpoint: ListedEndpoint) -> Candidate:
        return Candidate(
            endpoint,
            self.loads.total(endpoint.name),
            self.health.slowdown(endpoint.name),
            endpoint.data_centre != self._data_centre,
        )

    def _is_paused(self, name: str) -> bool:
        return self.health.is_paused(name) or self.outliers.is_ejected(name)

    def _accepts_work(
        self,
        service: RoutedService,
        endpoint: ListedEndpoint,
    ) -> bool:
        """Return whether an endpoint may be sent a new request now."""
        return (
            self._directory.is_usable(endpoint)
            and self.backoff.allows(endpoint.name)
            and self._is_within_rate(service, endpoint)
        )

    def _is_within_rate(
        self, service: RoutedService, endpoint: ListedEndpoint
    ) -> bool:
        rate = self._rate_limit(service, endpoint)
        return rate == math.inf or self.rate_limiter.may_send(
            endpoint.name, rate
        )

    def _rate_limit(
        self, service: RoutedService, endpoint: ListedEndpoint
    ) -> float:
        """Return the requests per second that all routers may send."""
        named = self.limits.rate(endpoint)
        if service.cold_rate > 0 and self._directory.is_cold(endpoint):
            return min(named, service.cold_rate)
        return named

    def _drop_gone(self, directory: Directory) -> None:
        """Drop the state of endpoints that have restarted or gone."""
        self._rankings.clear()
        now = self._clock()
        before = self._listed
        self._listed = {}
        for name, listed in before.items():
            if name not in directory.endpoints:
                self._unlisted[name] = _Unlisted(listed, now)
        for name, endpoint in directory.endpoints.items():
            unlisted = self._unlisted.pop(name, None)
            known = unlisted.listed if unlisted else before.get(name)
            if known is None or known.born != endpoint.born:
                self._drop(name, endpoint.born)
                known = _Listed(endpoint.born, now)
            self._listed[name] = known
        self._drop_unlisted(now)

    def _drop_unlisted(self, now: float) -> None:
        """Drop the state of endpoints that have not been listed for long.

        A pause that an endpoint asked for stands until its end.
        """
        for name, unlisted in tuple(self._unlisted.items()):
            has_gone = now - unlisted.since > UNLISTED_SECONDS
            if has_gone and not self.backoff.seconds_left(name):
                del self._unlisted[name]
                self._drop(name)

    def _drop(self, name: str, born: int | None = None) -> None:
        """Drop the state of an endpoint, except that of a new incarnation."""
        self.health.drop(name)
        self.outliers.drop(name)
        self.backoff.drop(name)
        self.rate_limiter.drop(name)
        self.limits.drop(name, born)
