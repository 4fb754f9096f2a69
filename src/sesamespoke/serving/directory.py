"""The endpoints that may be given work, as the platform lists them.

While the list can't be read, the last one stays in use. An endpoint that is
missing from a new list is removed at once, except after an outage of the
list: entries expire while the platform can't renew them, so a missing
endpoint stays in use for another ``RELIST_GRACE_SECONDS``.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash

from sesamespoke.store import UNKNOWN_ERA

RELIST_GRACE_SECONDS = 2.0
"""Time within which a live endpoint is listed again after an outage."""
LEAVING_SECONDS = 600.0
"""Time for which it is remembered that an endpoint is leaving; it may be listed
as ready until it has gone."""
DEPARTED_SECONDS = 60.0
"""Time for which a departed endpoint is remembered; a copy of the store is some
seconds old."""
RETURN_COLD_SECONDS = 2.5
"""Time for which endpoints of a data centre that is back in service count as
cold. Endpoints report a cold start only with their next heartbeat, and the
list is polled at intervals, so a list may take this long to say so."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One incarnation of an endpoint.

    ``cold_until`` is a time on the event loop's clock. ``born`` identifies
    the incarnation: it differs when an endpoint of the same name restarts.
    A ``leaving`` endpoint gets no new work. ``version`` is that of its
    software; empty if unknown. ``revision`` is that of its entry
    in the store, which changes with each of the endpoint's heartbeats.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    leaving: bool = False
    cold_until: float = 0
    born: int = 0
    revision: int = field(default=0, compare=False)
    version: str = ''

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}'


@dataclass(frozen=True, slots=True)
class Listing:
    """All endpoints listed at one revision of one era of the store."""

    revision: int
    endpoints: tuple[ListedEndpoint, ...]
    era: int = UNKNOWN_ERA


Listeners = list[Callable[['Directory'], None]]


class OutdatedEntries:
    """Entries in a copy of the store that are older than what is known.

    An entry of an endpoint that had departed or was leaving counts again
    once its endpoint has written it anew.
    """

    def __init__(
        self,
        listing: Listing | None = None,
        departed: frozenset[tuple[str, int]] = frozenset(),
        leaving: frozenset[tuple[str, int]] = frozenset(),
    ) -> None:
        """Note the revisions of such entries in the first list of an era."""
        endpoints = listing.endpoints if listing else ()
        self._leaving = leaving
        self._revisions = {
            (each.name, each.born): each.revision
            for each in endpoints
            if (each.name, each.born) in departed | leaving
        }

    def filter(self, listing: Listing) -> Listing:
        """Return a list without these entries, or with them as leaving."""
        if not self._revisions:
            return listing
        endpoints = filter(None, map(self._read, listing.endpoints))
        return replace(listing, endpoints=tuple(endpoints))

    def _read(self, endpoint: ListedEndpoint) -> ListedEndpoint | None:
        key = (endpoint.name, endpoint.born)
        if self._revisions.get(key) != endpoint.revision:
            self._revisions.pop(key, None)
            return endpoint
        if key in self._leaving:
            return replace(endpoint, leaving=True)
        return None


