"""One attempt at one endpoint, from sending the request to the last byte read.

The verdict is ``NOT_RUN`` only if no byte of the request was sent, or if the
endpoint states it. Streams are relayed event by event, each one as soon as it
is complete; other responses are buffered until they are complete.
"""

import asyncio
import contextlib
import math
from dataclasses import dataclass, replace

from sesamespoke.answers import Answer, end_to_end, without
from sesamespoke.attempts import (
    NOT_CONNECTED,
    STALE,
    Attempt,
    Failure,
    Reply,
    failed,
)
from sesamespoke.checked_fields import is_count, read_retry_after
from sesamespoke.endpoint_connections import (
    Connection,
    ConnectionPool,
    Sink,
)
from sesamespoke.events import EventRelay, has_data
from sesamespoke.framing import BodyReader, FramingError, Head
from sesamespoke.limits import Outcome
from sesamespoke.serving.catalog import CallKind
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.exchange_hooks import ExchangeHooks
from sesamespoke.serving.job import Job
from sesamespoke.verdicts import (
    BAD_ANSWER,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    TIMED_OUT,
    Verdict,
)

MS_PER_SECOND = 1000
OK = 200
MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset((408, 429, 503))
"""Callers take these to mean that the request did not run. An endpoint that
sends one without the not-run header may have run it."""
MAX_UNSOLICITED_RESPONSES = 4
"""Limit of responses to earlier requests that are skipped on a connection."""
MAX_RESPONSE_BYTES = 8_388_608
"""The largest response that is buffered."""
DEADLINE_SLACK = 0.1
"""Seconds after the deadline in which an endpoint may still report it."""
MIN_STALL_CHECK_SECONDS = 0.25
"""Seconds until a stalled endpoint is checked again, if no other endpoint could
continue the stream."""
STALL_TIMEOUT_FRACTION = 0.5
"""Part of the time left after which a stream has stalled, so that another
endpoint has the rest of it."""
IDLE_TIMEOUT_FRACTION = 0.75
"""Fraction of an endpoint's announced idle timeout after which a connection is
not reused, since the endpoint may be closing it."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The header names of the protocol with callers and endpoints."""

    request_id: str
    deadline_ms: str
    expected_endpoint: str
    account: str
    last_event_id: str
    seal: str
    not_run: str
    leaving: str
    rate_limit: str
    fetch_from: str


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What all attempts of a process share."""

    pool: ConnectionPool
    header_names: HeaderNames


class Exchange:
    """One attempt to get a response from one endpoint.

    ``resent`` tells whether the request was sent a second time because a
    reused connection had been closed.

    ``first_byte_timeout`` bounds the wait for the first byte of the body, and
    ``stall_timeout`` each later wait for an event of a stream, in seconds. Late
    in a request that wait is shorter, but at least ``min_stall_timeout``. If
    ``prefix_holder_address`` is set, the endpoint is told to fetch the parts
    of the prompt that it has not cached from that address.
    """

    def __init__(
        self,
        context: ExchangeContext,
        job: Job,
        endpoint: ListedEndpoint,
        reply: Reply,
        relay: EventRelay,
        hooks: ExchangeHooks,
    ) -> None:
        """Prepare an attempt; nothing is sent yet."""
        self.first_byte_timeout: float = math.inf
        self.stall_timeout: float = math.inf
        self.min_stall_timeout: float = math.inf
        self.prefix_holder_address = ''
        self.sent_at: float | None = None
        self.resent = False
        self.first_byte_at: float | None = None
        self._context = context
        self._job = job
        self._endpoint = endpoint
        self._reply = reply
        self._relay = relay
        self._hooks = hooks
        self._first_events = b''
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    @property
    def sent(self) -> bool:
        """Return whether any byte of the request was sent."""
        return self.sent_at is not None

    async def run(self) -> Attempt:
        """Send the request and return the result.

        Connections are reused only for requests that may run more than once:
        an idle connection may be closed just as the request is sent, and the
        endpoint may have received it. The request is then sent once more on
        a new connection, if ``may_resend`` allows it.
        """
        may_reuse = self._job.route.may_repeat
        attempt = await self._try_once(fresh=not may_reuse)
        if attempt is STALE and self._hooks.may_resend():
            self.resent = True
            attempt = _after_resend(await self._try_once(fresh=True))
        return replace(attempt, first_token_ms=self._first_byte_ms())

    async def _try_once(self, *, fresh: bool) -> Attempt:
        conn = await self._context.pool.take(self._endpoint.url, fresh=fresh)
        if conn is None:
            return NOT_CONNECTED
        with contextlib.ExitStack() as stack:
            stack.callback(conn.close)
            attempt = await self._run_on_connection(conn)
            if conn.clean:
                stack.pop_all()
                self._context.pool.put(conn)
        return attempt

    async def _run_on_connection(self, conn: Connection) -> Attempt:
        conn.clean = False
        ends_at = self._job.deadline + DEADLINE_SLACK
        try:
            async with asyncio.timeout_at(ends_at):
                return await self._send_and_receive(conn)
        except Failure as exc:
            failure = exc
        except FramingError as exc:
            failure = Failure(BAD_ANSWER, str(exc))
        except TimeoutError:
            failure = Failure(TIMED_OUT, 'the endpoint is silent')
        return failed(failure, self._relay.usage(0), self._relay.last_id)

    async def _send_and_receive(self, conn: Connection) -> Attempt:
        if not self._hooks.may_send():
            conn.clean = True
            return ENDPOINT_UNAVAILABLE
        if self.sent_at is None:
            self.sent_at = self._loop.time()
        conn.send(self._encode())
        times_out_at = self._loop.time() + self.first_byte_timeout
        async with asyncio.timeout_at(times_out_at):
            head = await self._read_head(conn)
        if head is None:
            return STALE
        self._note_state(head)
        body = BodyReader(head, self._job.method, ends_by_close=True)
        if head.status == OK and self._job.route.kind is CallKind.STREAM:
            attempt = await self._relay_events(conn, head, body)
        else:
            attempt = await self._collect(conn, head, body)
        conn.clean = _is_reusable(conn, head, body)
        return attempt

    def _note_state(self, head: Head) -> None:
        """Note what the endpoint says of itself in the head of an answer."""
        if head.status == MISDIRECTED_REQUEST:
            return
        if head.headers.get(self._context.header_names.leaving) == '1':
            self._hooks.on_leaving()
        self._hooks.on_rate_limit(
            head.headers.get(self._context.header_names.rate_limit),
            self.sent_at,
        )
        seconds = read_retry_after(head.headers.get('Retry-After', ''))
        if head.status == SERVICE_UNAVAILABLE and seconds:
            self._hooks.on_backoff(seconds)

    async def _read_head(self, conn: Connection) -> Head | None:
        """Return the head of the response to this request.

        Responses with another request's id are skipped. Returns None if a
        reused connection closed without a response.
        """
        for _ in range(MAX_UNSOLICITED_RESPONSES):
            head = await conn.read_head()
            if head is None and conn.reused:
                return None
            if head is None:
                raise Failure(ENDPOINT_FAILED, 'no answer came', broke=True)
            answered_id = head.headers.get(
                self._context.header_names.request_id
            )
            if answered_id == self._job.request_id:
                return head
            if answered_id is None and not conn.reused:
                return head
            unsolicited = BodyReader(head, self._job.method, ends_by_close=True)
            await self._read_body(conn, unsolicited)
            conn.unread(unsolicited.rest)
        raise Failure(BAD_ANSWER, 'the answers are to other requests')

    async def _collect(
        self,
        conn: Connection,
        head: Head,
        body: BodyReader,
    ) -> Attempt:
        content = await self._read_body(conn, body)
        self._note_first_byte()
        rows = without(end_to_end(head.headers), 'content-length')
        answer = Answer(head.status, rows, content)
        names = self._context.header_names
        if head.status == MISDIRECTED_REQUEST:
            return OTHER_INCARNATION
        if names.not_run in head.headers:
            return Attempt(
                Verdict.NOT_RUN,
                Outcome.REFUSED,
                reason=ENDPOINT_REFUSED,
                detail=str(head.status),
            )
        if head.status < MIN_ERROR_STATUS and names.seal not in head.headers:
            raise Failure(BAD_ANSWER, 'the answer is not signed')
        if head.status in NOT_RUN_STATUSES and not self._job.route.may_repeat:
            raise Failure(
                ENDPOINT_FAILED, f'{head.status} without the not-run header'
            )
        if head.status < MIN_SERVER_ERROR_STATUS:
            return Attempt(Verdict.RAN, Outcome.DONE, answer=answer)
        return Attempt(
            Verdict.MAY_HAVE_RUN,
            Outcome.LATE,
            answer=answer,
            reason=ENDPOINT_FAILED,
            detail=str(head.status),
        )

    async def _read_body(self, conn: Connection, body: BodyReader) -> bytes:
        parts: list[bytes] = []
        size = 0
        while not body.finished:
            content = await conn.read()
            if not content:
                await _end_by_close(conn, body)
                break
            payload = body.feed(content)
            size += len(payload)
            parts.append(payload)
            if size > MAX_RESPONSE_BYTES:
                raise Failure(BAD_ANSWER, 'the answer is too long')
        return b''.join(parts)

    async def _relay_events(
        self,
        conn: Connection,
        head: Head,
        body: BodyReader,
    ) -> Attempt:
        """Relay complete events until the body ends."""
        if self._context.header_names.seal not in head.headers:
            raise Failure(BAD_ANSWER, 'the stream is not signed')
        sink = self._make_sink(conn, body)
        while not body.finished:
            is_open = await self._pump(conn, sink)
            await self._pass_first_events(head)
            if not is_open:
                await _end_by_close(conn, body)
            await self._reply.drain()
            if self._relay.overflowing:
                raise Failure(BAD_ANSWER, 'the stream is no stream of events')
        if self._relay.holds_part or self._ends_before_an_event(body):
            raise Failure(ENDPOINT_FAILED, 'the answer is cut', broke=True)
        if not self._reply.started:
            self._start_reply(head)
        return Attempt(Verdict.RAN, Outcome.DONE, passed_on=True)

    def _ends_before_an_event(self, body: BodyReader) -> bool:
        """Return whether only a closed connection ended an empty stream."""
        return body.unframed and self.first_byte_at is None

    async def _pump(self, conn: Connection, sink: Sink) -> bool:
        """Relay events until the sink stops; return whether more can come.

        A stalled endpoint is abandoned only if another one can continue.
        """
        try:
            return await conn.pump(sink, self._event_timeout())
        except TimeoutError:
            if self._hooks.may_fail_over():
                raise
        return True

    def _event_timeout(self) -> float:
        """Return how long the endpoint may send no event, in seconds."""
        left = self._job.deadline - self._loop.time()
        timeout = min(
            self.stall_timeout,
            max(self.min_stall_timeout, left * STALL_TIMEOUT_FRACTION),
        )
        if self.first_byte_at is None:
            times_out_at = self._started_at + self.first_byte_timeout
            timeout = max(
                MIN_STALL_CHECK_SECONDS, times_out_at - self._loop.time()
            )
        return min(timeout, _MAX_WAIT_SECONDS)

    def _make_sink(
        self,
        conn: Connection,
        body: BodyReader,
    ) -> Sink:
        """Return a sink that relays the bytes of a body as events."""
        feed_body = body.feed
        feed_relay = self._relay.feed
        reply = self._reply

        def relay(content: bytes) -> bool:
            events = feed_relay(feed_body(content))
            goes_on = not (self._relay.overflowing or body.finished)
            if not events:
                return goes_on
            is_first = self.first_byte_at is None
            if has_data(events):
                conn.mark_progress()
            elif is_first:
                # A reply started by a comment alone could not be resumed.
                return goes_on
            if is_first:
                # The next pump uses the stall timeout.
                self._hold_first(events)
                return False
            return reply.send(events) and goes_on

        return relay

    def _hold_first(self, events: bytes) -> None:
        self._note_first_byte()
        if not self._relay.follows(events):
            raise Failure(
                BAD_ANSWER, 'the stream was not resumed after its last event'
            )
        self._first_events = events

    async def _pass_first_events(self, head: Head) -> None:
        """Pass on the events that the stream has begun with, if it has now."""
        events = self._first_events
        if not events:
            return
        self._first_events = b''
        await self._hooks.before_first_event()
        if not self._reply.started:
            self._start_reply(head)
        self._reply.send(events)

    def _start_reply(self, head: Head) -> None:
        rows = without(end_to_end(head.headers), 'content-length')
        self._reply.start(head.status, rows)

    def _note_first_byte(self) -> None:
        if self.first_byte_at is None:
            self.first_byte_at = self._loop.time()
            self._hooks.on_first_byte()

    def _first_byte_ms(self) -> int:
        if self.first_byte_at is None:
            return -1
        return round((self.first_byte_at - self._started_at) * MS_PER_SECOND)

    def _encode(self) -> bytes:
        """Return the request in the form that is sent to the endpoint."""
        job, names = self._job, self._context.header_names
        left = job.deadline - self._loop.time()
        rows = [
            *job.headers,
            (names.deadline_ms, str(max(1, int(left * MS_PER_SECOND)))),
            (names.expected_endpoint, self._endpoint.name),
        ]
        if job.account:
            rows.append((names.account, job.account))
        if self.prefix_holder_address:
            rows.append((names.fetch_from, self.prefix_holder_address))
        resumed_at = self._relay.last_id.decode('latin-1')
        if resumed_at or job.last_event_id:
            rows.append((names.last_event_id, resumed_at or job.last_event_id))
        if job.body or job.method not in _BODILESS_METHODS:
            rows.append(('Content-Length', str(len(job.body))))
        lines = [f'{job.method} {job.target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in rows)
        head = '\r\n'.join(lines).encode('latin-1', 'replace')
        return b'\r\n\r\n'.join((head, job.body))


OTHER_INCARNATION = Attempt(
    Verdict.NOT_RUN,
    Outcome.BROKEN,
    reason=ENDPOINT_REFUSED,
    detail='another endpoint has the address',
)
ENDPOINT_UNAVAILABLE = Attempt(
    Verdict.NOT_RUN,
    Outcome.UNUSED,
    reason=ENDPOINT_REFUSED,
    detail='the endpoint became unavailable before the request was sent',
)


def _after_resend(attempt: Attempt) -> Attempt:
    """Return a second send's result, given that the first may have run too.

    If the endpoint is gone by then, it did not just close an idle connection:
    it broke while it was processing the request.
    """
    if attempt.verdict is not Verdict.NOT_RUN:
        return attempt
    return replace(
        attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        broke=attempt in {NOT_CONNECTED, OTHER_INCARNATION},
    )


_BODILESS_METHODS = frozenset(('GET', 'HEAD'))
_MAX_WAIT_SECONDS = 3600.0


async def _end_by_close(conn: Connection, body: BodyReader) -> None:
    """Accept a closed connection as the end of a body without other framing.

    An endpoint that resets the connection has broken off, also where it does
    so while the request is still being sent.
    """
    is_end = body.unframed and await conn.wait_sent()
    if not (is_end and body.end_by_close()):
        raise Failure(ENDPOINT_FAILED, 'the answer is cut', broke=True)


def _is_reusable(conn: Connection, head: Head, body: BodyReader) -> bool:
    if body.unframed or body.rest or not body.finished:
        return False
    if 'close' in head.headers.get('Connection', '').lower():
        return False
    _, _, seconds = head.headers.get('Keep-Alive', '').partition('timeout=')
    digits = seconds.partition(',')[0].strip()
    if is_count(digits):
        conn.max_idle = min(conn.max_idle, int(digits) * IDLE_TIMEOUT_FRACTION)
    return True
