"""Streams of services whose endpoints run different software versions."""

import asyncio
import base64
import copy
import json

import pytest
from support_platform import (
    CHUNKED,
    CONFIG,
    LAST_CHUNK,
    ReceivedRequest,
    RequestHandler,
    Writer,
    chunk,
    full_response,
    head_bytes,
)
from support_routed import Caller, Fleet, run_with_fleet, wait_until

from sesamespoke.serving.stream_journal import JOURNAL_PREFIX

LAST_EVENT = 4
STREAMS = 8
BREAK_AFTER = 2


def piece(version: str, number: int) -> bytes:
    return f'id: {number}\ndata: {version}\n\n'.encode()


def engine_of(version: str, *, breaks: bool = False) -> RequestHandler:
    """Return an engine that breaks off each stream that it begins."""

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        after = int(asked.headers.get('last-event-id', 0))
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(after + 1, LAST_EVENT + 1):
            writer.write(chunk(piece(version, number)))
            if breaks and number == BREAK_AFTER and not after:
                await writer.drain()
                writer.transport.abort()
                return
        writer.write(LAST_CHUNK)

    return serve


def stalling_engine_of(version: str) -> RequestHandler:
    """Return an engine that stalls after the first event of a stream."""

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        if 'last-event-id' in asked.headers:
            await engine_of(version)(asked, writer)
            return
        writer.write(head_bytes(asked, 200, CHUNKED))
        writer.write(chunk(piece(version, 1)))
        await writer.drain()
        await asyncio.sleep(9)

    return serve


