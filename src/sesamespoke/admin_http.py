"""Requests and replies of the administration API, and who may send them."""

import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.web import RequestHandler

from sesamespoke.settings import Operator, Settings

JSON_TYPE = 'application/json'
TEXT_TYPE = 'application/jsonc; charset=utf-8'

_BEARER = 'Bearer '

JSONValue = Any


@dataclass(frozen=True, slots=True)
class Caller:
    """An operators' team that has shown its token."""

    name: str
    sections: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """What a request asks: its caller, path arguments, query and body."""

    caller: Caller
    names: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """What is answered; ``content`` is JSON unless it is bytes."""

    status: int
    content: JSONValue
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)


Endpoint = Callable[[AdminRequest], Awaitable[Reply]]


def fail(status: int, code: str, text: str, **details: JSONValue) -> Reply:
    """Return a reply that tells why a request was not fulfilled."""
    error = {'code': code, 'message': text, **details}
    return Reply(status, {'error': error})


def find_caller(cfg: Settings, authorization: str) -> Caller | None:
    """Return the team whose bearer token is shown, in constant time."""
    token = authorization.removeprefix(_BEARER)
    digest = hashlib.sha256(token.encode()).hexdigest()
    found: Caller | None = None
    for name, operator in cfg.operators.items():
        if _matches(operator, digest) and authorization.startswith(_BEARER):
            found = Caller(name, operator.sections)
    return found


def _matches(operator: Operator, digest: str) -> bool:
    wanted = operator.token_sha256.encode()
    return hmac.compare_digest(wanted, digest.encode())


class ApiHandler(RequestHandler):
    """Answers the methods of one path by plain functions."""

    def initialize(
        self,
        cfg: Settings,
        methods: Mapping[str, Endpoint],
        is_open: bool,
    ) -> None:
        """Take the functions by method; an open path needs no token."""
        self._cfg = cfg
        self._methods = methods
        self._is_open = is_open

    async def get(self, *names: str) -> None:
        """Answer a GET."""
        await self._answer(names)

    async def put(self, *names: str) -> None:
        """Answer a PUT."""
        await self._answer(names)

    async def post(self, *names: str) -> None:
        """Answer a POST."""
        await self._answer(names)

    async def delete(self, *names: str) -> None:
        """Answer a DELETE."""
        await self._answer(names)

    def compute_etag(self) -> str | None:
        """Return the ETag that a function has set."""
        return self._headers.get('ETag')

    async def _answer(self, names: tuple[str, ...]) -> None:
        authorization = self.request.headers.get('Authorization', '')
        caller = find_caller(self._cfg, authorization)
        if caller is None and not self._is_open:
            self._write(fail(401, 'unknown_token', 'a known token is needed'))
            return
        function = self._methods.get(self.request.method or '')
        if function is None:
            allowed = ', '.join(self._methods)
            self._write(fail(405, 'method_not_allowed', f'only {allowed}'))
            return
        asker = caller or Caller('', ())
        self._write(await function(_read(self.request, asker, names)))

    def _write(self, reply: Reply) -> None:
        self.set_status(reply.status)
        self.set_header('Content-Type', reply.content_type)
        for name, text in reply.headers.items():
            self.set_header(name, text)
        if isinstance(reply.content, bytes):
            self.finish(reply.content)
        else:
            self.finish(json.dumps(reply.content))


def _read(
    req: HTTPServerRequest,
    caller: Caller,
    names: tuple[str, ...],
) -> AdminRequest:
    query = {
        name: found[-1].decode(errors='replace')
        for name, found in req.query_arguments.items()
    }
    return AdminRequest(caller, names, query, dict(req.headers), req.body)
