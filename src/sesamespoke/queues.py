"""Queues in which a router holds its callers' requests until granted a slot."""

import asyncio
from typing import Protocol

from sesamespoke.costs import CostEstimator, cost_of
from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.links import Links, View
from sesamespoke.messages import Grants, InFlightQuery
from sesamespoke.metrics import Metrics
from sesamespoke.placement import dispatcher_host, slice_of
from sesamespoke.service_queue import (
    InFlightRequest,
    QueuedRequest,
    ServiceQueue,
)
from sesamespoke.settings import Settings
from sesamespoke.slots import UNUSED_RESULT, SlotKey, SlotResult
from sesamespoke.verdicts import (
    DEADLINE_PASSED,
    NOT_READY,
    TOO_MANY_WAITING,
    Refusal,
    Verdict,
)
from sesamespoke.wait_estimator import WaitEstimator
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import Document, Revision

PERIODIC_REPORT_SECONDS = 1.0
PERIODIC_REPORTS_PER_SYNC = 4
RELEASE_DELAY_SECONDS = 0.05
COST_REPORT_GROWTH = 1.25


class SlotSource(Protocol):
    """Interface through which caller connections acquire slots."""

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for a slot, first come first served within the account.

        Returns a refusal immediately if the account already has too many
        waiting requests, or at the deadline of the work. Cancelling the
        awaiting task removes the request from the queue.
        """

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Record what the work in a slot has used so far."""

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Release a slot and settle its cost; call once for each slot."""


class RequestQueues:
    """The request queues of one router; implements ``SlotSource``."""

    def __init__(self, cfg: Settings, links: Links, metrics: Metrics) -> None:
        """Create empty queues; call within the event loop that runs them."""
        self._cfg = cfg
        self._links = links
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._cost_estimator = CostEstimator()
        self._wait_estimator = WaitEstimator(self._loop.time)
        self._document: Document | None = None
        self._queues: dict[str, ServiceQueue] = {}
        self._scheduled: dict[str, asyncio.TimerHandle] = {}
        self._remote_hosts: set[str] = set()
        links.on_view(self._update_view)
        self._update_view(links.view)
        links.subscribe(Grants, self._receive_grants)
        links.subscribe(InFlightQuery, self._answer_query)

    def set_revision(self, revision: Revision) -> None:
        """Apply a revision of the document."""
        self._document = revision.document

    async def run(self) -> None:
        """Send periodic reports until cancelled.

        Every ``PERIODIC_REPORTS_PER_SYNC``-th report is complete, which makes
        up for lost messages.
        """
        cycle = 0
        while True:
            await asyncio.sleep(PERIODIC_REPORT_SECONDS)
            cycle += 1
            is_full = cycle % PERIODIC_REPORTS_PER_SYNC == 0
            for queue in self._queues.values():
                if not queue.is_idle():
                    self._send_report(queue, full=is_full)

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for a slot; see ``SlotSource``."""
        refusal = self._find_refusal(work)
        if refusal is not None:
            return refusal
        queue = self._queue(work.service_name)
        request = QueuedRequest(
            work,
            self._loop.create_future(),
            self._cost_estimator.estimate(work),
            self._loop.time(),
        )
        was_empty = not queue.count(work.account)
        queue.add(request)
        delay = 0 if was_empty else self._cfg.timing.report_interval
        self._schedule_report(queue, delay)
        timer = self._loop.call_at(work.deadline, self._expire, queue, request)
        try:
            return await request.fut
        except asyncio.CancelledError:
            self._abandon(queue, request)
            raise
        finally:
            timer.cancel()

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Record what the work in a slot has used so far."""
        queue = self._queue(slot.slice_name.split('/')[0])
        running = queue.running.get(_key_of(slot))
        if running is None:
            return
        cost = self._cost(running.work, usage)
        if cost >= running.report_threshold:
            covered = running.covered
            growth = cost - running.metered
            running.metered = cost
            running.report_threshold = (
                max(cost, slot.estimate) * COST_REPORT_GROWTH
            )
            queue.totals.meter(slot.account, growth, running.covered - covered)

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Release a slot and settle its cost; call once for each slot."""
        queue = self._queue(slot.slice_name.split('/')[0])
        key = _key_of(slot)
        running = queue.remove_running(key)
        if running is None:
            return
        cost = self._cost(running.work, ending.usage)
        unmetered = cost - running.metered
        queue.totals.settle(slot.account, unmetered, running.covered)
        if ending.outcome in {Outcome.DONE, Outcome.LATE}:
            self._cost_estimator.observe(running.work, cost)
        end = SlotResult(ending.outcome, ending.first_token_ms, cost)
        queue.add_ended(key, end)
        self._metrics.count('slots_released', outcome=ending.outcome.name)
        is_usual = ending.outcome is Outcome.DONE
        may_delay = is_usual and not queue.contended
        self._schedule_report(queue, RELEASE_DELAY_SECONDS if may_delay else 0)

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by account."""
        counts: dict[str, int] = {}
        for queue in self._queues.values():
            for account, number in queue.waiting().items():
                counts[account] = counts.get(account, 0) + number
        return counts

    def is_idle(self) -> bool:
        """Return whether no request waits or runs at this router."""
        return all(queue.is_idle() for queue in self._queues.values())

    def _find_refusal(self, work: Work) -> Refusal | None:
        account = self._document and self._document.accounts.get(work.account)
        if not account:
            return Refusal(NOT_READY, Verdict.NOT_RUN, retry_after=1)
        waiting = self._queue(work.service_name).count(work.account)
        if waiting < account.max_waiting:
            return None
        self._metrics.count('requests_refused', reason='too_many_waiting')
        wait = self._wait_estimator.estimate(work.account, waiting)
        return Refusal(TOO_MANY_WAITING, Verdict.NOT_RUN, retry_after=wait)

    def _queue(self, service_name: str) -> ServiceQueue:
        queue = self._queues.get(service_name)
        if queue is None:
            slice_name = slice_of(service_name, self._cfg.data_centre)
            queue = ServiceQueue(slice_name, self._loop.time)
            self._queues[service_name] = queue
        return queue

    def _update_view(self, view: View) -> None:
        local = view.hosts(self._cfg.data_centre)
        self._remote_hosts = set(view.hosts()).difference(local)

    def _receive_grants(self, sender: str, grants: Grants) -> None:
        if sender in self._remote_hosts:
            return
        queue = self._queue(grants.slice_name.split('/')[0])
        if sender != queue.dispatcher:
            self._return_slots(sender, queue, grants)
            return
        queue.grants_seen = grants.sequence
        queue.contended = grants.contended
        for number, account, endpoint in grants.slots:
            key = (grants.slice_name, grants.epoch, number)
            request = queue.pop(account)
            if request is None:
                queue.add_ended(key, UNUSED_RESULT)
                self._schedule_report(queue, 0)
                continue
            self._start_request(queue, key, request, endpoint)

    def _start_request(
        self,
        queue: ServiceQueue,
        key: SlotKey,
        request: QueuedRequest,
        endpoint: str,
    ) -> None:
        now = self._loop.time()
        slice_name, epoch, number = key
        slot = Slot(
            number,
            slice_name,
            epoch,
            request.work.account,
            endpoint,
            request.estimate,
            now,
        )
        queue.add_running(key, InFlightRequest(slot, request.work))
        self._wait_estimator.record_grant(request.work.account)
        self._metrics.count('wait_seconds', now - request.queued_at)
        request.fut.set_result(slot)

    def _return_slots(
        self,
        sender: str,
        queue: ServiceQueue,
        grants: Grants,
    ) -> None:
        """Return the slots of a dispatcher that this router doesn't follow.

        Totals that go back with them are also sent to the current dispatcher,
        as each change of a total is reported just once.
        """
        self._metrics.count('grants_refused', len(grants.slots))
        host = dispatcher_host(queue.slice_name, self._links.view)
        for number, _, _ in grants.slots:
            key = (grants.slice_name, grants.epoch, number)
            queue.add_ended(key, UNUSED_RESULT)
        for finished in queue.drain_finished():
            self._links.send(sender, finished)
            if host not in {None, sender} and finished.totals:
                self._links.send(str(host), finished)

    def _answer_query(self, sender: str, query: InFlightQuery) -> None:
        service_name, data_centre, _ = query.slice_name.split('/')
        if data_centre != self._cfg.data_centre:
            return
        queue = self._queue(service_name)
        is_followed = queue.follow(sender, query.epoch)
        self._links.send(sender, queue.in_flight())
        if is_followed:
            self._send_report(queue, full=True)

    def _expire(self, queue: ServiceQueue, request: QueuedRequest) -> None:
        if request.fut.done():
            return
        queue.remove(request)
        self._metrics.count('requests_refused', reason='deadline_passed')
        account = request.work.account
        wait = self._wait_estimator.estimate(account, queue.count(account))
        refusal = Refusal(DEADLINE_PASSED, Verdict.NOT_RUN, retry_after=wait)
        request.fut.set_result(refusal)
        self._schedule_report(queue, self._cfg.timing.report_interval)

    def _abandon(self, queue: ServiceQueue, request: QueuedRequest) -> None:
        queue.remove(request)
        if request.fut.done() and not request.fut.cancelled():
            outcome = request.fut.result()
            if isinstance(outcome, Slot):
                ending = SlotUse(Outcome.UNUSED, -1, Usage())
                self.release(outcome, ending)
        self._schedule_report(queue, self._cfg.timing.report_interval)

    def _cost(self, work: Work, usage: Usage) -> float:
        document = self._document
        pool = document and document.capacity.pools.get(work.service.pool)
        return cost_of(pool, usage) if pool else 0

    def _schedule_report(self, queue: ServiceQueue, delay: float) -> None:
        """Schedule a report to the dispatcher within ``delay`` seconds."""
        timer = self._scheduled.get(queue.slice_name)
        if timer is not None:
            if timer.when() <= self._loop.time() + delay:
                return
            timer.cancel()
        self._scheduled[queue.slice_name] = self._loop.call_later(
            delay,
            self._send_report,
            queue,
        )

    def _send_report(self, queue: ServiceQueue, full: bool = False) -> None:
        timer = self._scheduled.pop(queue.slice_name, None)
        if timer is not None:
            timer.cancel()
        host = dispatcher_host(queue.slice_name, self._links.view)
        if host is None:
            return
        for finished in queue.drain_finished():
            self._links.send(host, finished)
        demand = queue.drain_demand(full)
        if demand is not None:
            self._links.send(host, demand)


def _key_of(slot: Slot) -> SlotKey:
    return (slot.slice_name, slot.epoch, slot.number)
