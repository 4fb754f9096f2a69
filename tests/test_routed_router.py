"""One router from callers to engines, over loopback sockets."""

import asyncio
import contextlib
import json
from dataclasses import replace

import pytest
import structlog
from support_platform import (
    CHUNKED,
    CONFIG,
    ReceivedRequest,
    RequestHandler,
    Writer,
    chunk,
    event,
    full_response,
    head_bytes,
    respond_ok,
    server_entry,
    stream_events,
)
from support_routed import (
    CFG,
    Answered,
    Caller,
    Fleet,
    play,
    until,
)

from sesamespoke.request_server import KEPT_FRACTION
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.platform_sync import HOST_PREFIX
from sesamespoke.serving.pressure import LATE_SECONDS, LATE_TICKS


def test_an_engine_s_answer_reaches_its_caller_whole_with_its_seal() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        answered = await caller.ask('/l/book/1?x=1', 'Deadline-Ms: 900')
        assert answered.status == 200
        assert answered.body == b'fine'
        assert answered.head.headers['Response-Seal'] == 'seal'
        (asked,) = engine.requests
        assert asked.line == 'POST /l/book/1?x=1 HTTP/1.1'
        assert asked.body == b'body'
        assert asked.headers['expect-instance'] == 'i-1'
        assert 0 < int(asked.headers['deadline-ms']) <= 900
        assert 'authorization' not in asked.headers
        assert 'tenant' not in asked.headers

    play(steps)


def test_a_stream_passes_with_its_account() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', stream_events)
        answered = await (await fleet.connect()).ask('/s/1')
        assert answered.body == event(1) + event(2) + event(3)
        assert answered.whole
        assert engine.requests[0].headers['tenant'] == 'acme'

    play(steps)


def test_a_cut_stream_goes_on_at_another_engine() -> None:
    cut: list[str] = []

    async def cut_once(asked: ReceivedRequest, writer: Writer) -> None:
        if cut:
            await stream_events(asked, writer)
            return
        cut.append(asked.request_id)
        writer.write(head_bytes(asked, 200, CHUNKED))
        writer.write(chunk(event(1) + b'id: 2\nda'))
        await writer.drain()
        writer.close()

    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(name, 'llm', cut_once)
            for name in ('i-1', 'i-2')
        ]
        answered = await (await fleet.connect()).ask('/s/1')
        assert answered.body == event(1) + event(2) + event(3)
        assert answered.whole
        resumed = [
            asked.headers.get('last-event-id')
            for engine in engines
            for asked in engine.requests
        ]
        assert sorted(resumed, key=str) == ['1', None]

    play(steps)


def test_the_pause_before_the_first_event_does_not_end_the_stream() -> None:
    """An event that came just in time was followed by an early time-out."""

    async def slow_start(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        await asyncio.sleep(0.9)
        writer.write(chunk(event(1)))
        await asyncio.sleep(0.5)
        writer.write(chunk(event(2)) + b'0\r\n\r\n')

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', slow_start)
        answered = await (await fleet.connect()).ask('/s/1')
        assert answered.whole
        assert answered.body == event(1) + event(2)
        assert len(engine.requests) == 1

    play(steps)


def test_an_answer_to_another_request_is_read_past() -> None:
    async def late_and_own(asked: ReceivedRequest, writer: Writer) -> None:
        other = ReceivedRequest('', {'request-attempt-id': 'other'}, b'')
        writer.write(full_response(other, b'wrong') + full_response(asked))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', late_and_own)
        answered = await (await fleet.connect()).ask('/l/1')
        assert answered.body == b'fine'

    play(steps)


def test_a_body_that_only_the_close_ends_is_whole_unless_reset() -> None:
    async def unframed(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked) + b'all of it')
        await writer.drain()
        writer.close()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', unframed)
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.body == b'all of it'
        assert answered.head.headers['Content-Length'] == '9'

    play(steps)


async def close_at_once(asked: ReceivedRequest, writer: Writer) -> None:
    writer.transport.abort()


async def no_seal(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(full_response(asked).replace(b'Response-Seal', b'Other'))


async def rubbish(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(b'\0\1\2 not an answer\r\n\r\n')


async def half_a_body(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 200, 'Content-Length: 10') + b'half')
    await writer.drain()
    writer.close()


@pytest.mark.parametrize(
    'behave', [close_at_once, no_seal, rubbish, half_a_body]
)
def test_a_broken_call_that_may_have_run_is_not_said_to_be_unrun(
    behave: RequestHandler,
) -> None:
    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(name, 'desk', behave)
            for name in ('i-1', 'i-2')
        ]
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.status in {502, 504}
        assert sum(len(engine.requests) for engine in engines) == 1
        verdict = answered.head.headers['X-Sesamespoke-Verdict']
        assert verdict == 'may have run'

    play(steps)


