"""Starts the processes of a soak, disturbs them, and gathers what was seen."""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sesamespoke.bench.processes import Processes
from soak.callers import Balancer, Caller, Try
from soak.checks import judge, lost, outcomes, repeats_at_most
from soak.engine import post
from soak.faults import (
    ALL_KINDS,
    DECEIT,
    KINDS,
    LIMITED,
    PLANNED,
    Fault,
    draw,
)
from soak.links import NO_ANSWERS, NO_REQUESTS, OPEN, RESET, SILENT, Link
from soak.site import (
    BEAT_SECONDS,
    COLD_SECONDS,
    GRACE_SECONDS,
    ZONES,
    Engine,
    Site,
    lay_out,
    reserve_ports,
    write_json,
)

TESTS = Path(__file__).resolve().parents[1]
DEPLOY = TESTS.parent / 'deploy' / 'router.py'
PLAIN_ENGINES = 3
SLACK_PER_REQUEST = 0.4
"""As on the users' sites: 58 at 120 requests a second, less at fewer."""
START_SECONDS = 20.0
SETTLE_SECONDS = 12.0
"""A router has its part of the slack a window after its start."""
DRAIN_SECONDS = 13.0
RESTART_SECONDS = (0.3, 2.0)
CALLERS_PER_ZONE = 8
PORTS_BESIDE = 10
"""More ports for each router than its links to engines and peers take."""


@dataclass(frozen=True)
class SoakPlan:
    """What one soak plays; all of it follows from the seed.

    ``only`` names the kinds of faults, all if it is empty. A soak with planned
    work alone loses no request.
    ``source`` names the ``src`` directory of other code to run the routers
    from, to compare.
    """

    seed: int
    seconds: float
    routers: int
    engines: int
    rate: float
    pace: float = 1.5
    only: tuple[str, ...] = ()
    logs: str | None = None
    source: str | None = None

    @property
    def is_planned(self) -> bool:
        return bool(self.only) and PLANNED.issuperset(self.only)


async def soak(plan: SoakPlan) -> dict[str, Any]:
    """Play a soak; return the broken promises and what was done."""
    with tempfile.TemporaryDirectory() as scratch:
        logs = Path(plan.logs or scratch)
        logs.mkdir(parents=True, exist_ok=True)
        links = plan.routers * (plan.routers + plan.engines + PLAIN_ENGINES)
        with reserve_ports(links + PORTS_BESIDE * plan.routers) as ports:
            run = Soak(plan, logs, ports)
            try:
                return await run.play()
            finally:
                await run.end()


