"""Which hosts of a data centre watch which, kept as hosts come and go.

Each host is watched by the ``WATCHERS`` others that rendezvous hashing ranks
highest for it. A host that comes or goes costs about one hash for each other
one, so that a data centre whose hosts all start at once does not spend its
start on them.
"""

from heapq import nlargest
from typing import Final

import xxhash

WATCHERS: Final = 3

_Ranked = tuple[int, str]


class Watchers:
    """The watchers of every host, over the hosts that are there."""

    def __init__(self) -> None:
        """Begin without hosts."""
        self._ranked: dict[str, list[_Ranked]] = {}

    def of(self, host: str) -> tuple[str, ...]:
        """Return who watches a host, the highest in rank first."""
        return tuple(watcher for _, watcher in self._ranked.get(host, ()))

    def set_hosts(self, hosts: frozenset[str]) -> None:
        """Take the hosts that are there now, of which all are watched."""
        for gone in self._ranked.keys() - hosts:
            self._remove(gone)
        for new in hosts - self._ranked.keys():
            self._add(new)

    def _add(self, new: str) -> None:
        for host, ranked in self._ranked.items():
            rank = _rank(host, new)
            if len(ranked) < WATCHERS or rank > ranked[-1]:
                ranked.append(rank)
                ranked.sort(reverse=True)
                del ranked[WATCHERS:]
        self._ranked[new] = self._choose(new)

    def _remove(self, gone: str) -> None:
        del self._ranked[gone]
        for host, ranked in self._ranked.items():
            if any(watcher == gone for _, watcher in ranked):
                self._ranked[host] = self._choose(host)

    def _choose(self, host: str) -> list[_Ranked]:
        """Return a host's watchers, chosen among all."""
        others = (other for other in self._ranked if other != host)
        return nlargest(WATCHERS, (_rank(host, other) for other in others))


def _rank(host: str, watcher: str) -> _Ranked:
    """Return a watcher's rank for a host; the highest ones watch it."""
    key = f'watch|{host}|{watcher}'.encode()
    return (xxhash.xxh3_64_intdigest(key), watcher)
