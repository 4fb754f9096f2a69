"""Load reports between routers, across data centres and partitions."""

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
from sesamespoke.serving.load import LoadTracker
from sesamespoke.serving.peer_loads import MAX_LOCAL_BROADCAST_HOSTS, PeerLoads

SMALL = {'marousi': 3, 'peiraias': 3, 'spata': 3}
MEDIUM = {'marousi': 6, 'peiraias': 6, 'spata': 6}
LARGE = {
    'marousi': MAX_LOCAL_BROADCAST_HOSTS + 2,
    'spata': MAX_LOCAL_BROADCAST_HOSTS + 3,
}
CONNECT_SECONDS = 6
PROPAGATION_SECONDS = 0.7
"""Intervals of a report and of totals, and the latency between data centres."""
HEALED_SECONDS = 8
"""Streams take up to two seconds to reconnect, and views follow."""


class Router:
    """The load reports of one router, sent over its peer streams."""

    def __init__(self, peers: PeerStreams) -> None:
        clock = asyncio.get_running_loop().time
        self.book = LoadTracker(clock)
        self.shares = FairShares(clock)
        self.reports = PeerLoads(peers, self.book, self.shares)
        self.totals = DataCentreReports(
            peers,
            self.book,
            self.shares,
            self.reports.aggregators,
            clock,
            self._record_event,
        )
        self.received: Counter[type] = Counter()
        self.events: list[tuple[str, object]] = []
        peers.subscribe(RouterLoads, self._count)
        peers.subscribe(SiteLoads, self._count)
        self.tasks = [
            asyncio.create_task(self.reports.run()),
            asyncio.create_task(self.totals.run()),
        ]

    def _record_event(self, event: str, /, **facts: object) -> None:
        self.events.append((event, facts['name']))

    def _count(self, sender: str, message: object) -> None:
        self.received[type(message)] += 1

    def running(self, endpoint: str = 'e') -> int:
        return self.book.total(endpoint).running


class Fleet:
    """Routers of several data centres, on an in-memory network."""

    def __init__(self, sizes: dict[str, int]) -> None:
        self.peers = FakeFleet(sizes)
        self.routers: dict[str, Router] = {}

    async def start(self) -> None:
        await self.peers.start()
        for host, peers in self.peers.hosts.items():
            self.routers[host] = Router(peers)
        await asyncio.sleep(CONNECT_SECONDS)

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


@pytest.mark.parametrize('sizes', [SMALL, MEDIUM, LARGE])
def test_every_router_learns_the_requests_in_flight_at_an_endpoint(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        running = [
            router.book.begin('e', 10) for router in fleet.routers.values()
        ]
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert fleet.seen() == {len(running)}
        for router, request in zip(
            fleet.routers.values(), running[:4], strict=False
        ):
            router.book.end(request)
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert fleet.seen() == {len(running) - 4}

    play(sizes, steps)


@pytest.mark.parametrize('sizes', [SMALL, MEDIUM, LARGE])
def test_every_router_learns_the_usage_of_an_account(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.shares.add_usage('a', 100)
            router.reports.record_grant('a', 100)
        await asyncio.sleep(PROPAGATION_SECONDS)
        used = [router.shares.used('a') for router in fleet.routers.values()]
        assert max(used) <= 100 * len(used)
        assert max(used) - min(used) <= 0.02 * max(used)

    play(sizes, steps)


def test_messages_to_a_host_are_bounded_in_a_large_data_centre() -> None:
    seconds = 4

    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.received.clear()
        for _ in range(seconds * 10):
            for router in fleet.routers.values():
                router.book.begin('e', 10)
            await asyncio.sleep(0.1)
        aggregators = {
            host
            for router in fleet.routers.values()
            for host in router.reports.aggregators.hosts
        }
        for host, router in fleet.routers.items():
            if host not in aggregators:
                assert router.received[RouterLoads] == 0
                assert (
                    router.received[SiteLoads]
                    <= MAX_RECEIVED_PER_SECOND * seconds
                )

    play(LARGE, steps)


@pytest.mark.parametrize('sizes', [SMALL, MEDIUM, LARGE])
def test_totals_are_correct_after_an_aggregator_dies(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        await asyncio.sleep(PROPAGATION_SECONDS)
        router = next(iter(fleet.routers.values()))
        lost = router.reports.aggregators.hosts[0]
        for task in fleet.routers.pop(lost).tasks:
            task.cancel()
        await fleet.peers.die(lost, refusing=False)
        await asyncio.sleep(HEALED_SECONDS)
        assert fleet.seen() == {sum(sizes.values()) - 1}

    play(sizes, steps)


@pytest.mark.parametrize('sizes', [SMALL, MEDIUM])
def test_totals_pass_through_a_third_data_centre_when_two_are_cut_off(
    sizes: dict[str, int],
) -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.cut('marousi', 'spata')
        await asyncio.sleep(HEALED_SECONDS)
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        await asyncio.sleep(FALLBACK_INTERVAL_SECONDS + 2 * PROPAGATION_SECONDS)
        assert fleet.seen() == {len(fleet.routers)}

    play(sizes, steps)


def test_a_partitioned_data_centre_is_logged_once_as_unheard() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.cut('marousi', 'spata')
        fleet.cut('peiraias', 'spata')
        await asyncio.sleep(HEALED_SECONDS)
        fleet.peers.heal()
        await asyncio.sleep(HEALED_SECONDS)
        events = fleet.routers['marousi-0'].events
        assert sorted(events[:2]) == [
            ('data_centre_heard', 'peiraias'),
            ('data_centre_heard', 'spata'),
        ]
        assert events[2:] == [
            ('data_centre_unheard', 'spata'),
            ('data_centre_heard', 'spata'),
        ]

    play(MEDIUM, steps)


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
