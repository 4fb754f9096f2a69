"""Where everything of one deployment's fleet runs on this machine.

Every host gets a loopback address of its own, with the ports that it would
have in earnest, so that fleets side by side never meet.
"""

import hashlib
import itertools
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from sesamespoke.document import SECTIONS, check_document, split_document
from sesamespoke.problems import Problem
from sesamespoke.settings import (
    Address,
    Operator,
    Seed,
    Settings,
    StoreSettings,
    Timing,
)
from sesamespoke.world import DataCentre, Document, Service, ServiceKind

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
DEPLOYMENTS = ('authority', 'asante-owusu')
ROUTERS = 9

CALLERS_PORT = 8080
ADMIN_PORT = 8443
PEERS_PORT = 7000
STORE_PORT = 2379
HOST_LIST_PORT = 8500
ENGINE_PORT = 8000

STORE_HOST = 2
HOST_LIST_HOST = 3
FIRST_ROUTER = 10
FIRST_ENGINE = 120
MAX_NETWORKS = 1 << 16
_BYTE = 256
_networks = itertools.count()


class DocumentUnreadable(Exception):
    """A deployment's document can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """One endpoint's stand-in: what it serves, where and how much."""

    name: str
    service: str
    kind: ServiceKind
    data_centre: str
    address: Address
    cold: int
    warm: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """All parts of one fleet, none of them started."""

    deployment: str
    sections: Mapping[str, str]
    document: Document
    routers: tuple[Settings, ...]
    engines: tuple[EnginePlan, ...]
    store: Address
    host_list: Address
    api_keys: Mapping[str, str]
    tokens: Mapping[str, str]

    def host_page(self, gone: frozenset[str] = frozenset()) -> dict[str, Any]:
        """Return the platform's list of all hosts but those gone."""
        return {
            'entry_hosts': [
                {
                    'host': cfg.host,
                    'data_centre': cfg.data_centre,
                    'peers': str(cfg.peers),
                    'state': 'live',
                }
                for cfg in self.routers
                if cfg.host not in gone
            ],
            'endpoints': [
                {'name': engine.name, 'state': 'live'}
                for engine in self.engines
            ],
        }

    def with_timing(self, timing: Timing) -> 'FleetPlan':
        """Return the plan with other intervals of the protocols."""
        routers = tuple(replace(cfg, timing=timing) for cfg in self.routers)
        return replace(self, routers=routers)


def read_example(deployment: str) -> str:
    """Return a shipped document as it is written."""
    return (EXAMPLES / f'{deployment}.jsonc').read_text('utf-8')


def plan_fleet(
    deployment: str,
    text: str | None = None,
    routers: int = ROUTERS,
) -> FleetPlan:
    """Lay out a deployment's fleet on an unused loopback network.

    ``text`` is the whole document, by default the shipped one. Its
    endpoints' URLs, which must differ, are replaced by this machine's.
    """
    network = _next_network()
    document, sections, engines = _localise(
        text or read_example(deployment),
        network,
    )
    store = _address(network, STORE_HOST, STORE_PORT)
    host_list = _address(network, HOST_LIST_HOST, HOST_LIST_PORT)
    return FleetPlan(
        deployment=deployment,
        sections=sections,
        document=document,
        routers=_plan_routers(
            _spread_hosts(document.data_centres, routers),
            network,
            StoreSettings(urls=(f'http://{store}',)),
            f'http://{host_list}/hosts',
        ),
        engines=engines,
        store=store,
        host_list=host_list,
        api_keys={name: f'demo-{name}' for name in document.accounts},
        tokens={section: _token(section) for section in SECTIONS},
    )


def _next_network() -> str:
    """Return the first three bytes of a loopback network of its own."""
    number = (os.getpid() + next(_networks) * 7919) % MAX_NETWORKS
    high, low = divmod(number, _BYTE)
    return f'127.{high}.{low}'


def _address(network: str, host: int, port: int) -> Address:
    return Address(ip=f'{network}.{host}', port=port)


def _token(section: str) -> str:
    return f'token-of-{section}'


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


def _localise(
    text: str,
    network: str,
) -> tuple[Document, Mapping[str, str], tuple[EnginePlan, ...]]:
    """Return the document with this machine's URLs, and its engines."""
    engines: list[EnginePlan] = []
    for service_name, service in _check(_split(text)).services.items():
        for name in service.endpoints:
            host = FIRST_ENGINE + len(engines)
            address = _address(network, host, ENGINE_PORT)
            engines.append(_plan_engine(service_name, service, name, address))
            shipped = service.endpoints[name].url
            text = text.replace(f'"{shipped}"', f'"http://{address}"')
    sections = _split(text)
    return _check(sections), sections, tuple(engines)


def _plan_engine(
    service_name: str,
    service: Service,
    name: str,
    address: Address,
) -> EnginePlan:
    return EnginePlan(
        name=name,
        service=service_name,
        kind=service.kind,
        data_centre=service.endpoints[name].data_centre,
        address=address,
        cold=service.limit.cold,
        warm=service.limit.warm,
    )


def _split(text: str) -> Mapping[str, str]:
    sections = split_document(text)
    if isinstance(sections, tuple):
        raise DocumentUnreadable(_join(sections))
    return sections


def _check(sections: Mapping[str, str]) -> Document:
    document = check_document(sections)
    if isinstance(document, tuple):
        raise DocumentUnreadable(_join(document))
    return document


def _join(problems: Sequence[Problem]) -> str:
    return '; '.join(map(str, problems))


def _spread_hosts(
    data_centres: Mapping[str, DataCentre],
    routers: int,
) -> list[tuple[str, str]]:
    """Return (host, data centre) rows in the order of data centres."""
    names = list(data_centres)
    counts = {
        name: routers // len(names) + (index < routers % len(names))
        for index, name in enumerate(names)
    }
    return [
        (f'{name}-{number}', name)
        for name in names
        for number in range(1, counts[name] + 1)
    ]


def _plan_routers(
    hosts: Sequence[tuple[str, str]],
    network: str,
    store: StoreSettings,
    host_list_url: str,
) -> tuple[Settings, ...]:
    seeds = tuple(
        Seed(
            host,
            data_centre,
            _address(network, FIRST_ROUTER + index, PEERS_PORT),
        )
        for index, (host, data_centre) in enumerate(hosts)
    )
    operators = {
        section: Operator(_digest(_token(section)), (section,))
        for section in SECTIONS
    }
    return tuple(
        Settings(
            host=own.host,
            data_centre=own.data_centre,
            callers=Address(own.address.ip, CALLERS_PORT),
            admin=Address(own.address.ip, ADMIN_PORT),
            peers=own.address,
            store=store,
            seeds=tuple(seed for seed in seeds if seed is not own),
            host_list_url=host_list_url,
            operators=operators,
        )
        for own in seeds
    )
