"""One caller's connection: reading a request, sending the answer."""

import asyncio
import contextlib
import random
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import replace
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from sesamespoke.answers import (
    Answer,
    HeaderRows,
    marked,
    refusal_answer,
    without,
)
from sesamespoke.body_buffer import BodyBuffer
from sesamespoke.body_memory import BodyMemory
from sesamespoke.checked_fields import is_count
from sesamespoke.intake import Call, refuse
from sesamespoke.verdicts import (
    BODY_TOO_LARGE,
    TOO_MANY_BODIES,
    Refusal,
    Verdict,
)

MAX_BODY_BYTES = 67_108_864
GIVE_UP_RETRY_SECONDS = (0.5, 1.5)
"""``Retry-After`` of requests that have no room, spread."""
NO_REQUEST = RequestStartLine('', '', '')

Begin = Callable[[Call, HTTP1Connection], None]


class ConnectionReply:
    """The way back to the caller of one request."""

    def __init__(
        self,
        conn: HTTP1Connection,
        request_id: str,
        *,
        keeps: bool = True,
        closes: bool = False,
    ) -> None:
        """Wrap the connection that the request came on.

        Unless the host ``keeps`` connections, the caller is asked to open
        another for its next request, which the balancer sends elsewhere. A
        host that ``closes`` does not wait for the caller to do so.
        """
        self._keeps = keeps and not closes
        self._closes = closes
        self.started = False
        self._chunked = False
        self._unsent: Awaitable[None] | None = None
        self._conn = conn
        self._request_id = request_id

    def start(self, status: int, headers: HeaderRows) -> None:
        """Send the head of an answer that is passed on as it comes."""
        rows = marked(headers, self._request_id, Verdict.RAN)
        self._conn.stream.set_nodelay(True)
        self._send_head(status, rows)

    def send(self, content: bytes) -> bool:
        """Send a part of the body; return whether the caller took it.

        An event costs one system call: it is written below the HTTP
        connection, which has nothing to add but the framing of the chunk.
        """
        stream = self._conn.stream
        if stream.closed():
            raise StreamClosedError
        if not self._chunked:
            self._unsent = self._conn.write(content)
            return not stream.writing()
        framed = b'%x\r\n%b\r\n' % (len(content), content)
        sent = 0 if stream.writing() else _write_now(stream, framed)
        if sent == len(framed):
            return True
        self._unsent = stream.write(framed[sent:])
        return False

    async def drain(self) -> None:
        """Wait until the caller has taken all that was sent."""
        unsent = self._unsent
        if unsent is not None:
            self._unsent = None
            await unsent

    def answer(self, answer: Answer, *, bodiless: bool) -> None:
        """Send a whole answer."""
        rows = without(answer.headers, 'content-length')
        length = ('Content-Length', str(len(answer.body)))
        if bodiless:
            length = _declared_length(answer)
        body = None if bodiless else answer.body
        self._send_head(answer.status, (*rows, length), body)
        self.finish()

    def finish(self) -> None:
        """Mark the end of the answer."""
        with contextlib.suppress(StreamClosedError):
            self._conn.finish()
            if self._closes:
                _close_when_sent(self._conn.stream)

    def cut(self) -> None:
        """Close the connection, so that the answer is seen to be cut."""
        self._conn.close()

    def _send_head(
        self,
        status: int,
        rows: HeaderRows,
        body: bytes | None = None,
    ) -> None:
        self.started = True
        headers = HTTPHeaders()
        for name, text in rows:
            headers.add(name, text)
        if not self._keeps:
            headers['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, responses.get(status, ''))
        self._unsent = self._conn.write_headers(line, headers, body)
        self._chunked = 'Transfer-Encoding' in headers


def _write_now(stream: IOStream, content: bytes) -> int:
    """Return how many bytes the kernel took at once."""
    try:
        return stream.write_to_fd(memoryview(content))
    except BlockingIOError:
        return 0
    except OSError as exc:
        stream.close(exc_info=exc)
        raise StreamClosedError from exc


def _close_when_sent(stream: IOStream) -> None:
    """Close a stream once all that was written has left."""
    sent = asyncio.ensure_future(stream.write(b''))
    sent.add_done_callback(lambda _: stream.close())


def _declared_length(answer: Answer) -> tuple[str, str]:
    for name, text in answer.headers:
        if name.lower() == 'content-length':
            return name, text
    return 'Content-Length', str(len(answer.body))


class Inbound(HTTPMessageDelegate):
    """Reads one request of a caller and starts the task that serves it."""

    def __init__(
        self,
        conn: HTTP1Connection,
        begin: Begin,
        arriving: set['Inbound'],
        memory: BodyMemory,
        max_body_bytes: int,
        waited: float = 0,
    ) -> None:
        """Prepare to read from a connection.

        The reader is one of those ``arriving`` from the head of its request
        to the end of the body. ``waited`` is for how long the request may
        have lain unread.
        """
        self._waited = waited
        self._arriving = arriving
        self._begin = begin
        self._max_body_bytes = max_body_bytes
        self._conn = conn
        self._memory = memory
        self._body = BodyBuffer()
        self._line = NO_REQUEST
        self._headers = HTTPHeaders()
        memory.begin(self)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Keep the head; refuse a body that is declared too large."""
        assert isinstance(start_line, RequestStartLine)
        self._memory.begin_body(self)
        self._arriving.add(self)
        self._line = start_line
        self._headers = headers
        self._conn.set_max_body_size(MAX_BODY_BYTES)
        declared = headers.get('Content-Length', '0')
        if is_count(declared):
            self._check_size(int(declared))

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(chunk)
        self._check_size(len(self._body))
        self._memory.grow(self, len(chunk), self._max_body_bytes)

    def finish(self) -> None:
        """Serve the request, now that it is whole."""
        self._arriving.discard(self)
        if not self._memory.serve(self, self._max_body_bytes):
            self.give_up()
            return
        call = Call(
            uuid.uuid4().hex,
            self._line.method,
            self._line.path,
            self._headers,
            self._body.take(),
            asyncio.get_running_loop().time() - self._waited,
        )
        self._begin(call, self._conn)

    def on_connection_close(self) -> None:
        """Forget a request that was not sent whole."""
        self._forget()

    def give_up(self) -> None:
        """Refuse the request, which has not run, and close its connection."""
        if self._line is NO_REQUEST:
            self._conn.close()
            return
        retry_after = random.uniform(*GIVE_UP_RETRY_SECONDS)
        self._refuse(replace(refuse(TOO_MANY_BODIES), retry_after=retry_after))

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes and self._line is not NO_REQUEST:
            self._refuse(refuse(BODY_TOO_LARGE))

    def _refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal; the rest of the request isn't read."""
        self._forget()
        self._line = NO_REQUEST
        request_id = uuid.uuid4().hex
        reply = ConnectionReply(self._conn, request_id, closes=True)
        with contextlib.suppress(StreamClosedError):
            reply.answer(refusal_answer(refusal, request_id), bodiless=False)

    def _forget(self) -> None:
        self._arriving.discard(self)
        self._memory.forget(self)
        self._body.clear()
