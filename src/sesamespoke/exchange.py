"""One attempt at one endpoint, from the first byte sent to the last received.

The result states a verdict. It is ``NOT_RUN`` only where no connection was
made, so that no byte of the request was sent, or where the endpoint said
so by a status that the service's contract trusts.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import replace

from sesamespoke.attempts import (
    NOT_CONNECTED,
    NOT_SENT,
    STALE,
    Attempt,
    Failure,
    Reply,
    Target,
    encode_request,
    failed,
)
from sesamespoke.endpoint_connections import Connection, ConnectionPool
from sesamespoke.framing import FramingError, Head
from sesamespoke.relaying import (
    AnswerSource,
    collect,
    pass_events_on,
    pass_on,
)
from sesamespoke.verdicts import (
    BAD_ANSWER,
    ENDPOINT_FAILED,
    TIMED_OUT,
    Verdict,
)
from sesamespoke.work import REQUEST_ID_HEADER, Usage, Work

MILLISECONDS = 1000


class StaleConnectionError(Exception):
    """A reused connection closed before any byte of the answer."""


class Exchange:
    """The state of one attempt while it runs."""

    def __init__(
        self,
        pool: ConnectionPool,
        work: Work,
        target: Target,
        reply: Reply,
        meter: Callable[[Usage], None],
    ) -> None:
        """Prepare an attempt; nothing is sent yet."""
        self._pool = pool
        self._work = work
        self._target = target
        self._reply = reply
        self._meter = meter
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._first_token_ms = -1
        self._echoes = work.service.contract.echoes_request_id

    async def run(self) -> Attempt:
        """Send the request and return what came of it.

        A connection is reused only for an idempotent request to endpoints
        that echo the request id: an answer that another request left on
        the connection is then seen for what it is.
        """
        may_reuse = self._work.idempotent and self._echoes
        try:
            attempt = await self._try_once(fresh=not may_reuse)
        except StaleConnectionError:
            attempt = await self._send_again()
        seconds = self._loop.time() - self._started_at
        return replace(
            attempt,
            usage=replace(attempt.usage, seconds=seconds),
            first_token_ms=self._first_token_ms,
        )

    def spent(self) -> Usage:
        """Return what has been used so far."""
        seconds = self._loop.time() - self._started_at
        return replace(self._metered(), seconds=seconds)

    async def _send_again(self) -> Attempt:
        """Send once more on a new connection, if the request may go out."""
        if not self._target.may_resend():
            return STALE
        return _follow_stale(await self._try_once(fresh=True))

    async def _try_once(self, *, fresh: bool) -> Attempt:
        conn = await self._pool.take(self._target.url, fresh=fresh)
        if conn is None:
            return NOT_CONNECTED
        with contextlib.ExitStack() as stack:
            stack.callback(conn.close)
            attempt = await self._talk_safely(conn)
            if self._may_keep(conn, attempt):
                stack.pop_all()
                self._pool.put(conn)
        return attempt

    def _may_keep(self, conn: Connection, attempt: Attempt) -> bool:
        return self._echoes and conn.clean and attempt.reason is None

    async def _talk_safely(self, conn: Connection) -> Attempt:
        try:
            return await self._talk(conn)
        except Failure as exc:
            failure = exc
        except FramingError as exc:
            failure = Failure(BAD_ANSWER, str(exc))
        except TimeoutError:
            failure = Failure(TIMED_OUT, '')
        return failed(failure, self._metered(), self._target.relay.last_id)

    async def _talk(self, conn: Connection) -> Attempt:
        if not self._target.may_send():
            return NOT_SENT
        conn.send(encode_request(self._work, self._target))
        async with asyncio.timeout_at(self._head_due_at()):
            head = await conn.read_head()
        if head is None and conn.reused:
            raise StaleConnectionError
        if head is None:
            raise Failure(ENDPOINT_FAILED, 'no answer came', broke=True)
        self._check_owner(head)
        source = AnswerSource(self._work, head, conn, self._note_progress)
        attempt = await self._receive(source)
        closing = head.headers.get('Connection', '').lower() == 'close'
        ended = source.body.finished and not source.body.rest
        conn.clean = ended and not closing
        return attempt

    def _head_due_at(self) -> float:
        """Return the deadline; a stream that has begun has passed it."""
        if self._reply.started:
            return self._loop.time() + self._work.service.deadline_seconds
        return self._work.deadline

    async def _receive(self, source: AnswerSource) -> Attempt:
        if source.is_stream():
            relay = self._target.relay
            return await pass_events_on(
                source,
                self._reply,
                relay,
                self._meter,
            )
        if source.is_passed_on():
            return await pass_on(source, self._reply)
        return await collect(source)

    def _check_owner(self, head: Head) -> None:
        if not self._echoes:
            return
        if head.headers.get(REQUEST_ID_HEADER) != self._work.request_id:
            raise Failure(BAD_ANSWER, 'the answer is to another request')

    def _note_progress(self) -> None:
        if self._first_token_ms < 0:
            delay = self._loop.time() - self._started_at
            self._first_token_ms = round(delay * MILLISECONDS)

    def _metered(self) -> Usage:
        relay = self._target.relay
        return relay.usage(len(self._work.body)) if relay.count else Usage()


def _follow_stale(attempt: Attempt) -> Attempt:
    """Return a second try's result, as the first may have run as well.

    An endpoint that then takes no connection did not close an idle one: it
    broke while it had the request.
    """
    if attempt.verdict is not Verdict.NOT_RUN:
        return attempt
    return replace(
        attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        broke=attempt is NOT_CONNECTED,
    )
