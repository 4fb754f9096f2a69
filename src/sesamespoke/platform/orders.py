"""The operators' configuration, as the store holds it."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from sesamespoke.serving.catalog import (
    Branch,
    CallerLimits,
    CallKind,
    Catalog,
    EngineShape,
    Route,
    RoutedService,
    Tenancy,
    index_routes,
)

MS_PER_SECOND = 1000
BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000
MALFORMED: Final = (ValueError, TypeError, KeyError, AttributeError)
DEFAULT_TIMEOUT_MS = 30_000
"""Milliseconds for a route that states no time-out."""
DEFAULT_OBJECTIVE_MS = 1000

KINDS = MappingProxyType(
    {
        'idempotent': CallKind.REPEATABLE,
        'non_idempotent': CallKind.ONCE,
        'streaming': CallKind.STREAM,
    },
)

Fields = Mapping[str, Any]


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
    keys = {
        key: Tenancy(row['name'], row.get('priority'))
        for row in fields.get('tenants') or ()
        for key in row['api_keys']
    }
    limits = fields.get('limits') or {}
    return Catalog(
        int(fields['version']),
        index_routes(routes),
        {service.name: service for service in services},
        keys,
        _read_limits(limits),
        float(limits.get('tokens_per_s') or 0),
    )


def _read_route(row: Fields) -> Route:
    """Return a route; ``timeout_ms`` 0 or none means no bound of its own."""
    timeout_ms = row.get('timeout_ms') or DEFAULT_TIMEOUT_MS
    objective_ms = row.get('target_latency_ms') or DEFAULT_OBJECTIVE_MS
    return Route(
        row['name'],
        row['host'],
        row['prefix'],
        KINDS.get(row['kind'], CallKind.ONCE),
        _read_branches(row),
        timeout_ms / MS_PER_SECOND,
        objective_ms / MS_PER_SECOND,
        int(row.get('max_attempts') or 1),
        int(row.get('priority') or 0),
        public=bool(row.get('public')),
        resumable=bool(row.get('resume_streams')),
        max_gap=(row.get('target_gap_ms') or 0) / MS_PER_SECOND,
    )


def _read_branches(row: Fields) -> tuple[Branch, ...]:
    split = row.get('traffic_split')
    if split:
        return tuple(
            Branch(part['service'], float(part['weight'])) for part in split
        )
    return (Branch(row['service'], 1),)


def _read_service(row: Fields) -> RoutedService:
    engine = row.get('engine')
    shape = None
    if engine:
        shape = EngineShape(int(engine['slots']), _read_fetch_ms(engine))
    return RoutedService(
        row['name'],
        float(row.get('cold_per_s') or 0),
        shape,
    )


def _read_fetch_ms(engine: Fields) -> float:
    """Return the milliseconds that one kept token takes between engines.

    ``link_mbps`` is the engines' link to each other, in megabits a second.
    """
    link = float(engine.get('link_mbps') or 0)
    bits = float(engine.get('kv_token_bytes') or 0) * BITS_PER_BYTE
    return bits / (link * BITS_PER_MS_AND_MBPS) if link else 0


def _read_limits(row: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(int(row.get('max_body_bytes') or default.body_bytes))
