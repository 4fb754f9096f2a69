"""The settings file changes, with a signal or without."""

import asyncio
from pathlib import Path

from test_platform_decoding import SETTINGS

from sesamespoke.platform import settings_watch
from sesamespoke.platform.settings import load_settings
from sesamespoke.serving.settings import ServingSettings


def test_a_changed_file_is_taken_and_a_bad_one_changes_nothing(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    cfg = load_settings(str(path))
    assert not isinstance(cfg, str)
    taken: list[ServingSettings] = []
    watch = settings_watch.SettingsWatch(str(path), cfg, taken.append)

    async def steps() -> None:
        looking = asyncio.create_task(watch.run())
        await asyncio.sleep(settings_watch.CHECK_SECONDS * 1.2)
        assert not taken
        path.write_text(SETTINGS.replace('slack = 58', 'slack = 120'))
        await asyncio.sleep(settings_watch.CHECK_SECONDS * 1.2)
        assert [each.retries.slack for each in taken] == [120]
        path.write_text('not settings')
        watch.reload()
        assert len(taken) == 1
        looking.cancel()

    asyncio.run(steps())
