"""The headers of the platform's callers and engines."""

from tornado.httputil import HTTPHeaders

from sesamespoke.answers import end_to_end, without
from sesamespoke.checked_fields import is_count
from sesamespoke.intake import Call
from sesamespoke.serving.exchange import HeaderNames
from sesamespoke.serving.intake import RequestHead
from sesamespoke.serving.job import Prompt, PromptPart

MS_PER_SECOND = 1000
KEY_SCHEME = 'bearer'
LENGTH_HINT = 'Length-Hint'
TOKEN_COUNTS = 'Token-Counts'
PROMPT_PREFIX = 'Prompt-Prefix'

NAMES = HeaderNames(
    request_id='Request-Attempt-Id',
    deadline_ms='Deadline-Ms',
    expected_endpoint='Expect-Instance',
    account='Tenant',
    last_event_id='Last-Event-Id',
    seal='Response-Seal',
    not_run='Not-Executed',
    fetch_from='Kv-Fetch',
)

NOT_FORWARDED = (
    'authorization',
    'content-length',
    'expect',
    'deadline-ms',
    'expect-instance',
    'expect-version',
    'tenant',
    'last-event-id',
    'hold',
    'pin-ms',
    'kv-backup',
    'kv-from',
    'kv-fetch',
)
"""Headers that the router sets itself, or that must not pass."""


def read_head(call: Call) -> RequestHead:
    """Return what the headers of a call tell."""
    headers = call.headers
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    return RequestHead(
        request_id=headers.get(NAMES.request_id, call.request_id),
        host=headers.get('Host', ''),
        api_key=key.strip() if scheme.lower() == KEY_SCHEME else '',
        timeout=_read_patience(headers),
        prompt=_read_prompt(headers),
        last_event_id=headers.get(NAMES.last_event_id, ''),
        headers=without(end_to_end(headers), *NOT_FORWARDED),
    )


def _read_patience(headers: HTTPHeaders) -> float | None:
    text = headers.get(NAMES.deadline_ms, '')
    return int(text) / MS_PER_SECOND if is_count(text) else None


def _read_prompt(headers: HTTPHeaders) -> Prompt:
    """Return the prompt; ``Token-Counts`` is what is read, and at most made."""
    read, _, made = headers.get(TOKEN_COUNTS, '').partition(',')
    if not (is_count(read) and is_count(made)):
        return _NO_PROMPT
    hint = headers.get(LENGTH_HINT, '')
    return Prompt(
        tuple(_read_parts(headers.get(PROMPT_PREFIX, ''))),
        int(read),
        int(made),
        int(hint) if is_count(hint) else 0,
    )


def _read_parts(text: str) -> list[PromptPart]:
    """Return the parts of a prompt, ``ID:TOKENS`` each."""
    parts: list[PromptPart] = []
    for row in text.split(','):
        name, _, tokens = row.strip().partition(':')
        if name and is_count(tokens):
            parts.append(PromptPart(name, int(tokens)))
    return parts


_NO_PROMPT = Prompt()
