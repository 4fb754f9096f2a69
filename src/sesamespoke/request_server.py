"""An HTTP server that runs one task for each request of a caller."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine, Set
from dataclasses import dataclass
from typing import Any, TypeVar

import structlog
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from sesamespoke.answers import Answer, refusal_answer
from sesamespoke.body_memory import BodyMemory
from sesamespoke.caller_connections import ConnectionReply, Inbound
from sesamespoke.intake import Call
from sesamespoke.metrics import Metrics, Reading
from sesamespoke.settings import Address
from sesamespoke.verdicts import ENDPOINT_FAILED, Refusal, Verdict

MAX_BUFFER_BYTES = 1_048_576
MAX_HEAD_BYTES = 65_536
CHUNK_BYTES = 8192
"""Bytes read from a connection at once. Until they are counted as a body's, the
stream and each step of its reader may hold as many."""
IDLE_SECONDS = 120
BODY_SECONDS = 60
LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 100_000
DEFAULT_BODY_MEMORY = 536_870_912
"""Bytes; a router of chat completions has some gigabytes."""
KEPT_FRACTION = 0.25
"""The part of the allowed connections above which no caller is let use its
connection again: a caller that opens one for each request fills the rest."""

ResultT = TypeVar('ResultT')
Ended = Answer | Refusal | None

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Where a server listens, and how it answers.

    With ``whole_seconds`` a ``Retry-After`` is rounded up, as the HTTP
    standard asks; else it keeps its fraction. A connection above
    ``max_connections`` is closed before anything is read from it. All request
    bodies together take up to ``body_memory`` bytes.
    """

    address: Address
    whole_seconds: bool = True
    max_connections: int = MAX_CONNECTIONS
    body_memory: float = DEFAULT_BODY_MEMORY


