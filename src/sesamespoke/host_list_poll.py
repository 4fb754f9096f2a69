"""Asks the platform for its list of hosts, and checks what it answers."""

import asyncio
import json
from contextlib import closing
from dataclasses import dataclass
from typing import Annotated, Any, Final, Literal

from pydantic import Field, TypeAdapter, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPError

from sesamespoke.host_list import HostList, KnownHost
from sesamespoke.metrics import Metrics
from sesamespoke.settings import Address, Settings

REQUEST_TIMEOUT_SECONDS: Final = 2.0

_State = Literal['live', 'leaving']


@dataclass(frozen=True)
class _HostRow:
    """A row of ``entry_hosts``; ``peers`` is ``ip:port``."""

    host: str
    data_centre: str
    peers: Annotated[str, Field(pattern=r'^[0-9a-fA-F.:\[\]]+:\d+$')]
    state: _State = 'live'


@dataclass(frozen=True)
class _EndpointRow:
    """A row of ``endpoints``."""

    name: str
    state: _State = 'live'


@dataclass(frozen=True)
class _Page:
    """What the platform answers."""

    entry_hosts: tuple[_HostRow, ...]
    endpoints: tuple[_EndpointRow, ...] = ()


_PAGE = TypeAdapter(_Page)


def _read_host(row: _HostRow) -> KnownHost:
    """Return a listed host."""
    ip, _, port = row.peers.rpartition(':')
    address = Address(ip.strip('[]'), int(port))
    leaving = row.state == 'leaving'
    return KnownHost(row.host, row.data_centre, address, leaving)


class HostListPoll:
    """Keeps a list of hosts in step with the platform's.

    While the platform does not answer, its last answer stands.
    """

    def __init__(
        self, cfg: Settings, hosts: HostList, metrics: Metrics
    ) -> None:
        """Prepare; nothing is asked yet."""
        self._cfg = cfg
        self._hosts = hosts
        self._metrics = metrics

    async def run(self) -> None:
        """Ask the platform again and again, until cancelled."""
        url = self._cfg.host_list_url
        if url is None:
            return
        with closing(AsyncHTTPClient(force_instance=True)) as client:
            while True:
                await self._ask(client, url)
                await asyncio.sleep(self._cfg.timing.host_list_interval)

    def take(self, page: Any) -> bool:
        """Put a decoded answer in force; return whether it was well formed."""
        try:
            listed = _PAGE.validate_python(page)
            hosts = {row.host: _read_host(row) for row in listed.entry_hosts}
        except ValidationError:
            self._metrics.count('host_list_polls', outcome='malformed')
            return False
        self._metrics.count('host_list_polls', outcome='ok')
        self._hosts.put_hosts(hosts)
        self._hosts.put_leaving_endpoints(
            frozenset(
                row.name for row in listed.endpoints if row.state == 'leaving'
            )
        )
        return True

    async def _ask(self, client: AsyncHTTPClient, url: str) -> None:
        """Ask once; an outage or a malformed answer changes nothing."""
        try:
            reply = await client.fetch(
                url,
                request_timeout=REQUEST_TIMEOUT_SECONDS,
            )
            page = json.loads(reply.body)
        except (OSError, HTTPError, ValueError):
            self._metrics.count('host_list_polls', outcome='failed')
            return
        self.take(page)
