"""The administration API of one router, on its own address."""

import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sesamespoke.admin_document import DocumentApi
from sesamespoke.admin_events import EventsHandler
from sesamespoke.admin_http import ApiHandler, Endpoint
from sesamespoke.admin_sources import AdminSources
from sesamespoke.admin_views import HostApi
from sesamespoke.links import Links
from sesamespoke.rollout import Rollout
from sesamespoke.settings import Address, Settings, TLSFiles

MAX_BODY_BYTES = 33_554_432
EVENTS_PATH = '/v1/events'

Rule = tuple[str, type[RequestHandler], dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Route:
    """A path, in the form of OpenAPI, and its functions by method."""

    path: str
    methods: Mapping[str, Endpoint]
    is_open: bool = field(default=False)


class AdminServer:
    """Serves the administration API."""

    def __init__(
        self,
        cfg: Settings,
        rollout: Rollout,
        links: Links,
        sources: AdminSources,
    ) -> None:
        """Create a server that does not listen yet."""
        self.port = cfg.admin.port
        self._cfg = cfg
        document = DocumentApi(rollout)
        host = HostApi(rollout, links, sources)
        self.routes = [
            *_list_document(document),
            *_list_host(host),
            *_list_open(host),
        ]
        events = {'cfg': cfg, 'sources': sources}
        rules: list[Rule] = [self._handle(route) for route in self.routes]
        rules.append((EVENTS_PATH, EventsHandler, events))
        app = Application(list(rules))
        self._server = HTTPServer(
            app,
            ssl_options=_open_tls(cfg.admin_tls),
            max_body_size=MAX_BODY_BYTES,
        )

    @property
    def url(self) -> str:
        """Return the URL of the API, once it listens."""
        scheme = 'https' if self._cfg.admin_tls else 'http'
        address = Address(self._cfg.admin.ip, self.port)
        return f'{scheme}://{address}'

    def listen(self) -> None:
        """Begin to answer."""
        sockets = bind_sockets(self._cfg.admin.port, self._cfg.admin.ip)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()

    def _handle(self, route: Route) -> Rule:
        pattern = route.path.replace('{name}', '([a-z_]+)')
        pattern = pattern.replace('{digest}', '((?:[0-9a-f]{2})+)')
        arguments = {
            'cfg': self._cfg,
            'methods': route.methods,
            'is_open': route.is_open,
        }
        return (pattern, ApiHandler, arguments)


def _list_document(api: DocumentApi) -> list[Route]:
    sections = {'GET': api.get_section, 'PUT': api.put_section}
    whole = {'GET': api.get_document, 'POST': api.post_document}
    return [
        Route('/v1/document', whole),
        Route('/v1/document/check', {'POST': api.post_check}),
        Route('/v1/document/sections/{name}', sections),
        Route('/v1/history', {'GET': api.get_history}),
    ]


def _list_host(api: HostApi) -> list[Route]:
    released = {'DELETE': api.delete_quarantined}
    return [
        Route('/v1/status', {'GET': api.get_status}),
        Route('/v1/data-centres', {'GET': api.get_data_centres}),
        Route('/v1/accounts', {'GET': api.get_accounts}),
        Route('/v1/endpoints', {'GET': api.get_endpoints}),
        Route('/v1/quarantine', {'GET': api.get_quarantine}),
        Route('/v1/quarantine/{digest}', released),
        Route('/metrics', {'GET': api.get_metrics}),
    ]


def _list_open(api: HostApi) -> list[Route]:
    return [
        Route('/healthz', {'GET': api.get_health}, is_open=True),
        Route('/readyz', {'GET': api.get_ready}, is_open=True),
        Route('/openapi.json', {'GET': api.get_openapi}, is_open=True),
    ]


def _open_tls(files: TLSFiles | None) -> ssl.SSLContext | None:
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    return context
