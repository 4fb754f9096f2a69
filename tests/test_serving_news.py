"""A router of each data centre reads the platform's list for all there."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from support import run
from support_serving_jobs import ENGINE, endpoints_of

from sesamespoke.links import Handler, Member, MessageT, View
from sesamespoke.messages import Message
from sesamespoke.serving.directory import Directory, ListedEndpoint, Listing
from sesamespoke.serving.news import PATIENCE, News

INTERVAL = 0.8
HOSTS = tuple(f'host-{number}' for number in range(20))
ENDPOINTS = endpoints_of(ENGINE, 4)


@dataclass
class Wire:
    """Delivers broadcasts to all other hosts at once."""

    nodes: dict[str, 'Node'] = field(default_factory=dict)
    sent: int = 0

    def carry(self, sender: str, message: Message) -> None:
        for host, node in self.nodes.items():
            if host != sender and not node.cut_off:
                self.sent += 1
                node.handlers[type(message)](sender, message)


@dataclass
class Node:
    """One host's links, directory and news."""

    host: str
    wire: Wire
    data_centre: str = 'land'
    cut_off: bool = False
    handlers: dict[type, Callable[..., None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.wire.nodes[self.host] = self
        self.directory = Directory(asyncio.get_running_loop().time)
        self.news = News(self, self.directory)

    @property
    def view(self) -> View:
        members = (Member(host, 'land', 1) for host in HOSTS)
        far = (Member(f'{host}-far', 'sea', 1) for host in HOSTS)
        return View(1, (*members, *far))

    def broadcast(self, message: Message) -> None:
        raise AssertionError('lists are told within the data centre')

    def broadcast_local(self, message: Message) -> None:
        if not self.cut_off:
            self.wire.carry(self.host, message)

    def broadcast_to(self, data_centre: str, message: Message) -> bool:
        raise AssertionError('lists are told within the data centre')

    def subscribe(
        self, kind: type[MessageT], handler: Handler[MessageT]
    ) -> None:
        self.handlers[kind] = handler

    def send(self, host: str, message: Message) -> bool:
        return False

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Views never change here."""

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """Paths never change here."""

    def read(
        self, revision: int, endpoints: tuple[ListedEndpoint, ...] = ENDPOINTS
    ) -> None:
        listing = Listing(revision, endpoints)
        self.directory.replace(listing)
        self.news.tell(listing)


def opened() -> tuple[list[Node], list[Node]]:
    """Return the readers and the others."""
    wire = Wire()
    nodes = [Node(host, wire) for host in HOSTS]
    readers = [node for node in nodes if node.news.is_reader()]
    return readers, [node for node in nodes if not node.news.is_reader()]


def test_a_few_read_and_all_know() -> None:
    async def steps() -> None:
        readers, others = opened()
        assert len(readers) == 1
        readers[0].read(10)
        for node in others:
            assert node.directory.usable('llm') == ENDPOINTS
            assert not node.news.must_read(INTERVAL)

    run(steps())


def test_an_unchanged_list_is_confirmed_in_few_bytes() -> None:
    async def steps() -> None:
        readers, others = opened()
        readers[0].read(10)
        await asyncio.sleep(INTERVAL * 1.5)
        readers[0].read(11)
        assert others[0].directory.revision == 11
        assert not others[0].news.must_read(INTERVAL)

    run(steps())


def test_what_is_older_than_what_is_known_changes_nothing() -> None:
    async def steps() -> None:
        readers, others = opened()
        readers[0].read(20, ENDPOINTS[:2])
        readers[0].read(10)
        assert others[0].directory.usable('llm') == ENDPOINTS[:2]

    run(steps())


def test_without_news_every_router_reads_by_itself() -> None:
    async def steps() -> None:
        readers, others = opened()
        readers[0].read(10)
        for node in readers:
            node.cut_off = True
        await asyncio.sleep(INTERVAL * PATIENCE + 0.01)
        assert all(node.news.must_read(INTERVAL) for node in others)

    run(steps())


def test_a_list_that_differs_from_the_confirmed_one_is_not_confirmed() -> None:
    async def steps() -> None:
        readers, others = opened()
        readers[0].read(10)
        await asyncio.sleep(1)
        leaving = (replace(ENDPOINTS[0], leaving=True), *ENDPOINTS[1:])
        others[0].directory.replace(Listing(11, leaving))
        at = others[0].directory.listed_at
        await asyncio.sleep(1)
        readers[0].read(12)
        assert others[0].directory.listed_at == at
        assert others[0].directory.usable('llm') == ENDPOINTS[1:]

    run(steps())


def test_cold_starts_and_leaving_are_told() -> None:
    async def steps() -> None:
        readers, others = opened()
        now = asyncio.get_running_loop().time()
        cold = replace(ENDPOINTS[0], cold_until=now + 2)
        leaving = replace(ENDPOINTS[1], leaving=True)
        readers[0].read(10, (cold, leaving))
        known = others[0].directory.endpoints
        assert known[cold.name].cold_until == now + 2
        assert others[0].directory.usable('llm') == (known[cold.name],)

    run(steps())


def test_other_orders_of_a_peer_are_looked_up() -> None:
    async def steps() -> None:
        readers, others = opened()
        asked: list[str] = []
        others[0].news.on_other_orders = lambda: asked.append('again')
        readers[0].read(10)
        assert not asked
        readers[0].news.orders_digest = lambda: 7
        readers[0].read(11)
        assert asked == ['again']

    run(steps())
