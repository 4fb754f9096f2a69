"""Stand-ins for the platform, the engines and the clients, on loopback.

They use only the standard library. One script runs them all in one process,
beside the router processes that it starts with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
STORE_PORT = 8781
ENGINE_PORT = 8080
FRONT_PORT = 8783
READY_PORT = 8780
PEER_PORT = 7400

Headers = dict[str, str]


def trouble() -> bool:
    """Return whether the script is to cause the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, what: str, **facts: object) -> None:
        text = ' '.join(f'{name}={fact}' for name, fact in facts.items())
        self._file.write(f'{self.now():8.3f} {what} {text}\n')
        self._file.flush()


def free_net() -> str:
    """Return the first three numbers of unused loopback addresses."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        with contextlib.ExitStack() as stack:
            try:
                for last, port in ((1, STORE_PORT), (11, FRONT_PORT)):
                    sock = stack.enter_context(socket.socket())
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((f'{net}.{last}', port))
            except OSError:
                continue
            return net
    raise RuntimeError('no free loopback addresses')


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        line, *rows = head.decode('latin-1').strip().split('\r\n')
        pairs = (row.partition(':') for row in rows)
        headers = {name.lower(): text.strip() for name, _, text in pairs}
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return line, headers, body


class Store:
    """The platform's store, by the pages, without its rate limits."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self.record = record
        self.items: dict[str, dict[str, object]] = {}
        self.log: list[dict[str, object]] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.era: int | None = None
        self.waits: dict[str, float] = {}
        """Seconds of the newest watch at each of its addresses."""
        self.silent: set[asyncio.StreamWriter] = set()
        self.is_away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._numbers = itertools.count(7000)
        self._changed = asyncio.Event()

    async def start(self, *others: str) -> None:
        """Listen at its address, and at others that lead to it as well."""
        for address in (self.address, *others):
            ip, _, port = address.partition(':')
            await asyncio.start_server(self._serve, ip, int(port))
        asyncio.create_task(self._end_leases())

    def silence(self) -> None:
        """Let all open connections say nothing more; new ones work."""
        self.silent |= self._writers

    def copy(self) -> tuple[dict, list, int]:
        """Return a copy of what it holds."""
        return dict(self.items), list(self.log), self.revision

    async def go_away(self, seconds: float, copy: tuple[dict, list, int]) -> None:
        """Reset every call for some seconds; come back from a copy."""
        self.is_away = True
        self.record.write('store_away')
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        items, log, self.revision = copy
        self.items, self.log = dict(items), list(log)
        self.leases = {}
        for key in [k for k, i in self.items.items() if i['lease']]:
            del self.items[key]
        self.era = None if self.era is None else self.era + 1
        self.is_away = False
        self.record.write('store_back', era=self.era, revision=self.revision)

    def put(self, key: str, entry: object, lease: int = 0) -> None:
        self._put(key, base64.b64encode(json.dumps(entry).encode()).decode(), lease)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({'key': key, 'revision': self.revision, 'removed': True})

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': lease,
        }
        self._tell(self.items[key])

    def _tell(self, event: dict[str, object]) -> None:
        self.log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (_, at) in self.leases.items() if at < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        while (message := await read_message(reader)) is not None:
            if self.is_away:
                writer.transport.abort()
                break
            line, _, body = message
            method, target, _ = line.split()
            if '/kv-watch' in target:
                ip = writer.get_extra_info('sockname')[0]
                query = parse_qs(urlsplit(target).query)
                self.waits[ip] = int(query['wait_ms'][0]) / 1000
            status, content = await self._call(method, target, body)
            if writer in self.silent:
                continue
            if self.is_away:
                break
            era = '' if self.era is None else f'Store-Era: {self.era}\r\n'
            text = json.dumps(content).encode()
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}'
                f'Content-Length: {len(text)}\r\n\r\n'.encode() + text
            )
            with contextlib.suppress(OSError):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _call(
        self, method: str, target: str, raw: bytes
    ) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = json.loads(raw) if raw else {}
        name, _, last = parts.path.removeprefix('/v1/').partition('/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'as_of': self.revision}
            return 200, {**item, 'as_of': self.revision}
        if name == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after_revision', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'as_of': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._transact(body)
        if name == 'kv-lease':
            number, ttl = next(self._numbers), body['ttl_ms'] / 1000
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {'lease': number, 'ttl_ms': body['ttl_ms']}
        if name == 'kv-keep' and int(last) in self.leases:
            ttl, _ = self.leases[int(last)]
            self.leases[int(last)] = (ttl, time.monotonic() + ttl)
            return 200, {'ttl_ms': round(ttl * 1000)}
        if name == 'kv-lease-end' and int(last) in self.leases:
            self._end_lease(int(last))
            return 200, {}
        return 404, {}

    async def _watch(self, query: Headers) -> tuple[int, dict[str, object]]:
        after, prefix = int(query['after_revision']), query['prefix']
        if after > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.log
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        for row in body['expected_revision']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = (each['key'] for each in body['expected_revision'])
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found}
        for row in body['puts']:
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in body['puts']:
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Arrival:
    """One request at an engine, and the connection that it came on."""

    def __init__(
        self, line: str, headers: Headers, writer: asyncio.StreamWriter
    ) -> None:
        self.method, self.target, _ = line.split()
        self.headers = headers
        self.writer = writer
        self.id = headers.get('request-attempt-id', '')
        self.began = False

    def parts(self) -> list[str]:
        rows = self.headers.get('prompt-prefix', '').split(',')
        return [row.partition(':')[0] for row in rows if row]

    def send(self, content: bytes) -> None:
        if self.writer.transport.is_closing():
            raise ConnectionResetError
        self.writer.write(content)

    def head(self, status: int, *rows: str, body: bytes | None = b'') -> None:
        lines = [f'HTTP/1.1 {status} X', f'Request-Attempt-Id: {self.id}', *rows]
        if body is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {len(body)}')
        self.send('\r\n'.join(lines).encode() + b'\r\n\r\n' + (body or b''))

    def event(self, number: int, text: str) -> None:
        content = f'id: {number}\ndata: {text}\n\n'.encode()
        self.send(b'%x\r\n%b\r\n' % (len(content), content))

    def end(self) -> None:
        self.send(b'0\r\n\r\n')


