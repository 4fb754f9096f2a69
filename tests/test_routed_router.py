"""End-to-end tests of one router between callers and engines."""

import asyncio
import contextlib
import json
from dataclasses import replace
from unittest import mock

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
    Caller,
    Fleet,
    Response,
    run_with_fleet,
    wait_until,
)

from sesamespoke.request_server import KEPT_FRACTION
from sesamespoke.serving.directory import Directory
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.host_registration import HOST_PREFIX
from sesamespoke.serving.loop_lag import HIGH_DELAY_SAMPLES, HIGH_DELAY_SECONDS


def test_response_is_relayed_completely_with_its_seal() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        response = await caller.request('/l/book/1?x=1', 'Deadline-Ms: 900')
        assert response.status == 200
        assert response.body == b'fine'
        assert response.head.headers['Response-Seal'] == 'seal'
        (asked,) = engine.requests
        assert asked.line == 'POST /l/book/1?x=1 HTTP/1.1'
        assert asked.body == b'body'
        assert asked.headers['expect-instance'] == 'i-1'
        assert 0 < int(asked.headers['deadline-ms']) <= 900
        assert 'authorization' not in asked.headers
        assert 'tenant' not in asked.headers

    run_with_fleet(steps)


def test_stream_is_relayed_with_its_account() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', stream_events)
        response = await (await fleet.connect()).request('/s/1')
        assert response.body == event(1) + event(2) + event(3)
        assert response.is_complete
        assert engine.requests[0].headers['tenant'] == 'acme'

    run_with_fleet(steps)


def test_cut_stream_resumes_at_another_engine() -> None:
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
        response = await (await fleet.connect()).request('/s/1')
        assert response.body == event(1) + event(2) + event(3)
        assert response.is_complete
        resumed = [
            asked.headers.get('last-event-id')
            for engine in engines
            for asked in engine.requests
        ]
        assert sorted(resumed, key=str) == ['1', None]

    run_with_fleet(steps)


def test_slow_first_event_is_not_followed_by_an_early_timeout() -> None:
    """A first event that came just in time used to be followed by a timeout.

    The stream then ended too early, while it waited for the second event.
    """

    async def slow_start(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        await asyncio.sleep(0.9)
        writer.write(chunk(event(1)))
        await asyncio.sleep(0.5)
        writer.write(chunk(event(2)) + b'0\r\n\r\n')

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', slow_start)
        response = await (await fleet.connect()).request('/s/1')
        assert response.is_complete
        assert response.body == event(1) + event(2)
        assert len(engine.requests) == 1

    run_with_fleet(steps)


def test_response_to_another_request_is_skipped() -> None:
    async def send_unsolicited_first(
        asked: ReceivedRequest, writer: Writer
    ) -> None:
        other = ReceivedRequest('', {'request-attempt-id': 'other'}, b'')
        writer.write(full_response(other, b'wrong') + full_response(asked))

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', send_unsolicited_first)
        response = await (await fleet.connect()).request('/l/1')
        assert response.body == b'fine'

    run_with_fleet(steps)


def test_body_delimited_by_connection_close_is_complete() -> None:
    async def send_until_close(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked) + b'all of it')
        await writer.drain()
        writer.close()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', send_until_close)
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.body == b'all of it'
        assert response.head.headers['Content-Length'] == '9'

    run_with_fleet(steps)


async def abort_at_once(asked: ReceivedRequest, writer: Writer) -> None:
    writer.transport.abort()