class BoundedServer(HTTPServer):
    """An HTTP server that takes no more connections than it can serve.

    Others are closed with nothing read: nothing was run, and the caller's
    next try reaches another host. Where a connection has made no progress for
    a while, that one makes room. A host that runs late also refuses bodies
    that have arrived for seconds: reading them may be what makes it late.
    """

    max_connections = MAX_CONNECTIONS
    is_shedding: Callable[[], bool] = bool
    make_room: Callable[[], bool] = bool
    drop_slow: Callable[[], object] = bool

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection, or close it."""
        is_full = len(self._connections) >= self.max_connections
        is_shedding = self.is_shedding()
        if is_shedding:
            self.drop_slow()
        if is_shedding or (is_full and not self.make_room()):
            stream.close()
            return
        super().handle_stream(stream, address)

    def stop(self) -> None:
        """Close the ports, once the connections that wait there are taken.

        The kernel has told their callers that they are connected, and would
        reset them.
        """
        if not self._stopped:
            for sock in self._sockets.values():
                self._take_waiting(sock)
        super().stop()

    def _take_waiting(self, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            for _ in range(LISTEN_BACKLOG):
                self._handle_connection(*sock.accept())

    @property
    def is_crowded(self) -> bool:
        """Return whether idle connections should make room."""
        return len(self._connections) > self.max_connections * KEPT_FRACTION


class RequestServer(HTTPServerConnectionDelegate):
    """Serves callers until it is closed; subclasses say how."""

    def __init__(self, cfg: ServerSettings, metrics: Metrics) -> None:
        """Prepare the server; ``listen`` opens its port."""
        self.port = 0
        self._server_cfg = cfg
        self._metrics = metrics
        self._tasks: set[asyncio.Task[Any]] = set()
        self._arriving: set[Inbound] = set()
        self._server = BoundedServer(
            self,
            idle_connection_timeout=IDLE_SECONDS,
            body_timeout=BODY_SECONDS,
            max_header_size=MAX_HEAD_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            chunk_size=CHUNK_BYTES,
        )
        self._server.max_connections = cfg.max_connections
        self._server.is_shedding = self.is_shedding
        self._memory = BodyMemory(
            cfg.body_memory, asyncio.get_running_loop().time
        )
        self._server.make_room = self._memory.drop_stalled
        self._server.drop_slow = self._memory.drop_slow
        metrics.gauge('request_body_bytes', self._read_body_bytes)

    @property
    def active(self) -> int:
        """Return the number of requests in work."""
        return len(self.requests)

    @property
    def requests(self) -> Set[object]:
        """Return the requests in work.

        They are so from the end of their head until the answer has left.
        """
        return self._tasks | self._arriving

    def listen(self) -> None:
        """Open the callers' port; port 0 asks for any free one."""
        address = self._server_cfg.address
        sockets = bind_sockets(address.port, address.ip, backlog=LISTEN_BACKLOG)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def stop_accepting(self) -> None:
        """Close the port; requests that have come go on."""
        self._server.stop()

    async def close(self) -> None:
        """Close every connection; cuts what is still being served."""
        self._server.stop()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close_all_connections()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTP1Connection,  # type: ignore[override]
    ) -> HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        return Inbound(
            request_conn,
            self.begin,
            self._arriving,
            self._memory,
            self.max_body_bytes(),
            self.waited(),
        )

    def begin(self, call: Call, conn: HTTP1Connection) -> None:
        """Start the task that serves one request."""
        task = self.track(self._serve(call, conn))
        task.add_done_callback(lambda _: self._memory.release(len(call.body)))
        conn.set_close_callback(lambda: _cancel(task))

    def track(
        self, coro: Coroutine[None, None, ResultT]
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine as one of the server's tasks."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _read_body_bytes(self) -> tuple[Reading, ...]:
        return (
            (self._memory.held, {'bodies': 'held'}),
            (self._memory.refused, {'bodies': 'refused'}),
        )

    def max_body_bytes(self) -> int:
        """Return the largest body that is accepted."""
        raise NotImplementedError

    def keeps_connections(self) -> bool:
        """Return whether callers may use a connection again."""
        raise NotImplementedError

    def is_shedding(self) -> bool:
        """Return whether new connections are closed unread for now."""
        return False

    def waited(self) -> float:
        """Return for how long a request may have lain unread, in seconds."""
        return 0

    async def respond(self, call: Call, reply: ConnectionReply) -> Ended:
        """Return what ends a call; None if all of it was passed on."""
        raise NotImplementedError

    async def end_cut_answer(
        self,
        ended: Answer | Refusal,
        reply: ConnectionReply,
        call: Call,
    ) -> None:
        """End an answer that began but can't be whole."""
        reply.cut()

    async def _serve(self, call: Call, conn: HTTP1Connection) -> None:
        reply = ConnectionReply(
            conn,
            call.request_id,
            keeps=self.keeps_connections(),
            closes=self._server.is_crowded,
        )
        try:
            await self._answer(call, reply)
            await reply.drain()
        except StreamClosedError:
            self._metrics.count('callers_gone')
        except Exception:
            log.exception('call_failed', request_id=call.request_id)
            reply.cut()

    async def _respond(self, call: Call, reply: ConnectionReply) -> Ended:
        """Return what ends a call, also after an unexpected exception."""
        try:
            return await self.respond(call, reply)
        except StreamClosedError:
            raise
        except Exception:
            log.exception('call_failed', request_id=call.request_id)
            return Refusal(ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN)

    async def _answer(self, call: Call, reply: ConnectionReply) -> None:
        ended = await self._respond(call, reply)
        self._metrics.count('caller_answers', code=_code_of(ended))
        if ended is None:
            reply.finish()
            return
        if reply.started:
            await self.end_cut_answer(ended, reply, call)
            return
        if isinstance(ended, Refusal):
            ended = refusal_answer(
                ended,
                call.request_id,
                whole_seconds=self._server_cfg.whole_seconds,
            )
        reply.answer(ended, bodiless=call.method == 'HEAD')


def _code_of(ended: Ended) -> str:
    return ended.reason.code if isinstance(ended, Refusal) else 'answer'


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
