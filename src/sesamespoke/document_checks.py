"""Checks between the sections of a document, and within them."""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from sesamespoke import json_lines, jsonc
from sesamespoke.problems import Problem, shorten, show_value
from sesamespoke.world import Document, Service, ServiceKind

METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))
DIGEST_LENGTH = 64
LEAST_STATUS = 400
MOST_STATUS = 599

# A finding: the steps to the value, what was found and what is allowed.
Finding = tuple[tuple[str | int, ...], object, str]


def check_references(
    document: Document,
    sections: Mapping[str, str],
) -> Iterator[Problem]:
    """Yield what is wrong with a document whose sections are well formed."""
    for section, check in _CHECKS:
        findings = list(check(document))
        if findings:
            yield from _locate(section, sections[section], findings)


def _locate(
    section: str,
    text: str,
    findings: Iterable[Finding],
) -> Iterator[Problem]:
    lines = json_lines.LineMap(jsonc.blank_comments(text))
    for steps, found, allowed in findings:
        yield Problem(
            section,
            json_lines.format_pointer(steps),
            lines.find(steps),
            show_value(found),
            allowed,
        )


def _check_api_keys(document: Document) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, account in document.accounts.items():
        for index, digest in enumerate(account.api_key_sha256):
            steps = (name, 'api_key_sha256', index)
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield steps, digest, f'a digest that {owner!r} does not have'
            if not _is_digest(digest):
                yield steps, digest, '64 hexadecimal digits in lower case'


def _is_digest(digest: str) -> bool:
    return len(digest) == DIGEST_LENGTH and not digest.strip('0123456789abcdef')


def _check_data_centres(document: Document) -> Iterator[Finding]:
    if not document.data_centres:
        yield (), {}, 'at least one data centre'


def _check_pools(document: Document) -> Iterator[Finding]:
    for name, pool in document.capacity.pools.items():
        if not (pool.input_token or pool.output_token or pool.second):
            yield ('pools', name), 0, 'at least one weight above 0'


def _check_services(document: Document) -> Iterator[Finding]:
    for name, service in document.services.items():
        for steps, found, allowed in _check_service(document, service):
            yield (name, *steps), found, allowed
    yield from _check_paths(document.services)


def _check_service(document: Document, service: Service) -> Iterator[Finding]:
    pools = document.capacity.pools
    if service.pool not in pools:
        yield ('pool',), service.pool, _one_of(pools)
    if service.limit.cold > service.limit.warm:
        allowed = 'at most the limit when warm'
        yield ('limit', 'cold'), service.limit.cold, allowed
    for name, endpoint in service.endpoints.items():
        if endpoint.data_centre not in document.data_centres:
            steps = ('endpoints', name, 'data_centre')
            allowed = _one_of(document.data_centres)
            yield steps, endpoint.data_centre, allowed
    yield from _check_contract(service)


def _check_contract(service: Service) -> Iterator[Finding]:
    for index, rule in enumerate(service.contract.calls):
        steps = ('contract', 'calls', index)
        if rule.method not in METHODS:
            yield (*steps, 'method'), rule.method, _one_of(METHODS)
        if not rule.path.startswith('/'):
            yield (*steps, 'path'), rule.path, 'a path that begins with /'
    for position, status in enumerate(service.contract.not_run_statuses):
        if not LEAST_STATUS <= status <= MOST_STATUS:
            steps = ('contract', 'not_run_statuses', position)
            yield steps, status, 'a status from 400 to 599'


def _check_paths(services: Mapping[str, Service]) -> Iterator[Finding]:
    """Find application services that could answer for one another."""
    owners = {
        service.path.rstrip('/'): name
        for name, service in services.items()
        if service.kind is ServiceKind.LANGUAGE
    }
    for name, service in services.items():
        if service.kind is ServiceKind.LANGUAGE:
            continue
        path = service.path.rstrip('/')
        owner = owners.setdefault(path, name)
        if owner != name:
            yield (name, 'path'), path, f'a path that {owner!r} does not have'


def _check_urls(document: Document) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, service in document.services.items():
        for endpoint_name, endpoint in service.endpoints.items():
            owner = owners.setdefault(endpoint.url, endpoint_name)
            if owner != endpoint_name:
                steps = (name, 'endpoints', endpoint_name, 'url')
                allowed = f'a URL that {owner!r} does not have'
                yield steps, endpoint.url, allowed


def _one_of(names: Iterable[str]) -> str:
    listed = ', '.join(sorted(names))
    return shorten(f'one of {listed}')


Check = Callable[[Document], Iterator[Finding]]

_CHECKS: Sequence[tuple[str, Check]] = (
    ('capacity', _check_pools),
    ('accounts', _check_api_keys),
    ('data_centres', _check_data_centres),
    ('services', _check_services),
    ('services', _check_urls),
)
