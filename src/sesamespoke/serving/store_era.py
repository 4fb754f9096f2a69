"""The era of the platform's store: how often it has come back from a copy.

Each time, the store has lost what it acknowledged since the copy was made, and
gives revisions out again. Revisions of two eras can't be compared.
"""

from collections.abc import Callable

from sesamespoke.metrics import Metrics
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.store import UNKNOWN_ERA

Listener = Callable[[], None]


class StoreEra:
    """The newest era that the store has told; ``UNKNOWN_ERA`` before that.

    ``listeners`` are called when the store has come back from a copy, unless
    the process knows nothing of an earlier era.
    """

    def __init__(self) -> None:
        """Start without an era; ``report_to`` makes changes visible."""
        self.number = UNKNOWN_ERA
        self.listeners: list[Listener] = []
        self._metrics: Metrics | None = None
        self._log: Log = _ignore_event

    def report_to(self, metrics: Metrics, log: Log) -> None:
        """Count and log changes of the era and answers of older ones."""
        self._metrics = metrics
        self._log = log

    def observe(self, era: int, source: str) -> bool:
        """Take note of an era; return whether its answers may be used.

        An answer of an older era is late: what it says is no longer true.
        """
        if era < self.number:
            self._report('store_era_older', era, source)
            return False
        if era == self.number:
            return True
        before = self.number
        self.number = era
        self._report('store_era', era, source)
        if before != UNKNOWN_ERA:
            for listener in tuple(self.listeners):
                listener()
        return True

    def note_unreadable(self, text: str) -> None:
        """Take note of an era that is no number; the known one stands."""
        self._report('store_era_unreadable', self.number, text[:_MAX_TEXT])

    def _report(self, event: str, era: int, source: str) -> None:
        if self._metrics is not None:
            self._metrics.count(event)
        self._log(event, era=era, known=self.number, source=source)


_MAX_TEXT = 40


def _ignore_event(event: str, /, **fields: object) -> None:
    """Drop an event before there is a log."""
