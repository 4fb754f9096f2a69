"""How the body of an endpoint's answer reaches the caller."""

import asyncio
from collections.abc import Callable

from sesamespoke.answers import EVENTS_TYPE, Answer, end_to_end, without
from sesamespoke.attempts import Attempt, Failure, Reply, concluded
from sesamespoke.endpoint_connections import Connection, Sink
from sesamespoke.events import EventRelay, has_data, read_usage
from sesamespoke.framing import BodyReader, Head
from sesamespoke.limits import Outcome
from sesamespoke.verdicts import BAD_ANSWER, ENDPOINT_FAILED, Verdict
from sesamespoke.work import Usage, Work
from sesamespoke.world import ServiceKind

MAX_ANSWER_BYTES = 8_388_608
BUFFERED_BYTES = 262_144
METERED_EVENTS = 64
OK = 200


class AnswerSource:
    """The answer to one request, as it comes in."""

    def __init__(
        self,
        work: Work,
        head: Head,
        conn: Connection,
        note_progress: Callable[[], None],
    ) -> None:
        """Begin after the head."""
        self.work = work
        self.head = head
        self.body = BodyReader(head, work.method)
        self.note_progress = note_progress
        self._conn = conn

    async def next_payload(self) -> bytes:
        """Return the next bytes of the body."""
        content = await self._conn.read()
        if not content:
            raise Failure(ENDPOINT_FAILED, 'the answer is cut', broke=True)
        return self.body.feed(content)

    def mark_event(self, events: bytes) -> None:
        """Take whole events for progress, but for mere comments."""
        if has_data(events):
            self._conn.mark_progress()

    async def pump(self, sink: Sink) -> None:
        """Pass what comes to a sink until it asks for a pause."""
        silence = self.work.service.deadline_seconds
        if not await self._conn.pump(sink, silence):
            raise Failure(ENDPOINT_FAILED, 'the answer is cut', broke=True)

    async def next_in_time(self) -> bytes:
        """Return the next bytes, after no longer a silence than allowed."""
        async with asyncio.timeout(self.work.service.deadline_seconds):
            return await self.next_payload()

    def is_stream(self) -> bool:
        """Return whether the answer is a stream of a language service."""
        kind = self.head.headers.get('Content-Type', '')
        return (
            self.work.service.kind is ServiceKind.LANGUAGE
            and self.head.status == OK
            and kind.startswith(EVENTS_TYPE)
        )

    def is_passed_on(self) -> bool:
        """Return whether the body goes to the caller as it comes."""
        if self.work.service.kind is ServiceKind.LANGUAGE:
            return False
        if self.head.length is not None:
            return self.head.length > BUFFERED_BYTES
        return 'Transfer-Encoding' in self.head.headers


async def collect(source: AnswerSource) -> Attempt:
    """Keep the answer until it is whole, so that a cut one is not seen."""
    parts: list[bytes] = []
    size = 0
    async with asyncio.timeout_at(source.work.deadline):
        while not source.body.finished:
            payload = await source.next_payload()
            parts.append(payload)
            size += len(payload)
            if size > MAX_ANSWER_BYTES:
                raise Failure(BAD_ANSWER, 'the answer is too long')
    source.note_progress()
    content = b''.join(parts)
    answer = Answer(
        source.head.status,
        tuple(end_to_end(source.head.headers)),
        content,
    )
    usage = Usage()
    if source.work.service.kind is ServiceKind.LANGUAGE:
        usage = read_usage(content) or usage
    return concluded(source.work, answer, usage)


async def pass_on(source: AnswerSource, reply: Reply) -> Attempt:
    """Send a long answer on as it comes; the caller sees if it is cut."""
    source.note_progress()
    reply.start(source.head.status, tuple(end_to_end(source.head.headers)))
    while not source.body.finished:
        payload = await source.next_in_time()
        if payload and not reply.send(payload):
            await reply.drain()
    return Attempt(Verdict.RAN, Outcome.DONE, passed_on=True)


async def pass_events_on(
    source: AnswerSource,
    reply: Reply,
    relay: EventRelay,
    meter: Callable[[Usage], None],
) -> Attempt:
    """Send whole events on until the terminal one.

    Events pass from the endpoint's connection to the caller's with no task
    in between, as long as the caller takes them.
    """
    prompt_bytes = len(source.work.body)
    feed_body = source.body.feed
    feed_relay = relay.feed
    meter_some = _meter_sometimes(relay, meter, prompt_bytes)
    prepared = False

    def take(content: bytes) -> bool:
        nonlocal prepared
        events = feed_relay(feed_body(content))
        if not events:
            return not (relay.overflowing or source.body.finished)
        source.mark_event(events)
        if not prepared:
            _prepare_stream(source, reply, relay, events)
            prepared = True
        goes_on = reply.send(events)
        meter_some()
        return goes_on and not (relay.ended or relay.overflowing)

    while not (relay.ended or source.body.finished):
        await source.pump(take)
        await reply.drain()
        if relay.overflowing:
            raise Failure(BAD_ANSWER, 'the stream is no stream of events')
    if not relay.ended:
        raise Failure(ENDPOINT_FAILED, 'the stream is cut')
    return Attempt(
        Verdict.RAN,
        Outcome.DONE,
        passed_on=True,
        usage=relay.usage(prompt_bytes),
    )


def _meter_sometimes(
    relay: EventRelay,
    meter: Callable[[Usage], None],
    prompt_bytes: int,
) -> Callable[[], None]:
    """Return a function that tells the usage once in some events."""
    metered = relay.count

    def meter_some() -> None:
        nonlocal metered
        if relay.count - metered >= METERED_EVENTS:
            metered = relay.count
            meter(relay.usage(prompt_bytes))

    return meter_some


def _prepare_stream(
    source: AnswerSource,
    reply: Reply,
    relay: EventRelay,
    events: bytes,
) -> None:
    if not relay.follows(events):
        raise Failure(BAD_ANSWER, 'the stream was not continued')
    source.note_progress()
    if not reply.started:
        rows = end_to_end(source.head.headers)
        reply.start(source.head.status, without(rows, 'content-length'))
