"""Keeps this host registered in the platform's store under a lease."""

import asyncio
import json
from contextlib import suppress

from sesamespoke.retry_delay import RetryDelay
from sesamespoke.serving.platform_interface import PlatformStore
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.serving.settings import ServingSettings
from sesamespoke.store import Lease, Put, StoreUnavailable

HOST_PREFIX = 'sesamespoke/hosts/'
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.0
"""Delays before failed store calls are retried."""
RENEWALS_PER_LEASE = 3


class HostRegistration:
    """Writes this host's entry, and writes it again when the store lost it."""

    def __init__(
        self, cfg: ServingSettings, store: PlatformStore, log: Log
    ) -> None:
        """Prepare the entry; ``run`` writes it."""
        self._cfg = cfg
        self._store = store
        self._log = log
        self._lease: Lease | None = None
        self._is_due = asyncio.Event()
        store.era.listeners.append(self._write_again)

    async def run(self) -> None:
        """Keep the entry registered until cancelled."""
        delay = RetryDelay(RETRY_SECONDS, MAX_RETRY_SECONDS)
        while True:
            self._is_due.clear()
            if await self._renew():
                delay.reset()
                await self._wait_for_renewal()
            else:
                await asyncio.sleep(delay.grow())

    def _write_again(self) -> None:
        """Forget the lease: its number may be another host's by now."""
        self._lease = None
        self._is_due.set()

    async def _wait_for_renewal(self) -> None:
        interval = self._cfg.feeds.lease / RENEWALS_PER_LEASE
        with suppress(TimeoutError):
            async with asyncio.timeout(interval):
                await self._is_due.wait()

    async def _renew(self) -> bool:
        """Renew the lease, or write the entry anew under another one.

        Returns false if that failed, or if the store has come back from a
        copy meanwhile, which may lack what was written.
        """
        era = self._store.era.number
        if self._lease is not None:
            renewed = await self._store.renew_lease(self._lease)
            if era != self._store.era.number:
                return False
            if isinstance(renewed, Lease):
                self._lease = renewed
                return True
            if isinstance(renewed, StoreUnavailable):
                return False
        lease = await self._register()
        if lease is None or era != self._store.era.number:
            return False
        self._lease = lease
        self._log('host_registered', era=era)
        return True

    async def _register(self) -> Lease | None:
        lease = await self._store.grant_lease(self._cfg.feeds.lease)
        if isinstance(lease, StoreUnavailable):
            return None
        put = Put(HOST_PREFIX + self._cfg.host, self._entry(), lease.number)
        written = await self._store.transact((), (put,))
        return None if isinstance(written, StoreUnavailable) else lease

    def _entry(self) -> bytes:
        row = {
            'host': self._cfg.host,
            'data_centre': self._cfg.data_centre,
            'peers': str(self._cfg.peers),
        }
        return json.dumps(row).encode()
