"""The settings of one process, checked once and passed whole."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from sesamespoke.constraints import STRICT, Name, Positive, at_least, at_most


@dataclass(frozen=True)
class Address:
    """An IP number and a TCP port; port 0 asks for any free one."""

    __pydantic_config__ = STRICT

    ip: str
    port: Annotated[int, at_least(0), at_most(65_535)]

    def __str__(self) -> str:
        """Return the usual ``ip:port`` form."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True)
class Seed:
    """A peer that is tried first, before the host list is known."""

    __pydantic_config__ = STRICT

    host: Name
    data_centre: Name
    address: Address


@dataclass(frozen=True)
class TLSFiles:
    """Paths of the PEM files of a mutually authenticated connection."""

    __pydantic_config__ = STRICT

    certificate: str
    key: str
    authority: str


@dataclass(frozen=True)
class Operator:
    """An operators' team: its token's digest and the sections it owns."""

    __pydantic_config__ = STRICT

    token_sha256: str
    sections: tuple[str, ...]


@dataclass(frozen=True)
class StoreSettings:
    """Where the platform's key-value service answers, and how long to wait.

    A watch that says nothing for ``watch_idle_seconds`` is opened anew.
    """

    __pydantic_config__ = STRICT

    urls: tuple[str, ...]
    timeout_seconds: Positive = 2
    watch_idle_seconds: Positive = 60
    prefix: str = '/sesamespoke/'


@dataclass(frozen=True)
class Timing:
    """Intervals of the protocols between entry hosts, in seconds."""

    __pydantic_config__ = STRICT

    heartbeat: Positive = 0.5
    suspect_after: Positive = 1.5
    report_interval: Positive = 0.02
    counts_interval: Positive = 0.1
    grant_lifetime: Positive = 1.0
    host_list_interval: Positive = 1.0


@dataclass(frozen=True)
class ClaimSettings:
    """How idempotency keys are claimed; times in seconds.

    A claim is kept for one to two periods. Each of the ``partitions`` has
    one claim writer in a data centre, which sends a batch at most every
    ``batch_interval``. Answers longer than ``kept_body_bytes`` are not kept.
    """

    __pydantic_config__ = STRICT

    period: Positive = 14_400
    partitions: Annotated[int, at_least(1), at_most(64)] = 2
    batch_interval: Positive = 0.025
    max_wait: Positive = 5
    kept_body_bytes: Annotated[int, at_least(0), at_most(8192)] = 4096
    known_claims: Annotated[int, at_least(1)] = 50_000


@dataclass(frozen=True)
class Settings:
    """Everything that one router process learns before it starts."""

    __pydantic_config__ = STRICT

    host: Name
    data_centre: Name
    callers: Address
    admin: Address
    peers: Address
    store: StoreSettings
    seeds: tuple[Seed, ...] = ()
    host_list_url: str | None = None
    peer_tls: TLSFiles | None = None
    admin_tls: TLSFiles | None = None
    operators: Mapping[str, Operator] = field(default_factory=dict)
    timing: Timing = Timing()
    claims: ClaimSettings = ClaimSettings()
    drain_seconds: Positive = 120
    log_level: str = 'info'
