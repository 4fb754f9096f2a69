"""The functions that roles have registered for messages."""

from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import structlog

from sesamespoke.links import Handler, MessageT
from sesamespoke.messages import Message

_Handlers: TypeAlias = list[Handler[Any]]

log = structlog.get_logger()


def call_all(handlers: Iterable[Callable[..., None]], *args: object) -> None:
    """Call each handler; an error in one is logged and harms no other."""
    for handler in tuple(handlers):
        try:
            handler(*args)
        except Exception:
            log.exception('handler_failed', handler=repr(handler))


class Subscribers:
    """Handlers by class of message, and of renewed paths."""

    def __init__(self) -> None:
        """Begin without any handler."""
        self._handlers: dict[Any, _Handlers] = {}
        self._reconnected: list[Callable[[str], None]] = []

    def add(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Call ``handler(sender, message)`` for messages of one kind."""
        self._handlers.setdefault(kind, []).append(handler)

    def add_reconnected(self, handler: Callable[[str], None]) -> None:
        """Call ``handler(host)`` when the path to a host is new."""
        self._reconnected.append(handler)

    def deliver(self, host: str, message: Message) -> None:
        """Hand a message to its handlers, whose errors harm no stream."""
        call_all(self._handlers.get(type(message), ()), host, message)

    def reconnected(self, host: str) -> None:
        """Tell that the path to a host is new."""
        call_all(self._reconnected, host)
