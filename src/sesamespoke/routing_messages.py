"""The messages by which routers of routed services stay in step."""

from dataclasses import dataclass

from sesamespoke.crash_messages import CrashMessage

EndpointRow = tuple[str, str, str, str, str, int, bool, int, int, int]


@dataclass(frozen=True, slots=True)
class RouterLoads:
    """What one router has in flight, and what accounts asked and got there.

    ``endpoints`` rows: endpoint, requests running, milliseconds of prompts
    to read. ``accounts`` rows: account, tokens asked for and tokens granted
    since the last report; they are added up, so that a lost report loses
    some fairness, no safety.
    """

    endpoints: tuple[tuple[str, int, int], ...]
    accounts: tuple[tuple[str, int, int], ...]


@dataclass(frozen=True, slots=True)
class SiteLoads:
    """What all routers of one data centre have in flight and gave of late.

    ``age_ms`` is the age of these sums. ``endpoints`` rows are those of
    ``RouterLoads``. ``accounts`` rows: account, tokens asked for and tokens
    granted, both faded to the time of the sums. ``heard`` names the data
    centres whose own sums reach this one directly.
    """

    data_centre: str
    age_ms: int
    endpoints: tuple[tuple[str, int, int], ...]
    accounts: tuple[tuple[str, int, int], ...]
    heard: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The platform's list of endpoints, as a router has just read it.

    ``era`` and ``revision`` are the store's; ``digest`` identifies the list and
    ``orders`` the operators' orders in force at the sender. Rows: name,
    service, address, data centre, software version, slots, leaving,
    milliseconds of cold start left, incarnation, revision of its entry.
    Without rows the list is the one of the digest.
    """

    era: int
    revision: int
    digest: int
    orders: int
    rows: tuple[EndpointRow, ...]


@dataclass(frozen=True, slots=True)
class EndpointLeaves:
    """An incarnation of an endpoint has said in an answer that it leaves."""

    endpoint: str
    born: int


@dataclass(frozen=True, slots=True)
class EndpointLimit:
    """The requests per second that an incarnation of an endpoint takes.

    ``number`` orders the changes. ``rate`` counts only while the limit
    ``is_named``; it has ended otherwise.
    """

    endpoint: str
    born: int
    number: int
    is_named: bool
    rate: float


@dataclass(frozen=True, slots=True)
class OperatorEntries:
    """Operator entries in force at a router that the store may have lost.

    ``version`` is that of the configuration, ``evacuated`` names the data
    centres that are to get no work.
    """

    version: int
    evacuated: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Asks a router for its configuration, of this version or a later one."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """The configuration in force at the sender, as operators wrote it."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class RolloutAnswers:
    """The answers to one router's requests since a rollout was ordered.

    ``order`` is the store's revision of the order. ``rows``: route, whether
    of the new version, class of the answer, number of answers.
    """

    service: str
    order: int
    rows: tuple[tuple[str, bool, int, int], ...]


@dataclass(frozen=True, slots=True)
class RolloutStage:
    """The stage of a rollout, and the part of requests its version may get.

    ``order`` is the store's revision of the order, ``age_ms`` the time since.
    ``stage`` is a ``serving.rollout_plan.Stage``.
    """

    service: str
    version: str
    order: int
    stage: int
    share: float
    age_ms: int


@dataclass(frozen=True, slots=True)
class EndpointAnswers:
    """Answers of endpoints to one router's requests since its last report.

    ``number`` grows with each report of a host. ``rows``: endpoint,
    incarnation, cause of the errors, errors, sound answers; both are decayed
    to the time of the report (``serving.outlier_evidence``).
    """

    number: int
    rows: tuple[tuple[str, int, int, float, float], ...]


@dataclass(frozen=True, slots=True)
class EndpointTrial:
    """How an ejected incarnation of an endpoint has answered a trial.

    ``number`` counts the pauses of its ejection.
    """

    endpoint: str
    born: int
    number: int
    is_sound: bool


ConfigMessage = OperatorEntries | ConfigRequest | ConfigCopy
RolloutMessage = RolloutAnswers | RolloutStage
OutlierMessage = EndpointAnswers | EndpointTrial
RoutingMessage = (
    RouterLoads
    | SiteLoads
    | EndpointList
    | EndpointLeaves
    | EndpointLimit
    | ConfigMessage
    | RolloutMessage
    | OutlierMessage
    | CrashMessage
)
