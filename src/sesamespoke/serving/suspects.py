"""Requests that crash endpoints, as all routers have seen them."""

from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import Quarantine
from sesamespoke.timeline import Timeline

CRASHES_TO_REFUSE = 3
"""Endpoints that one request may break before it is refused."""


class SharedSuspects:
    """Counts the crashes of each request over all routers."""

    def __init__(
        self,
        links: Links,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start with a record that is kept in step with the peers'."""
        self._quarantine = Quarantine(links, metrics, timeline)
        self._host = links.host
        self._count = 0

    def is_refused(self, digest: bytes) -> bool:
        """Return whether a request is not to be sent any more."""
        return len(self._quarantine.crashed(digest)) >= CRASHES_TO_REFUSE

    def clear_crashes(self, digest: bytes) -> None:
        """Forget the crashes of a request that was answered whole."""
        self._quarantine.release(digest)

    def note_crash(self, digest: bytes, endpoint: str) -> None:
        """Record a crash; each counts, also of the same endpoint."""
        self._count += 1
        mark = f'{endpoint} {self._host} {self._count}'
        self._quarantine.note_crash(digest, mark)
