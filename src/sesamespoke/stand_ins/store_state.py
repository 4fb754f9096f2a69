"""The multi-version state of the stand-in store, without any network."""

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

from sortedcontainers import SortedDict

MAX_HISTORY = 50_000


@dataclass(frozen=True, slots=True)
class Record:
    """A key's value and its versions, as etcd counts them."""

    key: bytes
    content: bytes
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0
    deleted: bool = False


@dataclass(slots=True)
class LeaseRecord:
    """A lease and the keys that go when it lapses."""

    number: int
    ttl: float
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


Listen = Callable[[Sequence[Record]], None]


class StoreState:
    """Keys with revisions, leases and the history of changes."""

    def __init__(self) -> None:
        """Start empty, at revision 1 as etcd does."""
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, LeaseRecord] = {}
        self._records: SortedDict[bytes, Record] = SortedDict()
        self._history: deque[Record] = deque()
        self._listeners: list[Listen] = []
        self._next_lease = 1000

    def find(self, key: bytes, range_end: bytes = b'') -> list[Record]:
        """Return the records of a key, or of a half-open range."""
        if not range_end:
            record = self._records.get(key)
            return [record] if record else []
        bound = None if range_end == b'\0' else range_end
        names = self._records.irange(key, bound, (True, False))
        return [self._records[name] for name in names]

    def write(self, writes: Sequence[Record]) -> None:
        """Apply puts and deletions as one revision."""
        self.revision += 1
        changes = [self._apply(record) for record in writes]
        self._history.extend(changes)
        while len(self._history) > MAX_HISTORY:
            self.compacted = self._history.popleft().mod_revision
        for listen in tuple(self._listeners):
            listen(changes)

    def compact(self) -> None:
        """Forget all history."""
        self._history.clear()
        self.compacted = self.revision

    def since(self, revision: int) -> Iterator[Record]:
        """Yield the changes from a revision on."""
        return (
            record
            for record in self._history
            if record.mod_revision >= revision
        )

    def listen(self, listen: Listen) -> Callable[[], None]:
        """Call ``listen`` for each revision; return how to stop it."""
        self._listeners.append(listen)
        return lambda: self._listeners.remove(listen)

    def grant(self, ttl: float, now: float) -> LeaseRecord:
        """Create a lease."""
        self._next_lease += 1
        lease = LeaseRecord(self._next_lease, ttl, now + ttl)
        self.leases[lease.number] = lease
        return lease

    def renew(self, number: int, now: float) -> LeaseRecord | None:
        """Extend a lease, unless it has lapsed."""
        self.expire(now)
        lease = self.leases.get(number)
        if lease:
            lease.expires_at = now + lease.ttl
        return lease

    def expire(self, now: float) -> None:
        """Lapse every lease whose time is over."""
        late = [
            lease.number
            for lease in self.leases.values()
            if lease.expires_at <= now
        ]
        for number in late:
            self.lapse(number)

    def lapse(self, number: int) -> None:
        """End a lease and delete its keys."""
        lease = self.leases.pop(number, None)
        if lease is None or not lease.keys:
            return
        self.write([Record(key, b'', deleted=True) for key in lease.keys])

    def _apply(self, record: Record) -> Record:
        old = self._records.get(record.key)
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(record.key)
        if record.deleted:
            self._records.pop(record.key, None)
            return replace(record, mod_revision=self.revision)
        new = replace(
            record,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
        )
        self._records[new.key] = new
        if new.lease:
            self.leases[new.lease].keys.add(new.key)
        return new
