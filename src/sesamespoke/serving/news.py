"""A router of each data centre reads the platform's lists for all there.

The load they answer: a store whose rate grows more slowly than the fleet.
The first router in a hashed order reads; the others take its word, as long
as it comes and is not older than what they know. A router that hears nothing
for a while reads by itself, so that a reader that is frozen or cut off costs
no more than ``PATIENCE`` turns.
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

PATIENCE = 1.6
"""Turns of the readers after which a router reads by itself."""
MS_PER_SECOND = 1000
WHOLE_TURNS = 5
"""An unchanged list is told whole every so many turns."""


class News:
    """Tells peers of lists that were read, and takes theirs."""

    def __init__(self, links: Broadcaster, directory: Directory) -> None:
        """Listen to readers."""
        self.on_other_orders: Callable[[], None] = _ignore
        self.orders_digest: Callable[[], int] = int
        self._links = links
        self._directory = directory
        self._told = 0
        self._turn = 0
        links.subscribe(EndpointList, self._take)

    def is_reader(self) -> bool:
        """Return whether this router reads for its data centre."""
        near = self._links.view.hosts(self._links.data_centre)
        return self._links.host == min(near, key=_hash_of, default=None)

    def must_read(self, interval: float) -> bool:
        """Return whether to read now, as a reader or for lack of news."""
        now = asyncio.get_running_loop().time()
        late = now - self._directory.listed_at > interval * PATIENCE
        return late or self.is_reader()

    def tell(self, listing: Listing) -> None:
        """Tell peers of a list that this router has read, if it reads."""
        if not self.is_reader():
            return
        self._turn += 1
        digest = self._directory.digest
        is_whole = digest != self._told or self._turn % WHOLE_TURNS == 0
        self._told = digest
        now = asyncio.get_running_loop().time()
        rows = (_write(each, now) for each in listing.endpoints)
        message = EndpointList(
            listing.revision,
            digest,
            self.orders_digest(),
            tuple(rows) if is_whole else (),
        )
        self._links.broadcast_local(message)

    def _take(self, sender: str, message: EndpointList) -> None:
        if message.revision < self._directory.revision:
            return
        if message.orders != self.orders_digest():
            self.on_other_orders()
        if message.rows:
            now = asyncio.get_running_loop().time()
            endpoints = tuple(_read(row, now) for row in message.rows)
            self._directory.replace(Listing(message.revision, endpoints))
        elif message.digest == self._directory.digest:
            self._directory.confirm(message.revision)


def _write(endpoint: ListedEndpoint, now: float) -> EndpointRow:
    cold = max(0, endpoint.cold_until - now)
    return (  # noqa: WPS227 (a row of the message)
        endpoint.name,
        endpoint.service,
        endpoint.address,
        endpoint.data_centre,
        endpoint.slots,
        endpoint.leaving,
        round(cold * MS_PER_SECOND),
        endpoint.born,
    )


def _read(row: EndpointRow, now: float) -> ListedEndpoint:
    *texts, slots, leaving, cold_ms, born = row
    name, service, address, data_centre = texts
    cold_until = now + cold_ms / MS_PER_SECOND if cold_ms else 0
    return ListedEndpoint(
        str(name),
        str(service),
        str(address),
        str(data_centre),
        slots,
        leaving,
        cold_until,
        born,
    )


def _hash_of(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())


def _ignore() -> None:
    """Take no notice of other orders."""
