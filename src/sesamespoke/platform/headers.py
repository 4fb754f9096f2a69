"""Header names of the platform, and the decoding of request headers."""

from tornado.httputil import HTTPHeaders

from sesamespoke.answers import end_to_end, without
from sesamespoke.checked_fields import is_count
from sesamespoke.intake import Call
from sesamespoke.serving.exchange import HeaderNames
from sesamespoke.serving.intake import RequestHead
from sesamespoke.serving.job import Prompt, PromptPart

MS_PER_SECOND = 1000
AUTH_SCHEME = 'bearer'
LENGTH_HINT = 'Length-Hint'
TOKEN_COUNTS = 'Token-Counts'
PROMPT_PREFIX = 'Prompt-Prefix'
RESUMES = 'Resumes'

HEADER_NAMES = HeaderNames(
    request_id='Request-Attempt-Id',
    deadline_ms='Deadline-Ms',
    expected_endpoint='Expect-Instance',
    account='Tenant',
    last_event_id='Last-Event-Id',
    seal='Response-Seal',
    not_run='Not-Executed',
    leaving='Server-Leaving',
    rate_limit='Server-Limit',
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
"""Request headers that the router sets itself or must not forward."""


def read_head(call: Call) -> RequestHead:
    """Return the decoded headers of a caller's request."""
    headers = call.headers
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    return RequestHead(
        request_id=headers.get(HEADER_NAMES.request_id, call.request_id),
        host=headers.get('Host', ''),
        api_key=key.strip() if scheme.lower() == AUTH_SCHEME else '',
        timeout=_read_timeout(headers),
        prompt=_read_prompt(headers),
        last_event_id=headers.get(HEADER_NAMES.last_event_id, ''),
        resumed_id=headers.get(RESUMES, ''),
        headers=without(end_to_end(headers), *NOT_FORWARDED),
    )


def _read_timeout(headers: HTTPHeaders) -> float | None:
    text = headers.get(HEADER_NAMES.deadline_ms, '')
    return int(text) / MS_PER_SECOND if is_count(text) else None


def _read_prompt(headers: HTTPHeaders) -> Prompt:
    """Return the prompt; an empty one without valid ``Token-Counts``.

    ``Token-Counts`` is ``INPUT,MAX_OUTPUT``; ``Length-Hint`` is the caller's
    estimate of the output tokens.
    """
    input_tokens, _, max_output = headers.get(TOKEN_COUNTS, '').partition(',')
    if not (is_count(input_tokens) and is_count(max_output)):
        return _EMPTY_PROMPT
    hint = headers.get(LENGTH_HINT, '')
    return Prompt(
        tuple(_read_parts(headers.get(PROMPT_PREFIX, ''))),
        int(input_tokens),
        int(max_output),
        int(hint) if is_count(hint) else 0,
    )


def _read_parts(text: str) -> list[PromptPart]:
    """Return the parts of a prompt, written as ``ID:TOKENS,ID:TOKENS``."""
    parts: list[PromptPart] = []
    for row in text.split(','):
        name, _, tokens = row.strip().partition(':')
        if name and is_count(tokens):
            parts.append(PromptPart(name, int(tokens)))
    return parts


_EMPTY_PROMPT = Prompt()
