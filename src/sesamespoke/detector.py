"""Finds the hosts of the own data centre that have failed.

Each host sends heartbeats to a few watchers, chosen by rendezvous hashing.
A watcher that misses them suspects the host and tells all others, who
probe it. A host has gone when two watchers suspect it, or all that are not
suspected themselves, and it does not answer. Compare: Das, Gupta and
Motivala, "SWIM", DSN 2002.

All times are in seconds on the clock that the caller passes.
"""

from dataclasses import dataclass, field
from typing import Final

from sesamespoke.settings import Timing
from sesamespoke.watchers import Watchers

QUORUM: Final = 2
TICKS_PER_HEARTBEAT: Final = 5


@dataclass(slots=True)
class _Watched:
    """What is known of one host."""

    heard_at: float
    accused_at: float = 0
    accusers: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Findings:
    """Hosts that this host suspects, and those that have gone."""

    silent: tuple[str, ...]
    gone: tuple[str, ...]


class Detector:
    """Judges the hosts of one data centre, as one of them."""

    def __init__(self, host: str, timing: Timing) -> None:
        """Begin with no other host."""
        self.watchers: tuple[str, ...] = ()
        self._host = host
        self._heartbeat = timing.heartbeat
        self._patience = timing.suspect_after + timing.heartbeat
        self._watchers = Watchers()
        self._watched: dict[str, _Watched] = {}

    def set_hosts(self, hosts: frozenset[str], now: float) -> None:
        """Take the hosts of the data centre, without this one."""
        for gone in self._watched.keys() - hosts:
            self._watched.pop(gone)
        for new in hosts - self._watched.keys():
            self._watched[new] = _Watched(now)
        watched_before = {each for each in hosts if self._watches(each)}
        self._watchers.set_hosts(hosts | {self._host})
        self.watchers = self._watchers.of(self._host)
        for each in hosts - watched_before:
            if self._watches(each):
                self._begin_watch(each, now)

    def hear(self, host: str, now: float) -> None:
        """Note that a host was heard, which clears all suspicion."""
        watched = self._watched.get(host)
        if watched is None:
            return
        watched.heard_at = now
        if watched.accusers:
            watched.accusers.clear()

    def excuse(self, seconds: float, now: float) -> None:
        """Lengthen all silences' start by the time this host stood still."""
        for watched in self._watched.values():
            watched.heard_at = min(now, watched.heard_at + seconds)

    def accuse(self, host: str, accuser: str, now: float) -> bool:
        """Note a suspicion; return whether the host should be probed."""
        watched = self._watched.get(host)
        if watched is None or now - watched.heard_at < 2 * self._heartbeat:
            return False
        if not watched.accusers:
            watched.accused_at = now
        watched.accusers.add(accuser)
        return True

    def judge(self, now: float) -> Findings:
        """Return the silent hosts under watch, and those that have gone."""
        silent = tuple(
            host
            for host, watched in self._watched.items()
            if now - watched.heard_at > self._patience and self._watches(host)
        )
        for accused in silent:
            self.accuse(accused, self._host, now)
        time_to_answer = self._heartbeat / TICKS_PER_HEARTBEAT / 2
        confirmed_before = now - time_to_answer
        gone = tuple(
            host
            for host, watched in self._watched.items()
            if watched.accusers
            and watched.accused_at <= confirmed_before
            and self._is_agreed(host, watched)
        )
        return Findings(silent, gone)

    def _watches(self, host: str) -> bool:
        """Return whether this host is a watcher of another."""
        return self._host in self._watchers.of(host)

    def _begin_watch(self, host: str, now: float) -> None:
        """Give a host that is newly watched two heartbeats' time."""
        watched = self._watched[host]
        least = now - self._patience + 2 * self._heartbeat
        watched.heard_at = max(watched.heard_at, least)

    def _is_agreed(self, host: str, watched: _Watched) -> bool:
        """Return whether enough of a host's watchers suspect it."""
        trusted = sum(
            watcher == self._host or not self._watched[watcher].accusers
            for watcher in self._watchers.of(host)
        )
        return len(watched.accusers) >= max(1, min(QUORUM, trusted))
