"""The HTTP server of a router for callers."""

from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.caller_connections import ConnectionReply
from sesamespoke.intake import Call
from sesamespoke.request_server import Ended, RequestServer, ServerSettings
from sesamespoke.serving.catalog import CallerLimits, Catalog
from sesamespoke.serving.intake import ReadHead, accept, refuse_for_now
from sesamespoke.serving.job import Job
from sesamespoke.serving.serving_call import ServingCall
from sesamespoke.serving.serving_dependencies import ServingDependencies
from sesamespoke.verdicts import Refusal

MS_PER_SECOND = 1000
SHED_LAG_SECONDS = 0.12
"""Event loop lag above which new connections are closed unread.

Serving a request that is this late costs more than a retry at another host.
"""
FIRST_BYTE_ITERATIONS = 4
"""Event loop iterations until the first byte of the response.

The request is read, gets a connection and is sent, and the response is read.
"""
SHED_RETRY_SECONDS = 0.1
"""``Retry-After`` of such a rejection; the retry reaches another host."""


@dataclass(frozen=True, slots=True)
class ServerDependencies:
    """Dependencies of the server that the router provides.

    While ``keeps_connections`` returns true, callers may reuse connections;
    once ``closed`` returns true, requests on connections that are still open
    are rejected. ``lag`` returns the event loop lag in seconds. A host whose
    lag stays high is ``overloaded``: it rejects requests that it can't serve
    in time, on open connections too, because another host still can.
    """

    serving: ServingDependencies
    catalog: Callable[[], Catalog | None]
    read_head: ReadHead
    keeps_connections: Callable[[], bool]
    closed: Callable[[], bool]
    lag: Callable[[], float] = float
    overloaded: Callable[[], bool] = bool


class RoutedServer(RequestServer):
    """Serves requests of callers for routed services."""

    def __init__(self, cfg: ServerSettings, deps: ServerDependencies) -> None:
        """Prepare the server; ``listen`` opens its port."""
        super().__init__(cfg, deps.serving.metrics)
        self._deps = deps

    def max_body_bytes(self) -> int:
        """Return the size of the largest request body that is accepted."""
        catalog = self._deps.catalog()
        limits = catalog.limits if catalog else CallerLimits()
        return limits.body_bytes

    def keeps_connections(self) -> bool:
        """Return whether callers may reuse a connection."""
        return self._deps.keeps_connections()

    def is_shedding(self) -> bool:
        """Return whether new connections are currently closed unread."""
        return self._deps.lag() > SHED_LAG_SECONDS

    def waited(self) -> float:
        """Return how long a request may have waited unread, in seconds."""
        return self._deps.lag()

    async def respond(self, call: Call, reply: ConnectionReply) -> Ended:
        """Return the final response or refusal; None if all was relayed."""
        if self._deps.closed():
            return refuse_for_now()
        head = self._deps.read_head(call)
        job = accept(self._deps.catalog(), call, head)
        if isinstance(job, Job) and self._misses_objective(job):
            job = refuse_for_now(SHED_RETRY_SECONDS)
        if isinstance(job, Refusal):
            self._log_rejected(head.request_id, call, job)
            return job
        return await ServingCall(self._deps.serving, job, reply).serve()

    def _misses_objective(self, job: Job) -> bool:
        """Return whether an overloaded host would miss the latency target."""
        needed = self._deps.lag() * FIRST_BYTE_ITERATIONS
        return self._deps.overloaded() and needed > job.route.objective

    def _log_rejected(
        self,
        request_id: str,
        call: Call,
        refusal: Refusal,
    ) -> None:
        catalog = self._deps.catalog()
        self._deps.serving.log(
            'request_rejected',
            request_id=request_id,
            reason=refusal.reason.code,
            path=call.path,
            lag_ms=round(self._deps.lag() * MS_PER_SECOND),
            catalog=catalog.version if catalog else None,
        )
