"""The platform's store as a process, with one port for each that looks.

What is listed to a router names the soak's links in place of the addresses
that engines and peers wrote. ``POST /faults`` sets what goes wrong.
"""

import asyncio
import base64
import json
import sys
from dataclasses import dataclass, field
from typing import Any

from support_platform import Response, StoreStandIn, send
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets

BEATS_MISSED = 3
CHECK_SECONDS = 0.1


@dataclass
class StoreProcess(StoreStandIn):
    """The stand-in with leases that run out, and calls that go wrong.

    ``slow`` delays answers by so many seconds; ``lose`` executes writes and
    leaves them unanswered.
    """

    beat_seconds: float = 1
    slow: float = 0
    lose: bool = False
    ends_at: dict[int, float] = field(default_factory=dict)
    ttl: dict[int, float] = field(default_factory=dict)
    beats: dict[str, float] = field(default_factory=dict)
    viewer: dict[int, dict[str, str]] = field(default_factory=dict)

    def open(self, ports: dict[int, dict[str, str]]) -> None:
        self._changed = asyncio.Event()
        self.viewer = ports
        for port in ports:
            server = HTTPServer(self._handle_request)
            server.add_sockets(bind_sockets(port, '127.0.0.1'))

    async def watch_ends(self) -> None:
        """Remove what no longer lives."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = asyncio.get_running_loop().time()
            for lease in [n for n, at in self.ends_at.items() if at < now]:
                del self.ends_at[lease]
                self.expire_lease(lease)
            for key in [k for k, at in self.beats.items() if at < now]:
                del self.beats[key]
                self.remove(key)

    async def _serve(self, request: HTTPServerRequest) -> None:
        path = request.path
        body = json.loads(request.body) if request.body else {}
        if path == '/beat':
            now = asyncio.get_running_loop().time()
            self.beats[body['key']] = now + self.beat_seconds * BEATS_MISSED
            self.put(body['key'], body['entry'])
            send(request, 200, {})
        elif path == '/operator':
            self.put(body['key'], body['entry'])
            send(request, 200, {})
        elif path == '/faults':
            self.refuse_with = body.get('refuse_with')
            self.silent = body.get('silent', False)
            self.slow = body.get('slow', 0)
            self.lose = body.get('lose', False)
            if body.get('lapse'):
                for lease in tuple(self.leases):
                    self.ends_at.pop(lease, None)
                    self.expire_lease(lease)
            send(request, 200, {})
        else:
            await self._serve_late(request)

    async def _serve_late(self, request: HTTPServerRequest) -> None:
        if self.slow:
            await asyncio.sleep(self.slow)
        await super()._serve(request)

    def answer(
        self, request: HTTPServerRequest, status: int, content: dict[str, Any]
    ) -> None:
        if self.lose and request.method == 'POST':
            return
        sock = request.connection.stream.socket  # type: ignore[union-attr]
        view = self.viewer.get(sock.getsockname()[1], {})
        for row in [*content.get('items', ()), *content.get('events', ())]:
            if view and 'value' in row:
                row['value'] = translate(row['value'], view)
        send(request, status, content)

    async def do_kv_lease(self, query: Any, body: Any, last: str) -> Response:
        status, content = await super().do_kv_lease(query, body, last)
        self.ttl[content['lease']] = body['ttl_ms'] / 1000
        self.renew(content['lease'])
        return status, content

    async def do_kv_keep(self, query: Any, body: Any, last: str) -> Response:
        if int(last) in self.leases:
            self.renew(int(last))
        return await super().do_kv_keep(query, body, last)

    def renew(self, lease: int) -> None:
        now = asyncio.get_running_loop().time()
        self.ends_at[lease] = now + self.ttl[lease]


def translate(value: str, view: dict[str, str]) -> str:
    """Replace the addresses in an encoded value by those of links."""
    text = base64.b64decode(value).decode()
    for address, link in view.items():
        text = text.replace(f'"{address}"', f'"{link}"')
    return base64.b64encode(text.encode()).decode()


async def main(path: str) -> None:
    with open(path) as file:
        cfg = json.load(file)
    store = StoreProcess(beat_seconds=cfg['beat_seconds'])
    store.open({int(port): view for port, view in cfg['ports'].items()})
    await store.watch_ends()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
