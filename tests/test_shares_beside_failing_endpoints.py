"""What accounts get while engines crash and others answer errors at once."""

import asyncio
import random

import pytest
from support_fleet_model import FleetModel, Host

from sesamespoke.bench.virtual_time import run_virtual

HOSTS = 83
ENGINES = 30
CRASHED = [f'e-{number}' for number in range(10, 14)]
LYING = [f'e-{number}' for number in range(2)]
CRASHED_LATER = [f'e-{number}' for number in range(22, 30)]
BEGIN = 4
END = 15


async def fail_engines(fleet: FleetModel) -> None:
    """Crash two groups of engines, and let a third answer errors.

    Engines that have gone stay listed for seconds.
    """
    await asyncio.sleep(5)
    fleet.gone.update(CRASHED)
    await asyncio.sleep(1.6)
    fleet.lying.update(LYING)
    await asyncio.sleep(1.4)
    fleet.gone.update(CRASHED_LATER)
    await asyncio.sleep(1)
    fleet.gone.difference_update(CRASHED)
    await asyncio.sleep(3)
    fleet.gone.difference_update(CRASHED_LATER)
    fleet.lying.clear()
    fleet.list_endpoints()


async def play(seed: int) -> FleetModel:
    """Play accounts that ask for twice what the engines can do."""
    fleet = FleetModel(HOSTS, ENGINES, seed)
    hosts = fleet.hosts
    few = [random.sample(hosts, random.choice((1, 3, 10))) for _ in range(20)]

    async def begin_burst(account: str, part: float, used: list[Host]) -> None:
        await asyncio.sleep(BEGIN)
        await fleet.send_load(account, part * fleet.capacity, used)

    await fleet.run(
        END,
        fail_engines(fleet),
        begin_burst('one', 0.5, hosts[:1]),
        begin_burst('two', 0.1, hosts[1:3]),
        begin_burst('nine', 0.1, hosts[3:12]),
        begin_burst('all', 1.2, hosts),
        *(
            fleet.send_load(f'small-{number}', 0.02 * fleet.capacity, used)
            for number, used in enumerate(few)
        ),
    )
    return fleet


@pytest.mark.parametrize('seed', [1, 2, 3, 5])
def test_account_at_one_host_gets_less_than_half_of_what_it_is_owed(
    seed: int,
) -> None:
    """Failing endpoints served the account that had most hosts to try from."""
    fleet = run_virtual(play(seed))
    shares = sorted(
        (short.ratio, short.account, short.start)
        for short in fleet.find_short(BEGIN, END)
    )
    assert shares[0][0] >= 0.5
