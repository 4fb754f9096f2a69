"""The slot accounting of one dispatcher under faults of its routers.

Grants are lost on the way, results arrive twice or for unknown slots, routers
become unreachable and return, and a dispatcher of a new epoch takes over. No
endpoint may be granted more than its limit, every slot that a router may
still hold stays counted and charged, and no slot stays free while requests
wait.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesamespoke.dispatch import Dispatcher, DispatcherDependencies
from sesamespoke.ledger import PoolLedger
from sesamespoke.limits import Outcome
from sesamespoke.messages import Demand, Finished, Grants, InFlight
from sesamespoke.metrics import Metrics
from sesamespoke.slots import SlotKey
from sesamespoke.timeline import HybridClock, Timeline
from sesamespoke.world import Endpoint, Limit, Service, ServiceKind

SLICE = 'chat/a/0'
COLD, WARM = 2, 6
ESTIMATE = 2.0
LONGEST_SECONDS = 100.0
ENDPOINTS = {
    name: Endpoint('http://127.0.0.1:1000', 'a') for name in ('e0', 'e1')
}
LIMIT = Limit(cold=COLD, warm=WARM, warm_after=3)
SERVICE = Service(ServiceKind.LANGUAGE, 'pool', LIMIT, ENDPOINTS)
METRICS = Metrics('d')
HOLDERS = ('r0', 'r1', 'r2')
HOLDER = st.sampled_from(HOLDERS)
ACCOUNT = st.sampled_from(['x', 'y'])


class ChargedLedger(PoolLedger):
    """A ledger that also sums the charges still outstanding."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.charged: defaultdict[str, float] = defaultdict(float)

    def charge(self, account: str, cost: float) -> None:
        self.charged[account] += cost
        super().charge(account, cost)


@dataclass
class Holder:
    """The slots that a router holds, and the grants sent to it.

    ``seen`` is the sequence number of the last grants received.
    """

    reachable: bool = True
    seen: int = 0
    running: dict[SlotKey, tuple[str, str]] = field(default_factory=dict)
    inbox: deque[Grants] = field(default_factory=deque)
    lost: list[Grants] = field(default_factory=list)


