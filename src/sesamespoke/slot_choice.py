"""Selection of the granted slot that a call uses."""

import asyncio
import contextlib
from dataclasses import dataclass

from sesamespoke.call_parts import CallParts
from sesamespoke.limits import Outcome, SlotUse
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
UNUSED_SLOT = SlotUse(Outcome.UNUSED, -1, Usage())


@dataclass(frozen=True, slots=True)
class ChosenSlot:
    """A granted slot and the URL of its endpoint."""

    slot: Slot
    url: str


class SlotChooser:
    """Acquires slots for one call and returns unsuitable ones unused."""

    def __init__(self, parts: CallParts, work: Work) -> None:
        """Start with no endpoints to avoid."""
        self._parts = parts
        self._work = work
        self._avoided: set[str] = set()

    def avoid(self, slot: Slot) -> None:
        """Avoid an endpoint that failed, while others may be granted.

        It is used again once ``MAX_RETURNED_SLOTS`` slots were returned.
        """
        self._avoided.add(slot.endpoint_name)

    def is_quarantined(self) -> bool:
        """Return whether the request is rejected by a quarantine."""
        part_quarantine = self._parts.part_quarantine
        if part_quarantine is not None and part_quarantine.seconds_blocked(
            self._work.shared_parts
        ):
            return True
        quarantine = self._parts.quarantine
        if quarantine is None:
            return False
        return quarantine.standing(self._work.digest) is Standing.REFUSED

    async def choose(self) -> ChosenSlot | Refusal:
        """Wait for a slot whose endpoint can be used now.

        The delay between attempts grows with each slot returned.
        """
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
            delay = RETRY_DELAY_STEP_SECONDS * returned
            await asyncio.sleep(min(MAX_RETRY_DELAY_SECONDS, delay))
        return Refusal(DEADLINE_PASSED, Verdict.NOT_RUN)

    async def _may_use(self, slot: Slot, returned: int) -> bool:
        """Return whether the endpoint of a slot can be used now.

        A request suspected of crashing endpoints runs only at an endpoint
        where no other suspected request runs.
        """
        quarantine = self._parts.quarantine
        is_avoided = slot.endpoint_name in self._avoided
        if quarantine is not None:
            crashed = quarantine.crashed(self._work.digest)
            is_avoided = is_avoided or slot.endpoint_name in crashed
        if is_avoided and returned < MAX_RETURNED_SLOTS:
            return False
        if quarantine is None:
            return True
        with contextlib.ExitStack() as stack:
            stack.callback(self._parts.slots.release, slot, UNUSED_SLOT)
            stack.callback(quarantine.end_trial, self._work.digest)
            runs_alone = await quarantine.begin_trial(
                self._work.digest,
                slot.endpoint_name,
            )
            stack.pop_all()
        return runs_alone

    def _find_url(self, slot: Slot) -> str | None:
        """Return the endpoint's URL, or None if it takes no new requests."""
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
