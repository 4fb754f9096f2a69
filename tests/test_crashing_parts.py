"""Requests with a prompt part on which each endpoint crashes."""

import asyncio
import itertools
from dataclasses import dataclass

import pytest
from support_platform import (
    CHUNKED,
    ReceivedRequest,
    Writer,
    head_bytes,
    stream_events,
)
from support_routed import Fleet, Response, run_with_fleet, wait_until

RECORD_PREFIX = 'sesamespoke/quarantine/'
ENGINES = 6
ROUNDS = 12
DEADLY_PART = 'dead'
CRASH_LIMIT = 5
"""Crashes that operators allow before a part has to be known."""
LATE_SENDS = 3
"""Requests with the part that may reach engines after that."""
PREFILL_SECONDS = 0.05
SLOW_PART = 'slow'
REQUEST_NUMBERS = itertools.count()


@dataclass
class CrashingEngines:
    """Engines that crash as they begin to write an answer on one part.

    A crashed engine comes back under another name.
    """

    fleet: Fleet
    crashes: int = 0
    sent: int = 0

    async def start(self) -> None:
        for number in range(ENGINES):
            await self._add(f'i-{number}')

    async def _add(self, name: str) -> None:
        await self.fleet.add_engine(name, 'llm', self.serve)

    async def serve(self, asked: ReceivedRequest, writer: Writer) -> None:
        is_deadly = DEADLY_PART in asked.headers['prompt-prefix']
        if is_deadly:
            self.sent += 1
            writer.write(head_bytes(asked, 200, CHUNKED))
        is_slow = SLOW_PART in asked.headers['prompt-prefix']
        await asyncio.sleep(PREFILL_SECONDS * (5 if is_slow else 1))
        if is_deadly:
            await self.crash(asked.headers['expect-instance'])
        else:
            await stream_events(asked, writer)

    async def crash(self, *names: str) -> None:
        self.crashes += len(names)
        for name in names:
            self.fleet.engines.pop(name).crash()
            self.fleet.store.remove(f'servers/{name}')
        for name in names:
            await self._add(f'{name}-again')


async def ask(
    fleet: Fleet, *parts: str, request_id: str | None = None
) -> Response:
    """Send a request whose prompt has these parts, on a new connection."""
    prefix = ','.join(f'{part}:100' for part in parts)
    caller = await fleet.connect()
    return await caller.request(
        f'/s/{parts[-1]}',
        f'Prompt-Prefix: {prefix}',
        f'Token-Counts: {100 * len(parts)},10',
        request_id=request_id or parts[-1],
    )


async def ask_again(fleet: Fleet, own_part: str) -> Response:
    """Send one and the same question, as another request."""
    request_id = f'r{next(REQUEST_NUMBERS)}'
    return await ask(fleet, 'system', own_part, request_id=request_id)


def test_question_in_flight_at_a_crash_is_not_refused_afterwards() -> None:
    async def steps(fleet: Fleet) -> None:
        engines = CrashingEngines(fleet)
        await engines.start()
        asked = [
            asyncio.create_task(ask_again(fleet, SLOW_PART))
            for _ in range(2 * ENGINES)
        ]
        await asyncio.sleep(PREFILL_SECONDS / 2)
        await engines.crash(*fleet.engines)
        await asyncio.gather(*asked)
        assert (await ask_again(fleet, SLOW_PART)).status == 200

    run_with_fleet(steps)


def test_question_that_crashes_engines_is_soon_sent_no_more() -> None:
    async def steps(fleet: Fleet) -> None:
        engines = CrashingEngines(fleet)
        await engines.start()
        for _ in range(ROUNDS):
            await asyncio.gather(
                ask_again(fleet, DEADLY_PART),
                ask_again(fleet, DEADLY_PART),
                ask(fleet, 'system', 'other', 'a'),
            )
        assert engines.sent <= CRASH_LIMIT
        refused = await ask_again(fleet, DEADLY_PART)
        assert refused.status == 503

    run_with_fleet(steps)


def test_a_prompt_part_in_ever_new_requests_does_not_crash_all_engines() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        engines = CrashingEngines(fleet)
        await engines.start()
        for number in range(ROUNDS):
            sound = await asyncio.gather(
                ask(fleet, 'system', 'subject', f'a{number}'),
                ask(fleet, 'system', f'other{number}', f'b{number}'),
                ask(fleet, 'system', 'subject', DEADLY_PART, f'c{number}'),
            )
            if number > CRASH_LIMIT:
                assert [each.status for each in sound[:2]] == [200, 200]
        assert engines.crashes <= CRASH_LIMIT
        assert engines.sent <= CRASH_LIMIT + LATE_SENDS

    run_with_fleet(steps)


@pytest.mark.parametrize('same_request', [False, True])
def test_restart_of_all_routers_does_not_forget_what_crashes_engines(
    same_request: bool,
) -> None:
    async def send_deadly(fleet: Fleet, number: int) -> Response:
        own = 'same' if same_request else f'c{number}'
        return await ask(fleet, 'system', DEADLY_PART, own)

    async def steps(fleet: Fleet) -> None:
        engines = CrashingEngines(fleet)
        await engines.start()
        await ask(fleet, 'system', 'other', 'a')
        for number in range(ROUNDS):
            await send_deadly(fleet, number)
        assert (await send_deadly(fleet, ROUNDS)).status == 503
        await wait_until(
            lambda: any(
                key.startswith(RECORD_PREFIX) for key in fleet.store.items
            )
        )
        sent = engines.sent
        await fleet.restart()
        for number in range(ROUNDS, 2 * ROUNDS):
            assert (await send_deadly(fleet, number)).status == 503
        assert engines.sent == sent
        assert (await ask(fleet, 'system', 'other', 'b')).status == 200

    run_with_fleet(steps)
