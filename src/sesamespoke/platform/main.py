"""The command that runs a router on the platform."""

import asyncio
import os
import sys
from signal import SIGHUP

import click

from sesamespoke.collecting import spare_pauses
from sesamespoke.platform.feeds import PlatformFeeds
from sesamespoke.platform.headers import HEADER_NAMES, read_head
from sesamespoke.platform.kv_store import KvStore
from sesamespoke.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_settings,
)
from sesamespoke.platform.settings_watch import SettingsWatch
from sesamespoke.serving.log_lines import open_log
from sesamespoke.serving.router import RoutedRouter

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option(
    '--settings',
    'path',
    envvar=SETTINGS_VARIABLE,
    required=True,
    type=click.Path(dir_okay=False),
    help='The settings file that the platform writes.',
)
def platform_router(path: str) -> None:
    """Run one router on the users' platform until SIGTERM.

    \b
    Example:
      sesamespoke platform-router --settings settings.toml
    """
    cfg = load_settings(path)
    if isinstance(cfg, str):
        click.echo(cfg, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(serve(cfg, path))
    sys.stdout.flush()
    # All resources are closed, so the interpreter's teardown is skipped.
    os._exit(0)


async def serve(cfg: PlatformSettings, path: str) -> None:
    """Run a router until it has stopped."""
    writer = open_log()
    store = KvStore(cfg.store)
    router = RoutedRouter(
        cfg.serving, PlatformFeeds(store), HEADER_NAMES, read_head
    )
    spare_pauses()
    watch = SettingsWatch(path, cfg, router.apply_settings)
    asyncio.get_running_loop().add_signal_handler(SIGHUP, watch.reload)
    watch_task = asyncio.create_task(watch.run())
    await router.run()
    watch_task.cancel()
    store.close()
    writer.flush()
