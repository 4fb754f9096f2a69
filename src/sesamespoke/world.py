"""What the configuration describes: pools, accounts, sites and services.

All classes are frozen; one ``Document`` is one accepted revision. Every
duration is in seconds and every size in bytes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from sesamespoke.constraints import (
    STRICT,
    Name,
    NonNegative,
    Positive,
    Ratio,
    at_least,
    at_most,
    matching,
)


class ServiceKind(Enum):
    """The protocol that a service speaks."""

    LANGUAGE = 'language'
    APPLICATION = 'application'


class LimitUnit(Enum):
    """What an endpoint's limit counts."""

    REQUESTS = 'requests'
    CONTEXT_TOKENS = 'context_tokens'


class EndpointState(Enum):
    """Whether an endpoint may be given new work."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class Pool:
    """Cost units charged per input token, output token and busy second."""

    __pydantic_config__ = STRICT

    input_token: NonNegative = 0
    output_token: NonNegative = 0
    second: NonNegative = 0


@dataclass(frozen=True)
class Capacity:
    """How capacity is shared: pools by name and fleet-wide policy.

    ``locality_slack`` is the lead, in cost units per share unit, that local
    accounts keep over remote ones; ``retry_ratio`` bounds retries as a
    fraction of fresh requests.
    """

    __pydantic_config__ = STRICT

    pools: Mapping[Name, Pool]
    locality_slack: NonNegative = 1
    retry_ratio: Ratio = 0.1


@dataclass(frozen=True)
class Account:
    """A client account: its share, its keys and its bound on waiting work."""

    __pydantic_config__ = STRICT

    share: Positive
    api_key_sha256: tuple[str, ...]
    max_waiting: Annotated[int, at_least(1), at_most(100_000)] = 1000


@dataclass(frozen=True)
class DataCentre:
    """A data centre; out of service it takes no new work."""

    __pydantic_config__ = STRICT

    region: str
    in_service: bool = True


@dataclass(frozen=True)
class CallRule:
    """Whether calls of one method and path prefix may be repeated."""

    __pydantic_config__ = STRICT

    method: str
    path: str
    idempotent: bool
    key_header: str = 'Idempotency-Key'


@dataclass(frozen=True)
class Contract:
    """What a service's endpoints promise.

    ``not_run_statuses`` are statuses by which an endpoint truthfully says
    that it did not run a request. Unlisted calls of a method other than GET
    and HEAD are not idempotent for applications; language calls are.
    """

    __pydantic_config__ = STRICT

    calls: tuple[CallRule, ...] = ()
    not_run_statuses: tuple[int, ...] = ()
    echoes_request_id: bool = False
    resumable: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True)
class Limit:
    """Bounds on the work in flight at one endpoint.

    ``cold`` is what a freshly started endpoint bears, ``warm`` the most it
    is ever given; both in ``unit``. An endpoint counts as cold until
    ``warm_after`` requests in a row were answered in time. First tokens
    later than ``first_token_seconds`` shrink the limit.
    """

    __pydantic_config__ = STRICT

    cold: Annotated[int, at_least(1)]
    warm: Annotated[int, at_least(1)]
    unit: LimitUnit = LimitUnit.REQUESTS
    first_token_seconds: Positive = 0.47
    warm_after: Annotated[int, at_least(1)] = 8


@dataclass(frozen=True)
class Endpoint:
    """A back end of one service: its base URL and data centre."""

    __pydantic_config__ = STRICT

    url: Annotated[str, matching(r'^https?://[^/]+$')]
    data_centre: Name
    state: EndpointState = EndpointState.ACTIVE


@dataclass(frozen=True)
class Service:
    """A service that callers reach, and its endpoints by name.

    ``path`` is the prefix that callers use; for a language service it is
    the protocol's and the service's name is the model.
    """

    __pydantic_config__ = STRICT

    kind: ServiceKind
    pool: Name
    limit: Limit
    endpoints: Mapping[Name, Endpoint]
    path: Annotated[str, matching('^/')] = '/v1/chat/completions'
    contract: Contract = Contract()
    deadline_seconds: Positive = 60
    max_body_bytes: Annotated[int, at_least(1)] = 1_048_576


@dataclass(frozen=True)
class Document:
    """One whole configuration, as the operators' sections state it."""

    __pydantic_config__ = STRICT

    capacity: Capacity
    accounts: Mapping[Name, Account]
    data_centres: Mapping[Name, DataCentre]
    services: Mapping[Name, Service]


@dataclass(frozen=True)
class Revision:
    """A document in force with its number, which only grows."""

    number: int
    document: Document
