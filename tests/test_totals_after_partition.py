"""Totals of a data centre that are kept after a partition has healed."""

import asyncio

from test_data_centre_loads import SMALL, Fleet, play


def test_totals_are_not_counted_twice_after_a_partition_heals() -> None:
    """Totals received during the partition were added to direct reports."""

    async def steps(fleet: Fleet) -> None:
        for router in fleet.routers.values():
            router.book.begin('e', 10)
        fleet.cut('marousi', 'spata')
        for _ in range(6):
            await asyncio.sleep(0.5)
            assert max(fleet.seen()) <= len(fleet.routers)
        fleet.peers.heal()
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert max(fleet.seen()) <= len(fleet.routers)

    play(SMALL, steps)
