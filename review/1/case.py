"""Sound requests that were in flight at an engine crash are refused for good."""

import asyncio
import itertools
import os
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from stand_ins import (  # noqa: E402
    CONTACT_SECONDS, FRONT_PORT, Arrival, Engine, World, ask_raw, config, new_id,
    request_bytes, route, run, trouble,
)

FOLDER = Path(__file__).resolve().parent
CRASH = os.environ.get('CRASH', 'deadly')
"""``ordinary`` is for comparison: one crash, and no deadly request."""
DEADLY = 'dead0001'
ALPHA_PART, BETA_PART = 'a1fa0001', 'be7a0001'
ALPHA_PER_S, BETA_PER_S = 4, 11
"""The hot question is 4 of 15 requests a second: 0.27 of its kind."""
DEADLY_SECONDS = 1.5
CALM_SECONDS = 10
TROUBLE_SECONDS = 12
WATCHED_SECONDS = 15
RETURN_SECONDS = 3.0
LEAST = 20


class Tally:
    """Sound first attempts, and which of them began at an engine."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[float, str]] = {}
        self.begun: set[str] = set()
        self.crashes: list[float] = []


async def main(world: World) -> int:
    tally, record = Tally(), world.record
    numbers = itertools.count()
    alpha_runs: Counter[str] = Counter()

    async def serve(engine: Engine, arrival: Arrival) -> None:
        if DEADLY in arrival.parts():
            await asyncio.sleep(0.05)
            if engine.is_up:
                tally.crashes.append(record.now())
                asyncio.create_task(engine.crash_and_return(RETURN_SECONDS))
            return
        alpha_runs[engine.name] += ALPHA_PART in arrival.parts()
        await asyncio.sleep(0.15)
        tally.begun.add(arrival.id)
        record.write('began', engine=engine.id, id=arrival.id)
        arrival.head(200, 'Response-Seal: 1.2.3', body=None)
        arrival.event(1, 'yes')
        await asyncio.sleep(0.3)
        arrival.event(2, 'it')
        await asyncio.sleep(0.3)
        arrival.event(3, 'fits')
        arrival.end()

    async def ask(kind: str, key: str, parts: str, body: bytes) -> None:
        request_id = new_id()
        router = random.choice(world.routers)
        if kind != 'deadly':
            tally.sent[request_id] = (record.now(), kind)
        record.write('sent', id=request_id, kind=kind, to=router.name)
        content = request_bytes(
            'POST', '/seat/check', request_id, 3000,
            f'Authorization: Bearer {key}', 'Model: m', 'Token-Counts: 1800,24',
            f'Prompt-Prefix: {parts}', body=body,
        )
        try:
            async with asyncio.timeout(4):
                answer = await ask_raw(router.ip, FRONT_PORT, content)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            record.write('answer', id=request_id, kind=kind, failed=repr(exc))
            return
        record.write(
            'answer', id=request_id, kind=kind, status=answer.status,
            whole=answer.is_whole, seal=answer.headers.get('response-seal'),
            retry_after=answer.headers.get('retry-after'),
        )

    def ask_alpha() -> None:
        """The same question of the same caller, as a hot key is."""
        parts = f'{ALPHA_PART}:512,5ea70001:300,5ea70002:988'
        asyncio.create_task(
            ask('alpha', 'key-alpha', parts, b'does seat 17 fit car 4?')
        )

    def ask_beta() -> None:
        number = next(numbers)
        parts = f'{BETA_PART}:512,5ea8{number % 12:04x}:300,5eb0{number:04x}:988'
        body = b'question %d' % number
        asyncio.create_task(ask('beta', 'key-beta', parts, body))

    def ask_deadly() -> None:
        """No two alike; caller and first part are those of sound requests."""
        number = next(numbers)
        parts = f'{ALPHA_PART}:512,{DEADLY}:300,dea1{number:04x}:988'
        body = b'deadly %d' % number
        asyncio.create_task(ask('deadly', 'key-alpha', parts, body))

    async def send(what, per_s: float, seconds: float) -> None:
        for _ in range(round(per_s * seconds)):
            what()
            await asyncio.sleep(1 / per_s)

    cfg = config([
        route('seat', 'streaming', 'llm', resume_streams=True)
    ])
    await world.start(
        2, cfg, [(f'llm{n}', 'llm', 64, serve) for n in range(3)]
    )
    seconds = CALM_SECONDS + TROUBLE_SECONDS + WATCHED_SECONDS
    began_at = record.now()
    tasks = [
        asyncio.create_task(send(ask_alpha, ALPHA_PER_S, seconds)),
        asyncio.create_task(send(ask_beta, BETA_PER_S, seconds)),
    ]
    await asyncio.sleep(CALM_SECONDS)
    trouble_at = record.now()
    if trouble() and CRASH == 'ordinary':
        tally.crashes.append(record.now())
        busiest = max(world.engines, key=lambda each: alpha_runs[each.name])
        await busiest.crash_and_return(RETURN_SECONDS)
    elif trouble():
        await send(
            ask_deadly, 1 / DEADLY_SECONDS, TROUBLE_SECONDS + WATCHED_SECONDS
        )
    await asyncio.gather(*tasks)
    await asyncio.sleep(4)
    ends_at = record.now()

    crashes = tally.crashes[:5]
    from_at = max([trouble_at, *crashes]) + 2 * CONTACT_SECONDS
    broken = False
    for kind in ('alpha', 'beta'):
        calm = _share(tally, kind, began_at, trouble_at)
        later = _share(tally, kind, from_at, ends_at)
        record.write(
            'begun_at_first_attempt', kind=kind, crashes=len(tally.crashes),
            calm=f'{calm[0]}/{calm[1]}', later=f'{later[0]}/{later[1]}',
        )
        print(kind, 'calm', calm, 'later', later, 'crashes', tally.crashes)
        if min(calm[1], later[1]) < LEAST:
            return 2
        if kind == 'alpha':
            broken = later[0] / later[1] < calm[0] / calm[1] / 2
    if trouble() and not tally.crashes:
        return 2
    return int(broken)


def _share(
    tally: Tally, kind: str, from_at: float, to_at: float
) -> tuple[int, int]:
    sent = [
        request_id
        for request_id, (at, each) in tally.sent.items()
        if each == kind and from_at <= at < to_at
    ]
    return sum(each in tally.begun for each in sent), len(sent)


run(main, FOLDER)
