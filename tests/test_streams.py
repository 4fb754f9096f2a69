"""Callers that go away or read slowly, and stops in the middle."""

import asyncio
import contextlib
import signal

import pytest
from support_callers import (
    DONE_EVENT,
    Path,
    Received,
    answer_bytes,
    answer_well,
    ask,
    ask_told,
    chat_bytes,
    chunk,
    deposit_bytes,
    open_path,
    request_bytes,
    run,
    stream_head,
    token_event,
)

from sesamespoke.limits import Outcome
from sesamespoke.shutdown import Shutdown, ShutdownSteps
from sesamespoke.world import EndpointState

HUGE_BYTES = 64 * 1024 * 1024
HELD_BYTES = 16 * 1024 * 1024
PIECE = b'x' * 65_536


async def stream_forever(
    got: Received,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head(got))
    for number in range(100_000):
        writer.write(chunk(token_event(number, 'on')))
        await writer.drain()
        await asyncio.sleep(0.001)


def test_caller_that_goes_away_cancels_at_the_engine() -> None:
    async def scenario() -> None:
        async with open_path(stream_forever) as path:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                path.server.port,
            )
            writer.write(chat_bytes(stream=True))
            await reader.readuntil(b'id: 20\n')
            writer.close()
            await asyncio.wait_for(path.endpoints[0].gone.wait(), 5)
            await until_idle(path)
            name, ending = path.slots.endings[0]
            assert ending.outcome is Outcome.CANCELLED
            assert ending.usage.output_tokens >= 20
            assert not path.slots.held

    run(scenario())


def test_stream_that_drips_bytes_is_ended_as_a_silent_one() -> None:
    async def drip(got: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(got))
        writer.write(chunk(token_event(0, 'on')))
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(chunk(b'd'))
                await writer.drain()
                await asyncio.sleep(0.1)

    async def scenario() -> None:
        async with open_path(drip, deadline=0.5) as path:
            async with asyncio.timeout(3):
                answer = await ask(path, chat_bytes(stream=True))
            assert b'on' in answer
            assert b'error' in answer
            await until_idle(path)

    run(scenario())


async def until_idle(path: Path) -> None:
    while path.server.active:
        await asyncio.sleep(0.01)


