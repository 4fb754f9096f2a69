"""Stand-ins for the platform's store and engines, per their published docs."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.testing import bind_unused_port

from sesamespoke.settings import Address

Response = tuple[int, dict[str, Any]]


@dataclass
class Item:
    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass(frozen=True)
class StoreCopy:
    """What the store held when it was copied."""

    items: dict[str, 'Item']
    log: list[dict[str, Any]]
    revision: int
    leases: dict[int, set[str]]
    granted: int


@dataclass
class StoreStandIn:
    """The platform's key-value service, without its rate limits.

    ``refuse_with`` is a status to respond to every call with; ``silent``
    responds to none; ``drop_history`` responds to watches with 410. Lists
    omit keys that begin with ``hidden_prefix``, as a stale read does shortly
    after they were written. ``garbled`` replaces the body of every response.
    ``era`` is told in every response, unless it is None. The responses to
    calls whose path begins with ``held_path`` wait for ``held``.
    """

    items: dict[str, Item] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    leases: dict[int, set[str]] = field(default_factory=dict)
    refuse_with: int | None = None
    silent: bool = False
    drop_history: bool = False
    hidden_prefix: str | None = None
    garbled: dict[str, Any] | None = None
    granted: int = -1
    era: str | None = None
    held: asyncio.Event | None = None
    held_path: str = ''
    page_size: int = 500
    cut_watches: int = 0
    port: int = 0
    calls: list[str] = field(default_factory=list)
    queries: list[dict[str, str]] = field(default_factory=list)

    def start(self) -> Address:
        sock, self.port = bind_unused_port()
        self._changed = asyncio.Event()
        self._server = HTTPServer(self._handle_request)
        self._server.add_socket(sock)
        return Address('127.0.0.1', self.port)

    def stop(self) -> None:
        self._server.stop()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        return StoreCopy(
            dict(self.items),
            list(self.log),
            self.revision,
            {number: set(keys) for number, keys in self.leases.items()},
            self.granted,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, as another era; waiting watches are cut."""
        self.items = dict(copy.items)
        self.log = list(copy.log)
        self.revision = copy.revision
        self.leases = {
            number: set(keys) for number, keys in copy.leases.items()
        }
        self.granted = copy.granted
        self.era = str(int(self.era or 0) + 1)
        self.cut_watches += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, content: bytes | dict[str, Any]) -> None:
        raw = content if isinstance(content, bytes) else json.dumps(content)
        encoded = raw if isinstance(raw, bytes) else raw.encode()
        self.write(key, base64.b64encode(encoded).decode(), 0)

    def write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._record_event(self.describe_item(key))

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'removed': True}
            self._record_event(event)

    def describe_item(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            'key': key,
            'value': item.value,
            'revision': item.revision,
            'created': item.created,
            'lease': item.lease,
        }

    def _record_event(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle_request(self, request: HTTPServerRequest) -> None:
        asyncio.create_task(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        parts = urlsplit(request.uri or '')
        self.calls.append(f'{request.method} {parts.path}')
        if self.silent:
            return
        if self.refuse_with is not None:
            self.answer(request, self.refuse_with, {})
            return
        if self.garbled is not None:
            self.answer(request, 200, self.garbled)
            return
        query = {key: rows[0] for key, rows in parse_qs(parts.query).items()}
        self.queries.append(query)
        body = json.loads(request.body) if request.body else {}
        name = parts.path.removeprefix('/v1/').partition('/')[0]
        handle: Callable[..., Awaitable[Response]] = getattr(
            self, f'do_{name.replace("-", "_")}'
        )
        last = parts.path.rpartition('/')[2]
        status, content = await handle(query, body, last)
        era = self.era
        if self.held is not None and parts.path.startswith(self.held_path):
            await self.held.wait()
        send(request, status, content, era)

    def answer(
        self, request: HTTPServerRequest, status: int, content: dict[str, Any]
    ) -> None:
        send(request, status, content, self.era)

    async def do_kv_key(self, query: Any, body: Any, last: str) -> Response:
        key = query['key']
        if key not in self.items:
            return 404, {'as_of': self.revision}
        return 200, {**self.describe_item(key), 'as_of': self.revision}

    async def do_kv_range(self, query: Any, body: Any, last: str) -> Response:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix'])
            and key > query.get('after_revision', '')
            and not (self.hidden_prefix and key.startswith(self.hidden_prefix))
        )
        page = keys[: self.page_size]
        return 200, {
            'items': [self.describe_item(key) for key in page],
            'has_more': len(keys) > len(page),
            'as_of': self.revision,
        }

    async def do_kv_watch(self, query: Any, body: Any, last: str) -> Response:
        if self.drop_history:
            return 410, {}
        after, prefix = int(query['after_revision']), query['prefix']
        if after > self.revision:
            return 410, {}
        changed, cut = self._changed, self.cut_watches
        events = self._events(prefix, after)
        if not events:
            wait = int(query['wait_ms']) / 1000
            try:
                async with asyncio.timeout(wait):
                    while not events:
                        await changed.wait()
                        if cut != self.cut_watches:
                            return 503, {}
                        changed = self._changed
                        events = self._events(prefix, after)
            except TimeoutError:
                events = []
        return 200, {'events': events, 'as_of': self.revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.log
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def do_kv_txn(self, query: Any, body: Any, last: str) -> Response:
        for row in body['expected_revision']:
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [
                    self.describe_item(each['key'])
                    for each in body['expected_revision']
                    if each['key'] in self.items
                ]
                return 412, {'items': found}
        for row in body['puts']:
            lease = row.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.write(row['key'], row['value'], lease)
            self.leases.get(lease, set()).add(row['key'])
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}

    async def do_kv_lease(self, query: Any, body: Any, last: str) -> Response:
        self.granted += 1
        number = 7000 + self.granted
        self.leases[number] = set()
        return 200, {'lease': number, 'ttl_ms': body['ttl_ms']}

    async def do_kv_keep(self, query: Any, body: Any, last: str) -> Response:
        if int(last) not in self.leases:
            return 404, {}
        return 200, {'ttl_ms': 10_000}

    def expire_lease(self, number: int) -> None:
        for key in self.leases.pop(number, set()):
            self.remove(key)


def send(
    request: HTTPServerRequest,
    status: int,
    content: dict[str, Any],
    era: str | None = None,
) -> None:
    body = json.dumps(content).encode()
    headers = HTTPHeaders({'Content-Length': str(len(body))})
    if era is not None:
        headers['Store-Era'] = era
    conn = request.connection
    assert conn is not None
    conn.write_headers(ResponseStartLine('HTTP/1.1', status, ''), headers, body)
    conn.finish()


Writer = asyncio.StreamWriter


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as an engine received it."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers['request-attempt-id']


RequestHandler = Callable[[ReceivedRequest, Writer], Awaitable[None]]


@dataclass
class EngineStandIn:
    """An engine whose responses a test writes directly to the socket."""

    handler: RequestHandler
    requests: list[ReceivedRequest] = field(default_factory=list)
    _writers: set[Writer] = field(default_factory=set)

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def stop(self) -> None:
        self._server.close()

    def crash(self) -> None:
        """Reset every connection and refuse new ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: Writer
    ) -> None:
        while True:
            try:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            line, *rows = head.strip().split('\r\n')
            headers = {
                name.lower(): text.strip()
                for name, _, text in (row.partition(':') for row in rows)
            }
            body = await reader.readexactly(
                int(headers.get('content-length', 0))
            )
            request = ReceivedRequest(line, headers, body)
            self.requests.append(request)
            try:
                await self.handler(request, writer)
                await writer.drain()
            except ConnectionError:
                return
            if writer.is_closing():
                return


def head_bytes(
    request: ReceivedRequest, status: int = 200, *rows: str
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} X',
        f'Request-Attempt-Id: {request.request_id}',
        'Response-Seal: seal',
        *rows,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def full_response(
    request: ReceivedRequest, body: bytes = b'fine', status: int = 200
) -> bytes:
    return head_bytes(request, status, f'Content-Length: {len(body)}') + body


def event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


CHUNKED = 'Transfer-Encoding: chunked'
LAST_CHUNK = b'0\r\n\r\n'


async def respond_ok(request: ReceivedRequest, writer: Writer) -> None:
    writer.write(full_response(request))


async def stream_events(request: ReceivedRequest, writer: Writer) -> None:
    """Stream events 1 to 3, or those after ``Last-Event-Id`` on a resume."""
    after = int(request.headers.get('last-event-id', 0))
    writer.write(head_bytes(request, 200, CHUNKED))
    for number in range(after + 1, 4):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'stream',
            'host': 'a.example',
            'prefix': '/s/',
            'kind': 'streaming',
            'timeout_ms': 3000,
            'target_latency_ms': 500,
            'priority': 1,
            'service': 'llm',
            'max_attempts': 2,
            'public': False,
            'sticky_sessions': True,
            'resume_streams': True,
            'target_gap_ms': 600,
        },
        {
            'name': 'look',
            'host': 'a.example',
            'prefix': '/l/',
            'kind': 'idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 200,
            'service': 'desk',
            'max_attempts': 2,
            'public': True,
        },
        {
            'name': 'book',
            'host': 'a.example',
            'prefix': '/l/book/',
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 200,
            'service': 'desk',
            'max_attempts': 1,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'llm',
            'health_check_path': '/health',
            'max_connections': 370,
            'cold_per_s': 8.9,
            'engine': {
                'slots': 64,
                'kv_cache_tokens': 400_000,
                'kv_token_bytes': 18_432,
                'link_mbps': 740_000,
            },
        },
        {'name': 'desk', 'max_connections': 110, 'cold_per_s': 0.0},
    ],
    'limits': {'max_body_bytes': 100_000, 'idle_timeout_ms': 15_000},
    'tenants': [
        {'name': 'acme', 'api_keys': ['key-1', 'key-2'], 'priority': 1}
    ],
}


def server_entry(
    service: str, address: str, /, **changes: Any
) -> dict[str, Any]:
    return {
        'service': service,
        'address': address,
        'zone': 'north',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 4,
        'born': 17,
        **changes,
    }
