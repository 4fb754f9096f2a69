"""Tests of reloading the settings file, by periodic checks and on request."""

import asyncio
from pathlib import Path

from test_platform_decoding import SETTINGS

from sesamespoke.platform import settings_watch
from sesamespoke.platform.settings import load_settings
from sesamespoke.serving.settings import ServingSettings


def test_a_changed_file_is_applied_and_an_invalid_one_is_ignored(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    cfg = load_settings(str(path))
    assert not isinstance(cfg, str)
    applied: list[ServingSettings] = []
    watch = settings_watch.SettingsWatch(str(path), cfg, applied.append)

    async def steps() -> None:
        watch_task = asyncio.create_task(watch.run())
        await asyncio.sleep(settings_watch.CHECK_SECONDS * 1.2)
        assert not applied
        path.write_text(SETTINGS.replace('slack = 58', 'slack = 120'))
        await asyncio.sleep(settings_watch.CHECK_SECONDS * 1.2)
        assert [each.retries.slack for each in applied] == [120]
        path.write_text('not settings')
        watch.reload()
        assert len(applied) == 1
        watch_task.cancel()

    asyncio.run(steps())