Handler = Callable[['Engine', Arrival], Awaitable[None]]


class Engine:
    """A server with an entry in the store; ``handler`` runs its requests."""

    def __init__(
        self, store: Store, name: str, service: str, ip: str, slots: int,
        handler: Handler, zone: str = 'north',
    ) -> None:
        self.zone = zone
        self.store, self.name, self.service, self.ip = store, name, service, ip
        self.slots, self.handler = slots, handler
        self.state = 'ready'
        self.reaches_store = True
        self.crashes = 0
        self.is_up = False
        self.id = ''
        self._started = 0
        self._sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._heard_at = 0.0

    @property
    def address(self) -> str:
        return f'{self.ip}:{ENGINE_PORT}'

    async def start(self) -> None:
        self._started += 1
        self.id = f'{self.name}-{self._started}'
        self.born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve, self.ip, ENGINE_PORT, reuse_address=True
        )
        self.is_up = True
        self.store.record.write('engine_up', id=self.id)
        self._task = asyncio.create_task(self._beat(self.id))

    def crash(self) -> None:
        """End at once, as a killed process does: connections are reset."""
        self.is_up = False
        self.crashes += 1
        self.store.record.write('engine_crashed', id=self.id)
        self._server.close()
        for writer in tuple(self._writers):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def crash_and_return(self, seconds: float) -> None:
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()

    async def _beat(self, own_id: str) -> None:
        """Write the entry at each heartbeat; the store drops it in time."""
        key = f'servers/{own_id}'
        heard_at = -HEARTBEAT_SECONDS
        while True:
            now = time.monotonic()
            is_due = now - heard_at >= HEARTBEAT_SECONDS
            is_alive = self.is_up and self.id == own_id
            if is_due and is_alive and self.reaches_store and not self.store.is_away:
                heard_at = now
                self._sequence += 1
                self.store.put(key, self._entry())
            if now - heard_at > 3 * HEARTBEAT_SECONDS:
                self.store.remove(key)
                if self.id != own_id:
                    return
            await asyncio.sleep(0.05)

    def _entry(self) -> dict[str, object]:
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        own_id = self.id
        try:
            while (message := await read_message(reader)) is not None:
                arrival = Arrival(message[0], message[1], writer)
                expected = arrival.headers.get('expect-instance', own_id)
                self.store.record.write(
                    'arrived', engine=own_id, id=arrival.id,
                    target=arrival.target,
                    tenant=arrival.headers.get('tenant', ''),
                )
                if expected != own_id:
                    arrival.head(421, f'Instance-Id: {own_id}')
                    continue
                await self.handler(self, arrival)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self, net: str, number: int, folder: Path, store: str, zone: str = 'north'
    ) -> None:
        self.name = f'frontend-{zone}-{number}'
        self.ip = f'{net}.{10 + number}'
        self._settings = folder / f'{self.name}.toml'
        self._log = (folder / f'{self.name}.log').open('ab')
        self._settings.write_text(
            f'node_name = "{self.name}"\n'
            'role = "router"\nmachine_class = "frontend"\n'
            f'serves = ["frontend"]\nip_address = "{self.ip}"\n'
            f'zone = "{zone}"\nregion = "land"\n'
            f'internal_port_range = [{PEER_PORT},{PEER_PORT + 15}]\n'
            f'seed_nodes = []\nbootstrap = true\n'
            'heartbeat_interval_ms = 1200\n'
            '[zones]\nnorth = "land"\nsouth = "land"\n'
            '[listen_addresses]\n'
            f'frontend = "{self.ip}:{FRONT_PORT}"\n'
            f'ready = "{self.ip}:{READY_PORT}"\n'
            '[limits]\nmemory_mb = 300\nfile_descriptors = 4100\n'
            '[bounds]\ncontact_ms = 3000\ndrain_timeout_ms = 2000\n'
            'grace_period_s = 8\nconfig_apply_ms = 2000\n'
            'retry_budget_ratio = 0.2\nbudget_window_s = 10\n'
            'retry_budget_slack = 58\ncold_overage = 1.5\ncold_slack = 5\n'
            f'[platform]\naddress = "{store}"\nform = "kv"\n'
        )

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.process = await asyncio.create_subprocess_exec(
            *deploy['roles']['router']['run'].split(),
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'SESAMESPOKE_SETTINGS': str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                answer = await ask_raw(self.ip, READY_PORT, (
                    b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                ))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        await self.process.wait()


class ClientAnswer:
    """What a client has seen of the answer to one attempt."""

    def __init__(self, status: int, headers: Headers, body: bytes,
                 *, is_whole: bool) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.is_whole = is_whole


async def read_answer(reader: asyncio.StreamReader) -> ClientAnswer:
    """Read one answer; raise ``IncompleteReadError`` if no head came."""
    head = await reader.readuntil(b'\r\n\r\n')
    line, *rows = head.decode('latin-1').strip().split('\r\n')
    pairs = (row.partition(':') for row in rows)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    status = int(line.split()[1])
    body = b''
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b'\r\n')
        else:
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, OSError):
        return ClientAnswer(status, headers, body, is_whole=False)
    return ClientAnswer(status, headers, body, is_whole=True)


