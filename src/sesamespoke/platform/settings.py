"""Decodes the settings file that the platform writes."""

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
from sesamespoke.serving.rollout_plan import RolloutBounds
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
"""The metrics port in the deployment file."""
SHUTDOWN_FRACTION = 0.93
"""Fraction of the grace period in which a shutdown has to finish; after the
grace period the platform kills the process."""
CALLERS_FRACTION = 0.5
"""Fraction of the file descriptors that callers' connections may use; the rest
is for endpoints, peers and files."""
BODY_MEMORY_FRACTION = 0.2
"""Fraction of the process's memory that request bodies may take: a router needs
some 50 MB for itself, and a body is held twice while it is sent."""
JOURNAL_FRACTION = 0.5
"""Fraction of the store's writing calls that the journal of streams may use."""
DEFAULT_STORE_WRITES = 200.0
DEFAULT_MEMORY_MB = 1024
BYTES_PER_MB = 1_048_576
DEFAULT_FILE_DESCRIPTORS = 4096
"""The process's limit of file descriptors if the settings file names none."""
LIST_INTERVAL_FRACTION = 0.4
"""Interval between reads of the engine list, as a fraction of the drain
timeout: if one read fails, the next one is still within the timeout."""
MAX_LIST_INTERVAL_SECONDS = 2.0
DRAIN_DELAY_SECONDS = 3.0
"""Time for the balancer to see that the host is not ready: two failed readiness
probes at one per second, and one second of margin."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The decoded file: the router's settings and the store's address."""

    serving: ServingSettings
    store: Address


def load_settings(path: str) -> PlatformSettings | str:
    """Return the settings in a file, or why the file can't be used."""
    try:
        with Path(path).open('rb') as file:
            return _read_fields(tomllib.load(file))
    except OSError as exc:
        return f'{path}: {exc.strerror}'
    except MALFORMED as exc:
        return f'{path}: {type(exc).__name__}: {exc}'


def _read_fields(fields: Fields) -> PlatformSettings:
    listen_addresses = fields['listen_addresses']
    bounds = fields.get('bounds', {})
    ip = read_text(fields, 'ip_address')
    limits = fields.get('limits', {})
    drain = read_number(bounds, 'drain_timeout_ms', 2000) / MS_PER_SECOND
    descriptors = read_count(
        limits, 'file_descriptors', DEFAULT_FILE_DESCRIPTORS
    )
    memory = read_number(limits, 'memory_mb', DEFAULT_MEMORY_MB) * BYTES_PER_MB
    shutdown_timeout = (
        read_number(bounds, 'grace_period_s', 8) * SHUTDOWN_FRACTION
    )
    serving = ServingSettings(
        read_text(fields, 'node_name'),
        read_text(fields, 'zone'),
        callers=read_address(listen_addresses['frontend']),
        ready=read_address(listen_addresses['ready']),
        metrics=Address(ip, METRICS_PORT),
        peers=Address(ip, _read_port(fields['internal_port_range'][0])),
        retries=RetryBounds(
            read_amount(bounds, 'retry_budget_ratio', 0.1),
            read_number(bounds, 'budget_window_s', 10),
            read_amount(bounds, 'retry_budget_slack', 10),
        ),
        stop=ShutdownSettings(
            min(DRAIN_DELAY_SECONDS, shutdown_timeout / 2), shutdown_timeout
        ),
        feeds=FeedSettings(
            endpoints=min(
                MAX_LIST_INTERVAL_SECONDS, drain * LIST_INTERVAL_FRACTION
            ),
        ),
        max_callers=max(1, int(descriptors * CALLERS_FRACTION)),
        body_memory=memory * BODY_MEMORY_FRACTION,
        journal_writes=_read_journal_writes(fields['platform']),
        rollouts=_read_rollout_bounds(bounds),
    )
    return PlatformSettings(
        serving, read_address(fields['platform']['address'])
    )


def _read_journal_writes(platform: Fields) -> float:
    """Return how many writes a second the journal of streams may take."""
    writes = read_number(platform, 'writes_per_s', DEFAULT_STORE_WRITES)
    return max(1, writes) * JOURNAL_FRACTION


def _read_rollout_bounds(bounds: Fields) -> RolloutBounds | None:
    """Return the bounds of rollouts; None where they aren't ordered."""
    if 'exposure_share' not in bounds:
        return None
    default = RolloutBounds()
    return RolloutBounds(
        read_amount(bounds, 'exposure_share', default.share),
        read_amount(bounds, 'exposure_slack', default.slack),
    )


def read_address(text: str) -> Address:
    """Return an address written as ``IP:PORT``."""
    ip, _, port = text.rpartition(':')
    if not ip:
        raise ValueError(f'{text!r} is not an address of the form IP:PORT')
    return Address(ip, _read_port(port))


def _read_port(port: object) -> int:
    number = int(str(port))
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'{port!r} is not a valid port number')
    return number
