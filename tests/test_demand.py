"""Tests the demand table of a dispatcher against a model of routers."""

from collections import Counter, deque
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesamespoke.demand import DemandTable
from sesamespoke.messages import Demand

ACCOUNTS = ('x', 'y')
ROUTERS = ('r0', 'r1')
ACCOUNT = st.sampled_from(ACCOUNTS)
ROUTER = st.sampled_from(ROUTERS)


@dataclass
class ModelRouter:
    """A router's waiting requests, and its reports and grants in transit.

    ``reported`` maps an account to the last count that was delivered and
    the last grant that the router had seen when it sent it.
    """

    waiting: Counter[str] = field(default_factory=Counter)
    changed: set[str] = field(default_factory=set)
    seen: int = 0
    reports: deque[Demand] = field(default_factory=deque)
    grants: deque[tuple[int, str]] = field(default_factory=deque)
    reported: dict[str, tuple[int, int]] = field(default_factory=dict)
    granted: list[tuple[int, str]] = field(default_factory=list)
    left: int = 0
    unused: int = 0

    def unmet(self, account: str) -> int:
        """Return the reported count less the grants it doesn't include yet."""
        count, seen = self.reported.get(account, (0, 0))
        later = sum(
            sequence > seen and name == account
            for sequence, name in self.granted
        )
        return max(0, count - later)


class DemandMachine(RuleBasedStateMachine):
    """Reports and grants cross in transit; each stream keeps its order.

    Guards against granting a request twice: a report that was sent before
    a grant arrived still counts the request that the grant is for.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.table = DemandTable(lambda: self.now)
        self.routers = {name: ModelRouter() for name in ROUTERS}
        self.sequence = 0

    def unmet(self, account: str) -> int:
        return sum(router.unmet(account) for router in self.routers.values())

    @rule(name=ROUTER, account=ACCOUNT)
    def leave(self, name: str, account: str) -> None:
        router = self.routers[name]
        if router.waiting[account]:
            router.waiting[account] -= 1
            router.changed.add(account)
            router.left += 1

    @rule(
        name=ROUTER,
        account=ACCOUNT,
        count=st.integers(0, 3),
        full=st.booleans(),
    )
    def report(self, name: str, account: str, count: int, full: bool) -> None:
        self.now += 0.1
        router = self.routers[name]
        if count:
            router.waiting[account] += count
            router.changed.add(account)
        names = router.waiting if full else router.changed
        rows = tuple((one, router.waiting[one], 50, 1.5) for one in names)
        if full:
            rows = tuple(row for row in rows if row[1])
        router.changed.clear()
        demand = Demand('chat/a/0', 1, router.seen, 0, full, rows)
        router.reports.append(demand)

    @rule(name=ROUTER)
    def take_report(self, name: str) -> None:
        router = self.routers[name]
        if not router.reports:
            return
        demand = router.reports.popleft()
        before = {account: self.unmet(account) for account in ACCOUNTS}
        began = self.table.update(name, demand)
        if demand.full:
            router.reported.clear()
        for account, count, _, _ in demand.waiting:
            router.reported[account] = (count, demand.grants_seen)
        assert set(began) == {
            account
            for account in ACCOUNTS
            if not before[account] and self.unmet(account)
        }

    @rule(account=ACCOUNT, number=st.integers(1, 4))
    def grant(self, account: str, number: int) -> None:
        self.sequence += 1
        for _ in range(min(number, self.table.unmet(account))):
            name = self.table.longest_waiting_sender(account)
            assert name is not None
            assert self.table.estimate(name, account) == 1.5
            self.table.record_grant(name, account, self.sequence)
            self.routers[name].grants.append((self.sequence, account))
            self.routers[name].granted.append((self.sequence, account))

    @rule(name=ROUTER)
    def take_grants(self, name: str) -> None:
        """Receive all grants of the next message."""
        router = self.routers[name]
        if router.grants:
            router.seen = router.grants[0][0]
        while router.grants and router.grants[0][0] == router.seen:
            _, account = router.grants.popleft()
            router.changed.add(account)
            if router.waiting[account]:
                router.waiting[account] -= 1
            else:
                router.unused += 1

    @rule(name=ROUTER, restarts=st.booleans())
    def drop(self, name: str, restarts: bool) -> None:
        """Lose a router's stream, or restart it without its requests."""
        self.table.drop(name)
        old = self.routers[name]
        kept = Counter() if restarts else old.waiting
        seen = 0 if restarts else old.seen
        fresh = ModelRouter(kept, set(ACCOUNTS), seen, left=old.left)
        fresh.unused = old.unused
        self.routers[name] = fresh

    @invariant()
    def agrees_with_the_model(self) -> None:
        for account in ACCOUNTS:
            assert self.table.unmet(account) == self.unmet(account) >= 0
            waits = self.table.unmet(account) > 0
            assert (
                self.table.longest_waiting_sender(account) is not None
            ) == waits
            assert (account in self.table.accounts()) == waits

    @invariant()
    def no_request_is_granted_twice(self) -> None:
        for router in self.routers.values():
            assert router.unused <= router.left


TestDemand = DemandMachine.TestCase
TestDemand.settings = settings(max_examples=200)
