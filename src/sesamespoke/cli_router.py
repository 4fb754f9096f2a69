"""The router daemon's command."""

import asyncio
import json
import signal
import sys

import click

from sesamespoke.collecting import spare_pauses
from sesamespoke.router import Router
from sesamespoke.settings import Settings
from sesamespoke.settings_file import load_settings

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False),
    help='The settings of this process, JSON with comments.',
)
def router(path: str) -> None:
    """Run one router until SIGTERM, then finish its work and exit 0.

    \b
    Example:
      sesamespoke router --settings /etc/sesamespoke/router.jsonc
    """
    cfg = load_settings(path)
    if not isinstance(cfg, Settings):
        for problem in cfg:
            click.echo(str(problem), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(serve(cfg))


async def serve(cfg: Settings) -> None:
    """Run a router; a line of JSON tells its addresses."""
    process = Router(cfg)
    process.shutdown.install()
    await process.start()
    spare_pauses()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, process.peers.reload_keys)
    addresses = {'callers': process.caller_url, 'admin': process.admin_url}
    click.echo(json.dumps({'host': cfg.host, **addresses}))
    await process.shutdown.run()
