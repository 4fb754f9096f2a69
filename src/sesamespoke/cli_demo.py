"""The demo command."""

import asyncio
import json
from pathlib import Path

import click
from rich.console import Console

from sesamespoke import demo as demo_run
from sesamespoke.fleet_plan import DEPLOYMENTS


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(DEPLOYMENTS),
    default=DEPLOYMENTS[0],
    show_default=True,
)
@click.option('--seconds', default=20, show_default=True, type=float)
@click.option('--hold', is_flag=True, help='Serve until SIGTERM, no callers.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.option(
    '--plot',
    default='demo-service.png',
    show_default=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help='Where the plot of service per account is written.',
)
def demo(
    deployment: str,
    seconds: float,
    hold: bool,
    as_json: bool,
    plot: Path,
) -> None:
    """Run an embedded fleet of today's size, with callers at work.

    \b
    Examples:
      sesamespoke demo --deployment asante-owusu --seconds 60
      sesamespoke demo --hold --json
    """
    if hold:
        asyncio.run(demo_run.hold(deployment))
        return
    console = Console(stderr=as_json)
    options = demo_run.DemoOptions(deployment, seconds, plot=plot)
    summary = asyncio.run(demo_run.run(options, console))
    if as_json:
        click.echo(json.dumps(summary))
    else:
        console.print(summary)
        console.print(f'service per account over time: {plot}')
