"""An engine as a process: serves by the platform's pages, and misbehaves.

Each arrival, run and end is a JSON line on standard output, with the time of
the machine's steady clock. ``POST /faults`` sets what goes wrong.
"""

import asyncio
import json
import os
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from soak.site import NAMED_LIMIT

QUEUE = 24
POISON = 'poison'
IDLE_SECONDS = 8.0
STALLS = frozenset(('drip', 'stall'))


class Gone(Exception):
    """The connection is to end without an answer."""


@dataclass
class EngineProcess:
    """One incarnation of an engine."""

    cfg: dict[str, Any]
    mode: str = ''
    part: float = 0
    running: int = 0
    queued: int = 0
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        started = time.time_ns() // 1_000_000
        self.born = started
        self.name = f'{self.cfg["name"]}-{started}'
        self.cold_until: float = time.monotonic() + self.cfg['cold_seconds']
        self.places = asyncio.Semaphore(self.cfg['slots'])
        self.rng = random.Random(started)

    def tell(self, what: str, request_id: str, **facts: object) -> None:
        row = {'t': time.monotonic(), 'e': what, 'id': request_id, **facts}
        sys.stdout.write(json.dumps(row) + '\n')

    async def run(self) -> None:
        server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.cfg['port'], backlog=256
        )
        self.tell('start', '', name=self.name, cold=self.cfg['cold_seconds'])
        async with server:
            await self.beat()

    async def beat(self) -> None:
        """Write the own entry into the store again and again."""
        number = 0
        while True:
            number += 1
            entry = {
                'service': self.cfg['service'],
                'address': f'127.0.0.1:{self.cfg["port"]}',
                'zone': self.cfg['zone'],
                'version': 'v1',
                'slots': self.cfg['slots'],
                'state': 'ready',
                'cold_remaining_ms': self.cold_ms(),
                'sequence': number,
                'born': self.born,
            }
            body = json.dumps(
                {'key': f'servers/{self.name}', 'entry': entry}
            ).encode()
            try:
                async with asyncio.timeout(1):
                    await post(self.cfg['store_port'], '/beat', body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            sys.stdout.flush()
            await asyncio.sleep(self.cfg['beat_seconds'])

    def cold_ms(self) -> int:
        left = self.cold_until - time.monotonic()
        return max(0, round(left * 1000))

    def limit_rows(self) -> tuple[str, ...]:
        """Return the header that names a limit, while there is one."""
        if self.mode != 'limit':
            return ()
        return (f'Server-Limit: {NAMED_LIMIT}',)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_SECONDS):
                    head = await reader.readuntil(b'\r\n\r\n')
                line, headers = parse_head(head)
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                await self.answer(line, headers, body, reader, writer)
                await writer.drain()
        except Gone:
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if line.startswith('POST /faults'):
            fault = json.loads(body)
            self.mode, self.part = fault['mode'], fault['part']
            writer.write(answer_bytes('', 200, b'{}'))
            return
        request_id = headers.get('request-attempt-id', '')
        expected = headers.get('expect-instance', self.name)
        is_expected = expected == self.name
        self.tell(
            'arrive',
            request_id,
            name=self.name,
            left=int(headers.get('deadline-ms', -1)),
            tenant=headers.get('tenant', ''),
            target=line.split()[1],
            cold=self.cold_ms() > 0 and is_expected,
            limited=self.mode == 'limit' and is_expected,
        )
        if not is_expected:
            writer.write(answer_bytes(request_id, 421, b''))
            return
        hit = self.rng.random() < self.part
        if hit and self.mode == 'shed' or self.queued >= QUEUE:
            self.tell('reject', request_id)
            rows = ('Not-Executed: 1', *self.limit_rows())
            writer.write(answer_bytes(request_id, 503, b'', *rows))
            return
        if hit and self.mode == 'reset':
            raise Gone
        if hit and self.mode == 'hang':
            await asyncio.sleep(20)
            raise Gone
        await self.work(line, headers, request_id, reader, writer, hit)

    async def work(
        self,
        line: str,
        headers: dict[str, str],
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hit: bool,
    ) -> None:
        self.queued += 1
        try:
            async with asyncio.timeout(int(headers['deadline-ms']) / 1000):
                await self.places.acquire()
        except TimeoutError:
            self.tell('reject', request_id)
            rows = ('Not-Executed: 1', *self.limit_rows())
            writer.write(answer_bytes(request_id, 503, b'', *rows))
            return
        finally:
            self.queued -= 1
        try:
            await self.run_request(line, headers, request_id, writer, hit)
        finally:
            self.places.release()

    async def run_request(
        self,
        line: str,
        headers: dict[str, str],
        request_id: str,
        writer: asyncio.StreamWriter,
        hit: bool,
    ) -> None:
        self.tell('run', request_id, name=self.name)
        if POISON in line:
            sys.stdout.flush()
            os._exit(3)
        slow = 6 if hit and self.mode == 'slow' else 1
        pause = self.cfg['work_ms'] / 1000 * self.rng.uniform(0.6, 1.6) * slow
        await asyncio.sleep(pause)
        if hit and self.mode == 'errors':
            writer.write(sealed(request_id, 500, b'failed'))
            return
        if hit and self.mode == 'lose':
            raise Gone
        events = int(headers.get('soak-events', 0))
        if not events:
            body = f'{request_id} ok'.encode()
            answer = sealed(request_id, 200, body, *self.limit_rows())
            writer.write(answer)
            self.tell('end', request_id)
            if hit and self.mode == 'twice':
                self.send_later(writer, answer)
            return
        after = int(headers.get('last-event-id') or 0)
        writer.write(sealed(request_id, 200, None, *self.limit_rows()))
        for number in range(after + 1, events + 1):
            if writer.transport.is_closing():
                self.tell('left', request_id)
                raise Gone
            last = ' last' if number == events else ''
            text = f'id: {number}\ndata: {request_id} {number}{last}\n\n'
            writer.write(chunk(text.encode()))
            await writer.drain()
            if hit and self.mode == 'cut':
                raise Gone
            if hit and self.mode in STALLS:
                await self.stall(writer)
            await asyncio.sleep(pause / 2)
        writer.write(b'0\r\n\r\n')
        self.tell('end', request_id)

    def send_later(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send a second copy of an answer, at once or when it is late."""

        def send() -> None:
            if not writer.transport.is_closing():
                writer.write(answer)

        pause = self.rng.choice((0, 0.01, 0.1))
        asyncio.get_running_loop().call_later(pause, send)

    async def stall(self, writer: asyncio.StreamWriter) -> None:
        """Send no more whole event, until the router leaves."""
        while not writer.transport.is_closing():
            if self.mode == 'drip':
                writer.write(chunk(b'd'))
            await asyncio.sleep(0.3)
        raise Gone


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    line, *rows = head.decode('latin-1').strip().split('\r\n')
    pairs = (row.partition(':') for row in rows)
    return line, {name.lower(): text.strip() for name, _, text in pairs}


def answer_bytes(
    request_id: str, status: int, body: bytes | None, *rows: str
) -> bytes:
    lines = [f'HTTP/1.1 {status} X']
    if request_id:
        lines.append(f'Request-Attempt-Id: {request_id}')
    lines.extend(rows)
    if body is None:
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + (body or b'')


def sealed(
    request_id: str, status: int, body: bytes | None, *rows: str
) -> bytes:
    seal = f'Response-Seal: seal-{request_id}'
    return answer_bytes(request_id, status, body, seal, *rows)


def chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


async def post(port: int, path: str, body: bytes) -> bytes:
    """Send one request to a port of this machine; return the answer's head."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: '
            f'{len(body)}\r\nConnection: close\r\n\r\n'.encode()
            + body
        )
        return await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()


if __name__ == '__main__':
    with open(sys.argv[1]) as file:
        settings = json.load(file)
    if len(sys.argv) > 2:
        settings['cold_seconds'] = float(sys.argv[2])

    async def main() -> None:
        await EngineProcess(settings).run()

    asyncio.run(main())
