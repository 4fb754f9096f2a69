"""Which of the granted slots a call uses."""

import asyncio
import contextlib
from dataclasses import dataclass

from sesamespoke.call_parts import CallParts
from sesamespoke.limits import Ending, Outcome
from sesamespoke.suspects import Standing
from sesamespoke.verdicts import (
    DEADLINE_PASSED,
    QUARANTINED,
    Refusal,
    Verdict,
)
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import EndpointState

RETRY_DELAY_STEP_SECONDS = 0.02
MAX_RETRY_DELAY_SECONDS = 0.2
MAX_RETURNED_SLOTS = 5
UNUSED_SLOT = Ending(Outcome.UNUSED, -1, Usage())


@dataclass(frozen=True, slots=True)
class ChosenSlot:
    """A slot to use and the URL of its endpoint."""

    slot: Slot
    url: str


class SlotChooser:
    """Takes slots for one call; those it does not use go back unused."""

    def __init__(self, parts: CallParts, work: Work) -> None:
        """Start with no endpoint to avoid."""
        self._parts = parts
        self._work = work
        self._avoided: set[str] = set()

    def avoid(self, slot: Slot) -> None:
        """Shun an endpoint that failed, while another may be granted."""
        self._avoided.add(slot.endpoint_name)

    def is_quarantined(self) -> bool:
        """Return whether the request is in quarantine."""
        quarantine = self._parts.quarantine
        if quarantine is None:
            return False
        return quarantine.standing(self._work.digest) is Standing.REFUSED

    async def choose(self) -> ChosenSlot | Refusal:
        """Wait for a slot whose endpoint may be tried now."""
        loop = asyncio.get_running_loop()
        returned = 0
        while loop.time() < self._work.deadline:
            if self.is_quarantined():
                return Refusal(QUARANTINED, Verdict.NOT_RUN)
            slot = await self._parts.slots.acquire(self._work)
            if isinstance(slot, Refusal):
                return slot
            url = self._find_url(slot)
            if url and await self._may_use(slot, returned):
                return ChosenSlot(slot, url)
            self._parts.slots.release(slot, UNUSED_SLOT)
            returned += 1
            pause = RETRY_DELAY_STEP_SECONDS * returned
            await asyncio.sleep(min(MAX_RETRY_DELAY_SECONDS, pause))
        return Refusal(DEADLINE_PASSED, Verdict.NOT_RUN)

    async def _may_use(self, slot: Slot, returned: int) -> bool:
        """Return whether a slot's endpoint is one to try now.

        A suspect goes where no other suspect runs.
        """
        quarantine = self._parts.quarantine
        shunned = slot.endpoint_name in self._avoided
        if quarantine is not None:
            crashed = quarantine.crashed(self._work.digest)
            shunned = shunned or slot.endpoint_name in crashed
        if shunned and returned < MAX_RETURNED_SLOTS:
            return False
        if quarantine is None:
            return True
        with contextlib.ExitStack() as stack:
            stack.callback(self._parts.slots.release, slot, UNUSED_SLOT)
            stack.callback(quarantine.end_trial, self._work.digest)
            alone = await quarantine.begin_trial(
                self._work.digest,
                slot.endpoint_name,
            )
            stack.pop_all()
        return alone

    def _find_url(self, slot: Slot) -> str | None:
        """Return the endpoint's URL unless it takes no new work."""
        revision = self._parts.revision()
        if revision is None:
            return None
        service = revision.document.services.get(self._work.service_name)
        if service is None:
            return None
        endpoint = service.endpoints.get(slot.endpoint_name)
        if endpoint is None or endpoint.state is EndpointState.LEAVING:
            return None
        return endpoint.url
