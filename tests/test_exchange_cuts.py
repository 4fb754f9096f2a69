"""Real connections to endpoints that misbehave at each point."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import replace

import pytest
from support_callers import (
    COMPLETION,
    CONTRACT,
    DONE_EVENT,
    Received,
    Script,
    ScriptedEndpoint,
    answer_bytes,
    answer_well,
    ask_told,
    chat_bytes,
    chunk,
    dechunk,
    deposit_bytes,
    open_path,
    run,
    stream_head,
    token_event,
)

from sesamespoke.limits import Outcome

Reply = Callable[[Received], bytes]


def close_after(reply: Reply) -> Script:
    """Send some bytes, then close."""

    async def script(got: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(got))
        await writer.drain()
        writer.close()

    return script


def wrong_id(got: Received) -> bytes:
    return answer_bytes(got, COMPLETION).replace(
        got.header('X-Request-Id').encode(),
        b'another',
    )


def whole(got: Received) -> bytes:
    return answer_bytes(got, COMPLETION)


# The last one is passed on as it comes, so that its head tells 'ran'.
CUTS: dict[str, tuple[Reply, str]] = {
    'before the head': (lambda _: b'', 'endpoint_failed'),
    'in the head': (lambda got: whole(got)[:40], 'bad_answer'),
    'in the body': (lambda got: whole(got)[:-5], 'endpoint_failed'),
    'wrong request id': (wrong_id, 'bad_answer'),
    'no end of the body': (
        lambda got: whole(got).replace(b'Content-Length', b'X-Length'),
        'bad_answer',
    ),
    'not HTTP': (lambda _: b'ERR\r\n\r\n', 'bad_answer'),
    'a head too long': (
        lambda _: b'HTTP/1.1 200 ' + b'x' * 70_000,
        'bad_answer',
    ),
    'a chunk longer than its size': (
        lambda got: stream_head(got) + b'2\r\nabc\r\n',
        '',
    ),
}


@pytest.mark.parametrize('cut', CUTS)
def test_cut_non_idempotent_call_runs_once_and_may_have_run(cut: str) -> None:
    reply, code = CUTS[cut]

    async def scenario() -> None:
        async with open_path(close_after(reply), answer_well) as path:
            told = await ask_told(path, deposit_bytes())
            if code:
                assert told.verdict == 'may have run'
                assert told.error['code'] == code
            else:
                assert not told.body.endswith(b'0\r\n\r\n')
            again = await ask_told(path, deposit_bytes())
            assert again.error['code'] == 'outcome_unknown'
            assert again.verdict == 'may have run'
            assert len(path.received) == 1
            assert not path.slots.held

    run(scenario())


@pytest.mark.parametrize('cut', CUTS)
def test_cut_completion_is_answered_whole_by_another_endpoint(
    cut: str,
) -> None:
    reply, code = CUTS[cut]

    async def scenario() -> None:
        async with open_path(close_after(reply), answer_well) as path:
            told = await ask_told(path, chat_bytes())
            assert told.status == 200
            assert told.body == COMPLETION
            assert told.verdict == 'ran'
            outcomes = [ending.outcome for _, ending in path.slots.endings]
            assert outcomes == [Outcome.BROKEN, Outcome.DONE]

    run(scenario())


def test_refused_connection_is_not_run_and_tried_elsewhere() -> None:
    async def scenario() -> None:
        async with open_path(answer_well, dead=1) as path:
            told = await ask_told(path, deposit_bytes())
            assert told.status == 200
            assert len(path.received) == 1
        async with open_path(dead=2) as path:
            told = await ask_told(path, deposit_bytes())
            assert told.status == 502
            assert told.verdict == 'not run'

    run(scenario())


@pytest.mark.parametrize(('tokens', 'sends'), [(0, 2), (1, 3)])
def test_a_call_is_sent_again_on_a_new_connection_only_if_paid(
    tokens: int, sends: int
) -> None:
    async def scenario() -> None:
        async with open_path(answer_first_of_two) as path:
            assert (await ask_told(path, chat_bytes())).status == 200
            path.parts.budget.tokens = tokens
            told = await ask_told(path, chat_bytes())
            assert told.verdict == 'may have run'
            assert len(path.received) == sends

    async def answer_first_of_two(
        got: Received, writer: asyncio.StreamWriter
    ) -> None:
        served.append(got)
        if len(served) == 1:
            await answer_well(got, writer)
        else:
            writer.close()

    served: list[Received] = []
    run(scenario())


def cut_stream(got: Received) -> bytes:
    """A stream that ends after one event and a part of another."""
    start = stream_head(got) + chunk(token_event(0, 'rear'))
    return start + chunk(token_event(1, ' facing')[:20])


DEADLINE_SECONDS = 0.2


async def cut_then_resume(
    got: Received,
    writer: asyncio.StreamWriter,
) -> None:
    """Cut the stream once; continue after the event that the router tells."""
    last_id = got.header('Last-Event-ID')
    if not last_id:
        writer.write(cut_stream(got))
        await asyncio.sleep(DEADLINE_SECONDS * 0.9)
        writer.write(b' ')
        await asyncio.sleep(DEADLINE_SECONDS * 0.9)
        writer.close()
        return
    writer.write(stream_head(got))
    for number in range(int(last_id) + 1, 2):
        writer.write(chunk(token_event(number, ('rear', ' facing')[number])))
    writer.write(chunk(DONE_EVENT) + b'0\r\n\r\n')


def test_cut_stream_is_resumed_after_its_last_event() -> None:
    """Also when the deadline, which is the head's, has passed."""

    async def scenario() -> None:
        async with open_path(
            cut_then_resume,
            deadline=DEADLINE_SECONDS,
        ) as path:
            told = await ask_told(path, chat_bytes(stream=True))
            assert len(path.slots.endings) == 1
            assert told.body.count(b'data: ') == 3
            assert told.body.count(b'"rear"') == 1
            assert dechunk(told.body).endswith(b'\n\n' + DONE_EVENT)

    run(scenario())


