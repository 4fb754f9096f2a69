"""The messages of the membership and of the gateways."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a host that may have failed for a heartbeat."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberSilent:
    """Tells that the sender, a watcher of a host, has missed it.

    ``gone`` if the sender has already taken the host out of its view.
    """

    host: str
    incarnation: int
    gone: bool


@dataclass(frozen=True, slots=True)
class DataCentreView:
    """The members of a data centre, as a gateway sees or has learned them.

    The stamp is that of the gateway which saw them; ``path`` numbers the
    streams by which the sender has reached the data centre. ``members``
    rows: host, incarnation, leaving.
    """

    data_centre: str
    wall_ms: int
    tick: int
    path: int
    members: tuple[tuple[str, int, bool], ...]


@dataclass(frozen=True, slots=True)
class RouteLost:
    """Tells that the sender no longer reaches a data centre."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class Relay:
    """An encoded message on its way by other hosts."""

    destination: str
    source: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Spread:
    """An encoded message on its way to all hosts of one data centre."""

    data_centre: str
    source: str
    payload: bytes


MembershipMessage = (
    Probe | MemberSilent | DataCentreView | RouteLost | Relay | Spread
)
