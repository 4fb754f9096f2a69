"""A request that crashes endpoints, among others that do not."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import looptime
from hypothesis import given
from hypothesis import strategies as st

from sesamespoke.links import Handler, Member, MessageT, View
from sesamespoke.messages import Message
from sesamespoke.metrics import Metrics
from sesamespoke.quarantine import (
    EXPIRY_SECONDS,
    RETRIAL_SECONDS,
    Quarantine,
)
from sesamespoke.suspects import Standing
from sesamespoke.timeline import Timeline

POISON = b'poison'
HOSTS = ('h0', 'h1', 'h2')
ENDPOINTS = ('e0', 'e1', 'e2', 'e3', 'e4')
DELAY_SECONDS = 0.002


def run_virtual(coro: Coroutine[Any, Any, None]) -> None:
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(coro)
    finally:
        loop.close()


class DelayedLinks:
    """Links between hosts of one process, with a delay."""

    def __init__(self, host: str, net: dict[str, 'DelayedLinks']) -> None:
        self.host = host
        self.data_centre = 'peiraias'
        self.handlers: dict[type, Callable[[str, Any], None]] = {}
        self._net = net
        self._queue: deque[tuple[str, Message]] = deque()
        net[host] = self

    @property
    def view(self) -> View:
        members = tuple(Member(host, 'peiraias', 1) for host in self._net)
        return View(1, members)

    def send(self, host: str, message: Message) -> bool:
        self._queue.append((host, message))
        asyncio.get_running_loop().call_later(DELAY_SECONDS, self._deliver)
        return True

    def _deliver(self) -> None:
        """Deliver in order, which timers of equal times do not keep."""
        host, message = self._queue.popleft()
        self._net[host].handlers[type(message)](self.host, message)

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Handler[MessageT],
    ) -> None:
        self.handlers[kind] = handler

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Views do not change."""

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """Paths stay."""


@dataclass
class Fleet:
    """Hosts that run requests at endpoints which the poison crashes."""

    rng: random.Random
    metrics: Metrics = field(default_factory=lambda: Metrics('test'))
    crashed: list[str] = field(default_factory=list)
    answered: set[bytes] = field(default_factory=set)

    def __post_init__(self) -> None:
        net: dict[str, DelayedLinks] = {}
        self.hosts = [
            Quarantine(
                DelayedLinks(host, net),
                self.metrics,
                Timeline(host, 'peiraias'),
            )
            for host in HOSTS
        ]
        self.running: dict[str, list[asyncio.Event]] = {
            name: [] for name in ENDPOINTS
        }

    async def ask(self, digest: bytes, number: int) -> Standing:
        """Ask one host until the request is answered or refused."""
        host = self.hosts[number]
        while host.standing(digest) is not Standing.REFUSED:
            endpoint = self.rng.choice(ENDPOINTS)
            if endpoint in host.crashed(digest):
                continue
            if not await host.begin_trial(digest, endpoint):
                await asyncio.sleep(0.05)
            elif await self.run_at(endpoint, digest):
                host.release(digest)
                self.answered.add(digest)
                return Standing.CLEAR
            else:
                host.note_crash(digest, endpoint)
        return Standing.REFUSED

    async def run_at(self, endpoint: str, digest: bytes) -> bool:
        """Return whether the endpoint lived until the answer."""
        crash = asyncio.Event()
        self.running[endpoint].append(crash)
        seconds = self.rng.uniform(0.01, 0.5)
        if digest == POISON:
            await asyncio.sleep(seconds)
            self.crashed.append(endpoint)
            for event in self.running[endpoint]:
                event.set()
            self.running[endpoint].clear()
            return False
        try:
            async with asyncio.timeout(seconds):
                await crash.wait()
        except TimeoutError:
            self.running[endpoint].remove(crash)
            return True
        return False


@given(st.integers(0, 2**32), st.integers(1, 40))
def test_poison_crashes_two_endpoints_and_no_other_is_refused(
    seed: int,
    others: int,
) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        fleet = Fleet(rng)

        async def ask_later(digest: bytes) -> Standing:
            await asyncio.sleep(rng.uniform(0, 0.3))
            return await fleet.ask(digest, rng.randrange(len(HOSTS)))

        asked = [b'%d' % number for number in range(others)]
        ends = await asyncio.gather(
            ask_later(POISON),
            *(ask_later(digest) for digest in asked),
        )
        assert ends[0] is Standing.REFUSED
        assert len(fleet.crashed) <= 2
        assert fleet.answered == set(asked)
        await asyncio.sleep(1)
        for host in fleet.hosts:
            assert host.standing(POISON) is Standing.REFUSED
            assert [entry.digest for entry in host.entries()] == [POISON.hex()]
            assert await fleet.ask(POISON, 0) is Standing.REFUSED
        assert len(fleet.crashed) <= 2
        await asyncio.sleep(EXPIRY_SECONDS)
        assert fleet.hosts[1].standing(POISON) is Standing.CLEAR
        fleet.metrics.close()

    run_virtual(scenario())


def test_released_digest_is_free_everywhere() -> None:
    async def scenario() -> None:
        fleet = Fleet(random.Random(1))
        assert await fleet.ask(POISON, 0) is Standing.REFUSED
        await asyncio.sleep(1)
        assert fleet.hosts[2].release(POISON)
        assert not fleet.hosts[2].release(POISON)
        await asyncio.sleep(1)
        assert fleet.hosts[1].standing(POISON) is Standing.CLEAR
        fleet.metrics.close()

    run_virtual(scenario())


def test_refused_request_is_tried_alone_after_a_while() -> None:
    async def scenario() -> None:
        fleet = Fleet(random.Random(1))
        for host, endpoint in zip(fleet.hosts, ENDPOINTS, strict=False):
            host.note_crash(b'sound', endpoint)
        await asyncio.sleep(1)
        assert await fleet.ask(b'sound', 0) is Standing.REFUSED
        await asyncio.sleep(2 * RETRIAL_SECONDS)
        ends = [await fleet.ask(b'sound', number) for number in range(3)]
        assert ends == [Standing.CLEAR] * 3
        await asyncio.sleep(1)
        assert fleet.hosts[2].standing(b'sound') is Standing.CLEAR
        fleet.metrics.close()

    run_virtual(scenario())