async def omit_seal(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(full_response(asked).replace(b'Response-Seal', b'Other'))


async def send_garbage(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(b'\0\1\2 not an answer\r\n\r\n')


async def send_half_body(asked: ReceivedRequest, writer: Writer) -> None:
    writer.write(head_bytes(asked, 200, 'Content-Length: 10') + b'half')
    await writer.drain()
    writer.close()


@pytest.mark.parametrize(
    'handler', [abort_at_once, omit_seal, send_garbage, send_half_body]
)
def test_failed_request_that_may_have_run_is_not_reported_as_not_run(
    handler: RequestHandler,
) -> None:
    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(name, 'desk', handler)
            for name in ('i-1', 'i-2')
        ]
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.status in {502, 504}
        assert sum(len(engine.requests) for engine in engines) == 1
        verdict = response.head.headers['X-Sesamespoke-Verdict']
        assert verdict == 'may have run'

    run_with_fleet(steps)


@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_that_implies_not_run_is_not_relayed_without_proof(
    status: int,
) -> None:
    """Without the ``Not-Executed`` header the request may have run."""

    async def busy(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, b'busy', status))

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', busy)
        await fleet.add_engine('i-2', 'desk', busy)
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.status == 502
        assert 'Response-Seal' not in response.head.headers
        assert len(engine.requests) <= 1

    run_with_fleet(steps)


@pytest.mark.parametrize(
    'handler', [abort_at_once, omit_seal, send_garbage, send_half_body]
)
def test_failed_idempotent_request_is_retried_at_another_engine(
    handler: RequestHandler,
) -> None:
    broken: list[str] = []

    async def break_once(asked: ReceivedRequest, writer: Writer) -> None:
        if broken:
            await respond_ok(asked, writer)
            return
        broken.append(asked.request_id)
        await handler(asked, writer)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', break_once)
        response = await (await fleet.connect()).request('/l/1')
        assert response.status == 200

    run_with_fleet(steps)


async def shed(asked: ReceivedRequest, writer: Writer) -> None:
    body = b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    writer.write(b'HTTP/1.1 503 X\r\n' + body)


async def misdirect(asked: ReceivedRequest, writer: Writer) -> None:
    body = b'Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n'
    writer.write(b'HTTP/1.1 421 X\r\n' + body)


@pytest.mark.parametrize('refuse', [shed, misdirect])
def test_request_rejected_by_one_engine_is_run_by_another(
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
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.status == 200

    run_with_fleet(steps)


def test_request_rejected_by_every_engine_may_be_retried() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', shed)
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.status == 503
        assert float(response.head.headers['Retry-After']) > 0
        verdict = response.head.headers['X-Sesamespoke-Verdict']
        assert verdict == 'not run'

    run_with_fleet(steps)


@pytest.mark.parametrize('refuse', [None, shed, misdirect])
def test_request_that_no_engine_ran_goes_beyond_its_accounts_limit(
    refuse: RequestHandler | None,
) -> None:
    """Engines that have gone look idle and lifted requests over the limit."""

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', refuse or respond_ok)
        if refuse is None:
            engine.stop()
        with (
            mock.patch.object(FairShares, 'utilisation_limit') as limit,
            mock.patch.object(
                fleet.router.chooser,
                'reserve',
                wraps=fleet.router.chooser.reserve,
            ) as reserve,
        ):
            limit.return_value = 0.5
            response = await (await fleet.connect()).request('/l/book/1')
        assert response.status == 503
        limits = {call.args[1] for call in reserve.call_args_list}
        assert limits == {0.5}

    run_with_fleet(steps)


def test_engine_error_is_relayed_when_all_attempts_failed() -> None:
    async def fail(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, b'sorry', 500))

    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(name, 'desk', fail)
            for name in ('i-1', 'i-2', 'i-3')
        ]
        response = await (await fleet.connect()).request('/l/1')
        assert response.status == 500
        assert response.body == b'sorry'
        assert sum(len(engine.requests) for engine in engines) == 2

    run_with_fleet(steps)


def test_unresponsive_engine_leaves_time_for_a_retry() -> None:
    async def stall_once(asked: ReceivedRequest, writer: Writer) -> None:
        if stalled:
            await respond_ok(asked, writer)
            return
        stalled.append(asked.request_id)
        await asyncio.sleep(5)

    stalled: list[str] = []

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', stall_once)
        response = await (await fleet.connect()).request('/l/1')
        assert response.status == 200

    run_with_fleet(steps)


