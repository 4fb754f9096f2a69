"""Opens streams to hosts again whenever there is none."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from sesamespoke.connections import ByteStream
from sesamespoke.host_list import HostList, KnownHost
from sesamespoke.metrics import Metrics
from sesamespoke.settings import Settings
from sesamespoke.transport import Transport

DIAL_TIMEOUT_SECONDS: Final = 2.0
FIRST_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 2.0

Serve = Callable[[ByteStream, str], Awaitable[bool]]


class Keepers:
    """One task per host to which a stream is wanted.

    The host with the lower name opens the stream. The other one opens it
    too where none has come about in time, for the lower one's list of hosts
    may lag.
    """

    def __init__(
        self,
        cfg: Settings,
        metrics: Metrics,
        host_list: HostList,
        transport: Transport,
        serve: Serve,
        refused: Callable[[str], None],
    ) -> None:
        """Serve what opens with ``serve``; tell where nothing listens."""
        self.failed_at: dict[str, float] = {}
        self._cfg = cfg
        self._metrics = metrics
        self._host_list = host_list
        self._transport = transport
        self._serve = serve
        self._refused = refused
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._vacant: dict[str, asyncio.Event] = {}

    def keep(self, hosts: frozenset[str], in_use: frozenset[str]) -> None:
        """Keep a stream to each of these hosts; open none to others."""
        for gone in self._tasks.keys() - hosts:
            self._tasks.pop(gone).cancel()
            self._vacant.pop(gone)
        for host in hosts - self._tasks.keys():
            vacant = asyncio.Event()
            self._vacant[host] = vacant
            self._tasks[host] = asyncio.create_task(self._keep(host, vacant))
            if host not in in_use:
                vacant.set()

    def occupy(self, host: str) -> None:
        """Take it that there is a stream to a host."""
        self.failed_at.pop(host, None)
        vacant = self._vacant.get(host)
        if vacant is not None:
            vacant.clear()

    def vacate(self, host: str) -> None:
        """Take it that there is no stream to a host any more."""
        vacant = self._vacant.get(host)
        if vacant is not None:
            vacant.set()

    async def stop(self) -> None:
        """Open no stream any more, and close those that were opened."""
        tasks = tuple(self._tasks.values())
        self._tasks = {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep(self, host: str, vacant: asyncio.Event) -> None:
        """Open a stream to one host whenever there is none."""
        if self._cfg.host > host:
            await asyncio.sleep(self._cfg.timing.suspect_after)
        delay = FIRST_RETRY_SECONDS
        while True:
            await vacant.wait()
            known = self._host_list.hosts.get(host)
            if known is not None and await self._dial(known):
                delay = FIRST_RETRY_SECONDS
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_SECONDS)

    async def _dial(self, known: KnownHost) -> bool:
        """Open a stream and serve it to its end; return whether it was used."""
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                stream = await self._transport.dial(known.address)
        except ConnectionRefusedError:
            self._note_failure(known.host, 'refused')
            self._refused(known.host)
            return False
        except (OSError, TimeoutError):
            self._note_failure(known.host, 'failed')
            return False
        self._metrics.count('peer_dials', outcome='ok')
        return await self._serve(stream, known.host)

    def _note_failure(self, host: str, outcome: str) -> None:
        """Remember when a host could not be reached."""
        self._metrics.count('peer_dials', outcome=outcome)
        self.failed_at[host] = asyncio.get_running_loop().time()
