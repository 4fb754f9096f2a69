"""Decodes the operators' configuration, a JSON entry of the store."""

import json
from dataclasses import replace
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
BITS_PER_MS_PER_MBPS = 1000
DEFAULT_TIMEOUT_MS = 30_000
"""The timeout of a route that sets none."""
DEFAULT_OBJECTIVE_MS = 1000
MIN_TIMEOUT_MS = 1
"""A shorter time can't be kept, and the smallest numbers are 0 in seconds."""
MAX_TIMEOUT_MS = 86_400_000
"""One day; a longer timeout would be no limit in practice."""

KINDS = MappingProxyType(
    {
        'idempotent': CallKind.REPEATABLE,
        'non_idempotent': CallKind.ONCE,
        'streaming': CallKind.STREAM,
    },
)


def read_catalog(content: bytes) -> Catalog | str:
    """Return the decoded configuration, or why it is malformed."""
    try:
        fields = json.loads(content)
        return replace(_read_fields(fields), source=content)
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
        _read_api_keys(fields),
        _read_limits(limits),
        read_number(limits, 'tokens_per_s'),
    )


def _read_api_keys(fields: Fields) -> dict[str, Tenancy]:
    keys: dict[str, Tenancy] = {}
    for row in fields.get('tenants') or ():
        priority = None
        if row.get('priority') is not None:
            priority = read_count(row, 'priority')
        tenancy = Tenancy(read_text(row, 'name'), priority)
        for key in row['api_keys']:
            if isinstance(row['api_keys'], str) or not isinstance(key, str):
                raise TypeError('api_keys is not a list of strings')
            keys[key] = tenancy
    keys.pop('', None)
    return keys


def _read_route(row: Fields) -> Route:
    """Return a route; a ``timeout_ms`` of 0 or none selects the default."""
    timeout_ms = read_number(row, 'timeout_ms', DEFAULT_TIMEOUT_MS)
    objective_ms = read_number(row, 'target_latency_ms', DEFAULT_OBJECTIVE_MS)
    return Route(
        read_text(row, 'name'),
        read_text(row, 'host'),
        read_text(row, 'prefix'),
        KINDS.get(row['kind'], CallKind.ONCE),
        _read_weighted_services(row),
        _bounded_seconds(timeout_ms),
        _bounded_seconds(objective_ms),
        max(1, read_count(row, 'max_attempts', 1)),
        read_count(row, 'priority'),
        public=read_flag(row, 'public'),
        resumable=read_flag(row, 'resume_streams'),
        max_gap=read_number(row, 'target_gap_ms') / MS_PER_SECOND,
    )


def _bounded_seconds(number_ms: float) -> float:
    return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, number_ms)) / MS_PER_SECOND


def _read_weighted_services(row: Fields) -> tuple[WeightedService, ...]:
    split = row.get('traffic_split')
    if not split:
        return (WeightedService(read_text(row, 'service'), 1),)
    weighted_services = tuple(
        WeightedService(read_text(part, 'service'), read_number(part, 'weight'))
        for part in split
    )
    if not any(weighted.weight for weighted in weighted_services):
        raise ValueError('all weights of traffic_split are 0')
    return weighted_services


def _read_service(row: Fields) -> RoutedService:
    engine = row.get('engine')
    spec = None
    if engine:
        slots = max(1, read_count(engine, 'slots', 1))
        spec = EngineSpec(slots, _read_fetch_ms(engine))
    return RoutedService(
        read_text(row, 'name'),
        read_number(row, 'cold_per_s'),
        spec,
    )


def _read_fetch_ms(engine: Fields) -> float:
    """Return the milliseconds to fetch one cached token from another engine.

    ``link_mbps`` is the bandwidth between engines, in megabits per second.
    """
    link = read_number(engine, 'link_mbps')
    bits = read_number(engine, 'kv_token_bytes') * BITS_PER_BYTE
    return bits / (link * BITS_PER_MS_PER_MBPS) if link else 0


def _read_limits(row: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max(1, read_count(row, 'max_body_bytes', default.body_bytes))
    )
