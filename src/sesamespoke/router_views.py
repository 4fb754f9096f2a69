"""What the administration API shows of one router's parts."""

from collections.abc import Mapping
from typing import Any, Protocol

from sesamespoke.admin_sources import AdminSources
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import Quarantine
from sesamespoke.queues import RequestQueues
from sesamespoke.roles import DispatchRoles
from sesamespoke.rollout import Rollout
from sesamespoke.timeline import Timeline


class Viewed(Protocol):
    """The parts of a router that are shown."""

    rollout: Rollout
    queues: RequestQueues
    roles: DispatchRoles
    quarantine: Quarantine
    metrics: Metrics
    timeline: Timeline

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""


def admin_sources(router: Viewed) -> AdminSources:
    """Return the functions that the administration API asks."""
    return AdminSources(
        status=lambda: {'roles': router.roles.roles()},
        accounts=lambda: _account_rows(router),
        endpoints=lambda: list(router.roles.endpoint_rows()),
        quarantine=lambda: _quarantine_rows(router),
        release=router.quarantine.release,
        events=router.timeline.events,
        scrape=router.metrics.scrape,
        ready=lambda: router.is_ready,
    )


def _account_rows(router: Viewed) -> list[Mapping[str, Any]]:
    """Return share, waiting here and standing of every account."""
    revision = router.rollout.current
    if revision is None:
        return []
    waiting = router.queues.waiting()
    standings: dict[str, dict[str, float]] = {}
    for row in router.roles.books.account_rows():
        pools = standings.setdefault(str(row['account']), {})
        pools[str(row['pool'])] = float(row['standing'])
    return [
        {
            'account': name,
            'share': account.share,
            'waiting': waiting.get(name, 0),
            'standing': standings.get(name, {}),
        }
        for name, account in revision.document.accounts.items()
    ]


def _quarantine_rows(router: Viewed) -> list[Mapping[str, Any]]:
    return [
        {
            'digest': entry.digest,
            'endpoints': list(entry.endpoints),
            'standing': entry.standing.name.lower(),
            'expires_in': round(entry.expires_in, 1),
        }
        for entry in router.quarantine.entries()
    ]
