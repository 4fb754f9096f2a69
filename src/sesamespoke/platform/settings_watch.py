"""Reads the settings file again when it changes, told or not."""

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import structlog

from sesamespoke.platform.settings import PlatformSettings, load_settings
from sesamespoke.serving.settings import ServingSettings

CHECK_SECONDS = 1.0
"""How often the file is looked at; it may change without a signal."""

log = structlog.get_logger()


class SettingsWatch:
    """Keeps a router's settings in step with the file."""

    def __init__(
        self,
        path: str,
        cfg: PlatformSettings,
        take: Callable[[ServingSettings], None],
    ) -> None:
        """Begin with the settings that the process started with."""
        self._path = path
        self._cfg = cfg
        self._take = take
        self._stamp = _stamp_of(path)

    async def run(self) -> None:
        """Look at the file again and again, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            stamp = _stamp_of(self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload()

    def reload(self) -> None:
        """Read the file; settings that can't be read change nothing."""
        cfg = load_settings(self._path)
        if isinstance(cfg, str):
            log.error('settings_rejected', why=cfg)
            return
        before = self._cfg
        self._cfg = cfg
        changed = [
            field.name
            for field in fields(cfg.serving)
            if getattr(cfg.serving, field.name)
            != getattr(before.serving, field.name)
        ]
        self._take(cfg.serving)
        log.info('settings_reloaded', changed=changed)


def _stamp_of(path: str) -> tuple[int, int] | None:
    """Return the file's time of change and size; None if it is away."""
    try:
        stat = Path(path).stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size
