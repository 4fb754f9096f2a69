"""What each role of one daemon is driven by at the design size."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from sesamespoke.bench.design_size import (
    BYTES_BOUND_PER_SECOND,
    CPU_BOUND,
    DESIGN,
    MEMORY_BOUND_BYTES,
)

CPU = 'cpu_fraction'
BYTES = 'bytes_per_second'
MESSAGES = 'messages_per_second'
RESIDENT = 'resident_bytes'
BOUNDS: Mapping[str, float] = MappingProxyType(
    {
        CPU: CPU_BOUND,
        BYTES: BYTES_BOUND_PER_SECOND,
        RESIDENT: MEMORY_BOUND_BYTES,
    },
)
ONE_CORE = 1
REMOTE = 1 - 1 / DESIGN.hosts_per_data_centre


@dataclass(frozen=True, slots=True)
class Driven:
    """One cost of a role, at which sizes, and how often a second.

    ``bound`` replaces the letter's bound for control where the cost is no
    control. A ``paced`` cost keeps to a budget, so that its largest
    measured value stands in place of the fit.
    """

    cost: str
    sizes: Mapping[str, float]
    shown_as: str = ''
    times: float = 1
    bound: float | None = None
    paced: bool = False

    @property
    def kind(self) -> str:
        """Return the cost that this adds to in a daemon's sum."""
        return self.shown_as or self.cost

    @property
    def limit(self) -> float | None:
        """Return the bound, if the letter gives one."""
        return BOUNDS.get(self.kind) if self.bound is None else self.bound


@dataclass(frozen=True, slots=True)
class RoleModel:
    """A role in the results file and what it costs a daemon."""

    role: str
    table: str
    costs: tuple[Driven, ...]
    is_control: bool = True
    mechanism: str = ''
    state: str = field(default='')


_RELAY = MappingProxyType(
    {
        'requests': DESIGN.requests_per_daemon,
        'tokens': DESIGN.tokens_per_daemon,
        'streams': DESIGN.streams_per_daemon,
    },
)
_QUEUES = MappingProxyType(
    {
        'requests': DESIGN.requests_per_daemon,
        'sent_requests': DESIGN.requests_per_daemon * REMOTE,
        'sent_waiting': DESIGN.waiting_per_daemon * REMOTE,
        'sent_slices': DESIGN.models * REMOTE,
    },
)
_DISPATCH = MappingProxyType(
    {
        'requests': DESIGN.requests_per_daemon,
        'sent_requests': DESIGN.requests_per_daemon * REMOTE,
        'requests_by_waiting': DESIGN.requests_per_daemon
        * DESIGN.backlogged_per_slice,
    },
)
_LEDGER = MappingProxyType(
    {
        'streams': DESIGN.streams_per_daemon,
        'sites': DESIGN.data_centres - 1,
    },
)
_PEERS = MappingProxyType({'peers': DESIGN.hosts_per_data_centre - 1})
_DOCUMENT = MappingProxyType({'accounts': DESIGN.accounts})

MODELS: tuple[RoleModel, ...] = (
    RoleModel(
        'relay',
        'caller-facing-router',
        (
            Driven(CPU, _RELAY, bound=ONE_CORE),
            Driven(RESIDENT, _RELAY),
        ),
        is_control=False,
        mechanism='`callers`, `exchange`, `relaying`, `endpoint_connections`',
    ),
    RoleModel(
        'queues',
        'caller-facing-router',
        (
            Driven(CPU, _QUEUES),
            Driven(BYTES, _QUEUES),
            Driven(MESSAGES, _QUEUES),
        ),
        mechanism='`queues`, `service_queue`: demand and totals',
    ),
    RoleModel(
        'dispatchers',
        'dispatcher',
        (
            Driven(CPU, _DISPATCH),
            Driven(BYTES, _DISPATCH),
            Driven(MESSAGES, _DISPATCH),
        ),
        mechanism='`roles`, `dispatch`, `demand`, `endpoints`: grants',
    ),
    RoleModel(
        'ledger',
        'ledger',
        (
            Driven(CPU, _LEDGER, paced=True),
            Driven(BYTES, _LEDGER, paced=True),
            Driven(MESSAGES, _LEDGER, paced=True),
        ),
        mechanism='`counts`, `pool_ledgers`, `ledger_shards`: counts, paced',
    ),
    RoleModel(
        'peers',
        'membership',
        (
            Driven(CPU, _PEERS),
            Driven(BYTES, _PEERS),
            Driven(MESSAGES, _PEERS),
            Driven(RESIDENT, _PEERS),
        ),
        mechanism='`peers`, `membership`, `heartbeats`, `mesh`',
    ),
    RoleModel(
        'document',
        'configuration',
        (
            Driven(
                'cpu_seconds_per_change',
                _DOCUMENT,
                shown_as=CPU,
                times=DESIGN.changes,
            ),
            Driven(
                'chunk_bytes_per_change',
                _DOCUMENT,
                shown_as=BYTES,
                times=DESIGN.changes,
            ),
            Driven(RESIDENT, _DOCUMENT),
        ),
        mechanism='`rollout`, `document`, `document_chunks`',
    ),
)
