"""The messages by which routers share what they know of crashes.

Times are sent as ages in milliseconds, since hosts share no clock.
"""

from dataclasses import dataclass

BrokenRow = tuple[bytes, int, str]
BreakRow = tuple[bytes, int, int]


@dataclass(frozen=True, slots=True)
class EndpointCrash:
    """A crash of an endpoint, ``age_ms`` ago.

    ``crash`` names the incarnation of the endpoint. ``rows``, one for each
    shared part of a prompt: digest of a request without an answer, its age
    when the message is sent, and the part; no part if all are cleared.
    ``answered`` are those of the parts with which the sender has seen a
    complete answer before.
    """

    crash: str
    age_ms: int
    rows: tuple[BrokenRow, ...]
    answered: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartsCleared:
    """An answer began ``age_ms`` ago for a request with these parts."""

    digest: bytes
    parts: tuple[str, ...]
    age_ms: int


@dataclass(frozen=True, slots=True)
class PartsTrial:
    """A request with these quarantined parts is tried, or no longer."""

    parts: tuple[str, ...]
    running: bool


@dataclass(frozen=True, slots=True)
class RequestsBroken:
    """Connections that ended on requests, at endpoints of any kind.

    ``rows``: digest of the request, ages of its sending and of the break.
    ``answered`` are those of the digests to which the sender has seen a
    complete answer before, ``quarantined`` those that it has quarantined:
    delays between hosts blur which break came before a request was sent.
    """

    rows: tuple[BreakRow, ...]
    answered: tuple[bytes, ...]
    quarantined: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RequestCleared:
    """An answer to a request began ``age_ms`` ago."""

    digest: bytes
    age_ms: int


@dataclass(frozen=True, slots=True)
class RequestTrial:
    """A quarantined request is tried, or no longer."""

    digest: bytes
    running: bool


PartMessage = EndpointCrash | PartsCleared | PartsTrial
RequestMessage = RequestsBroken | RequestCleared | RequestTrial
CrashMessage = PartMessage | RequestMessage
