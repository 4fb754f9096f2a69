"""Several routers' choosers that tell one another of endpoints' errors."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace

from support_links import FakeNetwork
from support_serving_jobs import endpoints_of, job_of

from sesamespoke.answers import Answer
from sesamespoke.attempts import Attempt
from sesamespoke.limits import Outcome
from sesamespoke.metrics import Metrics
from sesamespoke.serving.catalog import Catalog, RoutedService
from sesamespoke.serving.chooser import Chooser, Reservation
from sesamespoke.serving.directory import Directory, Listing
from sesamespoke.serving.job import Job
from sesamespoke.serving.outlier_sharing import OutlierSharing
from sesamespoke.verdicts import Verdict

ERROR_SECONDS = 0.005
WORK_SECONDS = 0.08
NO_ENDPOINTS: frozenset[str] = frozenset()


def answered(status: int, *headers: tuple[str, str]) -> Attempt:
    """Return the result of an attempt with a whole answer."""
    is_error = status >= 500
    return Attempt(
        Verdict.MAY_HAVE_RUN if is_error else Verdict.RAN,
        Outcome.LATE if is_error else Outcome.DONE,
        answer=Answer(status, headers, b''),
        first_token_ms=round(ERROR_SECONDS * 1000) if is_error else 80,
    )


@dataclass
class Host:
    """One router's choice of endpoints."""

    name: str
    directory: Directory
    chooser: Chooser
    sharing: OutlierSharing
    lines: list[dict[str, object]] = field(default_factory=list)

    def ejected(self) -> set[str]:
        outliers = self.chooser.outliers
        names = self.directory.endpoints
        return {name for name in names if outliers.is_ejected(name)}

    def events(self, name: str) -> list[dict[str, object]]:
        return [line for line in self.lines if line['event'] == name]


class Hosts:
    """Routers that send requests to the same endpoints.

    ``fails`` tells whether a request fails at an endpoint.
    """

    def __init__(
        self,
        service: RoutedService,
        endpoints: int,
        hosts: int,
        fails: Callable[[str, Job], bool] = lambda endpoint, job: False,
    ) -> None:
        self.fails = fails
        self.service = service
        self.network = FakeNetwork()
        self.endpoints = endpoints_of(service, endpoints)
        self.sent: Counter[str] = Counter()
        self.refused = 0
        self.random = random.Random(5)
        self._ids = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        names = [f'h-{number}' for number in range(hosts)]
        self.known = frozenset(names)
        self.hosts = [self.start_host(name) for name in names]

    def start_host(self, name: str) -> Host:
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        catalog = Catalog(1, {}, {self.service.name: self.service})
        chooser = Chooser(
            name, lambda: catalog, directory, loop.time, lambda: self.known
        )
        directory.replace(Listing(1, self.endpoints))
        lines: list[dict[str, object]] = []

        def log(event: str, /, **fields: object) -> None:
            lines.append({'event': event, **fields})

        links = self.network.join(name, 'north')
        sharing = OutlierSharing(
            links,
            chooser.outliers,
            Metrics(name),
            log,
            lambda: 1_000_000 + int(loop.time() * 1000),
        )
        self._keep(sharing.run())
        return Host(name, directory, chooser, sharing, lines)

    def make_job(self, caller: str = 'a') -> Job:
        """Return a request that no other is like."""
        number = next(self._ids)
        prefix = f'{caller}-{number}'
        job = job_of(
            caller, prefix, arrived_at=asyncio.get_running_loop().time()
        )
        return replace(job, service=self.service.name, digest=prefix.encode())

    def send(self, host: Host, job: Job) -> Reservation | None:
        """Send one request; its answer comes later."""
        reservation = host.chooser.reserve(job, 1, NO_ENDPOINTS)
        if reservation is None:
            self.refused += 1
            return None
        self._keep(self._answer(host, reservation, job))
        return reservation

    async def send_for(
        self, seconds: float, hosts: list[Host] | None = None, rate: float = 50
    ) -> None:
        """Send requests from each host, so many a second."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        senders = self.hosts if hosts is None else hosts
        while loop.time() < ends_at:
            for host in senders:
                self.send(host, self.make_job())
            await asyncio.sleep(1 / rate * self.random.uniform(0.8, 1.2))

    def sent_to_others(self, *names: str) -> float:
        """Return the requests of the average endpoint besides these."""
        others = [
            self.sent[each.name]
            for each in self.endpoints
            if each.name not in names
        ]
        return sum(others) / len(others)

    async def _answer(
        self, host: Host, reservation: Reservation, job: Job
    ) -> None:
        endpoint = reservation.endpoint
        self.sent[endpoint.name] += 1
        is_error = self.fails(endpoint.name, job)
        await asyncio.sleep(ERROR_SECONDS if is_error else WORK_SECONDS)
        chooser = host.chooser
        chooser.release(reservation)
        attempt = answered(500 if is_error else 200)
        chooser.health.record_attempt(
            endpoint.name, attempt, reservation.placement.expected_ms
        )
        chooser.outliers.note_attempt(endpoint, job, attempt)

    def _keep(self, coro: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
