"""The way from a router to the claim writer of a name, and back."""

import asyncio
import itertools
import secrets
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial

from sesamespoke.claim_known import (
    ClaimState,
    Judgement,
)
from sesamespoke.claim_operations import ClaimOperation, SettleOperation
from sesamespoke.claim_record import (
    ClaimRecord,
    Grip,
    Mark,
    decode_record,
    pack_grip,
    partition_of,
    unpack_grip,
)
from sesamespoke.claim_writer import ClaimWriter
from sesamespoke.links import Links, View
from sesamespoke.messages import ClaimReply, ClaimRequest
from sesamespoke.placement import place
from sesamespoke.settings import ClaimSettings

SETTLE_SECONDS = 20.0
MAX_FIRST_NUMBER = 2**48
MOVED = Judgement(ClaimState.UNAVAILABLE, b'moved')


@dataclass(slots=True)
class Pending:
    """A message that awaits its writer's reply."""

    writer: str
    reply: asyncio.Future[Judgement]


class ClaimRoutes:
    """Asks the writer that is placed for a name, or the local one."""

    def __init__(
        self,
        cfg: ClaimSettings,
        links: Links,
        writer: ClaimWriter,
        on_orphan: Callable[[Grip, str], None],
    ) -> None:
        """Subscribe; ``on_orphan`` gets claims won after giving up."""
        self._cfg = cfg
        self._links = links
        self._writer = writer
        self._pending: dict[int, Pending] = {}
        self._on_orphan = on_orphan
        self._numbers = itertools.count(secrets.randbelow(MAX_FIRST_NUMBER))
        links.subscribe(ClaimRequest, self._on_request)
        links.subscribe(ClaimReply, self._on_reply)
        links.on_view(self._on_view)
        links.on_reconnected(self._move)

    @property
    def is_idle(self) -> bool:
        """Return whether no reply is awaited."""
        return not self._pending

    async def ask(
        self,
        name: str,
        record: ClaimRecord,
        grip: Grip | None = None,
        superseded: tuple[str, ...] = (),
    ) -> Judgement:
        """Send a request to the name's writer and await the reply."""
        number = next(self._numbers)
        packed = pack_grip(grip, record.token) if grip else b''
        request = ClaimRequest(
            number, name, record.encode(), packed, superseded
        )
        reply: asyncio.Future[Judgement]
        reply = asyncio.get_running_loop().create_future()
        with ExitStack() as stack:
            stack.callback(self._pending.pop, number)
            self._pending[number] = Pending(self._place(name), reply)
            self._pass_on(request)
            return await reply

    def _pass_on(self, request: ClaimRequest) -> None:
        """Send a request, or write it here if its writer is not reached."""
        pending = self._pending[request.number]
        is_local = pending.writer == self._links.host
        if is_local or not self._links.send(pending.writer, request):
            pending.writer = self._links.host
            self._on_request(self._links.host, request)

    def _place(self, name: str) -> str:
        members = self._links.view.members
        hosts = [
            member.host
            for member in members
            if member.data_centre == self._links.data_centre
            and not member.leaving
        ]
        partition = partition_of(name, self._cfg.partitions)
        return place(f'claims/{partition}', hosts) or self._links.host

    def _on_request(self, sender: str, request: ClaimRequest) -> None:
        """Hand a request to the local writer."""
        record = decode_record(request.outcome)
        reply = partial(self._reply, sender, request.number)
        if record.mark is Mark.CLAIMED:
            self._writer.claim(
                ClaimOperation(
                    request.name,
                    record,
                    reply,
                    self._end_after(self._cfg.max_wait),
                    request.superseded,
                )
            )
            return
        grip = unpack_grip(request.grip)[0] if request.grip else None
        give_up_at = self._end_after(SETTLE_SECONDS)
        self._writer.settle(
            SettleOperation(request.name, record, reply, give_up_at, grip)
        )

    def _end_after(self, seconds: float) -> float:
        return asyncio.get_running_loop().time() + seconds

    def _reply(self, host: str, number: int, judgement: Judgement) -> None:
        message = ClaimReply(number, judgement.state, judgement.payload)
        if host == self._links.host:
            self._on_reply(host, message)
        else:
            self._links.send(host, message)

    def _on_reply(self, sender: str, message: ClaimReply) -> None:
        judgement = Judgement(ClaimState(message.state), message.outcome)
        pending = self._pending.get(message.number)
        if pending and not pending.reply.done():
            pending.reply.set_result(judgement)
        elif judgement.state is ClaimState.WON:
            self._on_orphan(*unpack_grip(judgement.payload))

    def _on_view(self, view: View) -> None:
        """Give up what was asked of writers that are gone."""
        hosts = view.hosts(self._links.data_centre)
        for pending in tuple(self._pending.values()):
            if pending.writer not in hosts:
                self._move(pending.writer)

    def _move(self, writer: str) -> None:
        """Give up what was asked of a writer that may not have heard it."""
        for pending in tuple(self._pending.values()):
            if pending.writer == writer and not pending.reply.done():
                pending.reply.set_result(MOVED)
