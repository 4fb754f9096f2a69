"""What one soak runs: routers, engines, a store, and the links between."""

import json
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ZONES = ('north', 'south', 'west')
HOST = 'soak.example'
API_KEY = 'key-1'
TENANT = 'acme'
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
RETRY_RATIO = 0.2
RETRY_WINDOW = 10.0
COLD_PER_SECOND = 8.9
COLD_BOUND = COLD_PER_SECOND * 1.5 + 5
COLD_SECONDS = 3.0
NAMED_LIMIT = 1.5
"""Requests a second that a limited engine takes from all routers."""
LIMIT_WINDOW = 4.0
LIMIT_BOUND = 1.5 * NAMED_LIMIT * LIMIT_WINDOW + 5
BEAT_SECONDS = 0.8
FIRST_PORT, LAST_PORT, BLOCK = 12_000, 32_000, 1000
"""Below the ports that the kernel gives to outgoing connections."""
PEER_PORT = 7400


@dataclass(frozen=True)
class Kind:
    """One kind of request, as the operators' sheet has it."""

    name: str
    service: str
    route_kind: str
    weight: float
    objective: float
    deadline: float
    max_attempts: int
    resumable: bool = False
    events: int = 0

    @property
    def prefix(self) -> str:
        return f'/{self.name}/'

    @property
    def is_once(self) -> bool:
        """Return whether a request may run at most once."""
        return self.route_kind != 'idempotent' and not self.resumable


KINDS = (
    Kind('guide', 'llm', 'streaming', 24, 1.2, 12, 2, True, 12),
    Kind('answer', 'llm', 'streaming', 43, 1.0, 10, 1, False, 9),
    Kind('seat', 'llm', 'streaming', 37, 2.0, 3, 2, True, 3),
    Kind('book', 'desk', 'non_idempotent', 11, 0.2, 1.5, 1),
    Kind('look', 'desk', 'idempotent', 15, 0.2, 1.5, 2),
)
SERVICES = ('llm', 'desk')


@dataclass(frozen=True)
class Engine:
    """Where an engine listens; each of its starts has a name of its own."""

    name: str
    service: str
    zone: str
    port: int
    slots: int
    work_ms: float


@dataclass(frozen=True)
class Router:
    """A router's addresses; each has an IP of the loopback of its own."""

    name: str
    zone: str
    ip: str
    store_port: int
    view_port: int

    @property
    def callers(self) -> tuple[str, int]:
        return self.ip, 8783

    @property
    def ready(self) -> tuple[str, int]:
        return self.ip, 8780

    @property
    def peers(self) -> str:
        return f'{self.ip}:{PEER_PORT}'


@dataclass(frozen=True)
class Way:
    """A link that the soak may disturb: who connects, and where to."""

    source: str
    target: str
    port: int
    address: tuple[str, int]


@dataclass(frozen=True)
class Site:
    """Everything that runs, with its addresses."""

    routers: tuple[Router, ...]
    engines: tuple[Engine, ...]
    store_port: int
    slack: float
    ways: tuple[Way, ...] = ()
    views: dict[str, dict[str, str]] = field(default_factory=dict)

    def settings_text(self, router: Router) -> str:
        """Return the settings file that the platform would write."""
        return '\n'.join(
            (
                f'node_name = "{router.name}"',
                f'ip_address = "{router.ip}"',
                f'zone = "{router.zone}"',
                'region = "land"',
                f'internal_port_range = [{PEER_PORT}, {PEER_PORT + 15}]',
                '[listen_addresses]',
                f'frontend = "{router.ip}:8783"',
                f'ready = "{router.ip}:8780"',
                '[limits]',
                'file_descriptors = 4100',
                '[bounds]',
                f'drain_timeout_ms = {DRAIN_SECONDS * 1000:.0f}',
                f'grace_period_s = {GRACE_SECONDS:.0f}',
                f'retry_budget_ratio = {RETRY_RATIO}',
                f'budget_window_s = {RETRY_WINDOW:.0f}',
                f'retry_budget_slack = {self.slack}',
                '[platform]',
                f'address = "127.0.0.1:{router.store_port}"',
                '',
            )
        )

    def config(self, version: int) -> dict[str, Any]:
        """Return the operators' configuration."""
        return {
            'version': version,
            'routes': [_route_row(kind) for kind in KINDS],
            'services': [
                {
                    'name': 'llm',
                    'cold_per_s': COLD_PER_SECOND,
                    'engine': {'slots': 64},
                },
                {'name': 'desk', 'cold_per_s': 0.0},
            ],
            'limits': {'max_body_bytes': 100_000, 'tokens_per_s': 200_000},
            'tenants': [{'name': TENANT, 'api_keys': [API_KEY]}],
        }


