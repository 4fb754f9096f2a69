"""What routers know of each other's loads, over data centres and cuts."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from itertools import combinations
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support_fleet import FakeFleet
from support_transport import run_on_loop_clock

from sesamespoke.peers import PeerStreams
from sesamespoke.routing_messages import RouterLoads, SiteLoads
from sesamespoke.serving.data_centre_loads import (
    FALLBACK_INTERVAL_SECONDS,
    MAX_RECEIVED_PER_SECOND,
    DataCentreReports,
)
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import LoadBook
from sesamespoke.serving.peer_loads import MAX_LOCAL_BROADCAST_HOSTS, PeerLoads

SMALL = {'marousi': 3, 'peiraias': 3, 'spata': 3}
MIDDLE = {'marousi': 6, 'peiraias': 6, 'spata': 6}
CROWDED = {
    'marousi': MAX_LOCAL_BROADCAST_HOSTS + 2,
    'spata': MAX_LOCAL_BROADCAST_HOSTS + 3,
}
MEETING_SECONDS = 6
NEWS_SECONDS = 0.7
"""A report, a carrier's turn and the way between data centres."""
HEALED_SECONDS = 8
"""Streams are dialled anew for two seconds, and views follow."""


class Router:
    """The loads of one router on its peer streams."""

    def __init__(self, peers: PeerStreams) -> None:
        clock = asyncio.get_running_loop().time
        self.book = LoadBook(clock)
        self.shares = FairShares(clock)
        self.near = PeerLoads(peers, self.book, self.shares)
        self.sites = DataCentreReports(
            peers,
            self.book,
            self.shares,
            self.near.aggregators,
            clock,
            self._note_line,
        )
        self.taken: Counter[type] = Counter()
        self.lines: list[tuple[str, object]] = []
        peers.subscribe(RouterLoads, self._count)
        peers.subscribe(SiteLoads, self._count)
        self.tasks = [
            asyncio.create_task(self.near.run()),
            asyncio.create_task(self.sites.run()),
        ]

    def _note_line(self, event: str, /, **facts: object) -> None:
        self.lines.append((event, facts['name']))

    def _count(self, sender: str, message: object) -> None:
        self.taken[type(message)] += 1

    def running(self, endpoint: str = 'e') -> int:
        return self.book.total(endpoint).running


class Fleet:
    """Routers of several data centres, over a network in memory."""

    def __init__(self, sizes: dict[str, int]) -> None:
        self.peers = FakeFleet(sizes)
        self.routers: dict[str, Router] = {}

    async def start(self) -> None:
        await self.peers.start()
        for host, peers in self.peers.hosts.items():
            self.routers[host] = Router(peers)
        await asyncio.sleep(MEETING_SECONDS)

    async def stop(self) -> None:
        for router in self.routers.values():
            for task in router.tasks:
                task.cancel()
        await self.peers.stop()

    def seen(self) -> set[int]:
        return {router.running() for router in self.routers.values()}

    def cut(self, one: str, other: str) -> None:
        self.peers.partition(
            self.peers.hosts_of(one), self.peers.hosts_of(other)
        )


def play(sizes: dict[str, int], steps: Any) -> None:
    async def main() -> None:
        fleet = Fleet(sizes)
        await fleet.start()
        await steps(fleet)
        await fleet.stop()

    coro: Coroutine[Any, Any, None] = main()
    run_on_loop_clock(coro)


@pytest.mark.parametrize('sizes', [SMALL, MIDDLE, CROWDED])
def test_all_routers_know_the_work_in_flight_at_an_endpoint(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        running = [
            router.book.begin('e', 10) for router in fleet.routers.values()
        ]
        await asyncio.sleep(NEWS_SECONDS)
        assert fleet.seen() == {len(running)}
        for router, each in zip(
            fleet.routers.values(), running[:4], strict=False
        ):
            router.book.end(each)
        await asyncio.sleep(NEWS_SECONDS)
        assert fleet.seen() == {len(running) - 4}

    play(sizes, steps)


@pytest.mark.parametrize('sizes', [SMALL, MIDDLE, CROWDED])
def test_what_accounts_ask_and_get_is_known_everywhere(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.shares.add_usage('a', 100)
            router.near.record_grant('a', 100)
        await asyncio.sleep(NEWS_SECONDS)
        used = [router.shares.used('a') for router in fleet.routers.values()]
        assert max(used) <= 100 * len(used)
        assert max(used) - min(used) <= 0.02 * max(used)

    play(sizes, steps)


def test_in_a_crowded_data_centre_few_messages_reach_a_host() -> None:
    seconds = 4

    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.taken.clear()
        for _ in range(seconds * 10):
            for router in fleet.routers.values():
                router.book.begin('e', 10)
            await asyncio.sleep(0.1)
        carriers = {
            host
            for router in fleet.routers.values()
            for host in router.near.aggregators.hosts
        }
        for host, router in fleet.routers.items():
            if host not in carriers:
                assert router.taken[RouterLoads] == 0
                assert (
                    router.taken[SiteLoads] <= MAX_RECEIVED_PER_SECOND * seconds
                )

    play(CROWDED, steps)


@pytest.mark.parametrize('sizes', [SMALL, MIDDLE, CROWDED])
def test_a_carrier_that_dies_leaves_no_wrong_sum(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        await asyncio.sleep(NEWS_SECONDS)
        some = next(iter(fleet.routers.values()))
        lost = some.near.aggregators.hosts[0]
        for task in fleet.routers.pop(lost).tasks:
            task.cancel()
        await fleet.peers.die(lost, refusing=False)
        await asyncio.sleep(HEALED_SECONDS)
        assert fleet.seen() == {sum(sizes.values()) - 1}

    play(sizes, steps)


@pytest.mark.parametrize('sizes', [SMALL, MIDDLE])
def test_news_passes_by_a_third_data_centre_where_two_are_cut(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.cut('marousi', 'spata')
        await asyncio.sleep(HEALED_SECONDS)
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        await asyncio.sleep(FALLBACK_INTERVAL_SECONDS + 2 * NEWS_SECONDS)
        assert fleet.seen() == {len(fleet.routers)}

    play(sizes, steps)


def test_a_data_centre_that_is_cut_off_is_told_once_as_unheard() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.cut('marousi', 'spata')
        fleet.cut('peiraias', 'spata')
        await asyncio.sleep(HEALED_SECONDS)
        fleet.peers.heal()
        await asyncio.sleep(HEALED_SECONDS)
        lines = fleet.routers['marousi-0'].lines
        assert sorted(lines[:2]) == [
            ('data_centre_heard', 'peiraias'),
            ('data_centre_heard', 'spata'),
        ]
        assert lines[2:] == [
            ('data_centre_unheard', 'spata'),
            ('data_centre_heard', 'spata'),
        ]

    play(MIDDLE, steps)


@settings(max_examples=12, deadline=None)
@given(
    st.lists(
        st.sets(st.sampled_from(list(combinations(sorted(SMALL), 2)))),
        min_size=1,
        max_size=3,
    )
)
def test_cuts_raise_no_sum_above_the_truth_and_news_returns_when_they_heal(
    cuts: list[set[tuple[str, str]]],
) -> None:
    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        for pairs in cuts:
            for pair in pairs:
                fleet.cut(*pair)
            for _ in range(6):
                await asyncio.sleep(0.5)
                assert max(fleet.seen()) <= len(fleet.routers)
            fleet.peers.heal()
        await asyncio.sleep(HEALED_SECONDS)
        assert fleet.seen() == {len(fleet.routers)}

    play(SMALL, steps)
