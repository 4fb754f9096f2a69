"""The digests that one host suspects, and where they are tried now."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

CRASHES_TO_REFUSE = 2
MAX_ENTRIES = 10_000
MILLISECONDS = 1000


class Standing(Enum):
    """What the record says of a digest."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """One digest, for operators; ``expires_in`` is in seconds."""

    digest: str
    standing: Standing
    endpoints: tuple[str, ...]
    expires_in: float


@dataclass(slots=True)
class Record:
    """What is known of one digest; times are on the loop's clock.

    ``trials`` holds, per host that runs it now, the endpoint and when the
    host is no longer believed.
    """

    expires_at: float
    endpoints: frozenset[str] = frozenset()
    trials: dict[str, tuple[str, float]] = field(default_factory=dict)

    def hosts_trying(self, endpoint: str | None) -> tuple[str, ...]:
        """Return the hosts that run it now at an endpoint, or anywhere."""
        return tuple(
            host
            for host, (place, until) in self.trials.items()
            if until > now() and endpoint in {None, place}
        )


def now() -> float:
    """Return the loop's time."""
    return asyncio.get_running_loop().time()


def standing_of(record: Record | None) -> Standing:
    """Return how a request with this record is treated."""
    if record is None or not record.endpoints:
        return Standing.CLEAR
    refused = len(record.endpoints) >= CRASHES_TO_REFUSE
    return Standing.REFUSED if refused else Standing.SUSPECT


class Suspects:
    """Records by digest; those that expired are not seen."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[bytes, Record] = {}

    def get(self, digest: bytes) -> Record | None:
        """Return a record that has not expired."""
        record = self._records.get(digest)
        if record is not None and record.expires_at <= now():
            del self._records[digest]
            return None
        return record

    def open(self, digest: bytes) -> Record:
        """Return a digest's record, new if there is none."""
        record = self.get(digest)
        if record is None:
            record = Record(0)
            self._records[digest] = record
        if len(self._records) > MAX_ENTRIES:
            del self._records[next(iter(self._records))]
        return record

    def remove(self, digest: bytes) -> Record | None:
        """Forget a digest; return its record."""
        return self._records.pop(digest, None)

    def items(self) -> Iterable[tuple[bytes, Record]]:
        """Return the records by digest."""
        return tuple(self._records.items())

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return every digest on record, for operators."""
        return tuple(
            QuarantineEntry(
                digest.hex(),
                standing_of(record),
                tuple(sorted(record.endpoints)),
                record.expires_at - now(),
            )
            for digest, record in self.items()
            if record.expires_at > now()
        )

    def rivals(
        self,
        trial: tuple[bytes, str],
        endpoint: str,
    ) -> list[tuple[bytes, str]]:
        """Return digest and host of trials that this one must not meet.

        These are other suspects at the same endpoint, and the same digest
        anywhere.
        """
        return [
            (digest, host)
            for digest, record in self._records.items()
            for host in record.hosts_trying(endpoint)
            if (digest, host) != trial
        ] + [
            (trial[0], host)
            for host in self._hosts_of(trial[0])
            if host != trial[1]
        ]

    def _hosts_of(self, digest: bytes) -> tuple[str, ...]:
        record = self._records.get(digest)
        return record.hosts_trying(None) if record else ()
