"""The operators' configuration, as the store holds it."""

import json
from types import MappingProxyType

from sesamespoke.checked_fields import (
    MALFORMED,
    Fields,
    read_count,
    read_flag,
    read_number,
    read_text,
)
from sesamespoke.serving.catalog import (
    CallerLimits,
    CallKind,
    Catalog,
    EngineSpec,
    Route,
    RoutedService,
    Tenancy,
    WeightedService,
    index_routes,
)

MS_PER_SECOND = 1000
BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000
DEFAULT_TIMEOUT_MS = 30_000
"""Milliseconds for a route that states no time-out."""
DEFAULT_OBJECTIVE_MS = 1000
MAX_TIMEOUT_MS = 86_400_000
"""A day; a route that states more has no bound to speak of."""

KINDS = MappingProxyType(
    {
        'idempotent': CallKind.REPEATABLE,
        'non_idempotent': CallKind.ONCE,
        'streaming': CallKind.STREAM,
    },
)


def read_catalog(content: bytes) -> Catalog | str:
    """Return a configuration, or why it can't be read."""
    try:
        fields = json.loads(content)
        return _read_fields(fields)
    except MALFORMED as exc:
        return f'{type(exc).__name__}: {exc}'


def _read_fields(fields: Fields) -> Catalog:
    routes = tuple(_read_route(row) for row in fields['routes'])
    services = (_read_service(row) for row in fields['services'])
    limits = fields.get('limits') or {}
    if 'version' not in fields:
        raise KeyError('version')
    return Catalog(
        read_count(fields, 'version'),
        index_routes(routes),
        {service.name: service for service in services},
        _read_keys(fields),
        _read_limits(limits),
        read_number(limits, 'tokens_per_s'),
    )


def _read_keys(fields: Fields) -> dict[str, Tenancy]:
    keys: dict[str, Tenancy] = {}
    for row in fields.get('tenants') or ():
        priority = None
        if row.get('priority') is not None:
            priority = read_count(row, 'priority')
        tenancy = Tenancy(read_text(row, 'name'), priority)
        for key in row['api_keys']:
            if isinstance(row['api_keys'], str) or not isinstance(key, str):
                raise TypeError('api_keys is no list of texts')
            keys[key] = tenancy
    keys.pop('', None)
    return keys


def _read_route(row: Fields) -> Route:
    """Return a route; ``timeout_ms`` 0 or none means no bound of its own."""
    timeout_ms = read_number(row, 'timeout_ms', DEFAULT_TIMEOUT_MS)
    objective_ms = read_number(row, 'target_latency_ms', DEFAULT_OBJECTIVE_MS)
    return Route(
        read_text(row, 'name'),
        read_text(row, 'host'),
        read_text(row, 'prefix'),
        KINDS.get(row['kind'], CallKind.ONCE),
        _read_branches(row),
        min(timeout_ms, MAX_TIMEOUT_MS) / MS_PER_SECOND,
        min(objective_ms, MAX_TIMEOUT_MS) / MS_PER_SECOND,
        max(1, read_count(row, 'max_attempts', 1)),
        read_count(row, 'priority'),
        public=read_flag(row, 'public'),
        resumable=read_flag(row, 'resume_streams'),
        max_gap=read_number(row, 'target_gap_ms') / MS_PER_SECOND,
    )


def _read_branches(row: Fields) -> tuple[WeightedService, ...]:
    split = row.get('traffic_split')
    if not split:
        return (WeightedService(read_text(row, 'service'), 1),)
    branches = tuple(
        WeightedService(read_text(part, 'service'), read_number(part, 'weight'))
        for part in split
    )
    if not any(branch.weight for branch in branches):
        raise ValueError('traffic_split leaves nothing to any service')
    return branches


def _read_service(row: Fields) -> RoutedService:
    engine = row.get('engine')
    shape = None
    if engine:
        slots = max(1, read_count(engine, 'slots', 1))
        shape = EngineSpec(slots, _read_fetch_ms(engine))
    return RoutedService(
        read_text(row, 'name'),
        read_number(row, 'cold_per_s'),
        shape,
    )


def _read_fetch_ms(engine: Fields) -> float:
    """Return the milliseconds that one kept token takes between engines.

    ``link_mbps`` is the engines' link to each other, in megabits a second.
    """
    link = read_number(engine, 'link_mbps')
    bits = read_number(engine, 'kv_token_bytes') * BITS_PER_BYTE
    return bits / (link * BITS_PER_MS_AND_MBPS) if link else 0


def _read_limits(row: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max(1, read_count(row, 'max_body_bytes', default.body_bytes))
    )
