"""The plain policies that the fleet's own is compared with.

Both decide at each router alone, and give every router an equal, fixed
part of each endpoint's slots: ``first-come`` serves requests in the order
of their arrival, ``static-shares`` the account with the least normalised
service at this router. Both choose the endpoint that is least loaded by
this router's own requests.
"""

import asyncio
import itertools
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

from sesamespoke.costs import cost_of
from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.verdicts import DEADLINE_PASSED, Refusal, Verdict
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import Document


@dataclass(frozen=True, slots=True, eq=False)
class Waiter:
    """One request that waits, and its number in the order of arrival."""

    number: int
    work: Work
    slot: asyncio.Future[Slot]


Order = Callable[['LocalSlots', Waiter], float]


def by_arrival(slots: 'LocalSlots', waiter: Waiter) -> float:
    """Order waiting requests by their arrival."""
    return waiter.number


def by_service(slots: 'LocalSlots', waiter: Waiter) -> float:
    """Order waiting requests by their account's normalised service."""
    return slots.normalised(waiter.work.account)


POLICIES: Mapping[str, Order] = MappingProxyType(
    {'first-come': by_arrival, 'static-shares': by_service},
)


class LocalSlots:
    """A router's own part of each endpoint's slots."""

    def __init__(self, order: Order, routers: int) -> None:
        """Wait for a document; ``routers`` share each endpoint."""
        self._order = order
        self._routers = routers
        self._document: Document | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[str, deque[Waiter]] = {}
        self._held: Counter[str] = Counter()
        self._served: defaultdict[str, float] = defaultdict(float)
        self._metered: dict[int, float] = {}

    def configure(self, document: Document) -> None:
        """Take over a document."""
        self._document = document
        for service in document.services:
            self._pump(service)

    def normalised(self, account: str) -> float:
        """Return what this router has served an account, by its share."""
        if self._document is None:
            return 0
        return self._served[account] / self._document.accounts[account].share

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for one of this router's slots until the deadline."""
        loop = asyncio.get_running_loop()
        waiter = Waiter(next(self._numbers), work, loop.create_future())
        queue = self._waiting.setdefault(work.service_name, deque())
        queue.append(waiter)
        self._pump(work.service_name)
        try:
            async with asyncio.timeout_at(work.deadline):
                return await waiter.slot
        except TimeoutError:
            self._give_up(waiter)
            return Refusal(DEADLINE_PASSED, Verdict.NOT_RUN)
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Count what a slot's work has come to."""
        cost = self._cost(slot, usage)
        self._served[slot.account] += cost - self._metered[slot.number]
        self._metered[slot.number] = cost

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Take a slot back and give it to the next in order."""
        self.meter(slot, ending.usage)
        del self._metered[slot.number]
        self._held[slot.endpoint_name] -= 1
        self._pump(slot.slice_name)

    def _leave(self, waiter: Waiter) -> None:
        queue = self._waiting[waiter.work.service_name]
        if waiter in queue:
            queue.remove(waiter)

    def _give_up(self, waiter: Waiter) -> None:
        self._leave(waiter)
        if waiter.slot.done() and not waiter.slot.cancelled():
            slot = waiter.slot.result()
            self.release(slot, SlotUse(Outcome.UNUSED, -1, Usage()))

    def _pump(self, service_name: str) -> None:
        queue = self._waiting.get(service_name, ())
        while queue:
            endpoint = self._find_room(service_name)
            if endpoint is None:
                return
            waiter = min(queue, key=partial(self._order, self))
            self._leave(waiter)
            self._grant(waiter, endpoint)

    def _grant(self, waiter: Waiter, endpoint: str) -> None:
        if waiter.slot.done():
            return
        work = waiter.work
        self._held[endpoint] += 1
        self._metered[waiter.number] = 0
        slot = Slot(
            number=waiter.number,
            slice_name=work.service_name,
            epoch=1,
            account=work.account,
            endpoint_name=endpoint,
            started_at=asyncio.get_running_loop().time(),
        )
        waiter.slot.set_result(slot)

    def _find_room(self, service_name: str) -> str | None:
        if self._document is None:
            return None
        service = self._document.services[service_name]
        part = max(1, service.limit.warm // self._routers)
        held = [(self._held[name], name) for name in service.endpoints]
        least, endpoint = min(held, default=(part, ''))
        return endpoint if least < part else None

    def _cost(self, slot: Slot, usage: Usage) -> float:
        if self._document is None:
            return 0
        service = self._document.services[slot.slice_name]
        return cost_of(self._document.capacity.pools[service.pool], usage)
