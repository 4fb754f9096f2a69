"""Totals of cost from reports that are repeated, reordered or lost."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesamespoke.ledger_messages import SettledCounts, SiteCounts
from sesamespoke.shard_sums import OutstandingCosts, ShardSums

ACCOUNTS = ('x', 'y')
TELLERS = ('h0', 'h1', 'site b', 'site c')
TELLER = st.sampled_from(TELLERS)


class ShardSumsMachine(RuleBasedStateMachine):
    """``totals`` is the cost that each run of a reporter has metered."""

    def __init__(self) -> None:
        super().__init__()
        self.sums = ShardSums(lambda: 0.0)
        self.runs = Counter(TELLERS)
        self.totals: Counter[tuple[str, str]] = Counter()
        self.first: dict[tuple[str, str], int] = {}
        self.heard: dict[tuple[str, str], int] = {}
        self.sent: list[tuple[str, SettledCounts | SiteCounts]] = []
        self.before: dict[tuple[str, str], float] = {}

    def source(self, teller: str) -> str:
        return f'{teller} run {self.runs[teller]}'

    @rule(
        teller=TELLER,
        account=st.sampled_from(ACCOUNTS),
        cost=st.integers(1, 9),
    )
    def meter_and_send(self, teller: str, account: str, cost: int) -> None:
        source = self.source(teller)
        self.totals[(source, account)] += cost
        total = self.totals[(source, account)]
        kind = SiteCounts if teller.startswith('site') else SettledCounts
        counts = kind('pool', source, ((account, total, 0.0),), ())
        self.sent.append((teller, counts))

    @rule(data=st.data())
    def take_any_sent_before(self, data: st.DataObject) -> None:
        """Deliver a random report: some arrive late, twice or never."""
        if not self.sent:
            return
        teller, counts = data.draw(st.sampled_from(self.sent[-6:]))
        if isinstance(counts, SiteCounts):
            self.sums.take_site(teller, counts)
        else:
            self.sums.take_settled(teller, counts)
        for account, total, _ in counts.rows:
            key = (counts.source, account)
            self.first.setdefault(key, int(total))
            self.heard[key] = max(self.heard.get(key, 0), int(total))

    @rule(teller=TELLER)
    def restart(self, teller: str) -> None:
        self.runs[teller] += 1

    def grown(self, account: str, without: str = '', prefix: str = '') -> int:
        return sum(
            total - self.first[(source, name)]
            for (source, name), total in self.heard.items()
            if name == account
            and source.startswith(prefix)
            and not (without and source.startswith(without))
        )

    @invariant()
    def each_cost_counts_once(self) -> None:
        rows = {
            ('', row[0]): row[1]
            for row in self.sums.rows_without('nobody', ACCOUNTS)
        }
        for host in ('h0', 'h1'):
            for name, total, _, _ in self.sums.rows_without(host, ACCOUNTS):
                rows[(host, name)] = total
        for (host, name), total in rows.items():
            assert total == self.grown(name, without=host)
            assert total >= self.before.get((host, name), 0)
        for name, total, _ in self.sums.site_rows(ACCOUNTS):
            assert total == self.grown(name, prefix='h')
        self.before = rows


def test_settled_costs_leave_no_outstanding_cost() -> None:
    known = OutstandingCosts()
    known.put('h0', 'x', 0.1)
    known.put('h1', 'x', 0.2)
    assert known.total('x', excluding='h1') > 0
    known.put('h0', 'x', 0)
    assert known.total('x') > 0
    assert known.total('x', excluding='h1') == 0
    known.put('h1', 'x', 0)
    assert known.total('x') == 0


TestShardSums = ShardSumsMachine.TestCase