@pytest.mark.parametrize('resumable', [False, True])
def test_cut_stream_ends_in_an_error_event(resumable: bool) -> None:
    """Also where the endpoint begins anew in place of continuing."""

    async def scenario() -> None:
        script = close_after(cut_stream)
        contract = replace(CONTRACT, resumable=resumable)
        async with open_path(script, contract=contract) as path:
            told = await ask_told(path, chat_bytes(stream=True))
            assert b'[DONE]' not in told.body
            events = told.body.decode().split('data: ')
            assert json.loads(events[1].partition('\n')[0])['choices']
            error = json.loads(events[2].partition('\n')[0])['error']
            assert error['code'] in {'endpoint_failed', 'bad_answer'}
            assert error['verdict'] == 'ran'
            assert len(events) == 3

    run(scenario())


async def never_end(got: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(got).replace(b'event-stream', b'plain'))
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(chunk(b'x' * 65_536))
            await writer.drain()


ENDLESS = {
    'comments': chunk(b': still here\n\n'),
    'tiny chunks': chunk(b'i'),
    'no chunks': b'\xff' * 1024,
    'trailers': b'0\r\n' + b'X-More: of the same\r\n' * 40_000,
}


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_bytes_in_a_stream_are_cut_off(kind: str) -> None:
    block = ENDLESS[kind]
    block *= 1 + 16_384 // len(block)

    async def never_end_stream(
        got: Received, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(got))
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(block)
                await writer.drain()

    async def scenario() -> None:
        async with open_path(never_end_stream, deadline=20) as path:
            async with asyncio.timeout(5):
                told = await ask_told(path, chat_bytes(stream=True))
            assert b'[DONE]' not in told.body
            assert path.slots.endings[0][1].outcome is Outcome.BROKEN

    run(scenario())


async def read_only(got: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(5)


def test_endless_answer_is_refused() -> None:
    async def scenario() -> None:
        async with open_path(never_end, answer_well) as path:
            told = await ask_told(path, chat_bytes())
            assert told.body == COMPLETION
            assert path.slots.endings[0][1].outcome is Outcome.BROKEN

    run(scenario())


def test_deposit_that_is_read_and_not_answered_may_have_run() -> None:
    async def scenario() -> None:
        async with open_path(read_only, deadline=0.2) as path:
            told = await ask_told(path, deposit_bytes())
            assert told.error['code'] == 'timed_out'
            assert told.verdict == 'may have run'
            told = await ask_told(path, deposit_bytes())
            assert told.error['code'] == 'outcome_unknown'
            assert len(path.received) == 1
            assert path.slots.endings[0][1].outcome is Outcome.LATE

    run(scenario())


def test_repeated_answer_does_not_meet_the_next_request() -> None:
    """The repeat comes late, when its connection serves another request."""
    first: list[Received] = []

    async def repeat(got: Received, writer: asyncio.StreamWriter) -> None:
        first.append(got)
        if got.connection == 1 and len(first) > 1:
            writer.write(answer_bytes(first[0], COMPLETION))
            return
        await answer_well(got, writer)

    async def scenario() -> None:
        async with open_path(repeat) as path:
            for _ in range(2):
                told = await ask_told(path, chat_bytes())
                assert told.status == 200
                number = told.header('X-Request-Id')
            connections = [got.connection for got in path.received]
            assert connections == [1, 1, 2]
            assert path.received[-1].header('X-Request-Id') == number

    run(scenario())


@pytest.mark.parametrize('refuses', [False, True])
def test_endpoint_that_breaks_on_a_kept_connection_may_have_run(
    refuses: bool,
) -> None:
    """The retry on a new connection does not take back the first try."""
    endpoints: list[ScriptedEndpoint] = []

    async def fall(got: Received, writer: asyncio.StreamWriter) -> None:
        if got.connection > 1:
            writer.write(answer_bytes(got, b'{}', status='503 Busy'))
        elif len(endpoints[0].received) == 1:
            await answer_well(got, writer)
        else:
            writer.close()
            if not refuses:
                await endpoints[0].close()

    async def scenario() -> None:
        contract = replace(CONTRACT, not_run_statuses=(503,))
        async with open_path(
            fall,
            contract=contract,
            deadline=1,
            quarantines=True,
        ) as path:
            endpoints.extend(path.endpoints)
            assert (await ask_told(path, chat_bytes())).status == 200
            told = await ask_told(path, chat_bytes())
            assert told.verdict == 'may have run'
            assert path.parts.quarantine is not None
            suspects = path.parts.quarantine.entries()
            assert len(suspects) == (0 if refuses else 1)

    run(scenario())
