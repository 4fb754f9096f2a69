"""A fake network of hosts in one event loop, at the Links interface."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import looptime

from sesamespoke.links import Handler, Member, MessageT, View
from sesamespoke.messages import Message

ResultT = TypeVar('ResultT')


def run_paused(coro: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in a loop whose clock jumps when all tasks wait.

    Nothing comes from outside the loop, so that the clock needn't wait for it.
    """
    loop = looptime.new_event_loop()
    loop.setup_looptime(start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(coro)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class FakeNetwork:
    """Hosts that hear each other after a delay, unless they are cut off."""

    def __init__(self, delay: float = 0.0005) -> None:
        self.delay = delay
        self.far_delay = 0.0015
        self.links: dict[str, FakeLinks] = {}
        self.cuts: set[frozenset[str]] = set()
        self.sent: defaultdict[str, int] = defaultdict(int)

    def join(self, host: str, data_centre: str) -> 'FakeLinks':
        links = FakeLinks(self, host, data_centre)
        self.links[host] = links
        self.refresh()
        return links

    def kill(self, host: str) -> None:
        self.links.pop(host).alive = False
        self.refresh()

    def cut(self, side: set[str]) -> None:
        """Cut a set of hosts off from all others."""
        others = self.links.keys() - side
        self.cuts |= {frozenset((a, b)) for a in side for b in others}
        self.refresh()

    def heal(self) -> None:
        self.cuts.clear()
        self.refresh()
        for links in self.links.values():
            for host in self.links:
                links.tell_reconnected(host)

    def lose_on_the_way(self, source: str, target: str) -> None:
        """Break a stream: what is on its way is lost, then it is new."""
        lost = self.links[source].on_the_way[target]
        for index in range(len(lost)):
            lost[index] = None
        self.links[source].tell_reconnected(target)
        self.links[target].tell_reconnected(source)

    def reaches(self, source: str, target: str) -> bool:
        joined = {source, target} <= self.links.keys()
        return joined and frozenset((source, target)) not in self.cuts

    def refresh(self) -> None:
        for links in self.links.values():
            links.take_members(tuple(self.links.values()))


class FakeLinks:
    """One host's side of a ``FakeNetwork``."""

    def __init__(
        self, network: FakeNetwork, host: str, data_centre: str
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.alive = True
        self.leaving = False
        self.view = View(0, ())
        self.known: tuple[str, ...] = ()
        self._network = network
        self.on_the_way: defaultdict[str, deque[Message | None]] = defaultdict(
            deque
        )
        self._handlers: defaultdict[type[Any], list[Handler[Any]]] = (
            defaultdict(list)
        )
        self._view_handlers: list[Callable[[View], None]] = []
        self._reconnected: list[Callable[[str], None]] = []
        self._incarnation = int(asyncio.get_running_loop().time() * 1000)

    def take_members(self, hosts: 'tuple[FakeLinks, ...]') -> None:
        members = tuple(
            Member(one.host, one.data_centre, one._incarnation, one.leaving)
            for one in hosts
            if self._network.reaches(self.host, one.host)
        )
        if members != self.view.members:
            known = self.known or tuple(
                one.host for one in hosts if one.data_centre == self.data_centre
            )
            self.view = View(self.view.number + 1, members, known=known)
            for handler in self._view_handlers:
                handler(self.view)

    def broadcast(self, message: Message) -> None:
        for member in self.view.members:
            if member.host != self.host:
                self.send(member.host, message)

    def broadcast_local(self, message: Message) -> None:
        self.broadcast_to(self.data_centre, message)

    def broadcast_to(self, data_centre: str, message: Message) -> bool:
        hosts = set(self.view.hosts(data_centre)) - {self.host}
        return all([self.send(host, message) for host in sorted(hosts)])

    def send(self, host: str, message: Message) -> bool:
        if not self.alive or not self._network.reaches(self.host, host):
            return False
        self._network.sent[type(message).__name__] += 1
        loop = asyncio.get_running_loop()
        target = self._network.links[host]
        near = target.data_centre == self.data_centre
        delay = self._network.delay if near else self._network.far_delay
        if host == self.host:
            delay = 0
        self.on_the_way[host].append(message)
        loop.call_later(delay, self._deliver, target)
        return True

    def _deliver(self, target: 'FakeLinks') -> None:
        message = self.on_the_way[target.host].popleft()
        reaches = self._network.reaches(self.host, target.host)
        if message is None or not (self.alive and target.alive and reaches):
            return
        for handler in target._handlers[type(message)]:
            handler(self.host, message)

    def subscribe(
        self, kind: type[MessageT], handler: Handler[MessageT]
    ) -> None:
        self._handlers[kind].append(handler)

    def on_view(self, handler: Callable[[View], None]) -> None:
        self._view_handlers.append(handler)

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        self._reconnected.append(handler)

    def tell_reconnected(self, host: str) -> None:
        for handler in self._reconnected:
            handler(host)