def test_request_is_cancelled_when_its_caller_disconnects() -> None:
    closed = asyncio.Event()

    async def stream_until_closed(
        asked: ReceivedRequest, writer: Writer
    ) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED) + chunk(event(1)))
        await writer.drain()
        while not writer.is_closing():
            await asyncio.sleep(0.01)
            with contextlib.suppress(ConnectionError):
                writer.write(chunk(event(2)))
                await writer.drain()
        closed.set()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stream_until_closed)
        caller = await fleet.connect()
        caller.send('/s/1')
        await caller.reader.read(10)
        caller.writer.close()
        async with asyncio.timeout(2):
            await closed.wait()
        await wait_until(lambda: not fleet.router.server.active)

    run_with_fleet(steps)


def test_draining_engine_gets_no_new_requests() -> None:
    async def steps(fleet: Fleet) -> None:
        old = await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        entry = json.loads(json.dumps(server_entry('desk', '127.0.0.1:1')))
        fleet.store.put('servers/i-1', {**entry, 'state': 'draining'})
        directory = fleet.router.directory
        await wait_until(lambda: len(directory.usable('desk')) == 1)
        caller = await fleet.connect()
        for _ in range(10):
            assert (await caller.request('/l/1')).status == 200
        assert not old.requests

    run_with_fleet(steps)


def test_engine_removed_while_connecting_is_not_sent_the_request() -> None:
    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        pool = fleet.router.pool
        take_connection = pool.take

        async def connect_slowly(url: str, *, fresh: bool) -> object:
            fleet.store.remove('servers/i-1')
            directory = fleet.router.directory
            await wait_until(lambda: not directory.usable('desk'))
            return await take_connection(url, fresh=fresh)

        pool.take = connect_slowly  # type: ignore[method-assign,assignment]
        response = await (await fleet.connect()).request('/l/book/1')
        assert response.status == 503
        assert not engine.requests

    run_with_fleet(steps)


def test_failed_sync_task_is_restarted() -> None:
    """A failure used to end the task, so the list of engines went stale."""

    async def steps(fleet: Fleet) -> None:
        directory = fleet.router.directory

        def fail(_: Directory) -> None:
            directory.listeners.remove(fail)
            raise ValueError('once')

        directory.listeners.append(fail)
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        assert (await (await fleet.connect()).request('/l/1')).status == 200

    run_with_fleet(steps)


def test_graceful_shutdown_finishes_requests_and_rejects_new_ones() -> None:
    async def stream_slowly(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(head_bytes(asked, 200, CHUNKED))
        for number in range(1, 8):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b'0\r\n\r\n')

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stream_slowly)
        await fleet.add_engine('i-2', 'desk', respond_ok)
        busy, idle = await fleet.connect(), await fleet.connect()
        busy.send('/s/1')
        await wait_until(lambda: fleet.router.server.active == 1)
        fleet.router.stop.begin()
        assert not fleet.router.is_ready
        early = await idle.request('/l/1')
        assert early.status == 200
        assert early.head.headers['Connection'] == 'close'
        await wait_until(lambda: fleet.router.stop.rejects_requests)
        late = await idle.request('/l/1')
        assert late.status == 503
        response = await busy.receive()
        assert response.is_complete
        assert response.body.endswith(event(7))

    run_with_fleet(steps)


def test_revoked_api_key_is_rejected_once_its_version_is_in_force() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stream_events)
        caller = await fleet.connect()
        assert (await caller.request('/s/1')).status == 200
        fleet.store.put('op/config', {**CONFIG, 'version': 9, 'tenants': []})
        orders = fleet.router.platform_sync.operator_config
        await wait_until(
            lambda: orders.catalog is not None and orders.catalog.version == 9
        )
        assert (await caller.request('/s/1')).status == 401
        fleet.store.put('op/config', CONFIG)
        await asyncio.sleep(0.2)
        assert (await caller.request('/s/1')).status == 401

    run_with_fleet(steps)


def test_end_of_a_request_is_logged_with_the_state_that_decided_it() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        with structlog.testing.capture_logs() as lines:
            assert (await (await fleet.connect()).request('/l/1')).status == 200
            response = await (await fleet.connect()).request('/s/1')
            assert response.status == 503
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

    run_with_fleet(steps)


