"""What a caller asks for: account, service and call, checked."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, replace

from tornado.httputil import HTTPHeaders

from sesamespoke.answers import end_to_end
from sesamespoke.chat_prompts import hint_of, prefix_of, shared_parts_of
from sesamespoke.verdicts import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    KEY_REQUIRED,
    METHOD_NOT_ALLOWED,
    UNKNOWN_KEY,
    UNKNOWN_SERVICE,
    Reason,
    Refusal,
    Verdict,
)
from sesamespoke.work import REQUEST_ID_HEADER, Work
from sesamespoke.world import (
    CallRule,
    Document,
    Revision,
    Service,
    ServiceKind,
)

SAFE_METHODS = frozenset(('GET', 'HEAD'))
MODELS_PATH = '/v1/models'
DIGEST_BYTES = 16
DROPPED_HEADERS = frozenset(
    (
        'authorization',
        'content-length',
        'expect',
        'host',
        REQUEST_ID_HEADER.lower(),
    ),
)


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request of a caller, as it was read."""

    request_id: str
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class Accepted:
    """Work to be done, with the idempotency key where one is needed."""

    work: Work
    key: str | None


@dataclass(frozen=True, slots=True)
class Routes:
    """Accounts by key digest and services by path, of one revision."""

    document: Document
    accounts: Mapping[str, str]
    language_paths: frozenset[str]
    applications: tuple[tuple[str, str], ...]
    max_body_bytes: int


class RouteTable:
    """The routes of the latest revision."""

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: Routes | None = None

    def current(self, revision: Revision | None) -> Routes | None:
        """Return the routes of a revision, built when it is new."""
        if revision is None:
            return None
        routes = self._routes
        if routes is None or routes.document is not revision.document:
            routes = build_routes(revision)
            self._routes = routes
        return routes


def refuse(reason: Reason, detail: str = '') -> Refusal:
    """Return a refusal of a request that was never sent."""
    return Refusal(reason, Verdict.NOT_RUN, detail)


def build_routes(revision: Revision) -> Routes:
    """Index a document; application paths come longest first."""
    document = revision.document
    applications = [
        (service.path.rstrip('/'), name)
        for name, service in document.services.items()
        if service.kind is ServiceKind.APPLICATION
    ]
    applications.sort(key=lambda row: len(row[0]), reverse=True)
    return Routes(
        document,
        {
            digest.lower(): name
            for name, account in document.accounts.items()
            for digest in account.api_key_sha256
        },
        frozenset(
            service.path
            for service in document.services.values()
            if service.kind is ServiceKind.LANGUAGE
        ),
        tuple(applications),
        max(
            (service.max_body_bytes for service in document.services.values()),
            default=0,
        ),
    )


def find_account(routes: Routes, headers: HTTPHeaders) -> str | Refusal:
    """Return the account whose key the caller gives."""
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    account = routes.accounts.get(digest)
    if scheme.lower() != 'bearer' or account is None:
        return refuse(UNKNOWN_KEY)
    return account


def list_models(routes: Routes) -> dict[str, object]:
    """Return the list of models of the chat-completions protocol."""
    names = [
        name
        for name, service in routes.document.services.items()
        if service.kind is ServiceKind.LANGUAGE
    ]
    return {
        'object': 'list',
        'data': [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'sesamespoke',
            }
            for name in sorted(names)
        ],
    }


def accept(routes: Routes, account: str, call: Call) -> Accepted | Refusal:
    """Return the work that a call asks for, or why it is refused."""
    if call.path in routes.language_paths:
        return _accept_language(routes, account, call)
    name = find_application(routes, call.path)
    if name is None:
        return refuse(UNKNOWN_SERVICE)
    return _accept_application(routes, account, call, name)


def find_application(routes: Routes, path: str) -> str | None:
    """Return the application service with the longest matching path."""
    for prefix, name in routes.applications:
        if path == prefix or path.startswith(f'{prefix}/'):
            return name
    return None


def _accept_language(
    routes: Routes,
    account: str,
    call: Call,
) -> Accepted | Refusal:
    if call.method != 'POST':
        return refuse(METHOD_NOT_ALLOWED)
    try:
        asked = json.loads(call.body)
    except ValueError:
        return refuse(BAD_REQUEST, 'the body is not JSON')
    if not isinstance(asked, dict) or not isinstance(asked.get('model'), str):
        return refuse(BAD_REQUEST, 'the body names no model')
    name = asked['model']
    service = routes.document.services.get(name)
    if service is None or service.path != call.path:
        return refuse(UNKNOWN_SERVICE, f'there is no model {name!r}')
    if len(call.body) > service.max_body_bytes:
        return refuse(BODY_TOO_LARGE)
    work = replace(
        _make_work(call, account, name, service),
        prefix=prefix_of(asked),
        shared_parts=shared_parts_of(asked),
        hint=hint_of(asked),
        streaming=asked.get('stream') is True,
    )
    return Accepted(work, None)


def _accept_application(
    routes: Routes,
    account: str,
    call: Call,
    name: str,
) -> Accepted | Refusal:
    service = routes.document.services[name]
    if len(call.body) > service.max_body_bytes:
        return refuse(BODY_TOO_LARGE)
    rule = find_rule(service, call)
    work = replace(
        _make_work(call, account, name, service),
        idempotent=rule.idempotent,
    )
    if rule.idempotent:
        return Accepted(work, None)
    key = call.headers.get(rule.key_header)
    if not key:
        return refuse(KEY_REQUIRED, f'the call needs {rule.key_header}')
    return Accepted(work, key)


def find_rule(service: Service, call: Call) -> CallRule:
    """Return the contract's rule with the longest path that matches."""
    matching = [
        rule
        for rule in service.contract.calls
        if rule.method.upper() == call.method
        and call.path.startswith(rule.path)
    ]
    unlisted = CallRule(
        call.method,
        '/',
        idempotent=call.method in SAFE_METHODS,
    )
    return max(matching, key=lambda rule: len(rule.path), default=unlisted)


def _make_work(
    call: Call,
    account: str,
    name: str,
    service: Service,
) -> Work:
    rows = {
        header: text
        for header, text in end_to_end(call.headers)
        if header.lower() not in DROPPED_HEADERS
    }
    hashed = hashlib.blake2b(
        f'{call.method} {call.target}\n'.encode(),
        digest_size=DIGEST_BYTES,
    )
    hashed.update(call.body)
    return Work(
        call.request_id,
        account,
        name,
        service,
        call.method,
        call.target,
        rows,
        call.body,
        call.arrived_at + service.deadline_seconds,
        hashed.digest(),
    )
