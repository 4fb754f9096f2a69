"""Tracks the load of each endpoint over the whole fleet.

This router's requests are counted exactly. Those of other routers come from
reports that they, or the aggregators of their data centre, send several times
a second. Reports older than ``STALE_SECONDS`` are ignored: the sender has
stopped or is unreachable.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

STALE_SECONDS = 3.0
"""Several heartbeat intervals; a frozen router's requests end within about
that time."""
REFRESH_SECONDS = 0.5
"""Interval at which stale reports are dropped from the sum over peers."""

LoadRow = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at an endpoint and the prefill it still has to do.

    ``prefill_ms`` is the time the prefill takes while nothing else runs.
    """

    running: int = 0
    prefill_ms: float = 0


NO_LOAD = Load()


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request of this router; its prefill lasts until the first event."""

    endpoint: str
    prefill_ms: float


@dataclass(frozen=True, slots=True)
class _Report:
    measured_at: float
    loads: Mapping[str, Load]


@dataclass(slots=True)
class _Sum:
    running: int = 0
    prefill_ms: float = 0


_NO_SUM = _Sum()
_NO_REPORT = _Report(-math.inf, {})


class LoadTracker:
    """Load by endpoint: this router's own, and as peers report it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any load."""
        self._clock = clock
        self._own: dict[str, _Sum] = {}
        self._reports: dict[str, _Report] = {}
        self._peers: dict[str, _Sum] = {}
        self._refresh_at: float = 0

    def begin(self, endpoint: str, prefill_ms: float) -> InFlightRequest:
        """Count a request that is about to be sent."""
        own = self._own.setdefault(endpoint, _Sum())
        own.running += 1
        own.prefill_ms += prefill_ms
        return InFlightRequest(endpoint, prefill_ms)

    def end_prefill(self, request: InFlightRequest) -> None:
        """Record that the endpoint has finished prefill."""
        own = self._own.get(request.endpoint)
        if own is not None:
            own.prefill_ms -= request.prefill_ms
        request.prefill_ms = 0

    def end(self, request: InFlightRequest) -> None:
        """Remove a request that has ended."""
        self.end_prefill(request)
        own = self._own[request.endpoint]
        own.running -= 1
        if own.running == 0:
            del self._own[request.endpoint]

    def total(self, endpoint: str) -> Load:
        """Return an endpoint's load, over this router and its peers."""
        if self._clock() >= self._refresh_at:
            self._drop_stale()
        own = self._own.get(endpoint)
        others = self._peers.get(endpoint)
        if own is None and others is None:
            return NO_LOAD
        running = 0
        prefill_ms: float = 0
        for part in (own, others):
            if part is not None:
                running += part.running
                prefill_ms += part.prefill_ms
        return Load(running, max(0, prefill_ms))

    def rows(self) -> tuple[LoadRow, ...]:
        """Return this router's loads as reported to peers."""
        return tuple(
            (endpoint, own.running, round(own.prefill_ms))
            for endpoint, own in self._own.items()
        )

    def sum_with(self, hosts: Iterable[str]) -> tuple[LoadRow, ...]:
        """Return the sum of this router's loads and those of given peers."""
        sums = {
            name: _Sum(running, prefill_ms)
            for name, running, prefill_ms in self.rows()
        }
        for host in hosts:
            report = self._reports.get(host, _NO_REPORT)
            for endpoint, load in report.loads.items():
                part = sums.setdefault(endpoint, _Sum())
                part.running += load.running
                part.prefill_ms += load.prefill_ms
        return tuple(
            (name, part.running, round(part.prefill_ms))
            for name, part in sums.items()
        )

    def subtract_own(self, rows: tuple[LoadRow, ...]) -> tuple[LoadRow, ...]:
        """Return sums over several routers without this router's own loads."""
        own = self._own
        others = (
            (
                endpoint,
                running - own.get(endpoint, _NO_SUM).running,
                round(
                    max(0, prefill_ms - own.get(endpoint, _NO_SUM).prefill_ms)
                ),
            )
            for endpoint, running, prefill_ms in rows
        )
        return tuple(row for row in others if row[1] > 0)

    def accept_report(
        self,
        host: str,
        rows: tuple[LoadRow, ...],
        age: float = 0,
    ) -> None:
        """Replace a peer's previous report, unless that is newer.

        ``age`` is the age of the report in seconds.
        """
        measured_at = self._clock() - age
        before = self._reports.get(host)
        if before is not None and before.measured_at > measured_at:
            return
        self.drop_report(host)
        loads = {
            endpoint: Load(running, prefill_ms)
            for endpoint, running, prefill_ms in rows
        }
        self._reports[host] = _Report(measured_at, loads)
        self._add(loads, 1)

    def has_recent_report(self, host: str) -> bool:
        """Return whether there is a report of a peer that is not stale."""
        report = self._reports.get(host, _NO_REPORT)
        return report.measured_at >= self._clock() - STALE_SECONDS

    def drop_report(self, host: str) -> None:
        """Drop the report of a peer, such as one that has left."""
        report = self._reports.pop(host, None)
        if report is not None:
            self._add(report.loads, -1)

    def _add(self, loads: Mapping[str, Load], sign: int) -> None:
        for endpoint, load in loads.items():
            part = self._peers.setdefault(endpoint, _Sum())
            part.running += sign * load.running
            part.prefill_ms += sign * load.prefill_ms
            if not part.running:
                del self._peers[endpoint]

    def _drop_stale(self) -> None:
        now = self._clock()
        self._refresh_at = now + REFRESH_SECONDS
        stale = [
            host
            for host, report in self._reports.items()
            if report.measured_at < now - STALE_SECONDS
        ]
        for host in stale:
            self.drop_report(host)
