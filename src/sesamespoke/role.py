"""One dispatcher's life at one host: takeover, service, hand-over."""

from collections.abc import Iterable, Mapping

from sesamespoke.borrowing import Borrower
from sesamespoke.counts import ServiceMeter
from sesamespoke.dispatch import Dispatcher, DispatcherDependencies
from sesamespoke.messages import Demand, Finished, InFlight, InFlightQuery
from sesamespoke.placement import slice_of
from sesamespoke.world import Document, Endpoint, EndpointState

EPOCH_STEP = 256
RECHECK_SECONDS = 0.1
SWEEP_SECONDS = 0.2


def next_epoch(seen: int, host_number: int) -> int:
    """Return an epoch above one seen, different for different hosts."""
    return (seen // EPOCH_STEP + 1) * EPOCH_STEP + host_number % EPOCH_STEP


class DispatchRole:
    """A dispatcher with what it borrows and meters.

    It grants only after every expected holder has told what it holds, or
    the lifetime of its predecessor's grants has passed.
    """

    def __init__(
        self,
        service_name: str,
        data_centre: str,
        host_number: int,
        parts: DispatcherDependencies,
    ) -> None:
        """Prepare a role; ``take_over`` starts it."""
        self.service_name = service_name
        self.slice_name = slice_of(service_name, data_centre)
        epoch = next_epoch(0, host_number)
        self.dispatcher = Dispatcher(self.slice_name, epoch, parts)
        self.borrower = Borrower(self.dispatcher, parts)
        self.meter = ServiceMeter(parts.ledger)
        self.closed = False
        self.knows_borrowed = False
        self._work_seconds: float = 0
        self._data_centre = data_centre
        self._host_number = host_number
        self._parts = parts
        self._known: set[str] = set()
        self._awaited: set[str] = set()
        self._asked_at: dict[str, float] = {}

    def configure(self, document: Document, leaving: set[str]) -> None:
        """Take over a revision; ``leaving`` names endpoints that go."""
        service = document.services[self.service_name]
        here = {
            name: endpoint
            for name, endpoint in service.endpoints.items()
            if endpoint.data_centre == self._data_centre
        }
        site = document.data_centres.get(self._data_centre)
        in_service = site is not None and site.in_service
        closed = _closed_endpoints(here, leaving) if in_service else set(here)
        self.dispatcher.endpoints.configure(service, here, closed)
        self.dispatcher.locality_slack = document.capacity.locality_slack
        self._work_seconds = service.deadline_seconds
        self.dispatcher.schedule()

    def take_over(self, holders: Iterable[str]) -> None:
        """Ask the holders for their work in flight, then start to grant."""
        self._awaited = set(holders)
        for holder in sorted(self._awaited):
            self.ask(holder)
        deadline = self._parts.clock() + self._parts.grant_lifetime
        self._parts.call_at(deadline, self._begin)
        self._check_answers()

    def welcome(self, holder: str) -> None:
        """Ask a holder that has come into view for its work in flight."""
        if holder in self._known:
            return
        if not self.dispatcher.granting:
            self._awaited.add(holder)
        self.ask(holder)

    def ask(self, holder: str) -> None:
        """Ask a holder for its work in flight."""
        query = InFlightQuery(self.slice_name, self.dispatcher.epoch)
        if not self._parts.links.send(holder, query):
            self._awaited.discard(holder)

    def take_demand(
        self,
        sender: str,
        demand: Demand,
        *,
        is_local: bool,
    ) -> None:
        """Take a report of waiting work."""
        self.welcome(sender)
        in_step = self.dispatcher.receive_demand(sender, is_local, demand)
        if not in_step or (is_local and demand.epoch != self.dispatcher.epoch):
            self._ask_again(sender)
        if is_local and self.dispatcher.granting:
            self.borrower.report(at_once=True)

    def take_finished(self, sender: str, finished: Finished) -> None:
        """Free slots here, or return them to where they belong."""
        if finished.totals:
            self.meter.observe(sender, finished.totals)
        self.dispatcher.record_grants_seen(sender, finished.grants_seen)
        if finished.slice_name == self.slice_name:
            self.dispatcher.receive_finished(finished)
        else:
            self.borrower.take_finished(finished)

    def take_in_flight(
        self,
        sender: str,
        found: InFlight,
        *,
        is_local: bool,
    ) -> None:
        """Take a holder's answer; a higher epoch there is outbid."""
        if found.epoch > self.dispatcher.epoch:
            self.dispatcher.epoch = next_epoch(found.epoch, self._host_number)
            self.take_over({*self._known, *self._awaited, sender})
            return
        self._known.add(sender)
        self.meter.observe(sender, found.totals)
        self.dispatcher.reconcile(sender, found, is_local=is_local)
        self.borrower.adopt(sender, found)
        self._awaited.discard(sender)
        self._check_answers()

    def lose(self, holder: str, *, is_dead: bool) -> None:
        """Handle a holder that is out of reach, or has surely died."""
        self._known.discard(holder)
        self.meter.drop_router(holder)
        self.dispatcher.drop_demand(holder)
        if is_dead:
            self.dispatcher.free_all(holder)
            self.borrower.drop_holder(holder)
        else:
            self._sweep(holder)
        self._awaited.discard(holder)
        self._check_answers()

    def succeed(self, sender: str, former: Iterable[str]) -> None:
        """Free what former borrowers of a data centre held.

        Its new one has told of all that its routers still hold.
        """
        for host in former:
            if host != sender:
                self.dispatcher.free_all(host)

    def close(self) -> None:
        """Stop granting; the successor asks the holders itself."""
        self.closed = True
        self.dispatcher.granting = False
        self.meter.close()

    def set_remotes(self, remotes: Mapping[str, str]) -> None:
        """Say which hosts dispatch the other slices of the service."""
        self.borrower.remotes = remotes

    def _ask_again(self, holder: str) -> None:
        """Ask a holder that is out of step, but not all the time."""
        now = self._parts.clock()
        if now - self._asked_at.get(holder, -RECHECK_SECONDS) > RECHECK_SECONDS:
            self._asked_at[holder] = now
            self.ask(holder)

    def _check_answers(self) -> None:
        """Announce what is borrowed, and grant, once that is known."""
        view = self._parts.links.view
        near = view.hosts(self._data_centre)
        if not self._awaited.intersection(near):
            self._announce()
        if not self._awaited:
            self._begin()

    def _announce(self) -> None:
        if not self.knows_borrowed and not self.closed:
            self.knows_borrowed = True
            self.borrower.announce()

    def _begin(self) -> None:
        if self.closed or self.dispatcher.granting:
            return
        self._awaited.clear()
        self._announce()
        self._parts.timeline.record(
            'dispatcher.granting',
            slice=self.slice_name,
            epoch=self.dispatcher.epoch,
            in_flight=len(self.dispatcher.slots),
        )
        self.dispatcher.start_granting()

    def _sweep(self, holder: str) -> None:
        """Free a lost holder's slots as they fall due."""
        if holder in self._known or self.closed:
            return
        left = self.dispatcher.free_overdue(holder, self._work_seconds)
        lent = self.borrower.return_overdue(holder, self._work_seconds)
        if left or lent:
            again = self._parts.clock() + SWEEP_SECONDS
            self._parts.call_at(again, lambda: self._sweep(holder))


def _closed_endpoints(
    endpoints: Mapping[str, Endpoint],
    leaving: set[str],
) -> set[str]:
    return {
        name
        for name, endpoint in endpoints.items()
        if name in leaving or endpoint.state is EndpointState.LEAVING
    }
