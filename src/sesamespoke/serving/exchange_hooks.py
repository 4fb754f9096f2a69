"""What an attempt at an endpoint asks and tells while it runs."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


def _always() -> bool:
    """Allow what is asked for."""
    return True


def _never() -> bool:
    """Forbid what is asked for."""
    return False


def _ignore(*details: object) -> None:
    """Do nothing."""


async def _pass_at_once() -> None:
    """Hold nothing back."""


@dataclass(frozen=True, slots=True)
class ExchangeHooks:
    """Functions that an attempt calls.

    - ``may_send`` once a connection is open, before the first byte is sent;
    - ``may_resend`` before the request is sent a second time because a reused
      connection had been closed;
    - ``may_fail_over`` when a stream has sent no event for too long: it tells
      whether another endpoint can continue the stream;
    - ``on_first_byte`` when the body of any answer begins, an error's too;
    - ``before_first_event`` when the first event of a stream has come: its
      caller gets it once this returns;
    - ``on_leaving`` when the endpoint answers that it is leaving;
    - ``on_backoff`` when it wants no request for some seconds;
    - ``on_rate_limit`` with each answer: the limit that it names, or None, and
      when the request was sent.
    """

    may_send: Callable[[], bool] = _always
    may_resend: Callable[[], bool] = _never
    may_fail_over: Callable[[], bool] = _always
    on_first_byte: Callable[[], None] = _ignore
    before_first_event: Callable[[], Awaitable[None]] = _pass_at_once
    on_leaving: Callable[[], None] = _ignore
    on_backoff: Callable[[float], None] = _ignore
    on_rate_limit: Callable[[str | None, float | None], None] = _ignore
