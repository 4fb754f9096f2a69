"""Shares the limits that endpoints name among all routers.

Few routers send requests to an endpoint that has a limit, so that most hear
of a change from others only.
"""

import math

from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.routing_messages import EndpointLimit
from sesamespoke.serving.named_limits import (
    Incarnation,
    NamedLimit,
    NamedLimits,
)
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.serving_dependencies import Log

_MAX_LOGGED_TEXT = 40


class LimitSharing:
    """Tells other routers of changed limits, and applies theirs."""

    def __init__(
        self,
        links: Broadcaster,
        limits: NamedLimits,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Subscribe to changes here and at other routers."""
        self._links: Links = links
        self._broadcast = links.broadcast
        self._limits = limits
        self._metrics = metrics
        self._log = log
        limits.on_change = self._tell
        limits.on_unreadable = self._log_unreadable
        links.subscribe(EndpointLimit, self._hear)
        links.on_reconnected(self._send_all)

    def _tell(self, key: Incarnation, limit: NamedLimit) -> None:
        self._record(key, limit.rate, self._links.host)
        self._broadcast(_message(key, limit))

    def _hear(self, sender: str, message: EndpointLimit) -> None:
        key = (message.endpoint, message.born)
        rate = message.rate if message.is_named else math.inf
        if rate >= 0 and self._limits.adopt(key, message.number, rate):
            self._record(key, rate, sender)

    def _send_all(self, host: str) -> None:
        for key, limit in self._limits:
            self._links.send(host, _message(key, limit))

    def _record(self, key: Incarnation, rate: float, heard_by: str) -> None:
        self._metrics.count('endpoint_limits')
        self._log(
            'endpoint_limit',
            endpoint=key[0],
            rate=None if rate == math.inf else rate,
            heard_by=heard_by,
        )

    def _log_unreadable(self, key: Incarnation, text: str) -> None:
        self._log(
            'endpoint_limit_unreadable',
            endpoint=key[0],
            text=text[:_MAX_LOGGED_TEXT],
        )


def _message(key: Incarnation, limit: NamedLimit) -> EndpointLimit:
    is_named = limit.rate != math.inf
    rate = limit.rate if is_named else 0
    return EndpointLimit(*key, limit.number, is_named, float(rate))
