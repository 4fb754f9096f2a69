"""Shares the platform's endpoint list among the routers of a data centre.

The rate of store reads must grow more slowly than the fleet, so one router
of each data centre, the reader, reads the list and publishes it to the
others. The reader is the host with the lowest hash of its name. The others
accept its lists unless they are older than their own. A router that has
received no update for ``READER_TIMEOUT_INTERVALS`` polling intervals reads
the list itself, which bounds the delay when a reader hangs or is partitioned.
"""

import asyncio
from collections.abc import Callable

import xxhash

from sesamespoke.routing_messages import EndpointList, EndpointRow
from sesamespoke.serving.directory import (
    Directory,
    ListedEndpoint,
    Listing,
)
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.store_era import StoreEra

READER_TIMEOUT_INTERVALS = 1.6
"""Polling intervals without an update after which any router reads."""
MS_PER_SECOND = 1000
FULL_LIST_PERIOD = 5
"""An unchanged list is published in full every this many publications."""


class EndpointListSharing:
    """Publishes endpoint lists to local peers and applies theirs."""

    def __init__(
        self, links: Broadcaster, directory: Directory, era: StoreEra
    ) -> None:
        """Subscribe to the lists that readers publish."""
        self._era = era
        self.on_operator_config_mismatch: Callable[[], None] = _ignore_mismatch
        self.operator_config_digest: Callable[[], int] = int
        self._links = links
        self._directory = directory
        self._published_digest = 0
        self._publications = 0
        links.subscribe(EndpointList, self._receive)

    def is_reader(self) -> bool:
        """Return whether this router is the reader of its data centre."""
        local_hosts = self._links.view.hosts(self._links.data_centre)
        return self._links.host == min(local_hosts, key=_hash_of, default=None)

    def must_read(self, interval: float) -> bool:
        """Return whether this router is the reader or its list overdue."""
        now = asyncio.get_running_loop().time()
        is_overdue = (
            now - self._directory.listed_at
            > interval * READER_TIMEOUT_INTERVALS
        )
        return is_overdue or self.is_reader()

    def publish(self) -> None:
        """Send the list in use to the local peers if this is the reader.

        An unchanged list is usually sent as its digest alone.
        """
        if not self.is_reader():
            return
        listing = self._directory.listing()
        self._publications += 1
        digest = self._directory.digest
        is_full = (
            digest != self._published_digest
            or self._publications % FULL_LIST_PERIOD == 0
        )
        self._published_digest = digest
        now = asyncio.get_running_loop().time()
        rows = (_encode_row(each, now) for each in listing.endpoints)
        message = EndpointList(
            listing.era,
            listing.revision,
            digest,
            self.operator_config_digest(),
            tuple(rows) if is_full else (),
        )
        self._links.broadcast_local(message)

    def _receive(self, sender: str, message: EndpointList) -> None:
        known = (self._directory.era, self._directory.revision)
        if (message.era, message.revision) < known:
            return
        if message.era > self._era.number:
            self._era.observe(message.era, sender)
        if message.orders != self.operator_config_digest():
            self.on_operator_config_mismatch()
        if message.rows:
            now = asyncio.get_running_loop().time()
            endpoints = tuple(_decode_row(row, now) for row in message.rows)
            self._directory.replace(
                Listing(message.revision, endpoints, message.era)
            )
        elif (
            message.digest == self._directory.digest
            and message.era == self._directory.era
        ):
            self._directory.confirm(message.revision)


def _encode_row(endpoint: ListedEndpoint, now: float) -> EndpointRow:
    cold_seconds = max(0, endpoint.cold_until - now)
    return (  # noqa: WPS227 (a row of the message)
        endpoint.name,
        endpoint.service,
        endpoint.address,
        endpoint.data_centre,
        endpoint.version,
        endpoint.slots,
        endpoint.leaving,
        round(cold_seconds * MS_PER_SECOND),
        endpoint.born,
        endpoint.revision,
    )


def _decode_row(row: EndpointRow, now: float) -> ListedEndpoint:
    *texts, slots, leaving, cold_ms, born, revision = row
    name, service, address, data_centre, version = map(str, texts)
    return ListedEndpoint(
        name,
        service,
        address,
        data_centre,
        slots,
        leaving,
        now + cold_ms / MS_PER_SECOND if cold_ms else 0,
        born,
        revision,
        version,
    )


def _hash_of(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())


def _ignore_mismatch() -> None:
    """Do nothing: the default for ``on_operator_config_mismatch``."""
