"""Settings of a router of routed services, passed as one object."""

from dataclasses import dataclass, field

from sesamespoke.request_server import DEFAULT_BODY_MEMORY
from sesamespoke.serving.retry_budget import RetryBounds
from sesamespoke.serving.rollout_plan import RolloutBounds
from sesamespoke.settings import Address, Settings, StoreSettings


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Times of a graceful shutdown, in seconds after the signal.

    Within ``drain_delay`` the load balancer sees that the host is not ready
    and stops opening connections to it. At ``timeout`` requests that are still
    in progress are cut off.
    """

    drain_delay: float = 3.0
    timeout: float = 7.4


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Intervals at which the platform's store is read, in seconds.

    The list of endpoints (``endpoints``) and the entries of the hosts
    (``hosts``) are polled, and the watch of the operator entries is reopened
    (``watch``). The ``non_reader`` intervals apply to routers that receive
    updates from another router, the reader of their data centre. A host's own
    entry expires ``lease`` seconds after the host has gone.
    """

    endpoints: float = 0.8
    hosts: float = 5.0
    non_reader_hosts: float = 20.0
    watch: float = 1.5
    non_reader_watch: float = 20.0
    lease: float = 10.0


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Settings of one router process.

    ``peers`` is the listen address for streams from other routers.
    ``max_callers`` limits the open connections of callers, ``body_memory`` the
    bytes that their requests' bodies take together. All routers together
    make at most ``journal_writes`` writes a second to the journal of streams.
    ``rollouts`` is set where operators order rollouts of software versions.
    """

    host: str
    data_centre: str
    callers: Address
    ready: Address
    metrics: Address
    peers: Address
    retries: RetryBounds = RetryBounds()
    stop: ShutdownSettings = ShutdownSettings()
    feeds: FeedSettings = field(default_factory=FeedSettings)
    max_callers: int = 2000
    body_memory: float = DEFAULT_BODY_MEMORY
    journal_writes: float = 100.0
    rollouts: RolloutBounds | None = None


def peer_settings(cfg: ServingSettings) -> Settings:
    """Return the settings of the peer streams."""
    return Settings(
        host=cfg.host,
        data_centre=cfg.data_centre,
        callers=cfg.callers,
        admin=cfg.metrics,
        peers=cfg.peers,
        store=StoreSettings(urls=()),
    )
