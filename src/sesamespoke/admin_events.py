"""The time line as lines of JSON, to the end of the record or on and on."""

import asyncio

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from sesamespoke.admin_http import find_caller
from sesamespoke.admin_sources import AdminSources
from sesamespoke.settings import Settings
from sesamespoke.timeline import BEGINNING, Stamp
from sesamespoke.timeline_json import dump_event, parse_stamp

FOLLOW_SECONDS = 0.25
LINES_TYPE = 'application/x-ndjson'


class EventsHandler(RequestHandler):
    """Streams events; ``follow=1`` keeps the answer open."""

    def initialize(self, cfg: Settings, sources: AdminSources) -> None:
        """Take the settings and the source of events."""
        self._cfg = cfg
        self._sources = sources

    async def get(self) -> None:
        """Answer with the events later than ``after``."""
        authorization = self.request.headers.get('Authorization', '')
        if find_caller(self._cfg, authorization) is None:
            self.send_error(401)
            return
        text = self.get_query_argument('after', '0.0')
        after = parse_stamp(text)
        if after is None:
            self.send_error(400)
            return
        self.set_header('Content-Type', LINES_TYPE)
        try:
            await self._stream(after or BEGINNING)
        except StreamClosedError:
            return

    async def _stream(self, after: Stamp) -> None:
        follows = bool(self.get_query_argument('follow', ''))
        latest = await self._write_lines(after)
        while follows:
            await asyncio.sleep(FOLLOW_SECONDS)
            latest = await self._write_lines(latest)

    async def _write_lines(self, after: Stamp) -> Stamp:
        events = list(self._sources.events(after))
        for event in events:
            self.write(f'{dump_event(event)}\n')
        await self.flush()
        return events[-1].stamp if events else after

    def on_connection_close(self) -> None:
        """Let the next write find the connection closed."""
