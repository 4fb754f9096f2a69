"""Reloads the settings file when it changes, or on request."""

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import structlog

from sesamespoke.platform.settings import PlatformSettings, load_settings
from sesamespoke.serving.settings import ServingSettings

CHECK_SECONDS = 1.0
"""Interval of the checks for changes, which may come without a signal."""

log = structlog.get_logger()


class SettingsWatch:
    """Applies changes of the settings file to a running router."""

    def __init__(
        self,
        path: str,
        cfg: PlatformSettings,
        apply_settings: Callable[[ServingSettings], None],
    ) -> None:
        """Start from the settings that the process was started with."""
        self._path = path
        self._cfg = cfg
        self._apply_settings = apply_settings
        self._last_stat = _read_stat(path)

    async def run(self) -> None:
        """Check the file periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            current = _read_stat(self._path)
            if current != self._last_stat:
                self._last_stat = current
                self.reload()

    def reload(self) -> None:
        """Read the file and apply it; an invalid file changes nothing."""
        cfg = load_settings(self._path)
        if isinstance(cfg, str):
            log.error('settings_rejected', why=cfg)
            return
        previous = self._cfg
        self._cfg = cfg
        changed = [
            field.name
            for field in fields(cfg.serving)
            if getattr(cfg.serving, field.name)
            != getattr(previous.serving, field.name)
        ]
        self._apply_settings(cfg.serving)
        log.info('settings_reloaded', changed=changed)


def _read_stat(path: str) -> tuple[int, int] | None:
    """Return the file's modification time and size; None if unavailable."""
    try:
        stat = Path(path).stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size
