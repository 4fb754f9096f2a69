"""Model of the retry budget in a fleet with restarts and partitions.

Hosts also lose the store. Each router is modelled by the real ``FleetSize``
and ``WindowedRetryBudget``; the retries that are sent to endpoints are checked
against the operators' bound in the way that operators count them.
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
"""Seconds a retry waits for capacity and for a connection."""


@dataclass
class FakePeers:
    """The view that one process gets from its peer streams."""

    host: str
    view: View
    handlers: list[Callable[[View], None]] = field(default_factory=list)

    def on_view(self, handler: Callable[[View], None]) -> None:
        self.handlers.append(handler)

    def update(self, names: frozenset[str]) -> None:
        if names != frozenset(self.view.hosts()):
            self.view = view_of(names)
            for handler in self.handlers:
                handler(self.view)


@dataclass
class FakeHostList:
    """The hosts that the store listed to one process."""

    hosts: Mapping[str, object] = field(default_factory=dict)
    handlers: list[Callable[[], None]] = field(default_factory=list)

    def on_hosts(self, handler: Callable[[], None]) -> None:
        self.handlers.append(handler)

    def update(self, names: frozenset[str]) -> None:
        if names != self.hosts.keys():
            self.hosts = dict.fromkeys(names)
            for handler in self.handlers:
                handler()


def view_of(names: frozenset[str]) -> View:
    rows = (Member(name, 'land', 1) for name in sorted(names))
    return View(1, tuple(rows))


class Process:
    """One router process, from its start to its restart."""

    def __init__(self, host: str, clock: Clock) -> None:
        self.peers = FakePeers(host, view_of(frozenset((host,))))
        self.host_list = FakeHostList()
        self.size = FleetSize(
            self.peers, self.host_list, clock, lambda *_, **__: None
        )
        self.budget = WindowedRetryBudget(
            BOUNDS, clock, self.size.count, clock()
        )
        self.next_list_at = clock()
        self.reserved: list[tuple[float, int]] = []


class Fleet(RuleBasedStateMachine):
    """Nine routers in three zones, and the store that lists them."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.processes = {host: Process(host, self.clock) for host in HOSTS}
        self.partitioned: frozenset[str] = frozenset()
        """Zones that reach neither other zones nor the store."""
        self.storeless: frozenset[str] = frozenset()
        self.leases: dict[str, float] = {}
        self.fresh: list[float] = []
        self.retries: list[float] = []
        self.wait(3 * LEASE)

    @rule(seconds=st.sampled_from((TICK, 1.0, 3.0, 6.0, 12.0)))
    def wait(self, seconds: float) -> None:
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.now += TICK
            self.synchronize()

    @rule(
        host=hosts,
        requests=st.integers(1, 60),
        failing=st.integers(0, 100),
        pause=pauses,
    )
    def load(
        self, host: str, requests: int, failing: int, pause: float
    ) -> None:
        """Let requests fail; their retries are sent after a pause."""
        process = self.processes[host]
        for _ in range(requests):
            process.budget.record_request()
            self.fresh.append(self.clock.now)
        taken = sum(process.budget.reserve() for _ in range(failing))
        process.reserved.append((self.clock.now + pause, taken))
        self.send_due_retries(process)

    @rule(requests=st.sampled_from((10, 100)), pause=pauses)
    def fail_everywhere(self, requests: int, pause: float) -> None:
        for host in HOSTS:
            self.load(host, requests, 100, pause)

    @rule(host=hosts)
    def restart(self, host: str) -> None:
        self.processes[host] = Process(host, self.clock)
        self.synchronize()

    @rule()
    def restart_all(self) -> None:
        for host in HOSTS:
            self.restart(host)

    @rule(zone=st.sampled_from('abc'))
    def cut_zone(self, zone: str) -> None:
        self.partitioned |= {zone}

    @rule()
    def heal(self) -> None:
        self.partitioned = frozenset()
        self.storeless = frozenset()

    @rule(side=st.frozensets(hosts))
    def refuse_at_store(self, side: frozenset[str]) -> None:
        self.storeless = side

    @rule()
    def lose_leases(self) -> None:
        self.leases.clear()

    def synchronize(self) -> None:
        """Renew the leases and update each router's view and host list."""
        now = self.clock.now
        for host in HOSTS:
            if self.reaches_store(host):
                self.leases[host] = now + LEASE
        listed = frozenset(
            host for host, ends_at in self.leases.items() if ends_at > now
        )
        for host, process in self.processes.items():
            self.send_due_retries(process)
            process.peers.update(self.visible_hosts(host))
            if self.reaches_store(host) and now >= process.next_list_at:
                process.host_list.update(listed)
                known = host in listed
                pause = LIST_SECONDS if known else UNLISTED_SECONDS
                process.next_list_at = now + pause

    def send_due_retries(self, process: Process) -> None:
        now = self.clock.now
        due = [row for row in process.reserved if row[0] <= now]
        process.reserved = [row for row in process.reserved if row[0] > now]
        for _ in range(sum(count for _, count in due)):
            process.budget.record_sent()
            self.retries.append(now)

    def visible_hosts(self, host: str) -> frozenset[str]:
        zones = (
            {host[0]}
            if host[0] in self.partitioned
            else set('abc') - self.partitioned
        )
        return frozenset(other for other in HOSTS if other[0] in zones)

    def reaches_store(self, host: str) -> bool:
        return host not in self.storeless and host[0] not in self.partitioned

    @invariant()
    def check_bound(self) -> None:
        """Check the window that ends now, counting as the operators do."""
        began = self.clock.now - BOUNDS.window
        retries = sum(at > began for at in self.retries)
        base = max(
            sum(begin < at <= begin + BOUNDS.window for at in self.fresh)
            for begin in (
                began,
                began - BOUNDS.window / 2,
                began - BOUNDS.window,
            )
        )
        assert retries <= BOUNDS.ratio * base + BOUNDS.slack


TestFleet = Fleet.TestCase


def test_partitioned_fleet_keeps_the_retry_bound() -> None:
    """Guards against sharing the slack among the listed routers only.

    Once the leases of the partitioned routers had expired, those that still
    reached the store used the whole slack, while the others used theirs.
    """
    fleet = Fleet()
    fleet.cut_zone('a')
    fleet.cut_zone('b')
    fleet.wait(2 * LEASE + LIST_SECONDS)
    fleet.fail_everywhere(10, 0)
    fleet.check_bound()


def test_retries_of_two_bursts_keep_the_bound_in_every_window() -> None:
    """Guards against counting fresh requests of another window.

    Retries allowed for two bursts were sent within a window that contained
    the fresh requests of only one.
    """
    fleet = Fleet()
    fleet.fail_everywhere(100, 1)
    fleet.wait(9)
    fleet.fail_everywhere(100, 0)
    fleet.check_bound()
    fleet.wait(1)
    fleet.check_bound()
