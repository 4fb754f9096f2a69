"""A whole fleet in one process, from its plan."""

import asyncio

from sesamespoke.fleet_plan import FleetPlan
from sesamespoke.fleet_site import Pace, Site
from sesamespoke.router import Router

READY_SECONDS = 20
POLL_SECONDS = 0.05


class FleetNotReady(Exception):
    """Some router has no document in force in time."""


class Fleet:
    """Stand-ins of the platform and endpoints, and every router."""

    def __init__(self, plan: FleetPlan, pace: Pace | None = None) -> None:
        """Create all parts; none is started."""
        self.plan = plan
        self.site = Site(plan, pace or Pace())
        self.routers: list[Router] = []

    async def start(self) -> None:
        """Start everything and wait until every router serves."""
        await self.site.start()
        self.routers = [Router(cfg) for cfg in self.plan.routers]
        await asyncio.gather(*[router.start() for router in self.routers])
        deadline = asyncio.get_running_loop().time() + READY_SECONDS
        while not all(router.is_ready for router in self.routers):
            if asyncio.get_running_loop().time() > deadline:
                raise FleetNotReady(f'not within {READY_SECONDS} s')
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop every router, then the stand-ins."""
        await asyncio.gather(*[router.stop() for router in self.routers])
        self.site.stop()

    def describe(self) -> dict[str, object]:
        """Return the addresses and secrets that a client needs."""
        plan = self.plan
        services = plan.document.services
        return {
            'callers': [router.caller_url for router in self.routers],
            'admin': [router.admin_url for router in self.routers],
            'store': self.site.store.url,
            'accounts': {
                name: {'api_key': key} for name, key in plan.api_keys.items()
            },
            'operators': {
                name: {'token': token, 'sections': [name]}
                for name, token in plan.tokens.items()
            },
            'services': {
                name: {'kind': service.kind.value, 'path': service.path}
                for name, service in services.items()
            },
            'endpoints': {
                engine.name: {
                    'url': f'http://{engine.address}',
                    'data_centre': engine.data_centre,
                    'service': engine.service,
                }
                for engine in plan.engines
            },
        }
