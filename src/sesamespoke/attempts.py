"""What one attempt sends, where to, and the result that it brings."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import urlsplit

from sesamespoke.answers import Answer, HeaderRows
from sesamespoke.events import EventRelay
from sesamespoke.limits import Outcome
from sesamespoke.verdicts import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    TIMED_OUT,
    Reason,
    Verdict,
)
from sesamespoke.work import REQUEST_ID_HEADER, Usage, Work

ACCOUNT_HEADER = 'X-Sesamespoke-Account'
RESUME_HEADER = 'Last-Event-ID'
BUSY_STATUSES = frozenset((429, 502, 503, 504))


class Reply(Protocol):
    """The way back to one caller."""

    started: bool

    def start(self, status: int, headers: HeaderRows) -> None:
        """Send the head."""

    def send(self, content: bytes) -> bool:
        """Send a part of the body; return whether the caller took it."""

    async def drain(self) -> None:
        """Wait until the caller has taken all that was sent."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """What came of one attempt.

    ``answer`` is a whole answer not yet passed on; ``passed_on`` tells
    that a whole answer went to the caller. Otherwise ``reason`` tells what
    failed. ``broke`` tells that the connection ended during the request,
    ``last_id`` where a cut stream can be resumed.
    """

    verdict: Verdict
    outcome: Outcome
    answer: Answer | None = None
    passed_on: bool = False
    reason: Reason | None = None
    detail: str = ''
    usage: Usage = Usage()
    first_token_ms: int = -1
    broke: bool = False
    last_id: bytes = b''


@dataclass(frozen=True, slots=True)
class Target:
    """Where an attempt goes, and the stream that it continues.

    ``may_send`` is asked when a connection stands, before the first byte, and
    ``may_resend`` before the request goes out once more because a kept
    connection had closed: the endpoint may have got it.
    """

    endpoint_name: str
    url: str
    relay: EventRelay
    may_send: Callable[[], bool] = lambda: True
    may_resend: Callable[[], bool] = bool


class Failure(Exception):
    """Ends an exchange early; never leaves the attempt."""

    def __init__(
        self,
        reason: Reason,
        detail: str,
        *,
        broke: bool = False,
    ) -> None:
        """Keep what the attempt will state."""
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.broke = broke


NOT_CONNECTED = Attempt(
    Verdict.NOT_RUN,
    Outcome.BROKEN,
    reason=ENDPOINT_FAILED,
    detail='the endpoint takes no connection',
)
NOT_SENT = Attempt(
    Verdict.NOT_RUN,
    Outcome.UNUSED,
    reason=DEADLINE_PASSED,
    detail='the time to send the request has passed',
)


STALE = Attempt(
    Verdict.MAY_HAVE_RUN,
    Outcome.BROKEN,
    reason=ENDPOINT_FAILED,
    detail='a kept connection had closed',
    broke=True,
)


def failed(failure: Failure, usage: Usage, last_id: bytes) -> Attempt:
    """Return the result of an exchange that ended early."""
    late = failure.reason is TIMED_OUT
    return Attempt(
        Verdict.MAY_HAVE_RUN,
        Outcome.LATE if late else Outcome.BROKEN,
        reason=failure.reason,
        detail=failure.detail,
        usage=usage,
        broke=failure.broke,
        last_id=last_id,
    )


def concluded(work: Work, answer: Answer, usage: Usage) -> Attempt:
    """Return the result of an exchange that brought a whole answer."""
    if answer.status in work.service.contract.not_run_statuses:
        return _refused(Verdict.NOT_RUN, answer)
    if answer.status in BUSY_STATUSES:
        return _refused(Verdict.MAY_HAVE_RUN, answer)
    return Attempt(Verdict.RAN, Outcome.DONE, answer=answer, usage=usage)


def _refused(verdict: Verdict, answer: Answer) -> Attempt:
    return Attempt(
        verdict,
        Outcome.REFUSED,
        answer=answer,
        reason=ENDPOINT_REFUSED,
    )


def encode_request(work: Work, target: Target) -> bytes:
    """Return the bytes of the request as the endpoint gets them."""
    rows = [
        ('Host', urlsplit(target.url).netloc),
        (REQUEST_ID_HEADER, work.request_id),
        (ACCOUNT_HEADER, work.account),
        *work.headers.items(),
    ]
    if work.body or work.method not in {'GET', 'HEAD'}:
        rows.append(('Content-Length', str(len(work.body))))
    if target.relay.last_id:
        rows.append((RESUME_HEADER, target.relay.last_id.decode('latin-1')))
    lines = [f'{work.method} {work.path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in rows)
    head = '\r\n'.join(lines).encode('latin-1', 'replace')
    return b'\r\n\r\n'.join((head, work.body))
