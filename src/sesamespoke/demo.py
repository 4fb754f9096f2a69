"""The demo: a fleet of today's size in one process, with callers at work."""

import asyncio
import json
import signal
import sys
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from sesamespoke.bench.load import Load, Target
from sesamespoke.bench.warm_up import warm_up
from sesamespoke.demo_load import language_models, make_load
from sesamespoke.fleet import Fleet
from sesamespoke.fleet_plan import CALLERS_PORT, plan_fleet
from sesamespoke.fleet_site import Pace
from sesamespoke.stand_ins.language import LanguageEngine
from sesamespoke.stand_ins.language_settings import LanguageEngineSettings

REFRESH_SECONDS = 0.5
WARM_UP_SECONDS = 4
OK_STATUS = 200
PACE = Pace(LanguageEngineSettings(step=0.05, step_per_request=0.001))

Points = dict[str, list[tuple[float, float]]]
EndpointRow = Mapping[str, str | float | bool]


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """What the command line asks for."""

    deployment: str
    seconds: float
    seed: int = 1
    plot: Path | None = None


@dataclass(slots=True)
class Demo:
    """A running fleet, its callers and what has been seen of them."""

    fleet: Fleet
    load: Load
    started_at: float
    service: Points = field(default_factory=dict)

    def sample(self) -> None:
        """Note what every account has been served so far."""
        at = asyncio.get_running_loop().time() - self.started_at
        for account, tokens in self.served().items():
            self.service.setdefault(account, []).append((at, tokens))

    def served(self) -> Counter[str]:
        """Return the tokens that the engines generated, by account."""
        served: Counter[str] = Counter()
        for engine in self.fleet.site.engines.values():
            if isinstance(engine, LanguageEngine):
                for account, tokens in engine.record.accounts.items():
                    served[account] += tokens.generated
        return served

    def endpoint_rows(self) -> list[EndpointRow]:
        """Return what the dispatchers know of their endpoints."""
        return [
            row
            for router in self.fleet.routers
            for row in router.roles.endpoint_rows()
        ]


def _show_limit(row: EndpointRow) -> str:
    limit = row['limit']
    return f'{limit} cold' if row['cold'] else str(limit)


async def hold(deployment: str) -> None:
    """Print the fleet's addresses on one line and serve until SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    fleet = Fleet(plan_fleet(deployment), PACE)
    await fleet.start()
    sys.stdout.write(json.dumps(fleet.describe()))
    sys.stdout.write('\n')
    sys.stdout.flush()
    await stopped.wait()
    await fleet.stop()


async def run(options: DemoOptions, console: Console) -> dict[str, object]:
    """Run callers against a fleet; return the summary."""
    plan = plan_fleet(options.deployment)
    fleet = Fleet(plan, PACE)
    await fleet.start()
    targets = [
        Target(cfg.host, cfg.callers.ip, CALLERS_PORT) for cfg in plan.routers
    ]
    load = make_load(plan, targets, options.seed)
    demo = Demo(fleet, load, asyncio.get_running_loop().time())
    models = language_models(plan)
    for model in models:
        await warm_up(targets, load.accounts, model, WARM_UP_SECONDS)
    load.start()
    demo.started_at = asyncio.get_running_loop().time()
    with Live(console=console, auto_refresh=False) as live:
        await _watch(demo, options.seconds, live)
    await load.stop()
    await fleet.stop()
    if options.plot is not None:
        _plot(options.plot, demo.service)
    return summarise(demo)


async def _watch(demo: Demo, seconds: float, live: Live) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < demo.started_at + seconds:
        await asyncio.sleep(REFRESH_SECONDS)
        demo.sample()
        live.update(render(demo), refresh=True)


def render(demo: Demo) -> Group:
    """Return the tables of accounts, endpoints and data centres."""
    return Group(_accounts(demo), _endpoints(demo), _data_centres(demo))


def _accounts(demo: Demo) -> Table:
    table = Table(title='client accounts')
    for title in ('account', 'share', 'service (tokens)', 'waiting'):
        table.add_column(title)
    served = demo.served()
    for name, account in demo.fleet.plan.document.accounts.items():
        waiting = demo.load.waiting[name]
        cells = (name, account.share, served[name], waiting)
        table.add_row(*map(str, cells))
    return table


def _endpoints(demo: Demo) -> Table:
    table = Table(title='endpoints')
    for title in ('endpoint', 'slice', 'in use', 'limit'):
        table.add_column(title)
    for row in demo.endpoint_rows():
        cells = (row['endpoint'], row['slice'], row['in_use'])
        table.add_row(*map(str, cells), _show_limit(row))
    return table


def _data_centres(demo: Demo) -> Table:
    table = Table(title='data centres')
    for title in ('data centre', 'in service', 'in use'):
        table.add_column(title)
    in_use: Counter[str] = Counter()
    for row in demo.endpoint_rows():
        data_centre = str(row['slice']).split('/')[1]
        in_use[data_centre] += int(row['in_use'])
    for name, site in demo.fleet.plan.document.data_centres.items():
        state = 'yes' if site.in_service else 'no'
        table.add_row(name, state, str(in_use[name]))
    return table


def summarise(demo: Demo) -> dict[str, object]:
    """Return what the callers got, and how the service was shared."""
    answers = [record.answer for record in demo.load.records]
    whole = sum(answer.whole for answer in answers)
    statuses = Counter(str(answer.status) for answer in answers)
    return {
        'deployment': demo.fleet.plan.deployment,
        'answers': len(answers),
        'whole_answers': whole,
        'statuses': dict(statuses),
        'service_tokens': dict(demo.served()),
    }


def _plot(path: Path, service: Points) -> None:
    # Loading the plotting library takes longer than the fleet's start.
    from sesamespoke.bench.report import plot_series

    plot_series(path, 'tokens served', service)
