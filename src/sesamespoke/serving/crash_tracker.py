"""Tracks requests that crash endpoints, over all routers."""

from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import Quarantine
from sesamespoke.serving.serving_call import Log
from sesamespoke.timeline import Timeline

CRASHES_TO_REFUSE = 3
"""Crashes that one request may cause before it is refused."""


class SharedCrashTracker:
    """Counts the crashes of each request over all routers."""

    def __init__(
        self,
        links: Links,
        metrics: Metrics,
        timeline: Timeline,
        log: Log,
    ) -> None:
        """Start with a record that is synchronised with peers."""
        self._metrics = metrics
        self._log = log
        self._quarantine = Quarantine(links, metrics, timeline)
        self._host = links.host
        self._count = 0

    def is_refused(self, digest: bytes) -> bool:
        """Return whether a request must not be sent any more."""
        return len(self._quarantine.crashed(digest)) >= CRASHES_TO_REFUSE

    def clear_crashes(self, digest: bytes) -> None:
        """Drop the crashes of a request that got a complete response."""
        if self._quarantine.release(digest):
            self._metrics.count('crashes_cleared')
            self._log('crashes_cleared', digest=digest.hex())

    def note_crash(self, digest: bytes, endpoint: str) -> None:
        """Record a crash; repeated crashes of one endpoint count separately."""
        self._count += 1
        crash_id = f'{endpoint} {self._host} {self._count}'
        self._quarantine.note_crash(digest, crash_id)
        self._log(
            'crash_recorded',
            digest=digest.hex(),
            endpoint=endpoint,
            crashes=len(self._quarantine.crashed(digest)),
        )
