"""Records of the quarantine in the store, written by a few of the hosts."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from support import run
from support_store import FakeStore
from test_crash_tracker_model import ModelLinks, Net

from sesamespoke.serving.quarantine_records import (
    RECORD_PREFIX,
    RENEWAL_SECONDS,
    WRITERS,
    PartRecord,
    QuarantineRecords,
    Record,
    RequestRecord,
)
from sesamespoke.store import Put

HOSTS = 9
PART = PartRecord('dead', proven=True)
REQUEST = RequestRecord(b'digest')


class Fleet:
    """Hosts that share a store, and each know what is quarantined."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.current: list[Record] = []
        self.events: list[str] = []
        net = Net(random.Random(1))
        links = [ModelLinks(f'h-{number}', net) for number in range(HOSTS)]
        self.records = [self.create_records(each) for each in links]

    def create_records(self, links: ModelLinks) -> QuarantineRecords:
        def log(event: str, /, **fields: object) -> None:
            self.events.append(event)

        return QuarantineRecords(self.store, links, lambda: self.current, log)

    def change(self, *current: Record) -> None:
        self.current = list(current)
        for each in self.records:
            each.update()

    def stored(self) -> set[str]:
        return {
            key for key in self.store.entries if key.startswith(RECORD_PREFIX)
        }


def play(steps: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run_fleet() -> None:
        fleet = Fleet()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(each.run()) for each in fleet.records]
            await asyncio.sleep(1)
            await steps(fleet)
            for task in tasks:
                task.cancel()

    run(run_fleet())


def test_a_record_is_written_by_a_few_hosts_and_renewed() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.change(PART)
        await asyncio.sleep(1)
        assert fleet.stored() == {PART.key}
        assert fleet.events.count('quarantine_recorded') == WRITERS
        await asyncio.sleep(RENEWAL_SECONDS + 1)
        assert fleet.events.count('quarantine_recorded') == 2 * WRITERS

    play(steps)


def test_a_record_that_was_found_here_is_written_here() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.current = [REQUEST]
        fleet.records[0].update(found_here=REQUEST)
        await asyncio.sleep(1)
        assert fleet.stored() == {REQUEST.key}

    play(steps)


def test_a_released_part_is_removed_whoever_wrote_it() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store._apply(Put(PART.key, PART.encode()))
        fleet.records[3].remove(PART)
        await asyncio.sleep(1)
        assert not fleet.stored()

    play(steps)


def test_records_are_written_after_an_outage_of_the_store() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.is_out = True
        fleet.change(PART, REQUEST)
        await asyncio.sleep(5)
        assert not fleet.stored()
        fleet.store.is_out = False
        await asyncio.sleep(1)
        assert fleet.stored() == {PART.key, REQUEST.key}

    play(steps)


@pytest.mark.parametrize('record', [PART, REQUEST])
def test_a_router_that_starts_reads_the_records(record: Record) -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.change(record)
        await asyncio.sleep(1)
        links = ModelLinks('h-new', Net(random.Random(1)))
        records = fleet.create_records(links)
        restored: list[Record] = []
        records.on_record = restored.append
        task = asyncio.create_task(records.run())
        await asyncio.sleep(1)
        assert restored == [record]
        task.cancel()

    play(steps)


@pytest.mark.parametrize(
    ('key', 'content'),
    [
        ('part/1', b'no JSON'),
        ('part/1', b'[]'),
        ('part/1', b'{"part": 5}'),
        ('part/1', b'{"part": "dead", "proven": "yes"}'),
        ('request/1', b'{"digest": "no hex"}'),
        ('other/1', b'{}'),
    ],
)
def test_a_record_that_cannot_be_read_is_ignored(
    key: str, content: bytes
) -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store._apply(Put(RECORD_PREFIX + key, content))
        links = ModelLinks('h-new', Net(random.Random(1)))
        records = fleet.create_records(links)
        restored: list[Record] = []
        records.on_record = restored.append
        task = asyncio.create_task(records.run())
        await asyncio.sleep(1)
        assert not restored
        assert 'entry_ignored' in fleet.events
        task.cancel()

    play(steps)
