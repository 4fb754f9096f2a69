"""A stand-in of the platform's key-value service: etcd v3's JSON gateway.

It keeps revisions, leases and watches, counts each call, enforces rates
and sizes, and fails in the ways that the service does.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from typing import cast

from sesamespoke.settings import Address
from sesamespoke.stand_ins import store_codec
from sesamespoke.stand_ins.serving import (
    JSONObject,
    Listener,
    Rule,
    StandInHandler,
    faults,
    reading,
)
from sesamespoke.stand_ins.store_service import (
    StoreFaults,
    StoreService,
    StoreStandInSettings,
)
from sesamespoke.stand_ins.store_state import Record, StoreState

EXPIRY_INTERVAL = 0.05


class StoreStandIn:
    """One store on one address."""

    def __init__(self, cfg: StoreStandInSettings | None = None) -> None:
        """Create an empty store that does not listen yet."""
        self.service = StoreService(cfg or StoreStandInSettings())
        self.listener = Listener()
        self._expiry: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.listener.url

    @property
    def state(self) -> StoreState:
        """Return the keys and leases."""
        return self.service.state

    @property
    def faults(self) -> StoreFaults:
        """Return the faults in force."""
        return self.service.faults

    @property
    def counts(self) -> Counter[str]:
        """Return the calls by kind."""
        return self.service.counts

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""
        self._expiry = asyncio.ensure_future(self._expire())
        options = {'listener': self.listener, 'store': self.service}
        rules: list[Rule] = [
            ('/v3/watch', WatchHandler, options),
            ('/v3/(?:kv|lease)/.*', CallHandler, options),
            reading('/counts', self.listener, self.service.read_counts),
            faults(self.listener, self.order_faults),
        ]
        return self.listener.start(rules, address)

    def stop(self) -> None:
        """Close everything."""
        if self._expiry:
            self._expiry.cancel()
        self.listener.stop()

    def order_faults(self, order: JSONObject) -> JSONObject:
        """Set the faults that an order names; return those in force."""
        in_force = self.service.order_faults(order)
        if self.faults.out:
            self.listener.drop_connections()
        return in_force

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            self.state.expire(asyncio.get_running_loop().time())


class StoreHandler(StandInHandler):
    """What calls and watches share."""

    @property
    def store(self) -> StoreService:
        """Return the store of this route."""
        return cast(StoreService, self.facts['store'])

    async def is_cut_off(self) -> bool:
        """Delay or end the call as the faults in force say."""
        in_force = self.store.faults
        if in_force.out:
            self.hang_up()
            return True
        while in_force.silent and not self.stream.closed():
            await asyncio.sleep(EXPIRY_INTERVAL)
        delay = in_force.slow + self.store.cfg.reply_delay
        if delay:
            await asyncio.sleep(delay)
        return self.stream.closed()

    def reject(self, exc: store_codec.Rejected) -> None:
        """Answer as the gateway answers an error."""
        self.set_status(exc.status)
        self.finish({'error': str(exc), 'message': str(exc), 'code': exc.code})


class CallHandler(StoreHandler):
    """One call of the gateway."""

    async def post(self) -> None:
        """Apply the call and answer, or fail as ordered."""
        if await self.is_cut_off():
            return
        path = self.request.path
        try:
            request = self.read_json()
            writes = self.store.admit(path, request)
            answer = self.store.call(path, request)
        except store_codec.Rejected as exc:
            self.reject(exc)
            return
        if writes and self.store.loses_reply():
            self.hang_up()
            return
        self.finish(answer)


class WatchHandler(StoreHandler):
    """A watch: a streamed response of changes."""

    async def post(self) -> None:
        """Send what has changed and then each change."""
        if await self.is_cut_off():
            return
        request = self.read_json().get('create_request', {})
        try:
            self.store.admit(self.request.path, {})
        except store_codec.Rejected as exc:
            self.reject(exc)
            return
        start = store_codec.number_of(request, 'start_revision')
        if 0 < start <= self.store.state.compacted:
            compacted = str(self.store.state.compacted)
            self.send(canceled=True, compact_revision=compacted)
            return
        await self._follow(request, start)

    def send(self, **result: object) -> None:
        """Write one message of the stream."""
        header = store_codec.header_of(self.store.state)
        message = {'result': {'header': header, **result}}
        self.write(f'{json.dumps(message)}\n')
        self.flush()

    async def _follow(self, request: JSONObject, start: int) -> None:
        queue: asyncio.Queue[Sequence[Record]] = asyncio.Queue()
        stop = self.store.state.listen(queue.put_nowait)
        self.stream.set_close_callback(lambda: queue.put_nowait(()))
        with ExitStack() as stack:
            stack.callback(stop)
            self.store.begin_watch()
            stack.callback(self.store.end_watch)
            await self._send_changes(request, start, queue)

    async def _send_changes(
        self,
        request: JSONObject,
        start: int,
        queue: asyncio.Queue[Sequence[Record]],
    ) -> None:
        self.send(created=True)
        if start:
            self._send_events(request, list(self.store.state.since(start)))
        while not self.stream.closed():
            changes = await queue.get()
            self._send_events(request, changes)

    def _send_events(
        self,
        request: JSONObject,
        changes: Sequence[Record],
    ) -> None:
        first = store_codec.bytes_of(request, 'key')
        end = store_codec.bytes_of(request, 'range_end') or bytes((*first, 0))
        events = [
            {
                'type': 'DELETE' if record.deleted else 'PUT',
                'kv': store_codec.show(record),
            }
            for record in changes
            if first <= record.key < end
        ]
        if events and not self.stream.closed():
            self.send(events=events)
