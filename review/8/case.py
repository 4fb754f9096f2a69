"""The store comes back from a copy while routers that were killed start."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

import rig as lib

ROUTERS = 3
KILLED = int(os.environ.get('KILLED', '1'))
EVENTS = 40
STREAMS_PER_SECOND = 15
CALM_SECONDS = 4
COPY_AGE_SECONDS = 5.0
DOWN_SECONDS = 1.0
AWAY_SECONDS = 0.5
CLIENT_RETRIES = 3
ALLOWED = 2
streams: list[list[lib.Attempt]] = []


async def ask(rig: lib.Rig) -> None:
    streams.append(await rig.stream(f'/guide/{EVENTS}', 12, CLIENT_RETRIES))


async def load(rig: lib.Rig, until: float) -> None:
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(ask(rig)))
        await asyncio.sleep(rig.rng.expovariate(STREAMS_PER_SECOND))
    await asyncio.gather(*tasks)


async def play(rig: lib.Rig) -> None:
    rig.store.era = 1
    engines = [lib.Engine(rig, number, 'llm') for number in range(2)]
    newer = [lib.Engine(rig, number, 'llm', version='v2') for number in (2, 3)]
    config = lib.config_of(
        1, [lib.stream_route('guide', 'llm')], [lib.language_service('llm')]
    )
    await rig.start(ROUTERS, engines, config)
    await asyncio.sleep(2)
    began = time.monotonic()
    seconds = CALM_SECONDS + COPY_AGE_SECONDS + 4
    calls = asyncio.ensure_future(load(rig, began + seconds))
    await asyncio.sleep(CALM_SECONDS)
    copy = rig.store.copy()
    for engine in newer:
        await engine.start()
    await asyncio.sleep(COPY_AGE_SECONDS)
    if rig.is_troubled:
        killed = rig.routers[:KILLED]
        rig.store.go_away()
        for router in killed:
            router.signal(signal.SIGKILL)
            router.reap()
        await asyncio.sleep(AWAY_SECONDS)
        await rig.store.come_back(copy)
        rig.record.add('store_back', era=rig.store.era)
        for engine in engines + newer:
            engine.write_entry()
        rig.store.put('op/config', config)
        await asyncio.sleep(DOWN_SECONDS - AWAY_SECONDS)
        for router in killed:
            router.start()
    await calls


def judge(rig: lib.Rig) -> tuple[bool, list[str]]:
    rows = lib.versions_by_stream(streams)
    mixed = [row for row in rows if len(row[1]) > 1]
    taken = [tries for tries in streams if len(tries) > 1 and tries[0].events]
    went_on = sum(any(each.events for each in tries[1:]) for tries in taken)
    lines = [
        f'streams: {len(streams)}, taken up: {len(taken)}, went on: {went_on},'
        f' with events of two software versions: {len(mixed)}',
        *(f'{request_id}: {versions}' for request_id, versions in mixed[:10]),
    ]
    return len(mixed) > ALLOWED, lines


if __name__ == '__main__':
    sys.exit(lib.run_case(play, judge, Path(__file__).parent))
