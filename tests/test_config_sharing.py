"""What routers tell one another after the store has come back from a copy."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest
from support import run
from support_platform import CONFIG
from test_crash_tracker_model import ModelLinks, Net

from sesamespoke.links import Member, View
from sesamespoke.platform.operator_config import read_catalog
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.config_sharing import (
    RESTORE_GRACE_SECONDS,
    ConfigSharing,
)
from sesamespoke.serving.platform_sync import OperatorConfig
from sesamespoke.serving.store_era import StoreEra

HOSTS = ('n1', 'n2', 'n3', 's1', 's2')
READERS = frozenset(('n1', 's1'))
ZONES = {'n': 'north', 's': 'south'}


def catalog_of(version: int) -> Catalog:
    content = json.dumps({**CONFIG, 'version': version}).encode()
    catalog = read_catalog(content)
    assert isinstance(catalog, Catalog)
    return catalog


class Links(ModelLinks):
    """Links of a host in one of two data centres."""

    def __init__(self, host: str, net: Net) -> None:
        super().__init__(host, net)
        self.data_centre = ZONES[host[0]]
        self.tell: list[Callable[[str], None]] = []

    @property
    def view(self) -> View:
        rows = (Member(host, ZONES[host[0]], 1) for host in self._net.handlers)
        return View(1, tuple(rows))

    def broadcast_local(self, message: object) -> None:
        for host in self.view.hosts(self.data_centre):
            if host != self.host:
                self.send(host, message)  # type: ignore[arg-type]

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        self.tell.append(handler)


class Host:
    """One router's view of the operator entries."""

    def __init__(self, name: str, net: Net, version: int) -> None:
        self.view = OperatorConfig(catalog_of(version) if version else None)
        self.era = StoreEra()
        self.links = Links(name, net)
        self.sharing = ConfigSharing(
            self.links, self.era, self.view, lambda: name in READERS
        )
        self.sharing.on_config = self.adopt
        self.sharing.on_evacuated = self.evacuate

    @property
    def version(self) -> int:
        return self.view.catalog.version if self.view.catalog else 0

    def adopt(self, content: bytes) -> None:
        catalog = read_catalog(content)
        assert isinstance(catalog, Catalog)
        self.view.catalog = catalog

    def evacuate(self, names: frozenset[str]) -> None:
        self.view.evacuated |= names

    def restore(self, era: int) -> None:
        self.era.observe(era, 'store')


def play(steps: Callable[[dict[str, Host], Net], Awaitable[None]]) -> None:
    async def scenario() -> None:
        net = Net(random.Random(1))
        hosts = {name: Host(name, net, 9) for name in HOSTS}
        for each in hosts.values():
            each.view.evacuated = frozenset(('north',))
            each.restore(1)
        await steps(hosts, net)

    run(scenario())


@pytest.mark.parametrize('started', [*HOSTS, 'n1 s1', 'n1 n2 s1 s2', 'n2 n3'])
def test_host_that_started_while_the_store_was_away_is_told_by_all_others(
    started: str,
) -> None:
    async def steps(hosts: dict[str, Host], net: Net) -> None:
        for name in started.split():
            hosts[name] = Host(name, net, 0)
        for each in hosts.values():
            each.restore(2)
        for name in started.split():
            hosts[name].view.catalog = catalog_of(7)
        await asyncio.sleep(1)
        for each in hosts.values():
            assert each.version == 9
            assert each.view.evacuated == {'north'}

    play(steps)


def test_host_that_restarts_again_is_told_again_until_the_grace_ends() -> None:
    async def steps(hosts: dict[str, Host], net: Net) -> None:
        for each in hosts.values():
            each.restore(2)
            each.sharing.note_stored(9)
        await asyncio.sleep(RESTORE_GRACE_SECONDS / 2)
        hosts['n1'] = Host('n1', net, 0)
        for tell in hosts['n2'].links.tell:
            tell('n1')
        await asyncio.sleep(1)
        assert hosts['n1'].view.evacuated == {'north'}
        assert hosts['n1'].version == 9

    play(steps)