async def ask_raw(ip: str, port: int, content: bytes) -> ClientAnswer:
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(content)
        return await read_answer(reader)
    finally:
        writer.close()


def request_bytes(
    method: str, target: str, request_id: str, deadline_ms: int,
    *rows: str, body: bytes = b'',
) -> bytes:
    lines = [
        f'{method} {target} HTTP/1.1',
        'Host: desk.example',
        f'Request-Attempt-Id: {request_id}',
        f'Deadline-Ms: {deadline_ms}',
        *rows,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def new_id() -> str:
    return f'{random.getrandbits(64):016x}'


def config(routes: list[dict], version: int = 7) -> dict[str, object]:
    """Return a configuration with two services and two tenants."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'llm', 'health_check_path': '/health',
                'max_connections': 370, 'cold_start_s': 3.0,
                'cold_per_s': 8.9,
                'engine': {'slots': 64, 'kv_cache_tokens': 422488},
            },
            {
                'name': 'desk', 'health_check_path': '/health',
                'max_connections': 110, 'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            },
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
            'tokens_per_s': 80000,
        },
        'tenants': [
            {'name': 'alpha', 'api_keys': ['key-alpha']},
            {'name': 'beta', 'api_keys': ['key-beta']},
        ],
    }


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    return {
        'name': name, 'host': 'desk.example', 'prefix': f'/{name}/',
        'kind': kind, 'timeout_ms': 3000, 'target_latency_ms': 2000,
        'priority': 1, 'service': service, 'max_attempts': 2,
        'public': False, 'sticky_sessions': kind == 'streaming',
        'resume_streams': False, 'target_gap_ms': 600, **changes,
    }


class World:
    """A store, engines and routers that end together."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.net = free_net()
        self.scratch = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(f'{self.net}.1:{STORE_PORT}', self.record)
        self.routers: list[Router] = []
        self.engines: list[Engine] = []

    async def start(
        self, routers: int, cfg: dict, engines: list[tuple]
    ) -> None:
        """Start everything; return once all routers have been ready a while."""
        ips = [f'{self.net}.{1 + number}' for number in range(1, routers + 1)]
        await self.store.start(*(f'{ip}:{STORE_PORT}' for ip in ips))
        self.store.put('op/config', cfg)
        for number, (name, service, slots, handler, *zone) in enumerate(engines):
            ip = f'{self.net}.{100 + number}'
            engine = Engine(
                self.store, name, service, ip, slots, handler, *zone
            )
            self.engines.append(engine)
            await engine.start()
        for number in range(1, routers + 1):
            router = Router(
                self.net, number, self.scratch, f'{ips[number - 1]}:{STORE_PORT}'
            )
            router.store_ip = ips[number - 1]
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            for _ in range(200):
                if await router.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f'{router.name} never became ready')
        # Traffic starts 12 s after the machines do; this is enough for calm.
        await asyncio.sleep(CONTACT_SECONDS + 1)

    async def stop(self) -> None:
        for router in self.routers:
            if hasattr(router, 'process'):
                await router.stop()


def run(main: Callable[[World], Awaitable[int]], folder: Path) -> None:
    """Run a script's scenario, and exit as the review asks."""

    async def play() -> int:
        world = World(folder)
        print(f'logs of the routers: {world.scratch}', file=sys.stderr)
        try:
            async with asyncio.timeout(110):
                return await main(world)
        except Exception as exc:
            world.record.write('could_not_run', why=repr(exc))
            return 2
        finally:
            await world.stop()

    status = asyncio.run(play())
    print({0: 'the rule held', 1: 'the rule was broken'}.get(status, 'not run'))
    sys.stdout.flush()
    os._exit(status)
