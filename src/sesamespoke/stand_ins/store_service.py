"""The stand-in store's calls with their rates, counts and faults."""

import asyncio
import random
from collections import Counter
from dataclasses import asdict, dataclass

from sesamespoke.stand_ins import store_calls, store_codec
from sesamespoke.stand_ins.rates import TokenBucket
from sesamespoke.stand_ins.serving import JSONObject
from sesamespoke.stand_ins.store_state import StoreState

BURST_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StoreStandInSettings:
    """Rates in calls per second, and the seed of random faults."""

    writes_per_second: float = 500
    reads_per_second: float = 2000
    reply_delay: float = 0
    seed: int = 0


@dataclass(slots=True)
class StoreFaults:
    """The faults in force.

    ``out`` closes every connection, ``silent`` never answers, ``slow`` is
    in seconds, ``lose_replies`` applies the next writes but closes the
    connection, ``lose_probability`` does so at random.
    """

    out: bool = False
    silent: bool = False
    slow: float = 0
    lose_replies: int = 0
    lose_probability: float = 0


class StoreService:
    """Applies calls to the state, within the rates."""

    def __init__(self, cfg: StoreStandInSettings) -> None:
        """Create an empty store."""
        self.cfg = cfg
        self.state = StoreState()
        self.faults = StoreFaults()
        self.counts: Counter[str] = Counter()
        self.watching = 0
        self._random = random.Random(cfg.seed)
        reads = cfg.reads_per_second
        writes = cfg.writes_per_second
        self._reads = TokenBucket(reads, reads * BURST_SECONDS)
        self._writes = TokenBucket(writes, writes * BURST_SECONDS)

    def order_faults(self, order: JSONObject) -> JSONObject:
        """Set the faults that an order names; return those in force."""
        changes = dict(order)
        lapsing = changes.pop('lapse_lease', None)
        if changes.pop('compact', False):
            self.state.compact()
        for name, setting in changes.items():
            if name not in StoreFaults.__slots__:
                raise ValueError(f'no such fault: {name}')
            setattr(self.faults, name, setting)
        if lapsing is not None:
            self.lapse(lapsing)
        return asdict(self.faults)

    def lapse(self, number: str | int) -> None:
        """Lapse one lease now, or ``'all'``."""
        chosen = list(self.state.leases) if number == 'all' else [int(number)]
        for lease in chosen:
            self.state.lapse(lease)

    def admit(self, path: str, request: JSONObject) -> bool:
        """Count a call by kind and charge its rate; tell if it is a write."""
        writes = store_calls.is_write(path, request)
        bucket = self._writes if writes else self._reads
        self.counts[path.removeprefix('/v3/')] += 1
        self.counts['writes' if writes else 'reads'] += 1
        if not bucket.take():
            self.counts['refused'] += 1
            text = 'etcdserver: too many requests'
            code = store_codec.RESOURCE_EXHAUSTED
            raise store_codec.Rejected(429, code, text)
        return writes

    def call(self, path: str, request: JSONObject) -> JSONObject:
        """Apply one call to the state."""
        self.state.expire(asyncio.get_running_loop().time())
        return store_calls.CALLS[path](self.state, request)

    def loses_reply(self) -> bool:
        """Tell whether the reply of this write is lost."""
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return True
        return self._random.random() < self.faults.lose_probability

    def begin_watch(self) -> None:
        """Count a watch that waits."""
        self.watching += 1

    def end_watch(self) -> None:
        """Count a watch off."""
        self.watching -= 1

    def read_counts(self) -> JSONObject:
        """Return the calls by kind, and the watches that wait."""
        return {**self.counts, 'watching': self.watching}
