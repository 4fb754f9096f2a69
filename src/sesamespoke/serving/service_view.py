"""How full and how slow the endpoints of a service look from this host.

Hosts that see the same endpoints may judge them differently: what a host
observes includes its own lateness and that of its link.
"""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.placement import Candidate, utilisation_of

VIEW_SECONDS = 0.1
"""Lifetime of a view; reports of load arrive about as often."""


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service's endpoints that may be used, as this host judges them.

    ``least_used`` is the lowest utilisation among them, and ``slowdown`` the
    median of their slowdowns.
    """

    usable: int = 0
    least_used: float = 0
    slowdown: float = 1


class ServiceViews:
    """Views by service, computed when they are asked for and out of date."""

    def __init__(
        self,
        clock: Callable[[], float],
        candidates: Callable[[RoutedService], Sequence[Candidate]],
    ) -> None:
        """Start without views; ``candidates`` returns usable endpoints."""
        self._clock = clock
        self._candidates = candidates
        self._views: dict[str, tuple[float, ServiceView]] = {}

    def get(self, service: RoutedService) -> ServiceView:
        """Return the view of a service's endpoints."""
        now = self._clock()
        expires_at, view = self._views.get(service.name, (now, ServiceView()))
        if now >= expires_at:
            view = _look_at(service, self._candidates(service))
            self._views[service.name] = (now + VIEW_SECONDS, view)
        return view


def _look_at(
    service: RoutedService, candidates: Sequence[Candidate]
) -> ServiceView:
    if not candidates:
        return ServiceView()
    return ServiceView(
        len(candidates),
        min(utilisation_of(service, each) for each in candidates),
        statistics.median(each.slowdown for each in candidates),
    )
