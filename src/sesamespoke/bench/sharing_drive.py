"""Queues and dispatchers of many hosts in one process, in virtual time.

The roles are the fleet's own; callers and endpoints are timers, and links
are a ``Mesh``, so that what is measured is control alone.
"""

import asyncio
import random
import time
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from sesamespoke.bench.documents import (
    ACCOUNT,
    DATA_CENTRE,
    MODEL,
    DocumentSize,
    write_section_texts,
)
from sesamespoke.bench.mesh import Mesh
from sesamespoke.bench.virtual_time import run_virtual
from sesamespoke.document import check_document
from sesamespoke.limits import Outcome, SlotUse
from sesamespoke.links import Member
from sesamespoke.metrics import Metrics
from sesamespoke.names import AGE_SECONDS
from sesamespoke.queues import RequestQueues
from sesamespoke.roles import DispatchRoles
from sesamespoke.settings import Address, Settings, StoreSettings
from sesamespoke.timeline import Timeline
from sesamespoke.verdicts import Refusal
from sesamespoke.work import Slot, Usage, Work
from sesamespoke.world import Document, Revision, Service

HOST = '{}-{:03}'
METER_SECONDS = 0.1
TOKENS_PER_SECOND = 13
FIRST_TOKEN_MS = 100
DEADLINE_SECONDS = 3600
WAITING_PER_ACCOUNT = 2
_NOWHERE = Address('127.0.0.1', 0)


@dataclass(frozen=True, slots=True)
class DriveSize:
    """One run: what works, and how long; durations in virtual seconds.

    ``backlogged`` accounts keep work waiting at all times; with none of
    them, requests of ever different accounts are granted at once.
    """

    hosts: int = 3
    data_centres: int = 1
    models: int = 4
    endpoints_per_slice: int = 7
    requests_per_host: float = 5
    stream_seconds: float = 4
    backlogged: int = 0
    accounts: int = 2000
    seconds: float = 10

    @property
    def all_hosts(self) -> int:
        """Return the number of hosts of all data centres."""
        return self.hosts * self.data_centres

    @property
    def streams(self) -> float:
        """Return how many requests run at a time, over all hosts."""
        return self.all_hosts * self.requests_per_host * self.stream_seconds


@dataclass(frozen=True, slots=True)
class DriveResult:
    """Sums over all hosts, per virtual second."""

    size: DriveSize
    requests: float
    streams: float
    cpu_seconds: float
    handled_seconds: Mapping[str, float]
    sent_bytes: Mapping[str, float]
    sent_messages: Mapping[str, float]


Tasks = list[asyncio.Task[None]]


