"""The operators' configuration: routes, services, accounts and limits.

All classes are frozen; one ``Catalog`` is one accepted version. Durations
are in seconds and sizes in bytes.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

import xxhash

HASH_SPAN = 2**64


class CallKind(Enum):
    """Whether a route's requests may be repeated, and whether they stream."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests, by its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The requests of one host below one path prefix.

    ``timeout`` bounds the whole request. ``objective`` is the target latency
    up to the response or, for a stream, its first event; ``max_gap`` is the
    target for the gap between events. ``max_attempts`` bounds the number of
    endpoints that run one request. Priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    weighted_services: tuple[WeightedService, ...]
    timeout: float
    objective: float
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    max_gap: float = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is CallKind.REPEATABLE or self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties that all model engines of a service share.

    ``slots`` is an engine's batch size, in requests. ``fetch_ms`` is the time
    to fetch one cached token from another engine, in milliseconds; 0 where
    engines don't support it.
    """

    slots: int
    fetch_ms: float = 0


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A group of identical endpoints; ``engine`` is None for plain services.

    A cold endpoint can handle ``cold_rate`` requests per second.
    """

    name: str
    cold_rate: float
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers' requests."""

    body_bytes: int = 4_194_304


@dataclass(frozen=True, slots=True)
class Tenancy:
    """The account that an API key belongs to, and its priority if set."""

    account: str
    priority: int | None = None


def _no_accounts() -> Mapping[str, Tenancy]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operators' configuration.

    ``routes`` are listed by host, longest prefix first; ``keys`` maps API
    keys to accounts. ``token_rate`` is the combined capacity of all model
    engines in tokens per second, with a generated token counted twice; 0 if
    not configured. ``source`` is the configuration as operators wrote it.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, RoutedService]
    keys: Mapping[str, Tenancy] = field(default_factory=_no_accounts)
    limits: CallerLimits = CallerLimits()
    token_rate: float = 0
    source: bytes = field(default=b'', compare=False, repr=False)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
        name = host.partition(':')[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(
    routes: tuple[Route, ...],
) -> Mapping[str, tuple[Route, ...]]:
    """Return routes by host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    ranked = sorted(routes, key=lambda route: len(route.prefix), reverse=True)
    for route in ranked:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {host: tuple(rows) for host, rows in by_host.items()}


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request, chosen by the services' weights.

    The choice depends only on the request's id, so that every attempt at a
    request goes to the same service.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(each.weight for each in route.weighted_services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_SPAN * total
    for each in route.weighted_services:
        point -= each.weight
        if point < 0:
            return each.service
    return route.weighted_services[-1].service
