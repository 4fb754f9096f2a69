"""A caller's request on its way through the fleet, and what it used."""

from collections.abc import Mapping
from dataclasses import dataclass

from sesamespoke.world import Service

REQUEST_ID_HEADER = 'X-Request-Id'
VERDICT_HEADER = 'X-Sesamespoke-Verdict'


@dataclass(frozen=True, slots=True)
class Work:
    """One accepted request of a client account.

    ``deadline`` is on the loop's clock; ``digest`` identifies method, path
    and body for the quarantine; ``prefix`` identifies the beginning of the
    prompt for affinity; ``shared_parts`` name the messages of a prompt that
    others may share; ``hint`` is the caller's bound on output tokens.
    """

    request_id: str
    account: str
    service_name: str
    service: Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float
    digest: bytes
    prefix: bytes = b''
    shared_parts: tuple[str, ...] = ()
    hint: float | None = None
    streaming: bool = False
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Usage:
    """What an attempt used at its endpoint."""

    input_tokens: int = 0
    output_tokens: int = 0
    seconds: float = 0


@dataclass(frozen=True, slots=True)
class Slot:
    """The right to send one request to one endpoint.

    ``number`` is unique per slice and epoch; ``estimate`` is the cost
    charged so far, in cost units.
    """

    number: int
    slice_name: str
    epoch: int
    account: str
    endpoint_name: str
    estimate: float = 0
    started_at: float = 0
