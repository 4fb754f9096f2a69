"""Whether a host's view of the others can be trusted."""

from collections.abc import Iterable

from sesamespoke.settings import Timing


class Freshness:
    """Tells when a host has been paused and whom it must hear again.

    A view is stale from the start, or from a pause, until every host that
    should be there was heard or has had the time to be found missing.
    """

    def __init__(self, timing: Timing) -> None:
        """Begin stale, with nobody to wait for."""
        self.stale = True
        self._timing = timing
        self._seen_at: float | None = None
        self._stale_at: float = 0
        self._unheard: set[str] = set()

    def wait_for(self, hosts: Iterable[str], now: float) -> None:
        """Become stale until these hosts are heard."""
        self._unheard = set(hosts)
        self._seen_at = now
        self._stale_at = now
        self.stale = bool(self._unheard)

    def settle(self, hosts: Iterable[str], now: float) -> bool:
        """Note hosts heard or gone; return whether the view became fresh."""
        if not self.stale:
            return False
        self._unheard.difference_update(hosts)
        patience = self._timing.suspect_after + self._timing.heartbeat
        self.stale = bool(self._unheard) and now - self._stale_at < patience
        return not self.stale

    def measure_pause(self, now: float) -> float:
        """Return for how long the loop has stood still, if at all.

        Called at least four times per heartbeat, so that a gap of a whole
        heartbeat is a pause.
        """
        before = now if self._seen_at is None else self._seen_at
        self._seen_at = now
        gap = now - before
        return gap if gap > self._timing.heartbeat else 0

    def is_long(self, pause: float) -> bool:
        """Return whether others may have given this host up meanwhile."""
        return pause > self._timing.suspect_after
