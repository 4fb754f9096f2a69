"""HTTP servers of a router for its readiness and its metrics."""

from collections.abc import Callable
from dataclasses import replace

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from sesamespoke.answers import Answer
from sesamespoke.serving.settings import ServingSettings
from sesamespoke.settings import Address

OK = 200
UNAVAILABLE = 503
METRICS_TYPE = 'text/plain; version=0.0.4'
PageHandler = Callable[[], Answer]


class PageServer:
    """Serves one page, which is available at once."""

    def __init__(self, address: Address, page: PageHandler) -> None:
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
        answer = self._page()
        headers = HTTPHeaders(dict(answer.headers))
        headers['Content-Length'] = str(len(answer.body))
        line = ResponseStartLine('HTTP/1.1', answer.status, '')
        conn = request.connection
        if conn is not None:
            conn.write_headers(line, headers, answer.body)
            conn.finish()


def open_pages(
    cfg: ServingSettings,
    is_ready: Callable[[], bool],
    scrape: Callable[[], bytes],
) -> tuple[PageServer, PageServer]:
    """Return the servers of readiness and of metrics, not listening yet."""

    def report_ready() -> Answer:
        return Answer(OK if is_ready() else UNAVAILABLE, (), b'')

    def report_metrics() -> Answer:
        return Answer(OK, (('Content-Type', METRICS_TYPE),), scrape())

    return (
        PageServer(cfg.ready, report_ready),
        PageServer(cfg.metrics, report_metrics),
    )
