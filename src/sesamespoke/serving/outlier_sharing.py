"""Shares among all routers which endpoints answer with errors."""

import asyncio
import time
from collections.abc import Callable

from sesamespoke.links import Links, View
from sesamespoke.metrics import Metrics
from sesamespoke.routing_messages import EndpointAnswers, EndpointTrial
from sesamespoke.serving.ejections import Change, Trial
from sesamespoke.serving.outlier_detection import OutlierDetector
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.ticks import next_tick

REPORT_INTERVAL_SECONDS = 0.1
REPORTS_PER_SECOND = 200.0
"""Limit of the reports that a host gets from all others together."""


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class OutlierSharing:
    """Tells other routers of errors and trials, and hears of theirs."""

    def __init__(
        self,
        links: Broadcaster,
        detector: OutlierDetector,
        metrics: Metrics,
        log: Log,
        read_wall_ms: Callable[[], int] = _read_wall_ms,
    ) -> None:
        """Subscribe to what other routers tell; ``run`` sends reports."""
        self._links: Links = links
        self._broadcast = links.broadcast
        self._detector = detector
        self._metrics = metrics
        self._log = log
        self._read_wall_ms = read_wall_ms
        self._number = 0
        self._heard: dict[str, int] = {}
        detector.ejections.on_change = self._record
        detector.ejections.on_trial = self._tell_trial
        links.subscribe(EndpointAnswers, self._hear)
        links.subscribe(EndpointTrial, self._hear_trial)
        links.on_view(self._forget_departed)

    async def run(self) -> None:
        """Judge endpoints and send reports until cancelled."""
        clock = asyncio.get_running_loop().time
        next_report_at = clock()
        while True:
            await next_tick(REPORT_INTERVAL_SECONDS)
            self._detector.judge()
            if clock() >= next_report_at and self._report():
                hosts = len(self._links.view.members)
                next_report_at = clock() + hosts / REPORTS_PER_SECOND

    def _report(self) -> bool:
        """Send a report; return whether there was something to tell."""
        rows = self._detector.take_report()
        if rows:
            # The number is above those of an earlier process of this host.
            self._number = max(self._number + 1, self._read_wall_ms())
            self._broadcast(EndpointAnswers(self._number, rows))
        return bool(rows)

    def _hear(self, sender: str, message: EndpointAnswers) -> None:
        if message.number > self._heard.get(sender, 0):
            self._heard[sender] = message.number
            self._detector.add(message.rows)

    def _forget_departed(self, view: View) -> None:
        """Forget the numbers of hosts that left: a clock may have gone back."""
        hosts = frozenset(view.hosts())
        for host in self._heard.keys() - hosts:
            del self._heard[host]

    def _tell_trial(self, trial: Trial) -> None:
        self._broadcast(
            EndpointTrial(
                trial.endpoint,
                trial.born,
                trial.number,
                trial.is_sound,
            )
        )

    def _hear_trial(self, sender: str, message: EndpointTrial) -> None:
        trial = Trial(
            message.endpoint,
            message.born,
            message.number,
            message.is_sound,
        )
        self._detector.hear_trial(sender, trial)

    def _record(self, change: Change) -> None:
        event = 'endpoint_ejected' if change.is_ejected else 'endpoint_restored'
        self._metrics.count(event)
        self._log(
            event,
            endpoint=change.endpoint,
            errors=round(change.errors, 1),
            answers=round(change.answers, 1),
            seconds=round(change.seconds, 2),
            heard_by=change.heard_by or self._links.host,
        )
