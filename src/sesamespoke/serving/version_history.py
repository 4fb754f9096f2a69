"""What one process has itself seen of a service's software versions.

A store that comes back from a copy has lost changes, so that what it holds
proves nothing about streams that began before. What a process has seen since
earlier than that still counts.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sesamespoke.serving.stream_journal import RETAIN_SECONDS

RETIRE_SECONDS = 60.0
"""Time after which a version that is no longer listed is removed; streams last
for some seconds."""
_NO_VERSIONS: frozenset[str] = frozenset()


@dataclass(slots=True)
class _Sightings:
    """When versions of a service became pending here, and were listed last.

    ``since`` is when the process first listed an endpoint of the service.
    """

    since: float = math.inf
    pending_since: dict[str, float] = field(default_factory=dict)
    listed_at: dict[str, float] = field(default_factory=dict)


class VersionHistory:
    """Sightings by service, and the era of the store that is followed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without having seen anything."""
        self._clock = clock
        self._sightings: dict[str, _Sightings] = {}
        self._lost: dict[str, frozenset[str]] = {}
        self._era: int | None = None
        self._era_since = math.inf
        self._outage_until = -math.inf

    def note_era(self, era: int) -> None:
        """Note the era of the store that an answer told."""
        if era != self._era:
            self._era = era
            self._era_since = self._clock()

    def note_outage_end(self) -> None:
        """Note that the store answers after a time without an answer.

        Streams may have begun meanwhile at versions that it doesn't know.
        """
        self._outage_until = self._clock()

    def note_listed(self, service: str, versions: frozenset[str]) -> None:
        """Note the versions that a service's endpoints are listed with."""
        now, seen = self._clock(), self._of(service)
        if versions:
            seen.since = min(seen.since, now)
        seen.listed_at.update(dict.fromkeys(versions, now))

    def note_lost(self, service: str, versions: frozenset[str]) -> None:
        """Note versions that a copy of the store may lack."""
        self._lost[service] = self.lost(service) | versions

    def note_restored(self, service: str) -> None:
        """Note that the store has the versions of a service again."""
        self._lost.pop(service, None)

    def note_pending(self, service: str, versions: Iterable[str]) -> None:
        """Note the pending versions; only new ones get a new time."""
        now, since = self._clock(), self._of(service).pending_since
        self._of(service).pending_since = {
            version: since.get(version, now) for version in versions
        }

    def lost(self, service: str) -> frozenset[str]:
        """Return the versions that a copy of the store may lack."""
        return self._lost.get(service, _NO_VERSIONS)

    def pending_for(self, service: str, version: str) -> float:
        """Return for how many seconds a version has been pending."""
        since = self._of(service).pending_since.get(version, math.inf)
        return max(0, self._clock() - since)

    def is_retired(self, service: str, version: str) -> bool:
        """Return whether a version has not been listed for long."""
        now = self._clock()
        listed_at = self._of(service).listed_at.setdefault(version, now)
        return now - listed_at > RETIRE_SECONDS

    def seen(self, service: str) -> frozenset[str]:
        """Return the versions at which streams may run, as far as seen."""
        listed = frozenset(
            version
            for version in tuple(self._of(service).listed_at)
            if not self.is_retired(service, version)
        )
        return listed | self.lost(service)

    @property
    def followed_era(self) -> float:
        """Return for how many seconds the era of the store has been known."""
        return max(0, self._clock() - self._era_since)

    @property
    def outlasts_restore(self) -> bool:
        """Return whether no stream from before this era can be taken up."""
        return self.followed_era >= RETAIN_SECONDS

    def covers_streams(self, service: str) -> bool:
        """Return whether the process has seen all that may be taken up."""
        return self._clock() - self._of(service).since >= RETAIN_SECONDS

    @property
    def had_outage(self) -> bool:
        """Return whether streams may have begun while the store was away."""
        return self._clock() - self._outage_until < RETAIN_SECONDS

    def _of(self, service: str) -> _Sightings:
        return self._sightings.setdefault(service, _Sightings())
