"""Validates a caller's request against the catalog and creates its job."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.answers import HeaderRows
from sesamespoke.intake import Call, refuse
from sesamespoke.serving.catalog import Catalog, Tenancy, choose_service
from sesamespoke.serving.job import Job, Prompt, find_stream_id
from sesamespoke.verdicts import (
    NOT_READY,
    UNKNOWN_KEY,
    UNKNOWN_SERVICE,
    Refusal,
)

DIGEST_BYTES = 16
NOT_READY_RETRY_SECONDS = 1.0
"""Seconds in which a starting router usually loads its configuration."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the router reads from the headers of a request.

    ``headers`` are forwarded to the endpoint unchanged. ``timeout`` is how
    long the caller waits for the response, in seconds; None if not stated.
    """

    request_id: str
    host: str
    api_key: str
    timeout: float | None
    prompt: Prompt
    last_event_id: str
    resumed_id: str
    headers: HeaderRows


ReadHead = Callable[[Call], RequestHead]


def accept(
    catalog: Catalog | None, call: Call, head: RequestHead
) -> Job | Refusal:
    """Return the job for a call, or the refusal to send to the caller."""
    if catalog is None:
        return refuse_for_now()
    route = catalog.find_route(head.host, call.path)
    if route is None:
        return refuse(UNKNOWN_SERVICE)
    tenancy = catalog.keys.get(head.api_key) if head.api_key else None
    if tenancy is None and not route.public:
        return refuse(UNKNOWN_KEY)
    if route.public or tenancy is None:
        tenancy = Tenancy('')
    timeout = route.timeout
    if head.timeout is not None:
        timeout = min(timeout, head.timeout)
    priority = route.priority if tenancy.priority is None else tenancy.priority
    return Job(
        head.request_id,
        tenancy.account,
        choose_service(
            route,
            find_stream_id(
                head.request_id, head.last_event_id, head.resumed_id
            ),
        ),
        route,
        call.method,
        call.target,
        head.headers,
        call.body,
        call.arrived_at,
        call.arrived_at + timeout,
        _digest_of(call, tenancy.account),
        priority,
        head.prompt,
        head.last_event_id,
        head.resumed_id,
    )


def refuse_for_now(
    retry_after: float = NOT_READY_RETRY_SECONDS,
) -> Refusal:
    """Return the refusal of a router that is temporarily unable to serve."""
    refusal = refuse(NOT_READY)
    return Refusal(refusal.reason, refusal.verdict, retry_after=retry_after)


def _digest_of(call: Call, account: str) -> bytes:
    """Return a digest that is the same for every repeat of a request."""
    hasher = hashlib.blake2b(
        f'{call.method} {call.target}\n{account}\n'.encode(),
        digest_size=DIGEST_BYTES,
    )
    hasher.update(call.body)
    return hasher.digest()
