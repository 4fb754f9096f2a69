"""Routers are killed, one at a time, while a service runs two versions."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

import rig as lib

ROUTERS = 3
EVENTS = 3
EVENT_SECONDS = 0.04
STREAMS_PER_SECOND = 110
CALM_SECONDS = 5
KILLS = 15
DOWN_SECONDS = 1.0
GAP_SECONDS = 5.5
CONTACT_SECONDS = 3.0
LEAST_TAKEN_UP = 12
CLIENT_RETRIES = 3
VERSIONS = ('v1', 'v1', 'v1', 'v2', 'v2', 'v2')
if os.environ.get('ONE_VERSION'):
    VERSIONS = ('v1',) * 6
streams: list[list[lib.Attempt]] = []
killed_at: dict[str, list[float]] = {}


async def ask(rig: lib.Rig) -> None:
    streams.append(await rig.stream(f'/check/{EVENTS}', 3, CLIENT_RETRIES))


async def load(rig: lib.Rig, until: float) -> None:
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(ask(rig)))
        await asyncio.sleep(rig.rng.expovariate(STREAMS_PER_SECOND))
    await asyncio.gather(*tasks)


async def play(rig: lib.Rig) -> None:
    engines = [
        lib.Engine(rig, number, 'llm', version=version, event_seconds=EVENT_SECONDS)
        for number, version in enumerate(VERSIONS)
    ]
    route = lib.stream_route(
        'check', 'llm', timeout_ms=3000, target_latency_ms=2000
    )
    config = lib.config_of(1, [route], [lib.language_service('llm')])
    await rig.start(ROUTERS, engines, config)
    await asyncio.sleep(4)
    began = time.monotonic()
    seconds = CALM_SECONDS + KILLS * GAP_SECONDS
    calls = asyncio.ensure_future(load(rig, began + seconds))
    await asyncio.sleep(CALM_SECONDS)
    for number in range(KILLS if rig.is_troubled else 0):
        router = rig.routers[number % ROUTERS]
        killed_at.setdefault(router.name, []).append(time.monotonic())
        router.signal(signal.SIGKILL)
        router.reap()
        await asyncio.sleep(DOWN_SECONDS)
        router.start()
        await asyncio.sleep(GAP_SECONDS - DOWN_SECONDS)
    await calls


def is_in_touch(attempt: lib.Attempt) -> bool:
    """Return whether the router had not been killed for ``contact_ms``."""
    return not any(
        -0.5 < attempt.sent_at - at < DOWN_SECONDS + CONTACT_SECONDS
        for at in killed_at.get(attempt.router, ())
    )


def judge(rig: lib.Rig) -> tuple[bool, list[str]]:
    taken_up = went_on = fresh = begun = 0
    for tries in streams:
        if is_in_touch(tries[0]):
            fresh += 1
            begun += bool(tries[0].events)
        seen = 0
        resumed = []
        for each in tries:
            if seen:
                resumed.append(each)
            seen += len(each.events)
        if resumed and is_in_touch(resumed[0]):
            taken_up += 1
            went_on += any(each.events or each.is_whole and each.status == 200 for each in resumed)
    began_share = begun / max(1, fresh)
    share = went_on / max(1, taken_up)
    lines = [
        f'new streams at routers in touch: {fresh}, begun: {begun} ({began_share:.2f})',
        f'taken up at routers in touch: {taken_up}, went on: {went_on} ({share:.2f})',
    ]
    return taken_up >= LEAST_TAKEN_UP and share < began_share / 2, lines


if __name__ == '__main__':
    sys.exit(lib.run_case(play, judge, Path(__file__).parent))
