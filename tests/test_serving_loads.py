"""An endpoint's load is the sum of the last report of every router."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from support_serving_jobs import Clock

from sesamespoke.serving.load import (
    REFRESH_SECONDS,
    STALE_SECONDS,
    InFlightRequest,
    Load,
    LoadRow,
    LoadTracker,
)

HOSTS = st.sampled_from(('north-1', 'north-2', 'south-1'))
ENGINES = ('e-1', 'e-2', 'e-3')
REPORTS = st.dictionaries(
    st.sampled_from(ENGINES),
    st.tuples(st.integers(1, 40), st.integers(0, 900)),
)


class LoadTrackerMachine(RuleBasedStateMachine):
    """Compares the tracker with plain sums.

    Steps are reports, pauses, lost peers and own requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.tracker = LoadTracker(self.clock)
        self.reported: dict[str, tuple[float, tuple[LoadRow, ...]]] = {}
        self.own: list[InFlightRequest] = []

    @rule(host=HOSTS, report=REPORTS)
    def accept_report(
        self, host: str, report: dict[str, tuple[int, int]]
    ) -> None:
        rows = tuple((name, *row) for name, row in report.items())
        self.tracker.accept_report(host, rows)
        self.reported[host] = (self.clock.now, rows)

    @rule(host=HOSTS)
    def drop_report(self, host: str) -> None:
        self.tracker.drop_report(host)
        self.reported.pop(host, None)

    @rule(seconds=st.floats(0.01, 2))
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds

    @rule(name=st.sampled_from(ENGINES), prefill_ms=st.integers(0, 300))
    def begin(self, name: str, prefill_ms: int) -> None:
        self.own.append(self.tracker.begin(name, prefill_ms))

    @rule(rng=st.randoms(use_true_random=False))
    def end(self, rng: random.Random) -> None:
        if self.own:
            index = rng.randrange(len(self.own))
            self.tracker.end(self.own.pop(index))

    @invariant()
    def total_equals_sum_of_reports(self) -> None:
        for name in ENGINES:
            found = self.tracker.total(name)
            fresh = self.sum_reports(name, STALE_SECONDS)
            kept = self.sum_reports(name, STALE_SECONDS + REFRESH_SECONDS)
            assert fresh.running <= found.running <= kept.running
            assert fresh.prefill_ms <= found.prefill_ms <= kept.prefill_ms

    def sum_reports(self, name: str, age: float) -> Load:
        own = [each for each in self.own if each.endpoint == name]
        rows = [
            row
            for measured_at, rows in self.reported.values()
            for row in rows
            if row[0] == name and measured_at >= self.clock.now - age
        ]
        return Load(
            len(own) + sum(row[1] for row in rows),
            sum(each.prefill_ms for each in own) + sum(row[2] for row in rows),
        )


TestLoadTracker = LoadTrackerMachine.TestCase
