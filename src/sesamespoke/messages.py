"""The messages that entry hosts exchange, one frozen class each.

Durations are in milliseconds, costs in the pool's cost units. A *slice* is
named ``service/data-centre/index`` and has one dispatcher. Fields that are
tuples of tuples state their row's shape.
"""

from dataclasses import dataclass

from sesamespoke.ledger_messages import LedgerMessage
from sesamespoke.membership_messages import MembershipMessage
from sesamespoke.routing_messages import RoutingMessage

Row = tuple[str, int, int, float]
EndedRow = tuple[int, int, int, float]
TotalRow = tuple[str, float, float]
SlotRow = tuple[str, int, int, str, str, float]


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a stream: who speaks, from where and since when."""

    host: str
    data_centre: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that a host lives; carries its revision and hybrid clock."""

    revision: int
    leaving: bool
    clock_ms: int
    clock_tick: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting work of a router, or of a data centre's dispatcher.

    ``waiting`` rows: account, count, age of the oldest in ms, estimated
    cost of one request. A row replaces the account's earlier row; absent
    accounts are unchanged, or wait no more if ``full``. ``grants_seen``
    is the sequence number of the last ``Grants`` that the counts take into
    account, and ``held`` the number of the slice's slots that the sender
    then held.
    """

    slice_name: str
    epoch: int
    grants_seen: int
    held: int
    full: bool
    waiting: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Grants:
    """Slots given out by a dispatcher.

    ``slots`` rows: slot number, account, endpoint. A slot must be started
    within ``lifetime_ms`` of arrival or be returned as unused. While the
    slice is ``contended``, slots are given back at once when work ends.
    """

    slice_name: str
    epoch: int
    sequence: int
    lifetime_ms: int
    contended: bool
    slots: tuple[tuple[int, str, str], ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """Slots that are free again, and the cost of the sender's accounts.

    ``ended`` rows: slot, outcome code of ``limits.Outcome``, first-token
    delay in ms (-1 if none), cost. ``totals`` rows: account, the sender's whole
    metered cost on the service since it started, and the part of it that
    belongs to slots still held. ``grants_seen`` is that of ``Demand``.
    """

    slice_name: str
    epoch: int
    grants_seen: int
    ended: tuple[EndedRow, ...]
    totals: tuple[TotalRow, ...]


@dataclass(frozen=True, slots=True)
class InFlightQuery:
    """A new dispatcher asks for the work in flight on its slice.

    Who answers takes no more grants of a lower epoch.
    """

    slice_name: str
    epoch: int


@dataclass(frozen=True, slots=True)
class InFlight:
    """The reply: what the sender holds, and its totals.

    ``epoch`` is the highest that the sender has seen for the slice. A row
    of ``slots``: slice, epoch and number of the slot, account, endpoint,
    estimated cost.
    """

    slice_name: str
    epoch: int
    grants_seen: int
    slots: tuple[SlotRow, ...]
    totals: tuple[TotalRow, ...]


@dataclass(frozen=True, slots=True)
class RevisionQuery:
    """Asks a host of another data centre which revision it has in force."""

    revision: int


@dataclass(frozen=True, slots=True)
class RevisionTold:
    """The reply: the number of the revision in force, or 0."""

    revision: int


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Asks a peer for its configuration.

    Without digests the peer's ``DocumentRoot`` is wanted, else the chunks
    that have these digests.
    """

    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class DocumentRoot:
    """An encoded ``document_root.Root`` that a peer has in force."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class DocumentPart:
    """One compressed chunk of a section; empty if the peer has none."""

    digest: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks a claim writer to claim or settle an idempotency key.

    ``name`` identifies account and key. ``outcome`` is the record that the
    sender wants to stand; it settles where it is no claim. ``grip`` tells
    where a claim to be settled stands, empty if unknown. ``superseded`` are
    earlier tokens of the same arrival.
    """

    number: int
    name: str
    outcome: bytes
    grip: bytes
    superseded: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The claim writer's answer: a state of ``claim_known.ClaimState``."""

    number: int
    state: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request's digest that was in flight when endpoints crashed.

    ``trying`` names the endpoint at which the sender runs it now, empty if
    none. No endpoints and no time remaining release the digest.
    """

    digest: bytes
    endpoints: tuple[str, ...]
    remaining_ms: int
    trying: str = ''


Message = (
    Hello
    | Heartbeat
    | Demand
    | Grants
    | Finished
    | InFlightQuery
    | InFlight
    | RevisionQuery
    | RevisionTold
    | DocumentRequest
    | DocumentRoot
    | DocumentPart
    | ClaimRequest
    | ClaimReply
    | Suspect
    | RoutingMessage
    | LedgerMessage
    | MembershipMessage
)