def _route_row(kind: Kind) -> dict[str, Any]:
    return {
        'name': kind.name,
        'host': HOST,
        'prefix': kind.prefix,
        'kind': kind.route_kind,
        'timeout_ms': kind.deadline * 1000,
        'target_latency_ms': kind.objective * 1000,
        'target_gap_ms': 600,
        'service': kind.service,
        'max_attempts': kind.max_attempts,
        'resume_streams': kind.resumable,
        'public': False,
    }


def lay_out(
    routers: int, language: int, plain: int, slack: float, ports: Iterator[int]
) -> Site:
    """Return a site whose links all lead through the soak."""
    first = next(ports)
    net = f'127.{first // 256}.{first % 256}'
    hosts = tuple(
        Router(
            f'router-{number + 1}',
            ZONES[number % len(ZONES)],
            f'{net}.{number + 1}',
            next(ports),
            next(ports),
        )
        for number in range(routers)
    )
    specs = [('llm', 64, 20.0)] * language + [('desk', 6, 45.0)] * plain
    engines = tuple(
        Engine(
            f'engine-{number + 1}',
            service,
            ZONES[number % len(ZONES)],
            next(ports),
            slots,
            work_ms,
        )
        for number, (service, slots, work_ms) in enumerate(specs)
    )
    ways: list[Way] = []
    views: dict[str, dict[str, str]] = {}
    for host in hosts:
        store = ('127.0.0.1', host.view_port)
        ways.append(Way(host.name, 'store', host.store_port, store))
        view = views.setdefault(host.name, {})
        for engine in engines:
            address = ('127.0.0.1', engine.port)
            ways.append(Way(host.name, engine.name, next(ports), address))
            view[f'127.0.0.1:{engine.port}'] = f'127.0.0.1:{ways[-1].port}'
        for peer in hosts:
            if peer is not host:
                address = (peer.ip, PEER_PORT)
                ways.append(Way(host.name, peer.name, next(ports), address))
                view[peer.peers] = f'127.0.0.1:{ways[-1].port}'
    return Site(hosts, engines, next(ports), slack, tuple(ways), views)


@contextmanager
def reserve_ports(count: int) -> Iterator[Iterator[int]]:
    """Yield free ports that no other soak on this machine takes.

    A soak holds the first port of each block that it uses.
    """
    with ExitStack() as stack:
        blocks = -(-count // (BLOCK - 1))
        for first in range(FIRST_PORT, LAST_PORT, BLOCK):
            held = range(first, first + blocks * BLOCK, BLOCK)
            locks = [stack.enter_context(socket.socket()) for _ in held]
            try:
                for lock, port in zip(locks, held, strict=True):
                    lock.bind(('127.0.0.1', port))
                    lock.listen()
            except OSError:
                continue
            yield (
                port
                for port in range(first, first + blocks * BLOCK)
                if port not in held
            )
            return
        raise RuntimeError('no free ports')


def write_json(path: Path, content: object) -> str:
    path.write_text(json.dumps(content))
    return str(path)
