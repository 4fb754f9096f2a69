"""How much work is in flight at each endpoint, over the whole fleet.

Own requests are counted exactly; those of other routers as they, or carriers
of their data centre, report them several times a second. A report that is
older than ``STALE_SECONDS`` counts no more: its sender is gone or cut off.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

STALE_SECONDS = 3.0
"""Some heartbeats; a frozen router's requests end within about that time."""
REFRESH_SECONDS = 0.5
"""How often the sum over peers drops what has become stale."""

LoadRow = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests at an endpoint, and the prompts that it has yet to read.

    ``prefill_ms`` is in milliseconds of its undivided work.
    """

    running: int = 0
    prefill_ms: float = 0


NO_LOAD = Load()


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """An own request at an endpoint; it reads until its first event."""

    endpoint: str
    prefill_ms: float


@dataclass(frozen=True, slots=True)
class _Report:
    taken_at: float
    loads: Mapping[str, Load]


@dataclass(slots=True)
class _Sum:
    running: int = 0
    prefill_ms: float = 0


_NOTHING = _Sum()
_NO_REPORT = _Report(-math.inf, {})


class LoadTracker:
    """Work in flight by endpoint: own, and as peers report it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any work."""
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
        """Note that the endpoint has read the prompt."""
        own = self._own.get(request.endpoint)
        if own is not None:
            own.prefill_ms -= request.prefill_ms
        request.prefill_ms = 0

    def end(self, request: InFlightRequest) -> None:
        """Take a request out of the count."""
        self.end_prefill(request)
        own = self._own[request.endpoint]
        own.running -= 1
        if own.running == 0:
            del self._own[request.endpoint]

    def total(self, endpoint: str) -> Load:
        """Return an endpoint's load as far as it is known."""
        if self._clock() >= self._refresh_at:
            self._drop_stale()
        own = self._own.get(endpoint)
        others = self._peers.get(endpoint)
        if own is None and others is None:
            return NO_LOAD
        running = 0
        reading: float = 0
        for part in (own, others):
            if part is not None:
                running += part.running
                reading += part.prefill_ms
        return Load(running, max(0, reading))

    def rows(self) -> tuple[LoadRow, ...]:
        """Return this router's loads as peers are told them."""
        return tuple(
            (endpoint, own.running, round(own.prefill_ms))
            for endpoint, own in self._own.items()
        )

    def sum_with(self, hosts: Iterable[str]) -> tuple[LoadRow, ...]:
        """Return this router's loads and those that some peers reported."""
        sums = {
            name: _Sum(running, reading)
            for name, running, reading in self.rows()
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
        """Return the sums of several routers without this one's part."""
        own = self._own
        others = (
            (
                endpoint,
                running - own.get(endpoint, _NOTHING).running,
                round(max(0, reading - own.get(endpoint, _NOTHING).prefill_ms)),
            )
            for endpoint, running, reading in rows
        )
        return tuple(row for row in others if row[1] > 0)

    def accept_report(
        self,
        host: str,
        rows: tuple[LoadRow, ...],
        age: float = 0,
    ) -> None:
        """Replace what a peer reported before, if this is newer.

        ``age`` is how old the report is, in seconds.
        """
        taken_at = self._clock() - age
        before = self._reports.get(host)
        if before is not None and before.taken_at > taken_at:
            return
        self.drop_report(host)
        loads = {
            endpoint: Load(running, reading)
            for endpoint, running, reading in rows
        }
        self._reports[host] = _Report(taken_at, loads)
        self._add(loads, 1)

    def has_recent_report(self, host: str) -> bool:
        """Return whether a peer's own report counts now."""
        report = self._reports.get(host, _NO_REPORT)
        return report.taken_at >= self._clock() - STALE_SECONDS

    def drop_report(self, host: str) -> None:
        """Drop the report of a peer that has gone."""
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
            if report.taken_at < now - STALE_SECONDS
        ]
        for host in stale:
            self.drop_report(host)
