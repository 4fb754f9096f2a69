"""The commands that run stand-ins as processes of their own."""

import asyncio
import json
import signal
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import click

from sesamespoke.settings import Address
from sesamespoke.stand_ins.application import (
    ApplicationEngine,
    ApplicationEngineSettings,
)
from sesamespoke.stand_ins.hosts import HostListStandIn
from sesamespoke.stand_ins.language import LanguageEngine
from sesamespoke.stand_ins.language_settings import LanguageEngineSettings
from sesamespoke.stand_ins.store import StoreStandIn
from sesamespoke.stand_ins.store_service import StoreStandInSettings
from sesamespoke.stand_ins.weights import WeightStoreStandIn

FunctionT = TypeVar('FunctionT', bound=Callable[..., Any])


class StandIn(Protocol):
    """What all stand-ins have in common."""

    @property
    def url(self) -> str:
        """Return the URL once it listens."""

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""

    def stop(self) -> None:
        """Close everything."""


async def _serve(stand_in: StandIn, address: Address) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    stand_in.start(address)
    click.echo(json.dumps({'url': stand_in.url}))
    await ended.wait()
    stand_in.stop()


def serve(create: Callable[[], StandIn], ip: str, port: int) -> None:
    """Create a stand-in and serve until SIGTERM or SIGINT."""

    async def run() -> None:
        await _serve(create(), Address(ip=ip, port=port))

    asyncio.run(run())


def addressed(function: FunctionT) -> FunctionT:
    """Add the options of a listening address."""
    ip = click.option('--ip', default='127.0.0.1', show_default=True)
    port = click.option('--port', default=0, help='0 takes any free port.')
    return ip(port(function))


@click.group()
def stand_in() -> None:
    """Run one stand-in of the platform or of an endpoint.

    Each prints one line, a JSON object with its url, when it listens, and
    serves until SIGTERM. POST /faults orders faults, GET /record or
    /counts shows what it did.
    """


@stand_in.command()
@addressed
@click.option('--writes', default=500, show_default=True, help='Per second.')
@click.option('--reads', default=2000, show_default=True, help='Per second.')
def store(ip: str, port: int, writes: float, reads: float) -> None:
    """Run the platform's key-value service."""
    cfg = StoreStandInSettings(writes, reads)
    serve(lambda: StoreStandIn(cfg), ip, port)


@stand_in.command()
@addressed
@click.option('--model', 'models', multiple=True, default=('assistant',))
@click.option('--cold-bears', default=4, show_default=True)
@click.option('--warm', is_flag=True, help='Start warm.')
@click.option('--step', default=0.02, show_default=True, help='Seconds.')
def language(
    ip: str,
    port: int,
    models: tuple[str, ...],
    cold_bears: int,
    warm: bool,
    step: float,
) -> None:
    """Run a language engine."""
    cfg = LanguageEngineSettings(
        models=models,
        cold_bears=cold_bears,
        starts_warm=warm,
        step=step,
    )
    serve(lambda: LanguageEngine(cfg), ip, port)


@stand_in.command()
@addressed
@click.option('--work', default=0.02, show_default=True, help='Seconds.')
@click.option('--concurrency', default=16, show_default=True)
def application(ip: str, port: int, work: float, concurrency: int) -> None:
    """Run an application engine."""
    cfg = ApplicationEngineSettings(work, concurrency)
    serve(lambda: ApplicationEngine(cfg), ip, port)


@stand_in.command()
@addressed
@click.option('--lag', default=2.0, show_default=True, help='Seconds.')
def hosts(ip: str, port: int, lag: float) -> None:
    """Run the lagging list of hosts."""
    serve(lambda: HostListStandIn(lag), ip, port)


@stand_in.command()
@addressed
@click.option('--file', 'files', type=(str, int), multiple=True)
@click.option('--rate', default=1e9, show_default=True, help='Bytes a second.')
def weights(
    ip: str,
    port: int,
    files: tuple[tuple[str, int], ...],
    rate: float,
) -> None:
    """Run the weight store, with files of given names and sizes."""
    serve(lambda: WeightStoreStandIn(dict(files), rate), ip, port)