def test_readiness_and_metrics_are_served_on_separate_ports() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        assert (await (await fleet.connect()).request('/l/1')).status == 200
        ready, metrics = (page.port for page in fleet.router.pages)
        assert (await fetch_page(ready)).status == 200
        page = (await fetch_page(metrics)).body.decode()
        attempts = [
            line
            for line in page.splitlines()
            if line.startswith('attempts_total{')
        ]
        assert len(attempts) == 1
        assert 'outcome="done"' in attempts[0]
        assert 'service="desk"' in attempts[0]
        assert 'request_seconds_bucket' in page
        fleet.router.stop.begin()
        assert (await fetch_page(ready)).status == 503

    run_with_fleet(steps)


def test_overloaded_host_is_not_ready_but_serves_what_it_can_in_time() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        await fleet.add_engine('i-2', 'llm', stream_events)
        ready = fleet.router.pages[0].port
        for _ in range(HIGH_DELAY_SAMPLES):
            fleet.router.pressure.record_delay(HIGH_DELAY_SECONDS)
        assert (await fetch_page(ready)).status == 503
        caller = await fleet.connect()
        assert (await caller.request('/s/1')).status == 200
        caller = await fleet.connect()
        assert (await caller.request('/l/1')).status == 503

    run_with_fleet(steps)


def test_overloaded_host_rejects_late_requests_immediately() -> None:
    """Such requests used to wait until their callers timed out."""

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        assert (await caller.request('/l/book/1')).status == 200
        for _ in range(HIGH_DELAY_SAMPLES):
            fleet.router.pressure.record_delay(1)
        response = await caller.request('/l/book/2')
        assert response.status == 503
        assert float(response.head.headers['Retry-After']) <= 0.2
        assert response.head.headers['Connection'] == 'close'
        assert len(engine.requests) == 1

    run_with_fleet(steps)


def test_connection_above_the_limit_is_closed_and_later_ones_are_served() -> (
    None
):
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [await fleet.connect() for _ in range(CFG.max_callers)]
        late = await fleet.connect()
        with pytest.raises(ConnectionError):
            await late.request('/l/1')
        assert not fleet.engines['i-1'].requests
        assert (await callers[0].request('/l/1')).status == 200
        assert not await callers[0].reader.read()
        assert (await (await fleet.connect()).request('/l/1')).status == 200

    run_with_fleet(steps)


def test_lagging_host_closes_new_connections_and_keeps_open_ones() -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        assert (await caller.request('/l/1')).status == 200
        fleet.router.pressure.lag = 10
        late = await fleet.connect()
        with pytest.raises(ConnectionError):
            await late.request('/l/1')
        assert len(fleet.engines['i-1'].requests) == 1
        fleet.router.pressure.lag = 0
        assert (await caller.request('/l/1')).status == 200

    run_with_fleet(steps)


def test_connections_are_not_kept_alive_when_many_are_open() -> None:
    """Idle connections of one caller used to take all file descriptors."""

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        callers = [await fleet.connect() for _ in range(CFG.max_callers)]
        kept = 0
        for caller in callers:
            response = await caller.request('/l/1')
            assert response.status == 200
            kept += response.head.headers.get('Connection') != 'close'
        assert kept <= CFG.max_callers * KEPT_FRACTION

    run_with_fleet(steps)


def test_other_engine_fetches_the_prefix_from_the_preferred_endpoint() -> None:
    """Other engines used to repeat the prefill of a prefix cached elsewhere."""

    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(f'i-{number}', 'llm', stream_events)
            for number in range(3)
        ]
        rows = ('Token-Counts: 6000,80', 'Prompt-Prefix: a1:5000,b2:1000')
        assert (
            await (await fleet.connect()).request('/s/1', *rows)
        ).status == 200
        preferred = next(each for each in engines if each.requests)
        asked = preferred.requests[0].headers
        assert 'kv-fetch' not in asked
        chooser = fleet.router.chooser
        name = asked['expect-instance']
        taken = chooser.loads.begin(name, 10_000)
        for known in list(chooser._listed):
            chooser._listed[known] = replace(
                chooser._listed[known], listed_at=0
            )
        assert (
            await (await fleet.connect()).request('/s/1', *rows)
        ).status == 200
        chooser.loads.end(taken)
        other = next(
            each for each in engines if each is not preferred and each.requests
        )
        address = fleet.router.directory.endpoints[name].address
        assert other.requests[0].headers['kv-fetch'] == address

    run_with_fleet(steps)


