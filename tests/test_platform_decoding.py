"""Tests of decoding the platform's settings, entries and headers."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support_platform import CONFIG, server_entry
from tornado.httputil import HTTPHeaders

from sesamespoke.intake import Call
from sesamespoke.platform.feeds import read_endpoint
from sesamespoke.platform.headers import read_head
from sesamespoke.platform.operator_config import read_catalog
from sesamespoke.platform.settings import load_settings
from sesamespoke.serving.catalog import CallKind, Catalog, choose_service
from sesamespoke.serving.intake import accept
from sesamespoke.serving.job import Job
from sesamespoke.settings import Address
from sesamespoke.store import Entry
from sesamespoke.verdicts import (
    NOT_READY,
    UNKNOWN_KEY,
    UNKNOWN_SERVICE,
    Refusal,
)

SETTINGS = """
node_name = "frontend-north-1"
zone = "north"
region = "land"
ip_address = "10.1.0.33"
internal_port_range = [7400, 7415]
unknown_field = 3
[listen_addresses]
frontend = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[bounds]
grace_period_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
[platform]
address = "10.9.0.7:8781"
"""


def test_settings_bound_the_list_interval_and_the_number_of_callers(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.toml'
    bounds = SETTINGS.replace(
        'grace_period_s = 8', 'grace_period_s = 8\ndrain_timeout_ms = 3000'
    )
    path.write_text(f'{bounds}[limits]\nfile_descriptors = 4100\n')
    cfg = load_settings(str(path))
    assert not isinstance(cfg, str)
    assert 2 * cfg.serving.feeds.endpoints < 3
    assert 1000 < cfg.serving.max_callers < 4100 - 200


def test_settings_are_read_and_unknown_fields_ignored(tmp_path: Path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    cfg = load_settings(str(path))
    assert not isinstance(cfg, str)
    assert cfg.store == Address('10.9.0.7', 8781)
    assert cfg.serving.callers == Address('10.1.0.33', 8783)
    assert cfg.serving.retries.slack == 58
    assert cfg.serving.stop.timeout < 8


@pytest.mark.parametrize('text', ['', 'node_name = 3', '[[', 'zone = "x"'])
def test_malformed_settings_are_reported_and_never_raise(
    tmp_path: Path, text: str
) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    assert isinstance(load_settings(str(path)), str)
    assert isinstance(load_settings(str(tmp_path / 'none')), str)


def test_an_engine_entry_is_decoded() -> None:
    content = server_entry('llm', '10.0.0.1:80', cold_remaining_ms=1500)
    entry = Entry('servers/i-1', json.dumps(content).encode(), 3)
    endpoint = read_endpoint(entry, 100)
    assert endpoint is not None
    assert endpoint.name == 'i-1'
    assert endpoint.cold_until == 101.5
    assert endpoint.url == 'http://10.0.0.1:80'
    assert not endpoint.leaving


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 5},
        {'address': 'here'},
        {'address': '10.0.0.1:99999'},
        {'zone': None},
        {'state': 'asleep'},
        {'state': ['ready']},
        {'slots': 'six'},
        {'slots': True},
        {'cold_remaining_ms': 'x'},
        {'born': None},
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(
    changes: dict[str, Any],
) -> None:
    content = server_entry('llm', '10.0.0.1:80', **changes)
    entry = Entry('servers/i-1', json.dumps(content).encode(), 3)
    assert read_endpoint(entry, 100) is None


@given(st.binary(max_size=200))
def test_bytes_that_can_not_be_read_are_no_entry(content: bytes) -> None:
    assert read_endpoint(Entry('servers/i', content, 1), 0) is None
    assert isinstance(read_catalog(content), str)


def make_catalog(**changes: Any) -> Catalog:
    catalog = read_catalog(json.dumps({**CONFIG, **changes}).encode())
    assert isinstance(catalog, Catalog)
    return catalog


def make_call(path: str, **headers: str) -> Call:
    rows = {name.replace('_', '-'): text for name, text in headers.items()}
    return Call('x', 'POST', path, HTTPHeaders(rows), b'body', 50)


def accept_call(catalog: Catalog | None, call: Call) -> Job | Refusal:
    return accept(catalog, call, read_head(call))


def test_the_longest_prefix_selects_the_route() -> None:
    catalog = make_catalog()
    route = catalog.find_route('A.example:80', '/l/book/1')
    assert route is not None
    assert route.name == 'book'
    assert route.kind is CallKind.ONCE
    assert catalog.find_route('a.example', '/l') is None
    assert catalog.find_route('b.example', '/l/') is None


def test_a_job_carries_the_headers_for_the_engine() -> None:
    call = make_call(
        '/s/1?q=2',
        Host='a.example',
        Authorization='Bearer key-2',
        Request_Attempt_Id='r1',
        Deadline_Ms='2000',
        Model='m',
        Token_Counts='1460,80',
        Prompt_Prefix='5c:800,91:410,e4:250',
        Length_Hint='33',
        Tenant='somebody-else',
        Hold='h',
        Pin_Ms='9',
        Kv_From='1.1.1.1:1/2',
        Connection='keep-alive, X-Hop',
        X_Hop='1',
    )
    job = accept_call(make_catalog(), call)
    assert isinstance(job, Job)
    names = {name.lower() for name, _ in job.headers}
    assert names == {
        'host',
        'request-attempt-id',
        'model',
        'token-counts',
        'prompt-prefix',
        'length-hint',
    }
    assert job.account == 'acme'
    assert job.deadline == 52
    assert job.prompt.prefix_id == '91'
    assert job.prompt.input_tokens == 1460
    assert job.target == '/s/1?q=2'


def test_a_caller_deadline_is_capped_by_the_route_timeout() -> None:
    call = make_call('/l/1', Host='a.example', Deadline_Ms='60000')
    job = accept_call(make_catalog(), call)
    assert isinstance(job, Job)
    assert job.deadline == 51.5


@pytest.mark.parametrize(
    ('path', 'key', 'reason'),
    [
        ('/s/1', 'Bearer nobody', UNKNOWN_KEY),
        ('/s/1', 'Basic key-1', UNKNOWN_KEY),
        ('/s/1', '', UNKNOWN_KEY),
        ('/none/', 'Bearer key-1', UNKNOWN_SERVICE),
    ],
)
def test_an_unknown_key_or_service_is_rejected(
    path: str, key: str, reason: object
) -> None:
    call = make_call(path, Host='a.example', Authorization=key)
    refusal = accept_call(make_catalog(), call)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is reason


def test_a_router_without_a_configuration_rejects_with_retry_after() -> None:
    refusal = accept_call(None, make_call('/s/1', Host='a.example'))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is NOT_READY
    assert refusal.retry_after is not None


def test_a_request_on_a_public_route_has_no_account() -> None:
    call = make_call('/l/1', Host='a.example', Authorization='Bearer key-1')
    job = accept_call(make_catalog(), call)
    assert isinstance(job, Job)
    assert job.account == ''


def test_a_traffic_split_follows_weights_and_is_stable_per_request() -> None:
    row = dict(CONFIG['routes'][0])
    del row['service']
    row['traffic_split'] = [
        {'service': 'llm', 'weight': 90},
        {'service': 'new', 'weight': 10},
    ]
    route = make_catalog(routes=[row]).find_route('a.example', '/s/')
    assert route is not None
    chosen = [choose_service(route, f'r{number}') for number in range(2000)]
    assert 0.07 < chosen.count('new') / 2000 < 0.13
    assert choose_service(route, 'r1') == chosen[1]
