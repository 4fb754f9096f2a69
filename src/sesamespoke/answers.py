"""Answers of the router's own: error objects, headers, error events."""

import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from sesamespoke.verdicts import Refusal, Verdict
from sesamespoke.work import REQUEST_ID_HEADER, VERDICT_HEADER

HeaderRows = tuple[tuple[str, str], ...]

JSON_TYPE = 'application/json'
EVENTS_TYPE = 'text/event-stream'
PRIVATE_PREFIX = 'x-sesamespoke-'
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer: status, headers but for framing, and body."""

    status: int
    headers: HeaderRows
    body: bytes


def end_to_end(headers: HTTPHeaders) -> Iterator[tuple[str, str]]:
    """Yield the headers that are meant for the other end."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = HOP_BY_HOP.union(name.strip() for name in named)
    return (
        (name, text)
        for name, text in headers.get_all()
        if name.lower() not in dropped
        and not name.lower().startswith(PRIVATE_PREFIX)
    )


def without(rows: Iterable[tuple[str, str]], *names: str) -> HeaderRows:
    """Return header rows but for those named, given in lower case."""
    return tuple(row for row in rows if row[0].lower() not in names)


def marked(
    rows: Iterable[tuple[str, str]],
    request_id: str,
    verdict: Verdict,
) -> HeaderRows:
    """Return header rows with the request id and the verdict."""
    kept = without(rows, REQUEST_ID_HEADER.lower(), VERDICT_HEADER.lower())
    own = (
        (REQUEST_ID_HEADER, request_id),
        (VERDICT_HEADER, verdict.value),
    )
    return kept + own


def error_object(refusal: Refusal, request_id: str) -> bytes:
    """Return the error object of the chat-completions protocol."""
    reason = refusal.reason
    error = {
        'message': refusal.detail or reason.text,
        'type': reason.kind,
        'code': reason.code,
        'param': None,
        'verdict': refusal.verdict.value,
        'request_id': request_id,
    }
    return json.dumps({'error': error}).encode()


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends a stream that can't be whole."""
    return b''.join((b'data: ', error_object(refusal, request_id), b'\n\n'))


def refusal_answer(
    refusal: Refusal,
    request_id: str,
    *,
    whole_seconds: bool = True,
) -> Answer:
    """Return a refusal as an HTTP answer."""
    rows: list[tuple[str, str]] = [('Content-Type', JSON_TYPE)]
    if refusal.retry_after is not None:
        text = f'{refusal.retry_after:.2f}'
        if whole_seconds:
            text = str(max(1, math.ceil(refusal.retry_after)))
        rows.append(('Retry-After', text))
    return Answer(
        refusal.reason.status,
        marked(rows, request_id, refusal.verdict),
        error_object(refusal, request_id),
    )


def json_answer(content: object, request_id: str) -> Answer:
    """Return a JSON document of the router's own; nothing was run."""
    rows = marked([('Content-Type', JSON_TYPE)], request_id, Verdict.NOT_RUN)
    return Answer(200, rows, json.dumps(content).encode())
