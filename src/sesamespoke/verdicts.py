"""Verdicts on attempts, and the refusals that callers are given."""

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Whether a request may have run at an endpoint."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'


@dataclass(frozen=True, slots=True)
class Reason:
    """A sentinel that tells why a request got no ordinary answer.

    ``code`` is the stable machine-readable name, ``status`` the HTTP status
    and ``kind`` the error type of the chat-completions protocol.
    """

    code: str
    status: int
    kind: str
    text: str


UNKNOWN_KEY = Reason(
    'invalid_api_key',
    401,
    'invalid_request_error',
    'the API key is unknown',
)
UNKNOWN_SERVICE = Reason(
    'model_not_found',
    404,
    'invalid_request_error',
    'no such model or path is configured',
)
METHOD_NOT_ALLOWED = Reason(
    'method_not_allowed',
    405,
    'invalid_request_error',
    'the service does not accept this method on this path',
)
BAD_REQUEST = Reason(
    'bad_request',
    400,
    'invalid_request_error',
    'the request cannot be read',
)
BODY_TOO_LARGE = Reason(
    'body_too_large',
    413,
    'invalid_request_error',
    'the body is larger than the service accepts',
)
TOO_MANY_BODIES = Reason(
    'too_many_bodies',
    503,
    'server_error',
    'the host has no memory for the body now',
)
KEY_REQUIRED = Reason(
    'idempotency_key_required',
    400,
    'invalid_request_error',
    'this call must carry its idempotency key',
)
KEY_REUSED = Reason(
    'idempotency_key_reused',
    422,
    'invalid_request_error',
    'the idempotency key belongs to a different request',
)
IN_PROGRESS = Reason(
    'idempotent_call_in_progress',
    409,
    'conflict_error',
    'a call with this idempotency key is in progress',
)
OUTCOME_UNKNOWN = Reason(
    'outcome_unknown',
    409,
    'conflict_error',
    'an earlier call with this key may have run; it is not run again',
)
ANSWER_NOT_KEPT = Reason(
    'answer_not_kept',
    409,
    'conflict_error',
    'an earlier call with this key ran, but its answer was not kept',
)
CLAIMS_UNAVAILABLE = Reason(
    'claims_unavailable',
    503,
    'server_error',
    'the store that guards against repeats does not answer',
)
TOO_MANY_WAITING = Reason(
    'too_many_waiting',
    429,
    'rate_limit_error',
    'too many requests of this account are waiting',
)
DEADLINE_PASSED = Reason(
    'deadline_passed',
    504,
    'server_error',
    'the deadline passed before an endpoint was free',
)
TIMED_OUT = Reason(
    'timed_out',
    504,
    'server_error',
    'the endpoint did not answer before the deadline',
)
ENDPOINT_FAILED = Reason(
    'endpoint_failed',
    502,
    'server_error',
    'the endpoint failed before it answered in full',
)
ENDPOINT_REFUSED = Reason(
    'endpoint_refused',
    503,
    'server_error',
    'the endpoint took no more work',
)
BAD_ANSWER = Reason(
    'bad_answer',
    502,
    'server_error',
    'the endpoint sent an answer that does not belong to the request',
)
QUARANTINED = Reason(
    'request_quarantined',
    422,
    'invalid_request_error',
    'this request has crashed endpoints and is refused',
)
NOT_READY = Reason(
    'not_ready',
    503,
    'server_error',
    'this entry host has no configuration yet or is leaving',
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer to a caller in place of an endpoint's.

    ``retry_after`` is in seconds; ``detail`` is shown to the caller.
    """

    reason: Reason
    verdict: Verdict
    detail: str = ''
    retry_after: float | None = None
