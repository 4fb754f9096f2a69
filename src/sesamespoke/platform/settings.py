"""The settings file that the platform writes, decoded."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from sesamespoke.checked_fields import (
    MALFORMED,
    Fields,
    read_amount,
    read_count,
    read_number,
    read_text,
)
from sesamespoke.serving.retry_budget import RetryBounds
from sesamespoke.serving.settings import (
    FeedSettings,
    ServingSettings,
    ShutdownSettings,
)
from sesamespoke.settings import Address

MS_PER_SECOND = 1000
MAX_PORT = 65_535
SETTINGS_VARIABLE = 'SESAMESPOKE_SETTINGS'
METRICS_PORT = 9464
"""The port that the deploy file names for metrics."""
STOP_FRACTION = 0.93
"""The part of the grace period that a stop may use before the kill."""
CALLERS_FRACTION = 0.5
"""The part of the descriptors that callers' connections may take; endpoints,
peers and files share the rest."""
DESCRIPTORS = 4096
"""Descriptors of a process, where the file names no limit."""
LIST_FRACTION = 0.4
"""The part of a drain's bound in which the engines are listed anew: a list
may fail once, and the next one still comes in time."""
MAX_LIST_SECONDS = 2.0
NOTICE_SECONDS = 3.0
"""Two misses of a readiness probe each second, and one to spare."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the file tells: the product's settings, and the store's place."""

    serving: ServingSettings
    store: Address


def load_settings(path: str) -> PlatformSettings | str:
    """Return the settings in a file, or why they can't be read."""
    try:
        with Path(path).open('rb') as file:
            return _read_fields(tomllib.load(file))
    except OSError as exc:
        return f'{path}: {exc.strerror}'
    except MALFORMED as exc:
        return f'{path}: {type(exc).__name__}: {exc}'


def _read_fields(fields: Fields) -> PlatformSettings:
    listens = fields['listen_addresses']
    bounds = fields.get('bounds', {})
    ip = read_text(fields, 'ip_address')
    limits = fields.get('limits', {})
    drain = read_number(bounds, 'drain_timeout_ms', 2000) / MS_PER_SECOND
    descriptors = read_count(limits, 'file_descriptors', DESCRIPTORS)
    longest = read_number(bounds, 'grace_period_s', 8) * STOP_FRACTION
    serving = ServingSettings(
        read_text(fields, 'node_name'),
        read_text(fields, 'zone'),
        callers=read_address(listens['frontend']),
        ready=read_address(listens['ready']),
        metrics=Address(ip, METRICS_PORT),
        peers=Address(ip, _read_port(fields['internal_port_range'][0])),
        retries=RetryBounds(
            read_amount(bounds, 'retry_budget_ratio', 0.1),
            read_number(bounds, 'budget_window_s', 10),
            read_amount(bounds, 'retry_budget_slack', 10),
        ),
        stop=ShutdownSettings(min(NOTICE_SECONDS, longest / 2), longest),
        feeds=FeedSettings(
            endpoints=min(MAX_LIST_SECONDS, drain * LIST_FRACTION),
        ),
        max_callers=max(1, int(descriptors * CALLERS_FRACTION)),
    )
    return PlatformSettings(
        serving, read_address(fields['platform']['address'])
    )


def read_address(text: str) -> Address:
    """Return an address written as ``IP:PORT``."""
    ip, _, port = text.rpartition(':')
    if not ip:
        raise ValueError(f'{text!r} is no address')
    return Address(ip, _read_port(port))


def _read_port(port: object) -> int:
    number = int(str(port))
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'{port!r} is no port')
    return number
