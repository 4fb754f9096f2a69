"""One router of each data centre reads the endpoint list for the others."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from support import run
from support_serving_jobs import ENGINE, endpoints_of

from sesamespoke.links import Handler, Member, MessageT, View
from sesamespoke.messages import Message
from sesamespoke.serving.directory import (
    RELIST_GRACE_SECONDS,
    Directory,
    ListedEndpoint,
    Listing,
)
from sesamespoke.serving.endpoint_list_sharing import (
    READER_TIMEOUT_INTERVALS,
    EndpointListSharing,
)
from sesamespoke.serving.store_era import StoreEra

INTERVAL = 0.8
HOSTS = tuple(f'host-{number}' for number in range(20))
ENDPOINTS = endpoints_of(ENGINE, 4)


@dataclass
class FakeNetwork:
    """Delivers a broadcast to all other hosts immediately."""

    nodes: dict[str, 'Node'] = field(default_factory=dict)
    sent: int = 0

    def deliver(self, sender: str, message: Message) -> None:
        for host, node in self.nodes.items():
            if host != sender and not node.cut_off:
                self.sent += 1
                node.handlers[type(message)](sender, message)


@dataclass
class Node:
    """One host's links, endpoint directory and list sharing."""

    host: str
    network: FakeNetwork
    data_centre: str = 'land'
    cut_off: bool = False
    handlers: dict[type, Callable[..., None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network.nodes[self.host] = self
        self.directory = Directory(asyncio.get_running_loop().time)
        self.sharing = EndpointListSharing(self, self.directory, StoreEra())

    @property
    def view(self) -> View:
        members = (Member(host, 'land', 1) for host in HOSTS)
        remote = (Member(f'{host}-far', 'sea', 1) for host in HOSTS)
        return View(1, (*members, *remote))

    def broadcast(self, message: Message) -> None:
        raise AssertionError('a list was sent outside the data centre')

    def broadcast_local(self, message: Message) -> None:
        if not self.cut_off:
            self.network.deliver(self.host, message)

    def broadcast_to(self, data_centre: str, message: Message) -> bool:
        raise AssertionError('a list was sent outside the data centre')

    def subscribe(
        self, kind: type[MessageT], handler: Handler[MessageT]
    ) -> None:
        self.handlers[kind] = handler

    def send(self, host: str, message: Message) -> bool:
        return False

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Do nothing: the view never changes in these tests."""

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """Do nothing: connections are never lost in these tests."""

    def read_list(
        self, revision: int, endpoints: tuple[ListedEndpoint, ...] = ENDPOINTS
    ) -> None:
        listing = Listing(revision, endpoints)
        self.directory.replace(listing)
        self.sharing.publish()


def make_nodes() -> tuple[list[Node], list[Node]]:
    """Return the nodes that are readers, and the other nodes."""
    network = FakeNetwork()
    nodes = [Node(host, network) for host in HOSTS]
    readers = [node for node in nodes if node.sharing.is_reader()]
    return readers, [node for node in nodes if not node.sharing.is_reader()]


def test_one_reader_updates_all_routers_of_its_data_centre() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        assert len(readers) == 1
        readers[0].read_list(10)
        for node in others:
            assert node.directory.usable('llm') == ENDPOINTS
            assert not node.sharing.must_read(INTERVAL)

    run(steps())


def test_an_unchanged_list_is_confirmed_at_its_new_revision() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        readers[0].read_list(10)
        await asyncio.sleep(INTERVAL * 1.5)
        readers[0].read_list(11)
        assert others[0].directory.revision == 11
        assert not others[0].sharing.must_read(INTERVAL)

    run(steps())


def test_an_older_list_is_ignored() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        readers[0].read_list(20, ENDPOINTS[:2])
        readers[0].read_list(10)
        assert others[0].directory.usable('llm') == ENDPOINTS[:2]

    run(steps())


def test_every_router_reads_the_list_when_the_reader_is_cut_off() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        readers[0].read_list(10)
        for node in readers:
            node.cut_off = True
        await asyncio.sleep(INTERVAL * READER_TIMEOUT_INTERVALS + 0.01)
        assert all(node.sharing.must_read(INTERVAL) for node in others)

    run(steps())


def test_a_list_with_another_digest_is_not_confirmed() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        readers[0].read_list(10)
        await asyncio.sleep(1)
        leaving = (replace(ENDPOINTS[0], leaving=True), *ENDPOINTS[1:])
        others[0].directory.replace(Listing(11, leaving))
        at = others[0].directory.listed_at
        await asyncio.sleep(1)
        readers[0].read_list(12)
        assert others[0].directory.listed_at == at
        assert others[0].directory.usable('llm') == ENDPOINTS[1:]

    run(steps())


def test_confirmed_list_ends_the_grace_period_of_missing_endpoints() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        readers[0].read_list(10)
        others[0].directory.note_outage()
        readers[0].read_list(11, ENDPOINTS[1:])
        assert set(others[0].directory.usable('llm')) == set(ENDPOINTS)
        await asyncio.sleep(RELIST_GRACE_SECONDS + 0.1)
        readers[0].read_list(12, ENDPOINTS[1:])
        assert others[0].directory.usable('llm') == ENDPOINTS[1:]
        assert not others[0].directory.is_usable(ENDPOINTS[0])

    run(steps())


def test_cold_starts_and_leaving_endpoints_are_published() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        now = asyncio.get_running_loop().time()
        cold = replace(ENDPOINTS[0], cold_until=now + 2)
        leaving = replace(ENDPOINTS[1], leaving=True)
        readers[0].read_list(10, (cold, leaving))
        known = others[0].directory.endpoints
        assert known[cold.name].cold_until == now + 2
        assert others[0].directory.usable('llm') == (known[cold.name],)

    run(steps())


def test_a_mismatch_of_the_operator_config_is_reported() -> None:
    async def steps() -> None:
        readers, others = make_nodes()
        reported: list[str] = []
        others[0].sharing.on_operator_config_mismatch = lambda: reported.append(
            'again'
        )
        readers[0].read_list(10)
        assert not reported
        readers[0].sharing.operator_config_digest = lambda: 7
        readers[0].read_list(11)
        assert reported == ['again']

    run(steps())