def late_engine_of(version: str) -> RequestHandler:
    """Return an engine whose first event comes after a batch of the journal."""

    async def serve(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(0.7)
        await engine_of(version)(asked, writer)

    return serve


async def fail(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(full_response(asked, b'failed', 500))


async def begin_stream(fleet: Fleet, request_id: str) -> tuple[Caller, str]:
    """Begin a stream; return its caller and the version that began it."""
    caller = await fleet.connect()
    caller.send('/s/1', 'Prompt-Prefix: p:1', request_id=request_id)
    content = await caller.reader.readuntil(b'data: ')
    while b'id: 1' not in content:
        content = await caller.reader.readuntil(b'data: ')
    return caller, (await caller.reader.readline()).decode().strip()


async def take_up(fleet: Fleet, began: str, number: int) -> tuple[int, bytes]:
    """Take up a stream after its first event; return status and body."""
    caller = await fleet.connect()
    answered = await caller.request(
        '/s/1',
        f'Resumes: {began}',
        'Last-Event-Id: 1',
        request_id=f't{number}',
    )
    caller.writer.close()
    return answered.status, answered.body


def test_stream_that_breaks_is_not_resumed_at_another_version() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', engine_of('v1', breaks=True))
        other = await fleet.add_engine(
            'i-2', 'llm', engine_of('v2', breaks=True), version='v2'
        )
        await wait_until(lambda: knows_versions(fleet, {'v1', 'v2'}))
        for number in range(STREAMS):
            caller = await fleet.connect()
            caller.send('/s/1', 'Connection: close', request_id=f'r{number}')
            body = await caller.reader.read()
            assert not (b'data: v1' in body and b'data: v2' in body)
        assert not any(
            'last-event-id' in each.headers for each in other.requests
        )

    run_with_fleet(steps)


def test_stream_that_breaks_is_resumed_at_the_same_version() -> None:
    async def steps(fleet: Fleet) -> None:
        for version in ('v1', 'v2'):
            for number in range(2):
                await fleet.add_engine(
                    f'i-{version}-{number}',
                    'llm',
                    engine_of(version, breaks=True),
                    version=version,
                )
        await wait_until(lambda: knows_versions(fleet, {'v1', 'v2'}))
        for number in range(STREAMS):
            caller = await fleet.connect()
            answered = await caller.request('/s/1', request_id=f'r{number}')
            pieces = answered.body.count(b'data: v1')
            assert pieces in {0, LAST_EVENT}
            assert answered.body.count(b'data: ') == LAST_EVENT

    run_with_fleet(steps)


@pytest.mark.parametrize('gone', ['', 'v1'])
def test_streams_taken_up_after_a_restart_stay_at_their_version(
    gone: str,
) -> None:
    async def steps(fleet: Fleet) -> None:
        names = {}
        for version in ('v1', 'v2'):
            for number in range(2):
                name = f'i-{version}-{number}'
                engine = stalling_engine_of(version)
                await fleet.add_engine(name, 'llm', engine, version=version)
                names[name] = version
        await wait_until(lambda: knows_versions(fleet, {'v1', 'v2'}))
        begun = [
            await begin_stream(fleet, f'r{number}')
            for number in range(2 * STREAMS)
        ]
        assert {version for _, version in begun} == {'v1', 'v2'}
        for name in [
            name for name, version in names.items() if version == gone
        ]:
            fleet.store.remove(f'servers/{name}')
            fleet.engines.pop(name).crash()
        await fleet.restart()
        went_on = 0
        for number, (_, version) in enumerate(begun):
            status, body = await take_up(fleet, f'r{number}', number)
            other = b'v2' if version == 'v1' else b'v1'
            assert other not in body
            assert not (status == 200 and version == gone)
            went_on += status == 200
        expected = sum(version != gone for _, version in begun)
        assert went_on > expected / 2

    run_with_fleet(steps)


def test_streams_of_a_single_version_go_on_after_a_restart() -> None:
    async def steps(fleet: Fleet) -> None:
        for number in range(2):
            engine = stalling_engine_of('v1')
            await fleet.add_engine(f'i-{number}', 'llm', engine)
        await begin_stream(fleet, 'r0')
        await fleet.restart()
        status, body = await take_up(fleet, 'r0', 0)
        assert (status, body.count(b'v1')) == (200, LAST_EVENT - 1)

    run_with_fleet(steps)


def test_stream_of_a_version_that_was_replaced_during_a_restart_is_refused() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stalling_engine_of('v1'))
        await begin_stream(fleet, 'r0')
        await fleet.stop()
        fleet.store.remove('servers/i-1')
        fleet.engines.pop('i-1').crash()
        engine = await fleet.add_engine_unlisted(
            'i-2', 'llm', stalling_engine_of('v2'), version='v2'
        )
        await fleet.start_router()
        status, _ = await take_up(fleet, 'r0', 0)
        assert status == 503
        assert not engine.requests

    run_with_fleet(steps)


def test_stream_that_is_taken_up_goes_to_the_service_that_began_it() -> None:
    async def steps(fleet: Fleet) -> None:
        await split_streams(fleet, 'llm', 'llm-b')
        for service in ('llm', 'llm-b'):
            await fleet.add_engine(
                f'i-{service}', service, stalling_engine_of(service)
            )
        versions = fleet.router._stream_versions
        await wait_until(lambda: versions._records.known('llm-b') is not None)
        begun = [
            await begin_stream(fleet, f'r{number}') for number in range(STREAMS)
        ]
        services = [service for _, service in begun]
        assert set(services) == {'llm', 'llm-b'}
        for number, service in enumerate(services):
            status, body = await take_up(fleet, f'r{number}', number)
            assert status == 200
            assert body.count(f'data: {service}\n'.encode()) == LAST_EVENT - 1

    run_with_fleet(steps)


def test_version_of_a_failed_attempt_is_not_journalled() -> None:
    """A caller took up its stream at the version of an attempt that failed."""

    async def steps(fleet: Fleet) -> None:
        failing = await fleet.add_engine('i-1', 'llm', fail)
        await fleet.add_engine('i-2', 'llm', late_engine_of('v2'), version='v2')
        await wait_until(lambda: knows_versions(fleet, {'v1', 'v2'}))
        callers = [await fleet.connect() for _ in range(STREAMS)]
        answers = await asyncio.gather(
            *(
                caller.request('/s/1', request_id=f'r{number}')
                for number, caller in enumerate(callers)
            )
        )
        assert failing.requests
        began = {
            f'r{number}'
            for number, answer in enumerate(answers)
            if answer.status == 200
        }
        await wait_until(lambda: began <= journalled(fleet, 'v2'))
        assert not journalled(fleet, 'v1')

    run_with_fleet(steps)


def test_stream_is_journalled_before_its_caller_gets_an_event() -> None:
    """Short streams of a killed router couldn't be taken up by their callers."""

    async def steps(fleet: Fleet) -> None:
        await add_stalling_engines(fleet)
        for number in range(STREAMS):
            _, version = await begin_stream(fleet, f'r{number}')
            assert f'r{number}' in journalled(fleet, version)

    run_with_fleet(steps)


@pytest.mark.parametrize('trouble', ['silent', 'refuse_with'])
def test_first_event_does_not_wait_for_a_store_that_is_away(
    trouble: str,
) -> None:
    """A silent store would hold every new stream back until its deadline."""

    async def steps(fleet: Fleet) -> None:
        await add_stalling_engines(fleet)
        setattr(fleet.store, trouble, 503)
        for number in range(2):
            await begin_stream(fleet, f'r{number}')
        assert not journalled(fleet, 'v1') | journalled(fleet, 'v2')

    run_with_fleet(steps)


async def add_stalling_engines(fleet: Fleet) -> None:
    """Add two endpoints, one of each version, at which streams may begin."""
    for version in ('v1', 'v2'):
        engine = stalling_engine_of(version)
        await fleet.add_engine(f'i-{version}', 'llm', engine, version=version)
    await wait_until(lambda: knows_versions(fleet, {'v1', 'v2'}))


def journalled(fleet: Fleet, version: str) -> set[str]:
    """Return the streams that were ever journalled with a version."""
    batches = (
        json.loads(base64.b64decode(change['value']))
        for change in fleet.store.log
        if change['key'].startswith(JOURNAL_PREFIX) and 'value' in change
    )
    return {each for batch in batches for each in batch.get(version, ())}


async def split_streams(fleet: Fleet, *services: str) -> None:
    """Split the streams of the route evenly between services."""
    config = copy.deepcopy(CONFIG)
    config['version'] += 1
    model = config['services'][0]
    config['services'] += [{**model, 'name': name} for name in services[1:]]
    split = [{'service': name, 'weight': 1} for name in services]
    config['routes'][0]['traffic_split'] = split
    fleet.store.put('op/config', config)
    sync = fleet.router.platform_sync
    await wait_until(
        lambda: (
            sync.operator_config.catalog is not None
            and sync.operator_config.catalog.version == config['version']
        )
    )


def knows_versions(fleet: Fleet, versions: set[str]) -> bool:
    """Return whether new streams may begin at these versions."""
    known = fleet.router._stream_versions._records.known('llm')
    return known is not None and versions <= known.active