class SlotsMachine(RuleBasedStateMachine):
    """One slice with its routers; new epochs replace its dispatcher."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.share = 1.0
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.holders = {name: Holder() for name in HOLDERS}
        self.send_failed = False
        self.start(epoch=1)
        self.dispatcher.start_granting()

    def start(self, epoch: int) -> None:
        def clock() -> float:
            return self.now

        self.timers.clear()
        self.ledger = ChargedLedger(clock)
        stamps = HybridClock(lambda: int(self.now * 1000))
        parts = DispatcherDependencies(
            cast('Any', self),
            self.ledger,
            METRICS,
            Timeline('d', 'a', stamps),
            clock,
            lambda when, run: self.timers.append((when, run)),
            1.0,
            lambda: self.share,
        )
        self.dispatcher = Dispatcher(SLICE, epoch, parts)
        self.dispatcher.endpoints.configure(SERVICE, ENDPOINTS, ())

    def send(self, host: str, grants: Grants) -> bool:
        """Stand in for ``Links``; check that no grant exceeds a limit."""
        for name, cold, limit in self.limits():
            if any(slot[2] == name for slot in grants.slots):
                most = int(limit * self.share) if cold else int(limit)
                assert self.dispatcher.slots.in_use(name) <= most <= WARM
        if not self.holders[host].reachable:
            self.send_failed = True
            return False
        self.holders[host].inbox.append(grants)
        return True

    def limits(self) -> list[tuple[str, bool, float]]:
        rows = cast('list[Any]', self.dispatcher.endpoints.rows())
        return [(row['endpoint'], row['cold'], row['limit']) for row in rows]

    def found(self, name: str) -> InFlight:
        holder = self.holders[name]
        rows = tuple(
            (*key, *slot, ESTIMATE) for key, slot in holder.running.items()
        )
        return InFlight(SLICE, self.dispatcher.epoch, holder.seen, rows, ())

    @rule(name=HOLDER, account=ACCOUNT, count=st.integers(0, 8))
    def demand(self, name: str, account: str, count: int) -> None:
        self.send_failed = False
        holder = self.holders[name]
        if holder.reachable:
            row = (account, count, 10, ESTIMATE)
            held, epoch = len(holder.running), self.dispatcher.epoch
            report = Demand(SLICE, epoch, holder.seen, held, False, (row,))
            agrees = self.dispatcher.receive_demand(name, True, report)
            lost = any(one.sequence <= holder.seen for one in holder.lost)
            assert agrees != lost

    @rule(name=HOLDER)
    def take_grants(self, name: str) -> None:
        holder = self.holders[name]
        if holder.inbox:
            grants = holder.inbox.popleft()
            holder.seen = grants.sequence
            holder.running.update(slots_of(grants))

    @rule(
        name=HOLDER,
        outcome=st.sampled_from([*Outcome, Outcome.DONE, Outcome.DONE]),
        repeats=st.integers(1, 2),
        unknown=st.integers(1000, 1001),
    )
    def finish(
        self, name: str, outcome: Outcome, repeats: int, unknown: int
    ) -> None:
        self.send_failed = False
        holder = self.holders[name]
        if holder.running:
            key = next(iter(holder.running))
            del holder.running[key]
            rows = ((key[2], int(outcome), 100, 1.0), (unknown, 1, 100, 1.0))
            for _ in range(repeats):
                finished = Finished(SLICE, key[1], holder.seen, rows, ())
                self.dispatcher.receive_finished(finished)

    @rule(name=HOLDER)
    def lose_grants(self, name: str) -> None:
        holder = self.holders[name]
        holder.lost.extend(holder.inbox)
        holder.inbox.clear()

    @rule(name=HOLDER)
    def reconcile(self, name: str) -> None:
        self.send_failed = False
        holder = self.holders[name]
        if holder.reachable:
            self.dispatcher.reconcile(name, self.found(name), is_local=True)
            later = [one for one in holder.lost if one.sequence > holder.seen]
            holder.lost = later

    @rule(name=HOLDER, surely=st.booleans())
    def lose_holder(self, name: str, surely: bool) -> None:
        self.holders[name].reachable = False
        self.dispatcher.drop_demand(name)
        self.now += LONGEST_SECONDS
        if surely:
            self.dispatcher.free_all(name)
        else:
            assert not self.dispatcher.free_overdue(name, LONGEST_SECONDS)
        self.holders[name] = Holder(reachable=False)

    @rule(name=HOLDER)
    def rejoin(self, name: str) -> None:
        self.holders[name].reachable = True

    @rule(
        share=st.sampled_from([0.5, 1.0]), seconds=st.sampled_from([0.3, 9.0])
    )
    def pass_time(self, share: float, seconds: float) -> None:
        self.send_failed = False
        self.share = share
        self.now += seconds
        due = [run for when, run in self.timers if when <= self.now]
        self.timers = [one for one in self.timers if one[0] > self.now]
        for run in (*due, self.dispatcher.schedule):
            run()

    @rule(order=st.permutations(HOLDERS))
    def take_over(self, order: list[str]) -> None:
        """Start a dispatcher of a new epoch from the slots routers report."""
        self.send_failed = False
        self.start(self.dispatcher.epoch + 1)
        for name in order:
            holder = self.holders[name]
            holder.inbox.clear()
            holder.lost.clear()
            holder.seen = 0
            self.dispatcher.reconcile(name, self.found(name), is_local=True)
        self.dispatcher.start_granting()

    @invariant()
    def every_slot_is_counted_and_none_is_idle(self) -> None:
        held: dict[SlotKey, tuple[str, str]] = {}
        for holder in self.holders.values():
            held.update(holder.running)
            for grants in (*holder.inbox, *holder.lost):
                held.update(slots_of(grants))
        table = self.dispatcher.slots
        known = {slot.key for slot in table.find(lambda slot: True)}
        assert known == held.keys()
        for name in ENDPOINTS:
            here = sum(slot[1] == name for slot in held.values())
            assert table.in_use(name) == here <= WARM
        for account in ('x', 'y'):
            cost = ESTIMATE * sum(slot[0] == account for slot in held.values())
            assert self.ledger.charged[account] == cost
        if not self.send_failed:
            waits = any(self.dispatcher.local.accounts())
            room = self.dispatcher.endpoints.find_room(self.share)
            assert not waits or room is None


def slots_of(grants: Grants) -> dict[SlotKey, tuple[str, str]]:
    return {
        (grants.slice_name, grants.epoch, number): (account, endpoint)
        for number, account, endpoint in grants.slots
    }


TestSlots = SlotsMachine.TestCase
