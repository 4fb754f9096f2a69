"""The endpoints of one slice: which are open, and what each may hold."""

from collections.abc import Callable, Iterable, Mapping

from sesamespoke.limits import EndpointLimit, Outcome
from sesamespoke.slots import SlotTable
from sesamespoke.timeline import Timeline
from sesamespoke.world import Endpoint, Service


class EndpointSet:
    """Limits by endpoint name; closed endpoints get no new work."""

    def __init__(
        self,
        slots: SlotTable,
        clock: Callable[[], float],
        timeline: Timeline,
    ) -> None:
        """Start without endpoints; ``slots`` counts what they hold."""
        self._slots = slots
        self._clock = clock
        self._timeline = timeline
        self._limits: dict[str, EndpointLimit] = {}
        self._open: list[str] = []

    def configure(
        self,
        service: Service,
        endpoints: Mapping[str, Endpoint],
        closed: Iterable[str],
    ) -> None:
        """Take over a revision; an endpoint that opens again is cold."""
        for gone in self._limits.keys() - endpoints.keys():
            del self._limits[gone]
        for limit in self._limits.values():
            limit.reconfigure(service.limit)
        for added in sorted(endpoints.keys() - self._limits.keys()):
            self._limits[added] = EndpointLimit(service.limit, self._clock)
        shut = set(closed)
        still_open = [name for name in endpoints if name not in shut]
        for opened in sorted(set(still_open).difference(self._open)):
            self._limits[opened].reset_to_cold()
        self._open = still_open

    def presume_warm(self) -> None:
        """Take the work in flight as proof of what endpoints bear."""
        for name, limit in self._limits.items():
            limit.presume_warm(self._slots.in_use(name))

    def note(self, name: str, outcome: Outcome, first_token_ms: int) -> None:
        """Learn from the ending of a slot that was just freed."""
        limit = self._limits.get(name)
        if limit is None:
            return
        was_cold = limit.cold
        limit.note(outcome, first_token_ms, self._slots.in_use(name) + 1)
        if limit.cold != was_cold:
            state = 'cold' if limit.cold else 'warm'
            self._timeline.record(
                f'endpoint.{state}',
                endpoint=name,
                outcome=outcome.name,
            )

    def find_room(self, cold_share: float) -> str | None:
        """Return the open endpoint with the least use of its limit."""
        best, least = None, float('inf')
        for name in self._open:
            limit = self._limits[name]
            in_use = self._slots.in_use(name)
            load = in_use / limit.bound
            if load < least and limit.room(in_use, cold_share) >= 1:
                best, least = name, load
        return best

    def is_cold(self, name: str) -> bool:
        """Return whether an endpoint is held to its cold limit."""
        limit = self._limits.get(name)
        return limit is not None and limit.cold

    def pause_ends(self) -> float | None:
        """Return when the first pausing endpoint may be used again."""
        ends = [self._limits[name].paused_until for name in self._open]
        return min((end for end in ends if end > self._clock()), default=None)

    def rows(self) -> list[dict[str, str | float | bool]]:
        """Return each endpoint's use and limit for the administration."""
        return [
            {
                'endpoint': name,
                'in_use': self._slots.in_use(name),
                'limit': round(limit.bound, 1),
                'cold': limit.cold,
                'open': name in self._open,
            }
            for name, limit in self._limits.items()
        ]