class Soak:
    """One soak while it runs."""

    def __init__(
        self, plan: SoakPlan, logs: Path, ports: Iterator[int]
    ) -> None:
        self.plan = plan
        self.logs = logs
        self.rng = random.Random(plan.seed)
        self.site: Site = lay_out(
            plan.routers,
            plan.engines,
            PLAIN_ENGINES,
            plan.rate * SLACK_PER_REQUEST,
            ports,
        )
        self.children = Processes(logs)
        self.links = [Link(way) for way in self.site.ways]
        self.balancer = Balancer(self.site)
        self.tries: list[Try] = []
        self.poison = False
        self.stopped: set[str] = set()
        self.done: Counter[str] = Counter()
        self.died: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def play(self) -> dict[str, Any]:
        plan = self.plan
        await self.start()
        callers = self.open_callers()
        for caller in callers:
            self.tasks.append(asyncio.ensure_future(caller.run()))
        self.tasks.insert(0, asyncio.ensure_future(self.watch_ends()))
        kinds = {kind: ALL_KINDS[kind] for kind in plan.only or KINDS}
        await self.disturb(
            draw(self.site, plan.seconds, plan.pace, kinds, self.rng)
        )
        for task in self.tasks[-len(callers) :]:
            task.cancel()
        asked = [task for caller in callers for task in caller.tasks]
        if asked:
            await asyncio.wait(asked, timeout=DRAIN_SECONDS)
        await self.end()
        rows = self.read_engines()
        return {
            'seed': plan.seed,
            'requests': len(self.tries),
            **judge(self.tries, rows, self.site.slack),
            'lost': len(lost(self.tries, rows)) if plan.is_planned else 0,
            'died': len(self.died),
            'budget_used': repeats_at_most(self.tries, rows, self.site.slack),
            'outcomes': dict(outcomes(self.tries).most_common()),
            'faults': dict(self.done),
            'ends': self.died + lost(self.tries, rows)[:5] * plan.is_planned,
        }

    async def start(self) -> None:
        site = self.site
        os.environ['PYTHONPATH'] = str(TESTS)
        for link in self.links:
            await link.open()
        ports: dict[str, dict[str, str]] = {str(site.store_port): {}}
        for router in site.routers:
            ports[str(router.view_port)] = site.views[router.name]
        store = {'beat_seconds': BEAT_SECONDS, 'ports': ports}
        path = write_json(self.logs / 'store.json', store)
        self.children.start('store', [sys.executable, '-m', 'soak.store', path])
        await self.until_open(site.store_port)
        await self.order(1)
        for engine in site.engines:
            self.start_engine(engine, cold=0)
        for router in site.routers:
            settings = self.logs / f'{router.name}.toml'
            settings.write_text(site.settings_text(router))
            self.start_router(router.name)
        self.tasks.append(asyncio.ensure_future(self.balancer.run()))
        async with asyncio.timeout(START_SECONDS):
            while any(self.balancer.misses.values()):
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_SECONDS)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for name in self.children.names():
            self.children.signal(name, signal.SIGCONT)
        await asyncio.to_thread(self.children.stop_all)
        for link in self.links:
            if hasattr(link, 'server'):
                await link.close()

    def start_engine(self, engine: Engine, cold: float) -> None:
        cfg = {
            'name': engine.name,
            'service': engine.service,
            'zone': engine.zone,
            'port': engine.port,
            'slots': engine.slots,
            'work_ms': engine.work_ms,
            'store_port': self.site.store_port,
            'beat_seconds': BEAT_SECONDS,
            'cold_seconds': 0,
        }
        path = write_json(self.logs / f'{engine.name}.json', cfg)
        cmd = [sys.executable, '-m', 'soak.engine', path, str(cold)]
        self.children.start(engine.name, cmd)

    def start_router(self, name: str) -> None:
        path = str(self.logs / f'{name}.toml')
        source = self.plan.source
        entry = DEPLOY
        if source is not None:
            entry = Path(source).parent / 'deploy' / 'router.py'
        cmd = [sys.executable, str(entry), '--settings', path]
        self.children.start(name, cmd)

    async def until_open(self, port: int) -> None:
        async with asyncio.timeout(START_SECONDS):
            while True:
                with suppress(OSError):
                    _, writer = await asyncio.open_connection('127.0.0.1', port)
                    writer.close()
                    return
                await asyncio.sleep(0.05)

    async def order(self, version: int) -> None:
        body = {'key': 'op/config', 'entry': self.site.config(version)}
        await self.tell(self.site.store_port, '/operator', body)

    async def tell(self, port: int, path: str, body: dict[str, Any]) -> None:
        """Order a stand-in; one that is stopped now hears nothing."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                await post(port, path, json.dumps(body).encode())

    def open_callers(self) -> list[Caller]:
        callers = len(ZONES) * CALLERS_PER_ZONE
        return [
            Caller(
                f'{zone}{number}-{self.plan.seed}',
                zone,
                self.balancer,
                random.Random(self.rng.random()),
                lambda: self.plan.rate / callers,
                self.tries,
                lambda: self.poison,
            )
            for zone in ZONES
            for number in range(CALLERS_PER_ZONE)
        ]

    async def disturb(self, faults: list[Fault]) -> None:
        """Apply each fault in time; they overlap. Then let all recover."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0, began_at + fault.at - loop.time()))
            self.done[f'{fault.kind} {fault.mode}'.strip()] += 1
            running.append(asyncio.ensure_future(self.apply(fault)))
        await asyncio.gather(*running)
        ends_at = began_at + self.plan.seconds
        await asyncio.sleep(max(0, ends_at - loop.time()))

    async def apply(self, fault: Fault) -> None:
        kind = fault.kind
        if kind in {'kill router', 'kill all routers', 'kill engine'}:
            await self.kill(fault)
        elif kind == 'stop router':
            await self.stop_router(fault.targets[0])
        elif kind in {'freeze router', 'freeze engine', 'freeze store'}:
            await self.freeze(fault)
        elif kind == 'reload router':
            self.children.signal(fault.targets[0], signal.SIGHUP)
        elif kind in {'engines', 'all engines', DECEIT, LIMITED}:
            await self.spoil_engines(fault)
        elif kind == 'store':
            await self.spoil_store(fault)
        elif kind == 'poison':
            self.poison = True
            await asyncio.sleep(fault.seconds)
            self.poison = False
        else:
            await self.spoil_links(fault)

    async def kill(self, fault: Fault) -> None:
        targets = [name for name in fault.targets if self.claim(name)]
        for name in targets:
            self.children.signal(name, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(*RESTART_SECONDS))
        for name in targets:
            await self.start_again(name)

    async def stop_router(self, name: str) -> None:
        if not self.claim(name):
            return
        self.children.signal(name, signal.SIGTERM)
        if await self.children.wait(name, GRACE_SECONDS) is None:
            self.died.append(f'{name}: still there after {GRACE_SECONDS} s')
            self.children.signal(name, signal.SIGKILL)
        await self.start_again(name)

    async def freeze(self, fault: Fault) -> None:
        names = fault.targets or ('store',)
        targets = [name for name in names if self.claim(name)]
        for name in targets:
            self.children.signal(name, signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        for name in targets:
            self.children.signal(name, signal.SIGCONT)
            self.stopped.discard(name)

    def claim(self, name: str) -> bool:
        """Take a process for one fault at a time; look if it ended itself."""
        if name in self.stopped:
            return False
        self.stopped.add(name)
        return True

    async def start_again(self, name: str) -> None:
        await self.children.wait(name, GRACE_SECONDS)
        engine = self.engine(name)
        if engine is None:
            self.start_router(name)
        else:
            self.start_engine(engine, COLD_SECONDS)
        self.stopped.discard(name)

    def engine(self, name: str) -> Engine | None:
        found = [each for each in self.site.engines if each.name == name]
        return found[0] if found else None

    async def watch_ends(self) -> None:
        """Start again what ended by itself: engines that a request crashed."""
        while True:
            await asyncio.sleep(0.2)
            for name in self.children.names():
                if name in self.stopped or self.children.running(name):
                    continue
                if self.engine(name) is None:
                    code = await self.children.wait(name, 0)
                    self.died.append(f'{name}: exit {code}')
                self.stopped.add(name)
                await asyncio.sleep(self.rng.uniform(*RESTART_SECONDS))
                await self.start_again(name)

    async def spoil_engines(self, fault: Fault) -> None:
        engines = [self.engine(name) for name in fault.targets]
        body = {'mode': fault.mode, 'part': fault.part}
        for engine in filter(None, engines):
            await self.tell(engine.port, '/faults', body)
        await asyncio.sleep(fault.seconds)
        for engine in filter(None, engines):
            await self.tell(engine.port, '/faults', {'mode': '', 'part': 0})

    async def spoil_store(self, fault: Fault) -> None:
        orders: dict[str, dict[str, Any]] = {
            'refuse': {'refuse_with': 503},
            'silent': {'silent': True},
            'slow': {'slow': 0.5},
            'lose': {'lose': True},
            'lapse': {'refuse_with': 503, 'lapse': True},
        }
        port = self.site.store_port
        await self.tell(port, '/faults', orders[fault.mode])
        await asyncio.sleep(fault.seconds)
        await self.tell(port, '/faults', {})

    async def spoil_links(self, fault: Fault) -> None:
        links = [link for link in self.links if self.concerns(fault, link)]
        modes = {
            'cut router': SILENT,
            'cut zone': SILENT,
            'reset links': RESET,
        }
        mode = modes.get(fault.kind, fault.mode)
        delay = 0.0
        if mode == 'slow':
            mode, delay = OPEN, 0.25
        assert mode in {OPEN, SILENT, RESET, NO_REQUESTS, NO_ANSWERS}
        seconds = 0.2 if mode == RESET else fault.seconds
        for link in links:
            link.set(mode, delay)
        await asyncio.sleep(seconds)
        for link in links:
            link.set(OPEN)

    def concerns(self, fault: Fault, link: Link) -> bool:
        """Return whether a fault takes hold of a link."""
        ends = {link.way.source, link.way.target}
        inside = ends & set(fault.targets)
        if fault.kind == 'links':
            return (
                link.way.source in fault.targets
                and self.engine(link.way.target) in self.site.engines[::2]
            )
        if fault.kind == 'cut zone':
            return len(inside) == 1 and not self.is_near(link)
        return bool(inside)

    def is_near(self, link: Link) -> bool:
        """Return whether a link stays within one zone."""
        router = next(
            each for each in self.site.routers if each.name == link.way.source
        )
        engine = self.engine(link.way.target)
        return engine is not None and engine.zone == router.zone

    def read_engines(self) -> list[dict[str, Any]]:
        rows = []
        for engine in self.site.engines:
            path = self.logs / f'{engine.name}.log'
            for line in path.read_text(errors='replace').splitlines():
                with suppress(ValueError):
                    rows.append(json.loads(line))
        return rows