class Slots(Protocol):
    """What the drive uses of a host's queues."""

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Wait for a slot."""

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Tell what a slot's work has used so far."""

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Give a slot back."""


class FreeSlots:
    """Slots for nothing, which show what the drive itself costs."""

    async def acquire(self, work: Work) -> Slot | Refusal:
        """Return a slot at once."""
        return Slot(1, f'{work.service_name}/-/0', 1, work.account, 'any')

    def meter(self, slot: Slot, usage: Usage) -> None:
        """Do nothing."""

    def release(self, slot: Slot, ending: SlotUse) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _Drive:
    size: DriveSize
    document: Document
    slots: Mapping[str, Slots]
    rng: random.Random
    done: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def spawn_arrivals(self) -> None:
        """Start the callers of every host."""
        if not self.size.backlogged:
            for host in self.slots:
                self._spawn(self._arrive(host))
            return
        running = self.size.streams / self.size.backlogged
        for number in range(self.size.backlogged):
            for _ in range(WAITING_PER_ACCOUNT + round(running)):
                self._spawn(self._keep_waiting(number))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _arrive(self, host: str) -> None:
        while True:
            gap = self.rng.expovariate(self.size.requests_per_host)
            await asyncio.sleep(gap)
            number = self.rng.randrange(self.size.accounts)
            model = self.rng.randrange(self.size.models)
            self._spawn(self._ask(host, number, model))

    async def _keep_waiting(self, number: int) -> None:
        hosts = list(self.slots)
        model = number % self.size.models
        while True:
            await self._ask(self.rng.choice(hosts), number, model)

    async def _ask(self, host: str, number: int, model: int) -> None:
        name = MODEL.format(model)
        work = _work(number, name, self.document.services[name])
        slots = self.slots[host]
        slot = await slots.acquire(work)
        if isinstance(slot, Refusal):
            raise LookupError(slot.reason.code)
        seconds = self.rng.uniform(0.5, 1.5) * self.size.stream_seconds
        elapsed: float = 0
        while elapsed < seconds:
            await asyncio.sleep(METER_SECONDS)
            elapsed += METER_SECONDS
            slots.meter(slot, _usage(elapsed))
        ending = SlotUse(Outcome.DONE, FIRST_TOKEN_MS, _usage(elapsed))
        slots.release(slot, ending)
        self.done += 1


def _usage(elapsed: float) -> Usage:
    return Usage(output_tokens=int(elapsed * TOKENS_PER_SECOND))


def _work(number: int, name: str, service: Service) -> Work:
    now = asyncio.get_running_loop().time()
    return Work(
        request_id='',
        account=ACCOUNT.format(number),
        service_name=name,
        service=service,
        method='POST',
        path=service.path,
        headers={},
        body=b'',
        deadline=now + DEADLINE_SECONDS,
        digest=b'',
    )


def drive(size: DriveSize, seed: int, free: bool = False) -> DriveResult:
    """Run one size; ``free`` leaves out all control."""
    return run_virtual(_drive(size, seed, free))


async def _drive(size: DriveSize, seed: int, free: bool) -> DriveResult:
    document = _document(size)
    members = _members(size)
    mesh = Mesh(members, document)
    background: Tasks = []
    slots: dict[str, Slots] = {}
    for member in members:
        if free:
            slots[member.host] = FreeSlots()
        else:
            queues, tasks = _start_host(member, mesh, document)
            slots[member.host] = queues
            background.extend(tasks)
    mesh.announce()
    run = _Drive(size, document, slots, random.Random(seed))
    run.spawn_arrivals()
    result = await _measure(run, mesh)
    for task in (*run.tasks, *background):
        task.cancel()
    await asyncio.gather(*run.tasks, *background, return_exceptions=True)
    return result


async def _measure(run: _Drive, mesh: Mesh) -> DriveResult:
    size = run.size
    settle = 1.5 * size.stream_seconds + 1
    await asyncio.sleep(max(settle, AGE_SECONDS + 1))
    mesh.reset()
    run.done = 0
    began = time.process_time()
    await asyncio.sleep(size.seconds)
    spent = time.process_time() - began
    return DriveResult(
        size=size,
        requests=run.done / size.seconds,
        streams=size.streams,
        cpu_seconds=spent / size.seconds,
        handled_seconds=_per_second(mesh.handled_seconds, size.seconds),
        sent_bytes=_per_second(mesh.sent_bytes, size.seconds),
        sent_messages=_per_second(mesh.sent_messages, size.seconds),
    )


def _per_second(
    counts: Mapping[str, float],
    seconds: float,
) -> dict[str, float]:
    return {kind: count / seconds for kind, count in counts.items()}


def _start_host(
    member: Member,
    mesh: Mesh,
    document: Document,
) -> tuple[RequestQueues, Tasks]:
    cfg = Settings(
        host=member.host,
        data_centre=member.data_centre,
        callers=_NOWHERE,
        admin=_NOWHERE,
        peers=_NOWHERE,
        store=StoreSettings(urls=()),
    )
    links = mesh.links[member.host]
    metrics = Metrics(member.host)
    timeline = Timeline(member.host, member.data_centre)
    queues = RequestQueues(cfg, links, metrics)
    roles = DispatchRoles(cfg, links, metrics, timeline)
    revision = Revision(1, document)
    queues.set_revision(revision)
    roles.set_revision(revision)
    tasks = [
        asyncio.ensure_future(queues.run()),
        asyncio.ensure_future(roles.run()),
    ]
    return queues, tasks


def _members(size: DriveSize) -> list[Member]:
    return [
        Member(HOST.format(data_centre, number), data_centre, 1)
        for data_centre in map(DATA_CENTRE.format, range(size.data_centres))
        for number in range(size.hosts)
    ]


def _document(size: DriveSize) -> Document:
    """Return a document whose slots are just as many as streams."""
    slices = size.models * size.data_centres
    per_endpoint = size.streams / slices / size.endpoints_per_slice
    slots = max(1, round(per_endpoint))
    if not size.backlogged:
        slots *= 4
    texts = write_section_texts(
        DocumentSize(
            accounts=max(size.accounts, size.backlogged),
            models=size.models,
            endpoints=size.endpoints_per_slice * slices,
            data_centres=size.data_centres,
            cold=slots,
            warm=slots,
        ),
    )
    document = check_document(texts)
    if not isinstance(document, Document):
        raise LookupError(str(document[:3]))
    return document
