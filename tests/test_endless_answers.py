"""Engines that send what is no answer, without end, until they are cut off."""

import asyncio
import contextlib
from collections.abc import Callable

import pytest
from support_platform import (
    CHUNKED,
    ReceivedRequest,
    RequestHandler,
    Writer,
    chunk,
    event,
    full_response,
    head_bytes,
    respond_ok,
    stream_events,
)
from support_routed import Fleet, run_with_fleet

KIBIBYTE = 1024
MAX_SENT_BYTES = 24 * KIBIBYTE * KIBIBYTE
"""An answer is buffered up to 8 MiB; sockets hold a few more."""
ANSWERED_SECONDS = 1.4
"""Time in which a route of 1.5 s still gets the other engine's answer."""

Begin = Callable[[ReceivedRequest], bytes]


def no_bytes(asked: ReceivedRequest) -> bytes:
    return b''


def begin_headers(asked: ReceivedRequest) -> bytes:
    return head_bytes(asked)[:-2]


def begin_chunked(asked: ReceivedRequest) -> bytes:
    return head_bytes(asked, 200, CHUNKED)


def begin_trailers(asked: ReceivedRequest) -> bytes:
    return begin_chunked(asked) + chunk(b'fine') + b'0\r\n'


def begin_unframed(asked: ReceivedRequest) -> bytes:
    return head_bytes(asked)


def begin_long(asked: ReceivedRequest) -> bytes:
    return head_bytes(asked, 200, 'Content-Length: 900000000000')


def begin_error(asked: ReceivedRequest) -> bytes:
    return head_bytes(asked, 500)


def begin_after_event(asked: ReceivedRequest) -> bytes:
    return begin_chunked(asked) + chunk(event(1))


OTHER_ANSWER = full_response(
    ReceivedRequest('', {'request-attempt-id': 'other'}, b'')
)
IN_HEAD = (
    (no_bytes, b'\0' * KIBIBYTE),
    (no_bytes, b'HTTP/1.1 100 Continue\r\n\r\n'),
    (no_bytes, OTHER_ANSWER),
    (begin_headers, b'X-More: of the same\r\n'),
    (begin_headers, b'\xff' * KIBIBYTE),
)
IN_BODY = (
    (begin_chunked, b'\xff' * KIBIBYTE),
    (begin_chunked, chunk(b'\xff' * KIBIBYTE)),
    (begin_chunked, b'400;' + b'x' * KIBIBYTE),
    (begin_trailers, b'X-More: of the same\r\n'),
    (begin_unframed, b'\xff' * KIBIBYTE),
    (begin_long, b'\xff' * KIBIBYTE),
    (begin_error, b'\xff' * KIBIBYTE),
)
IN_STREAM = (
    (begin_chunked, chunk(b': still here\n\n')),
    (begin_chunked, chunk(b'\n\n')),
    (begin_chunked, chunk(b'i')),
    (begin_unframed, b': still here\n\n'),
    (begin_after_event, chunk(b': still here\n\n')),
    (begin_after_event, chunk(b'\xff' * KIBIBYTE)),
    (begin_after_event, b'\xff' * KIBIBYTE),
)


class EndlessEngines:
    """Engines of which the first one asked never ends its answer."""

    def __init__(
        self, begin: Begin, repeated: bytes, answer: RequestHandler
    ) -> None:
        self.sent_bytes = 0
        self.endless_requests = 0
        self.always = False
        self._begin = begin
        self._block = repeated * (1 + 16 * KIBIBYTE // len(repeated))
        self._answer = answer

    async def serve(self, asked: ReceivedRequest, writer: Writer) -> None:
        if self.endless_requests and not self.always:
            await self._answer(asked, writer)
            return
        self.endless_requests += 1
        writer.write(self._begin(asked))
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(self._block)
                self.sent_bytes += len(self._block)
                await writer.drain()


@pytest.mark.parametrize(('begin', 'repeated'), [*IN_HEAD, *IN_BODY])
def test_endless_bytes_are_cut_off_and_another_engine_answers(
    begin: Begin, repeated: bytes
) -> None:
    engines = EndlessEngines(begin, repeated, respond_ok)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'desk', engines.serve)
        async with asyncio.timeout(ANSWERED_SECONDS):
            answered = await (await fleet.connect()).request('/l/1')
        assert (answered.status, answered.body) == (200, b'fine')
        assert engines.sent_bytes < MAX_SENT_BYTES

    run_with_fleet(steps)


@pytest.mark.parametrize(('begin', 'repeated'), [*IN_HEAD, *IN_BODY])
def test_endless_bytes_for_a_request_that_may_run_once_end_in_a_failure(
    begin: Begin, repeated: bytes
) -> None:
    engines = EndlessEngines(begin, repeated, respond_ok)
    engines.always = True

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', engines.serve)
        async with asyncio.timeout(ANSWERED_SECONDS):
            answered = await (await fleet.connect()).request('/l/book/1')
        assert answered.status in {502, 504}
        assert answered.head.headers.get('Response-Seal') is None
        assert engines.endless_requests == 1
        assert engines.sent_bytes < MAX_SENT_BYTES

    run_with_fleet(steps)


@pytest.mark.parametrize(
    ('begin', 'repeated'), [*IN_HEAD, *IN_BODY, *IN_STREAM]
)
def test_endless_bytes_in_a_stream_are_cut_off_and_another_engine_goes_on(
    begin: Begin, repeated: bytes
) -> None:
    engines = EndlessEngines(begin, repeated, stream_events)

    async def steps(fleet: Fleet) -> None:
        for name in ('i-1', 'i-2'):
            await fleet.add_engine(name, 'llm', engines.serve)
        answered = await (await fleet.connect()).request('/s/1')
        assert answered.is_complete
        events = answered.body.replace(b': still here\n\n', b'')
        assert events == event(1) + event(2) + event(3)
        assert engines.sent_bytes < MAX_SENT_BYTES

    run_with_fleet(steps)


@pytest.mark.parametrize(('begin', 'repeated'), IN_STREAM)
def test_endless_bytes_in_the_only_stream_end_in_a_failure(
    begin: Begin, repeated: bytes
) -> None:
    engines = EndlessEngines(begin, repeated, stream_events)
    engines.always = True

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'llm', engines.serve)
        answered = await (await fleet.connect()).request('/s/1')
        has_begun = answered.status == 200
        assert answered.status == 502 or has_begun
        assert not (has_begun and answered.is_complete)
        assert engines.sent_bytes < MAX_SENT_BYTES

    run_with_fleet(steps)


def test_endless_bytes_after_a_complete_answer_do_not_spoil_it() -> None:
    engines = EndlessEngines(full_response, b'\xff' * KIBIBYTE, respond_ok)

    async def steps(fleet: Fleet) -> None:
        await fleet.add_engine('i-1', 'desk', engines.serve)
        answered = await (await fleet.connect()).request('/l/1')
        assert (answered.status, answered.body) == (200, b'fine')
        answered = await (await fleet.connect()).request('/l/1')
        assert (answered.status, answered.body) == (200, b'fine')
        assert engines.sent_bytes < MAX_SENT_BYTES

    run_with_fleet(steps)
