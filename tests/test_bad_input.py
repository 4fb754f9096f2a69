"""Tests with malformed input from callers, engines and operators."""

import copy
import json
import math
import random
import tempfile
import tomllib
from typing import Any
from unittest import mock

import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from support_platform import (
    CONFIG,
    ReceivedRequest,
    Writer,
    head_bytes,
    respond_ok,
    server_entry,
)
from support_routed import Fleet, run_with_fleet
from test_platform_decoding import SETTINGS

from sesamespoke.endpoint_connections import ConnectionPool
from sesamespoke.platform.feeds import read_endpoint
from sesamespoke.platform.operator_config import read_catalog
from sesamespoke.platform.settings import load_settings
from sesamespoke.serving.catalog import Catalog, choose_service
from sesamespoke.store import Entry

MANY_DIGITS = '9' * 5000
HUGE = '9' * 400
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from((-1, 0, 10**400, math.inf, math.nan, '', '3000'))
)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def spoil(fields: Any, rng: random.Random, value: object) -> Any:
    """Return a copy of JSON fields with a random one, at any depth, replaced."""
    spoiled = copy.deepcopy(fields)
    inner = spoiled
    while True:
        keys = list(inner) if isinstance(inner, dict) else range(len(inner))
        key = rng.choice(list(keys))
        deeper = inner[key]
        if not isinstance(deeper, dict | list) or not deeper:
            break
        if rng.random() < 0.2:
            break
        inner = deeper
    inner[key] = value
    return spoiled


@given(st.randoms(use_true_random=False), ANYTHING)
@settings(max_examples=400, deadline=None)
def test_any_configuration_is_refused_or_can_be_served(
    rng: random.Random, value: object
) -> None:
    catalog = read_catalog(json.dumps(spoil(CONFIG, rng, value)).encode())
    if isinstance(catalog, str):
        return
    assert isinstance(catalog, Catalog)
    assert 0 <= catalog.token_rate < math.inf
    assert catalog.limits.body_bytes > 0
    assert all(isinstance(key, str) and key for key in catalog.keys)
    for path in ('/s/1', '/l/1', '/l/book/1', '/'):
        route = catalog.find_route('a.example:80', path)
        if route is None:
            continue
        assert 0 < route.timeout < math.inf
        assert 0 < route.objective < math.inf
        assert 0 <= route.max_gap < math.inf
        assert route.max_attempts >= 1
        assert isinstance(choose_service(route, 'r1'), str)
    for service in catalog.services.values():
        assert 0 <= service.cold_rate < math.inf


@pytest.mark.parametrize('name', ['timeout_ms', 'target_latency_ms'])
def test_smallest_number_of_a_route_is_no_time_of_zero(name: str) -> None:
    """The number divided by 1,000 was 0, with which no request is served."""
    config = copy.deepcopy(CONFIG)
    config['routes'][0][name] = math.ulp(0)
    catalog = read_catalog(json.dumps(config).encode())
    assert isinstance(catalog, Catalog)
    route = catalog.find_route('a.example:80', '/s/1')
    assert route is not None
    assert min(route.timeout, route.objective) > 0


@given(st.randoms(use_true_random=False), ANYTHING)
@settings(max_examples=400, deadline=None)
def test_any_entry_of_an_engine_is_left_out_or_can_be_used(
    rng: random.Random, value: object
) -> None:
    fields = spoil(server_entry('llm', '127.0.0.1:80'), rng, value)
    entry = Entry('servers/i-1', json.dumps(fields).encode(), 3)
    listed = read_endpoint(entry, 7)
    if listed is not None:
        assert listed.slots >= 1
        assert 0 <= listed.cold_until < math.inf


@pytest.mark.parametrize(
    'address',
    [
        '10..0.1:80',
        '10.0.0.256:80',
        '10.0.0:80',
        '10.0.0.1:0',
        '10.0.0.1:70000',
        '10.0.0.1:\u0661',
        '10.0.0.1',
        'host:80',
    ],
)
def test_entry_with_an_address_that_cannot_be_connected_to_is_left_out(
    address: str,
) -> None:
    content = json.dumps(server_entry('llm', address)).encode()
    assert read_endpoint(Entry('servers/i-1', content, 3), 7) is None


def write_toml(value: Any) -> str:
    """Return a value in TOML's inline notation."""
    if isinstance(value, dict):
        rows = (
            f'{json.dumps(key)} = {write_toml(row)}'
            for key, row in value.items()
        )
        return '{' + ', '.join(rows) + '}'
    if isinstance(value, list):
        return '[' + ', '.join(map(write_toml, value)) + ']'
    if isinstance(value, float):
        return repr(value)
    return json.dumps(value, ensure_ascii=False)


@given(st.randoms(use_true_random=False), ANYTHING)
@settings(max_examples=400, deadline=None)
def test_any_settings_file_is_refused_or_can_be_served_by(
    rng: random.Random, value: object
) -> None:
    fields = spoil(tomllib.loads(SETTINGS), rng, value)
    rows = (
        f'{json.dumps(key)} = {write_toml(row)}' for key, row in fields.items()
    )
    with tempfile.NamedTemporaryFile(suffix='.toml') as file:
        file.write('\n'.join(rows).encode(errors='replace'))
        file.flush()
        cfg = load_settings(file.name)
    if isinstance(cfg, str):
        return
    serving = cfg.serving
    assert isinstance(serving.host, str) and serving.host
    assert 0 <= serving.retries.ratio < math.inf
    assert 0 < serving.retries.window < math.inf
    assert 0 <= serving.retries.slack < math.inf
    assert 0 < serving.stop.drain_delay < serving.stop.timeout < math.inf
    assert 0 < serving.feeds.endpoints
    assert serving.max_callers >= 1
    for address in (serving.callers, serving.ready, serving.peers, cfg.store):
        assert address.ip
        assert 0 < address.port < 65_536