def test_keyed_call_goes_on_when_its_caller_goes_away() -> None:
    async def answer_late(
        got: Received,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(0.1)
        await answer_well(got, writer)

    async def scenario() -> None:
        async with open_path(answer_late) as path:
            _, writer = await asyncio.open_connection(
                '127.0.0.1',
                path.server.port,
            )
            writer.write(deposit_bytes())
            while not path.received:
                await asyncio.sleep(0.01)
            writer.close()
            told = await ask_told(path, deposit_bytes())
            assert told.error['code'] == 'idempotent_call_in_progress'
            await until_idle(path)
            told = await ask_told(path, deposit_bytes())
            assert told.verdict == 'ran'
            assert len(path.received) == 1

    run(scenario())


def test_call_whose_claim_lapsed_is_not_sent() -> None:
    async def scenario() -> None:
        async with open_path(answer_well) as path:
            path.claims.lapsing = True
            told = await ask_told(path, deposit_bytes())
            assert told.verdict == 'not run'
            assert not path.received
            assert path.slots.endings[0][1].outcome is Outcome.UNUSED
            path.claims.lapsing = False
            told = await ask_told(path, deposit_bytes())
            assert told.verdict == 'ran'

    run(scenario())


@pytest.mark.parametrize('chunked', [False, True])
def test_slow_caller_of_a_huge_answer_holds_the_endpoint_back(
    chunked: bool,
) -> None:
    sent = 0

    async def answer_hugely(
        got: Received,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal sent
        if chunked:
            writer.write(stream_head(got))
        else:
            whole = answer_bytes(got, b'').replace(
                b'Content-Length: 0',
                b'Content-Length: %d' % HUGE_BYTES,
            )
            writer.write(whole)
        for _ in range(HUGE_BYTES // len(PIECE)):
            writer.write(chunk(PIECE) if chunked else PIECE)
            await writer.drain()
            sent += len(PIECE)
        if chunked:
            writer.write(b'0\r\n\r\n')

    async def scenario() -> None:
        async with open_path(answer_hugely) as path:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                path.server.port,
                limit=65_536,
            )
            writer.write(request_bytes('GET', '/booking/report'))
            before = -1
            while before != sent:
                before = sent
                await asyncio.sleep(0.2)
            assert 0 < sent < HELD_BYTES
            received = 0
            while content := await reader.read(1 << 20):
                received += len(content)
            assert received > HUGE_BYTES
            assert sent == HUGE_BYTES
            assert [end.outcome for _, end in path.slots.endings] == [
                Outcome.DONE,
            ]
            assert path.parts.metrics.scrape().count(b'code="answer"') == 1
            writer.close()

    run(scenario())


def test_slots_of_a_leaving_endpoint_go_back_unused() -> None:
    async def scenario() -> None:
        async with open_path(answer_well, answer_well) as path:
            assert path.revision is not None
            services = path.revision.document.services
            for service in services.values():
                endpoint = service.endpoints['e0']
                object.__setattr__(endpoint, 'state', EndpointState.LEAVING)
            for _ in range(2):
                assert (await ask_told(path, chat_bytes())).status == 200
            assert not path.endpoints[0].received
            outcomes = [ending.outcome for _, ending in path.slots.endings]
            assert outcomes.count(Outcome.UNUSED) == 2

    run(scenario())


def test_unready_host_asks_callers_to_go_elsewhere() -> None:
    async def scenario() -> None:
        async with open_path(answer_well) as path:
            for ready in (True, False):
                path.ready = ready
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    path.server.port,
                )
                writer.write(
                    request_bytes('GET', '/v1/models', Connection=''),
                )
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200')
                assert (b'Connection: close' in head) == (not ready)
                writer.close()

    run(scenario())


def test_stop_ends_while_callers_go_on_coming_and_cuts_none() -> None:
    async def answer_slowly(
        got: Received,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(0.1)
        await answer_well(got, writer)

    async def keep_asking(path: Path, stopping: asyncio.Task[None]) -> None:
        while not stopping.done():
            try:
                answer = await ask(path, chat_bytes())
            except ConnectionRefusedError:
                return
            assert answer.startswith(b'HTTP/1.1 200')

    async def scenario() -> None:
        async with open_path(answer_slowly) as path:
            path.ready = False
            shutdown = Shutdown(
                ShutdownSteps(
                    lambda: None,
                    lambda: None,
                    lambda: path.server.requests,
                    path.server.stop_accepting,
                    path.server.close,
                ),
                path.parts.timeline,
                warn_after=1,
                notice=0.05,
            )
            stopping = asyncio.create_task(shutdown.run())
            callers = [
                asyncio.create_task(keep_asking(path, stopping))
                for _ in range(20)
            ]
            await asyncio.sleep(0.2)
            shutdown.ask()
            await asyncio.wait_for(stopping, 5)
            await asyncio.gather(*callers)

    run(scenario())


def test_stop_is_seen_by_the_balancer_and_cuts_no_stream() -> None:
    async def stream_slowly(
        got: Received,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head(got))
        for number in range(10):
            writer.write(chunk(token_event(number, 'on')))
            await asyncio.sleep(0.03)
        writer.write(chunk(DONE_EVENT) + b'0\r\n\r\n')

    async def scenario() -> None:
        async with open_path(stream_slowly) as path:
            steps: list[str] = []

            def set_unready() -> None:
                path.ready = False
                steps.append('unready')

            async def stop() -> None:
                steps.append('stopped')
                await path.server.close()

            shutdown = Shutdown(
                ShutdownSteps(
                    set_unready,
                    lambda: steps.append('leaving'),
                    lambda: path.server.requests,
                    path.server.stop_accepting,
                    stop,
                ),
                path.parts.timeline,
                warn_after=0.1,
                notice=0.05,
            )
            shutdown.install()
            asking = asyncio.create_task(ask(path, chat_bytes(stream=True)))
            while not path.received:
                await asyncio.sleep(0.01)
            running = asyncio.create_task(shutdown.run())
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.01)
            ready = await ask_told(path, request_bytes('GET', '/readyz'))
            assert ready.status == 503
            signal.raise_signal(signal.SIGTERM)
            assert (await asking).endswith(b'0\r\n\r\n')
            await running
            assert steps == ['unready', 'leaving', 'stopped']
            kinds = [event.kind for event in path.parts.timeline.events()]
            assert kinds == ['shutdown_began', 'shutdown_ended']

    run(scenario())
