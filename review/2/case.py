"""A router whose peer has left serves a key long after it was taken away."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from stand_ins import (  # noqa: E402
    CONTACT_SECONDS, FRONT_PORT, Arrival, Engine, World, ask_raw, config, new_id,
    request_bytes, route, run, trouble,
)

FOLDER = Path(__file__).resolve().parent
CONFIG_APPLY_SECONDS = 2.0
PER_S = 10


async def main(world: World) -> int:
    record = world.record
    ran: list[tuple[float, str]] = []
    sent_at: dict[str, float] = {}
    served = 0

    async def serve(engine: Engine, arrival: Arrival) -> None:
        record.write(
            'ran', engine=engine.id, id=arrival.id,
            tenant=arrival.headers.get('tenant'),
        )
        ran.append((sent_at[arrival.id], arrival.headers.get('tenant', '')))
        await asyncio.sleep(0.045)
        arrival.head(200, 'Response-Seal: 1.2.3', body=b'fine')

    async def ask(key: str) -> None:
        nonlocal served
        request_id = new_id()
        content = request_bytes(
            'GET', f'/look/{request_id}', request_id, 1500,
            f'Authorization: Bearer {key}',
        )
        sent_at[request_id] = record.now()
        record.write('sent', id=request_id, key=key)
        try:
            async with asyncio.timeout(2):
                answer = await ask_raw(stays.ip, FRONT_PORT, content)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            record.write('answer', id=request_id, failed=repr(exc))
            return
        served += answer.status == 200
        record.write('answer', id=request_id, key=key, status=answer.status)

    async def keep_asking() -> None:
        while True:
            for key in ('key-alpha', 'key-beta'):
                asyncio.create_task(ask(key))
            await asyncio.sleep(1 / PER_S)

    cfg = config([
        route('look', 'idempotent', 'desk', timeout_ms=1500,
              target_latency_ms=200),
    ])
    await world.start(2, cfg, [
        ('desk1', 'desk', 6, serve), ('desk2', 'desk', 6, serve),
    ])
    # The reader of the data centre is the one with the shorter watch.
    waits = world.store.waits
    leaves, stays = sorted(world.routers, key=lambda each: waits[each.store_ip])
    record.write('routers', leaves=leaves.name, stays=stays.name, waits=waits)
    asyncio.create_task(keep_asking())
    await asyncio.sleep(2)
    if trouble():
        leaves.signal(signal.SIGTERM)
        await leaves.process.wait()
        record.write('router_removed', name=leaves.name)
        await asyncio.sleep(2)
        world.store.silence()
        record.write('open_connections_silent')
    silent_at = record.now()
    await asyncio.sleep(0.5)
    newer = {**cfg, 'version': 12}
    newer['tenants'] = [each for each in cfg['tenants'] if each['name'] != 'alpha']
    world.store.put('op/config', newer)
    taken_at = record.now()
    record.write('key_taken_away', key='key-alpha')
    await asyncio.sleep(25)
    from_at = max(
        taken_at + CONFIG_APPLY_SECONDS,
        silent_at + CONTACT_SECONDS if trouble() else 0,
    )
    late = [at for at, tenant in ran if tenant == 'alpha' and at > from_at]
    record.write('ran_with_dropped_key', count=len(late), first=late[:1],
                 last=late[-1:], taken_at=taken_at, counted_from=from_at)
    print('ran with the dropped key', len(late), late[:1], late[-1:],
          'taken at', taken_at)
    return int(bool(late)) if served > 100 else 2


run(main, FOLDER)
