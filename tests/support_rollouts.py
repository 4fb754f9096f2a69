"""A fleet that rolls out a software version, on a paused clock."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from support_links import FakeLinks, FakeNetwork
from support_serving_jobs import STREAM_ROUTE, job_of
from support_store import FakeStore

from sesamespoke.limits import Outcome
from sesamespoke.metrics import Metrics
from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.serving.directory import Directory, ListedEndpoint, Listing
from sesamespoke.serving.load import NO_LOAD, LoadTracker
from sesamespoke.serving.placement import Placement
from sesamespoke.serving.platform_interface import RolloutOrder
from sesamespoke.serving.rollout_decider import RolloutDecider
from sesamespoke.serving.rollout_plan import RolloutBounds
from sesamespoke.serving.version_rollouts import VersionRollouts

SERVICE = 'llm'
DURATION = 12.0
RATE = 300.0
ROUTERS = 9
ENDPOINTS = 12
BOUNDS = RolloutBounds(0.1, 50)
EXPECTED_MS = 100.0
OLD_FAILURES = 0.02
ROUTES = ('guide', 'guide', 'chat', 'chat', 'chat', 'chat', 'tag', 'tag')
RARE_ROUTE = 'rare'
RARE_PART = 0.08
ROLLBACK_SECONDS = 5.0
KNOWN_BAD_ANSWERS = 50

Fault = Callable[['Fleet', str, ListedEndpoint], tuple[bool, float]]
"""Whether an answer of the new version is bad, and its delay as a factor."""


@dataclass
class Exposure:
    """What the new version got."""

    requests: int = 0
    sent_at: list[float] = field(default_factory=list)
    bad_at: list[float] = field(default_factory=list)

    def sent_after_it_was_known_bad(self) -> int:
        if len(self.bad_at) < KNOWN_BAD_ANSWERS:
            return 0
        limit = sorted(self.bad_at)[KNOWN_BAD_ANSWERS - 1] + ROLLBACK_SECONDS
        return sum(at > limit for at in self.sent_at)


class Router:
    """One router's rollouts, as it follows and as it decides."""

    def __init__(self, fleet: 'Fleet', host: str) -> None:
        clock = fleet.loop.time
        self.links: FakeLinks = fleet.network.join(host, 'north')
        self.directory = Directory(clock)
        self.directory.replace(Listing(1, fleet.endpoints))
        feeds = PlatformFeeds(fleet.store)  # type: ignore[arg-type]
        self.log: list[str] = []
        self.rollouts = VersionRollouts(
            self.links,
            self.directory,
            clock,
            Metrics(host),
            self.note,
        )
        self.decider = RolloutDecider(
            self.links, self.rollouts, feeds, LoadTracker(clock), clock, BOUNDS
        )
        self.rollouts.apply(fleet.order)
        self.tasks = [
            asyncio.create_task(each.run())
            for each in (self.rollouts, self.decider)
        ]

    def note(self, event: str, /, **fields: object) -> None:
        self.log.append(event)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Routers that send requests to endpoints of two versions."""

    def __init__(self, fault: Fault, seed: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.fault = fault
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.endpoints = tuple(
            ListedEndpoint(
                f'{version}-{number}',
                SERVICE,
                f'10.0.0.{number}:{port}',
                'north',
                slots=64,
                version=version,
            )
            for version, port in (('v1', 80), ('v2', 81))
            for number in range(ENDPOINTS)
        )
        self.order = RolloutOrder(SERVICE, 'v2', DURATION, 1)
        self.exposure = Exposure()
        self.requests = 0
        self.running: dict[str, int] = {}
        self.routers: dict[str, Router] = {}
        self.began = self.loop.time()

    @property
    def age(self) -> float:
        return self.loop.time() - self.began

    def start(self, count: int = ROUTERS) -> None:
        for number in range(count):
            host = f'r{number}'
            self.routers[host] = Router(self, host)

    def kill(self, host: str) -> None:
        self.network.kill(host)
        self.routers.pop(host).stop()

    def decider(self) -> str:
        return next(iter(self.routers.values())).rollouts.deciders(SERVICE)[0]

    async def play(self, seconds: float) -> None:
        """Send requests at a steady rate through all routers."""
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            host = self.rng.choice(list(self.routers))
            self.loop.create_task(self._send(self.routers[host]))
            await asyncio.sleep(1 / RATE)

    async def _send(self, router: Router) -> None:
        is_rare = self.rng.random() < RARE_PART
        route = RARE_ROUTE if is_rare else self.rng.choice(ROUTES)
        job = job_of(
            'a',
            request_id=f'{self.rng.random()}',
            route=replace(STREAM_ROUTE, name=route),
        )
        endpoint = self._choose(router, router.rollouts.exclusions(job, None))
        self.requests += 1
        is_new = endpoint.version == 'v2'
        is_bad, delay = self.rng.random() < OLD_FAILURES, 1.0
        if is_new:
            self.exposure.requests += 1
            self.exposure.sent_at.append(self.loop.time())
            is_bad, delay = self.fault(self, route, endpoint)
        ms = EXPECTED_MS * delay * self.rng.lognormvariate(0, 0.5)
        self.running[endpoint.name] = self.running.get(endpoint.name, 0) + 1
        await asyncio.sleep(ms / 1000)
        self.running[endpoint.name] -= 1
        if is_new and (is_bad or delay > 1):
            self.exposure.bad_at.append(self.loop.time())
        router.rollouts.note_answer(
            job,
            Placement(endpoint, 0, EXPECTED_MS, NO_LOAD),
            Outcome.LATE if is_bad else Outcome.DONE,
            ms,
        )

    def _choose(
        self, router: Router, exclusions: tuple[frozenset[str], ...]
    ) -> ListedEndpoint:
        for excluded in exclusions:
            allowed = [
                each
                for each in router.directory.usable(SERVICE)
                if each.name not in excluded
            ]
            if allowed:
                return self.rng.choice(allowed)
        raise AssertionError('no endpoint may be used')

    async def status(self) -> str:
        """Return the state that operators read."""
        found = await self.store.get(f'status/rollout/{SERVICE}')
        content = getattr(found, 'content', b'').decode()
        states = ('running', 'completed', 'rolled_back')
        return next((each for each in states if each in content), '')