@pytest.mark.parametrize('status', [408, 429, 503])
def test_a_status_that_promises_too_much_is_not_passed_on(
    status: int,
) -> None:
    """Without the header that says so, the call may have run."""

    async def busy(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, b'busy', status))

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', busy)
        await fleet.add_engine('i-2', 'desk', busy)
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.status == 502
        assert 'Response-Seal' not in answered.head.headers
        assert len(engine.requests) <= 1

    play(steps)


@pytest.mark.parametrize(
    'behave', [close_at_once, no_seal, rubbish, half_a_body]
)
def test_a_broken_call_that_may_be_repeated_is_answered_by_another(
    behave: RequestHandler,
) -> None:
    broken: list[str] = []

    async def break_once(asked: ReceivedRequest, writer: Writer) -> None:
        if broken:
            await respond_ok(asked, writer)
            return
        broken.append(asked.request_id)
        await behave(asked, writer)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', break_once)
        answered = await (await fleet.connect()).ask('/l/1')
        assert answered.status == 200

    play(steps)


async def shed(asked: ReceivedRequest, writer: Writer) -> None:
    body = b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    writer.write(b'HTTP/1.1 503 X\r\n' + body)


async def misdirected(asked: ReceivedRequest, writer: Writer) -> None:
    body = b'Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n'
    writer.write(b'HTTP/1.1 421 X\r\n' + body)


@pytest.mark.parametrize('refuse', [shed, misdirected])
def test_a_call_that_an_engine_refused_is_run_by_another(
    refuse: RequestHandler,
) -> None:
    refused: list[str] = []

    async def refuse_once(asked: ReceivedRequest, writer: Writer) -> None:
        if refused:
            await respond_ok(asked, writer)
            return
        refused.append(asked.request_id)
        await refuse(asked, writer)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', refuse_once)
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.status == 200

    play(steps)


def test_a_call_that_every_engine_refused_may_be_asked_again() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', shed)
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.status == 503
        assert float(answered.head.headers['Retry-After']) > 0
        verdict = answered.head.headers['X-Sesamespoke-Verdict']
        assert verdict == 'not run'

    play(steps)


def test_an_engine_s_failure_is_passed_on_when_nothing_else_came() -> None:
    async def fail(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, b'sorry', 500))

    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(name, 'desk', fail)
            for name in ('i-1', 'i-2', 'i-3')
        ]
        answered = await (await fleet.connect()).ask('/l/1')
        assert answered.status == 500
        assert answered.body == b'sorry'
        assert sum(len(engine.requests) for engine in engines) == 2

    play(steps)


def test_an_engine_that_is_silent_leaves_time_for_another() -> None:
    async def silent_once(asked: ReceivedRequest, writer: Writer) -> None:
        if silenced:
            await respond_ok(asked, writer)
            return
        silenced.append(asked.request_id)
        await asyncio.sleep(5)

    silenced: list[str] = []

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', silent_once)
        answered = await (await fleet.connect()).ask('/l/1')
        assert answered.status == 200

    play(steps)


def test_work_ends_when_its_caller_leaves() -> None:
    gone = asyncio.Event()

    async def watch_close(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED) + chunk(event(1)))
        await writer.drain()
        while not writer.is_closing():
            await asyncio.sleep(0.01)
            with contextlib.suppress(ConnectionError):
                writer.write(chunk(event(2)))
                await writer.drain()
        gone.set()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', watch_close)
        caller = await fleet.connect()
        caller.send('/s/1')
        await caller.reader.read(10)
        caller.writer.close()
        async with asyncio.timeout(2):
            await gone.wait()
        await until(lambda: not fleet.router.server.active)

    play(steps)


def test_a_draining_engine_gets_nothing_new() -> None:
    async def steps(fleet: Fleet) -> None:
        old = await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        entry = json.loads(json.dumps(server_entry('desk', '127.0.0.1:1')))
        fleet.store.put('servers/i-1', {**entry, 'state': 'draining'})
        directory = fleet.router.directory
        await until(lambda: len(directory.usable('desk')) == 1)
        caller = await fleet.connect()
        for _ in range(10):
            assert (await caller.ask('/l/1')).status == 200
        assert not old.requests

    play(steps)


