"""Engines fail some requests, and routers are killed, while two versions serve."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

import rig as lib

ROUTERS = 3
EVENTS = 30
EVENT_SECONDS = 0.1
FIRST_SECONDS = 0.5
ERROR_SECONDS = 0.1
ERROR_SHARE = 0.3
GREY_SECONDS = 5.0
STREAMS_PER_SECOND = 60
CALM_SECONDS = 12
KILLS = 12
DOWN_SECONDS = 1.0
GAP_SECONDS = 6.5
CLIENT_RETRIES = 3
ALLOWED = 2
VERSIONS = ('v1', 'v1', 'v1', 'v2', 'v2', 'v2')
streams: list[list[lib.Attempt]] = []


class GreyEngine(lib.Engine):
    """An engine that answers some requests with 500 while it is grey."""

    is_grey = False

    async def answer(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        writer: lib.Writer,
    ) -> None:
        if self.is_grey and self.rig.rng.random() < ERROR_SHARE:
            self.rig.record.add(
                'failed', request=request_id, engine=self.name, version=self.version
            )
            await asyncio.sleep(ERROR_SECONDS)
            writer.write(
                lib.whole_bytes(
                    500,
                    b'failed',
                    f'Request-Attempt-Id: {request_id}',
                    f'Response-Seal: seal-{request_id}',
                )
            )
            return
        await asyncio.sleep(FIRST_SECONDS)
        await super().answer(line, headers, body, request_id, writer)


async def ask(rig: lib.Rig) -> None:
    streams.append(await rig.stream(f'/guide/{EVENTS}', 12, CLIENT_RETRIES))


async def load(rig: lib.Rig, until: float) -> None:
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(ask(rig)))
        await asyncio.sleep(rig.rng.expovariate(STREAMS_PER_SECOND))
    await asyncio.gather(*tasks)


async def play(rig: lib.Rig) -> None:
    engines = [
        GreyEngine(rig, number, 'llm', version=version, event_seconds=EVENT_SECONDS)
        for number, version in enumerate(VERSIONS)
    ]
    config = lib.config_of(
        1, [lib.stream_route('guide', 'llm')], [lib.language_service('llm')]
    )
    await rig.start(ROUTERS, engines, config)
    began = time.monotonic()
    seconds = CALM_SECONDS + KILLS * GAP_SECONDS
    calls = asyncio.ensure_future(load(rig, began + seconds))
    await asyncio.sleep(CALM_SECONDS)
    for number in range(KILLS if rig.is_troubled else 0):
        for engine in engines:
            engine.is_grey = True
        await asyncio.sleep(GREY_SECONDS)
        router = rig.routers[number % ROUTERS]
        router.signal(signal.SIGKILL)
        router.reap()
        for engine in engines:
            engine.is_grey = False
        await asyncio.sleep(DOWN_SECONDS)
        router.start()
        await asyncio.sleep(GAP_SECONDS - GREY_SECONDS - DOWN_SECONDS)
    await calls


def judge(rig: lib.Rig) -> tuple[bool, list[str]]:
    rows = lib.versions_by_stream(streams)
    mixed = [row for row in rows if len(row[1]) > 1]
    taken = [tries for tries in streams if len(tries) > 1 and tries[0].events]
    lines = [
        f'streams: {len(streams)}, taken up: {len(taken)},'
        f' with events of two software versions: {len(mixed)}',
        *(f'{request_id}: {versions}' for request_id, versions in mixed[:10]),
    ]
    return len(mixed) > ALLOWED, lines


if __name__ == '__main__':
    sys.exit(lib.run_case(play, judge, Path(__file__).parent))
