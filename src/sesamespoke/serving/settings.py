"""The settings of a router of routed services, passed whole."""

from dataclasses import dataclass, field

from sesamespoke.serving.retry_budget import RetryBounds
from sesamespoke.settings import Address, Settings, StoreSettings


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How a planned stop goes, in seconds from the signal.

    New connections cease to come once the balancer has seen that the host
    is not ready (``drain_delay``); after ``timeout`` what still runs is cut.
    """

    drain_delay: float = 3.0
    timeout: float = 7.4


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """How often the platform is asked, in seconds.

    The list of endpoints and the hosts' own entries are read again and
    again, and a watch of the orders is opened anew; the ``non_reader`` figures
    are those of routers that others tell. An own entry lapses ``lease``
    after its host has gone.
    """

    endpoints: float = 0.8
    hosts: float = 5.0
    non_reader_hosts: float = 20.0
    watch: float = 2.0
    non_reader_watch: float = 20.0
    lease: float = 10.0


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Everything that one process learns before it starts.

    ``peers`` is the address for the streams of other routers.
    ``max_callers`` bounds the open connections of callers.
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


def peer_settings(cfg: ServingSettings) -> Settings:
    """Return what the peer streams need."""
    return Settings(
        host=cfg.host,
        data_centre=cfg.data_centre,
        callers=cfg.callers,
        admin=cfg.metrics,
        peers=cfg.peers,
        store=StoreSettings(urls=()),
    )
