"""The callers' server of routed services, and the pages beside it."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from sesamespoke.answers import Answer
from sesamespoke.caller_connections import ConnectionReply
from sesamespoke.intake import Call
from sesamespoke.request_server import Ended, RequestServer, ServerSettings
from sesamespoke.serving.catalog import CallerLimits, Catalog
from sesamespoke.serving.intake import ReadHead, accept, refuse_for_now
from sesamespoke.serving.job import Job
from sesamespoke.serving.serving_call import ServingCall, ServingDependencies
from sesamespoke.settings import Address
from sesamespoke.verdicts import Refusal

MS_PER_SECOND = 1000
SHED_LAG = 0.12
"""Seconds; to serve what comes so late costs more than the next host does."""
TURNS = 4
"""Turns of the loop until a request has its first byte: it is read, has a
connection, is sent, and its answer is read."""
SHED_RETRY_SECONDS = 0.1
"""A caller that comes back reaches another host."""


@dataclass(frozen=True, slots=True)
class ServerParts:
    """What the server needs of the router.

    While it ``keeps`` connections, callers may use them again; once it has
    ``closed``, requests on connections that are still open are refused.
    ``lag`` is how late the event loop is, in seconds. A host that goes on
    being late is ``overloaded``: it refuses what it can't serve in time, on
    open connections too, since the next host still can.
    """

    serving: ServingDependencies
    catalog: Callable[[], Catalog | None]
    read_head: ReadHead
    keeps: Callable[[], bool]
    closed: Callable[[], bool]
    lag: Callable[[], float] = float
    overloaded: Callable[[], bool] = bool


class RoutedServer(RequestServer):
    """Serves the callers of routed services."""

    def __init__(self, cfg: ServerSettings, parts: ServerParts) -> None:
        """Prepare the server; ``listen`` opens its port."""
        super().__init__(cfg, parts.serving.metrics)
        self._parts = parts

    def max_body_bytes(self) -> int:
        """Return the largest body that is accepted."""
        catalog = self._parts.catalog()
        limits = catalog.limits if catalog else CallerLimits()
        return limits.body_bytes

    def keeps_connections(self) -> bool:
        """Return whether callers may use a connection again."""
        return self._parts.keeps()

    def is_shedding(self) -> bool:
        """Return whether new connections are closed unread for now."""
        return self._parts.lag() > SHED_LAG

    def waited(self) -> float:
        """Return for how long a request may have lain unread, in seconds."""
        return self._parts.lag()

    async def respond(self, call: Call, reply: ConnectionReply) -> Ended:
        """Return what ends a call; None if all of it was passed on."""
        if self._parts.closed():
            return refuse_for_now()
        head = self._parts.read_head(call)
        job = accept(self._parts.catalog(), call, head)
        if isinstance(job, Job) and self._comes_too_late(job):
            job = refuse_for_now(SHED_RETRY_SECONDS)
        if isinstance(job, Refusal):
            self._tell_refused(head.request_id, call, job)
            return job
        return await ServingCall(self._parts.serving, job, reply).serve()

    def _comes_too_late(self, job: Job) -> bool:
        """Return whether this host is too slow to meet an objective."""
        needed = self._parts.lag() * TURNS
        return self._parts.overloaded() and needed > job.route.objective

    def _tell_refused(
        self,
        request_id: str,
        call: Call,
        refusal: Refusal,
    ) -> None:
        catalog = self._parts.catalog()
        self._parts.serving.log(
            'request_rejected',
            request_id=request_id,
            reason=refusal.reason.code,
            path=call.path,
            lag_ms=round(self._parts.lag() * MS_PER_SECOND),
            catalog=catalog.version if catalog else None,
        )


Page = Callable[[HTTPServerRequest], Answer]


class PageServer:
    """Answers short requests with pages that are ready at once."""

    def __init__(self, address: Address, page: Page) -> None:
        """Prepare the server; ``listen`` opens its port."""
        self._address = address
        self._page = page
        self._server = HTTPServer(self._answer)

    def listen(self) -> None:
        """Open the port."""
        sockets = bind_sockets(self._address.port, self._address.ip)
        self._address = replace(self._address, port=sockets[0].getsockname()[1])
        self._server.add_sockets(sockets)

    @property
    def port(self) -> int:
        """Return the port, once it is open."""
        return self._address.port

    def close(self) -> None:
        """Close the port."""
        self._server.stop()

    def _answer(self, request: HTTPServerRequest) -> None:
        answer = self._page(request)
        headers = HTTPHeaders(dict(answer.headers))
        headers['Content-Length'] = str(len(answer.body))
        line = ResponseStartLine('HTTP/1.1', answer.status, '')
        conn = request.connection
        if conn is not None:
            conn.write_headers(line, headers, answer.body)
            conn.finish()