class Directory:
    """The listed endpoints, and the data centres out of service.

    ``listeners`` are called after each change of either.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with an empty list."""
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.listeners: Listeners = []
        self.listed_at: float = float('-inf')
        self.era = UNKNOWN_ERA
        self.revision = 0
        self.digest = 0
        self._clock = clock
        self._relist_grace_until: float = 0
        self._retained: frozenset[str] = frozenset()
        self._said_leaving: dict[tuple[str, int], float] = {}
        self._departed: dict[tuple[str, int], float] = {}
        self._outdated = OutdatedEntries()
        self._returned_at: dict[str, float] = {}
        self._usable_by_service: dict[str, tuple[ListedEndpoint, ...]] = {}

    def replace(self, listing: Listing, requested_at: float = math.inf) -> None:
        """Replace the list by one that was requested at ``requested_at``.

        A list of an older revision is ignored if it was requested before
        the current one arrived: it would bring back endpoints that have
        been removed since. So is one of an older era of the store. The list
        of a newer era may hold entries of endpoints that have left since;
        they count only once the endpoint has written again.
        """
        if listing.era < self.era:
            return
        is_restored = listing.era > self.era and self.era != UNKNOWN_ERA
        is_older = listing.revision < self.revision and not is_restored
        if is_older and requested_at <= self.listed_at:
            return
        if is_restored:
            self._expect_restored_entries(listing)
        listing = self._outdated.filter(listing)
        self.era = listing.era
        fresh = {endpoint.name: endpoint for endpoint in listing.endpoints}
        self.revision = listing.revision
        self.digest = _digest_of(listing.endpoints)
        now = self._clock()
        self._retained = frozenset()
        if now < self._relist_grace_until:
            self._retain_missing(fresh)
        self.listed_at = now
        if fresh != self.endpoints:
            self._note_departed(fresh)
            self.endpoints = fresh
            self._notify_listeners()

    def confirm(self, revision: int) -> None:
        """Record that the list is unchanged at a later revision.

        Endpoints that it lacks are removed once their grace period is over.
        """
        self.revision = max(self.revision, revision)
        self.listed_at = self._clock()
        if self._retained and self.listed_at >= self._relist_grace_until:
            fresh = {
                name: endpoint
                for name, endpoint in self.endpoints.items()
                if name not in self._retained
            }
            self._note_departed(fresh)
            self.endpoints = fresh
            self._retained = frozenset()
            self._notify_listeners()

    def note_outage(self) -> None:
        """Record that the list can't be read now."""
        self._relist_grace_until = self._clock() + RELIST_GRACE_SECONDS

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Replace the set of data centres that are out of service."""
        if data_centres != self.evacuated:
            returned = self.evacuated - data_centres
            self._returned_at.update(dict.fromkeys(returned, self._clock()))
            self.evacuated = data_centres
            self._notify_listeners()

    def listed(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return all endpoints of a service, including leaving ones."""
        return tuple(
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
        )

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints of a service that may be given work."""
        cached = self._usable_by_service.get(service)
        if cached is None:
            cached = tuple(
                endpoint
                for endpoint in self.endpoints.values()
                if endpoint.service == service
                and not self._is_leaving(endpoint)
                and endpoint.data_centre not in self.evacuated
            )
            self._usable_by_service[service] = cached
        return cached

    def has_usable(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether an endpoint that isn't excluded may be given work."""
        return any(each.name not in excluded for each in self.usable(service))

    def is_usable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this incarnation may be given work."""
        known = self.endpoints.get(endpoint.name)
        return (
            known is not None
            and known.address == endpoint.address
            and known.born == endpoint.born
            and not self._is_leaving(known)
            and known.data_centre not in self.evacuated
        )

    def note_leaving(self, name: str, born: int) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        now = self._clock()
        self._said_leaving = {
            key: at
            for key, at in self._said_leaving.items()
            if now - at < LEAVING_SECONDS
        }
        is_new = (name, born) not in self._said_leaving
        self._said_leaving[name, born] = now
        if is_new:
            self._notify_listeners()
        return is_new

    def said_leaving(self) -> tuple[tuple[str, int], ...]:
        """Return name and incarnation of endpoints that said they leave."""
        return tuple(self._said_leaving)

    def is_cold(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint may have reduced capacity now.

        An endpoint of a data centre that has just returned to service may
        be cold before a list says so.
        """
        returned_at = self._returned_at.get(endpoint.data_centre, -math.inf)
        cold_until = max(endpoint.cold_until, returned_at + RETURN_COLD_SECONDS)
        return self._clock() < cold_until

    def listing(self) -> Listing:
        """Return the list in use, without what it only lacks for a while."""
        listed = (
            endpoint
            for name, endpoint in self.endpoints.items()
            if name not in self._retained
        )
        return Listing(self.revision, tuple(listed), self.era)

    def _expect_restored_entries(self, listing: Listing) -> None:
        """Prepare for the first list after the store came back from a copy."""
        self.note_outage()
        leaving = (
            (each.name, each.born)
            for each in self.endpoints.values()
            if each.leaving
        )
        self._outdated = OutdatedEntries(
            listing, frozenset(self._departed), frozenset(leaving)
        )

    def _note_departed(self, fresh: Mapping[str, ListedEndpoint]) -> None:
        """Remember the endpoints that a list no longer names."""
        now = self._clock()
        gone = {
            (name, endpoint.born): now
            for name, endpoint in self.endpoints.items()
            if name not in fresh or fresh[name].born != endpoint.born
        }
        self._departed = {
            key: at
            for key, at in {**self._departed, **gone}.items()
            if now - at < DEPARTED_SECONDS
        }

    def _is_leaving(self, endpoint: ListedEndpoint) -> bool:
        key = (endpoint.name, endpoint.born)
        return endpoint.leaving or key in self._said_leaving

    def _retain_missing(self, fresh: dict[str, ListedEndpoint]) -> None:
        """Add the endpoints missing from a list whose address is unused."""
        in_use = {endpoint.address for endpoint in fresh.values()}
        missing = {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if name not in fresh and endpoint.address not in in_use
        }
        self._retained = frozenset(missing)
        fresh.update(missing)

    def _notify_listeners(self) -> None:
        self._usable_by_service.clear()
        for listener in self.listeners:
            listener(self)


def _digest_of(endpoints: Iterable[ListedEndpoint]) -> int:
    """Return a hash of a list without cold start times.

    Slots and data centres are left out too.
    """
    rows = sorted(
        f'{each.name} {each.service} {each.address} {each.leaving} {each.born}'
        for each in endpoints
    )
    return xxhash.xxh3_64_intdigest('\n'.join(rows).encode()) >> 1


def count_by_service(
    endpoints: Mapping[str, ListedEndpoint],
) -> dict[str, int]:
    """Return the number of listed endpoints by service."""
    counts: dict[str, int] = {}
    for endpoint in endpoints.values():
        counts[endpoint.service] = counts.get(endpoint.service, 0) + 1
    return counts