async def fetch_page(port: int) -> Response:
    caller = Caller(*await asyncio.open_connection('127.0.0.1', port))
    caller.send('/v1/readiness')
    return await caller.receive()


def test_failed_attempt_is_logged_with_the_retry_budget() -> None:
    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', abort_at_once)
        with structlog.testing.capture_logs() as lines:
            response = await (await fleet.connect()).request('/l/1')
        assert response.status == 502
        first, last = (
            line for line in lines if line['event'] == 'attempt_failed'
        )
        assert (first['next'], last['next']) == ('again', 'final')
        assert (first['retries_waiting'], last['retries_sent']) == (1, 1)
        assert last['routers'] == 1
        assert first['fresh'] == 1
        assert first['retries_left'] > 1

    run_with_fleet(steps)


def test_lines_tell_what_an_account_got_and_when() -> None:
    """The account of an attempt was only on a line that may be dropped."""
    delay_ms = 100

    async def fail_late(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(delay_ms / 1000)
        writer.write(head_bytes(asked, 500, 'Content-Length: 0'))

    async def stream_late(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(delay_ms / 1000)
        await stream_events(asked, writer)

    async def steps(fleet: Fleet) -> None:
        engine = await fleet.add_engine('i-1', 'llm', fail_late)
        caller = await fleet.connect()
        row = 'Token-Counts: 600,50'
        with structlog.testing.capture_logs() as lines:
            assert (await caller.request('/s/1', row)).status == 500
            engine.handler = stream_late
            response = await caller.request('/s/1', row, request_id='r2')
            assert response.status == 200
        by_event = {line['event']: line for line in lines}
        failed = by_event['attempt_failed']
        answered = by_event['request_answered']
        served = by_event['request_served']
        assert failed['account'] == answered['account'] == 'acme'
        assert failed['tokens'] == answered['tokens'] == 700
        for line in (failed, answered, served):
            assert delay_ms <= line['took_ms'] <= answered['ms'] + served['ms']
        assert served['took_ms'] <= served['ms']
        assert served['objective_ms'] == answered['objective_ms'] > 0

    run_with_fleet(steps)


def test_resending_on_a_new_connection_is_logged() -> None:
    async def answer_then_close(asked: ReceivedRequest, writer: Writer) -> None:
        if asked.line.endswith('/l/1 HTTP/1.1'):
            await respond_ok(asked, writer)
        else:
            writer.transport.abort()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', answer_then_close)
        caller = await fleet.connect()
        assert (await caller.request('/l/1')).status == 200
        with structlog.testing.capture_logs() as lines:
            await caller.request('/l/2')
        resent = [line for line in lines if line['event'] == 'request_resent']
        assert [line['endpoint'] for line in resent] == ['i-1']

    run_with_fleet(steps)


def test_change_of_the_counted_routers_is_logged() -> None:
    async def steps(fleet: Fleet) -> None:
        row = {'host': 'h-2', 'data_centre': 'land', 'peers': '10.0.0.2:7'}
        await wait_until(lambda: fleet.router.fleet_size.count() == 1)
        with structlog.testing.capture_logs() as lines:
            fleet.store.put(f'{HOST_PREFIX}h-2', row)
            await wait_until(lambda: fleet.router.fleet_size.count() == 2)
        counted = [line for line in lines if line['event'] == 'routers_counted']
        assert [(line['before'], line['counted']) for line in counted] == [
            (1, 2)
        ]

    run_with_fleet(steps)


def test_attempts_that_never_ran_do_not_count_as_usage() -> None:
    """Accounts whose requests met dead engines seemed to get several shares."""

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', stream_events)
        fleet.engines['i-1'].crash()
        caller = await fleet.connect()
        answered = await caller.request('/s/1', 'Token-Counts: 900,80')
        assert answered.status == 503
        shares = fleet.router._loads.shares
        assert shares.asked('acme') > 0
        assert shares.used('acme') == pytest.approx(0, abs=1)

    run_with_fleet(steps)