@pytest.mark.parametrize('content', [b'', b'[]', b'\xff', b'[' * 100_000])
def test_content_that_is_not_an_object_is_rejected(content: bytes) -> None:
    assert read_endpoint(Entry('servers/i-1', content, 3), 7) is None
    assert isinstance(read_catalog(content), str)


@pytest.mark.parametrize(
    'row',
    [
        f'Deadline-Ms: {MANY_DIGITS}',
        f'Deadline-Ms: {HUGE}',
        'Deadline-Ms: -5',
        'Deadline-Ms: 1e3',
        f'Token-Counts: {MANY_DIGITS},5',
        f'Token-Counts: 5,{HUGE}',
        f'Token-Counts: {HUGE},{HUGE}',
        f'Length-Hint: {MANY_DIGITS}',
        f'Prompt-Prefix: a:{MANY_DIGITS},b:2',
        'Prompt-Prefix: ,,:,a:b',
        'Authorization: Bearer',
        'Last-Event-Id: \xe9\xff',
        'X-Long: ' + 'x' * 60_000,
    ],
)
def test_a_malformed_caller_header_does_not_fail_the_request(row: str) -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        with structlog.testing.capture_logs() as lines:
            response = await (await fleet.connect()).request(
                '/l/1', row, 'Token-Counts: 5,5'
            )
        assert response.status == 200
        assert response.is_complete
        assert 'call_failed' not in {line['event'] for line in lines}

    run_with_fleet(steps)


@pytest.mark.parametrize(
    'row',
    [
        f'Keep-Alive: timeout={MANY_DIGITS}',
        'Keep-Alive: timeout=\xb2',
        'Keep-Alive: timeout=',
        'Connection: ,close,',
        'Trailer: X',
    ],
)
def test_a_malformed_engine_header_does_not_fail_the_request(row: str) -> None:
    async def respond(request: ReceivedRequest, writer: Writer) -> None:
        length = 'Content-Length: 4'
        head = head_bytes(request, 200, length)
        writer.write(head[:-2] + row.encode('latin-1') + b'\r\n\r\nfine')

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond)
        with structlog.testing.capture_logs() as lines:
            response = await (await fleet.connect()).request('/l/1')
        assert response.status == 200
        assert response.body == b'fine'
        assert 'call_failed' not in {line['event'] for line in lines}

    run_with_fleet(steps)


@pytest.mark.parametrize(
    'content',
    [
        b'HTTP/1.1 99999999999 X\r\n\r\n',
        b'HTTP/1.1 200 X\r\nContent-Length: %b\r\n\r\n' % MANY_DIGITS.encode(),
        b'HTTP/1.1 200 X\r\nContent-Length: 5, 6\r\n\r\nhello',
        b'HTTP/1.1 200 X\r\nContent-Length: \xb2\r\n\r\nhello',
        b'HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\nhello',
        b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nx',
        b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'f' * 60
        + b'\r\n',
        b'HTTP/1.1 200 X\r\n: \r\n\r\n',
        b'\x00' * 70_000,
        b'HTTP/1.1 100 X\r\n\r\n' * 20,
        b'HTTP/1.1 200 X\r\nA: b\r\n folded\r\nContent-Length: 0\r\n\r\n',
    ],
)
def test_a_malformed_engine_response_becomes_a_server_error(
    content: bytes,
) -> None:
    async def respond(request: ReceivedRequest, writer: Writer) -> None:
        writer.write(content)
        await writer.drain()
        writer.close()

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond)
        with structlog.testing.capture_logs() as lines:
            response = await (await fleet.connect()).request('/l/book/1')
        assert response.status >= 500
        assert response.is_complete
        assert 'call_failed' not in {line['event'] for line in lines}
        await fleet.add_engine('i-2', 'desk', respond_ok)
        assert (await (await fleet.connect()).request('/l/1')).status == 200

    run_with_fleet(steps)


def test_a_malformed_entry_does_not_hide_the_others() -> None:
    async def steps(fleet: Fleet) -> None:
        bad = server_entry('desk', '127.0.0.1:9', slots=1)
        content = json.dumps(bad).replace('"slots": 1', '"slots": 1e999')
        with structlog.testing.capture_logs() as lines:
            fleet.store.put('servers/i-0', content.encode())
            await fleet.add_engine('i-1', 'desk', respond_ok)
            assert (await (await fleet.connect()).request('/l/1')).status == 200
        assert 'follower_failed' not in {line['event'] for line in lines}
        ignored = [ln for ln in lines if ln['event'] == 'entry_ignored']
        assert [line['key'] for line in ignored] == ['servers/i-0']

    run_with_fleet(steps)


@pytest.mark.parametrize('exc', [UnicodeError('bad host'), KeyError('x')])
def test_unexpected_exception_of_an_attempt_ends_in_an_answer(
    exc: Exception,
) -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', respond_ok)
        caller = await fleet.connect()
        with mock.patch.object(ConnectionPool, 'take', side_effect=exc):
            answered = await caller.request('/l/1')
        assert answered.status == 502
        assert answered.is_complete
        answered = await caller.request('/l/1', request_id='r2')
        assert answered.status == 200

    run_with_fleet(steps)
