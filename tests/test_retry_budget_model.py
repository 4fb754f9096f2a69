"""The retry budget over a fleet that is restarted, cut and out of store.

Each router is modelled by its own parts, ``FleetSize`` and
``WindowedRetryBudget``; what reaches the endpoints is held against the
operators' bound as they count it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from support_serving_jobs import Clock

from sesamespoke.links import Member, View
from sesamespoke.serving.fleet_size import FleetSize
from sesamespoke.serving.retry_budget import RetryBounds, WindowedRetryBudget

BOUNDS = RetryBounds(ratio=0.2, window=10, slack=58)
HOSTS = tuple(f'{zone}-{number}' for zone in 'abc' for number in range(3))
TICK = 0.5
LEASE = 10.0
LIST_SECONDS = 5.0
UNLISTED_SECONDS = 0.5
NEVER = -1000.0

hosts = st.sampled_from(HOSTS)
pauses = st.sampled_from((0.0, 1.0, 2.0))
"""A retry waits for room, and for a connection."""


@dataclass
class Seen:
    """What one process sees on its peer streams."""

    host: str
    view: View
    tell: list[Callable[[View], None]] = field(default_factory=list)

    def on_view(self, handler: Callable[[View], None]) -> None:
        self.tell.append(handler)

    def take(self, names: frozenset[str]) -> None:
        if names != frozenset(self.view.hosts()):
            self.view = view_of(names)
            for handler in self.tell:
                handler(self.view)


@dataclass
class Listed:
    """What the store listed to one process."""

    hosts: Mapping[str, object] = field(default_factory=dict)
    tell: list[Callable[[], None]] = field(default_factory=list)

    def on_hosts(self, handler: Callable[[], None]) -> None:
        self.tell.append(handler)

    def take(self, names: frozenset[str]) -> None:
        if names != self.hosts.keys():
            self.hosts = dict.fromkeys(names)
            for handler in self.tell:
                handler()


def view_of(names: frozenset[str]) -> View:
    rows = (Member(name, 'land', 1) for name in sorted(names))
    return View(1, tuple(rows))


class Process:
    """One life of a router."""

    def __init__(self, host: str, clock: Clock) -> None:
        self.seen = Seen(host, view_of(frozenset((host,))))
        self.listed = Listed()
        self.size = FleetSize(
            self.seen, self.listed, clock, lambda *_, **__: None
        )
        self.share = WindowedRetryBudget(
            BOUNDS, clock, self.size.count, clock()
        )
        self.list_at = clock()
        self.waiting: list[tuple[float, int]] = []


class Fleet(RuleBasedStateMachine):
    """Nine routers in three zones, and the store that lists them."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.processes = {host: Process(host, self.clock) for host in HOSTS}
        self.cut: frozenset[str] = frozenset()
        """Zones that reach nobody else."""
        self.storeless: frozenset[str] = frozenset()
        self.leases: dict[str, float] = {}
        self.fresh: list[float] = []
        self.repeats: list[float] = []
        self.wait(3 * LEASE)

    @rule(seconds=st.sampled_from((TICK, 1.0, 3.0, 6.0, 12.0)))
    def wait(self, seconds: float) -> None:
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.now += TICK
            self.follow()

    @rule(
        host=hosts,
        requests=st.integers(1, 60),
        failing=st.integers(0, 100),
        pause=pauses,
    )
    def load(
        self, host: str, requests: int, failing: int, pause: float
    ) -> None:
        """Let requests fail; their retries leave after a pause."""
        process = self.processes[host]
        for _ in range(requests):
            process.share.record_request()
            self.fresh.append(self.clock.now)
        taken = sum(process.share.reserve() for _ in range(failing))
        process.waiting.append((self.clock.now + pause, taken))
        self.send_due(process)

    @rule(requests=st.sampled_from((10, 100)), pause=pauses)
    def fail_everywhere(self, requests: int, pause: float) -> None:
        for host in HOSTS:
            self.load(host, requests, 100, pause)

    @rule(host=hosts)
    def restart(self, host: str) -> None:
        self.processes[host] = Process(host, self.clock)
        self.follow()

    @rule()
    def restart_all(self) -> None:
        for host in HOSTS:
            self.restart(host)

    @rule(zone=st.sampled_from('abc'))
    def cut_zone(self, zone: str) -> None:
        self.cut |= {zone}

    @rule()
    def heal(self) -> None:
        self.cut = frozenset()
        self.storeless = frozenset()

    @rule(side=st.frozensets(hosts))
    def refuse_at_store(self, side: frozenset[str]) -> None:
        self.storeless = side

    @rule()
    def lose_leases(self) -> None:
        self.leases.clear()

    def follow(self) -> None:
        """Let each router renew its lease, and see and list the others."""
        now = self.clock.now
        for host in HOSTS:
            if self.reaches_store(host):
                self.leases[host] = now + LEASE
        listed = frozenset(
            host for host, ends_at in self.leases.items() if ends_at > now
        )
        for host, process in self.processes.items():
            self.send_due(process)
            process.seen.take(self.side_of(host))
            if self.reaches_store(host) and now >= process.list_at:
                process.listed.take(listed)
                known = host in listed
                pause = LIST_SECONDS if known else UNLISTED_SECONDS
                process.list_at = now + pause

    def send_due(self, process: Process) -> None:
        now = self.clock.now
        due = [row for row in process.waiting if row[0] <= now]
        process.waiting = [row for row in process.waiting if row[0] > now]
        for _ in range(sum(count for _, count in due)):
            process.share.record_sent()
            self.repeats.append(now)

    def side_of(self, host: str) -> frozenset[str]:
        own = {host[0]} if host[0] in self.cut else set('abc') - self.cut
        return frozenset(other for other in HOSTS if other[0] in own)

    def reaches_store(self, host: str) -> bool:
        return host not in self.storeless and host[0] not in self.cut

    @invariant()
    def keeps_the_bound(self) -> None:
        """Check the window that ends now, as the operators count it."""
        began = self.clock.now - BOUNDS.window
        repeats = sum(at > began for at in self.repeats)
        base = max(
            sum(begin < at <= begin + BOUNDS.window for at in self.fresh)
            for begin in (
                began,
                began - BOUNDS.window / 2,
                began - BOUNDS.window,
            )
        )
        assert repeats <= BOUNDS.ratio * base + BOUNDS.slack


TestFleet = Fleet.TestCase


def test_a_fleet_in_pieces_keeps_the_bound() -> None:
    """The piece with the store took the others' parts once leases ran out."""
    fleet = Fleet()
    fleet.cut_zone('a')
    fleet.cut_zone('b')
    fleet.wait(2 * LEASE + LIST_SECONDS)
    fleet.fail_everywhere(10, 0)
    fleet.keeps_the_bound()


def test_two_bursts_in_two_windows_keep_the_bound_of_each() -> None:
    """Retries earned by both bursts went out in a window that had one."""
    fleet = Fleet()
    fleet.fail_everywhere(100, 1)
    fleet.wait(9)
    fleet.fail_everywhere(100, 0)
    fleet.keeps_the_bound()
    fleet.wait(1)
    fleet.keeps_the_bound()
