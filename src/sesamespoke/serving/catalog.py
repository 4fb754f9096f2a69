"""What operators state: routes, services, accounts and callers' limits.

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
    """What a route's calls permit."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The requests of one host below one path prefix.

    ``timeout`` bounds the whole request, ``objective`` the time to the
    answer or, for a stream, to its first event; ``max_gap`` bounds the
    pause between events. ``max_attempts`` counts endpoints that run one
    request. Priority 0 is the highest.
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
    """A model engine's batch size, in requests.

    ``fetch_ms`` is what it takes to fetch a token that another engine keeps,
    in milliseconds; 0 where engines can't.
    """

    slots: int
    fetch_ms: float = 0


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A group of like endpoints; ``engine`` is None for plain services.

    A cold endpoint bears ``cold_rate`` requests a second.
    """

    name: str
    cold_rate: float
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send."""

    body_bytes: int = 4_194_304


@dataclass(frozen=True, slots=True)
class Tenancy:
    """The account that a key belongs to, and its rank if it has one."""

    account: str
    priority: int | None = None


def _no_accounts() -> Mapping[str, Tenancy]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Catalog:
    """One whole version of what operators state.

    ``routes`` are listed by host, longest prefix first; ``keys`` maps API
    keys to accounts. ``token_rate`` is what all model engines together do in
    a second, a generated token counted twice; 0 if not stated.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, RoutedService]
    keys: Mapping[str, Tenancy] = field(default_factory=_no_accounts)
    limits: CallerLimits = CallerLimits()
    token_rate: float = 0

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
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
    """Return the service that a request goes to, by the branches' weights.

    The choice follows from the request's id, so that every try at one
    request goes to one service.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(branch.weight for branch in route.weighted_services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_SPAN * total
    for branch in route.weighted_services:
        point -= branch.weight
        if point < 0:
            return branch.service
    return route.weighted_services[-1].service
