"""The HTTP server that callers reach."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sesamespoke.answers import (
    Answer,
    error_event,
    json_answer,
)
from sesamespoke.call_parts import CallParts
from sesamespoke.caller_connections import (
    MAX_BODY_BYTES,
    ConnectionReply,
)
from sesamespoke.calls import AcceptedCall
from sesamespoke.intake import (
    MODELS_PATH,
    Accepted,
    Call,
    Routes,
    RouteTable,
    accept,
    find_account,
    list_models,
    refuse,
)
from sesamespoke.request_server import Ended, RequestServer, ServerSettings
from sesamespoke.settings import Settings
from sesamespoke.verdicts import (
    METHOD_NOT_ALLOWED,
    NOT_READY,
    Refusal,
)

HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'


@dataclass(frozen=True, slots=True)
class CallerParts(CallParts):
    """What the callers' server needs of the router."""

    ready: Callable[[], bool] = lambda: True


class CallerServer(RequestServer):
    """Serves the callers of a document's services."""

    def __init__(self, cfg: Settings, parts: CallerParts) -> None:
        """Prepare the server; ``listen`` opens its port."""
        super().__init__(ServerSettings(cfg.callers), parts.metrics)
        self._parts = parts
        self._routes = RouteTable()

    async def close(self) -> None:
        """Close every connection; cuts what is still being served."""
        await super().close()
        self._parts.pool.close()

    def max_body_bytes(self) -> int:
        """Return the largest body that any service accepts."""
        routes = self._routes.current(self._parts.revision())
        return routes.max_body_bytes if routes else MAX_BODY_BYTES

    def keeps_connections(self) -> bool:
        """Return whether callers may use a connection again."""
        return self._parts.ready()

    async def end_cut_answer(
        self,
        ended: Answer | Refusal,
        reply: ConnectionReply,
        call: Call,
    ) -> None:
        """End a stream with an error event; cut any other answer."""
        routes = self._routes.current(self._parts.revision())
        is_stream = routes is not None and call.path in routes.language_paths
        if is_stream and isinstance(ended, Refusal):
            if not reply.send(error_event(ended, call.request_id)):
                await reply.drain()
            reply.finish()
        else:
            reply.cut()

    async def respond(self, call: Call, reply: ConnectionReply) -> Ended:
        """Return what ends a call; None if all of it was passed on."""
        if call.path in {HEALTH_PATH, READY_PATH}:
            return _tell_health(self._parts, call)
        routes = self._routes.current(self._parts.revision())
        if routes is None:
            return refuse(NOT_READY)
        account = find_account(routes, call.headers)
        if isinstance(account, Refusal):
            return account
        if call.path == MODELS_PATH:
            return _tell_models(routes, call)
        accepted = accept(routes, account, call)
        if isinstance(accepted, Refusal):
            return accepted
        return await self._run(accepted, reply)

    async def _run(
        self,
        accepted: Accepted,
        reply: ConnectionReply,
    ) -> Answer | Refusal | None:
        """Serve accepted work.

        A call with an idempotency key goes on when its caller goes away,
        so that its outcome is recorded for when the caller asks again.
        """
        serving = AcceptedCall(self._parts, accepted, reply).serve()
        if accepted.key is None:
            return await serving
        return await asyncio.shield(self.track(serving))


def _tell_health(parts: CallerParts, call: Call) -> Answer | Refusal:
    ready = parts.ready() and parts.revision() is not None
    if call.path == READY_PATH and not ready:
        return refuse(NOT_READY)
    return json_answer({'status': 'ok'}, call.request_id)


def _tell_models(routes: Routes, call: Call) -> Answer | Refusal:
    if call.method != 'GET':
        return refuse(METHOD_NOT_ALLOWED)
    return json_answer(list_models(routes), call.request_id)
