"""A router's data path on loopback, with endpoints that follow scripts."""

import asyncio
import hashlib
import json
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Mapping,
)
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from sesamespoke.answers import Answer
from sesamespoke.callers import CallerParts, CallerServer
from sesamespoke.limits import SlotUse
from sesamespoke.links import Handler, Member, MessageT, View
from sesamespoke.messages import Message
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import Quarantine
from sesamespoke.settings import Address, Settings, StoreSettings
from sesamespoke.timeline import Timeline
from sesamespoke.verdicts import (
    DEADLINE_PASSED,
    IN_PROGRESS,
    OUTCOME_UNKNOWN,
    Refusal,
    Verdict,
)
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import (
    Account,
    CallRule,
    Capacity,
    Contract,
    DataCentre,
    Document,
    Endpoint,
    Limit,
    Pool,
    Revision,
    Service,
    ServiceKind,
)

KEY = 'key-of-piraeus'
LANGUAGE = 'fitting'
APPLICATION = 'booking'
ResultT = TypeVar('ResultT')


def run(coro: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a test's coroutine on a loop of its own."""
    return asyncio.run(coro)


@dataclass(frozen=True, slots=True)
class Received:
    """A request as an endpoint got it."""

    head: bytes
    body: bytes
    connection: int

    def header(self, name: str) -> str:
        """Return a header's text, empty if it is not there."""
        for line in self.head.decode().split('\r\n')[1:]:
            found, _, text = line.partition(': ')
            if found.lower() == name.lower():
                return text
        return ''


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class ScriptedEndpoint:
    """An endpoint that answers each request as its script says."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Received] = []
        self.gone = asyncio.Event()
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}'

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1')

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._connections += 1
        number = self._connections
        try:
            while not writer.is_closing():
                received = await read_request(reader, number)
                self.received.append(received)
                await self.script(received, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.gone.set()
        except asyncio.CancelledError:
            return
        finally:
            writer.close()


async def read_request(reader: asyncio.StreamReader, number: int) -> Received:
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.decode().split('\r\n'):
        if line.lower().startswith('content-length:'):
            length = int(line.partition(':')[2])
    return Received(head, await reader.readexactly(length), number)


def answer_bytes(
    received: Received,
    content: bytes,
    *rows: str,
    status: str = '200 OK',
    kind: str = 'application/json',
) -> bytes:
    """Return an answer that echoes the request id."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Content-Type: {kind}',
        f'Content-Length: {len(content)}',
        f'X-Request-Id: {received.header("X-Request-Id")}',
        *rows,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + content


def stream_head(received: Received) -> bytes:
    lines = [
        'HTTP/1.1 200 OK',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        f'X-Request-Id: {received.header("X-Request-Id")}',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


def dechunk(body: bytes) -> bytes:
    """Return the payload of a body that must be whole."""
    payload = b''
    while True:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        payload += rest[:length]
        assert rest[length : length + 2] == b'\r\n'
        body = rest[length + 2 :]
        if length == 0:
            assert not body
            return payload


def token_event(number: int, text: str) -> bytes:
    delta = {'choices': [{'index': 0, 'delta': {'content': text}}]}
    return f'id: {number}\ndata: {json.dumps(delta)}\n\n'.encode()


DONE_EVENT = b'data: [DONE]\n\n'

COMPLETION = json.dumps(
    {
        'id': 'chatcmpl-1',
        'object': 'chat.completion',
        'created': 0,
        'model': LANGUAGE,
        'choices': [
            {
                'index': 0,
                'finish_reason': 'stop',
                'message': {'role': 'assistant', 'content': 'rear facing'},
            },
        ],
        'usage': {
            'prompt_tokens': 7,
            'completion_tokens': 2,
            'total_tokens': 9,
        },
    },
).encode()


async def answer_well(
    received: Received,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer as a healthy engine or application does."""
    if b'"stream": true' not in received.body:
        writer.write(answer_bytes(received, COMPLETION))
        return
    writer.write(stream_head(received))
    for number, text in enumerate(('rear', ' facing')):
        writer.write(chunk(token_event(number, text)))
    writer.write(chunk(DONE_EVENT) + b'0\r\n\r\n')


class RoundRobinSlots:
    """Grants slots of a service's endpoints in turn."""

    def __init__(self) -> None:
        self.endings: list[tuple[str, SlotUse]] = []
        self.metered: list[Usage] = []
        self.refusal: Refusal | None = None
        self.held: set[int] = set()
        self._granted = 0

    async def acquire(self, work: Work) -> Slot | Refusal:
        if self.refusal is not None:
            return self.refusal
        if asyncio.get_running_loop().time() >= work.deadline:
            return Refusal(DEADLINE_PASSED, Verdict.NOT_RUN)
        names = sorted(work.service.endpoints)
        name = names[self._granted % len(names)]
        self._granted += 1
        self.held.add(self._granted)
        return Slot(
            self._granted,
            f'{work.service_name}/peiraias/0',
            1,
            work.account,
            name,
        )

    def meter(self, slot: Slot, usage: Usage) -> None:
        assert slot.number in self.held
        self.metered.append(usage)

    def release(self, slot: Slot, ending: SlotUse) -> None:
        self.held.remove(slot.number)
        self.endings.append((slot.endpoint_name, ending))


@dataclass
class MemoryClaim:
    """A claim that is kept in this process."""

    answer: Answer | None = None
    verdict: Verdict | None = None
    lapsed: bool = False

    def may_send(self, now: float) -> bool:
        return not self.lapsed

    def settle(self, answer: Answer | None, verdict: Verdict) -> None:
        self.answer = answer
        self.verdict = verdict


@dataclass
class MemoryClaims:
    """Claims that are kept in this process."""

    kept: dict[tuple[str, str], MemoryClaim] = field(default_factory=dict)
    lapsing: bool = False

    async def claim(
        self,
        work: Work,
        key: str,
    ) -> MemoryClaim | Answer | Refusal:
        found = self.kept.get((work.account, key))
        if found is None or found.verdict is Verdict.NOT_RUN:
            claim = MemoryClaim(lapsed=self.lapsing)
            self.kept[work.account, key] = claim
            return claim
        if found.verdict is None:
            return Refusal(IN_PROGRESS, Verdict.MAY_HAVE_RUN)
        if found.answer is None or found.verdict is not Verdict.RAN:
            return Refusal(OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)
        return found.answer


CONTRACT = Contract(
    calls=(
        CallRule('POST', '/booking/deposits', idempotent=False),
        CallRule('PUT', '/booking', idempotent=True),
    ),
    not_run_statuses=(503,),
    echoes_request_id=True,
    resumable=True,
)


def make_document(
    endpoints: Mapping[str, str],
    contract: Contract = CONTRACT,
    deadline: float = 10,
) -> Document:
    """Return a document whose services share the given endpoints."""
    backends = {
        name: Endpoint(url, 'peiraias') for name, url in endpoints.items()
    }
    language = Service(
        ServiceKind.LANGUAGE,
        'pool',
        Limit(1, 8),
        backends,
        contract=contract,
        deadline_seconds=deadline,
        max_body_bytes=4096,
    )
    application = replace(
        language,
        kind=ServiceKind.APPLICATION,
        path='/booking',
    )
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return Document(
        Capacity({'pool': Pool(1, 1, 1)}, retry_ratio=0.1),
        {'piraeus': Account(1, (digest,))},
        {'peiraias': DataCentre('attiki')},
        {LANGUAGE: language, APPLICATION: application},
    )


SETTINGS = Settings(
    host='host-1',
    data_centre='peiraias',
    callers=Address('127.0.0.1', 0),
    admin=Address('127.0.0.1', 0),
    peers=Address('127.0.0.1', 0),
    store=StoreSettings(('http://127.0.0.1:1',)),
)


class LoneLinks:
    """Links of a host that has no peers."""

    host = 'host-1'
    data_centre = 'peiraias'
    view = View(1, (Member('host-1', 'peiraias', 1),))

    def send(self, host: str, message: Message) -> bool:
        return False

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Handler[MessageT],
    ) -> None:
        """No message comes."""

    def on_view(self, handler: Callable[[View], None]) -> None:
        """The view does not change."""

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """There are no paths."""


@dataclass
class Path:
    """One callers' server, its endpoints and what it is made of."""

    server: CallerServer
    parts: CallerParts
    slots: RoundRobinSlots
    claims: MemoryClaims
    endpoints: list[ScriptedEndpoint]
    revision: Revision | None
    ready: bool = True

    @property
    def received(self) -> list[Received]:
        """Return every request that an endpoint got."""
        return [got for end in self.endpoints for got in end.received]


@asynccontextmanager
async def open_path(
    *scripts: Script,
    contract: Contract = CONTRACT,
    deadline: float = 10,
    dead: int = 0,
    quarantines: bool = False,
) -> AsyncIterator[Path]:
    """Serve callers with one endpoint per script, and dead ones first."""
    async with AsyncExitStack() as stack:
        endpoints = [ScriptedEndpoint(script) for script in scripts]
        urls = {f'a{number}': 'http://127.0.0.1:9' for number in range(dead)}
        for number, endpoint in enumerate(endpoints):
            await endpoint.open()
            stack.push_async_callback(endpoint.close)
            urls[f'e{number}'] = endpoint.url
        slots = RoundRobinSlots()
        claims = MemoryClaims()
        document = make_document(urls, contract, deadline)
        metrics = Metrics('host-1')
        stack.callback(metrics.close)
        timeline = Timeline('host-1', 'peiraias')
        quarantine = Quarantine(LoneLinks(), metrics, timeline)
        holder: list[Path] = []
        parts = CallerParts(
            lambda: holder[0].revision,
            slots,
            claims,
            metrics,
            timeline,
            quarantine if quarantines else None,
            ready=lambda: holder[0].ready,
        )
        server = CallerServer(SETTINGS, parts)
        holder.append(
            Path(
                server,
                parts,
                slots,
                claims,
                endpoints,
                Revision(1, document),
            )
        )
        server.listen()
        stack.push_async_callback(server.close)
        yield holder[0]


def request_bytes(
    method: str,
    target: str,
    body: bytes = b'',
    **headers: str,
) -> bytes:
    """Return a request that closes its connection after the answer."""
    rows = {
        'Host': 'router',
        'Authorization': f'Bearer {KEY}',
        'Connection': 'close',
        'Content-Length': str(len(body)),
    }
    rows.update(
        {name.replace('_', '-'): text for name, text in headers.items()}
    )
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in rows.items() if text)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def chat_bytes(*, stream: bool = False, **headers: str) -> bytes:
    asked = {
        'model': LANGUAGE,
        'messages': [{'role': 'user', 'content': 'which way?'}],
        'stream': stream,
    }
    return request_bytes(
        'POST',
        '/v1/chat/completions',
        json.dumps(asked).encode(),
        **headers,
    )


def deposit_bytes(key: str = 'k1') -> bytes:
    return request_bytes(
        'POST',
        '/booking/deposits?desk=7',
        b'{"euro": 50}',
        Idempotency_Key=key,
    )


async def ask(path: Path, request: bytes) -> bytes:
    """Send one request and return every byte of the answer."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1',
        path.server.port,
    )
    writer.write(request)
    try:
        return await reader.read()
    finally:
        writer.close()


@dataclass(frozen=True, slots=True)
class Told:
    """An answer as a caller reads it."""

    status: int
    head: str
    body: bytes

    @property
    def verdict(self) -> str:
        return self.header('X-Sesamespoke-Verdict')

    def header(self, name: str) -> str:
        for line in self.head.split('\r\n'):
            found, _, text = line.partition(': ')
            if found.lower() == name.lower():
                return text
        return ''

    @property
    def error(self) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(self.body)['error']
        return found


def parse_answer(raw: bytes) -> Told:
    head, _, body = raw.partition(b'\r\n\r\n')
    text = head.decode()
    return Told(int(text.split(' ')[1]), text, body)


async def ask_told(path: Path, request: bytes) -> Told:
    return parse_answer(await ask(path, request))
