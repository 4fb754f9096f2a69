"""Where requests wait at their caller's router for a slot."""

import asyncio
from typing import Protocol

from sesamespoke.costs import Estimator, cost_of
from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.links import Links, View
from sesamespoke.messages import Grants, InFlightQuery
from sesamespoke.metrics import Metrics
from sesamespoke.placement import dispatcher_host, slice_of
from sesamespoke.service_queue import Running, ServiceQueue, Waiter
from sesamespoke.settings import Settings
from sesamespoke.slots import UNUSED_RESULT, SlotKey, SlotResult
from sesamespoke.verdicts import (
    DEADLINE_PASSED,
    NOT_READY,
    TOO_MANY_WAITING,
    Refusal,
    Verdict,
)
from sesamespoke.waits import WaitTimes
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import Document, Revision

PROGRESS_SECONDS = 1.0
PROGRESS_PER_SYNC = 4
RETURN_SECONDS = 0.05
REPORT_GROWTH = 1.25


class SlotSource(Protocol):
    """What a caller's connection asks for slots."""

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for a slot, first come first served within the account.

        Refuses at once where too many requests of the account wait, and at
        the work's deadline. Cancelling the awaiting task leaves the queue.
        """

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Tell what a slot's work has used so far."""

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Give a slot back and settle its cost; once for each slot."""


class RequestQueues:
    """The queues of one router; implements ``SlotSource``."""

    def __init__(self, cfg: Settings, links: Links, metrics: Metrics) -> None:
        """Start empty; call within the event loop that will run it."""
        self._cfg = cfg
        self._links = links
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._estimator = Estimator()
        self._waits = WaitTimes(self._loop.time)
        self._document: Document | None = None
        self._queues: dict[str, ServiceQueue] = {}
        self._scheduled: dict[str, asyncio.TimerHandle] = {}
        self._far_hosts: set[str] = set()
        links.on_view(self._take_view)
        self._take_view(links.view)
        links.subscribe(Grants, self._take_grants)
        links.subscribe(InFlightQuery, self._answer_query)

    def set_revision(self, revision: Revision) -> None:
        """Put a revision in force."""
        self._document = revision.document

    async def run(self) -> None:
        """Report progress and repair lost messages until cancelled."""
        turn = 0
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            turn += 1
            is_full = turn % PROGRESS_PER_SYNC == 0
            for queue in self._queues.values():
                if not queue.is_idle():
                    self._flush(queue, full=is_full)

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for a slot; see ``SlotSource``."""
        refusal = self._refuse(work)
        if refusal is not None:
            return refusal
        queue = self._queue(work.service_name)
        waiter = Waiter(
            work,
            self._loop.create_future(),
            self._estimator.estimate(work),
            self._loop.time(),
        )
        was_empty = not queue.count(work.account)
        queue.add(waiter)
        delay = 0 if was_empty else self._cfg.timing.report_interval
        self._schedule(queue, delay)
        timer = self._loop.call_at(work.deadline, self._expire, queue, waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._abandon(queue, waiter)
            raise
        finally:
            timer.cancel()

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Tell what a slot's work has used so far."""
        queue = self._queue(slot.slice_name.split('/')[0])
        running = queue.running.get(_key_of(slot))
        if running is None:
            return
        cost = self._cost(running.work, usage)
        if cost >= running.next_report:
            covered = running.covered
            grown = cost - running.metered
            running.metered = cost
            running.next_report = max(cost, slot.estimate) * REPORT_GROWTH
            queue.totals.meter(slot.account, grown, running.covered - covered)

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Give a slot back and settle its cost; once for each slot."""
        queue = self._queue(slot.slice_name.split('/')[0])
        key = _key_of(slot)
        running = queue.finish(key)
        if running is None:
            return
        cost = self._cost(running.work, ending.usage)
        last = cost - running.metered
        queue.totals.settle(slot.account, last, running.covered)
        if ending.outcome in {Outcome.DONE, Outcome.LATE}:
            self._estimator.settle(running.work, cost)
        end = SlotResult(ending.outcome, ending.first_token_ms, cost)
        queue.end(key, end)
        self._metrics.count('slots_released', outcome=ending.outcome.name)
        is_usual = ending.outcome is Outcome.DONE
        at_ease = is_usual and not queue.contended
        self._schedule(queue, RETURN_SECONDS if at_ease else 0)

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by account."""
        counts: dict[str, int] = {}
        for queue in self._queues.values():
            for account, number in queue.waiting().items():
                counts[account] = counts.get(account, 0) + number
        return counts

    def is_idle(self) -> bool:
        """Return whether nothing waits or runs at this router."""
        return all(queue.is_idle() for queue in self._queues.values())

    def _refuse(self, work: Work) -> Refusal | None:
        account = self._document and self._document.accounts.get(work.account)
        if not account:
            return Refusal(NOT_READY, Verdict.NOT_RUN, retry_after=1)
        waiting = self._queue(work.service_name).count(work.account)
        if waiting < account.max_waiting:
            return None
        self._metrics.count('requests_refused', reason='too_many_waiting')
        wait = self._waits.expect(work.account, waiting)
        return Refusal(TOO_MANY_WAITING, Verdict.NOT_RUN, retry_after=wait)

    def _queue(self, service_name: str) -> ServiceQueue:
        queue = self._queues.get(service_name)
        if queue is None:
            slice_name = slice_of(service_name, self._cfg.data_centre)
            queue = ServiceQueue(slice_name, self._loop.time)
            self._queues[service_name] = queue
        return queue

    def _take_view(self, view: View) -> None:
        near = view.hosts(self._cfg.data_centre)
        self._far_hosts = set(view.hosts()).difference(near)

    def _take_grants(self, sender: str, grants: Grants) -> None:
        if sender in self._far_hosts:
            return
        queue = self._queue(grants.slice_name.split('/')[0])
        if sender != queue.dispatcher:
            self._return_all(sender, queue, grants)
            return
        queue.grants_seen = grants.sequence
        queue.contended = grants.contended
        for number, account, endpoint in grants.slots:
            key = (grants.slice_name, grants.epoch, number)
            waiter = queue.pop(account)
            if waiter is None:
                queue.end(key, UNUSED_RESULT)
                self._schedule(queue, 0)
                continue
            self._start(queue, key, waiter, endpoint)

    def _start(
        self,
        queue: ServiceQueue,
        key: SlotKey,
        waiter: Waiter,
        endpoint: str,
    ) -> None:
        now = self._loop.time()
        slice_name, epoch, number = key
        slot = Slot(
            number,
            slice_name,
            epoch,
            waiter.work.account,
            endpoint,
            waiter.estimate,
            now,
        )
        queue.begin(key, Running(slot, waiter.work))
        self._waits.note(waiter.work.account)
        self._metrics.count('wait_seconds', now - waiter.since)
        waiter.fut.set_result(slot)

    def _return_all(
        self,
        sender: str,
        queue: ServiceQueue,
        grants: Grants,
    ) -> None:
        """Return slots of a dispatcher that this router does not follow."""
        self._metrics.count('grants_refused', len(grants.slots))
        host = dispatcher_host(queue.slice_name, self._links.view)
        for number, _, _ in grants.slots:
            key = (grants.slice_name, grants.epoch, number)
            queue.end(key, UNUSED_RESULT)
        for finished in queue.take_finished():
            self._links.send(sender, finished)
            if host not in {None, sender} and finished.totals:
                self._links.send(str(host), finished)

    def _answer_query(self, sender: str, query: InFlightQuery) -> None:
        service_name, data_centre, _ = query.slice_name.split('/')
        if data_centre != self._cfg.data_centre:
            return
        queue = self._queue(service_name)
        follows = queue.follow(sender, query.epoch)
        self._links.send(sender, queue.in_flight())
        if follows:
            self._flush(queue, full=True)

    def _expire(self, queue: ServiceQueue, waiter: Waiter) -> None:
        if waiter.fut.done():
            return
        queue.remove(waiter)
        self._metrics.count('requests_refused', reason='deadline_passed')
        account = waiter.work.account
        wait = self._waits.expect(account, queue.count(account))
        refusal = Refusal(DEADLINE_PASSED, Verdict.NOT_RUN, retry_after=wait)
        waiter.fut.set_result(refusal)
        self._schedule(queue, self._cfg.timing.report_interval)

    def _abandon(self, queue: ServiceQueue, waiter: Waiter) -> None:
        queue.remove(waiter)
        if waiter.fut.done() and not waiter.fut.cancelled():
            outcome = waiter.fut.result()
            if isinstance(outcome, Slot):
                ending = SlotUse(Outcome.UNUSED, -1, Usage())
                self.release(outcome, ending)
        self._schedule(queue, self._cfg.timing.report_interval)

    def _cost(self, work: Work, usage: Usage) -> float:
        document = self._document
        pool = document and document.capacity.pools.get(work.service.pool)
        return cost_of(pool, usage) if pool else 0

    def _schedule(self, queue: ServiceQueue, delay: float) -> None:
        """Plan a report within ``delay`` seconds."""
        planned = self._scheduled.get(queue.slice_name)
        if planned is not None:
            if planned.when() <= self._loop.time() + delay:
                return
            planned.cancel()
        self._scheduled[queue.slice_name] = self._loop.call_later(
            delay,
            self._flush,
            queue,
        )

    def _flush(self, queue: ServiceQueue, full: bool = False) -> None:
        planned = self._scheduled.pop(queue.slice_name, None)
        if planned is not None:
            planned.cancel()
        host = dispatcher_host(queue.slice_name, self._links.view)
        if host is None:
            return
        for finished in queue.take_finished():
            self._links.send(host, finished)
        demand = queue.take_demand(full)
        if demand is not None:
            self._links.send(host, demand)


def _key_of(slot: Slot) -> SlotKey:
    return (slot.slice_name, slot.epoch, slot.number)
