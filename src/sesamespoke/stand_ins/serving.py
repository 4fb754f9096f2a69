"""The HTTP listener that all stand-ins share; it can be cut off."""

import json
from collections.abc import Callable, Sequence
from typing import Any, cast
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sesamespoke.settings import Address

MAX_BODY_BYTES = 64 * 1024 * 1024

JSONObject = dict[str, Any]
Rule = tuple[str, type[RequestHandler], dict[str, object]]


class Listener:
    """One listening address and the connections that it accepted."""

    def __init__(self) -> None:
        """Create a listener that is not started."""
        self._server: HTTPServer | None = None
        self._app: Application | None = None
        self._streams: WeakSet[IOStream] = WeakSet()
        self.address = Address(ip='127.0.0.1', port=0)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}'

    def start(self, rules: Sequence[Rule], address: Address) -> int:
        """Listen on an address; return the port."""
        self._app = Application(list(rules))
        self.address = address
        self.listen()
        return self.address.port

    def listen(self) -> None:
        """Accept connections, again after ``cut``."""
        if self._server or self._app is None:
            return
        sockets = bind_sockets(self.address.port, self.address.ip)
        port = sockets[0].getsockname()[1]
        self.address = Address(ip=self.address.ip, port=port)
        self._server = HTTPServer(self._app, max_body_size=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)

    def track(self, stream: IOStream) -> None:
        """Remember a connection that ``cut`` has to close."""
        self._streams.add(stream)

    def cut(self) -> None:
        """Stop listening and close every connection at once."""
        if self._server:
            self._server.stop()
            self._server = None
        self.drop_connections()

    def stop(self) -> None:
        """Cut everything for good."""
        self._app = None
        self.cut()

    def drop_connections(self) -> None:
        """Close every connection but go on listening."""
        for stream in list(self._streams):
            stream.close()


class StandInHandler(RequestHandler):
    """A handler that can reach, and close, its own connection."""

    def initialize(self, listener: Listener, **options: object) -> None:
        """Take the listener and the options of a route."""
        self.listener = listener
        self.facts = options

    def prepare(self) -> None:
        """Register the connection with the listener."""
        self.listener.track(self.stream)

    @property
    def stream(self) -> IOStream:
        """Return the TCP stream below this request."""
        return cast(HTTP1Connection, self.request.connection).stream

    def hang_up(self) -> None:
        """Close the connection without an answer."""
        self.stream.close()

    def read_json(self) -> JSONObject:
        """Return the body's JSON object, empty if there is none."""
        parsed = json.loads(self.request.body or b'{}')
        return parsed if isinstance(parsed, dict) else {}

    def log_exception(self, *args: object) -> None:
        """Keep the log free of connections that were closed on purpose."""

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Answer an error, unless nobody is there to hear it."""
        if not self.stream.closed():
            super().send_error(status_code, **kwargs)


class ReadingHandler(StandInHandler):
    """Answers GET with what a closure reads."""

    def get(self) -> None:
        """Return the reading as JSON."""
        read = cast(Callable[[], JSONObject], self.facts['read'])
        self.finish(read())


class FaultsHandler(StandInHandler):
    """Passes ``POST /faults`` on to a closure."""

    def post(self) -> None:
        """Apply the faults that the body names; return those in force."""
        order = cast(Callable[[JSONObject], JSONObject], self.facts['order'])
        try:
            in_force = order(self.read_json())
        except (TypeError, ValueError) as exc:
            self.set_status(400)
            self.finish({'error': str(exc)})
            return
        self.finish(in_force)


def reading(
    path: str,
    listener: Listener,
    read: Callable[[], JSONObject],
) -> Rule:
    """Return the route of a page that shows a reading."""
    return path, ReadingHandler, {'listener': listener, 'read': read}


def faults(
    listener: Listener,
    order: Callable[[JSONObject], JSONObject],
) -> Rule:
    """Return the route of ``POST /faults``."""
    return '/faults', FaultsHandler, {'listener': listener, 'order': order}