def test_an_engine_that_leaves_while_it_is_dialled_is_not_sent_the_call() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        pool = fleet.router.pool
        dial = pool.take

        async def slow_dial(url: str, *, fresh: bool) -> object:
            fleet.store.remove('servers/i-1')
            directory = fleet.router.directory
            await until(lambda: not directory.usable('desk'))
            return await dial(url, fresh=fresh)

        pool.take = slow_dial  # type: ignore[method-assign,assignment]
        answered = await (await fleet.connect()).ask('/l/book/1')
        assert answered.status == 503
        assert not engine.requests

    play(steps)


def test_a_follower_that_fails_begins_anew() -> None:
    """A failure once ended the task, and the list of engines stood still."""

    async def steps(fleet: Fleet) -> None:
        directory = fleet.router.directory

        def fail(_: Directory) -> None:
            directory.listeners.remove(fail)
            raise ValueError('once')

        directory.listeners.append(fail)
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        assert (await (await fleet.connect()).ask('/l/1')).status == 200

    play(steps)


def test_a_planned_stop_cuts_nothing_and_refuses_what_comes_late() -> None:
    async def slow(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, 8):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b'0\r\n\r\n')

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', slow)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        running, idle = await fleet.connect(), await fleet.connect()
        running.send('/s/1')
        await until(lambda: fleet.router.server.active == 1)
        fleet.router.stop.ask()
        assert not fleet.router.is_ready
        early = await idle.ask('/l/1')
        assert early.status == 200
        assert early.head.headers['Connection'] == 'close'
        await until(lambda: fleet.router.stop.closed)
        late = await idle.ask('/l/1')
        assert late.status == 503
        answered = await running.receive()
        assert answered.whole
        assert answered.body.endswith(event(7))

    play(steps)


def test_a_revoked_key_is_refused_once_the_version_is_in_force() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stream_events)
        caller = await fleet.connect()
        assert (await caller.ask('/s/1')).status == 200
        fleet.store.put('op/config', {**CONFIG, 'version': 9, 'tenants': []})
        orders = fleet.router.platform_sync.operator_config
        await until(
            lambda: orders.catalog is not None and orders.catalog.version == 9
        )
        assert (await caller.ask('/s/1')).status == 401
        fleet.store.put('op/config', CONFIG)
        await asyncio.sleep(0.2)
        assert (await caller.ask('/s/1')).status == 401

    play(steps)


def test_the_end_of_a_request_is_logged_with_what_decided_it() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        with structlog.testing.capture_logs() as lines:
            assert (await (await fleet.connect()).ask('/l/1')).status == 200
            asked = await (await fleet.connect()).ask('/s/1')
            assert asked.status == 503
        answered, refused = (
            line for line in lines if line.get('request_id') == 'r1'
        )
        assert answered['event'] == 'request_answered'
        assert answered['endpoint'] == 'i-1'
        assert answered['catalog'] == 7
        assert answered['list_revision'] > 0
        assert 0 <= answered['list_age_ms'] < 10_000
        assert answered['running'] == 0
        assert refused['event'] == 'request_refused'
        assert refused['reason'] == 'no_room'
        assert refused['sends'] == 0
        assert refused['waiting'] == 0

    play(steps)


def test_readiness_and_metrics_are_told_on_ports_of_their_own() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        assert (await (await fleet.connect()).ask('/l/1')).status == 200
        ready, metrics = (page.port for page in fleet.router.pages)
        assert (await fetch(ready)).status == 200
        page = (await fetch(metrics)).body.decode()
        attempts = [
            line
            for line in page.splitlines()
            if line.startswith('attempts_total{')
        ]
        assert len(attempts) == 1
        assert 'outcome="done"' in attempts[0]
        assert 'service="desk"' in attempts[0]
        assert 'request_seconds_bucket' in page
        fleet.router.stop.ask()
        assert (await fetch(ready)).status == 503

    play(steps)


def test_an_overloaded_host_is_not_ready_but_serves_what_it_can_in_time() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'llm', stream_events)
        ready = fleet.router.pages[0].port
        for _ in range(LATE_TICKS):
            fleet.router.pressure.note(LATE_SECONDS)
        assert (await fetch(ready)).status == 503
        caller = await fleet.connect()
        assert (await caller.ask('/s/1')).status == 200
        caller = await fleet.connect()
        assert (await caller.ask('/l/1')).status == 503

    play(steps)


def test_an_overloaded_host_leaves_requests_to_the_next_one_at_once() -> None:
    """They waited there until their callers had given up."""

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        assert (await caller.ask('/l/book/1')).status == 200
        for _ in range(LATE_TICKS):
            fleet.router.pressure.note(1)
        answered = await caller.ask('/l/book/2')
        assert answered.status == 503
        assert float(answered.head.headers['Retry-After']) <= 0.2
        assert answered.head.headers['Connection'] == 'close'
        assert len(engine.requests) == 1

    play(steps)


