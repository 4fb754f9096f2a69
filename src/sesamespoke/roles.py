"""The dispatchers that this host holds, as the view places them."""

import asyncio
from collections.abc import Iterable

import xxhash

from sesamespoke.dispatch import DispatcherDependencies
from sesamespoke.dispatch_map import remote_dispatchers, slot_holders
from sesamespoke.ledger import PoolLedger
from sesamespoke.ledger_shards import LedgerShards
from sesamespoke.links import Links, Member, View
from sesamespoke.messages import (
    Demand,
    Finished,
    Grants,
    InFlight,
    InFlightQuery,
)
from sesamespoke.metrics import Metrics
from sesamespoke.placement import cold_share, dispatcher_host, slice_of
from sesamespoke.pool_ledgers import PoolLedgers
from sesamespoke.role import DispatchRole
from sesamespoke.settings import Settings
from sesamespoke.slots import NO_COST
from sesamespoke.timeline import Timeline
from sesamespoke.world import Document, Revision


class DispatchRoles:
    """Creates and closes dispatchers, and brings them their messages."""

    def __init__(
        self,
        cfg: Settings,
        links: Links,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Hold no role yet; call within the event loop that will run it."""
        self._cfg = cfg
        self._links = links
        self._metrics = metrics
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()
        self._document: Document | None = None
        self._leaving: set[str] = set()
        self._roles: dict[str, DispatchRole] = {}
        started_ms = timeline.clock.now().wall_ms
        source = f'{cfg.host}.{started_ms}'
        self.books = PoolLedgers(source, links, self._loop.time)
        self.shards = LedgerShards(source, links, self._loop.time)
        self._members: dict[str, Member] = {}
        self._sites: dict[str, str] = {}
        self._subscribe()
        self._take_view(links.view)

    def set_revision(self, revision: Revision) -> None:
        """Put a revision in force in every dispatcher held here."""
        self._document = revision.document
        self.books.set_document(revision.document)
        self._place(revision.document)
        for role in self._roles.values():
            role.configure(revision.document, self._leaving)

    def set_leaving(self, endpoints: Iterable[str]) -> None:
        """Say which endpoints the platform lists as leaving."""
        self._leaving = set(endpoints)
        if self._document is not None:
            for role in self._roles.values():
                role.configure(self._document, self._leaving)

    async def run(self) -> None:
        """Exchange counts and unmet demand until cancelled."""
        while True:
            await asyncio.sleep(self._cfg.timing.counts_interval)
            if self._document is not None:
                self._send_counts(self._document)
            for role in self._roles.values():
                if role.dispatcher.granting:
                    role.borrower.report()

    def roles(self) -> list[str]:
        """Return the names of the slices that are dispatched here."""
        return sorted(self._roles)

    def endpoint_rows(self) -> list[dict[str, str | float | bool]]:
        """Return the endpoints of the slices dispatched here."""
        return [
            {'slice': role.slice_name, **row}
            for role in self._roles.values()
            for row in role.dispatcher.endpoints.rows()
        ]

    def _subscribe(self) -> None:
        links = self._links
        links.on_view(self._take_view)
        links.on_reconnected(self._ask_again)
        links.subscribe(Demand, self._take_demand)
        links.subscribe(Finished, self._take_finished)
        links.subscribe(InFlight, self._take_in_flight)
        links.subscribe(InFlightQuery, self._answer_query)
        links.subscribe(Grants, self._take_grants)

    def _take_view(self, view: View) -> None:
        before = self._members
        self._members = {member.host: member for member in view.members}
        self._note_sites()
        for host, member in before.items():
            now = self._members.get(host)
            restarted = now is not None and now.incarnation > member.incarnation
            if now is None or restarted:
                for role in self._roles.values():
                    role.lose(host, is_dead=restarted)
        document = self._document
        if document is None:
            return
        self._place(document)
        for name, role in self._roles.items():
            for holder in self._holders(name, document):
                role.welcome(holder)

    def _note_sites(self) -> None:
        for host, member in self._members.items():
            self._sites[host] = member.data_centre

    def _ask_again(self, host: str) -> None:
        for role in self._roles.values():
            role.ask(host)

    def _place(self, document: Document) -> None:
        view = self._links.view
        wanted = {
            name
            for name in document.services
            if self._is_ours(slice_of(name, self._cfg.data_centre), view)
        }
        for name in sorted(self._roles.keys() - wanted):
            self._roles.pop(name).close()
            self._timeline.record('dispatcher.closed', service=name)
        for name, role in self._roles.items():
            role.set_remotes(self._remotes(name, document))
        for name in sorted(wanted - self._roles.keys()):
            self._open_role(name, document)

    def _open_role(self, service_name: str, document: Document) -> None:
        pool = document.services[service_name].pool
        parts = self._parts(self.books.open_ledger(pool, document))
        number = xxhash.xxh32_intdigest(self._cfg.host.encode())
        role = DispatchRole(
            service_name,
            self._cfg.data_centre,
            number,
            parts,
        )
        self._roles[service_name] = role
        role.set_remotes(self._remotes(service_name, document))
        role.configure(document, self._leaving)
        self._timeline.record('dispatcher.opened', service=service_name)
        role.take_over(self._holders(service_name, document))

    def _parts(self, ledger: PoolLedger) -> DispatcherDependencies:
        return DispatcherDependencies(
            links=self._links,
            ledger=ledger,
            metrics=self._metrics,
            timeline=self._timeline,
            clock=self._loop.time,
            call_at=self._loop.call_at,
            grant_lifetime=self._cfg.timing.grant_lifetime,
            cold_share=lambda: cold_share(
                self._links.view,
                self._cfg.data_centre,
            ),
        )

    def _is_ours(self, slice_name: str, view: View) -> bool:
        holder = dispatcher_host(slice_name, view)
        return holder == self._cfg.host and not view.stale

    def _remotes(self, service_name: str, document: Document) -> dict[str, str]:
        site = self._cfg.data_centre
        return remote_dispatchers(
            service_name,
            site,
            document,
            self._links.view,
        )

    def _holders(
        self,
        service_name: str,
        document: Document,
    ) -> Iterable[str]:
        site = self._cfg.data_centre
        return slot_holders(service_name, site, document, self._links.view)

    def _active_accounts(self, pool: str, document: Document) -> set[str]:
        active: set[str] = set()
        for name, role in self._roles.items():
            if document.services[name].pool == pool:
                active.update(role.dispatcher.local.accounts())
                active.update(role.dispatcher.remote.accounts())
        return active

    def _send_counts(self, document: Document) -> None:
        pools = {document.services[name].pool for name in self._roles}
        for pool in sorted(pools):
            active = self._active_accounts(pool, document)
            self.books.report(pool, active)
        self.shards.send()

    def _role_of(self, slice_name: str) -> DispatchRole | None:
        return self._roles.get(slice_name.split('/')[0])

    def _is_local(self, host: str) -> bool:
        member = self._members.get(host)
        return member is None or member.data_centre == self._cfg.data_centre

    def _take_demand(self, sender: str, demand: Demand) -> None:
        role = self._role_of(demand.slice_name)
        if role is None or role.slice_name != demand.slice_name:
            self._metrics.count('messages_misplaced', kind='demand')
            return
        role.take_demand(sender, demand, is_local=self._is_local(sender))

    def _take_finished(self, sender: str, finished: Finished) -> None:
        role = self._role_of(finished.slice_name)
        if role is None:
            self._metrics.count('messages_misplaced', kind='finished')
            return
        role.take_finished(sender, finished)

    def _take_in_flight(self, sender: str, found: InFlight) -> None:
        role = self._role_of(found.slice_name)
        if role is None or role.slice_name != found.slice_name:
            return
        is_local = self._is_local(sender)
        role.take_in_flight(sender, found, is_local=is_local)
        site = self._sites.get(sender)
        if site not in {None, self._cfg.data_centre}:
            former = [host for host, at in self._sites.items() if at == site]
            role.succeed(sender, former)

    def _answer_query(self, sender: str, query: InFlightQuery) -> None:
        role = self._role_of(query.slice_name)
        if query.slice_name.split('/')[1] == self._cfg.data_centre:
            return
        if role is not None and role.knows_borrowed:
            answer = role.borrower.answer(query.slice_name, query.epoch)
            self._links.send(sender, answer)

    def _take_grants(self, sender: str, grants: Grants) -> None:
        if self._is_local(sender):
            return
        role = self._role_of(grants.slice_name)
        if role is not None:
            role.borrower.take_grants(sender, grants)
            return
        ended = tuple((row[0], 0, -1, NO_COST) for row in grants.slots)
        back = Finished(
            grants.slice_name,
            grants.epoch,
            grants.sequence,
            ended,
            (),
        )
        self._links.send(sender, back)