def test_a_connection_too_many_is_closed_unread_and_later_ones_are_served() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [await fleet.connect() for _ in range(CFG.max_callers)]
        late = await fleet.connect()
        with pytest.raises(ConnectionError):
            await late.ask('/l/1')
        assert not fleet.engines['i-1'].requests
        assert (await callers[0].ask('/l/1')).status == 200
        assert not await callers[0].reader.read()
        assert (await (await fleet.connect()).ask('/l/1')).status == 200

    play(steps)


def test_a_host_that_lags_sheds_new_connections_and_keeps_the_open_ones() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        assert (await caller.ask('/l/1')).status == 200
        fleet.router.pressure.lag = 10
        late = await fleet.connect()
        with pytest.raises(ConnectionError):
            await late.ask('/l/1')
        assert len(fleet.engines['i-1'].requests) == 1
        fleet.router.pressure.lag = 0
        assert (await caller.ask('/l/1')).status == 200

    play(steps)


def test_many_connections_are_not_kept() -> None:
    """One caller's idle connections took all descriptors of a host."""

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [await fleet.connect() for _ in range(CFG.max_callers)]
        kept = 0
        for caller in callers:
            answered = await caller.ask('/l/1')
            assert answered.status == 200
            kept += answered.head.headers.get('Connection') != 'close'
        assert kept <= CFG.max_callers * KEPT_FRACTION

    play(steps)


def test_what_a_home_keeps_is_fetched_by_an_engine_that_stands_in() -> None:
    """The beginning's other engines read again what the home had kept."""

    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(f'i-{number}', 'llm', stream_events)
            for number in range(3)
        ]
        rows = ('Token-Counts: 6000,80', 'Prompt-Prefix: a1:5000,b2:1000')
        assert (await (await fleet.connect()).ask('/s/1', *rows)).status == 200
        home = next(each for each in engines if each.requests)
        asked = home.requests[0].headers
        assert 'kv-fetch' not in asked
        chooser = fleet.router.chooser
        name = asked['expect-instance']
        taken = chooser.loads.begin(name, 10_000)
        for known in list(chooser._known):
            chooser._known[known] = replace(chooser._known[known], since=0)
        assert (await (await fleet.connect()).ask('/s/1', *rows)).status == 200
        chooser.loads.end(taken)
        other = next(
            each for each in engines if each is not home and each.requests
        )
        address = fleet.router.directory.endpoints[name].address
        assert other.requests[0].headers['kv-fetch'] == address

    play(steps)


async def fetch(port: int) -> Answered:
    caller = Caller(*await asyncio.open_connection('127.0.0.1', port))
    caller.send('/v1/readiness')
    return await caller.receive()


def test_a_failed_attempt_tells_the_budget_that_decided_on_the_next() -> None:
    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', close_at_once)
        with structlog.testing.capture_logs() as lines:
            answered = await (await fleet.connect()).ask('/l/1')
        assert answered.status == 502
        first, last = (
            line for line in lines if line['event'] == 'attempt_failed'
        )
        assert (first['next'], last['next']) == ('again', 'final')
        assert (first['retries_waiting'], last['retries_sent']) == (1, 1)
        assert last['routers'] == 1
        assert first['fresh'] == 1
        assert first['retries_left'] > 1

    play(steps)


def test_a_request_sent_again_on_a_new_connection_is_told() -> None:
    async def answer_then_close(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.line.endswith('/l/1 HTTP/1.1'):
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_then_close)
        caller = await fleet.connect()
        assert (await caller.ask('/l/1')).status == 200
        with structlog.testing.capture_logs() as lines:
            await caller.ask('/l/2')
        resent = [line for line in lines if line['event'] == 'request_resent']
        assert [line['endpoint'] for line in resent] == ['i-1']

    play(steps)


def test_a_change_of_the_routers_that_are_counted_is_told() -> None:
    async def steps(fleet: Fleet) -> None:
        row = {'host': 'h-2', 'data_centre': 'land', 'peers': '10.0.0.2:7'}
        await until(lambda: fleet.router.fleet_size.count() == 1)
        with structlog.testing.capture_logs() as lines:
            fleet.store.put(f'{HOST_PREFIX}h-2', row)
            await until(lambda: fleet.router.fleet_size.count() == 2)
        told = [line for line in lines if line['event'] == 'routers_counted']
        assert [(line['before'], line['counted']) for line in told] == [(1, 2)]

    play(steps)
